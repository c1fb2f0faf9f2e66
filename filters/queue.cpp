// Lanes, deficit round robin and the estimate of waiting times. Sections of this file: Lane, Queue.
#include "filters/queue.h"

#include <algorithm>

namespace galenafold
{

constexpr int lookahead = 8;                     // calls of one customer that are tried, against head-of-line blocking
constexpr double throughputWindowSeconds = 1;    // over which a lane's throughput is averaged
constexpr double previousThroughputWeight = 0.5; // weight of the earlier throughput against the newest window

// Lane

LaneQueue::LaneQueue(Tokens quantum, CallOrder order)
    : m_quantum(quantum)
    , m_order(order)
{
}

void LaneQueue::push(const QueuedCall &call, CustomerPlace place)
{
    const auto sameCustomer = [&call](const Customer &customer) { return customer.id == call.customer; };
    auto customer = std::find_if(m_customers.begin(), m_customers.end(), sameCustomer);
    if (customer == m_customers.end()) {
        customer = insertCustomer(call, place);
    }
    customer->weight = call.weight;
    auto &calls = customer->calls;
    const auto isLater = [](const QueuedCall &a, const QueuedCall &b) { return a.startBy < b.startBy; };
    const auto at =
        m_order == CallOrder::Arrival ? calls.end() : std::upper_bound(calls.begin(), calls.end(), call, isLater);
    calls.insert(at, call);
    ++m_size;
    m_cost += call.cost;
    customer->cost += call.cost;
}

/// A customer that comes ahead can start its first call at once, so that it does not lose the turn.
std::list<LaneQueue::Customer>::iterator LaneQueue::insertCustomer(const QueuedCall &call, CustomerPlace place)
{
    Customer customer;
    customer.id = call.customer;
    if (place == CustomerPlace::Last) {
        return m_customers.insert(m_customers.end(), std::move(customer));
    }
    customer.isAhead = true;
    customer.deficit = std::max(m_quantum, call.cost);
    const auto hadTurn = [](const Customer &other) { return !other.isAhead; };
    return m_customers.insert(std::find_if(m_customers.begin(), m_customers.end(), hadTurn), std::move(customer));
}

void LaneQueue::uncount(Customer &customer, const QueuedCall &call)
{
    --m_size;
    m_cost = m_size == 0 ? 0 : m_cost - call.cost;
    customer.cost -= call.cost;
}

Tokens LaneQueue::costBefore(const QueuedCall &call) const
{
    Tokens own = 0;
    for (const Customer &customer : m_customers) {
        if (customer.id != call.customer) {
            continue;
        }
        for (const QueuedCall &other : customer.calls) {
            own += m_order == CallOrder::Arrival || other.startBy <= call.startBy ? other.cost : 0;
        }
    }
    Tokens before = own;
    for (const Customer &customer : m_customers) {
        before += customer.id == call.customer ? 0 : std::min(customer.cost, own + call.cost);
    }
    return before;
}

std::optional<CallKey> LaneQueue::lastOfLargest() const
{
    const auto hasLess = [](const Customer &a, const Customer &b) { return a.cost < b.cost; };
    const auto largest = std::max_element(m_customers.begin(), m_customers.end(), hasLess);
    return largest == m_customers.end() ? std::nullopt : std::optional(largest->calls.back().key);
}

std::optional<Instant> LaneQueue::nextExpiry() const
{
    std::optional<Instant> next;
    for (const Customer &customer : m_customers) {
        for (const QueuedCall &call : customer.calls) {
            next = std::min(next.value_or(call.startBy), call.startBy);
        }
    }
    return next;
}

LaneQueue::Turn LaneQueue::startOne(Customer &customer, const std::function<bool(const QueuedCall &)> &start)
{
    if (customer.calls.front().cost > customer.deficit) {
        return Turn::OverDeficit;
    }
    const std::size_t tried = std::min<std::size_t>(customer.calls.size(), lookahead);
    for (std::size_t i = 0; i < tried; ++i) {
        const QueuedCall call = customer.calls[i];
        if (call.cost > customer.deficit || !start(call)) {
            continue;
        }
        customer.deficit -= call.cost;
        customer.calls.erase(customer.calls.begin() + static_cast<std::ptrdiff_t>(i));
        uncount(customer, call);
        return Turn::Started;
    }
    return Turn::Refused;
}

void LaneQueue::drain(const std::function<bool(const QueuedCall &)> &start)
{
    while (startNext(start)) { }
}

bool LaneQueue::startNext(const std::function<bool(const QueuedCall &)> &start)
{
    std::size_t refused = 0;
    while (!m_customers.empty() && refused < m_customers.size()) {
        Customer &customer = m_customers.front();
        const Turn turn = startOne(customer, start);
        if (turn == Turn::Started) {
            if (customer.calls.empty()) {
                m_customers.pop_front(); // an idle customer keeps no deficit
            }
            return true; // the customer keeps its turn until its deficit is used up
        }
        if (turn == Turn::OverDeficit) {
            customer.deficit += m_quantum * customer.weight;
            customer.isAhead = false;
            refused = 0;
        } else {
            ++refused; // no endpoint has room: the deficit does not grow
        }
        m_customers.splice(m_customers.end(), m_customers, m_customers.begin());
    }
    return false;
}

bool LaneQueue::remove(CallKey key)
{
    for (auto customer = m_customers.begin(); customer != m_customers.end(); ++customer) {
        auto &calls = customer->calls;
        const auto hasKey = [key](const QueuedCall &call) { return call.key == key; };
        const auto call = std::find_if(calls.begin(), calls.end(), hasKey);
        if (call == calls.end()) {
            continue;
        }
        uncount(*customer, *call);
        calls.erase(call);
        if (calls.empty()) {
            m_customers.erase(customer);
        }
        return true;
    }
    return false;
}

std::vector<CallKey> LaneQueue::expire(Instant now)
{
    std::vector<CallKey> expired;
    for (const Customer &customer : m_customers) {
        for (const QueuedCall &call : customer.calls) {
            if (call.startBy < now) {
                expired.push_back(call.key);
            }
        }
    }
    for (const CallKey key : expired) {
        remove(key);
    }
    return expired;
}

// Queue

FairQueue::FairQueue(const QueueSettings &settings)
    : m_settings(settings)
    , m_short(settings.quantum)
    , m_long(settings.quantum)
{
}

LaneQueue &FairQueue::laneOf(Lane lane)
{
    const bool isSingle = m_settings.policy == Policy::Naive; // one queue for both lanes
    return isSingle || lane == Lane::Short ? m_short : m_long;
}

void FairQueue::updateThroughput(Instant now, Throughput &throughput, Tokens started, bool isBacklogged) const
{
    if (!isBacklogged) {
        throughput.isBacklogged = false;
        return;
    }
    if (!throughput.isBacklogged) {
        throughput.isBacklogged = true;
        throughput.started = 0;
        throughput.since = now;
        return;
    }
    throughput.started += started;
    const double elapsed = std::chrono::duration<double>(now - throughput.since).count();
    if (elapsed < throughputWindowSeconds) {
        return;
    }
    const double latest = throughput.started / elapsed;
    const bool isFirst = throughput.tokensPerSecond <= 0;
    throughput.tokensPerSecond = isFirst
        ? latest
        : previousThroughputWeight * throughput.tokensPerSecond + (1 - previousThroughputWeight) * latest;
    throughput.started = 0;
    throughput.since = now;
}

bool FairQueue::wouldMiss(Instant now, Lane lane, const QueuedCall &call)
{
    if (m_settings.policy == Policy::Naive) {
        return false;
    }
    const Throughput &throughput = lane == Lane::Short ? m_shortThroughput : m_longThroughput;
    const Tokens ahead = laneOf(lane).queuedCost();
    if (throughput.tokensPerSecond <= 0 || ahead <= 0) {
        return call.startBy < now;
    }
    const std::chrono::duration<double> wait(ahead / throughput.tokensPerSecond);
    return now + std::chrono::duration_cast<Duration>(wait) > call.startBy;
}

Reason FairQueue::push(Instant now, Lane lane, const QueuedCall &call)
{
    LaneQueue &queue = laneOf(lane);
    if (queue.size() >= static_cast<std::size_t>(m_settings.capacity)) {
        return Reason::QueueFull;
    }
    if (wouldMiss(now, lane, call)) {
        return Reason::WouldMissDeadline;
    }
    queue.push(call);
    return Reason::None;
}

void FairQueue::drain(Instant now, const std::function<bool(const QueuedCall &)> &start)
{
    const auto drainLane = [&](LaneQueue &lane, Throughput &throughput) {
        Tokens started = 0;
        lane.drain([&](const QueuedCall &call) {
            const bool hasStarted = start(call);
            started += hasStarted ? call.cost : 0;
            return hasStarted;
        });
        updateThroughput(now, throughput, started, lane.size() > 0);
    };
    drainLane(m_short, m_shortThroughput);
    drainLane(m_long, m_longThroughput);
}

bool FairQueue::remove(CallKey key)
{
    return m_short.remove(key) || m_long.remove(key);
}

std::vector<CallKey> FairQueue::expire(Instant now)
{
    std::vector<CallKey> expired = m_short.expire(now);
    const std::vector<CallKey> others = m_long.expire(now);
    expired.insert(expired.end(), others.begin(), others.end());
    return expired;
}

std::size_t FairQueue::size(Lane lane) const
{
    return lane == Lane::Short ? m_short.size() : m_long.size();
}

} // namespace galenafold
