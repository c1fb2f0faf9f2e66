// A tiny world for one router without I/O: virtual time, endpoints with drawn fates, callers, and a checker that
// compares what callers were told with what endpoints executed.
//
// Sections of this file: Fates, Caller, World.
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

// Fates

/// What becomes of one attempt.
enum class Fate {
    Whole,
    NoConnection,   // nothing was sent
    RequestLost,    // sent, never executed, broken
    AnswerLost,     // executed, broken before a head
    RefusedNotRun,  // the endpoint says so, truly
    CrossedRefusal, // executed; the head that comes is another request's "not run"
    CrossedHead,    // executed; another request's answer comes
    CrossedChunk,   // the stream turns into another request's
    Cut,            // half-close in the middle
    EarlyEnd,       // HTTP ends well, the closing event is missing
    TwoAnswers,     // a second answer follows
    Rubbish,
    Hang, // executed, nothing comes until it is cancelled or times out
    Count,
};

// Caller

/// What one caller sent, saw, and what was executed for it.
struct CallerView {
    Call call;
    bool isStream = false;
    AttemptArbiter race;
    std::string received;
    int executions = 0;
    int finals = 0; // final outcomes; must end as one
    bool isWhole = false;
    bool isGone = false;
    bool isRefused = false;
    Refusal refusal;
};

// World

struct WorldPlan {
    std::uint64_t seed = 1;
    int calls = 12;
    double faultChance = 0.5;
    Fate onlyFault = Fate::Count; // Count: drawn
    Settings settings;
};

class World
{
public:
    explicit World(const WorldPlan &plan);
    void run();
    std::string check() const; ///< @return the first thing that was told wrongly; empty: all true
    const Router &router() const { return m_router; }
    std::int64_t executions() const { return m_executions; }

private:
    struct Event {
        Instant when{};
        std::int64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct Flight { // one attempt under way
        StartAttempt start;
        Fate fate = Fate::Whole;
        std::shared_ptr<ResponseReader> reader;
        bool isEnded = false;
        Instant lastPost{};
    };

    void at(Duration after, std::function<void()> act);
    void post(const std::shared_ptr<Flight> &flight, std::function<void()> act); // to the router, late but in order
    int draw(int most);
    bool chance(double probability);
    void addCall(int number);
    void carryOut(const Actions &actions);
    void begin(const StartAttempt &start);
    Fate drawFate();
    void execute(const std::shared_ptr<Flight> &flight);
    void head(const std::shared_ptr<Flight> &flight);
    void nextToken(const std::shared_ptr<Flight> &flight, int token);
    void wholeBody(const std::shared_ptr<Flight> &flight);
    void end(const std::shared_ptr<Flight> &flight, ExchangeResult result, bool isCancelled);
    std::string otherRequest(const CallerView &caller) const;
    CallerView &callerOf(const Flight &flight) { return *m_callers.at(flight.start.call); }

    WorldPlan m_plan;
    Router m_router;
    Contract m_contract;
    boost::random::mt19937_64 m_random;
    Instant m_now{};
    std::int64_t m_order = 0;
    std::int64_t m_executions = 0;
    std::priority_queue<Event> m_events;
    std::map<CallKey, std::unique_ptr<CallerView>> m_callers;
    std::map<std::pair<CallKey, int>, std::shared_ptr<Flight>> m_flights;
};

} // namespace galenafold
