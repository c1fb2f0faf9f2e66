// Cluster membership: the platform's list of VMs, which lags, merged with leaving marks from endpoints and peers.
//
// Leaving is permanent for an incarnation, and marks are merged by OR: any one of them stops new work. A listed VM is
// routable unless its incarnation is marked or a later incarnation of it is known.
#pragma once

#include "galenafold/galenafold.h"

#include <map>
#include <set>

namespace galenafold
{

/// Marks an incarnation of a VM as leaving or gone.
struct LeavingMark {
    VmId vm;
    Incarnation incarnation{};

    friend bool operator<(const LeavingMark &a, const LeavingMark &b)
    {
        return a.vm == b.vm ? a.incarnation < b.incarnation : a.vm < b.vm;
    }
};

/// Live VMs, from the last list and the marks received so far.
class Membership
{
public:
    /// Replaces the list of VMs. @return true if the set of routable endpoints changed
    bool onVmList(const std::vector<VmRecord> &list);

    /// Adds a mark from the VM itself or from a peer. @return true if it is new
    bool onLeaving(const LeavingMark &mark);

    /// @return endpoints that may get new work
    std::vector<VmRecord> routable() const;

    /// @return live entry VMs, sorted by name
    std::vector<VmRecord> entryVms() const;

    /// @return marks to send to peers, at most `maxCount`, newest first
    std::vector<LeavingMark> marksToGossip(std::size_t maxCount) const;

    bool isLeaving(const VmId &vm, Incarnation incarnation) const;
    bool isKnownEntry(const VmId &vm) const; ///< @return true if the list ever named this entry VM
    const std::set<VmId> &knownEntryVms() const { return m_knownEntryVms; }

private:
    bool isRoutable(const VmRecord &record) const;

    std::map<VmId, VmRecord> m_listedVms;
    std::map<VmId, Incarnation> m_latestIncarnations; // highest ever listed for each VM
    std::set<LeavingMark> m_marks;
    std::vector<LeavingMark> m_markOrder; // oldest first
    std::set<VmId> m_knownEntryVms;
};

} // namespace galenafold
