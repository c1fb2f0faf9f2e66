// galenafoldd: the daemon. Runs on every entry VM, or as a router on the users' platform if the settings name a store.
#include "galenafold/settings.h"
#include "runtime/routernode.h"

#include <algorithm>
#include <climits>
#include <csignal>
#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <sys/resource.h>
#include <thread>

namespace galenafold
{

constexpr int exitUsage = 2;  // usage error or invalid settings
constexpr int exitFailed = 1; // cannot start

static void printHelp()
{
    std::cout << "usage: galenafoldd --config FILE [--check-config] [--version] [--help]\n"
                 "\n"
                 "  --config FILE    settings, an INI file; see docs/OPERATIONS.md\n"
                 "  --check-config   read and check the settings, then exit\n"
                 "  --version        print the version, then exit\n"
                 "\n"
                 "SIGTERM or SIGINT: fail readiness checks, finish all calls in progress, exit.\n"
                 "Exit status: 0 after a drain, 1 cannot start, 2 invalid usage or settings.\n";
}

struct Arguments {
    std::string config;
    bool isCheckOnly = false;
};

/// @return the exit status if the program must end now
static std::optional<int> parseArguments(int argc, char **argv, Arguments &arguments)
{
    static const option options[] = {{"config", required_argument, nullptr, 'c'},
                                     {"check-config", no_argument, nullptr, 'k'},
                                     {"version", no_argument, nullptr, 'v'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    int optionChar = 0;
    while ((optionChar = getopt_long(argc, argv, "c:kvh", options, nullptr)) != -1) {
        switch (optionChar) {
        case 'c':
            arguments.config = optarg;
            break;
        case 'k':
            arguments.isCheckOnly = true;
            break;
        case 'v':
            std::cout << "galenafoldd " GALENAFOLD_VERSION "\n";
            return 0;
        case 'h':
            printHelp();
            return 0;
        default:
            printHelp();
            return exitUsage;
        }
    }
    if (arguments.config.empty() || optind != argc) {
        printHelp();
        return exitUsage;
    }
    return std::nullopt;
}

static std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot open the file for reading\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Parses settings and prints every error. @param file name for error messages @param parse parser of this type
template<typename SettingsType>
static std::optional<SettingsType> readSettings(const std::string &file, const std::string &text,
                                                boost::leaf::result<SettingsType> (*parse)(const std::string &,
                                                                                           const std::string &))
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<SettingsType>> {
            BOOST_LEAF_AUTO(settings, parse(file, text));
            return std::optional<SettingsType>(settings);
        },
        [](const SettingsErrors &errors) -> std::optional<SettingsType> {
            for (const IniError &error : errors.errors) {
                std::cerr << error.message() << '\n';
            }
            return std::nullopt;
        },
        []() -> std::optional<SettingsType> { return std::nullopt; });
}

/// @param set limit from the settings; 0: none @return it, or the system's limit for this process if that is lower
static int descriptorLimit(int set)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > INT_MAX) {
        return set;
    }
    const int system = static_cast<int>(limit.rlim_cur);
    return set > 0 ? std::min(set, system) : system;
}

/// Load pattern: large bodies come and go by the hundred. By default the allocator learns to keep their memory, in
/// pieces that no later request fits; fixed thresholds give it back.
static void limitKeptMemory()
{
    constexpr int mapFrom = 1 << 20;  // bytes of an allocation
    constexpr int keepUpTo = 4 << 20; // bytes, free at the end of the heap
    mallopt(M_MMAP_THRESHOLD, mapFrom);
    mallopt(M_TRIM_THRESHOLD, keepUpTo);
}

static int serve(const Settings &settings, const sigset_t &signals)
{
    Daemon daemon(settings);
    if (!daemon.start()) {
        std::cerr << "galenafoldd: '" << settings.name.text << "' cannot open its listening sockets; see the log\n";
        return exitFailed;
    }
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
        LOG(INFO) << "daemon: signal ignored: settings are read only at the start; restart to apply changes";
    }
    LOG(INFO) << "daemon: draining, then exiting, after signal " << signal;
    daemon.beginDrain();
    daemon.finishDrain();
    return 0;
}

/// Runs the router. A separate thread waits for signals: SIGHUP reloads the settings, the others start the drain.
static int serveOnPlatform(const RouterSettings &settings, const std::string &file, const sigset_t &signals)
{
    RouterNode node(settings);
    if (!node.start()) {
        std::cerr << "galenafoldd: '" << settings.name.text << "' cannot listen on " << settings.callers << " and "
                  << settings.admin << '\n';
        return exitFailed;
    }
    std::thread controlThread([&node] { node.run(); });
    std::thread signalThread([&node, &file, &signals] {
        int signal = 0;
        while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
            const auto text = readFile(file);
            const auto reread = text ? readSettings(file, *text, parseRouterSettings) : std::nullopt;
            if (reread) {
                node.reload(*reread);
            }
        }
        node.beginDrain();
    });
    controlThread.join();
    signalThread.detach(); // may still be blocked in sigwait
    return 0;
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (const auto status = parseArguments(argc, argv, arguments)) {
        return *status;
    }
    limitKeptMemory();
    const auto text = readFile(arguments.config);
    if (!text) {
        return exitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN); // a write to a closed connection returns an error instead
    sigset_t signals;              // blocked before any thread starts, so that only sigwait receives them
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (hasStoreSection(*text)) {
        auto settings = readSettings(arguments.config, *text, parseRouterSettings);
        if (!settings) {
            return exitUsage;
        }
        settings->maxDescriptors = descriptorLimit(settings->maxDescriptors);
        if (arguments.isCheckOnly) {
            std::cout << arguments.config << ": ok\n";
            return 0;
        }
        return serveOnPlatform(*settings, arguments.config, signals);
    }
    auto settings = readSettings(arguments.config, *text, parseSettings);
    if (!settings) {
        return exitUsage;
    }
    settings->maxDescriptors = descriptorLimit(settings->maxDescriptors);
    if (arguments.isCheckOnly) {
        std::cout << arguments.config << ": ok\n";
        return 0;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return serve(*settings, signals);
}

} // namespace galenafold

int main(int argc, char **argv)
{
    return galenafold::run(argc, argv);
}
