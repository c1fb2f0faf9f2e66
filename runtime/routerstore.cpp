// What a router takes from the platform's store: the desired state, evacuations and the service registry.
#include "control/storetopics.h"
#include "platform/documents.h"
#include "runtime/routernode.h"

#include <algorithm>

namespace galenafold
{

TopicSubscription &RouterNode::subscription(StoreTopic topic)
{
    switch (topic) {
    case StoreTopic::DesiredState:
        return m_desiredState;
    case StoreTopic::Registry:
        return m_registry;
    case StoreTopic::Places:
    case StoreTopic::Origins: // is not followed
        break;
    }
    return m_sharedState.topic();
}

/// The store is asked for one topic after the other, what requests need first: of hundreds of routers that start in the
/// same moment, all get that before it sends the larger listings.
void RouterNode::startAfter(StoreTopic topic)
{
    if (topic == StoreTopic::DesiredState) {
        m_registry.startAfterCall(!m_isDesiredStateLost);
    } else if (topic == StoreTopic::Registry) {
        m_sharedState.startAfterCall(!m_isRegistryLost);
    }
}

void RouterNode::setDataCentre(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others)
{
    m_desiredState.setRouters(self, others);
    m_registry.setRouters(self, others);
    m_sharedState.setRouters(self, others);
}

TopicSubscriptionHooks RouterNode::desiredStateHooks()
{
    TopicSubscriptionHooks hooks;
    hooks.topic.onRecord = [this](const KeyedRecord &record) {
        ++m_storeRecords;
        if (const auto evacuation = decodeEvacuation(record)) {
            const auto change = m_evacuations.apply(*evacuation);
            publishEvacuations(change ? std::vector<EvacuationChange>{*change} : std::vector<EvacuationChange>());
        } else if (record.key == desiredStateKey && !record.value.empty()) {
            applyDesiredState(record.value, record.position.offset);
        }
    };
    hooks.topic.onListed = [this](const std::vector<KeyedRecord> &records, const TopicPosition &begin) {
        listEvacuations(records, begin); // before the desired state, which lets a router that starts serve requests
        for (const KeyedRecord &record : records) {
            ++m_storeRecords;
            if (record.key == desiredStateKey && !record.value.empty()) {
                applyDesiredState(record.value, record.position.offset);
            }
        }
    };
    hooks.topic.onCaughtUp = [this](Instant provedAt) {
        m_proof.renew(provedAt);
        m_traffic.setProof(provedAt);
    };
    hooks.onLost = [this](Instant) {
        m_isDesiredStateLost = true;
        m_traffic.setStoreLost();
    };
    hooks.onRestored = [this](Instant) {
        ++m_storeRestores;
        m_sharedState.readNow(); // it is read rarely, and would go on at a void offset
    };
    hooks.onRegained = [this](Instant) {
        m_isDesiredStateLost = false;
        m_sharedState.readNow();
        LogLine line("store_regained");
        line.text("topic", text(StoreTopic::DesiredState));
        m_log.write(line, LogPriority::Notable);
    };
    return hooks;
}

void RouterNode::listEvacuations(const std::vector<KeyedRecord> &records, const TopicPosition &begin)
{
    std::vector<EvacuationRecord> listing;
    for (const KeyedRecord &record : records) {
        if (const auto evacuation = decodeEvacuation(record)) {
            listing.push_back(*evacuation);
        }
    }
    publishEvacuations(m_evacuations.applyListing(listing, begin));
}

void RouterNode::publishEvacuations(const std::vector<EvacuationChange> &changes)
{
    for (const EvacuationChange &change : changes) {
        LogLine line("evacuation");
        line.text("data_centre", change.dataCentre.text).text("state", change.isEvacuated ? "begun" : "ended");
        line.number("offset", change.position.offset);
        m_log.write(line, LogPriority::Notable);
    }
    if (!changes.empty()) {
        m_traffic.setEvacuated(m_evacuations.dataCentres());
    }
}

void RouterNode::applyDesiredState(const std::string &json, LogOffset offset)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(table, decodeDesiredState(json));
            LogLine line("desired_state");
            line.number("version", table.version).number("before", m_version).number("offset", offset);
            line.flag("applied", table.version > m_version);
            m_log.write(line, LogPriority::Notable);
            if (table.version > m_version) {
                m_version = table.version;
                m_table = std::make_shared<const RouteTable>(std::move(table));
                publishRouteTable();
            }
            return {};
        },
        [&](const DocumentError &error) {
            LogLine line("desired_state_unreadable");
            line.number("offset", offset).text("why", error.reason);
            m_log.write(line, LogPriority::Notable);
        },
        [] {});
}

bool RouterNode::isOutdated() const
{
    return m_newestVersion.isOutdated(clockNow(), m_version);
}

/// No request is served by a state that is older than what other routers have in force.
void RouterNode::publishRouteTable()
{
    const bool isWithheld = m_table && isOutdated();
    m_traffic.setRouteTable(isWithheld ? nullptr : m_table);
    if (!isWithheld) {
        return;
    }
    LogLine line("desired_state_outdated");
    line.number("version", m_version).number("told", m_newestVersion.told());
    m_log.write(line, LogPriority::Notable);
    m_versionTimer.expires_at(m_newestVersion.waitUntil());
    m_versionTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            publishRouteTable();
        }
    });
}

void RouterNode::onVersionTold(DesiredStateVersion version)
{
    const bool wasOutdated = isOutdated();
    m_newestVersion.onTold(clockNow(), version);
    if (m_table && isOutdated() != wasOutdated) {
        publishRouteTable();
    }
}

/// An entry that cannot be decoded counts as removed.
static RegistryUpdate registryUpdate(const KeyedRecord &record)
{
    RegistryUpdate update;
    update.id.text = record.key;
    update.position = record.position;
    update.record = decodeReplica(update.id, record.value, clockNow());
    return update;
}

void RouterNode::logReplica(const RegistryUpdate &update)
{
    LogLine line("replica");
    line.text("replica", update.id.text).number("offset", update.position.offset);
    if (update.record) {
        line.text("service", update.record->service.text).text("address", update.record->address);
        line.text("state", update.record->isDraining ? "leaving" : "ready");
        line.text("software", update.record->softwareVersion.text);
    } else {
        line.text("state", "gone");
    }
    m_log.write(line, LogPriority::Notable);
}

TopicSubscriptionHooks RouterNode::registryHooks()
{
    TopicSubscriptionHooks hooks;
    hooks.topic.onRecord = [this](const KeyedRecord &record) {
        const RegistryUpdate update = registryUpdate(record);
        if (m_directory.apply(clockNow(), update)) {
            m_hasRegistryChanged = true;
            logReplica(update);
        }
    };
    hooks.topic.onListed = [this](const std::vector<KeyedRecord> &records, const TopicPosition &begin) {
        std::vector<RegistryUpdate> listing;
        listing.reserve(records.size());
        for (const KeyedRecord &record : records) {
            listing.push_back(registryUpdate(record));
        }
        m_hasRegistryChanged = m_directory.applyListing(clockNow(), listing, begin) || m_hasRegistryChanged;
    };
    hooks.topic.onCaughtUp = [this](Instant provedAt) {
        m_registryProvedAt = std::max(m_registryProvedAt, provedAt);
        afterRegistryRead();
    };
    hooks.onLost = [this](Instant) {
        m_isRegistryLost = true;
        m_directory.onStoreLost();
        m_traffic.setStoreLost();
    };
    hooks.onRestored = [this](Instant now) { m_directory.onStoreRestored(now); };
    hooks.onRegained = [this](Instant now) {
        m_isRegistryLost = false;
        m_sharedState.readNow();
        m_directory.onStoreRegained(now);
        afterRegistryRead();
        LogLine line("store_regained");
        line.text("topic", text(StoreTopic::Registry));
        m_log.write(line, LogPriority::Notable);
    };
    return hooks;
}

void RouterNode::publishReplicas()
{
    std::vector<ReplicaRecord> usable = m_directory.usable();
    LogLine line("replicas");
    line.number("usable", static_cast<std::int64_t>(usable.size()));
    line.number("known", static_cast<std::int64_t>(m_directory.size()));
    m_log.write(line, LogPriority::Notable);
    std::vector<ReplicaRecord> draining = m_directory.draining();
    m_softwareVersions.update(clockNow(), usable, draining);
    m_drainingPublished = draining.size();
    m_traffic.setSoftwareVersions(m_softwareVersions);
    m_traffic.setReplicas(std::move(usable), std::move(draining));
}

void RouterNode::onVersionsRead(const std::vector<VersionRecord> &versions)
{
    LogLine line("versions_read");
    line.number("known", static_cast<std::int64_t>(versions.size()));
    line.number("serving", std::count_if(versions.begin(), versions.end(), [](const VersionRecord &version) {
                    return !version.endAge;
                }));
    line.number("current", std::count_if(versions.begin(), versions.end(), [](const VersionRecord &version) {
                    return version.isCurrent;
                }));
    m_log.write(line, LogPriority::Notable);
    m_softwareVersions.addStored(clockNow(), versions);
    m_traffic.setSoftwareVersions(m_softwareVersions);
}

/// Publishes the replicas if a complete read has changed them. Entries whose grace period has ended are removed by a
/// read that is younger than its end, for which the timer asks: without one, the store may be away again.
void RouterNode::afterRegistryRead()
{
    const bool hasOneLeft = m_directory.draining().size() != m_drainingPublished; // its version may serve no more
    m_hasRegistryChanged = m_directory.expire(m_registryProvedAt) || m_hasRegistryChanged || hasOneLeft;
    m_softwareVersions.confirm(m_registryProvedAt);
    if (m_hasRegistryChanged) {
        m_hasRegistryChanged = false;
        publishReplicas();
    } else {
        m_traffic.setSoftwareVersions(m_softwareVersions);
    }
    const auto next = m_directory.nextExpiry();
    if (!next || *next <= clockNow()) {
        return;
    }
    m_expiryTimer.expires_at(*next);
    m_expiryTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            m_registry.readNow();
        }
    });
}

} // namespace galenafold
