// Fake model engine for tests, benchmarks and the demo. It models slots that are assigned by priority, prefill and
// decode speed, a prefix cache with LRU eviction, delayed load reports, delayed and partly lost cache events, leaving
// the fleet, slow-down, cancellation and resumption of streams.
//
// Sections of this file: Settings, Faults, Statistics, Engine.
#pragma once

#include "clients/http.h"

#include <atomic>
#include <list>
#include <map>
#include <set>

namespace galenafold
{

// Settings

struct EngineSettings {
    int slots = 8;                                // maximum of requests that run concurrently
    double prefillTokensPerSecond = 8000;         // of one request
    double decodeTokensPerSecond = 50;            // of one stream
    Tokens cacheTokens = 200000;                  // prefix cache capacity, over all chats
    std::chrono::milliseconds reportLag{100};     // age of the load in load reports
    std::chrono::milliseconds cacheEventLag{500}; // delay until a cache event (an eviction) can be read
    int cacheEventLossInterval = 7;               // every n-th cache event is lost; 0: none
    int threads = 1200;                           // maximum, of the HTTP server
};

// Faults

enum class EngineFault : std::uint8_t {
    None,
    RefuseNotExecuted, // responds 503 and states that the request was not executed
    RefuseLeaving,     // as RefuseNotExecuted; from then on the engine is leaving
    Status500,         // executes the request, then responds 500
    TruncatedBody,     // closes the connection halfway through the response body
    CutBeforeBody,     // executes the request, then closes the connection before the first body byte
    WrongRequestId,    // responds with another request's id
    DuplicateResponse, // appends a second response to the body of the first
    MalformedResponse, // sends bytes that are not a valid response
    MissingFinalEvent, // ends the HTTP message properly, but without the final event of the stream
    Undelimited,       // sends a part of the body with neither a length nor chunks, then closes the connection
};

/// Selects the fault of one attempt. Called on the engine's server threads.
using EngineFaultHook = std::function<EngineFault(const RequestId &request, int attempt)>;

// Statistics

/// Counters since the start of the engine, and its present load.
struct EngineStats {
    std::int64_t started = 0;   // attempts that got a slot
    std::int64_t completed = 0; // attempts whose response was produced in full
    std::int64_t cancelled = 0; // attempts that got a slot and ended earlier: caller disconnected, or injected fault
    double promptTokens = 0;
    double reusedTokens = 0; // prompt tokens found in the prefix cache
    double generatedTokens = 0;
    int inFlight = 0; // requests that run or wait for a slot
    int maxInFlight = 0;
    int maxLongInFlight = 0; // highest number in flight in the long lane
};

// Engine

/// HTTP server of one fake engine.
class FakeEngine
{
public:
    FakeEngine(const VmId &id, Incarnation incarnation, const EngineSettings &settings);
    ~FakeEngine();

    /// Listens on a free port of an IP address. @return false if that fails
    bool start(const std::string &address = "127.0.0.1");

    void stop(); ///< Stops the HTTP server and fails requests that wait for a slot.

    /// @return the engine's entry in the list of VMs
    VmRecord record(const std::vector<PoolId> &pools, const DataCentreId &dataCentre) const;

    void setFaultHook(EngineFaultHook hook);
    void setSlowFactor(double factor) { m_slowFactor = factor; } ///< Multiplies all processing times; default 1.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; } ///< While true, requests are refused as not executed.
    EngineStats stats() const;
    int inFlight() const;                           ///< @return requests that run or wait for a slot
    int longInFlight() const;                       ///< @return requests in flight in the long lane
    std::set<std::string> executedRequests() const; ///< @return ids of all requests that got a slot

private:
    struct Attempt;
    struct LoadSample {
        Instant when{};
        int inFlight = 0;
        int longInFlight = 0;
    };

    /// Handles POST /v1/chat/completions.
    void handleCompletion(const httplib::Request &request, httplib::Response &response);
    bool waitForSlot(Attempt &attempt); ///< @return false if the engine stops
    void releaseSlot(const Attempt &attempt);
    /// Also marks the chat as the most recently used. @return prompt tokens that the prefix cache holds
    Tokens lookUpCache(const std::string &chat, Tokens prompt);
    void insertIntoCache(const std::string &chat, Tokens tokens);
    void recordLoad();
    std::string loadText() const; ///< @return the load as it was `reportLag` ago
    /// Sends the next token of a streamed response, or its end. @return false to close the connection
    bool stream(const std::shared_ptr<Attempt> &attempt, httplib::DataSink &sink);
    void sleepFor(double seconds) const; ///< Sleeps for a processing time, multiplied by the slow factor.

    /// @param from number of the first event wanted @return cache evictions as JSON
    std::string cacheEventsText(std::int64_t from) const;

    struct CacheEntry {
        Tokens tokens = 0;
        std::list<std::string>::iterator lruPosition;
    };
    struct CacheEvent {
        Instant when{};
        std::int64_t number = 0;
        std::string evictedChat;
    };

    const VmId m_id;
    const Incarnation m_incarnation;
    const EngineSettings m_settings;
    HttpServer m_server;
    std::atomic<double> m_slowFactor{1};
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isStopping{false};
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFree;
    std::multimap<std::pair<int, std::int64_t>, Attempt *> m_waitQueue; // by priority (0 is highest), then arrival
    int m_running = 0;                                                  // attempts that hold a slot
    int m_longInFlight = 0;
    std::int64_t m_arrivals = 0;
    EngineStats m_stats;
    std::set<std::string> m_executedRequests;
    std::map<std::string, CacheEntry> m_cache;
    std::list<std::string> m_lruOrder; // least recently used first
    Tokens m_cachedTokens = 0;
    std::deque<CacheEvent> m_cacheEvents;
    std::int64_t m_lastEventNumber = 0;
    std::deque<LoadSample> m_loadSamples;
    EngineFaultHook m_faultHook;
};

} // namespace galenafold
