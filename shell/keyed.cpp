// Claims and settlements of keyed calls.
#include "shell/keyed.h"

#include <asio/post.hpp>
#include <random>

namespace galenafold
{

constexpr int ownerShare = 2; // the owner gets one part in this many of the time for a claim

struct KeyedCalls::Claim {
    Claim(asio::io_context &io, const ClaimItem &theItem, Instant theEnd, ClaimCallback theCallback)
        : item(theItem)
        , answerBy(theEnd)
        , callback(std::move(theCallback))
        , timer(io)
    {
    }

    const ClaimItem item;
    const Instant answerBy;
    ClaimCallback callback; // empty once it was called
    DeadlineTimer timer;    // the owner's part of the time, then the end
    bool isHere = false;    // the owner's answer no longer counts
};

KeyedCalls::KeyedCalls(asio::io_context &io, const Settings &settings, const Core &core, Peers &peers, Desks &desks)
    : m_io(io)
    , m_settings(settings)
    , m_core(core)
    , m_peers(peers)
    , m_desks(desks)
{
    std::random_device device; // another prefix in each life of a VM, or a nonce could come twice
    m_noncePrefix = settings.name.text + '-' + std::to_string(device()) + std::to_string(device()) + '-';
}

std::string KeyedCalls::newNonce()
{
    return m_noncePrefix + std::to_string(++m_nonces);
}

bool KeyedCalls::owner(const std::string &key, PeerAddress &address) const
{
    const std::uint64_t partition = hashName(claimStream(claimPartitionOf(key)));
    const auto snapshot = m_core.snapshot();
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

void KeyedCalls::claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback)
{
    const auto claim = std::make_shared<Claim>(m_io, item, answerBy, std::move(callback));
    PeerAddress address;
    if (owner(item.key, address)) {
        askOwner(claim, address);
    } else {
        claimHere(claim);
    }
}

void KeyedCalls::askOwner(const std::shared_ptr<Claim> &claim, const PeerAddress &owner)
{
    const Instant now = clockNow();
    const Instant ownersEnd = now + (claim->answerBy - now) / ownerShare;
    m_peers.claim(owner, claim->item, ownersEnd, [this, claim](const ClaimAnswer &answer) {
        asio::post(m_io, [this, claim, answer] {
            if (claim->isHere) {
                return;
            }
            if (answer.result == ClaimResult::Unavailable) {
                claimHere(claim);
            } else {
                end(claim, answer);
            }
        });
    });
    claim->timer.expires_at(ownersEnd);
    claim->timer.async_wait([this, claim](const asio::error_code &error) {
        if (!error && !claim->isHere) {
            claimHere(claim);
        }
    });
}

void KeyedCalls::claimHere(const std::shared_ptr<Claim> &claim)
{
    claim->isHere = true;
    m_desks.claim(claim->item, claim->answerBy, [this, claim](const ClaimAnswer &answer) {
        asio::post(m_io, [this, claim, answer] { end(claim, answer); });
    });
    claim->timer.expires_at(claim->answerBy);
    claim->timer.async_wait([this, claim](const asio::error_code &error) {
        if (!error) {
            end(claim, ClaimAnswer{});
        }
    });
}

void KeyedCalls::end(const std::shared_ptr<Claim> &claim, const ClaimAnswer &answer)
{
    if (!claim->callback) {
        return; // it was given up before
    }
    claim->isHere = true;
    claim->timer.cancel();
    if (answer.result == ClaimResult::Unavailable) {
        ClaimItem giveUp = claim->item;
        giveUp.kind = ClaimKind::Void;
        settle(giveUp);
    }
    const ClaimCallback callback = std::move(claim->callback);
    claim->callback = nullptr;
    callback(answer);
}

void KeyedCalls::settle(const ClaimItem &item)
{
    ++m_unsettled;
    PeerAddress address;
    if (owner(item.key, address)) {
        m_peers.settle(address, item);
        return;
    }
    m_desks.settle(item, [this] { --m_unsettled; });
}

void KeyedCalls::onSettled(const ClaimItem &item, bool isInLog)
{
    if (isInLog) {
        --m_unsettled;
        return;
    }
    m_desks.settle(item, [this] { --m_unsettled; });
}

bool KeyedCalls::flush(Instant deadline)
{
    while (m_unsettled > 0 && clockNow() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return m_unsettled <= 0;
}

} // namespace galenafold
