// Merges the list of VMs with leaving marks.
#include "control/membership.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t maxMarks = 8192; // twice the VMs expected to leave in a day at the target fleet size

bool Membership::onVmList(const std::vector<VmRecord> &list)
{
    const std::vector<VmRecord> before = routable();
    m_listedVms.clear();
    for (const VmRecord &record : list) {
        Incarnation &latest = m_latestIncarnations[record.id];
        latest = std::max(latest, record.incarnation);
        m_listedVms[record.id] = record;
        if (record.kind == VmKind::Entry) {
            m_knownEntryVms.insert(record.id);
        }
        if (record.state == VmState::Leaving) {
            onLeaving({record.id, record.incarnation});
        }
    }
    const std::vector<VmRecord> after = routable();
    const auto isSame = [](const VmRecord &a, const VmRecord &b) {
        return a.id == b.id && a.incarnation == b.incarnation && a.port == b.port && a.address == b.address
            && a.pools == b.pools;
    };
    return !std::equal(before.begin(), before.end(), after.begin(), after.end(), isSame);
}

bool Membership::onLeaving(const LeavingMark &mark)
{
    if (!m_marks.insert(mark).second) {
        return false;
    }
    m_markOrder.push_back(mark);
    if (m_markOrder.size() > maxMarks) {
        m_marks.erase(m_markOrder.front());
        m_markOrder.erase(m_markOrder.begin());
    }
    return true;
}

bool Membership::isLeaving(const VmId &vm, Incarnation incarnation) const
{
    return m_marks.count({vm, incarnation}) > 0;
}

bool Membership::isKnownEntry(const VmId &vm) const
{
    return m_knownEntryVms.count(vm) > 0;
}

bool Membership::isRoutable(const VmRecord &record) const
{
    const auto latest = m_latestIncarnations.find(record.id);
    const bool isSuperseded = latest != m_latestIncarnations.end() && latest->second > record.incarnation;
    return record.state == VmState::Live && !isSuperseded && !isLeaving(record.id, record.incarnation);
}

std::vector<VmRecord> Membership::routable() const
{
    std::vector<VmRecord> result;
    for (const auto &[id, record] : m_listedVms) {
        if (record.kind != VmKind::Entry && isRoutable(record)) {
            result.push_back(record);
        }
    }
    return result;
}

std::vector<VmRecord> Membership::entryVms() const
{
    std::vector<VmRecord> result;
    for (const auto &[id, record] : m_listedVms) {
        if (record.kind == VmKind::Entry && isRoutable(record)) {
            result.push_back(record);
        }
    }
    return result;
}

std::vector<LeavingMark> Membership::marksToGossip(std::size_t maxCount) const
{
    std::vector<LeavingMark> result;
    for (auto it = m_markOrder.rbegin(); it != m_markOrder.rend() && result.size() < maxCount; ++it) {
        result.push_back(*it);
    }
    return result;
}

} // namespace galenafold
