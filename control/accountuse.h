// Work that client accounts have started lately at each service, at this router and at all others.
//
// Load pattern: the callers of one account are spread over all routers, or come to a few of them. Each router sees a
// part of what the account uses, so one that takes many times its share of the fleet may look usual to each of them,
// and one whose callers all come to a single router looks heavy there though it uses little. Routers tell each other
// of the accounts that use most, a few bytes each, in the beacons that they send anyway.
//
// All of it is soft state: a router that is alone or has just started goes on with what it sees itself, what a silent
// router told expires, and what it told before is replaced, never added to, by what it tells next.
#pragma once

#include "control/routes.h"

#include <vector>

namespace galenafold
{

/// What one router has started of an account's requests at a service, as it tells its peers.
struct AccountWork {
    std::uint32_t service = 0; // hash of its id
    std::uint32_t account = 0; // hash of its id; 0: all accounts of the router that it does not name, together
    float perSecond = 0;       // work that started lately, as a multiple of the service's usual request
};

/// Not thread-safe: used on the traffic thread.
class AccountUse
{
public:
    /// A request of the account was sent to a replica. @param work as a multiple of the service's usual request
    void onStarted(Instant now, const ServiceId &service, const AccountId &account, double work);

    /// @return work of the account in the fleet, as a multiple of the mean of all accounts that have used the service
    /// lately; 0: none
    double multipleOfMean(Instant now, const ServiceId &service, const AccountId &account) const;

    /// @param most entries at most @return this router's heaviest accounts, for the next beacon
    std::vector<AccountWork> ownWork(Instant now, std::size_t most) const;

    /// Replaces what another router told before. @param lifetime time after which it no longer counts
    void onPeerWork(Instant now, std::uint32_t peer, const std::vector<AccountWork> &work, Duration lifetime);
};

} // namespace galenafold
