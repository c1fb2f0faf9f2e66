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

/// One attempt in the engine. Its destruction releases the slot.
struct FakeEngine::Work {
    RequestId request;
    int attempt = 1;
    int priority = 5;
    bool isLong = false;
    std::string chat;
    Tokens prompt = 0;
    Tokens reused = 0;
    int output = defaultOutputTokens;
    int nextToken = 1;    // number of the token to send next, from 1
    bool hasSlot = false; // counted in flight: running, or waiting for a slot
    EngineFault fault = EngineFault::None;
    Instant nextTokenAt{};
    FakeEngine *engine = nullptr;
    bool isCompleted = false; // the response was produced in full

    ~Work()
    {
        if (hasSlot) {
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

std::set<std::string> FakeEngine::executed() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_executed;
}

// Slots

void FakeEngine::recordLoad()
{
    m_loadSamples.push_back({clockNow(), m_stats.inFlight, m_longInFlight});
    if (m_loadSamples.size() > maxLoadSamples) {
        m_loadSamples.pop_front();
    }
}

bool FakeEngine::waitForSlot(Work &work)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_stats.inFlight;
    m_stats.maxInFlight = std::max(m_stats.maxInFlight, m_stats.inFlight);
    m_longInFlight += work.isLong ? 1 : 0;
    m_stats.maxLongInFlight = std::max(m_stats.maxLongInFlight, m_longInFlight);
    work.hasSlot = true;
    work.engine = this;
    recordLoad();
    const auto queueEntry = m_waitQueue.insert({{work.priority, ++m_arrivals}, &work});
    m_slotFree.wait(
        lock, [&] { return m_isStopping || (m_running < m_settings.slots && m_waitQueue.begin()->second == &work); });
    m_waitQueue.erase(queueEntry);
    ++m_running;
    ++m_stats.started;
    m_stats.promptTokens += work.prompt;
    m_executed.insert(work.request.text);
    work.reused = lookUpCache(work.chat, work.prompt);
    m_stats.reusedTokens += work.reused;
    m_slotFree.notify_all();
    return !m_isStopping;
}

void FakeEngine::releaseSlot(const Work &work)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_running;
    --m_stats.inFlight;
    m_longInFlight -= work.isLong ? 1 : 0;
    m_stats.cancelled += work.isCompleted ? 0 : 1;
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

static std::string chunk(const std::string &id, int token)
{
    const Json delta{{"content", "t" + std::to_string(token) + " "}};
    const Json json{{"id", id},
                    {"object", "chat.completion.chunk"},
                    {"token", token},
                    {"choices", Json::array({{{"index", 0}, {"delta", delta}}})}};
    return "data: " + json.dump() + "\n\n";
}

bool FakeEngine::stream(const std::shared_ptr<Work> &work, httplib::DataSink &sink)
{
    const std::string id = work->fault == EngineFault::WrongRequestId ? "somebody-else" : work->request.text;
    const bool isPastHalf = work->nextToken * 2 > work->output;
    if (work->fault == EngineFault::MalformedResponse && isPastHalf) {
        sink.write("\x01\x02rubbish\n\n", 12);
        return false;
    }
    if (work->fault == EngineFault::TruncatedBody && isPastHalf) {
        return false;
    }
    if (work->nextToken > work->output) {
        const bool isFinalEventMissing = work->fault == EngineFault::MissingFinalEvent;
        std::string end = isFinalEventMissing ? std::string() : "data: [DONE]\n\n";
        if (work->fault == EngineFault::DuplicateResponse) {
            end += chunk(id, 1) + "data: [DONE]\n\n";
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            insertIntoCache(work->chat, work->prompt + work->output);
            ++m_stats.completed;
            work->isCompleted = true;
        }
        sink.write(end.data(), end.size());
        sink.done();
        return true;
    }
    const std::chrono::duration<double> tokenInterval(m_slowFactor / m_settings.decodeTokensPerSecond);
    work->nextTokenAt += std::chrono::duration_cast<Duration>(tokenInterval);
    std::this_thread::sleep_until(work->nextTokenAt);
    const std::string bytes = chunk(id, work->nextToken++);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stats.generatedTokens += 1;
    }
    return !m_isStopping && sink.is_writable() && sink.write(bytes.data(), bytes.size());
}

void FakeEngine::handleCompletion(const httplib::Request &request, httplib::Response &response)
{
    auto work = std::make_shared<Work>();
    work->request = {request.get_header_value("X-Request-Id")};
    work->attempt = std::atoi(request.get_header_value("X-Attempt").c_str());
    work->priority = std::atoi(request.get_header_value("X-Priority").c_str());
    work->isLong = request.get_header_value("X-Lane") == "long";
    work->chat = request.get_header_value("X-Chat");
    const Json body = Json::parse(request.body, nullptr, false);
    work->output = body.is_object() ? body.value("max_tokens", defaultOutputTokens) : defaultOutputTokens;
    work->prompt = static_cast<double>(request.body.size()) / bytesPerToken;
    EngineFaultHook hook;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hook = m_faultHook;
    }
    work->fault = hook ? hook(work->request, work->attempt) : EngineFault::None;
    response.set_header("X-Request-Id",
                        work->fault == EngineFault::WrongRequestId ? "somebody-else" : work->request.text);
    const bool isRejecting = work->fault == EngineFault::RefuseNotExecuted || work->fault == EngineFault::RefuseLeaving;
    if (isRejecting || m_isLeaving) {
        m_isLeaving = m_isLeaving || work->fault == EngineFault::RefuseLeaving;
        response.status = 503;
        response.set_header("X-Request-Run", "no");
        response.set_header("Engine-Load", loadText());
        response.set_content("{}", "application/json");
        return;
    }
    if (!waitForSlot(*work)) {
        response.status = 500;
        return;
    }
    const int resumeFrom = std::atoi(request.get_header_value("X-Resume-From").c_str());
    work->nextToken = resumeFrom + 1;
    sleepFor((work->prompt + resumeFrom - work->reused) / m_settings.prefillTokensPerSecond);
    response.set_header("X-Prompt-Reused", std::to_string(static_cast<long>(work->reused)));
    response.set_header("Engine-Load", loadText());
    if (work->fault == EngineFault::Status500) {
        response.status = 500;
        response.set_content("{\"id\":\"" + work->request.text + "\"}", "application/json");
        return;
    }
    if (work->fault == EngineFault::CutBeforeBody) {
        response.set_content_provider(10, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) {
            return false; // a content provider that fails makes the server close the connection
        });
        return;
    }
    work->nextTokenAt = clockNow();
    if (body.is_object() && body.value("stream", false)) {
        response.set_chunked_content_provider(
            "text/event-stream", [this, work](std::size_t, httplib::DataSink &sink) { return stream(work, sink); });
        return;
    }
    sleepFor((work->output - resumeFrom) / m_settings.decodeTokensPerSecond);
    std::string text;
    for (int token = 1; token <= work->output; ++token) {
        text += "t" + std::to_string(token) + " ";
    }
    const std::string id = work->fault == EngineFault::WrongRequestId ? "somebody-else" : work->request.text;
    const Json message{{"role", "assistant"}, {"content", text}};
    const Json json{{"id", id},
                    {"object", "chat.completion"},
                    {"choices", Json::array({{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}})}};
    std::string responseBody = json.dump();
    responseBody += work->fault == EngineFault::DuplicateResponse ? responseBody : std::string();
    responseBody = work->fault == EngineFault::MalformedResponse ? "\x01\x02rubbish" : responseBody;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        insertIntoCache(work->chat, work->prompt + work->output);
        m_stats.generatedTokens += work->output;
        ++m_stats.completed;
        work->isCompleted = true;
    }
    if (work->fault == EngineFault::TruncatedBody) {
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
