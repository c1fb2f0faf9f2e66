// Estimated load of every endpoint, kept incrementally so that a placement decision need not scan them all.
#include "control/loadview.h"

#include <algorithm>
#define XXH_INLINE_ALL // for each endpoint a function call would cost more than the hash itself
#include <xxhash.h>

namespace galenafold
{

constexpr int defaultEngineSlots = 4;    // until the first load report
constexpr int defaultServiceSlots = 256; // plain services send no load reports
constexpr std::size_t maxOwnHistoryEntries = 256;

std::uint64_t hashName(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t nodeHash)
{
    const std::uint64_t pair[2] = {keyHash, nodeHash};
    return XXH3_64bits(pair, sizeof pair);
}

int EndpointLoad::slots() const
{
    if (hasReport && report.slots > 0) {
        return report.slots;
    }
    return vm.kind == VmKind::Service ? defaultServiceSlots : defaultEngineSlots;
}

double Pool::meanLoadWith(double extra) const
{
    return members.empty() ? 0 : (ownSum + othersSum + extra) / static_cast<double>(members.size());
}

double Pool::ownMeanLoadWith(double extra) const
{
    return members.empty() ? 0 : (ownSum + extra) / static_cast<double>(members.size());
}

LoadView::LoadView(const PlacementSettings &settings)
    : m_settings(settings)
{
}

bool LoadView::find(const VmId &id, EndpointIndex &index) const
{
    const auto found = m_latest.find(id);
    if (found == m_latest.end()) {
        return false;
    }
    index = found->second;
    return true;
}

void LoadView::setRoutable(const std::vector<VmRecord> &records)
{
    for (EndpointLoad &endpoint : m_endpoints) {
        endpoint.isRoutable = false;
    }
    for (const VmRecord &record : records) {
        EndpointIndex index{};
        const bool isKnown = find(record.id, index) && at(index).vm.incarnation == record.incarnation;
        if (!isKnown) {
            index = static_cast<EndpointIndex>(m_endpoints.size());
            m_endpoints.emplace_back();
            at(index).hash = hashName(record.id.text);
            m_latest[record.id] = index;
        }
        at(index).vm = record;
        at(index).isRoutable = true;
    }
    rebuildPools();
}

void LoadView::rebuildPools()
{
    m_pools.clear();
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        const EndpointLoad &endpoint = m_endpoints[i];
        if (!endpoint.isRoutable) {
            continue;
        }
        for (const PoolId &pool : endpoint.vm.pools) {
            m_pools[pool].members.push_back(static_cast<EndpointIndex>(i));
            m_pools[pool].slotSum += endpoint.slots();
        }
        addToPools(endpoint, endpoint.own, endpoint.others);
    }
}

void LoadView::addToPools(const EndpointLoad &endpoint, const InFlight &own, const InFlight &others)
{
    if (!endpoint.isRoutable) {
        return;
    }
    for (const PoolId &id : endpoint.vm.pools) {
        Pool &pool = m_pools[id];
        pool.ownSum += own.total;
        pool.ownLongSum += own.longLane;
        pool.othersSum += others.total;
        pool.othersLongSum += others.longLane;
    }
}

const Pool *LoadView::pool(const PoolId &id) const
{
    const auto found = m_pools.find(id);
    return found == m_pools.end() ? nullptr : &found->second;
}

void LoadView::adjustOwn(Instant now, EndpointIndex index, Lane lane, double change)
{
    EndpointLoad &endpoint = at(index);
    const double longLaneChange = lane == Lane::Long ? change : 0;
    endpoint.own.total += change;
    endpoint.own.longLane += longLaneChange;
    endpoint.ownHistory.emplace_back(now, endpoint.own);
    if (endpoint.ownHistory.size() > maxOwnHistoryEntries) {
        endpoint.ownHistory.pop_front();
    }
    addToPools(endpoint, {change, longLaneChange}, {});
}

void LoadView::onSent(Instant now, EndpointIndex index, Lane lane)
{
    adjustOwn(now, index, lane, 1);
}

void LoadView::onEnded(Instant now, EndpointIndex index, Lane lane)
{
    adjustOwn(now, index, lane, -1);
}

/// @return own calls that were in progress at the given time
static InFlight ownAt(const EndpointLoad &endpoint, Instant moment)
{
    InFlight result;
    for (const auto &[when, own] : endpoint.ownHistory) {
        if (when > moment) {
            break;
        }
        result = own;
    }
    return result;
}

bool LoadView::onReport(Instant now, const LoadReport &report)
{
    EndpointIndex index{};
    if (!find(report.endpoint, index) || at(index).vm.incarnation != report.incarnation) {
        return false;
    }
    EndpointLoad &endpoint = at(index);
    const bool isStale = report.measuredAt + m_settings.maxReportAge < now;
    if (isStale || (endpoint.hasReport && report.measuredAt <= endpoint.report.measuredAt)) {
        return false;
    }
    const int slotsBefore = endpoint.slots();
    endpoint.report = report;
    endpoint.hasReport = true;
    if (endpoint.slots() != slotsBefore) {
        rebuildPools();
    }
    if (!peersComplete()) {
        const InFlight own = ownAt(endpoint, report.measuredAt);
        setOthers(index,
                  {std::max(0.0, report.inFlight - own.total), std::max(0.0, report.longInFlight - own.longLane)});
    }
    return true;
}

void LoadView::setOthers(EndpointIndex index, const InFlight &others)
{
    EndpointLoad &endpoint = at(index);
    addToPools(endpoint, {}, {others.total - endpoint.others.total, others.longLane - endpoint.others.longLane});
    endpoint.others = others;
}

void LoadView::expire(Instant now)
{
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        EndpointLoad &endpoint = m_endpoints[i];
        const bool isStale = endpoint.hasReport && endpoint.report.measuredAt + m_settings.maxReportAge < now;
        if (isStale && !peersComplete()) {
            setOthers(static_cast<EndpointIndex>(i), {});
        }
    }
}

} // namespace galenafold
