// Lanes, deficit round robin and the estimate of waiting times.
#include "filters/queue.h"

#include <algorithm>

namespace galenafold
{

constexpr int lookahead = 8;                     // calls of one customer that are tried, against head-of-line blocking
constexpr double throughputWindowSeconds = 1;    // over which a lane's throughput is averaged
constexpr double previousThroughputWeight = 0.5; // weight of the earlier throughput against the newest window

// Lane

LaneQueue::LaneQueue(Tokens quantum)
    : m_quantum(quantum)
{
}

void LaneQueue::push(const QueuedCall &call)
{
    const auto sameCustomer = [&call](const Customer &customer) { return customer.id == call.customer; };
    auto customer = std::find_if(m_customers.begin(), m_customers.end(), sameCustomer);
    if (customer == m_customers.end()) {
        m_customers.push_back({call.customer, call.weight, 0, {}});
        customer = std::prev(m_customers.end());
    }
    customer->weight = call.weight;
    customer->calls.push_back(call);
    ++m_size;
    m_cost += call.cost;
}

void LaneQueue::uncount(const QueuedCall &call)
{
    --m_size;
    m_cost = m_size == 0 ? 0 : m_cost - call.cost;
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
        uncount(call);
        return Turn::Started;
    }
    return Turn::Refused;
}

void LaneQueue::drain(const std::function<bool(const QueuedCall &)> &start)
{
    std::size_t refused = 0;
    while (!m_customers.empty() && refused < m_customers.size()) {
        Customer &customer = m_customers.front();
        const Turn turn = startOne(customer, start);
        if (turn == Turn::Started) {
            refused = 0;
            if (customer.calls.empty()) {
                m_customers.pop_front(); // an idle customer keeps no deficit
            }
            continue; // the customer keeps its turn until its deficit is used up
        }
        if (turn == Turn::OverDeficit) {
            customer.deficit += m_quantum * customer.weight;
            refused = 0;
        } else {
            ++refused; // no endpoint has room: the deficit does not grow
        }
        m_customers.splice(m_customers.end(), m_customers, m_customers.begin());
    }
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
        uncount(*call);
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
