// The desired state as the data path uses it.
#include "control/routes.h"

#include <algorithm>
#include <cctype>

namespace galenafold
{

static std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

void RouteTable::addRoute(Route route)
{
    std::vector<Route> &routes = m_hosts[lowerCase(route.host)];
    const auto isSame = [&route](const Route &other) { return other.prefix == route.prefix; };
    routes.erase(std::remove_if(routes.begin(), routes.end(), isSame), routes.end());
    const auto isShorter = [](const Route &a, const Route &b) { return a.prefix.size() > b.prefix.size(); };
    routes.insert(std::upper_bound(routes.begin(), routes.end(), route, isShorter), std::move(route));
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_hosts.find(lowerCase(host));
    if (found == m_hosts.end()) {
        return nullptr;
    }
    for (const Route &route : found->second) {
        if (path.compare(0, route.prefix.size(), route.prefix) == 0) {
            return &route;
        }
    }
    return nullptr;
}

const ClientAccount *RouteTable::account(const std::string &apiKey) const
{
    const auto found = accountIndexByKey.find(apiKey);
    return found == accountIndexByKey.end() ? nullptr : &accounts[found->second];
}

} // namespace galenafold
