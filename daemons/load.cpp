// galenafold-load: sends open-loop load of chats, short and long tasks and calls with idempotency keys, either to a
// fleet with fake engines and services that it starts in its own process or to a running fleet.
#include "daemons/loadrun.h"

#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int exitUsage = 2;

struct Arguments {
    std::string config;
    bool isJson = false;
    bool hasPolicy = false;
    Policy policy = Policy::Galenafold;
    int seed = -1;
};

static void printHelp()
{
    std::cout << "usage: galenafold-load --config FILE [--json] [--policy galenafold|naive] [--seed N]\n"
                 "\n"
                 "  --config FILE  the plan, an INI file; examples are in benchmarks/\n"
                 "  --json         one JSON object per line: one per class, then one for the fleet\n"
                 "  --policy NAME  use it for all decisions, for comparisons\n"
                 "  --seed N       seed of the random arrivals; overrides the file's\n";
}

static bool parseArguments(int argc, char **argv, Arguments &arguments)
{
    static const option options[] = {
        {"config", required_argument, nullptr, 'c'}, {"json", no_argument, nullptr, 'j'},
        {"policy", required_argument, nullptr, 'p'}, {"seed", required_argument, nullptr, 's'},
        {"help", no_argument, nullptr, 'h'},         {nullptr, 0, nullptr, 0}};
    int optionChar = 0;
    while ((optionChar = getopt_long(argc, argv, "c:jp:s:h", options, nullptr)) != -1) {
        switch (optionChar) {
        case 'c':
            arguments.config = optarg;
            break;
        case 'j':
            arguments.isJson = true;
            break;
        case 'p':
            arguments.hasPolicy = true;
            if (policyField(arguments.policy)(optarg)) {
                return false;
            }
            break;
        case 's':
            arguments.seed = std::atoi(optarg);
            break;
        default:
            return false;
        }
    }
    return !arguments.config.empty() && optind == argc;
}

static Json classJson(const ClassStats &stats)
{
    Json json{{"class", stats.name},      {"sent", stats.sent},     {"whole", stats.completed},
              {"refused", stats.refused}, {"failed", stats.failed}, {"unknown", stats.unknown}};
    for (const auto &[name, fraction] : {std::pair<const char *, double>{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}) {
        json[std::string("first_ms_") + name] = quantileOf(stats.firstByteSeconds, fraction) * 1000;
        json[std::string("total_ms_") + name] = quantileOf(stats.totalSeconds, fraction) * 1000;
    }
    json["late_ms_p99"] = quantileOf(stats.tokenDelays, 0.99) * 1000;
    json["prompt_tokens"] = stats.promptTokens;
    json["reused"] = stats.promptTokens > 0 ? stats.reusedTokens / stats.promptTokens : 0;
    json["reused_of_ideal"] = stats.idealReusedTokens > 0 ? stats.reusedTokens / stats.idealReusedTokens : 0;
    return json;
}

static Json fleetJson(const LoadStats &stats)
{
    return {{"mean_load", stats.meanLoad},
            {"worst_ratio", stats.maxLoadRatio},
            {"worst_excess", stats.maxLoadExcess},
            {"control_bytes_per_second", stats.controlBytesPerSecond},
            {"engine_starts", stats.engineAttempts},
            {"engine_tokens", stats.engineTokens},
            {"double_executions", stats.duplicateExecutions},
            {"untrue_refusals", stats.falseRefusals},
            {"most_long", stats.maxLongInFlight},
            {"log_appends", stats.logAppends}};
}

static void printTable(const LoadStats &stats)
{
    std::printf("%-16s %7s %7s %7s %6s %7s %9s %9s %9s %9s %9s %7s %7s\n", "class", "sent", "whole", "refused",
                "failed", "unknown", "first p50", "p95", "p99", "total p50", "p99 ms", "reused", "ideal");
    for (const ClassStats &classStats : stats.classes) {
        const Json json = classJson(classStats);
        std::printf(
            "%-16s %7ld %7ld %7ld %6ld %7ld %9.1f %9.1f %9.1f %9.1f %9.1f %7.3f %7.3f\n", classStats.name.c_str(),
            static_cast<long>(classStats.sent), static_cast<long>(classStats.completed),
            static_cast<long>(classStats.refused), static_cast<long>(classStats.failed),
            static_cast<long>(classStats.unknown), json["first_ms_p50"].get<double>(),
            json["first_ms_p95"].get<double>(), json["first_ms_p99"].get<double>(), json["total_ms_p50"].get<double>(),
            json["total_ms_p99"].get<double>(), json["reused"].get<double>(), json["reused_of_ideal"].get<double>());
    }
    std::cout << fleetJson(stats).dump() << '\n';
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (!parseArguments(argc, argv, arguments)) {
        printHelp();
        return exitUsage;
    }
    std::ifstream in(arguments.config);
    std::stringstream text;
    text << in.rdbuf();
    std::vector<IniError> errors;
    LoadPlan plan = parseLoadPlan(arguments.config, text.str(), errors);
    for (const IniError &error : errors) {
        std::cerr << error.message() << '\n';
    }
    if (!errors.empty()) {
        return exitUsage;
    }
    if (arguments.hasPolicy) {
        setPolicy(plan.fleet.settings, arguments.policy);
    }
    plan.seed = arguments.seed >= 0 ? arguments.seed : plan.seed;
    const LoadStats stats = runLoad(plan);
    if (!arguments.isJson) {
        printTable(stats);
        return 0;
    }
    for (const ClassStats &classStats : stats.classes) {
        std::cout << classJson(classStats).dump() << '\n';
    }
    std::cout << fleetJson(stats).dump() << '\n';
    return 0;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    return galenafold::run(argc, argv);
}
