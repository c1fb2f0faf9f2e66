// Seeded simulation of one router without I/O: virtual time, endpoints with random faults, callers, and a check of what
// callers were told against what endpoints executed.
//
// Sections of this file: Faults, Caller, Simulation.
#pragma once

#include "control/router.h"
#include "filters/attemptarbiter.h"
#include "filters/relay.h"

#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace galenafold
{

// Faults

/// The fault injected into one attempt.
enum class AttemptFault {
    None,
    ConnectFailed,       // nothing was sent
    RequestLost,         // sent and not executed; the connection breaks
    ResponseLost,        // executed; the connection breaks before the response headers
    RefusedNotExecuted,  // 503 stating, correctly, that the request was not executed
    WrongRequestRefusal, // executed; the headers are another request's "not executed" refusal
    WrongRequestHead,    // executed; the headers are those of another request's response
    WrongRequestEvent,   // the stream continues with another request's events
    TruncatedBody,       // half-close in the middle of the body
    MissingFinalEvent,   // the HTTP message ends properly without the final event
    DuplicateResponse,   // a second response follows
    MalformedResponse,
    NoResponse, // executed; nothing arrives until the attempt is cancelled or times out
    Count,
};

// Caller

/// One caller's call, what it received, and how often endpoints executed it.
struct CallerRecord {
    Call call;
    bool isStream = false;
    AttemptArbiter arbiter;
    std::string received;
    int executions = 0;      // at endpoints
    int outcomes = 0;        // final outcomes; exactly 1 is correct
    bool isComplete = false; // the caller was told that the response is complete
    bool isDisconnected = false;
    bool isRefused = false;
    Refusal refusal;
};

// Simulation

/// Parameters of one simulation.
struct SimulationPlan {
    std::uint64_t seed = 1;
    int calls = 12;
    double faultChance = 0.5;                     // probability that a fault is drawn for an attempt
    AttemptFault onlyFault = AttemptFault::Count; // Count: a random one for each attempt, possibly None
    Settings settings;
};

/// Runs one router with its callers and endpoints in a single thread.
class RouterSimulation
{
public:
    explicit RouterSimulation(const SimulationPlan &plan);
    void run();                ///< Runs until no events remain.
    std::string check() const; ///< @return the first violation; empty: none
    const Router &router() const { return m_router; }
    std::int64_t executions() const { return m_executions; } ///< @return executions at all endpoints

private:
    struct Event {
        Instant when{};
        std::int64_t order = 0; // number of the event; events at the same time run in this order
        std::function<void()> action;
        /// Reversed, so that std::priority_queue has the earliest event on top.
        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    /// One attempt at an endpoint, and the fault injected into it.
    struct AttemptInFlight {
        StartAttempt start;
        AttemptFault fault = AttemptFault::None;
        std::shared_ptr<ResponseReader> reader;
        bool isEnded = false;
        Instant lastPosted{}; // when the latest event posted to the router arrives there
    };

    void schedule(Duration after, std::function<void()> action);
    /// Delivers an event of the attempt to the router, delayed but in order.
    void postToRouter(const std::shared_ptr<AttemptInFlight> &attempt, std::function<void()> action);
    int draw(int maxValue);          ///< @return a random number from 0 to `maxValue`
    bool chance(double probability); ///< @return true with this probability
    void addCall(int number);
    void executeActions(const Actions &actions);
    void startAttempt(const StartAttempt &start);
    AttemptFault drawFault();
    /// The request arrives at the endpoint, which executes it unless the fault prevents that.
    void deliverRequest(const std::shared_ptr<AttemptInFlight> &attempt);
    void deliverHead(const std::shared_ptr<AttemptInFlight> &attempt);
    void deliverToken(const std::shared_ptr<AttemptInFlight> &attempt, int token);
    void deliverBody(const std::shared_ptr<AttemptInFlight> &attempt);
    void endAttempt(const std::shared_ptr<AttemptInFlight> &attempt, ExchangeResult result, bool isCancelled);
    /// @return the id of another caller's request
    std::string otherRequestId(const CallerRecord &caller) const;
    CallerRecord &callerOf(const AttemptInFlight &attempt) { return *m_callers.at(attempt.start.call); }

    SimulationPlan m_plan;
    Router m_router;
    Contract m_contract;
    boost::random::mt19937_64 m_random;
    Instant m_now{};
    std::int64_t m_order = 0;      // of the latest scheduled event
    std::int64_t m_executions = 0; // at all endpoints
    std::priority_queue<Event> m_events;
    std::map<CallKey, std::unique_ptr<CallerRecord>> m_callers;
    std::map<std::pair<CallKey, int>, std::shared_ptr<AttemptInFlight>> m_attempts;
};

} // namespace galenafold
