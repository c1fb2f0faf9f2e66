// Merges the signals on who lives and who leaves.
#include "control/membership.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t maxMarks = 8192; // a day's leaving VMs at the target, twice over

bool Membership::onVmList(const std::vector<VmRecord> &list)
{
    const std::vector<VmRecord> before = routable();
    m_list.clear();
    for (const VmRecord &record : list) {
        Incarnation &latest = m_latest[record.id];
        latest = std::max(latest, record.incarnation);
        m_list[record.id] = record;
        if (record.kind == VmKind::Entry) {
            m_entriesSeen.insert(record.id);
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
    return m_entriesSeen.count(vm) > 0;
}

bool Membership::isRoutable(const VmRecord &record) const
{
    const auto latest = m_latest.find(record.id);
    const bool isOutdated = latest != m_latest.end() && latest->second > record.incarnation;
    return record.state == VmState::Live && !isOutdated && !isLeaving(record.id, record.incarnation);
}

std::vector<VmRecord> Membership::routable() const
{
    std::vector<VmRecord> result;
    for (const auto &[id, record] : m_list) {
        if (record.kind != VmKind::Entry && isRoutable(record)) {
            result.push_back(record);
        }
    }
    return result;
}

std::vector<VmRecord> Membership::entryVms() const
{
    std::vector<VmRecord> result;
    for (const auto &[id, record] : m_list) {
        if (record.kind == VmKind::Entry && isRoutable(record)) {
            result.push_back(record);
        }
    }
    return result;
}

std::vector<LeavingMark> Membership::marksToGossip(std::size_t most) const
{
    std::vector<LeavingMark> result;
    for (auto it = m_markOrder.rbegin(); it != m_markOrder.rend() && result.size() < most; ++it) {
        result.push_back(*it);
    }
    return result;
}

} // namespace galenafold
