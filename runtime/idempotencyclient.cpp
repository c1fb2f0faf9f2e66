// Sends claims and settlements of idempotency keys to the partition owner, or to the log through local workers.
#include "runtime/idempotencyclient.h"

#include <asio/post.hpp>
#include <random>

namespace galenafold
{

constexpr int ownerTimeDivisor = 2; // the owner has this part of the time for a claim; the rest is for a local one

struct IdempotencyClient::Claim {
    Claim(asio::io_context &io, const ClaimItem &theItem, Instant theDeadline, ClaimCallback theCallback)
        : item(theItem)
        , answerBy(theDeadline)
        , callback(std::move(theCallback))
        , timer(io)
    {
    }

    const ClaimItem item;
    const Instant answerBy;
    ClaimCallback callback;    // empty after the call
    DeadlineTimer timer;       // first the owner's deadline, then `answerBy`
    bool ignoresOwner = false; // claimed locally or finished: a late answer of the owner has no effect
};

IdempotencyClient::IdempotencyClient(asio::io_context &io, const Settings &settings, const ControlThread &control,
                                     PeerRpc &peers, ClaimWorkers &claimWorkers)
    : m_io(io)
    , m_settings(settings)
    , m_control(control)
    , m_peers(peers)
    , m_claimWorkers(claimWorkers)
{
    std::random_device device; // random prefix: nonces must not repeat after a restart
    m_noncePrefix = settings.name.text + '-' + std::to_string(device()) + std::to_string(device()) + '-';
}

std::string IdempotencyClient::newNonce()
{
    return m_noncePrefix + std::to_string(++m_nonceCount);
}

bool IdempotencyClient::findRemoteOwner(const std::string &key, PeerAddress &address) const
{
    const std::uint64_t partition = hashName(claimStream(claimPartitionOf(key)));
    const auto snapshot = m_control.snapshot();
    std::uint64_t best = 0;
    bool isOther = false;
    for (const VmRecord &vm : snapshot->entryVms) {
        const std::uint64_t score = rendezvousScore(partition, hashName(vm.id.text));
        if (score >= best) {
            best = score;
            isOther = vm.id != m_settings.name;
            address = {vm.id, vm.address, vm.peerPort};
        }
    }
    return isOther;
}

void IdempotencyClient::claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback)
{
    const auto claim = std::make_shared<Claim>(m_io, item, answerBy, std::move(callback));
    PeerAddress address;
    if (findRemoteOwner(item.key, address)) {
        claimAtOwner(claim, address);
    } else {
        claimLocally(claim);
    }
}

void IdempotencyClient::claimAtOwner(const std::shared_ptr<Claim> &claim, const PeerAddress &owner)
{
    const Instant now = clockNow();
    const Instant ownerDeadline = now + (claim->answerBy - now) / ownerTimeDivisor;
    m_peers.claim(owner, claim->item, ownerDeadline, [this, claim](const ClaimAnswer &answer) {
        asio::post(m_io, [this, claim, answer] {
            if (claim->ignoresOwner) {
                return;
            }
            if (answer.result == ClaimResult::Unavailable) {
                claimLocally(claim);
            } else {
                finish(claim, answer);
            }
        });
    });
    claim->timer.expires_at(ownerDeadline);
    claim->timer.async_wait([this, claim](const asio::error_code &error) {
        if (!error && !claim->ignoresOwner) {
            claimLocally(claim);
        }
    });
}

void IdempotencyClient::claimLocally(const std::shared_ptr<Claim> &claim)
{
    claim->ignoresOwner = true;
    m_claimWorkers.claim(claim->item, claim->answerBy, [this, claim](const ClaimAnswer &answer) {
        asio::post(m_io, [this, claim, answer] { finish(claim, answer); });
    });
    claim->timer.expires_at(claim->answerBy);
    claim->timer.async_wait([this, claim](const asio::error_code &error) {
        if (!error) {
            finish(claim, ClaimAnswer{});
        }
    });
}

void IdempotencyClient::finish(const std::shared_ptr<Claim> &claim, const ClaimAnswer &answer)
{
    if (!claim->callback) {
        return; // already finished
    }
    claim->ignoresOwner = true;
    claim->timer.cancel();
    if (answer.result == ClaimResult::Unavailable) {
        ClaimItem voidItem = claim->item;
        voidItem.kind = ClaimKind::Void;
        settle(voidItem);
    }
    const ClaimCallback callback = std::move(claim->callback);
    claim->callback = nullptr;
    callback(answer);
}

void IdempotencyClient::settle(const ClaimItem &item)
{
    ++m_unsettled;
    PeerAddress address;
    if (findRemoteOwner(item.key, address)) {
        m_peers.settle(address, item);
        return;
    }
    m_claimWorkers.settle(item, [this] { --m_unsettled; });
}

void IdempotencyClient::onSettled(const ClaimItem &item, bool isInLog)
{
    if (isInLog) {
        --m_unsettled;
        return;
    }
    m_claimWorkers.settle(item, [this] { --m_unsettled; });
}

bool IdempotencyClient::flush(Instant deadline)
{
    while (m_unsettled > 0 && clockNow() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return m_unsettled <= 0;
}

} // namespace galenafold
