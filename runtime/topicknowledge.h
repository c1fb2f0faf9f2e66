// What this router knows of one topic of the store, by its own reads and by what other routers tell: it applies their
// answers, each as of one era of the store, and keeps what follows from them for routers that follow this one. It does
// no I/O: `TopicSubscription` sends the calls.
//
// Sections of this file: Hooks, Knowledge.
#pragma once

#include "control/storeoutage.h"
#include "runtime/toldtopic.h"

namespace galenafold
{

// Hooks

struct TopicKnowledgeHooks {
    TopicHooks topic;
    std::function<void(Instant)> onLost;     // the store cannot be read, and no router has told of it since
    std::function<void(Instant)> onRegained; // it can be read again, by this router or by the one that it follows

    /// The store has been restored from a copy: a listing of the topic follows. @param before the era known so far
    std::function<void(Instant, const std::optional<StoreEra> &before)> onRestored;

    std::function<Instant()> now = [] { return clockNow(); }; // tests have a clock of their own
};

// Knowledge

class TopicKnowledge
{
public:
    TopicKnowledge(const TopicSettings &reading, TopicCacheSettings told, TopicKnowledgeHooks hooks,
                   std::uint64_t seed);

    TopicConsumer &consumer() { return m_consumer; } ///< @return decides on calls of the store, and takes the answers
    const TopicConsumer &consumer() const { return m_consumer; }

    ToldTopic &told() { return m_told; } ///< @return what other routers are told
    const ToldTopic &told() const { return m_told; }

    const StoreOutage &outage() const { return m_outage; } ///< @return that of the store, by this topic
    Instant provedAt() const { return m_told.provedAt(); } ///< @return the topic was known completely as of then

    // Store

    /// Must be told before the rest of the answer. @param era as the store's answer tells
    /// @return true if what is known is of another era: the answer is for an offset of that one, and a listing follows
    bool onStoreEra(Instant now, const std::optional<StoreEra> &era);

    void onStoreLost(Instant now);
    void onStoreRegained(Instant returnedAt);

    // Other routers

    /// @return what to ask another router; `topic` is left to the caller
    TopicQuestion question(Instant now) const;

    /// An answer of another era replaces all that is known, or changes nothing: changes alone are not comparable with
    /// it. @param sentAt when the question was sent
    /// @return true if it tells more than was known, and its proof is young enough
    bool applyAnswer(Instant sentAt, Instant now, const TopicAnswer &answer);

    // Followers

    bool hasNews(const TopicQuestion &question, Instant waitsSince) const;
    TopicAnswer answer(const TopicQuestion &question, Instant arrivedAt, Instant now) const;

private:
    TopicHooks tellingHooks();

    TopicSettings m_reading;
    TopicKnowledgeHooks m_hooks;
    ToldTopic m_told;
    TopicConsumer m_consumer;
    StoreOutage m_outage;
    bool m_isFollowing = false; // while changes that another router told are delivered
};

} // namespace galenafold
