// A place in a topic of the platform's store.
//
// Load pattern: the store comes back from a copy some seconds old and gives out its offsets again, for other records.
// Routers learn of it one after the other, and meanwhile tell each other what they know. A bare offset would compare
// what one of them knew before with what another one knows since, and records in between would never be read.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>

namespace galenafold
{

/// Number of times that the store has been restored from a copy. Later ones are higher, by one or more.
using StoreEra = std::int64_t;

struct TopicPosition {
    LogOffset offset = 0;
    std::optional<StoreEra> era{}; // in which the offset was given out; nothing: the store does not tell
};

/// @return true if the offsets can be compared: both were given out in one life of the store
inline bool isSameEra(const TopicPosition &left, const TopicPosition &right)
{
    return left.era == right.era;
}

/// Records are read in their order, and none of an era before: what comes with another era than what is known is later.
/// @return true if a record at `position` was written after the one at `known`
inline bool isPast(const TopicPosition &position, const TopicPosition &known)
{
    return !isSameEra(position, known) || position.offset > known.offset;
}

} // namespace galenafold
