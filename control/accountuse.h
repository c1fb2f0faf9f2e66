// Work that client accounts have started lately at each service, at this router and at all others.
//
// Load pattern: the callers of one account are spread over all routers, or come to a few of them. Each router sees a
// part of what the account uses, so one that takes many times its share of the fleet may look usual to each of them,
// and one whose callers all come to a single router looks heavy there though it uses little. While requests wait,
// routers tell each other of the accounts that use most, a few bytes each, in the beacons that they send anyway.
//
// All of it is soft state: a router that is alone or has just started goes on with what it sees itself, what a silent
// router told expires, and what it told before is replaced, never added to, by what it tells next.
//
// Sections of this file: Work, Use.
#pragma once

#include "control/routes.h"
#include "filters/rates.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace galenafold
{

// Work

/// What one router has started of an account's requests at a service, as it tells its peers.
struct AccountWork {
    std::uint32_t service = 0;  // hash of its id
    std::uint32_t account = 0;  // hash of its id; 0: all accounts of the router that it does not name, together
    float perSecond = 0;        // work that started lately, as a multiple of the service's usual request
    std::uint64_t accounts = 0; // with account 0, which accounts use the service: a bit for each. @see accountBit
};

constexpr std::size_t maxAccountWork = 16; // entries in one beacon

/// @return the bit of an account in `AccountWork::accounts`; several accounts may share one
std::uint64_t accountBit(std::uint32_t account);

/// @return about how many accounts set these bits
double estimatedAccounts(std::uint64_t bits);

// Use

constexpr double heavyUse = 1.5; // multiples of the mean use of all accounts, above which an account is over its share

/// Not thread-safe: used on the traffic thread.
class AccountUse
{
public:
    /// A request of the account was sent to a replica. @param work as a multiple of the service's usual request
    void onStarted(Instant now, const ServiceId &service, const AccountId &account, double work);

    /// @return work of the account in the fleet, as a multiple of the mean of all accounts that have used the service
    /// lately; 0: none
    double multipleOfMean(Instant now, const ServiceId &service, const AccountId &account) const;

    /// @return for each service whose requests name accounts, this router's accounts over their share here, the
    /// heaviest first, and the sum of the others, for the next beacon
    std::vector<AccountWork> ownWork(Instant now) const;

    /// Replaces what another router told before. @param lifetime time after which it no longer counts
    void onPeerWork(Instant now, std::uint32_t peer, const std::vector<AccountWork> &work, Duration lifetime);

    /// An account and its use. @see heaviest
    struct Entry {
        AccountId account;
        double multipleOfMean = 0;
    };

    /// @return accounts that have started work here lately and are over their share of the fleet, the heaviest first
    std::vector<Entry> heaviest(Instant now, const ServiceId &service, std::size_t most) const;

private:
    struct Account {
        explicit Account(const AccountId &id);
        std::uint32_t hash = 0;
        DecayingSum work;
    };
    struct Service {
        Service();
        std::map<AccountId, Account> accounts;
        DecayingSum total;          // work of all accounts
        std::uint64_t bits = 0;     // of all accounts
        bool namesAccounts = false; // false: no request has named one
        Instant nextCheckAt{};      // when accounts without recent use are dropped
    };
    struct Peer {
        std::vector<AccountWork> work;
        Instant expiry{};
    };
    /// What all peers have told of one service.
    struct PeerUse {
        double perSecond = 0;
        std::uint64_t bits = 0;                               // of the accounts
        std::unordered_map<std::uint32_t, double> perAccount; // of those named, per second
    };

    static void dropOldUse(Instant now, Service &service);
    static void nameOwn(Instant now, std::uint32_t hash, const Service &service, std::vector<AccountWork> &work);
    static double ownMultiple(Instant now, const Service &service, const Account &account);
    const PeerUse *peerUse(const ServiceId &service) const;
    void sumPeers(Instant now);

    std::map<ServiceId, Service> m_services;
    std::unordered_map<std::uint32_t, Peer> m_peers;
    std::unordered_map<std::uint32_t, PeerUse> m_peerUse; // by hash of the service; as of the last `sumPeers`
    Instant m_nextSumAt{};
};

} // namespace galenafold
