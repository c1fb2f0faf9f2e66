// galenafold-fakes: fake platform services, engines and services in a process of their own, for daemons and tools that
// run as separate processes.
//
// Prints the addresses of the log and the VM list, then runs until SIGTERM or SIGINT. With --platform it prints the
// address of the store, publishes each line of standard input as a desired state, and runs until the end of input.
#include "fakes/engine.h"
#include "fakes/platform.h"
#include "fakes/replica.h"
#include "fakes/service.h"
#include "fakes/topicstore.h"

#include <csignal>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <iterator>
#include <sstream>

namespace galenafold
{

constexpr int exitUsage = 2;

struct Arguments {
    int engines = 2;
    std::vector<VmRecord> entries;
    bool isPlatform = false;
};

static void printHelp()
{
    std::cout << "usage: galenafold-fakes [--engines N] --entry NAME:HTTP_PORT:PEER_PORT [--entry ...]\n"
                 "       galenafold-fakes --platform\n"
                 "\n"
                 "With --platform: a store with keyed topics and two replicas, for daemons on the users' platform.\n"
                 "Otherwise: engines serve model tea-large, one service serves ledger; all on 127.0.0.1.\n";
}

/// Parses "NAME:HTTP_PORT:PEER_PORT". @return false if the text does not have that form
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
    static const option options[] = {{"platform", no_argument, nullptr, 'p'},
                                     {"engines", required_argument, nullptr, 'n'},
                                     {"entry", required_argument, nullptr, 'e'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    int optionChar = 0;
    while ((optionChar = getopt_long(argc, argv, "pn:e:h", options, nullptr)) != -1) {
        VmRecord entry;
        if (optionChar == 'p') {
            arguments.isPlatform = true;
        } else if (optionChar == 'n') {
            arguments.engines = std::atoi(optarg);
        } else if (optionChar == 'e' && parseEntry(optarg, entry)) {
            arguments.entries.push_back(entry);
        } else {
            return false;
        }
    }
    const bool isFleet = !arguments.entries.empty() && arguments.engines > 0;
    return optind == argc && (arguments.isPlatform || isFleet);
}

/// Answers paths under /live/ with a stream of three events, others with "done:" and the body of the request.
static void handleRequest(const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
{
    constexpr int eventCount = 3;
    if (request.head.target.find("/live/") != 0) {
        reply->sendResponse(request, 200, "done:" + request.body);
        return;
    }
    reply->beginStream(request);
    for (int i = 0; i < eventCount; ++i) {
        reply->sendEvent(i, "x");
    }
    reply->endStream();
}

/// Runs a store and two replicas. Each line of standard input, a list of API keys separated by spaces, is published as
/// the next version of the desired state.
static int runPlatform()
{
    FakeTopicStore store;
    FakeReplica replica1("i-1", "svc", handleRequest);
    FakeReplica replica2("i-2", "svc", handleRequest);
    store.start();
    replica1.start();
    replica2.start();
    store.put("keyed.servers", replica1.id(), replica1.entry());
    store.put("keyed.servers", replica2.id(), replica2.entry());
    std::cout << "store = " << store.address() << std::endl;
    int version = 0;
    std::string line;
    while (std::getline(std::cin, line)) {
        std::istringstream in(line);
        const std::vector<std::string> keys{std::istream_iterator<std::string>(in), {}};
        store.put("keyed.op", "config",
                  sampleDesiredState(++version, {{"once", "non_idempotent"}, {"live", "streaming"}}, keys));
        std::cout << "version = " << version << std::endl;
    }
    return 0;
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (!parseArguments(argc, argv, arguments)) {
        printHelp();
        return exitUsage;
    }
    if (arguments.isPlatform) {
        return runPlatform();
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
        engines.push_back(std::make_unique<FakeEngine>(id, Incarnation(1), EngineSettings{}));
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
