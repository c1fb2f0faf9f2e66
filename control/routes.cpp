// Route lookup by host and longest path prefix, and account lookup by API key.
#include "control/routes.h"

#include "control/loadview.h"

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
    const auto hasSamePrefix = [&route](const Route &other) { return other.prefix == route.prefix; };
    routes.erase(std::remove_if(routes.begin(), routes.end(), hasSamePrefix), routes.end());
    const auto hasLongerPrefix = [](const Route &a, const Route &b) { return a.prefix.size() > b.prefix.size(); };
    routes.insert(std::upper_bound(routes.begin(), routes.end(), route, hasLongerPrefix), std::move(route));
}

const ServiceId &selectService(const Route &route, const RequestId &request)
{
    double sum = 0;
    for (const RouteTarget &target : route.targets) {
        sum += target.weight;
    }
    constexpr std::uint64_t steps = 1U << 20U;
    double point = sum * static_cast<double>(hashName(request.text) % steps) / static_cast<double>(steps);
    for (const RouteTarget &target : route.targets) {
        if (point < target.weight) {
            return target.service;
        }
        point -= target.weight;
    }
    return route.targets.back().service;
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
