// Which data centres requests may be sent to, by the regions that their route and their client account allow.
//
// Load pattern: an account's data may not leave its country, or a route's callers want answers from near, whatever the
// load. Where the replicas of the allowed regions have no room, or are gone, a request is refused rather than sent
// elsewhere.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>
#include <set>

namespace galenafold
{

using RegionMap = std::map<DataCentreId, RegionId>; // the region of each data centre

/// A data centre whose region is not known is in no allowed region.
/// @param byRoute regions that the route allows; empty: any @param byAccount the same of the client account
/// @return data centres that both allow; nothing: any
std::optional<std::set<DataCentreId>> allowedDataCentres(const RegionMap &regions, const std::vector<RegionId> &byRoute,
                                                         const std::vector<RegionId> &byAccount);

} // namespace galenafold
