// A small stand-in for a model engine: slots by priority, prefill and decode speeds, a prefix cache with limited
// memory, load reports with a lag, cache events late and with gaps, leaving, slow-down, cancel, resume.
//
// Sections of this file: Knobs, Faults, Figures, Engine.
#pragma once

#include "clients/http.h"

#include <atomic>
#include <list>
#include <map>
#include <set>

namespace galenafold
{

// Knobs

struct EngineKnobs {
    int slots = 8;                        // requests that run at once
    double prefillTokensPerSecond = 8000; // of one request
    double decodeTokensPerSecond = 50;    // of one stream
    Tokens cacheTokens = 200000;          // prompt tokens kept, over all chats
    std::chrono::milliseconds reportLag{100};
    std::chrono::milliseconds eventLag{500};
    int eventGap = 7; // every so-manieth cache event is lost; 0: none
    int threads = 1200;
};

// Faults

enum class EngineFault : std::uint8_t {
    None,
    RefuseNotRun,  // 503 and "not run"
    RefuseLeaving, // 503, "not run", and says that it is leaving
    Status500,     // runs, then answers 500
    CutHalfWay,    // the connection closes in the middle of the answer
    CutBeforeHead, // runs, and closes without an answer
    WrongRequest,  // answers another request's id
    TwoAnswers,    // a second answer follows the first
    Rubbish,       // bytes that are no answer
    CleanEndEarly, // HTTP ends well, but the closing event is missing
};

/// Decides the fault of one attempt. Called on the engine's threads.
using EngineFaultHook = std::function<EngineFault(const RequestId &request, int attempt)>;

// Figures

struct EngineFigures {
    std::int64_t started = 0; // attempts that got a slot
    std::int64_t completed = 0;
    std::int64_t cancelled = 0; // callers that hung up
    double promptTokens = 0;
    double reusedTokens = 0;
    double generatedTokens = 0;
    int inFlight = 0;
    int mostInFlight = 0;
    int mostLong = 0; // of the long lane, at once
};

// Engine

class FakeEngine
{
public:
    FakeEngine(const VmId &id, Incarnation incarnation, const EngineKnobs &knobs);
    ~FakeEngine();

    bool start(const std::string &address = "127.0.0.1");
    void stop();
    VmRecord record(const std::vector<PoolId> &pools, const DataCentreId &dataCentre) const;

    void setFaultHook(EngineFaultHook hook);
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    EngineFigures figures() const;
    int inFlight() const;
    int longInFlight() const;               ///< @return of these, in the long lane
    std::set<std::string> executed() const; ///< @return ids of requests that got a slot

private:
    struct Work;
    struct LoadPoint {
        Instant when{};
        int inFlight = 0;
        int longInFlight = 0;
    };

    void complete(const httplib::Request &request, httplib::Response &response);
    bool waitForSlot(Work &work);
    void leaveSlot(const Work &work);
    Tokens takeFromCache(const std::string &chat, Tokens prompt);
    void putInCache(const std::string &chat, Tokens tokens);
    void noteLoad();
    std::string loadText() const;
    bool stream(const std::shared_ptr<Work> &work, httplib::DataSink &sink);
    void sleepFor(double seconds) const;
    std::string events(std::int64_t from) const;

    struct CacheEntry {
        Tokens tokens = 0;
        std::list<std::string>::iterator place;
    };
    struct CacheEvent {
        Instant when{};
        std::int64_t number = 0;
        std::string dropped;
    };

    const VmId m_id;
    const Incarnation m_incarnation;
    const EngineKnobs m_knobs;
    HttpServer m_server;
    std::atomic<double> m_slowFactor{1};
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isStopping{false};
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFree;
    std::multimap<std::pair<int, std::int64_t>, Work *> m_waiting; // by priority, then arrival
    int m_running = 0;
    int m_longInFlight = 0;
    std::int64_t m_arrivals = 0;
    EngineFigures m_figures;
    std::set<std::string> m_executed;
    std::map<std::string, CacheEntry> m_cache;
    std::list<std::string> m_cacheOrder; // least recently used first
    Tokens m_cached = 0;
    std::deque<CacheEvent> m_events;
    std::int64_t m_eventNumber = 0;
    std::deque<LoadPoint> m_loads;
    EngineFaultHook m_faultHook;
};

} // namespace galenafold
