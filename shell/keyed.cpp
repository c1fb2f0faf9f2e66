// Claims and settlements of keyed calls.
#include "shell/keyed.h"

#include <future>
#include <random>

namespace galenafold
{

constexpr int ownerShare = 2; // the owner gets one part in this many of the time for a claim

KeyedCalls::KeyedCalls(const Settings &settings, const Core &core, Peers &peers, Desks &desks)
    : m_settings(settings)
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
    const std::uint64_t partition = hashName(claimStream(partitionOf(key)));
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

ClaimAnswer KeyedCalls::claimHere(const ClaimItem &item, Instant answerBy)
{
    auto promise = std::make_shared<std::promise<ClaimAnswer>>();
    std::future<ClaimAnswer> future = promise->get_future();
    m_desks.claim(item, answerBy, [promise](const ClaimAnswer &answer) { promise->set_value(answer); });
    if (future.wait_until(answerBy) != std::future_status::ready) {
        return {};
    }
    return future.get();
}

ClaimAnswer KeyedCalls::claim(const ClaimItem &item, Instant answerBy)
{
    PeerAddress address;
    ClaimAnswer answer;
    if (owner(item.key, address)) {
        const Instant now = clockNow();
        answer = m_peers.claim(address, item, now + (answerBy - now) / ownerShare);
    }
    if (answer.result == ClaimResult::Unavailable) {
        answer = claimHere(item, answerBy);
    }
    if (answer.result == ClaimResult::Unavailable) {
        ClaimItem giveUp = item;
        giveUp.kind = ClaimKind::Void;
        settle(giveUp);
    }
    return answer;
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
