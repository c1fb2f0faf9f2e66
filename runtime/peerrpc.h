// Cap'n Proto RPC between routers: gossip, transfer of contract records, and claims on idempotency keys.
//
// The library's event loop runs on a thread of its own. This header uses plain structs; only the .cpp file includes
// Cap'n Proto types.
#pragma once

#include "control/claims.h"
#include "control/contracts.h"
#include "control/gossip.h"

#include <atomic>
#include <thread>

namespace galenafold
{

/// RPC address of a peer.
struct PeerAddress {
    VmId vm;
    std::string address; // IP address
    int port = 0;
};

/// Response to a peer that lacks contract records.
struct PulledContracts {
    std::vector<LogRecord> records;
    std::string snapshot; // encoded snapshot, if there are no records to send; else empty
};

/// Callbacks of `PeerRpc`. They run on the peers' thread and must not block.
struct PeerHooks {
    std::function<bool(const VmId &)> isKnown;                // has the VM list ever contained this entry VM?
    std::function<LogOffset(const GossipMessage &)> onGossip; // @return offset up to which contracts are applied here
    std::function<void(LogOffset, std::function<void(const PulledContracts &)>)> onPull;
    std::function<void(const ClaimItem &, Instant answerBy, ClaimCallback)> onClaim;
    std::function<void(const ClaimItem &, std::function<void()>)> onSettle; // calls back once the item is in the log
    std::function<void(const ClaimItem &, bool isInLog)> onSettled;         // result of a `settle` of this VM
    std::function<void(const PulledContracts &)> onPulled;                  // response to a `pull` of this VM
    std::function<void(const VmId &, LogOffset)> onPeerOffset;              // a peer has applied contracts up to here
};

/// Client and server of the RPC between routers. Any thread may make calls; each blocks until the peers' thread has
/// taken it, and its result comes through a callback.
class PeerRpc
{
public:
    PeerRpc(const VmId &self, PeerHooks hooks);
    ~PeerRpc();

    /// Starts the peers' thread and listens. @param port 0: any free port @return false if the address cannot be used
    bool start(const std::string &address, int port);
    void stop();
    int port() const { return m_port; } ///< @return the bound port

    void gossip(const PeerAddress &peer, const GossipMessage &message); ///< The response goes to `onPeerOffset`.

    /// Asks for contract records from an offset on. The response goes to `onPulled`; a failed call is not reported.
    void pull(const PeerAddress &peer, LogOffset offset);

    /// Has the peer write a void or an outcome to the log. The result goes to `onSettled`.
    void settle(const PeerAddress &peer, const ClaimItem &item);

    /// Claims a key at the VM that owns its partition.
    /// @param answerBy when the peer must have answered
    /// @param callback called on the peers' thread, with Unavailable if the peer cannot be reached. If the peer
    /// does not respond, this is at the timeout of the RPC, which may be after `answerBy`. It is not called if the
    /// peers' thread stops first.
    void claim(const PeerAddress &peer, const ClaimItem &item, Instant answerBy, const ClaimCallback &callback);

    std::int64_t bytesSent() const { return m_bytesSent; } ///< @return bytes since the start

    /// @return messages refused because the sender was never in the VM list
    std::int64_t refusedMessages() const { return m_refusedMessages; }

    /// @return bytes that a message takes on the wire, including the overhead of RPC, TCP and IP
    static int wireSize(const GossipMessage &message);

private:
    class EventLoop;
    class Service;
    struct Executor; // keeps the library's type out of this header

    void runOnEventLoop(std::function<void(EventLoop &)> job); // on the peers' thread; blocks until it has run

    VmId m_self;
    PeerHooks m_hooks;
    std::thread m_thread;
    std::unique_ptr<EventLoop> m_eventLoop;
    std::unique_ptr<Executor> m_executor;
    std::atomic<std::int64_t> m_bytesSent{0};
    std::atomic<std::int64_t> m_refusedMessages{0};
    int m_port = 0;
};

} // namespace galenafold
