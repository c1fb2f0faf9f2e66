// What routers that follow this one are told of a topic.
#include "runtime/toldtopic.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t listingSeconds = 3;     // that listings to all may take: the store would not be quicker
constexpr std::size_t packedBytes = 16 << 10; // of records that are packed; fewer are not worth it
constexpr auto packedTime = std::chrono::milliseconds(250); // in which packed records are used, as their proof ages

ToldTopic::ToldTopic(TopicCacheSettings settings)
    : m_cache(std::move(settings))
{
}

void ToldTopic::setListing(const std::vector<KeyedRecord> &records, const TopicPosition &begin)
{
    m_cache.setListing(records, begin);
}

void ToldTopic::add(const KeyedRecord &record)
{
    m_cache.add(record);
}

void ToldTopic::addChange(const KeyedRecord &record)
{
    m_cache.addChange(record);
}

void ToldTopic::setProof(Instant now, LogOffset end, Instant provedAt)
{
    m_cache.setEnd(end);
    m_provedAt = std::max(m_provedAt, provedAt);
    m_renewedAt = now;
}

/// @return false if there is nothing to tell yet, or the asker knows of a restore whose listing is still in progress
bool ToldTopic::isKnownTo(const TopicQuestion &question) const
{
    return m_cache.isFilled() && question.era <= m_cache.end().era;
}

/// @return from where on changes are told; nothing: all records are
std::optional<TopicPosition> ToldTopic::changesFrom(const TopicQuestion &question) const
{
    const bool isSame = question.from && question.era == m_cache.end().era;
    return isSame ? std::optional(TopicPosition{*question.from, question.era}) : std::nullopt;
}

bool ToldTopic::hasNews(const TopicQuestion &question, Instant waitsSince) const
{
    if (!isKnownTo(question)) {
        return false;
    }
    const auto from = changesFrom(question);
    if (!from) {
        return true;
    }
    const bool hasCaughtUp = m_cache.end().offset >= from->offset;
    return hasCaughtUp && (m_renewedAt > waitsSince || m_cache.hasChangesSince(*from));
}

static std::size_t sizeOf(const std::vector<KeyedRecord> &records)
{
    std::size_t bytes = 0;
    for (const KeyedRecord &record : records) {
        bytes += record.key.size() + record.value.size();
    }
    return bytes;
}

TopicAnswer ToldTopic::answer(const TopicQuestion &question, Instant arrivedAt, Instant now) const
{
    TopicAnswer answer;
    answer.isKnown = isKnownTo(question);
    answer.era = m_cache.end().era;
    answer.end = m_cache.end().offset;
    answer.provedAfter = m_provedAt - arrivedAt;
    if (!answer.isKnown) {
        return answer;
    }
    const auto from = changesFrom(question);
    if (question.acceptsGzip && isPackedUsable(from, now)) {
        addPacked(answer, arrivedAt);
        return answer;
    }
    const auto changes = from ? m_cache.changesSince(*from) : std::nullopt;
    answer.isListing = !changes;
    answer.records = changes ? *changes : m_cache.all();
    const std::size_t bytes = sizeOf(answer.records);
    if (question.acceptsGzip && bytes > packedBytes) {
        pack(from, answer, now);
        addPacked(answer, arrivedAt);
        return answer;
    }
    answer.isTooLarge = bytes > m_maxAnswerBytes;
    if (answer.isTooLarge) {
        answer.records.clear();
    }
    return answer;
}

/// @return true if the packed records are of the same era, and begin where the question asks for
bool ToldTopic::isPackedUsable(const std::optional<TopicPosition> &from, Instant now) const
{
    const bool isSameBegin =
        from.has_value() == m_packed.from.has_value() && (!from || from->offset == m_packed.from->offset);
    return now < m_packed.usableUntil && isSameBegin && isSameEra(m_packed.end, m_cache.end());
}

void ToldTopic::pack(const std::optional<TopicPosition> &from, const TopicAnswer &answer, Instant now) const
{
    m_packed = {answer.isListing, from, m_cache.end(), m_provedAt, now + packedTime, packTopicRecords(answer.records)};
    ++m_packings;
}

/// The answer tells what was known when the records were packed, and the proof is that of then.
void ToldTopic::addPacked(TopicAnswer &answer, Instant arrivedAt) const
{
    answer.isListing = m_packed.isListing;
    answer.end = m_packed.end.offset;
    answer.provedAfter = m_packed.provedAt - arrivedAt;
    answer.records.clear();
    answer.isTooLarge = m_packed.records.size() > m_maxAnswerBytes * (answer.isListing ? listingSeconds : 1);
    if (!answer.isTooLarge) {
        answer.packedRecords = m_packed.records;
    }
}

} // namespace galenafold
