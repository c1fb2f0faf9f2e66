// Chooses where a router gets the news of a topic from.
#include "control/topicsources.h"

#include "control/loadview.h"
#include "control/storetopics.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace galenafold
{

constexpr std::size_t minDataCentre = 8;      // routers; in a smaller data centre each reads the store
constexpr std::size_t routersBeforeStore = 2; // that are asked before a router reads the store itself
constexpr std::size_t largeDataCentre = 64;   // routers; in a larger one more are asked before the store
constexpr std::size_t maxRouters = 4;         // that are asked at all, when the store fails too
constexpr auto firstPause = std::chrono::seconds(1);
constexpr auto longestPause = std::chrono::seconds(4);
constexpr auto discoveryTime = std::chrono::milliseconds(1500); // in which the first peer list comes, if any does
constexpr auto listingSpread = std::chrono::seconds(4);   // over which routers that nobody told list from the store
constexpr auto costlySpread = std::chrono::seconds(3);    // over which they read what they missed
constexpr auto listingPatience = std::chrono::seconds(4); // for a router that is itself reading the listing
constexpr std::size_t sourcesPerTopic = 3; // two that are asked before the store, and one in case one of them fails

RouterSite makeRouterSite(const DataCentreId &dataCentre, int linkMegabits)
{
    constexpr std::uint64_t hashMask = 0xffffff;
    RouterSite site;
    site.dataCentre = static_cast<std::uint32_t>(std::max<std::uint64_t>(hashName(dataCentre.text) & hashMask, 1));
    for (int rate = linkMegabits; rate > 1; rate /= 2) {
        ++site.linkClass;
    }
    return site;
}

/// @return the key by which routers are ranked, the highest first
static std::tuple<int, std::uint64_t, std::uint32_t> rankOf(std::uint64_t topicHash, const DataCentreRouter &router)
{
    return {router.linkClass, rendezvousScore(topicHash, router.address), router.address};
}

std::vector<std::uint32_t> likelySources(const std::vector<DataCentreRouter> &routers)
{
    std::vector<std::uint32_t> likely;
    for (const StoreTopic topic : {StoreTopic::DesiredState, StoreTopic::Registry, StoreTopic::Places}) {
        const std::uint64_t topicHash = hashName(text(topic));
        std::vector<DataCentreRouter> first(std::min(routers.size(), sourcesPerTopic));
        std::partial_sort_copy(routers.begin(), routers.end(), first.begin(), first.end(),
                               [topicHash](const DataCentreRouter &a, const DataCentreRouter &b) {
                                   return rankOf(topicHash, a) > rankOf(topicHash, b);
                               });
        for (const DataCentreRouter &router : first) {
            if (std::find(likely.begin(), likely.end(), router.address) == likely.end()) {
                likely.push_back(router.address);
            }
        }
    }
    return likely;
}

TopicSources::TopicSources(const std::string &topicName, std::uint64_t seed)
    : m_topicHash(hashName(topicName))
    , m_random(seed)
{
}

void TopicSources::setRouters(const DataCentreRouter &self, std::vector<DataCentreRouter> others)
{
    const auto ranksHigher = [this](const DataCentreRouter &a, const DataCentreRouter &b) {
        return rankOf(m_topicHash, a) > rankOf(m_topicHash, b);
    };
    std::sort(others.begin(), others.end(), ranksHigher);
    const auto firstBelow = std::find_if(others.begin(), others.end(),
                                         [&](const DataCentreRouter &other) { return ranksHigher(self, other); });
    const auto above = static_cast<std::size_t>(firstBelow - others.begin());
    const std::size_t before = others.size() + 1 < largeDataCentre ? routersBeforeStore : maxRouters;
    m_storeRank = others.size() + 1 < minDataCentre ? 0 : std::min(above, before);
    m_isFollower = m_storeRank == maxRouters;
    m_knowsDataCentre = true;
    std::vector<Router> routers;
    for (std::size_t i = 0; i < std::min(others.size(), maxRouters); ++i) {
        const Router *known = find(others[i].address);
        routers.push_back(known ? *known : Router{others[i].address, {}, firstPause});
    }
    m_routers = std::move(routers);
}

TopicSources::Router *TopicSources::find(std::uint32_t address)
{
    const auto found = std::find_if(m_routers.begin(), m_routers.end(),
                                    [address](const Router &router) { return router.address == address; });
    return found == m_routers.end() ? nullptr : &*found;
}

/// @return all sources, the preferred one first
std::vector<TopicSource> TopicSources::ranked() const
{
    std::vector<TopicSource> sources;
    for (const Router &router : m_routers) {
        sources.push_back({router.address, router.availableAt});
    }
    Instant storeAvailableAt = m_storeAvailableAt;
    if (m_isListingLarge && !isReader()) {
        storeAvailableAt = std::max(storeAvailableAt, m_listingFrom);
    }
    if (m_isCostly && m_isFollower) {
        storeAvailableAt = std::max(storeAvailableAt, m_costlyFrom);
    }
    sources.insert(sources.begin() + static_cast<std::ptrdiff_t>(m_storeRank), {std::nullopt, storeAvailableAt});
    return sources;
}

/// @return true if no other router is asked before the store
bool TopicSources::isReader() const
{
    return m_knowsDataCentre && m_storeRank == 0;
}

bool TopicSources::onLargeListing(Instant now)
{
    if (m_isListingLarge) {
        return false;
    }
    const boost::random::uniform_real_distribution<double> part(0, 1);
    const auto spread = static_cast<double>(Duration(listingSpread).count()) * part(m_random);
    m_isListingLarge = true;
    m_listingFrom = now + discoveryTime + Duration(static_cast<Duration::rep>(spread));
    m_awaitedUntil = now + listingPatience;
    return true;
}

void TopicSources::onListed()
{
    m_isListingLarge = false;
}

bool TopicSources::onNotYetKnown(Instant now)
{
    return m_isListingLarge && now < m_awaitedUntil;
}

TopicSource TopicSources::next(Instant now) const
{
    const std::vector<TopicSource> sources = ranked();
    const auto available = std::find_if(sources.begin(), sources.end(),
                                        [now](const TopicSource &source) { return source.notBefore <= now; });
    if (available != sources.end()) {
        return *available;
    }
    return *std::min_element(sources.begin(), sources.end(),
                             [](const TopicSource &a, const TopicSource &b) { return a.notBefore < b.notBefore; });
}

void TopicSources::onUseful(const TopicSource &source)
{
    if (source.isStore()) {
        m_storeAvailableAt = Instant{};
        m_costlyFrom = Instant{};
    } else if (Router *router = find(*source.router)) {
        router->availableAt = Instant{};
        router->pause = firstPause;
        m_costlyFrom = Instant{};
    }
}

bool TopicSources::isAnyAvailable(Instant now) const
{
    return std::any_of(m_routers.begin(), m_routers.end(),
                       [now](const Router &router) { return router.availableAt <= now; });
}

void TopicSources::onUseless(Instant now, const TopicSource &source)
{
    Router *router = source.isStore() ? nullptr : find(*source.router);
    if (!router) {
        return;
    }
    const boost::random::uniform_real_distribution<double> jitter(0.75, 1.25);
    const auto pause = static_cast<double>(router->pause.count()) * jitter(m_random);
    router->availableAt = now + Duration(static_cast<Duration::rep>(pause));
    router->pause = std::min<Duration>(router->pause * 2, longestPause);
    if (m_costlyFrom == Instant{} && !isAnyAvailable(now)) {
        const boost::random::uniform_real_distribution<double> part(0, 1);
        const auto spread = static_cast<double>(Duration(costlySpread).count()) * part(m_random);
        m_costlyFrom = now + Duration(static_cast<Duration::rep>(spread));
    }
}

void TopicSources::onStoreFailed(Instant until)
{
    m_storeAvailableAt = until;
}

void TopicSources::onStoreRegained()
{
    for (Router &router : m_routers) {
        router.availableAt = Instant{};
        router.pause = firstPause;
    }
}

} // namespace galenafold
