// Reads and writes what all routers share in the platform's store.
#include "runtime/sharedstate.h"

#include "control/loadview.h"
#include "galenafold/hex.h"
#include "net/status.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto readInterval = std::chrono::seconds(30); // until then an outdated router misses some prefix caches
constexpr auto saveTimeout = std::chrono::seconds(2);

// Records of places: the key is the place in hexadecimal, the value is a JSON object with the service and the engine.
// Records of blocked prompts: the key is a prefix and the prompt's key in hexadecimal, the value is a JSON object with
// the Unix time of the last crash in milliseconds. Routers of earlier releases skip them.
// Records of versions: the key is a prefix and hashes of the service and the version, the value is a JSON object with
// both names, the Unix times since which and until which it has served, and the era of the store. Likewise.

constexpr const char *blockPrefix = "prompt-";
constexpr const char *versionPrefix = "version-";
constexpr std::int64_t maxAgeMillis = 365LL * 86400 * 1000; // keeps sums in range, whatever is stored

static std::int64_t millisOf(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// @return nothing if the value is no object or has no such whole number
static std::optional<std::int64_t> wholeNumber(const Json &value, const char *key)
{
    const Json number = value.is_object() ? value.value(key, Json()) : Json();
    return number.is_number_integer() ? std::optional<std::int64_t>(number.get<std::int64_t>()) : std::nullopt;
}

static KeyedRecord encodeBlock(const SuspectBlock &block)
{
    const Json value{{"last_crash", unixNow().count() - block.ageMillis}};
    return {blockPrefix + toHex(block.key), value.dump(), {}};
}

static bool hasPrefix(const KeyedRecord &record, const char *prefix)
{
    return record.key.rfind(prefix, 0) == 0;
}

/// @return Unix time of the last crash in ms; nothing for a tombstone or a record that no router has written
static std::optional<std::int64_t> decodeBlock(const KeyedRecord &record)
{
    return wholeNumber(Json::parse(record.value, nullptr, false), "last_crash");
}

static std::string versionKey(const VersionRecord &record)
{
    return versionPrefix + toHex(hashName(record.service.text)) + '-' + toHex(hashName(record.version.text));
}

KeyedRecord SharedState::encodeVersion(const VersionRecord &record) const
{
    const std::int64_t now = unixNow().count();
    Json value{
        {"service", record.service.text}, {"version", record.version.text}, {"since", now - millisOf(record.sinceAge)}};
    if (record.endAge) {
        value["last_served"] = now - millisOf(*record.endAge);
    }
    if (m_end.era) {
        value["era"] = *m_end.era;
    }
    return {versionKey(record), value.dump(), {}};
}

/// @return nothing for a tombstone or a record that no router has written
std::optional<SharedState::StoredVersion> SharedState::decodeVersion(const KeyedRecord &record)
{
    const Json value = Json::parse(record.value, nullptr, false);
    const auto since = wholeNumber(value, "since");
    const bool isReadable =
        since && value.value("service", Json()).is_string() && value.value("version", Json()).is_string();
    if (!isReadable) {
        return std::nullopt;
    }
    StoredVersion stored;
    stored.service.text = value["service"].get<std::string>();
    stored.version.text = value["version"].get<std::string>();
    stored.since = *since;
    stored.lastServed = wholeNumber(value, "last_served");
    stored.era = wholeNumber(value, "era");
    return stored;
}

/// @return time since then by the clock of this VM, which may differ from that of the writer
static Duration ageOf(std::int64_t now, std::int64_t then)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(now - std::max<std::int64_t>(then, 0), 0, maxAgeMillis));
}

std::vector<VersionRecord> SharedState::versions() const
{
    const std::int64_t now = unixNow().count();
    std::vector<VersionRecord> records;
    records.reserve(m_versions.size());
    for (const auto &[key, stored] : m_versions) {
        VersionRecord record{stored.service, stored.version, ageOf(now, stored.since)};
        if (stored.lastServed) {
            record.endAge = ageOf(now, *stored.lastServed);
        }
        record.isCurrent = stored.era == m_end.era;
        records.push_back(std::move(record));
    }
    return records;
}

static KeyedRecord encodePlace(const PlaceRecord &record)
{
    const Json value{{"service", record.service.text}, {"replica", record.engine.text}};
    return {toHex(record.place), value.dump(), {}};
}

static std::optional<PlaceRecord> decodePlace(const KeyedRecord &record)
{
    const auto number = parseHex(record.key);
    const Json value = Json::parse(record.value, nullptr, false);
    const bool isReadable = number && value.is_object() && value.value("service", Json()).is_string()
        && value.value("replica", Json()).is_string();
    if (!isReadable) {
        return std::nullopt;
    }
    PlaceRecord place;
    place.place = *number;
    place.service.text = value["service"].get<std::string>();
    place.engine.text = value["replica"].get<std::string>();
    return place;
}

static TopicSubscriptionSettings subscriptionSettings(const std::string &address, int peerPort, std::uint64_t seed)
{
    TopicSubscriptionSettings settings;
    settings.topic = StoreTopic::Places;
    settings.store = address;
    settings.peerPort = peerPort;
    settings.reading.pollInterval = readInterval;
    settings.reading.maxBackoff = readInterval; // no request waits for the places
    settings.seed = seed;
    return settings;
}

SharedState::SharedState(asio::io_context &io, const std::string &address, int peerPort, EventLog &log,
                         std::uint64_t seed)
    : m_log(log)
    , m_subscription(io, subscriptionSettings(address, peerPort, seed), subscriptionHooks(), log)
    , m_writer(io, address)
{
}

void SharedState::start()
{
    m_subscription.start();
}

void SharedState::startAfterCall(bool isAnswered)
{
    m_subscription.startAfterCall(isAnswered);
}

TopicSubscriptionHooks SharedState::subscriptionHooks()
{
    TopicSubscriptionHooks hooks;
    hooks.topic.onRecord = [this](const KeyedRecord &record) {
        noteWritten(record);
        applyRecord(record);
    };
    hooks.topic.onListed = [this](const std::vector<KeyedRecord> &records, const TopicPosition &begin) {
        m_places.clear();
        m_blocks.clear();
        m_versions.clear();
        for (const KeyedRecord &record : records) {
            applyRecord(record);
        }
        m_end = begin; // some records are from after it, while others from then are not listed
    };
    hooks.topic.onCaughtUp = [this](Instant) {
        m_hasRead = true;
        notify(m_isRestored ? onRestored : onRead);
    };
    hooks.onRestored = [this](Instant) { m_isRestored = true; };
    hooks.onLost = [](Instant) {};
    hooks.onRegained = [](Instant) {};
    return hooks;
}

/// The leader writes versions again on its own, which says nothing of the places that it has in use.
void SharedState::noteWritten(const KeyedRecord &record)
{
    m_isRestored = m_isRestored && hasPrefix(record, versionPrefix);
}

void SharedState::applyRecord(const KeyedRecord &record)
{
    m_end.offset = std::max(m_end.offset, record.position.offset + 1);
    m_places.erase(record.key);
    m_blocks.erase(record.key);
    m_versions.erase(record.key);
    if (hasPrefix(record, blockPrefix)) {
        if (const auto lastCrash = decodeBlock(record)) {
            m_blocks[record.key] = *lastCrash;
        }
    } else if (hasPrefix(record, versionPrefix)) {
        if (auto version = decodeVersion(record)) {
            m_versions[record.key] = std::move(*version);
        }
    } else if (const auto place = decodePlace(record)) {
        m_places[record.key] = *place;
    }
}

void SharedState::notify(const StoredStateHook &hook)
{
    std::vector<PlaceRecord> places;
    places.reserve(m_places.size());
    for (const auto &[key, record] : m_places) {
        places.push_back(record);
    }
    const std::int64_t now = unixNow().count();
    std::vector<SuspectBlock> blocks;
    for (const auto &[key, lastCrash] : m_blocks) {
        const auto prompt = parseHex(key.substr(std::string(blockPrefix).size()));
        const std::int64_t age =
            std::clamp<std::int64_t>(now - lastCrash, 0, std::numeric_limits<std::uint32_t>::max());
        if (prompt) {
            blocks.push_back({*prompt, static_cast<std::uint32_t>(age)});
        }
    }
    onVersionsRead(versions());
    hook(places, blocks, m_end);
}

void SharedState::setRouters(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others)
{
    m_subscription.setRouters(self, others);
}

TopicSubscriptionStats SharedState::stats() const
{
    TopicSubscriptionStats stats = m_subscription.stats();
    stats.calls += m_writer.calls();
    stats.failures += m_writer.failures();
    return stats;
}

void SharedState::readNow()
{
    m_subscription.readNow();
}

void SharedState::savePlaces(const std::vector<PlaceRecord> &places)
{
    std::vector<KeyedRecord> records;
    for (const PlaceRecord &place : places) {
        records.push_back(encodePlace(place));
    }
    save(records);
}

void SharedState::saveBlocks(const BlockChanges &changes)
{
    std::vector<KeyedRecord> records;
    for (const SuspectBlock &block : changes.blocks) {
        records.push_back(encodeBlock(block));
    }
    for (const SuspectKey key : changes.ended) {
        records.push_back({blockPrefix + toHex(key), "", {}}); // a tombstone
    }
    save(records);
}

void SharedState::saveVersions(const VersionChanges &changes)
{
    std::vector<KeyedRecord> records;
    for (const VersionRecord &record : changes.records) {
        records.push_back(encodeVersion(record));
    }
    for (const VersionRecord &record : changes.forgotten) {
        records.push_back({versionKey(record), "", {}}); // a tombstone
    }
    save(records);
}

/// The condition is an offset, which the store compares in whatever era the write reaches it. So nothing is written
/// between a restore and the listing that follows it, and an answer from another era than the condition's tells
/// nothing.
void SharedState::save(const std::vector<KeyedRecord> &records)
{
    const bool isRead = m_hasRead && m_end.era == m_subscription.era();
    if (!isRead || m_isSaving || records.empty()) {
        return;
    }
    m_isSaving = true;
    ClientCallHooks hooks;
    hooks.onResponse = [this, records, at = m_end](const ClientResponse &response) {
        m_isSaving = false;
        onSaved(records, at, response);
    };
    hooks.onFailure = [this, count = records.size()](const char *reason) {
        m_isSaving = false;
        LogLine line("places_not_saved");
        line.number("places", static_cast<std::int64_t>(count)).text("why", reason);
        m_log.write(line, LogPriority::Notable);
        m_subscription.readStoreNow(); // the write may have succeeded
    };
    m_writer.call(encodeAppendRequest(records, m_end.offset, StoreTopic::Places, m_writer.address()),
                  clockNow() + saveTimeout, std::move(hooks));
}

/// @param at end of the topic on which the write was conditional
void SharedState::onSaved(const std::vector<KeyedRecord> &records, const TopicPosition &at,
                          const ClientResponse &response)
{
    const auto end = response.status == statusOk ? decodeAppendEnd(response.body) : std::nullopt;
    const auto era = decodeStoreEra(response.fields);
    LogLine line("places_saved");
    line.number("places", static_cast<std::int64_t>(records.size())).number("status", response.status);
    m_log.write(line, LogPriority::Notable);
    const TopicPosition written{end.value_or(0), era ? era : at.era};
    if (!end || !isSameEra(written, at) || !isSameEra(written, m_end)) {
        m_subscription.readStoreNow(); // conflict with another router's write, refused, or the store was restored
        return;
    }
    for (const KeyedRecord &record : records) {
        noteWritten(record);
        applyRecord(record);
    }
    m_end = written;
    notify(m_isRestored ? onRestored : onRead);
}

} // namespace galenafold
