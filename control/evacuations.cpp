// Applies the operator's records of evacuated data centres.
#include "control/evacuations.h"

namespace galenafold
{

std::optional<EvacuationChange> Evacuations::apply(const EvacuationRecord &record)
{
    Entry &entry = m_entries[record.dataCentre];
    if (!isPast(record.position, entry.position)) {
        return std::nullopt;
    }
    const bool hasChanged = entry.isEvacuated != record.isEvacuated;
    entry = {record.isEvacuated, record.position};
    if (!hasChanged) {
        return std::nullopt;
    }
    return EvacuationChange{record.dataCentre, record.isEvacuated, record.position};
}

std::vector<EvacuationChange> Evacuations::applyListing(const std::vector<EvacuationRecord> &listing,
                                                        const TopicPosition &listedUpTo)
{
    std::vector<EvacuationChange> changes;
    std::set<DataCentreId> listed;
    for (const EvacuationRecord &record : listing) {
        listed.insert(record.dataCentre);
        if (const auto change = apply(record)) {
            changes.push_back(*change);
        }
    }
    for (auto &[dataCentre, entry] : m_entries) {
        const bool isMissing = entry.isEvacuated && listed.count(dataCentre) == 0;
        if (isMissing && isSameEra(listedUpTo, entry.position) && isPast(listedUpTo, entry.position)) {
            entry.isEvacuated = false;
            changes.push_back({dataCentre, false, listedUpTo});
        }
    }
    return changes;
}

std::set<DataCentreId> Evacuations::dataCentres() const
{
    std::set<DataCentreId> evacuated;
    for (const auto &[dataCentre, entry] : m_entries) {
        if (entry.isEvacuated) {
            evacuated.insert(dataCentre);
        }
    }
    return evacuated;
}

} // namespace galenafold
