// Calls with an idempotency key, from the side of the router that wants to send. Lives on the traffic loop.
//
// A claim goes to the owner of the key's partition, which batches; when the owner does not answer, this VM works the
// partition itself. A nonce that was not told "won" in time never sends, and is voided.
#pragma once

#include "net/timer.h"
#include "shell/core.h"
#include "shell/desks.h"
#include "shell/peers.h"

namespace galenafold
{

class KeyedCalls
{
public:
    KeyedCalls(asio::io_context &io, const Settings &settings, const Core &core, Peers &peers, Desks &desks);

    /// Claims a key. @param callback called once, on the loop, at `answerBy` at the latest. A claim that was not won is
    /// voided.
    void claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback);

    /// Has a void or an outcome written; returns at once and tries until it is in the log.
    void settle(const ClaimItem &item);
    void onSettled(const ClaimItem &item, bool isInLog); ///< From the peers: the owner took it, or did not answer.

    /// Waits until all that was settled is in the log. @return false at the deadline.
    bool flush(Instant deadline);

    std::string newNonce();

private:
    struct Claim; // in progress

    void askOwner(const std::shared_ptr<Claim> &claim, const PeerAddress &owner);
    void claimHere(const std::shared_ptr<Claim> &claim);
    void end(const std::shared_ptr<Claim> &claim, const ClaimAnswer &answer);
    bool owner(const std::string &key, PeerAddress &address) const; ///< @return false when this VM is the owner

    asio::io_context &m_io;
    Settings m_settings;
    const Core &m_core;
    Peers &m_peers;
    Desks &m_desks;
    std::atomic<std::int64_t> m_unsettled{0};
    std::atomic<std::uint64_t> m_nonces{0};
    std::string m_noncePrefix;
};

} // namespace galenafold
