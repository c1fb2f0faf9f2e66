// galenafoldd: the daemon, the same on every entry VM.
#include "galenafold/settings.h"

#include <csignal>
#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <sstream>

namespace galenafold
{

constexpr int statusUsage = 2;  // also: settings with faults
constexpr int statusFailed = 1; // could not start

static void printHelp()
{
    std::cout << "usage: galenafoldd --config FILE [--check-config] [--version] [--help]\n"
                 "\n"
                 "  --config FILE    settings, INI; see docs/OPERATING.md\n"
                 "  --check-config   read and check the settings, then exit\n"
                 "  --version        print the version, then exit\n"
                 "\n"
                 "SIGTERM or SIGINT: refuse readiness, finish all calls in progress, exit.\n"
                 "Exit status: 0 after a drain, 1 cannot start, 2 usage or faulty settings.\n";
}

struct Arguments {
    std::string config;
    bool isCheck = false;
};

/// @return exit status when the program should end now
static std::optional<int> parseArguments(int argc, char **argv, Arguments &arguments)
{
    static const option options[] = {{"config", required_argument, nullptr, 'c'},
                                     {"check-config", no_argument, nullptr, 'k'},
                                     {"version", no_argument, nullptr, 'v'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "c:kvh", options, nullptr)) != -1) {
        switch (letter) {
        case 'c':
            arguments.config = optarg;
            break;
        case 'k':
            arguments.isCheck = true;
            break;
        case 'v':
            std::cout << "galenafoldd " GALENAFOLD_VERSION "\n";
            return 0;
        case 'h':
            printHelp();
            return 0;
        default:
            printHelp();
            return statusUsage;
        }
    }
    if (arguments.config.empty() || optind != argc) {
        printHelp();
        return statusUsage;
    }
    return std::nullopt;
}

static std::optional<Settings> readSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << in.rdbuf();
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Settings>> {
            BOOST_LEAF_AUTO(settings, parseSettings(file, text.str()));
            return std::optional<Settings>(settings);
        },
        [](const SettingsFaults &faults) -> std::optional<Settings> {
            for (const IniFault &fault : faults.faults) {
                std::cerr << fault.message() << '\n';
            }
            return std::nullopt;
        },
        []() -> std::optional<Settings> { return std::nullopt; });
}

static int serve(const Settings &settings, const sigset_t &signals)
{
    Daemon daemon(settings);
    if (!daemon.start()) {
        std::cerr << "galenafoldd: '" << settings.name.text << "' cannot listen; see the log\n";
        return statusFailed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    LOG(INFO) << "daemon: drains after signal " << signal;
    daemon.beginDrain();
    daemon.finishDrain();
    return 0;
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (const auto status = parseArguments(argc, argv, arguments)) {
        return *status;
    }
    const auto settings = readSettings(arguments.config);
    if (!settings) {
        return statusUsage;
    }
    if (arguments.isCheck) {
        std::cout << arguments.config << ": ok\n";
        return 0;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    sigset_t signals; // blocked before any thread starts, so that only `sigwait` sees them
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return serve(*settings, signals);
}

} // namespace galenafold

int main(int argc, char **argv)
{
    return galenafold::run(argc, argv);
}
