// Which share of the prompts each engine is home to, kept steady while engines are replaced.
//
// Load pattern: a release starts a new engine, then drains an old one, a dozen times; engines are added when load
// grows. With plain rendezvous hashing each newcomer takes prompts from every other engine, and each leaver's prompts
// scatter: two moves, and all those prompts are read again. Here an engine has a place, and prompts are ranked over
// places. A newcomer waits without a place, serves what spills over, and takes the place of the next engine that
// leaves. Only when engines are busy does it get a place of its own.
//
// All routers read the same registry in the same order, so they mostly agree. Who has which place is kept in the
// platform's store too: a router that starts takes it over, and all follow what the first router of the fleet writes.
// Where they differ, a prompt is read once more, nothing else.
#pragma once

#include "control/replicadirectory.h"

#include <deque>
#include <set>

namespace galenafold
{

struct PlaceSettings {
    Duration startUp =
        std::chrono::seconds(8); // engines seen this soon after the first of their service get places at once
    double busyShare = 0.25;     // of an engine's slots; a mean above it gives newcomers places of their own
};

/// Who has a place, as routers tell it to each other.
struct PlaceRecord {
    ServiceId service;
    std::uint64_t place = 0;
    EndpointId engine;
};

class PlaceTable
{
public:
    explicit PlaceTable(const PlaceSettings &settings = PlaceSettings());

    /// Takes a new set of engines that may get work.
    void update(Instant now, const std::vector<ReplicaRecord> &records);

    /// Gives newcomers places of their own. @param meanLoad requests in progress on an engine of the service
    void assignPlaces(const ServiceId &service, double meanLoad, int slots);

    /// @return the hash that stands for an engine's place; nothing while it has none
    std::optional<std::uint64_t> place(const EndpointId &id) const;

    /// Takes over what the fleet has agreed on. Engines that it does not name wait; places of engines that have gone
    /// are for them.
    void adopt(const std::vector<PlaceRecord> &agreed);

    /// @return places that are not, or not so, in what the fleet has agreed on
    std::vector<PlaceRecord> differences(const std::vector<PlaceRecord> &agreed) const;

private:
    struct Service {
        Instant since = Instant::max();            // its first engine was seen
        std::map<EndpointId, std::uint64_t> taken; // place of each engine
        std::deque<std::uint64_t> vacant;          // left, oldest first
        std::deque<EndpointId> waiting;            // newcomers, oldest first
    };

    static void adoptInto(Service &service, const std::map<std::uint64_t, EndpointId> &agreed);
    static void fillVacant(Service &service);
    static void remove(Service &service, const std::set<EndpointId> &present);
    void add(Instant now, Service &service, const EndpointId &id) const;

    PlaceSettings m_settings;
    std::map<ServiceId, Service> m_services;
    std::map<ServiceId, std::map<std::uint64_t, EndpointId>> m_agreed; // by place; also of services not seen yet
};

} // namespace galenafold
