// Assignment of places to engines.
#include "filters/placetable.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

PlaceTable::PlaceTable(const PlaceSettings &settings)
    : m_settings(settings)
{
}

void PlaceTable::removeAbsent(Service &service, const std::set<EndpointId> &present)
{
    const auto isGone = [&present](const EndpointId &id) { return present.count(id) == 0; };
    service.waiting.erase(std::remove_if(service.waiting.begin(), service.waiting.end(), isGone),
                          service.waiting.end());
    for (auto entry = service.assigned.begin(); entry != service.assigned.end();) {
        if (isGone(entry->first)) {
            service.vacant.push_back(entry->second);
            entry = service.assigned.erase(entry);
        } else {
            ++entry;
        }
    }
}

/// @return a place that no other engine of the service has, the same on all routers that know of the same engines
static std::uint64_t freePlace(const std::map<EndpointId, std::uint64_t> &assigned, const EndpointId &id)
{
    const std::uint64_t name = hashName(id.text);
    std::uint64_t place = name;
    const auto isTaken = [&place](const auto &entry) { return entry.second == place; };
    while (std::any_of(assigned.begin(), assigned.end(), isTaken)) {
        place = rendezvousScore(place, name); // another engine took its place while it was gone
    }
    return place;
}

/// An engine that returns under the same name gets the place derived from its name again if that is vacant.
void PlaceTable::add(Instant now, Service &service, const EndpointId &id) const
{
    const bool isKnown = service.assigned.count(id) > 0
        || std::find(service.waiting.begin(), service.waiting.end(), id) != service.waiting.end();
    if (isKnown) {
        return;
    }
    const auto previous = std::find(service.vacant.begin(), service.vacant.end(), hashName(id.text));
    const bool isStartUp = now < service.since + m_settings.startUpPeriod;
    if (previous == service.vacant.end() && !isStartUp) {
        service.waiting.push_back(id);
        return;
    }
    if (previous != service.vacant.end()) {
        service.vacant.erase(previous);
    }
    service.assigned[id] = freePlace(service.assigned, id);
}

void PlaceTable::update(Instant now, const std::vector<ReplicaRecord> &records)
{
    std::map<ServiceId, std::set<EndpointId>> present;
    for (const ReplicaRecord &record : records) {
        present[record.service].insert(record.id);
        Service &service = m_services[record.service];
        service.since = std::min(now, service.since);
    }
    for (auto &[id, service] : m_services) {
        const bool isNewService = service.assigned.empty() && service.vacant.empty() && service.waiting.empty();
        removeAbsent(service, present[id]);
        for (const EndpointId &endpoint : present[id]) {
            add(now, service, endpoint);
        }
        const auto agreed = m_agreed.find(id);
        if (isNewService && agreed != m_agreed.end()) {
            applyAgreed(service, agreed->second);
        }
        fillVacant(service);
    }
}

void PlaceTable::fillVacant(Service &service)
{
    while (!service.vacant.empty() && !service.waiting.empty()) {
        service.assigned[service.waiting.front()] = service.vacant.front();
        service.waiting.pop_front();
        service.vacant.pop_front();
    }
}

void PlaceTable::applyAgreed(Service &service, const std::map<std::uint64_t, EndpointId> &agreed)
{
    std::deque<EndpointId> unassigned = std::move(service.waiting); // waiting engines first, in their order
    const auto previous = std::move(service.assigned);
    service.assigned.clear();
    service.waiting.clear();
    service.vacant.clear();
    for (const auto &[engine, place] : previous) {
        unassigned.push_back(engine);
    }
    for (const auto &[place, engine] : agreed) {
        const auto found = std::find(unassigned.begin(), unassigned.end(), engine);
        if (found == unassigned.end()) {
            service.vacant.push_back(place);
            continue;
        }
        service.assigned[engine] = place;
        unassigned.erase(found);
    }
    service.waiting = std::move(unassigned);
    fillVacant(service);
}

void PlaceTable::setAgreedPlaces(const std::vector<PlaceRecord> &agreed)
{
    m_agreed.clear();
    for (const PlaceRecord &record : agreed) {
        m_agreed[record.service][record.place] = record.engine;
    }
    for (const auto &[id, places] : m_agreed) {
        const auto found = m_services.find(id);
        if (found != m_services.end()) {
            applyAgreed(found->second, places);
        }
    }
}

std::vector<PlaceRecord> PlaceTable::differences(const std::vector<PlaceRecord> &agreed) const
{
    std::map<std::uint64_t, EndpointId> known;
    for (const PlaceRecord &record : agreed) {
        known[record.place] = record.engine;
    }
    std::vector<PlaceRecord> differences;
    for (const auto &[id, service] : m_services) {
        for (const auto &[engine, place] : service.assigned) {
            const auto found = known.find(place);
            if (found == known.end() || found->second != engine) {
                differences.push_back({id, place, engine});
            }
        }
    }
    return differences;
}

/// The loads of engines deviate from their mean by about its square root. Once the bound is less than three such
/// deviations above the mean, some engines exceed it. It is higher than that at any load while few engines wait.
bool PlaceTable::isBusy(const PlaceDemand &demand) const
{
    constexpr double deviations = 3;
    const bool areSlotsUsed = demand.meanLoad > m_settings.busyLoadFraction * demand.slots;
    return areSlotsUsed || demand.meanLoad + deviations * std::sqrt(demand.meanLoad) > demand.bound;
}

void PlaceTable::assignPlaces(const ServiceId &id, const PlaceDemand &demand)
{
    const auto found = m_services.find(id);
    if (found == m_services.end() || !isBusy(demand)) {
        return;
    }
    Service &service = found->second;
    for (const EndpointId &endpoint : service.waiting) {
        service.assigned[endpoint] = freePlace(service.assigned, endpoint);
    }
    service.waiting.clear();
}

std::optional<std::uint64_t> PlaceTable::place(const EndpointId &id) const
{
    for (const auto &[service, entry] : m_services) {
        const auto found = entry.assigned.find(id);
        if (found != entry.assigned.end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace galenafold
