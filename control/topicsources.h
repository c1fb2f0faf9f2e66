// Chooses where a router gets the news of a topic from: the store, or a router of its own data centre that reads it.
//
// Load pattern: hundreds of routers want the same few answers of the store, which takes a limited number of calls and
// sends a limited number of bytes a second to all of them together. In each data centre one router reads a topic, and
// the others follow it. Who that is needs no agreement: all rank the routers that they hear in the same way, wide links
// first, and ask those that rank above themselves before they ask the store. When the first fails, the second finds
// nobody above it that answers, reads the store, and is what the others ask next. Two routers that hear others make one
// reader more, nothing worse.
//
// Load pattern: the store turns some routers away, or is silent for all. A source that fails, or whose news is old, is
// left alone for a while that doubles each time, so that a router is served by the next one at once and the store gets
// no more calls than if each router read it.
//
// Load pattern: hundreds of routers start within a fraction of a second, and the topic's listing is large. The store
// would take seconds to send it to all of them, and what is given up and asked for again makes that worse. A router
// that knows of none to ask waits until its peers have told it who is there, and only then reads such a listing from
// the store; one that does know asks them until they have it, and reads the store last, at a time spread by chance.
//
// Sections of this file: Routers, Sources.
#pragma once

#include "galenafold/galenafold.h"

#include <boost/random/mersenne_twister.hpp>
#include <optional>

namespace galenafold
{

// Routers

/// Where a router runs and how wide its link is, for the choice of whom to follow.
struct RouterSite {
    std::uint32_t dataCentre = 0; // hash of its name, in 24 bits; 0: not known
    int linkClass = 0;            // logarithm of the link's rate, rounded down; equal links are chosen by hash
};

/// A router of the same data centre.
struct DataCentreRouter {
    std::uint32_t address = 0; // IPv4
    int linkClass = 0;

    friend bool operator==(const DataCentreRouter &a, const DataCentreRouter &b)
    {
        return a.address == b.address && a.linkClass == b.linkClass;
    }
};

/// @param linkMegabits rate of the VM's link in Mbit/s; 0: not known
RouterSite makeRouterSite(const DataCentreId &dataCentre, int linkMegabits);

/// @return the routers that others follow first, as all rank them alike: a few for each topic
std::vector<std::uint32_t> likelySources(const std::vector<DataCentreRouter> &routers);

// Sources

/// Who answers the next question about a topic.
struct TopicSource {
    std::optional<std::uint32_t> router; // IPv4 address; nothing: the store
    Instant notBefore{};                 // earliest time to ask

    bool isStore() const { return !router; }
};

/// Sources of one topic. Does no I/O.
class TopicSources
{
public:
    /// @param topicName routers that rank alike otherwise read different topics @param seed for jitter
    TopicSources(const std::string &topicName, std::uint64_t seed);

    /// What the store sends of the topic is much more than what other routers tell of it. In a large data centre only
    /// the routers that rank highest read it as soon as they are told nothing; the others do so one after the other.
    void setCostly() { m_isCostly = true; }

    /// Sets the routers that are known in this data centre, heard or not. @param self is not one of the others
    void setRouters(const DataCentreRouter &self, std::vector<DataCentreRouter> others);

    /// @return the preferred source of those that may be asked now, or the one that may be asked first
    TopicSource next(Instant now) const;

    void onUseful(const TopicSource &source); ///< It answered with a younger proof than was known.

    /// It failed, was silent, or has only old news.
    void onUseless(Instant now, const TopicSource &source);

    /// @param until the store refused a call or did not answer, and is not to be called before
    void onStoreFailed(Instant until);

    /// The topic's listing is large, and this router has read only its beginning. From the first call on, the rest is
    /// left to the routers that rank highest, for a time. Ends with `onListed`. @return true if that was not known
    bool onLargeListing(Instant now);
    void onListed(); ///< The listing is complete.

    /// A router that was asked for the listing does not have it yet. @return true if it is to be asked again
    bool onNotYetKnown(Instant now);

    /// Ends all waits: after the store has been silent for all, what was useless may be useful again.
    void onStoreRegained();

private:
    struct Router {
        std::uint32_t address = 0;
        Instant availableAt{};
        Duration pause{}; // after the next failure
    };
    std::vector<TopicSource> ranked() const;
    bool isReader() const;
    bool isAnyAvailable(Instant now) const;
    Router *find(std::uint32_t address);

    std::uint64_t m_topicHash = 0;
    mutable boost::random::mt19937_64 m_random;
    std::vector<Router> m_routers; // in the order in which they are asked
    std::size_t m_storeRank = 0;   // routers that are asked before the store
    Instant m_storeAvailableAt{};
    Instant m_costlyFrom{};        // earliest time of a costly read, after no other router was of use
    Instant m_listingFrom{};       // earliest time at which a router that is no reader lists from the store
    Instant m_awaitedUntil{};      // until then routers that do not have the listing yet are asked again
    bool m_isListingLarge = false; // a large listing is in progress
    bool m_isCostly = false;
    bool m_isFollower = false;      // of a large data centre: so many routers are asked before the store
    bool m_knowsDataCentre = false; // some routers of it are known
};

} // namespace galenafold
