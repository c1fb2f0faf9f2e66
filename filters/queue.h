// Fourth filter: queues calls until an endpoint has room. Short and long work wait in separate lanes; within a lane,
// customers are served by deficit round robin over expected tokens. A call that cannot start in time is refused at
// once. One lane is also what waits at one priority for the users' platform. @see Admission
//
// Sections of this file: Entry, Lane, Queue.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <list>
#include <optional>
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

/// Order of the calls of one customer.
enum class CallOrder : std::uint8_t {
    Arrival,  // first come, first served
    Deadline, // earliest `startBy` first
};

/// Place of a customer that has no call in the queue yet.
enum class CustomerPlace : std::uint8_t {
    Last,  // after the turns of all others
    Ahead, // before customers that have had a turn; for one that has used less than its share lately
};

/// One lane: customers by deficit round robin, the calls of each in one order, except that a call that cannot start yet
/// may be passed by later ones. @see FairQueue
class LaneQueue
{
public:
    explicit LaneQueue(Tokens quantum, CallOrder order = CallOrder::Arrival);

    /// @param place of the call's customer, if it has no other call here
    void push(const QueuedCall &call, CustomerPlace place = CustomerPlace::Last);

    std::size_t size() const { return m_size; }

    /// Starts calls in fair order while `start` accepts them. @param start returns false when the call must wait.
    void drain(const std::function<bool(const QueuedCall &)> &start);

    /// Starts the next call in fair order that `start` accepts. @return false if it accepts none
    bool startNext(const std::function<bool(const QueuedCall &)> &start);

    /// @return expected tokens of the calls that start before this one would, if it was pushed: those of its customer
    /// before it, and of each other customer no more than it gets meanwhile
    Tokens costBefore(const QueuedCall &call) const;

    /// @return the last call of the customer with most expected tokens here; nothing if the lane is empty
    std::optional<CallKey> lastOfLargest() const;

    std::optional<Instant> nextExpiry() const; ///< @return the earliest `startBy`; nothing if the lane is empty

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
        Tokens cost = 0;      // of `calls`
        bool isAhead = false; // came ahead, and has not used up its first turn
    };

    enum class Turn : std::uint8_t {
        Started,
        OverDeficit, // the first call costs more than the customer's deficit
        Refused      // `start` accepted none of the calls tried
    };

    Turn startOne(Customer &customer, const std::function<bool(const QueuedCall &)> &start);
    void uncount(Customer &customer, const QueuedCall &call);
    std::list<Customer>::iterator insertCustomer(const QueuedCall &call, CustomerPlace place);

    Tokens m_quantum;
    CallOrder m_order;
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
