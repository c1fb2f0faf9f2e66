// Which versions of their software the replicas of each service have served with lately.
#include "control/softwareversions.h"

#include "control/loadview.h"

#include <algorithm>

namespace galenafold
{

constexpr auto historyMemory = 10 * streamMemory; // versions that ended earlier are deleted from the store
constexpr std::size_t maxStoredVersions = 1000;   // of all services; should more serve, those that come later are not
                                                  // stored, and a router that starts counts as not knowing them
constexpr std::size_t maxChanges = 100;           // in one write

VersionHash versionHash(const SoftwareVersion &version)
{
    return static_cast<VersionHash>(hashName(version.text));
}

// Replicas

void SoftwareVersions::update(Instant now, const std::vector<ReplicaRecord> &usable,
                              const std::vector<ReplicaRecord> &draining)
{
    const bool isFirstUpdate = !m_since;
    m_since = m_since.value_or(m_isFirstStart ? now - streamMemory - maxClockError : now);
    for (auto &[service, versions] : m_services) {
        for (auto version = versions.begin(); version != versions.end();) {
            Seen &seen = version->second;
            seen.lastSeenAt = seen.isServing ? now : seen.lastSeenAt;
            seen.isServing = false;
            version = now >= seen.lastSeenAt + streamMemory ? versions.erase(version) : std::next(version);
        }
    }
    for (const auto *records : {&usable, &draining}) {
        for (const ReplicaRecord &record : *records) {
            const SoftwareVersion &version = record.softwareVersion;
            const Seen first{version, true, isFirstUpdate ? *m_since : now, now};
            Seen &seen = m_services[record.service].try_emplace(versionHash(version), first).first->second;
            seen.isServing = true;
            seen.lastSeenAt = now;
        }
    }
}

bool SoftwareVersions::hasSeenEnough(Instant now) const
{
    return m_since && now >= *m_since + streamMemory;
}

// Stored history

void SoftwareVersions::addStored(Instant now, const std::vector<VersionRecord> &records)
{
    m_stored.emplace();
    for (const VersionRecord &record : records) {
        Stored stored{record.version, now - record.sinceAge, std::nullopt, record.isCurrent};
        if (record.endAge) {
            stored.endedAt = now - *record.endAge;
        }
        (*m_stored)[record.service][versionHash(record.version)] = stored;
        learn(now, record.service, stored);
    }
}

/// A version without an end that the registry does not list has left since, nobody saw when: now at the latest.
void SoftwareVersions::learn(Instant now, const ServiceId &service, const Stored &stored)
{
    const Instant lastServedAt = stored.endedAt ? std::min(now, *stored.endedAt + maxClockError) : now;
    if (now >= lastServedAt + streamMemory) {
        return;
    }
    const Seen first{stored.version, false, now, lastServedAt};
    Seen &seen = m_services[service].try_emplace(versionHash(stored.version), first).first->second;
    seen.lastSeenAt = std::max(seen.lastSeenAt, lastServedAt);
    if (stored.isCurrent) {
        seen.sinceAt = std::min(seen.sinceAt, stored.sinceAt);
    }
}

/// @return null if there is none
template<typename Entry>
static const Entry *findVersion(const std::map<ServiceId, std::map<VersionHash, Entry>> &services,
                                const ServiceId &service, VersionHash version)
{
    const auto versions = services.find(service);
    if (versions == services.end()) {
        return nullptr;
    }
    const auto found = versions->second.find(version);
    return found == versions->second.end() ? nullptr : &found->second;
}

VersionChanges SoftwareVersions::differences(Instant now) const
{
    VersionChanges changes;
    if (m_stored && m_since) {
        addEnded(now, changes);
        addUnsaved(now, changes);
    }
    return changes;
}

void SoftwareVersions::addUnsaved(Instant now, VersionChanges &changes) const
{
    std::size_t count = 0;
    for (const auto &[service, versions] : *m_stored) {
        count += versions.size();
    }
    for (const auto &[service, versions] : m_services) {
        for (const auto &[hash, seen] : versions) {
            const Stored *stored = findVersion(*m_stored, service, hash);
            const bool isOver = !seen.isServing && now >= seen.lastSeenAt + streamMemory;
            const bool isEndSaved = stored && stored->endedAt.has_value() == !seen.isServing;
            const bool isSaved = isOver ? !stored || isEndSaved : isEndSaved && stored->isCurrent;
            const bool hasRoom = changes.records.size() < maxChanges && (stored || count < maxStoredVersions);
            if (isSaved || !hasRoom) {
                continue;
            }
            count += stored ? 0 : 1;
            VersionRecord record{service, seen.version, now - seen.sinceAt, std::nullopt};
            if (!seen.isServing) {
                record.endAge = now - seen.lastSeenAt;
            }
            changes.records.push_back(std::move(record));
        }
    }
}

/// Ends of versions that are not known here any more, and deletions of those that ended long ago.
void SoftwareVersions::addEnded(Instant now, VersionChanges &changes) const
{
    for (const auto &[service, versions] : *m_stored) {
        for (const auto &[hash, stored] : versions) {
            const Seen *seen = findVersion(m_services, service, hash);
            VersionRecord record{service, stored.version, now - stored.sinceAt, Duration{}};
            if (changes.records.size() + changes.forgotten.size() >= maxChanges) {
                return;
            }
            if (!stored.endedAt && !seen) {
                changes.records.push_back(std::move(record));
            } else if (stored.endedAt && now >= *stored.endedAt + historyMemory && !(seen && seen->isServing)) {
                changes.forgotten.push_back(std::move(record));
            }
        }
    }
}

// Queries

std::vector<VersionHash> SoftwareVersions::recent(Instant now, const ServiceId &service) const
{
    std::vector<VersionHash> versions;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return versions;
    }
    for (const auto &[version, seen] : found->second) {
        if (seen.isServing || now < seen.lastSeenAt + streamMemory) {
            versions.push_back(version);
        }
    }
    return versions;
}

/// Goes back through the stored versions for as long as they follow each other. Those from before a restore do not
/// count: versions that came after the copy was made are missing.
Instant SoftwareVersions::knownSince(const ServiceId &service) const
{
    Instant since = *m_since;
    const auto found = m_stored->find(service);
    if (found == m_stored->end()) {
        return since;
    }
    for (std::size_t i = 0; i < found->second.size(); ++i) { // in the worst order each pass goes back by one version
        for (const auto &[hash, stored] : found->second) {
            const bool reaches = !stored.endedAt || *stored.endedAt + maxClockError >= since;
            since = stored.isCurrent && reaches ? std::min(since, stored.sinceAt) : since;
        }
    }
    return since;
}

bool SoftwareVersions::isComplete(Instant now, const ServiceId &service) const
{
    if (!m_since || hasSeenEnough(now) || !m_stored) {
        return hasSeenEnough(now);
    }
    return now >= knownSince(service) + streamMemory + maxClockError;
}

std::optional<VersionHash> SoftwareVersions::only(Instant now, const ServiceId &service) const
{
    const std::vector<VersionHash> versions = recent(now, service);
    return versions.size() == 1 && isComplete(now, service) ? std::optional(versions.front()) : std::nullopt;
}

std::vector<ServiceId> SoftwareVersions::uncertain(Instant now) const
{
    std::vector<ServiceId> services;
    for (const auto &[service, versions] : m_services) {
        if (!only(now, service)) {
            services.push_back(service);
        }
    }
    return services;
}

} // namespace galenafold
