// The engine stand-in.
#include "fakes/engine.h"

#include "clients/endpoint.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int defaultOutput = 32; // tokens
constexpr double bytesPerToken = 4;
constexpr std::size_t mostEvents = 10000;
constexpr std::size_t mostLoadPoints = 100000;

/// One request in the engine.
struct FakeEngine::Work {
    RequestId request;
    int attempt = 1;
    int priority = 5;
    bool isLong = false;
    std::string chat;
    Tokens prompt = 0;
    Tokens reused = 0;
    int output = defaultOutput;
    int next = 1; // token to send
    bool hasSlot = false;
    EngineFault fault = EngineFault::None;
    Instant nextTokenAt{};
    FakeEngine *engine = nullptr;
    bool isEnded = false;

    ~Work()
    {
        if (hasSlot) {
            engine->leaveSlot(*this);
        }
    }
};

FakeEngine::FakeEngine(const VmId &id, Incarnation incarnation, const EngineKnobs &knobs)
    : m_id(id)
    , m_incarnation(incarnation)
    , m_knobs(knobs)
    , m_server(ServerLimits{static_cast<std::size_t>(knobs.threads), 64 << 20, 15, 60, 60})
{
    httplib::Server &http = m_server.http();
    http.Post("/v1/chat/completions",
              [this](const httplib::Request &request, httplib::Response &response) { complete(request, response); });
    http.Get("/load", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(loadText(), "text/plain");
    });
    http.Get("/cache/events", [this](const httplib::Request &request, httplib::Response &response) {
        response.set_content(events(std::atoll(request.get_param_value("from").c_str())), "application/json");
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

EngineFigures FakeEngine::figures() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_figures;
}

int FakeEngine::inFlight() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_figures.inFlight;
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

void FakeEngine::noteLoad()
{
    m_loads.push_back({clockNow(), m_figures.inFlight, m_longInFlight});
    if (m_loads.size() > mostLoadPoints) {
        m_loads.pop_front();
    }
}

bool FakeEngine::waitForSlot(Work &work)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_figures.inFlight;
    m_figures.mostInFlight = std::max(m_figures.mostInFlight, m_figures.inFlight);
    m_longInFlight += work.isLong ? 1 : 0;
    m_figures.mostLong = std::max(m_figures.mostLong, m_longInFlight);
    work.hasSlot = true;
    work.engine = this;
    noteLoad();
    const auto place = m_waiting.insert({{work.priority, ++m_arrivals}, &work});
    m_slotFree.wait(lock,
                    [&] { return m_isStopping || (m_running < m_knobs.slots && m_waiting.begin()->second == &work); });
    m_waiting.erase(place);
    ++m_running;
    ++m_figures.started;
    m_figures.promptTokens += work.prompt;
    m_executed.insert(work.request.text);
    work.reused = takeFromCache(work.chat, work.prompt);
    m_figures.reusedTokens += work.reused;
    m_slotFree.notify_all();
    return !m_isStopping;
}

void FakeEngine::leaveSlot(const Work &work)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_running;
    --m_figures.inFlight;
    m_longInFlight -= work.isLong ? 1 : 0;
    m_figures.cancelled += work.isEnded ? 0 : 1;
    noteLoad();
    m_slotFree.notify_all();
}

// Cache

Tokens FakeEngine::takeFromCache(const std::string &chat, Tokens prompt)
{
    const auto entry = m_cache.find(chat);
    if (chat.empty() || entry == m_cache.end()) {
        return 0;
    }
    m_cacheOrder.splice(m_cacheOrder.end(), m_cacheOrder, entry->second.place);
    return std::min(prompt, entry->second.tokens);
}

void FakeEngine::putInCache(const std::string &chat, Tokens tokens)
{
    if (chat.empty()) {
        return;
    }
    const auto entry = m_cache.find(chat);
    if (entry == m_cache.end()) {
        m_cacheOrder.push_back(chat);
        m_cache[chat] = {tokens, std::prev(m_cacheOrder.end())};
        m_cached += tokens;
    } else {
        m_cached += std::max(0.0, tokens - entry->second.tokens);
        entry->second.tokens = std::max(tokens, entry->second.tokens);
    }
    while (m_cached > m_knobs.cacheTokens && m_cacheOrder.size() > 1) {
        const std::string oldest = m_cacheOrder.front();
        m_cacheOrder.pop_front();
        m_cached -= m_cache[oldest].tokens;
        m_cache.erase(oldest);
        m_events.push_back({clockNow(), ++m_eventNumber, oldest});
        if (m_events.size() > mostEvents) {
            m_events.pop_front();
        }
    }
}

std::string FakeEngine::events(std::int64_t from) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json list = Json::array();
    std::int64_t next = from;
    for (const CacheEvent &event : m_events) {
        if (event.number < from || event.when + m_knobs.eventLag > clockNow()) {
            continue;
        }
        next = event.number + 1;
        if (m_knobs.eventGap == 0 || event.number % m_knobs.eventGap != 0) {
            list.push_back({{"dropped", event.dropped}});
        }
    }
    return Json{{"events", list}, {"next", next}}.dump();
}

// Load

std::string FakeEngine::loadText() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Instant then = clockNow() - m_knobs.reportLag;
    LoadPoint point;
    for (auto it = m_loads.rbegin(); it != m_loads.rend(); ++it) {
        if (it->when <= then) {
            point = *it;
            break;
        }
    }
    return "age_ms=" + std::to_string(m_knobs.reportLag.count()) + " slots=" + std::to_string(m_knobs.slots)
        + " in_flight=" + std::to_string(point.inFlight) + " long=" + std::to_string(point.longInFlight)
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
    const std::string id = work->fault == EngineFault::WrongRequest ? "somebody-else" : work->request.text;
    const bool isHalf = work->next * 2 > work->output;
    if (work->fault == EngineFault::Rubbish && isHalf) {
        sink.write("\x01\x02rubbish\n\n", 12);
        return false;
    }
    if (work->fault == EngineFault::CutHalfWay && isHalf) {
        return false;
    }
    if (work->next > work->output) {
        const bool isSilent = work->fault == EngineFault::CleanEndEarly;
        std::string end = isSilent ? std::string() : "data: [DONE]\n\n";
        if (work->fault == EngineFault::TwoAnswers) {
            end += chunk(id, 1) + "data: [DONE]\n\n";
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            putInCache(work->chat, work->prompt + work->output);
            ++m_figures.completed;
            work->isEnded = true;
        }
        sink.write(end.data(), end.size());
        sink.done();
        return true;
    }
    const std::chrono::duration<double> step(m_slowFactor / m_knobs.decodeTokensPerSecond);
    work->nextTokenAt += std::chrono::duration_cast<Duration>(step);
    std::this_thread::sleep_until(work->nextTokenAt);
    const std::string bytes = chunk(id, work->next++);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_figures.generatedTokens += 1;
    }
    return !m_isStopping && sink.is_writable() && sink.write(bytes.data(), bytes.size());
}

void FakeEngine::complete(const httplib::Request &request, httplib::Response &response)
{
    auto work = std::make_shared<Work>();
    work->request = {request.get_header_value("X-Request-Id")};
    work->attempt = std::atoi(request.get_header_value("X-Attempt").c_str());
    work->priority = std::atoi(request.get_header_value("X-Priority").c_str());
    work->isLong = request.get_header_value("X-Lane") == "long";
    work->chat = request.get_header_value("X-Chat");
    const Json body = Json::parse(request.body, nullptr, false);
    work->output = body.is_object() ? body.value("max_tokens", defaultOutput) : defaultOutput;
    work->prompt = static_cast<double>(request.body.size()) / bytesPerToken;
    EngineFaultHook hook;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hook = m_faultHook;
    }
    work->fault = hook ? hook(work->request, work->attempt) : EngineFault::None;
    response.set_header("X-Request-Id",
                        work->fault == EngineFault::WrongRequest ? "somebody-else" : work->request.text);
    const bool isRefusing = work->fault == EngineFault::RefuseNotRun || work->fault == EngineFault::RefuseLeaving;
    if (isRefusing || m_isLeaving) {
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
    work->next = resumeFrom + 1;
    sleepFor((work->prompt + resumeFrom - work->reused) / m_knobs.prefillTokensPerSecond);
    response.set_header("X-Prompt-Reused", std::to_string(static_cast<long>(work->reused)));
    response.set_header("Engine-Load", loadText());
    if (work->fault == EngineFault::Status500) {
        response.status = 500;
        response.set_content("{\"id\":\"" + work->request.text + "\"}", "application/json");
        return;
    }
    if (work->fault == EngineFault::CutBeforeHead) {
        response.set_content_provider(10, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) {
            return false; // the head is gone with the broken body: see checks of the attempt
        });
        return;
    }
    work->nextTokenAt = clockNow();
    if (body.is_object() && body.value("stream", false)) {
        response.set_chunked_content_provider(
            "text/event-stream", [this, work](std::size_t, httplib::DataSink &sink) { return stream(work, sink); });
        return;
    }
    sleepFor((work->output - resumeFrom) / m_knobs.decodeTokensPerSecond);
    std::string text;
    for (int token = 1; token <= work->output; ++token) {
        text += "t" + std::to_string(token) + " ";
    }
    const std::string id = work->fault == EngineFault::WrongRequest ? "somebody-else" : work->request.text;
    const Json message{{"role", "assistant"}, {"content", text}};
    const Json json{{"id", id},
                    {"object", "chat.completion"},
                    {"choices", Json::array({{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}})}};
    std::string whole = json.dump();
    whole += work->fault == EngineFault::TwoAnswers ? whole : std::string();
    whole = work->fault == EngineFault::Rubbish ? "\x01\x02rubbish" : whole;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        putInCache(work->chat, work->prompt + work->output);
        m_figures.generatedTokens += work->output;
        ++m_figures.completed;
        work->isEnded = true;
    }
    if (work->fault == EngineFault::CutHalfWay) {
        const std::size_t half = whole.size() / 2;
        response.set_content_provider(whole.size(), "application/json",
                                      [whole, half](std::size_t offset, std::size_t, httplib::DataSink &sink) {
                                          return offset < half && sink.write(whole.data() + offset, half - offset);
                                      });
        return;
    }
    response.set_content(whole, "application/json");
}

} // namespace galenafold
