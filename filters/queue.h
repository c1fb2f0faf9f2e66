// Fourth filter: queues calls until an endpoint has room. Short and long work wait in separate lanes; within a lane,
// customers are served by deficit round robin over expected tokens. A call that cannot start in time is refused at
// once.
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
    Tokens cost = 1;   // expected output tokens
    Instant startBy{}; // latest start that still meets the deadline
};

// Lane

/// One lane: customers by deficit round robin, the calls of each in order of arrival, except that a call that cannot
/// start yet may be passed by later ones. @see FairQueue
class LaneQueue
{
public:
    explicit LaneQueue(Tokens quantum);

    void push(const QueuedCall &call);
    std::size_t size() const { return m_size; }

    /// Starts calls in fair order while `start` accepts them. @param start returns false when the call must wait.
    void drain(const std::function<bool(const QueuedCall &)> &start);

    /// Removes one call. @return true if it was queued here.
    bool remove(CallKey key);

    /// Removes and returns the calls that can no longer start in time.
    std::vector<CallKey> expire(Instant now);

    Tokens queuedCost() const { return m_cost; } ///< @return expected tokens of all queued calls

private:
    struct Customer {
        CustomerId id;
        double weight = 1;
        Tokens deficit = 0;
        std::deque<QueuedCall> calls;
    };

    enum class Turn : std::uint8_t {
        Started,
        OverDeficit, // the first call costs more than the customer's deficit
        Refused      // `start` accepted none of the calls tried
    };

    Turn startOne(Customer &customer, const std::function<bool(const QueuedCall &)> &start);
    void uncount(const QueuedCall &call);

    Tokens m_quantum;
    std::list<Customer> m_customers; // in round-robin order
    std::size_t m_size = 0;
    Tokens m_cost = 0;
};

// Queue

/// Queues of both lanes. Refuses calls that do not fit or would miss their deadlines.
class FairQueue
{
public:
    explicit FairQueue(const QueueSettings &settings);

    /// Queues a call. @return why it was refused, or Reason::None.
    Reason push(Instant now, Lane lane, const QueuedCall &call);

    /// Starts the calls that `start` accepts, the short lane first.
    void drain(Instant now, const std::function<bool(const QueuedCall &)> &start);

    bool remove(CallKey key);
    std::vector<CallKey> expire(Instant now);
    std::size_t size(Lane lane) const;

private:
    /// Rate at which a lane starts work while more is queued. It is not updated while the lane has no backlog.
    struct Throughput {
        double tokensPerSecond = 0; // expected tokens
        Tokens started = 0;         // since `since`
        Instant since{};
        bool isBacklogged = false;
    };

    LaneQueue &laneOf(Lane lane);
    void updateThroughput(Instant now, Throughput &throughput, Tokens started, bool isBacklogged) const;
    bool wouldMiss(Instant now, Lane lane, const QueuedCall &call);

    QueueSettings m_settings;
    LaneQueue m_short;
    LaneQueue m_long;
    Throughput m_shortThroughput;
    Throughput m_longThroughput;
};

} // namespace galenafold
