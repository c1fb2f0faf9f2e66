// Which share of the prompts each engine is home to.
#include "filters/places.h"

#include "control/loadview.h"

#include <algorithm>

namespace galenafold
{

PlaceBook::PlaceBook(const PlaceSettings &settings)
    : m_settings(settings)
{
}

void PlaceBook::remove(Service &service, const std::set<EndpointId> &present)
{
    const auto isGone = [&present](const EndpointId &id) { return present.count(id) == 0; };
    service.waiting.erase(std::remove_if(service.waiting.begin(), service.waiting.end(), isGone),
                          service.waiting.end());
    for (auto entry = service.taken.begin(); entry != service.taken.end();) {
        if (isGone(entry->first)) {
            service.vacant.push_back(entry->second);
            entry = service.taken.erase(entry);
        } else {
            ++entry;
        }
    }
}

/// An engine that returns under its name takes its own place again, if that is vacant.
void PlaceBook::add(Instant now, Service &service, const EndpointId &id) const
{
    const bool isKnown = service.taken.count(id) > 0
        || std::find(service.waiting.begin(), service.waiting.end(), id) != service.waiting.end();
    if (isKnown) {
        return;
    }
    const std::uint64_t own = hashName(id.text);
    const auto previous = std::find(service.vacant.begin(), service.vacant.end(), own);
    const bool isStartUp = now < service.since + m_settings.startUp;
    if (previous != service.vacant.end() || isStartUp) {
        if (previous != service.vacant.end()) {
            service.vacant.erase(previous);
        }
        service.taken[id] = own;
        return;
    }
    service.waiting.push_back(id);
}

void PlaceBook::update(Instant now, const std::vector<ReplicaRecord> &records)
{
    std::map<ServiceId, std::set<EndpointId>> present;
    for (const ReplicaRecord &record : records) {
        present[record.service].insert(record.id);
        Service &service = m_services[record.service];
        service.since = std::min(now, service.since);
    }
    for (auto &[id, service] : m_services) {
        remove(service, present[id]);
        for (const EndpointId &endpoint : present[id]) {
            add(now, service, endpoint);
        }
        while (!service.vacant.empty() && !service.waiting.empty()) {
            service.taken[service.waiting.front()] = service.vacant.front();
            service.waiting.pop_front();
            service.vacant.pop_front();
        }
    }
}

void PlaceBook::settle(const ServiceId &id, double meanLoad, int slots)
{
    const auto found = m_services.find(id);
    if (found == m_services.end() || meanLoad <= m_settings.busyShare * slots) {
        return;
    }
    Service &service = found->second;
    for (const EndpointId &endpoint : service.waiting) {
        service.taken[endpoint] = hashName(endpoint.text);
    }
    service.waiting.clear();
}

std::optional<std::uint64_t> PlaceBook::place(const EndpointId &id) const
{
    for (const auto &[service, entry] : m_services) {
        const auto found = entry.taken.find(id);
        if (found != entry.taken.end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace galenafold
