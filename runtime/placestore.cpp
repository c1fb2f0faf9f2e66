// Reads and writes the assignment of places to engines in the platform's store.
#include "runtime/placestore.h"

#include "galenafold/hex.h"
#include "net/status.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto readInterval = std::chrono::seconds(30); // until then an outdated router misses some prefix caches
constexpr auto saveTimeout = std::chrono::seconds(2);

// Records: the key is the place in hexadecimal, the value is a JSON object with the service and the engine.

static KeyedRecord encode(const PlaceRecord &record)
{
    const Json value{{"service", record.service.text}, {"replica", record.engine.text}};
    return {toHex(record.place), value.dump(), 0};
}

static std::optional<PlaceRecord> decode(const KeyedRecord &record)
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

static TopicTiming topicTiming()
{
    TopicTiming timing;
    timing.pollInterval = readInterval;
    timing.maxBackoff = readInterval; // no request waits for the places
    return timing;
}

PlaceStore::PlaceStore(asio::io_context &io, const std::string &address, EventLog &log, std::uint64_t seed)
    : m_log(log)
    , m_subscription(io, StoreTopic::Places, address, topicTiming(), subscriptionHooks(), log, seed)
    , m_writer(io, address)
{
}

void PlaceStore::start()
{
    m_subscription.start();
}

TopicSubscriptionHooks PlaceStore::subscriptionHooks()
{
    TopicSubscriptionHooks hooks;
    hooks.topic.onRecord = [this](const KeyedRecord &record) { applyRecord(record); };
    hooks.topic.onListed = [this](const std::vector<KeyedRecord> &records, LogOffset begin) {
        m_records.clear();
        m_end = begin;
        for (const KeyedRecord &record : records) {
            applyRecord(record);
        }
    };
    hooks.topic.onCaughtUp = [this](Instant) {
        m_hasRead = true;
        notify();
    };
    hooks.onLost = [](Instant) {};
    hooks.onRegained = [](Instant) {};
    return hooks;
}

void PlaceStore::applyRecord(const KeyedRecord &record)
{
    m_end = std::max(m_end, record.offset + 1);
    const auto place = decode(record);
    if (!place) {
        m_records.erase(record.key); // a tombstone, or not written by a router
        return;
    }
    m_records[record.key] = *place;
}

void PlaceStore::notify()
{
    std::vector<PlaceRecord> records;
    records.reserve(m_records.size());
    for (const auto &[key, record] : m_records) {
        records.push_back(record);
    }
    onRead(records, m_end);
}

void PlaceStore::readNow()
{
    m_subscription.readNow();
}

void PlaceStore::save(const std::vector<PlaceRecord> &records)
{
    if (!m_hasRead || m_isSaving || records.empty()) {
        return;
    }
    std::vector<KeyedRecord> encoded;
    for (const PlaceRecord &record : records) {
        encoded.push_back(encode(record));
    }
    m_isSaving = true;
    StoreCallHooks hooks;
    hooks.onResponse = [this, records, encoded](int status, const std::string &body) {
        m_isSaving = false;
        const auto end = status == statusOk ? decodeAppendEnd(body) : std::nullopt;
        LogLine line("places_saved");
        line.number("places", static_cast<std::int64_t>(records.size())).number("status", status);
        m_log.write(line, LogPriority::Notable);
        if (!end) {
            m_subscription.readNow(); // conflict with another router's write, or refused by the store
            return;
        }
        m_end = *end;
        for (std::size_t i = 0; i < records.size(); ++i) {
            m_records[encoded[i].key] = records[i];
        }
        notify();
    };
    hooks.onFailure = [this, count = records.size()](const char *reason) {
        m_isSaving = false;
        LogLine line("places_not_saved");
        line.number("places", static_cast<std::int64_t>(count)).text("why", reason);
        m_log.write(line, LogPriority::Notable);
        m_subscription.readNow(); // the write may have succeeded
    };
    m_writer.call(encodeAppendRequest(encoded, m_end, StoreTopic::Places, m_writer.address()), clockNow() + saveTimeout,
                  std::move(hooks));
}

} // namespace galenafold
