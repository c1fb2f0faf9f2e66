// Assigns each engine a place, its position for rendezvous hashing, and keeps places stable while engines are replaced.
//
// Load pattern: a rolling release starts a new engine, then drains an old one, a dozen times; engines are added when
// load grows. If engines were ranked by name, each new engine would take prompts from every other engine, and the
// prompts of each engine that leaves would be spread over all others: two moves for each replacement, and all those
// prompts are prefilled again. Instead, engines are ranked by place. A new engine first waits without a place, serves
// requests that spill over, and takes the place of the next engine that leaves. It gets a place of its own only when
// the engines are busy.
//
// All routers read the same registry in the same order, so they mostly agree. The assignment is also kept in the
// platform's store: a router that starts loads it, and all routers apply what the first router of the fleet writes.
// Where routers disagree, a prompt is prefilled once more; there is no other effect.
#pragma once

#include "control/replicadirectory.h"

#include <deque>
#include <set>

namespace galenafold
{

struct PlaceSettings {
    Duration startUpPeriod = std::chrono::seconds(8); // from a service's first engine; new ones get places at once
    double busyLoadFraction = 0.25; // of an engine's slots; at a higher mean load waiting engines get their own places
};

/// Load of a service's engines, which tells whether those with places are busy.
struct PlaceDemand {
    double meanLoad = 0; // requests in progress per engine with a place
    int slots = 0;       // requests that an engine can run concurrently
    double bound = 0;    // requests in progress above which an engine gets no more
};

/// Assignment of a place to an engine, as routers share it through the store.
struct PlaceRecord {
    ServiceId service;
    std::uint64_t place = 0;
    EndpointId engine;
};

/// Place of each engine, by service.
class PlaceTable
{
public:
    explicit PlaceTable(const PlaceSettings &settings = PlaceSettings());

    /// Sets the engines that may get work.
    void update(Instant now, const std::vector<ReplicaRecord> &records);

    /// Assigns waiting engines places of their own if the engines with places are busy.
    void assignPlaces(const ServiceId &service, const PlaceDemand &demand);

    /// @return the hash that is an engine's place; nothing while it has none
    std::optional<std::uint64_t> place(const EndpointId &id) const;

    /// Applies the assignment that the fleet has agreed on. Engines that it does not name wait, and take the places of
    /// engines that are gone.
    void setAgreedPlaces(const std::vector<PlaceRecord> &agreed);

    /// @return places that are missing from the agreed assignment or differ from it
    std::vector<PlaceRecord> differences(const std::vector<PlaceRecord> &agreed) const;

private:
    struct Service {
        Instant since = Instant::max();               // when its first engine was seen
        std::map<EndpointId, std::uint64_t> assigned; // place of each engine
        std::deque<std::uint64_t> vacant;             // places of engines that left, oldest first
        std::deque<EndpointId> waiting;               // engines without a place, oldest first
    };

    bool isBusy(const PlaceDemand &demand) const;
    static void applyAgreed(Service &service, const std::map<std::uint64_t, EndpointId> &agreed);
    static void fillVacant(Service &service);
    static void removeAbsent(Service &service, const std::set<EndpointId> &present);
    void add(Instant now, Service &service, const EndpointId &id) const;

    PlaceSettings m_settings;
    std::map<ServiceId, Service> m_services;
    std::map<ServiceId, std::map<std::uint64_t, EndpointId>> m_agreed; // by place; includes services not seen yet
};

} // namespace galenafold
