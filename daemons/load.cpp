// galenafold-load: open-loop load of returning chats, short and long tasks and keyed calls, against a fleet of its own
// with stand-ins, or a running one.
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

constexpr int statusUsage = 2;

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
                 "  --config FILE  the plan, INI; examples are in benchmarks/\n"
                 "  --json         one JSON object a line: one a class, then one for the fleet\n"
                 "  --policy NAME  set all decisions at once, for comparisons\n"
                 "  --seed N       other arrivals\n";
}

static bool parseArguments(int argc, char **argv, Arguments &arguments)
{
    static const option options[] = {
        {"config", required_argument, nullptr, 'c'}, {"json", no_argument, nullptr, 'j'},
        {"policy", required_argument, nullptr, 'p'}, {"seed", required_argument, nullptr, 's'},
        {"help", no_argument, nullptr, 'h'},         {nullptr, 0, nullptr, 0}};
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "c:jp:s:h", options, nullptr)) != -1) {
        switch (letter) {
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

static Json classJson(const ClassFigures &figures)
{
    Json json{{"class", figures.name},      {"sent", figures.sent},     {"whole", figures.whole},
              {"refused", figures.refused}, {"failed", figures.failed}, {"unknown", figures.unknown}};
    for (const auto &[name, fraction] : {std::pair<const char *, double>{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}) {
        json[std::string("first_ms_") + name] = quantileOf(figures.firstByte, fraction) * 1000;
        json[std::string("total_ms_") + name] = quantileOf(figures.total, fraction) * 1000;
    }
    json["late_ms_p99"] = quantileOf(figures.late, 0.99) * 1000;
    json["prompt_tokens"] = figures.promptTokens;
    json["reused"] = figures.promptTokens > 0 ? figures.reusedTokens / figures.promptTokens : 0;
    json["reused_of_ideal"] = figures.ideallyReused > 0 ? figures.reusedTokens / figures.ideallyReused : 0;
    return json;
}

static Json fleetJson(const LoadFigures &figures)
{
    return {{"mean_load", figures.meanLoad},
            {"worst_ratio", figures.worstRatio},
            {"worst_excess", figures.worstExcess},
            {"control_bytes_per_second", figures.controlBytesPerSecond},
            {"engine_starts", figures.engineStarts},
            {"engine_tokens", figures.engineTokens},
            {"double_executions", figures.doubleExecutions},
            {"untrue_refusals", figures.untrueRefusals},
            {"most_long", figures.mostLong},
            {"log_appends", figures.logAppends}};
}

static void printTable(const LoadFigures &figures)
{
    std::printf("%-16s %7s %7s %7s %6s %7s %9s %9s %9s %9s %9s %7s %7s\n", "class", "sent", "whole", "refused",
                "failed", "unknown", "first p50", "p95", "p99", "total p50", "p99 ms", "reused", "ideal");
    for (const ClassFigures &entry : figures.classes) {
        const Json json = classJson(entry);
        std::printf(
            "%-16s %7ld %7ld %7ld %6ld %7ld %9.1f %9.1f %9.1f %9.1f %9.1f %7.3f %7.3f\n", entry.name.c_str(),
            static_cast<long>(entry.sent), static_cast<long>(entry.whole), static_cast<long>(entry.refused),
            static_cast<long>(entry.failed), static_cast<long>(entry.unknown), json["first_ms_p50"].get<double>(),
            json["first_ms_p95"].get<double>(), json["first_ms_p99"].get<double>(), json["total_ms_p50"].get<double>(),
            json["total_ms_p99"].get<double>(), json["reused"].get<double>(), json["reused_of_ideal"].get<double>());
    }
    std::cout << fleetJson(figures).dump() << '\n';
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (!parseArguments(argc, argv, arguments)) {
        printHelp();
        return statusUsage;
    }
    std::ifstream in(arguments.config);
    std::stringstream text;
    text << in.rdbuf();
    std::vector<IniError> errors;
    LoadPlan plan = parseLoadPlan(arguments.config, text.str(), errors);
    for (const IniError &fault : errors) {
        std::cerr << fault.message() << '\n';
    }
    if (!errors.empty()) {
        return statusUsage;
    }
    if (arguments.hasPolicy) {
        setPolicy(plan.fleet.settings, arguments.policy);
    }
    plan.seed = arguments.seed >= 0 ? arguments.seed : plan.seed;
    const LoadFigures figures = runLoad(plan);
    if (!arguments.isJson) {
        printTable(figures);
        return 0;
    }
    for (const ClassFigures &entry : figures.classes) {
        std::cout << classJson(entry).dump() << '\n';
    }
    std::cout << fleetJson(figures).dump() << '\n';
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
