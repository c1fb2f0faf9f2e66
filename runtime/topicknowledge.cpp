// What this router knows of one topic of the store.
#include "runtime/topicknowledge.h"

#include <algorithm>

namespace galenafold
{

constexpr Duration longestAge = std::chrono::hours(1); // keeps sums with what another process tells in range

TopicKnowledge::TopicKnowledge(const TopicSettings &reading, TopicCacheSettings told, TopicKnowledgeHooks hooks,
                               std::uint64_t seed)
    : m_reading(reading)
    , m_hooks(std::move(hooks))
    , m_told(std::move(told))
    , m_consumer(reading, tellingHooks(), seed)
    , m_outage(reading)
{
}

/// @return the hooks of the topic, which also keep the records for routers that follow this one
TopicHooks TopicKnowledge::tellingHooks()
{
    TopicHooks hooks;
    hooks.onRecord = [this](const KeyedRecord &record) {
        if (m_isFollowing) {
            m_told.addChange(record);
        } else {
            m_told.add(record);
        }
        m_hooks.topic.onRecord(record);
    };
    hooks.onListed = [this](const std::vector<KeyedRecord> &records, const TopicPosition &begin) {
        m_told.setListing(records, begin);
        m_hooks.topic.onListed(records, begin);
    };
    hooks.onCaughtUp = [this](Instant provedAt) {
        m_told.setProof(m_hooks.now(), m_consumer.position().offset, provedAt);
        m_outage.onProof(provedAt);
        m_hooks.topic.onCaughtUp(provedAt);
    };
    return hooks;
}

// Store

bool TopicKnowledge::onStoreEra(Instant now, const std::optional<StoreEra> &era)
{
    const auto before = m_consumer.era();
    const bool isOther = m_consumer.onEra(era);
    if (isOther) {
        m_hooks.onRestored(now, before);
    }
    return isOther;
}

void TopicKnowledge::onStoreLost(Instant now)
{
    if (m_outage.onLost()) {
        m_hooks.onLost(now);
    }
}

void TopicKnowledge::onStoreRegained(Instant returnedAt)
{
    m_outage.onRegained(returnedAt);
    m_hooks.onRegained(returnedAt);
}

// Other routers

TopicQuestion TopicKnowledge::question(Instant now) const
{
    TopicQuestion question;
    question.era = m_consumer.era();
    if (!m_consumer.isListing()) {
        question.from = m_consumer.position().offset;
    }
    question.wait = m_consumer.followingWait(now, provedAt());
    return question;
}

bool TopicKnowledge::applyAnswer(Instant sentAt, Instant now, const TopicAnswer &answer)
{
    const bool isBeforeRestore = answer.era < m_consumer.era();
    const bool wantsAll = m_consumer.isListing() || answer.era != m_consumer.era();
    if (isBeforeRestore || (wantsAll && !answer.isListing)) {
        return false;
    }
    onStoreEra(now, answer.era);
    const Instant provedBefore = provedAt();
    const Instant proof = std::min<Instant>(now, sentAt + std::clamp(answer.provedAfter, -longestAge, longestAge));
    const bool tellsOfReturn = answer.sinceReturned < longestReturn;
    const Instant returnedAt = tellsOfReturn ? now - answer.sinceReturned : now;
    if (tellsOfReturn && m_outage.hasMissed(now, returnedAt)) {
        onStoreLost(now); // what lapsed meanwhile may return, as if this router had read the store itself
    }
    bool isTold = true;
    if (answer.isListing) {
        m_consumer.onOffsetOutOfRange();
        m_consumer.onPage(proof, now, {answer.records, false, answer.end});
    } else {
        m_isFollowing = true;
        isTold = m_consumer.onFollowed(proof, now, {answer.records, answer.end});
        m_isFollowing = false;
    }
    const bool needsNews = m_reading.sharedInterval > Duration{}; // the question waited for a younger proof
    const bool isNews = proof > provedBefore || !answer.records.empty() || !needsNews;
    const bool isSound = isTold && isNews && !answer.isStoreLost;
    const bool isUseful = isSound && now < proof + m_reading.maxSourceAge;
    if (m_outage.isLost() && isUseful) {
        onStoreRegained(returnedAt);
    }
    return isUseful
        || (isSound && answer.isListing && !m_outage.isLost()); // a large listing takes long; its proof ages
}

// Followers

/// While the store is lost the asker goes on to the next router.
bool TopicKnowledge::hasNews(const TopicQuestion &question, Instant waitsSince) const
{
    return m_outage.isLost() || m_told.hasNews(question, waitsSince);
}

TopicAnswer TopicKnowledge::answer(const TopicQuestion &question, Instant arrivedAt, Instant now) const
{
    TopicAnswer answer = m_told.answer(question, arrivedAt, now);
    answer.isStoreLost = m_outage.isLost();
    answer.sinceReturned = std::min<Duration>(now - m_outage.returnedAt(), longestReturn);
    return answer;
}

} // namespace galenafold
