// Implements the fake model engine: slots, prefix cache, load reports, and responses with injected faults.
//
// Sections of this file: Slots, Cache, Load, Requests.
#include "fakes/engine.h"

#include "clients/endpoint.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int defaultOutputTokens = 32; // for requests without max_tokens
constexpr double bytesPerToken = 4;     // estimates the prompt tokens from the size of the request body
constexpr std::size_t maxCacheEvents = 10000;
constexpr std::size_t maxLoadSamples = 100000;

/// One attempt at the engine. Its destruction releases the slot.
struct FakeEngine::Attempt {
    RequestId request;
    int number = 1; // of the attempt, as its caller counts, from 1
    int priority = 5;
    bool isLong = false;
    std::string chat;
    Tokens prompt = 0;
    Tokens reused = 0;
    int output = defaultOutputTokens;
    int nextToken = 1;       // number of the token to send next, from 1
    bool isInFlight = false; // runs or waits for a slot
    EngineFault fault = EngineFault::None;
    Instant nextTokenAt{};
    FakeEngine *engine = nullptr;
    bool isCompleted = false; // the response was produced in full

    ~Attempt()
    {
        if (isInFlight) {
            engine->releaseSlot(*this);
        }
    }
};

FakeEngine::FakeEngine(const VmId &id, Incarnation incarnation, const EngineSettings &settings)
    : m_id(id)
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_server(ServerLimits{static_cast<std::size_t>(settings.threads), 64 << 20, 15, 60, 60})
{
    httplib::Server &http = m_server.http();
    http.Post("/v1/chat/completions", [this](const httplib::Request &request, httplib::Response &response) {
        handleCompletion(request, response);
    });
    http.Get("/load", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(loadText(), "text/plain");
    });
    http.Get("/cache/events", [this](const httplib::Request &request, httplib::Response &response) {
        response.set_content(cacheEventsText(std::atoll(request.get_param_value("from").c_str())), "application/json");
    });
}

FakeEngine::~FakeEngine()
{
    stop();
}

bool FakeEngine::start(const std::string &address)
{
    return m_server.start(address, 0);
}

void FakeEngine::stop()
{
    m_isStopping = true;
    m_slotFree.notify_all();
    m_server.stop();
}

VmRecord FakeEngine::record(const std::vector<PoolId> &pools, const DataCentreId &dataCentre) const
{
    VmRecord record;
    record.id = m_id;
    record.kind = VmKind::Engine;
    record.incarnation = m_incarnation;
    record.address = "127.0.0.1";
    record.port = m_server.port();
    record.dataCentre = dataCentre;
    record.pools = pools;
    return record;
}

void FakeEngine::setFaultHook(EngineFaultHook hook)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faultHook = std::move(hook);
}

EngineStats FakeEngine::stats() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stats;
}

int FakeEngine::inFlight() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stats.inFlight;
}

int FakeEngine::longInFlight() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_longInFlight;
}

std::set<std::string> FakeEngine::executedRequests() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_executedRequests;
}

// Slots

void FakeEngine::recordLoad()
{
    m_loadSamples.push_back({clockNow(), m_stats.inFlight, m_longInFlight});
    if (m_loadSamples.size() > maxLoadSamples) {
        m_loadSamples.pop_front();
    }
}

bool FakeEngine::waitForSlot(Attempt &attempt)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_stats.inFlight;
    m_stats.maxInFlight = std::max(m_stats.maxInFlight, m_stats.inFlight);
    m_longInFlight += attempt.isLong ? 1 : 0;
    m_stats.maxLongInFlight = std::max(m_stats.maxLongInFlight, m_longInFlight);
    attempt.isInFlight = true;
    attempt.engine = this;
    recordLoad();
    const auto queueEntry = m_waitQueue.insert({{attempt.priority, ++m_arrivals}, &attempt});
    m_slotFree.wait(lock, [&] {
        return m_isStopping || (m_running < m_settings.slots && m_waitQueue.begin()->second == &attempt);
    });
    m_waitQueue.erase(queueEntry);
    ++m_running;
    ++m_stats.started;
    m_stats.promptTokens += attempt.prompt;
    m_executedRequests.insert(attempt.request.text);
    attempt.reused = lookUpCache(attempt.chat, attempt.prompt);
    m_stats.reusedTokens += attempt.reused;
    m_slotFree.notify_all();
    return !m_isStopping;
}

void FakeEngine::releaseSlot(const Attempt &attempt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_running;
    --m_stats.inFlight;
    m_longInFlight -= attempt.isLong ? 1 : 0;
    m_stats.cancelled += attempt.isCompleted ? 0 : 1;
    recordLoad();
    m_slotFree.notify_all();
}

// Cache

Tokens FakeEngine::lookUpCache(const std::string &chat, Tokens prompt)
{
    const auto entry = m_cache.find(chat);
    if (chat.empty() || entry == m_cache.end()) {
        return 0;
    }
    m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, entry->second.lruPosition);
    return std::min(prompt, entry->second.tokens);
}

void FakeEngine::insertIntoCache(const std::string &chat, Tokens tokens)
{
    if (chat.empty()) {
        return;
    }
    const auto entry = m_cache.find(chat);
    if (entry == m_cache.end()) {
        m_lruOrder.push_back(chat);
        m_cache[chat] = {tokens, std::prev(m_lruOrder.end())};
        m_cachedTokens += tokens;
    } else {
        m_cachedTokens += std::max(0.0, tokens - entry->second.tokens);
        entry->second.tokens = std::max(tokens, entry->second.tokens);
    }
    while (m_cachedTokens > m_settings.cacheTokens && m_lruOrder.size() > 1) {
        const std::string leastRecent = m_lruOrder.front();
        m_lruOrder.pop_front();
        m_cachedTokens -= m_cache[leastRecent].tokens;
        m_cache.erase(leastRecent);
        m_cacheEvents.push_back({clockNow(), ++m_lastEventNumber, leastRecent});
        if (m_cacheEvents.size() > maxCacheEvents) {
            m_cacheEvents.pop_front();
        }
    }
}

std::string FakeEngine::cacheEventsText(std::int64_t from) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json list = Json::array();
    std::int64_t next = from;
    for (const CacheEvent &event : m_cacheEvents) {
        if (event.number < from || event.when + m_settings.cacheEventLag > clockNow()) {
            continue;
        }
        next = event.number + 1;
        if (m_settings.cacheEventLossInterval == 0 || event.number % m_settings.cacheEventLossInterval != 0) {
            list.push_back({{"dropped", event.evictedChat}});
        }
    }
    return Json{{"events", list}, {"next", next}}.dump();
}

// Load

std::string FakeEngine::loadText() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Instant reportTime = clockNow() - m_settings.reportLag;
    LoadSample sample;
    for (auto it = m_loadSamples.rbegin(); it != m_loadSamples.rend(); ++it) {
        if (it->when <= reportTime) {
            sample = *it;
            break;
        }
    }
    return "age_ms=" + std::to_string(m_settings.reportLag.count()) + " slots=" + std::to_string(m_settings.slots)
        + " in_flight=" + std::to_string(sample.inFlight) + " long=" + std::to_string(sample.longInFlight)
        + " leaving=" + (m_isLeaving ? "1" : "0");
}

// Requests

void FakeEngine::sleepFor(double seconds) const
{
    const std::chrono::duration<double> time(seconds * m_slowFactor);
    std::this_thread::sleep_for(time);
}

static std::string encodeTokenEvent(const std::string &id, int token)
{
    const Json delta{{"content", "t" + std::to_string(token) + " "}};
    const Json json{{"id", id},
                    {"object", "chat.completion.chunk"},
                    {"token", token},
                    {"choices", Json::array({{{"index", 0}, {"delta", delta}}})}};
    return "data: " + json.dump() + "\n\n";
}

bool FakeEngine::stream(const std::shared_ptr<Attempt> &attempt, httplib::DataSink &sink)
{
    const std::string id = attempt->fault == EngineFault::WrongRequestId ? "somebody-else" : attempt->request.text;
    const bool isPastHalf = attempt->nextToken * 2 > attempt->output;
    if (attempt->fault == EngineFault::MalformedResponse && isPastHalf) {
        sink.write("\x01\x02rubbish\n\n", 12);
        return false;
    }
    if (attempt->fault == EngineFault::TruncatedBody && isPastHalf) {
        return false;
    }
    if (attempt->nextToken > attempt->output) {
        const bool isFinalEventMissing = attempt->fault == EngineFault::MissingFinalEvent;
        std::string finalEvents = isFinalEventMissing ? std::string() : "data: [DONE]\n\n";
        if (attempt->fault == EngineFault::DuplicateResponse) {
            finalEvents += encodeTokenEvent(id, 1) + "data: [DONE]\n\n";
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            insertIntoCache(attempt->chat, attempt->prompt + attempt->output);
            ++m_stats.completed;
            attempt->isCompleted = true;
        }
        sink.write(finalEvents.data(), finalEvents.size());
        sink.done();
        return true;
    }
    const std::chrono::duration<double> tokenInterval(m_slowFactor / m_settings.decodeTokensPerSecond);
    attempt->nextTokenAt += std::chrono::duration_cast<Duration>(tokenInterval);
    std::this_thread::sleep_until(attempt->nextTokenAt);
    const std::string bytes = encodeTokenEvent(id, attempt->nextToken++);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stats.generatedTokens += 1;
    }
    return !m_isStopping && sink.is_writable() && sink.write(bytes.data(), bytes.size());
}

void FakeEngine::handleCompletion(const httplib::Request &request, httplib::Response &response)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->request = {request.get_header_value("X-Request-Id")};
    attempt->number = std::atoi(request.get_header_value("X-Attempt").c_str());
    attempt->priority = std::atoi(request.get_header_value("X-Priority").c_str());
    attempt->isLong = request.get_header_value("X-Lane") == "long";
    attempt->chat = request.get_header_value("X-Chat");
    const Json body = Json::parse(request.body, nullptr, false);
    attempt->output = body.is_object() ? body.value("max_tokens", defaultOutputTokens) : defaultOutputTokens;
    attempt->prompt = static_cast<double>(request.body.size()) / bytesPerToken;
    EngineFaultHook hook;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hook = m_faultHook;
    }
    attempt->fault = hook ? hook(attempt->request, attempt->number) : EngineFault::None;
    response.set_header("X-Request-Id",
                        attempt->fault == EngineFault::WrongRequestId ? "somebody-else" : attempt->request.text);
    const bool isRefusing =
        attempt->fault == EngineFault::RefuseNotExecuted || attempt->fault == EngineFault::RefuseLeaving;
    if (isRefusing || m_isLeaving) {
        m_isLeaving = m_isLeaving || attempt->fault == EngineFault::RefuseLeaving;
        response.status = 503;
        response.set_header("X-Request-Run", "no");
        response.set_header("Engine-Load", loadText());
        response.set_content("{}", "application/json");
        return;
    }
    if (!waitForSlot(*attempt)) {
        response.status = 500;
        return;
    }
    const int resumeFrom = std::atoi(request.get_header_value("X-Resume-From").c_str());
    attempt->nextToken = resumeFrom + 1;
    sleepFor((attempt->prompt + resumeFrom - attempt->reused) / m_settings.prefillTokensPerSecond);
    response.set_header("X-Prompt-Reused", std::to_string(static_cast<long>(attempt->reused)));
    response.set_header("Engine-Load", loadText());
    if (attempt->fault == EngineFault::Status500) {
        response.status = 500;
        response.set_content("{\"id\":\"" + attempt->request.text + "\"}", "application/json");
        return;
    }
    if (attempt->fault == EngineFault::CutBeforeBody) {
        response.set_content_provider(10, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) {
            return false; // a content provider that fails makes the server close the connection
        });
        return;
    }
    const bool isStream = body.is_object() && body.value("stream", false);
    if (attempt->fault == EngineFault::Undelimited) {
        const std::string part =
            isStream ? encodeTokenEvent(attempt->request.text, 1) : "{\"id\":\"" + attempt->request.text + "\"}";
        response.set_content_provider(isStream ? "text/event-stream" : "application/json",
                                      [part](std::size_t, httplib::DataSink &sink) {
                                          sink.write(part.data(), part.size());
                                          return false;
                                      });
        return;
    }
    attempt->nextTokenAt = clockNow();
    if (isStream) {
        response.set_chunked_content_provider(
            "text/event-stream",
            [this, attempt](std::size_t, httplib::DataSink &sink) { return stream(attempt, sink); });
        return;
    }
    sleepFor((attempt->output - resumeFrom) / m_settings.decodeTokensPerSecond);
    std::string text;
    for (int token = 1; token <= attempt->output; ++token) {
        text += "t" + std::to_string(token) + " ";
    }
    const std::string id = attempt->fault == EngineFault::WrongRequestId ? "somebody-else" : attempt->request.text;
    const Json message{{"role", "assistant"}, {"content", text}};
    const Json json{{"id", id},
                    {"object", "chat.completion"},
                    {"choices", Json::array({{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}})}};
    std::string responseBody = json.dump();
    responseBody += attempt->fault == EngineFault::DuplicateResponse ? responseBody : std::string();
    responseBody = attempt->fault == EngineFault::MalformedResponse ? "\x01\x02rubbish" : responseBody;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        insertIntoCache(attempt->chat, attempt->prompt + attempt->output);
        m_stats.generatedTokens += attempt->output;
        ++m_stats.completed;
        attempt->isCompleted = true;
    }
    if (attempt->fault == EngineFault::TruncatedBody) {
        const std::size_t half = responseBody.size() / 2;
        response.set_content_provider(responseBody.size(), "application/json",
                                      [responseBody, half](std::size_t offset, std::size_t, httplib::DataSink &sink) {
                                          return offset < half
                                              && sink.write(responseBody.data() + offset, half - offset);
                                      });
        return;
    }
    response.set_content(responseBody, "application/json");
}

} // namespace galenafold
