// Which engine has which place, in the platform's store.
#include "shell/placestore.h"

#include "net/status.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto readEvery = std::chrono::seconds(30); // a router that differs reads some prompts once more until then
constexpr auto saveWithin = std::chrono::seconds(2);
constexpr int hexadecimal = 16;

// Records: the key is the place in hexadecimal, the value names the engine and its service.

static KeyedRecord encode(const PlaceRecord &record)
{
    char digits[hexadecimal + 1] = {};
    const auto written = std::to_chars(digits, digits + hexadecimal, record.place, hexadecimal);
    const Json value{{"service", record.service.text}, {"replica", record.engine.text}};
    return {std::string(digits, written.ptr), value.dump(), 0};
}

static std::optional<PlaceRecord> decode(const KeyedRecord &record)
{
    PlaceRecord place;
    const char *end = record.key.data() + record.key.size();
    const auto parsed = std::from_chars(record.key.data(), end, place.place, hexadecimal);
    const Json value = Json::parse(record.value, nullptr, false);
    const bool isReadable = parsed.ec == std::errc() && parsed.ptr == end && value.is_object()
        && value.value("service", Json()).is_string() && value.value("replica", Json()).is_string();
    if (!isReadable) {
        return std::nullopt;
    }
    place.service.text = value["service"].get<std::string>();
    place.engine.text = value["replica"].get<std::string>();
    return place;
}

static TopicTiming pace()
{
    TopicTiming pace;
    pace.pause = readEvery;
    pace.maxBackoff = readEvery; // nothing waits for it
    return pace;
}

PlaceStore::PlaceStore(asio::io_context &io, const std::string &address, EventLog &log, std::uint64_t seed)
    : m_log(log)
    , m_follower(io, StoreTopic::Places, address, pace(), followerHooks(), log, seed)
    , m_writer(io, address)
{
}

void PlaceStore::start()
{
    m_follower.start();
}

StoreFollowerHooks PlaceStore::followerHooks()
{
    StoreFollowerHooks hooks;
    hooks.topic.onRecord = [this](const KeyedRecord &record) { take(record); };
    hooks.topic.onListed = [this](const std::vector<KeyedRecord> &records, LogOffset begin) {
        m_records.clear();
        m_end = begin;
        for (const KeyedRecord &record : records) {
            take(record);
        }
    };
    hooks.topic.onCaughtUp = [this](Instant) {
        m_isKnown = true;
        tell();
    };
    hooks.onLost = [](Instant) {};
    hooks.onRegained = [](Instant) {};
    return hooks;
}

void PlaceStore::take(const KeyedRecord &record)
{
    m_end = std::max(m_end, record.offset + 1);
    const auto place = decode(record);
    if (!place) {
        m_records.erase(record.key); // another writer's bytes
        return;
    }
    m_records[record.key] = *place;
}

void PlaceStore::tell()
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
    m_follower.readNow();
}

void PlaceStore::save(const std::vector<PlaceRecord> &records)
{
    if (!m_isKnown || m_isSaving || records.empty()) {
        return;
    }
    std::vector<KeyedRecord> encoded;
    for (const PlaceRecord &record : records) {
        encoded.push_back(encode(record));
    }
    m_isSaving = true;
    StoreCallHooks hooks;
    hooks.onAnswer = [this, records, encoded](int status, const std::string &body) {
        m_isSaving = false;
        const auto end = status == statusOk ? decodeAppendEnd(body) : std::nullopt;
        LogLine line("places_saved");
        line.number("places", static_cast<std::int64_t>(records.size())).number("status", status);
        m_log.write(line, LogPriority::Notable);
        if (!end) {
            m_follower.readNow(); // another router has written, or the store refuses
            return;
        }
        m_end = *end;
        for (std::size_t i = 0; i < records.size(); ++i) {
            m_records[encoded[i].key] = records[i];
        }
        tell();
    };
    hooks.onFailure = [this, count = records.size()](const char *why) {
        m_isSaving = false;
        LogLine line("places_not_saved");
        line.number("places", static_cast<std::int64_t>(count)).text("why", why);
        m_log.write(line, LogPriority::Notable);
        m_follower.readNow(); // it may have been done all the same
    };
    m_writer.call(encodeAppendRequest(encoded, m_end, StoreTopic::Places, m_writer.address()), clockNow() + saveWithin,
                  std::move(hooks));
}

} // namespace galenafold
