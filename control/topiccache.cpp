// Keeps the records of one topic that tell something new.
#include "control/topiccache.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t keptDeletions = 4000; // a large fleet that lapses at once; who missed more gets all records

TopicCache::TopicCache(TopicCacheSettings settings)
    : m_settings(std::move(settings))
{
}

void TopicCache::setListing(const std::vector<KeyedRecord> &records, const TopicPosition &begin)
{
    m_changes.clear();
    m_lastChange.clear();
    m_deletions.clear();
    m_bytes = 0;
    m_isFilled = true;
    m_completeFrom = begin.offset;
    m_end = begin;
    for (const KeyedRecord &record : records) {
        m_changes[record.position.offset] = {std::nullopt, record};
        m_lastChange[record.key] = std::max(m_lastChange[record.key], record.position.offset);
        m_bytes += record.value.size();
    }
}

void TopicCache::add(const KeyedRecord &record)
{
    const auto last = m_lastChange.find(record.key);
    if (last == m_lastChange.end() || m_settings.keepsVersions || !m_settings.isSameMeaning) {
        addChange(record);
        return;
    }
    KeyedRecord &before = m_changes.at(last->second).record;
    const bool bothExist = !before.value.empty() && !record.value.empty();
    if (bothExist && m_settings.isSameMeaning(before.value, record.value)) {
        before = record;
        setEnd(record.position.offset + 1);
        return;
    }
    addChange(record);
}

void TopicCache::addChange(const KeyedRecord &record)
{
    const auto last = m_lastChange.find(record.key);
    Change change{std::nullopt, record};
    if (last != m_lastChange.end() && !m_settings.keepsVersions) {
        const auto before = m_changes.find(last->second);
        if (record.value.empty()) {
            change.before = before->second.record;
        }
        m_changes.erase(before);
    }
    if (record.value.empty() && !m_settings.keepsVersions) {
        m_deletions.push_back(record.position.offset);
    }
    m_bytes += record.value.size();
    m_changes[record.position.offset] = std::move(change);
    m_lastChange[record.key] = record.position.offset;
    setEnd(record.position.offset + 1);
    forgetOldVersions();
    forgetOldDeletions();
}

void TopicCache::setEnd(LogOffset end)
{
    m_end.offset = std::max(m_end.offset, end);
}

void TopicCache::forgetOldVersions()
{
    auto change = m_changes.begin();
    while (m_settings.keepsVersions && m_bytes > m_settings.versionBytes && change != m_changes.end()) {
        const KeyedRecord &record = change->second.record;
        if (m_lastChange[record.key] == change->first) {
            ++change;
            continue;
        }
        m_bytes -= record.value.size();
        m_completeFrom = std::max(m_completeFrom, change->first + 1);
        change = m_changes.erase(change);
    }
}

/// Versions are kept by their size, and so need the deletion of their key.
void TopicCache::forgetOldDeletions()
{
    while (m_deletions.size() > keptDeletions) {
        const auto oldest = m_changes.find(m_deletions.front());
        m_deletions.pop_front();
        if (oldest != m_changes.end() && oldest->second.record.value.empty()) {
            m_completeFrom = std::max(m_completeFrom, oldest->first + 1);
            m_lastChange.erase(oldest->second.record.key);
            m_changes.erase(oldest);
        }
    }
}

bool TopicCache::hasChangesSince(const TopicPosition &from) const
{
    const auto next = m_changes.lower_bound(from.offset);
    const bool isNextKnown = next != m_changes.end() && next->first < m_end.offset;
    return !isSameEra(from, m_end) || from.offset < m_completeFrom || isNextKnown;
}

std::optional<std::vector<KeyedRecord>> TopicCache::changesSince(const TopicPosition &from) const
{
    if (!isSameEra(from, m_end) || from.offset < m_completeFrom) {
        return std::nullopt;
    }
    std::vector<KeyedRecord> records;
    for (auto change = m_changes.lower_bound(from.offset); change != m_changes.end(); ++change) {
        if (change->first >= m_end.offset) {
            break;
        }
        if (change->second.before) {
            records.push_back(*change->second.before);
        }
        records.push_back(change->second.record);
    }
    return records;
}

std::vector<KeyedRecord> TopicCache::all() const
{
    std::vector<KeyedRecord> records;
    for (const auto &[offset, change] : m_changes) {
        const KeyedRecord &newest = m_changes.at(m_lastChange.at(change.record.key)).record;
        if (!change.record.value.empty() && !newest.value.empty()) {
            records.push_back(change.record);
        }
    }
    return records;
}

} // namespace galenafold
