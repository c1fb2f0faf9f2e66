// What daemons tell each other every round, under a byte budget, and what a daemon makes of it.
//
// Sections of this file: Message, Budget, Peers.
//
// Gossip is only efficiency. Whatever it says, contracts advance by offset alone and leaving merges by OR.
#pragma once

#include "control/loadview.h"
#include "control/membership.h"
#include "control/shares.h"

#include <boost/random/mersenne_twister.hpp>

namespace galenafold
{

// Message

/// Calls that the sender has in progress at one endpoint.
struct PeerLoad {
    std::uint32_t endpointHash = 0;
    std::uint16_t total = 0;
    std::uint16_t longLane = 0;
};

/// A report that the sender got from an endpoint.
struct ReportDigest {
    std::uint32_t endpointHash = 0;
    std::uint16_t ageMillis = 0; // when sent
    std::uint16_t slots = 0;
    std::uint16_t inFlight = 0;
    std::uint16_t longInFlight = 0;
};

struct GossipMessage {
    VmId from;
    LogOffset contractsUpTo = 0;
    bool isComplete = true; // `loads` names every endpoint where the sender has calls
    std::vector<PeerLoad> loads;
    std::vector<ReportDigest> reports;
    std::vector<LeavingMark> leaving;
    std::vector<CustomerDemand> demand;
};

std::uint32_t endpointHash(const VmId &endpoint);

// Budget

/// Says how many messages of a size may go out this round.
class GossipBudget
{
public:
    explicit GossipBudget(const GossipSettings &settings);

    /// @param bytes of one message with all overheads. @param peers that there are. @return messages allowed now.
    int take(Instant now, int bytes, int peers);

private:
    GossipSettings m_settings;
    double m_bytes = 0;
    Instant m_filled{};
    bool m_isNew = true;
};

/// Picks peers to tell: each gets its turn before one gets a second.
class PeerPicker
{
public:
    explicit PeerPicker(std::uint64_t seed);
    std::vector<VmId> pick(const std::vector<VmId> &peers, int count);

private:
    boost::random::mt19937_64 m_random;
    std::vector<VmId> m_turn;
};

// Peers

/// What peers said lately.
class PeerLoads
{
public:
    explicit PeerLoads(Span silentAfter);
    void onMessage(Instant now, const GossipMessage &message);

    /// Puts the sums of peers' calls into the view, if all live peers were heard lately.
    void apply(Instant now, const std::vector<VmId> &peers, LoadView &view) const;

    /// Forgets peers that are no longer live.
    void keepOnly(const std::vector<VmId> &peers);

private:
    struct Peer {
        Instant heard{};
        bool isComplete = false;
        std::vector<PeerLoad> loads;
    };

    Span m_silentAfter;
    std::unordered_map<VmId, Peer> m_peers;
};

} // namespace galenafold
