// Cap'n Proto RPC between daemons, on a thread of its own with the library's event loop.
//
// Messages are plain values here; only peers.cpp knows the wire form.
#pragma once

#include "control/claims.h"
#include "control/contracts.h"
#include "control/gossip.h"

#include <atomic>
#include <thread>

namespace galenafold
{

/// Where a peer listens.
struct PeerAddress {
    VmId vm;
    std::string address;
    int port = 0;
};

/// What a peer gives to one that lacks contract records.
struct PulledContracts {
    std::vector<LogRecord> records;
    std::string snapshot; // set when the records are no longer at hand
};

/// Called on the peer thread; each must return at once.
struct PeerHooks {
    std::function<bool(const VmId &)> isKnown;                // is it an entry VM that the list named?
    std::function<LogOffset(const GossipMessage &)> onGossip; // @return how far our contracts are
    std::function<void(LogOffset, std::function<void(const PulledContracts &)>)> onPull;
    std::function<void(const ClaimItem &, Instant answerBy, ClaimCallback)> onClaim;
    std::function<void(const ClaimItem &, std::function<void()>)> onSettle; // second: once it is in the log
    std::function<void(const ClaimItem &, bool isInLog)> onSettled;         // answer to our own settle
    std::function<void(const PulledContracts &)> onPulled;                  // answer to our own pull
    std::function<void(const VmId &, LogOffset)> onPeerOffset;              // how far a peer's contracts are
};

class Peers
{
public:
    Peers(const VmId &self, PeerHooks hooks);
    ~Peers();

    bool start(const std::string &address, int port);
    void stop();
    int port() const { return m_port; }

    void gossip(const PeerAddress &peer, const GossipMessage &message);
    void pull(const PeerAddress &peer, LogOffset offset);
    void settle(const PeerAddress &peer, const ClaimItem &item);

    /// Claims at another VM. @param callback called on the peers' thread; Unavailable when the peer cannot be reached.
    /// It may come late or, from a peer that stands still, not at all.
    void claim(const PeerAddress &peer, const ClaimItem &item, Instant answerBy, const ClaimCallback &callback);

    std::int64_t bytesSent() const { return m_bytesSent; }
    std::int64_t refused() const { return m_refused; } ///< @return messages from VMs that the list never named

    /// @return bytes that a message takes on the wire, with the overheads of RPC and TCP
    static int sizeOf(const GossipMessage &message);

private:
    class Loop;
    class Service;
    struct Executor; // hides the library's type

    void post(std::function<void(Loop &)> job); // runs it on the peer thread, and waits until it ran

    VmId m_self;
    PeerHooks m_hooks;
    std::thread m_thread;
    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<Executor> m_executor;
    std::atomic<std::int64_t> m_bytesSent{0};
    std::atomic<std::int64_t> m_refused{0};
    int m_port = 0;
};

} // namespace galenafold
