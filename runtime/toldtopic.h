// What routers that follow this one are told of a topic: its records, up to where they are known, and the proof of
// that. All three are of one era of the store.
//
// Load pattern: forty routers ask twice a second, and after a restore all of them ask for everything at once, while
// this router is still listing. Until its listing is complete they are told what was known before, as of the era
// before: that is true, and its proof ages. One that knows of the restore already is told nothing until then.
#pragma once

#include "control/topiccache.h"
#include "net/topicmessages.h"

namespace galenafold
{

class ToldTopic
{
public:
    explicit ToldTopic(TopicCacheSettings settings);

    /// Replaces all that was known. @param begin end of the topic when the listing began
    void setListing(const std::vector<KeyedRecord> &records, const TopicPosition &begin);

    void add(const KeyedRecord &record);       ///< Adds the next record of the topic.
    void addChange(const KeyedRecord &record); ///< Adds one that another router told; those in between told nothing.

    /// @param end the topic is known up to here @param provedAt it ended there then
    void setProof(Instant now, LogOffset end, Instant provedAt);

    void setMaxAnswerBytes(std::size_t bytes) { m_maxAnswerBytes = bytes; } ///< Of records that one router is told.

    /// @param waitsSince when the question arrived @return true if there is something to tell that makes a wait
    /// needless
    bool hasNews(const TopicQuestion &question, Instant waitsSince) const;

    /// @return what is known, without what only the reader of the store can tell of it: whether it is lost or came back
    TopicAnswer answer(const TopicQuestion &question, Instant arrivedAt, Instant now) const;

    Instant provedAt() const { return m_provedAt; }      ///< @return the topic was known completely as of then
    std::int64_t packings() const { return m_packings; } ///< @return times that records were packed

private:
    /// Records that many followers ask for at the same time.
    struct Packed {
        bool isListing = false;
        std::optional<TopicPosition> from; // as the question told
        TopicPosition end;
        Instant provedAt{}; // the topic ended there then
        Instant usableUntil{};
        std::string records;
    };

    bool isKnownTo(const TopicQuestion &question) const;
    std::optional<TopicPosition> changesFrom(const TopicQuestion &question) const;
    bool isPackedUsable(const std::optional<TopicPosition> &from, Instant now) const;
    void pack(const std::optional<TopicPosition> &from, const TopicAnswer &answer, Instant now) const;
    void addPacked(TopicAnswer &answer, Instant arrivedAt) const;

    TopicCache m_cache;
    Instant m_provedAt{};             // the topic ended at that of the cache then
    Instant m_renewedAt{};            // when that became known
    std::size_t m_maxAnswerBytes = 0; // of records that are told to another router
    mutable Packed m_packed;          // the last ones
    mutable std::int64_t m_packings = 0;
};

} // namespace galenafold
