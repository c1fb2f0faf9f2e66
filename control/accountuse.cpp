// Own use by decaying sums, that of peers as they last told it. Sections of this file: Accounts, Own use, Peers.
#include "control/accountuse.h"

#include "control/loadview.h"
#include "galenafold/seconds.h"

#include <algorithm>
#include <bitset>
#include <cmath>

namespace galenafold
{

constexpr auto useWindow = std::chrono::seconds(5);          // of an account's share
constexpr auto useCheckInterval = std::chrono::seconds(1);   // between checks for accounts without recent use
constexpr auto sumInterval = std::chrono::milliseconds(200); // between sums over what all peers have told
constexpr double noUse = 0.05;                               // usual requests; an account with less counts as idle
constexpr std::size_t maxNamed = 3;                          // accounts of a service that a router names
constexpr int accountBits = 64;

// Accounts

static std::uint32_t shortHash(const std::string &name)
{
    return static_cast<std::uint32_t>(hashName(name));
}

std::uint64_t accountBit(std::uint32_t account)
{
    return std::uint64_t{1} << account % accountBits;
}

/// Linear counting: of so many bits, few accounts leave most unset. With all bits set, as many are assumed as leave one
/// bit unset on average.
double estimatedAccounts(std::uint64_t bits)
{
    const auto unset = static_cast<double>(accountBits - std::bitset<accountBits>(bits).count());
    return accountBits * std::log(accountBits / std::max(1.0, unset));
}

AccountUse::Account::Account(const AccountId &id)
    : hash(shortHash(id.text))
    , work(useWindow)
{
}

AccountUse::Service::Service()
    : total(useWindow)
{
}

// Own use

void AccountUse::onStarted(Instant now, const ServiceId &id, const AccountId &account, double work)
{
    Service &service = m_services[id];
    Account &own = service.accounts.try_emplace(account, account).first->second;
    own.work.add(now, work);
    service.total.add(now, work);
    service.bits |= accountBit(own.hash);
    service.namesAccounts = service.namesAccounts || !account.isEmpty();
    dropOldUse(now, service);
    sumPeers(now);
}

void AccountUse::dropOldUse(Instant now, Service &service)
{
    if (now < service.nextCheckAt) {
        return;
    }
    service.nextCheckAt = now + useCheckInterval;
    service.bits = 0;
    for (auto account = service.accounts.begin(); account != service.accounts.end();) {
        const double left = account->second.work.sum(now);
        if (left >= noUse) {
            service.bits |= accountBit(account->second.hash);
            ++account;
        } else {
            service.total.add(now, -left);
            account = service.accounts.erase(account);
        }
    }
}

/// @return work of the account at this router, as a multiple of the mean of this router's accounts
double AccountUse::ownMultiple(Instant now, const Service &service, const Account &account)
{
    const double total = service.total.sum(now);
    return total <= 0 ? 0 : account.work.sum(now) * static_cast<double>(service.accounts.size()) / total;
}

/// The mean is that of the accounts that are known to have used the service: own ones are counted, those of peers
/// estimated.
double AccountUse::multipleOfMean(Instant now, const ServiceId &id, const AccountId &account) const
{
    const auto service = m_services.find(id);
    if (service == m_services.end()) {
        return 0;
    }
    const auto own = service->second.accounts.find(account);
    const PeerUse *peers = peerUse(id);
    if (!peers) {
        return own == service->second.accounts.end() ? 0 : ownMultiple(now, service->second, own->second);
    }
    const double window = secondsOf(useWindow);
    const std::uint32_t hash = own == service->second.accounts.end() ? shortHash(account.text) : own->second.hash;
    const auto told = peers->perAccount.find(hash);
    const double perSecond = (own == service->second.accounts.end() ? 0 : own->second.work.sum(now) / window)
        + (told == peers->perAccount.end() ? 0 : told->second);
    const double total = service->second.total.sum(now) / window + peers->perSecond;
    const double accounts = std::max(static_cast<double>(service->second.accounts.size()),
                                     estimatedAccounts(service->second.bits | peers->bits));
    return total <= 0 ? 0 : perSecond * accounts / total;
}

std::vector<AccountUse::Entry> AccountUse::heaviest(Instant now, const ServiceId &id, std::size_t most) const
{
    std::vector<Entry> heavy;
    const auto service = m_services.find(id);
    if (service == m_services.end()) {
        return heavy;
    }
    for (const auto &[account, own] : service->second.accounts) {
        const double multiple = multipleOfMean(now, id, account);
        if (multiple > heavyUse) {
            heavy.push_back({account, multiple});
        }
    }
    const auto usesMore = [](const Entry &a, const Entry &b) { return a.multipleOfMean > b.multipleOfMean; };
    std::sort(heavy.begin(), heavy.end(), usesMore);
    heavy.resize(std::min(heavy.size(), most));
    return heavy;
}

// Peers

std::vector<AccountWork> AccountUse::ownWork(Instant now) const
{
    std::vector<AccountWork> work;
    for (const auto &[id, service] : m_services) {
        if (service.namesAccounts && service.total.sum(now) >= noUse && work.size() + maxNamed < maxAccountWork) {
            nameOwn(now, shortHash(id.text), service, work);
        }
    }
    return work;
}

void AccountUse::nameOwn(Instant now, std::uint32_t hash, const Service &service, std::vector<AccountWork> &work)
{
    const double window = secondsOf(useWindow);
    std::vector<AccountWork> named;
    for (const auto &[id, account] : service.accounts) {
        if (ownMultiple(now, service, account) > heavyUse) {
            named.push_back({hash, account.hash, static_cast<float>(account.work.sum(now) / window)});
        }
    }
    const auto usesMore = [](const AccountWork &a, const AccountWork &b) { return a.perSecond > b.perSecond; };
    std::sort(named.begin(), named.end(), usesMore);
    named.resize(std::min(named.size(), maxNamed));
    double others = service.total.sum(now) / window;
    for (const AccountWork &account : named) {
        others -= account.perSecond;
    }
    work.push_back({hash, 0, static_cast<float>(std::max(0.0, others)), service.bits});
    work.insert(work.end(), named.begin(), named.end());
}

void AccountUse::onPeerWork(Instant now, std::uint32_t peer, const std::vector<AccountWork> &work, Duration lifetime)
{
    m_peers[peer] = {work, now + lifetime};
    sumPeers(now);
}

const AccountUse::PeerUse *AccountUse::peerUse(const ServiceId &service) const
{
    if (m_peerUse.empty()) {
        return nullptr;
    }
    const auto found = m_peerUse.find(shortHash(service.text));
    return found == m_peerUse.end() ? nullptr : &found->second;
}

/// Summed anew each time, so that nothing counts twice, whatever comes late or again.
void AccountUse::sumPeers(Instant now)
{
    if (now < m_nextSumAt || (m_peers.empty() && m_peerUse.empty())) {
        return;
    }
    m_nextSumAt = now + sumInterval;
    m_peerUse.clear();
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now >= peer->second.expiry) {
            peer = m_peers.erase(peer);
            continue;
        }
        for (const AccountWork &work : peer->second.work) {
            PeerUse &use = m_peerUse[work.service];
            use.perSecond += work.perSecond;
            use.bits |= work.account == 0 ? work.accounts : accountBit(work.account);
            if (work.account != 0) {
                use.perAccount[work.account] += work.perSecond;
            }
        }
        ++peer;
    }
}

} // namespace galenafold
