// Chooses where a router gets the news of a topic from.
#include "control/topicsources.h"

#include "control/loadview.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace galenafold
{

constexpr std::size_t minDataCentre = 8;      // routers; in a smaller data centre each reads the store
constexpr std::size_t routersBeforeStore = 2; // that are asked before a router reads the store itself
constexpr std::size_t maxRouters = 4;         // that are asked at all, when the store fails too
constexpr auto firstPause = std::chrono::seconds(1);
constexpr auto longestPause = std::chrono::seconds(4);

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

TopicSources::TopicSources(const std::string &topicName, std::uint64_t seed)
    : m_topicHash(hashName(topicName))
    , m_random(seed)
{
}

void TopicSources::setRouters(const DataCentreRouter &self, std::vector<DataCentreRouter> others)
{
    const auto ranksHigher = [this](const DataCentreRouter &a, const DataCentreRouter &b) {
        const auto key = [this](const DataCentreRouter &router) {
            return std::make_tuple(router.linkClass, rendezvousScore(m_topicHash, router.address), router.address);
        };
        return key(a) > key(b);
    };
    std::sort(others.begin(), others.end(), ranksHigher);
    const auto firstBelow = std::find_if(others.begin(), others.end(),
                                         [&](const DataCentreRouter &other) { return ranksHigher(self, other); });
    const auto above = static_cast<std::size_t>(firstBelow - others.begin());
    m_storeRank = others.size() + 1 < minDataCentre ? 0 : std::min(above, routersBeforeStore);
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
    sources.insert(sources.begin() + static_cast<std::ptrdiff_t>(m_storeRank), {std::nullopt, m_storeAvailableAt});
    return sources;
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
    } else if (Router *router = find(*source.router)) {
        router->availableAt = Instant{};
        router->pause = firstPause;
    }
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
