// Who is there: the platform's lagging list merged with what endpoints and peers say themselves.
//
// Leaving is sticky per incarnation and merged by OR: any one signal stops new work, and an incarnation never comes
// back. A listed VM is routable unless somebody said that it leaves, or a later incarnation of it is known.
#pragma once

#include "galenafold/galenafold.h"

#include <map>
#include <set>

namespace galenafold
{

/// One life of one VM that is leaving, or has left.
struct LeavingMark {
    VmId vm;
    Incarnation incarnation{};

    friend bool operator<(const LeavingMark &a, const LeavingMark &b)
    {
        return a.vm == b.vm ? a.incarnation < b.incarnation : a.vm < b.vm;
    }
};

class Membership
{
public:
    /// Replaces the list's view. @return true when what is routable changed.
    bool onVmList(const std::vector<VmRecord> &list);

    /// Takes an endpoint's own word, or a peer's. @return true when the mark is new.
    bool onLeaving(const LeavingMark &mark);

    /// @return endpoints that may get new work
    std::vector<VmRecord> routable() const;

    /// @return live entry VMs, in order of their names
    std::vector<VmRecord> entryVms() const;

    /// @return marks to tell peers, at most `most`, newest first
    std::vector<LeavingMark> marksToGossip(std::size_t most) const;

    bool isLeaving(const VmId &vm, Incarnation incarnation) const;
    bool isKnownEntry(const VmId &vm) const; ///< @return true if the list ever named this entry VM
    const std::set<VmId> &knownEntries() const { return m_entriesSeen; }

private:
    bool isRoutable(const VmRecord &record) const;

    std::map<VmId, VmRecord> m_list;
    std::map<VmId, Incarnation> m_latest; // highest incarnation ever listed
    std::set<LeavingMark> m_marks;
    std::vector<LeavingMark> m_markOrder;
    std::set<VmId> m_entriesSeen;
};

} // namespace galenafold
