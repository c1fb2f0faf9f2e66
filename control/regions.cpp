// Which data centres requests may be sent to.
#include "control/regions.h"

#include <algorithm>

namespace galenafold
{

static bool allows(const std::vector<RegionId> &allowed, const RegionId &region)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

std::optional<std::set<DataCentreId>> allowedDataCentres(const RegionMap &regions, const std::vector<RegionId> &byRoute,
                                                         const std::vector<RegionId> &byAccount)
{
    if (byRoute.empty() && byAccount.empty()) {
        return std::nullopt;
    }
    std::set<DataCentreId> dataCentres;
    for (const auto &[dataCentre, region] : regions) {
        if (allows(byRoute, region) && allows(byAccount, region)) {
            dataCentres.insert(dataCentre);
        }
    }
    return dataCentres;
}

} // namespace galenafold
