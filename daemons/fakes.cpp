// galenafold-fakes: the stand-ins as a process of their own, so that daemons and tools can run as processes beside it.
//
// Prints where the log and the VM list listen, then runs until SIGTERM or SIGINT.
#include "fakes/engine.h"
#include "fakes/platform.h"
#include "fakes/service.h"

#include <csignal>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>

namespace galenafold
{

constexpr int statusUsage = 2;

struct Arguments {
    int engines = 2;
    std::vector<VmRecord> entries;
};

static void printHelp()
{
    std::cout << "usage: galenafold-fakes [--engines N] --entry NAME:HTTP_PORT:PEER_PORT [--entry ...]\n"
                 "\n"
                 "Engines serve model tea-large, one service serves ledger; all on 127.0.0.1.\n";
}

/// Reads "NAME:HTTP_PORT:PEER_PORT". @return false when it is not of that form
static bool parseEntry(const std::string &text, VmRecord &record)
{
    const HostPort peer = parseHostPort(text);
    const HostPort http = parseHostPort(peer.host);
    record.id = {http.host};
    record.kind = VmKind::Entry;
    record.incarnation = Incarnation(1);
    record.address = "127.0.0.1";
    record.port = http.port;
    record.peerPort = peer.port;
    return http.port > 0 && peer.port > 0;
}

static bool parseArguments(int argc, char **argv, Arguments &arguments)
{
    static const option options[] = {{"engines", required_argument, nullptr, 'n'},
                                     {"entry", required_argument, nullptr, 'e'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "n:e:h", options, nullptr)) != -1) {
        VmRecord entry;
        if (letter == 'n') {
            arguments.engines = std::atoi(optarg);
        } else if (letter == 'e' && parseEntry(optarg, entry)) {
            arguments.entries.push_back(entry);
        } else {
            return false;
        }
    }
    return optind == argc && !arguments.entries.empty() && arguments.engines > 0;
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (!parseArguments(argc, argv, arguments)) {
        printHelp();
        return statusUsage;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    FakeLog log;
    FakeVmList vmList;
    FakeService service({"service-1"}, Incarnation(1), std::chrono::milliseconds(5));
    std::vector<std::unique_ptr<FakeEngine>> engines;
    log.start();
    vmList.start();
    service.start();
    std::vector<VmRecord> list = arguments.entries;
    list.push_back(service.record({{"ledger"}}, {"dc-1"}));
    for (int i = 1; i <= arguments.engines; ++i) {
        const VmId id{"engine-" + std::to_string(i)};
        engines.push_back(std::make_unique<FakeEngine>(id, Incarnation(1), EngineKnobs{}));
        engines.back()->start();
        list.push_back(engines.back()->record({{"tea-large"}}, {"dc-1"}));
    }
    vmList.set(list);
    std::cout << "log = " << log.address() << "\nvm_list = " << vmList.address() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return galenafold::run(argc, argv);
}
