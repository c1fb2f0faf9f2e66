// Fourth filter: calls that wait for room at an endpoint. Short and long work wait in lanes of their own; inside a lane
// customers take turns by deficit round robin over expected tokens. What cannot end in time is refused at once.
//
// Sections of this file: Entry, Lane, Queue.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace galenafold
{

// Entry

struct QueuedCall {
    CallKey key{};
    CustomerId customer;
    double weight = 1; // of the customer's contract
    Tokens cost = 1;   // expected tokens
    Instant startBy{}; // a later start would miss the deadline
};

// Lane

/// One lane: customers in turn, each first in first out. @see FairQueue
class LaneQueue
{
public:
    explicit LaneQueue(Tokens quantum);

    void push(const QueuedCall &call);
    std::size_t size() const { return m_size; }

    /// Starts calls in fair order while `start` takes them. @param start returns false when the call must wait.
    void drain(const std::function<bool(const QueuedCall &)> &start);

    /// Removes one call. @return true if it waited here.
    bool remove(CallKey key);

    /// Removes and returns the calls that can no longer start in time.
    std::vector<CallKey> expire(Instant now);

    Tokens costAhead() const { return m_cost; } ///< @return expected tokens of all that wait

private:
    struct Customer {
        CustomerId id;
        double weight = 1;
        Tokens deficit = 0;
        std::deque<QueuedCall> calls;
    };

    enum class Turn : std::uint8_t { Started, Unaffordable, Refused };

    Turn startOne(Customer &customer, const std::function<bool(const QueuedCall &)> &start);
    void forget(const QueuedCall &call);

    Tokens m_quantum;
    std::list<Customer> m_customers; // in turn
    std::size_t m_size = 0;
    Tokens m_cost = 0;
};

// Queue

class FairQueue
{
public:
    explicit FairQueue(const QueueSettings &settings);

    /// Takes a call in. @return why not, or Reason::None.
    Reason push(Instant now, Lane lane, const QueuedCall &call);

    /// Starts what can start: short work first.
    void drain(Instant now, const std::function<bool(const QueuedCall &)> &start);

    bool remove(CallKey key);
    std::vector<CallKey> expire(Instant now);
    std::size_t size(Lane lane) const;

private:
    /// How fast a lane starts work while more of it waits. An idle lane's pace says nothing.
    struct Pace {
        double tokensPerSecond = 0; // expected tokens
        Tokens started = 0;         // since `since`
        Instant since{};
        bool isBacklogged = false;
    };

    LaneQueue &laneOf(Lane lane);
    void notePace(Instant now, Pace &pace, Tokens started, bool isBacklogged) const;
    bool wouldMiss(Instant now, Lane lane, const QueuedCall &call);

    QueueSettings m_settings;
    LaneQueue m_short;
    LaneQueue m_long;
    Pace m_shortPace;
    Pace m_longPace;
};

} // namespace galenafold
