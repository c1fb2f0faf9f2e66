// HTTP protocol of the project's own endpoints. Sections of this file: Load, Request, Response, Probes.
#include "clients/endpoint.h"

#include "clients/http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto probeTimeout = std::chrono::milliseconds(1000); // to connect, and for each read

// Load

bool parseLoad(const std::string &text, Instant now, LoadReport &report)
{
    std::istringstream in(text);
    std::string word;
    int ageMillis = -1;
    while (in >> word) {
        const std::size_t equals = word.find('=');
        const std::string digits = equals == std::string::npos ? std::string() : word.substr(equals + 1);
        const bool isNumber =
            !digits.empty() && digits.size() <= 9 && digits.find_first_not_of("0123456789") == std::string::npos;
        if (!isNumber) {
            return false;
        }
        const int value = std::stoi(digits);
        const std::string name = word.substr(0, equals);
        ageMillis = name == "age_ms" ? value : ageMillis;
        report.slots = name == "slots" ? value : report.slots;
        report.inFlight = name == "in_flight" ? value : report.inFlight;
        report.longInFlight = name == "long" ? value : report.longInFlight;
        report.isLeaving = name == "leaving" ? value != 0 : report.isLeaving;
    }
    if (ageMillis < 0) {
        return false;
    }
    report.measuredAt = now - std::chrono::milliseconds(ageMillis);
    return true;
}

// Request

std::string encodeEndpointRequest(const EndpointRequest &request)
{
    std::string bytes = "POST " + request.path + " HTTP/1.1\r\n";
    appendField(bytes, "Host", request.host);
    appendField(bytes, "Content-Type", "application/json");
    appendField(bytes, "X-Request-Id", request.request.text);
    appendField(bytes, "X-Attempt", std::to_string(request.attempt));
    appendField(bytes, "X-Priority", std::to_string(request.priority));
    appendField(bytes, "X-Lane", request.isLong ? "long" : "short");
    if (!request.chat.empty()) {
        appendField(bytes, "X-Chat", request.chat);
    }
    if (!request.traceparent.empty()) {
        appendField(bytes, "traceparent", request.traceparent);
    }
    if (!request.idempotencyKey.empty()) {
        appendField(bytes, "Idempotency-Key", request.idempotencyKey);
    }
    if (request.resumeFrom > 0) {
        appendField(bytes, "X-Resume-From", std::to_string(static_cast<long>(request.resumeFrom)));
    }
    appendField(bytes, "Content-Length", std::to_string(request.body.size()));
    return bytes + "\r\n" + request.body;
}

// Response

static std::string fieldValue(const ResponseHead &head, std::string_view name)
{
    const std::string *found = findField(head.fields, name);
    return found ? *found : std::string();
}

EndpointResponseHead decodeEndpointHead(const ResponseHead &response, const VmRecord &endpoint, Instant now)
{
    EndpointResponseHead head;
    head.status = response.status;
    head.contentType = fieldValue(response, "Content-Type");
    head.echoedRequest = fieldValue(response, "X-Request-Id");
    head.run = fieldValue(response, "X-Request-Run");
    head.isFramed = !response.isCloseDelimited;
    head.reusedPrompt = std::atof(fieldValue(response, "X-Prompt-Reused").c_str());
    head.load.endpoint = endpoint.id;
    head.load.incarnation = endpoint.incarnation;
    const std::string load = fieldValue(response, "Engine-Load");
    head.hasLoad = !load.empty() && parseLoad(load, now, head.load);
    return head;
}

// Probes

bool fetchLoad(const VmRecord &endpoint, LoadReport &report)
{
    httplib::Client client(endpoint.address, endpoint.port);
    configureClient(client, probeTimeout, probeTimeout);
    const auto response = client.Get("/load");
    report.endpoint = endpoint.id;
    report.incarnation = endpoint.incarnation;
    return response && response->status == 200 && parseLoad(response->body, clockNow(), report);
}

bool fetchCacheEvents(const VmRecord &endpoint, std::int64_t &from, std::vector<ChatId> &evicted)
{
    httplib::Client client(endpoint.address, endpoint.port);
    configureClient(client, probeTimeout, probeTimeout);
    const auto response = client.Get("/cache/events?from=" + std::to_string(from));
    if (!response || response->status != 200) {
        return false;
    }
    const Json json = Json::parse(response->body, nullptr, false);
    try {
        for (const Json &event : json.at("events")) {
            evicted.push_back({event.at("dropped").get<std::string>()});
        }
        from = json.at("next").get<std::int64_t>();
    } catch (const Json::exception &) {
        return false;
    }
    return true;
}

} // namespace galenafold
