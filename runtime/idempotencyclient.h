// Claims idempotency keys before calls are sent, and records the calls' outcomes. Runs on the traffic thread.
//
// A claim goes to the VM that owns the key's partition, which batches the claims of all VMs. If the owner does not
// answer, this VM claims at the log itself. A request whose nonce gets no `Won` in time is never sent, and the nonce is
// voided.
#pragma once

#include "net/timer.h"
#include "runtime/claimworkers.h"
#include "runtime/controlthread.h"
#include "runtime/peerrpc.h"

namespace galenafold
{

/// Runs on the traffic thread, except `onSettled` and `flush`, which other threads call.
class IdempotencyClient
{
public:
    IdempotencyClient(asio::io_context &io, const Settings &settings, const ControlThread &control, PeerRpc &peers,
                      ClaimWorkers &claimWorkers);

    /// Claims a key. A claim without a result in time is voided.
    /// @param answerBy when to give up; the result is then Unavailable
    /// @param callback called once, on the event loop
    void claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback);

    /// Writes a void or an outcome to the log in the background, retrying until it is stored.
    void settle(const ClaimItem &item);

    /// Result of a `settle` at the owner, from the peers' thread. @param isInLog false: the owner did not confirm it
    void onSettled(const ClaimItem &item, bool isInLog);

    /// Blocks until all items passed to `settle` are in the log. @return false if the deadline passed first
    bool flush(Instant deadline);

    std::string newNonce(); ///< @return a nonce that is unique across VMs and restarts

private:
    struct Claim; // a claim in progress

    void claimAtOwner(const std::shared_ptr<Claim> &claim, const PeerAddress &owner);
    void claimLocally(const std::shared_ptr<Claim> &claim);
    void finish(const std::shared_ptr<Claim> &claim, const ClaimAnswer &answer);

    /// Finds the VM that owns the key's partition. @return false if it is this VM, or no entry VM is known
    bool findRemoteOwner(const std::string &key, PeerAddress &address) const;

    asio::io_context &m_io;
    Settings m_settings;
    const ControlThread &m_control;
    PeerRpc &m_peers;
    ClaimWorkers &m_claimWorkers;
    std::atomic<std::int64_t> m_unsettled{0};
    std::atomic<std::uint64_t> m_nonceCount{0};
    std::string m_noncePrefix;
};

} // namespace galenafold
