// Requests to endpoints over cpp-httplib.
#include "clients/endpoint.h"

#include "clients/http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto connectWithin = std::chrono::milliseconds(1000);
constexpr auto probeWithin = std::chrono::milliseconds(1000);
constexpr auto idleLife = std::chrono::seconds(10);
constexpr std::size_t mostIdle = 256; // connections to one endpoint

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
    report.measured = now - std::chrono::milliseconds(ageMillis);
    return true;
}

// Cancel

void CancelToken::cancel()
{
    std::shared_ptr<httplib::Client> client;
    m_isCancelled = true;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        client = m_client;
    }
    if (client) {
        client->stop();
    }
}

void CancelToken::attach(const std::shared_ptr<httplib::Client> &client)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_client = client;
}

// Client

static std::string poolKey(const VmRecord &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port) + '#'
        + std::to_string(static_cast<std::uint64_t>(endpoint.incarnation));
}

std::shared_ptr<httplib::Client> EndpointClient::take(const EndpointRequest &request)
{
    if (request.mayReuse) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<Idle> &idle = m_idle[poolKey(request.endpoint)];
        while (!idle.empty()) {
            const Idle last = idle.back();
            idle.pop_back();
            if (last.useBy > clockNow()) {
                return last.client;
            }
        }
    }
    auto client = std::make_shared<httplib::Client>(request.endpoint.address, request.endpoint.port);
    client->set_keep_alive(request.mayReuse);
    return client;
}

void EndpointClient::giveBack(const EndpointRequest &request, const std::shared_ptr<httplib::Client> &client)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Idle> &idle = m_idle[poolKey(request.endpoint)];
    if (idle.size() < mostIdle) {
        idle.push_back({client, clockNow() + idleLife});
    }
}

static httplib::Headers headersOf(const EndpointRequest &request)
{
    httplib::Headers headers{{"Content-Type", "application/json"},
                             {"X-Request-Id", request.request.text},
                             {"X-Attempt", std::to_string(request.attempt)},
                             {"X-Priority", std::to_string(request.priority)},
                             {"X-Lane", request.isLong ? "long" : "short"}};
    if (!request.chat.empty()) {
        headers.emplace("X-Chat", request.chat);
    }
    if (!request.traceparent.empty()) {
        headers.emplace("traceparent", request.traceparent);
    }
    if (!request.operationKey.empty()) {
        headers.emplace("Idempotency-Key", request.operationKey);
    }
    if (request.resumeFrom > 0) {
        headers.emplace("X-Resume-From", std::to_string(static_cast<long>(request.resumeFrom)));
    }
    return headers;
}

static EndpointHead headOf(const httplib::Response &response, const VmRecord &endpoint)
{
    EndpointHead head;
    head.status = response.status;
    head.contentType = response.get_header_value("Content-Type");
    head.echoedRequest = response.get_header_value("X-Request-Id");
    head.run = response.get_header_value("X-Request-Run");
    head.isFramed = response.has_header("Content-Length") || response.has_header("Transfer-Encoding");
    head.reusedPrompt = std::atof(response.get_header_value("X-Prompt-Reused").c_str());
    head.load.endpoint = endpoint.id;
    head.load.incarnation = endpoint.incarnation;
    const std::string load = response.get_header_value("Engine-Load");
    head.hasLoad = !load.empty() && parseLoad(load, clockNow(), head.load);
    return head;
}

SendResult EndpointClient::send(const EndpointRequest &request, const EndpointEvents &events, CancelToken &token)
{
    const std::shared_ptr<httplib::Client> client = take(request);
    token.attach(client);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - clockNow());
    if (token.isCancelled() || left.count() <= 0) {
        token.attach(nullptr);
        return SendResult::NotSent;
    }
    tuneClient(*client, connectWithin, left);
    httplib::Request http;
    http.method = "POST";
    http.path = request.path;
    http.headers = headersOf(request);
    http.body = request.body;
    http.response_handler = [&](const httplib::Response &response) {
        return events.onHead(headOf(response, request.endpoint));
    };
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        return !token.isCancelled() && events.onData(data, size);
    };
    const httplib::Result result = client->send(http);
    token.attach(nullptr);
    if (!result) {
        const bool isUnsent =
            result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout;
        return isUnsent ? SendResult::NotSent : SendResult::Broken;
    }
    if (request.mayReuse && !token.isCancelled()) {
        giveBack(request, client);
    }
    return SendResult::Whole;
}

bool EndpointClient::readLoad(const VmRecord &endpoint, LoadReport &report)
{
    httplib::Client client(endpoint.address, endpoint.port);
    tuneClient(client, probeWithin, probeWithin);
    const auto response = client.Get("/load");
    report.endpoint = endpoint.id;
    report.incarnation = endpoint.incarnation;
    return response && response->status == 200 && parseLoad(response->body, clockNow(), report);
}

bool EndpointClient::readCacheEvents(const VmRecord &endpoint, std::int64_t &from, std::vector<ChatId> &dropped)
{
    httplib::Client client(endpoint.address, endpoint.port);
    tuneClient(client, probeWithin, probeWithin);
    const auto response = client.Get("/cache/events?from=" + std::to_string(from));
    if (!response || response->status != 200) {
        return false;
    }
    const Json json = Json::parse(response->body, nullptr, false);
    try {
        for (const Json &event : json.at("events")) {
            dropped.push_back({event.at("dropped").get<std::string>()});
        }
        from = json.at("next").get<std::int64_t>();
    } catch (const Json::exception &) {
        return false;
    }
    return true;
}

} // namespace galenafold
