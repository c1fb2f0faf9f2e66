// Queries running daemons and reads their logs for the operator's tool.
//
// Sections of this file: Entry VMs, Routers, Explain.
#include "daemons/diagnostics.h"

#include "clients/http.h"
#include "clients/log.h"
#include "platform/headers.h"
#include "runtime/requesttimeline.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto connectTimeout = std::chrono::milliseconds(500);
constexpr auto responseTimeout = std::chrono::milliseconds(1000);

// Entry VMs

int printEntryVmStatus(const std::string &vmList)
{
    std::vector<VmRecord> list;
    std::string etag;
    if (fetchVmList(vmList, etag, list) == VmListStatus::Failed) {
        std::cerr << vmList << ": the VM list does not answer\n";
        return exitFailed;
    }
    int result = exitOk;
    for (const VmRecord &vm : list) {
        if (vm.kind != VmKind::Entry) {
            continue;
        }
        httplib::Client client(vm.address, vm.port);
        configureClient(client, connectTimeout, responseTimeout);
        const auto response = client.Get("/status");
        if (!response) {
            std::cout << vm.id.text << ": does not answer\n";
            result = exitFailed;
            continue;
        }
        std::cout << response->body << '\n';
    }
    return result;
}

// Routers

/// @return the metrics that have no labels, by name without the prefix "galenafold_"; values are rounded towards zero
static Json unlabelledMetrics(const std::string &page)
{
    const std::string prefix = "galenafold_";
    Json metrics = Json::object();
    std::istringstream lines(page);
    std::string name;
    double value = 0;
    while (lines >> name >> value) {
        const bool isUnlabelled = name.compare(0, prefix.size(), prefix) == 0 && name.find('{') == std::string::npos;
        if (isUnlabelled) {
            metrics[name.substr(prefix.size())] = static_cast<std::int64_t>(value);
        }
    }
    return metrics;
}

static Json queryRouter(const std::string &address)
{
    Json router{{"address", address}, {"answers", false}, {"ready", false}};
    const HostPort hostPort = parseHostPort(address);
    if (hostPort.port == 0) {
        return router;
    }
    httplib::Client client(hostPort.host, hostPort.port);
    configureClient(client, connectTimeout, responseTimeout);
    const auto ready = client.Get(readinessPath);
    const auto metricsPage = client.Get("/metrics");
    if (!ready || !metricsPage) {
        return router;
    }
    router["answers"] = true;
    router["ready"] = ready->status == 200;
    router.update(unlabelledMetrics(metricsPage->body));
    return router;
}

static void printRouter(const Json &router)
{
    std::cout << router.at("address").get<std::string>() << ": ";
    if (!router.at("answers").get<bool>()) {
        std::cout << "does not answer\n";
        return;
    }
    const auto metric = [&router](const char *name) { return router.value(name, std::int64_t{0}); };
    std::cout << (router.at("ready").get<bool>() ? "ready" : "not ready") << ", desired state "
              << metric("desired_state_version") << " confirmed " << metric("proof_age_ms") << " ms ago, "
              << metric("replicas_usable") << " replicas, " << metric("peers_heard") << " peers, "
              << metric("calls_in_progress") << " calls in progress, " << metric("store_lost")
              << " store topics not reachable\n";
}

int printRouterStatus(const std::string &addresses, bool isJson)
{
    int result = exitOk;
    std::istringstream list(addresses);
    std::string address;
    while (std::getline(list, address, ',')) {
        const Json router = queryRouter(address);
        result = router.at("ready").get<bool>() ? result : exitFailed;
        if (isJson) {
            std::cout << router << '\n';
        } else {
            printRouter(router);
        }
    }
    return result;
}

// Explain

static void printSpan(const Json &span)
{
    const auto begin = std::stoll(span.at("startTimeUnixNano").get<std::string>());
    const auto end = std::stoll(span.at("endTimeUnixNano").get<std::string>());
    std::cout << "  " << span.at("name").get<std::string>() << "  " << static_cast<double>(end - begin) / 1e6 << " ms";
    for (const Json &attribute : span.at("attributes")) {
        const std::string key = attribute.at("key").get<std::string>();
        if (key != "request.id") {
            std::cout << "  " << key << '=' << attribute.at("value").at("stringValue").get<std::string>();
        }
    }
    std::cout << '\n';
}

int explainFromLogs(const std::string &request, const std::string &logs, bool isJson)
{
    std::ifstream file;
    if (logs != "-") {
        file.open(logs);
        if (!file) {
            std::cerr << logs << ": cannot open the file for reading\n";
            return exitUsage;
        }
    }
    const auto timeline = requestTimeline({request}, logs == "-" ? std::cin : file);
    if (timeline.empty()) {
        std::cerr << request << ": no log line for this request\n";
        return exitFailed;
    }
    for (const TimelineEntry &entry : timeline) {
        if (isJson) {
            std::cout << Json{{"t", entry.time.count()},
                              {"daemon", entry.daemon},
                              {"event", entry.event},
                              {"text", entry.description}}
                      << '\n';
        } else {
            std::cout << entry.time.count() << ' ' << entry.daemon << (entry.daemon.empty() ? "" : ": ")
                      << entry.description << '\n';
        }
    }
    return exitOk;
}

int explainFromTraces(const std::string &request, const std::string &vmList)
{
    std::vector<VmRecord> list;
    std::string etag;
    if (fetchVmList(vmList, etag, list) == VmListStatus::Failed) {
        std::cerr << vmList << ": the VM list does not answer\n";
        return exitFailed;
    }
    for (const VmRecord &vm : list) {
        if (vm.kind != VmKind::Entry) {
            continue;
        }
        httplib::Client client(vm.address, vm.port);
        configureClient(client, connectTimeout, responseTimeout);
        const auto response = client.Get("/trace?request=" + request);
        if (!response || response->status != 200) {
            continue;
        }
        std::cout << request << " at " << vm.id.text << ":\n";
        std::istringstream lines(response->body);
        std::string line;
        while (std::getline(lines, line)) {
            printSpan(Json::parse(line));
        }
        return exitOk;
    }
    std::cerr << request
              << ": no VM returned a trace of it; each keeps recent ones with faults and a sample of the others\n";
    return exitFailed;
}

} // namespace galenafold
