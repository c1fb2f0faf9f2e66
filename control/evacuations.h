// Data centres whose replicas the operator wants to get no requests, as the records of the store tell.
//
// Load pattern: an operator evacuates a data centre and takes that back, then the next, at times several or all at
// once, while the store is away, lists its records anew or comes back from an older copy. Records count in the order of
// their offsets, so a late page of a listing neither begins nor ends an evacuation.
//
// A store that was restored from a copy may have lost records. An evacuation that it does not name stays until a later
// record says otherwise: requests that reach a data centre which is about to be switched off cost more than room that
// is left unused, and the operator can end it with a record.
#pragma once

#include "control/topicposition.h"

#include <map>
#include <set>

namespace galenafold
{

/// One record of the operator.
struct EvacuationRecord {
    DataCentreId dataCentre;
    bool isEvacuated = false; // false: taken back
    TopicPosition position;
};

/// An evacuation that has begun or ended.
struct EvacuationChange {
    DataCentreId dataCentre;
    bool isEvacuated = false;
    TopicPosition position; // of the record, or of the listing that names no evacuation any more
};

/// Tracks the operator's records of evacuations.
class Evacuations
{
public:
    /// @return the change, if there is one
    std::optional<EvacuationChange> apply(const EvacuationRecord &record);

    /// Applies a listing of all records. Evacuations that it does not name have ended, unless a newer record is known
    /// or they are of an era before the listing's. @param listedUpTo end of the topic when the listing began
    std::vector<EvacuationChange> applyListing(const std::vector<EvacuationRecord> &listing,
                                               const TopicPosition &listedUpTo);

    std::set<DataCentreId> dataCentres() const; ///< @return those that are evacuated

private:
    struct Entry {
        bool isEvacuated = false;
        TopicPosition position{-1}; // of its last record
    };

    std::map<DataCentreId, Entry> m_entries;
};

} // namespace galenafold
