// Follows one compacted topic of the platform's store: lists the newest record of each key, then reads on from the
// offset at which the listing began.
//
// Load pattern: thousands of daemons follow the same few topics while responses are lost, late or refused and old
// records are deleted. There is one request at a time, with a deadline. A failure is followed by exponential backoff
// with jitter, the deletion of unread records by a new listing. So is the restore of the store from a copy: it gives
// out offsets again, so that what is read on from the last offset may lack records.
//
// Load pattern: records of hundreds of kilobytes, which all daemons read at once over slow links, while the store is
// away now and then. After a failure the consumer first asks for no more than the topic's end: a small answer tells
// that the store is back, and nothing is read where nothing was missed. A store that answers, yet begins its large
// responses late, is given longer each time: to give such a response up and to ask for it again would only add to its
// load. All records that were missed are read, as the last record of a key may be an older version that was written
// late.
//
// Sections of this file: Records, Requests, Consumer.
#pragma once

#include "control/topicposition.h"

#include <boost/random/mersenne_twister.hpp>
#include <optional>

namespace galenafold
{

// Records

struct KeyedRecord {
    std::string key;
    std::string value; // empty: the key was deleted (tombstone)
    TopicPosition position;
};

/// One page of a listing. The topic may change between pages, so a listing is not a consistent snapshot.
struct ListingPage {
    std::vector<KeyedRecord> records;
    bool isTruncated = false; // more pages follow
    LogOffset end = 0;        // of the topic, when the page was made
};

struct TopicRead {
    std::vector<KeyedRecord> records;
    LogOffset end = 0; // of the topic, when it was read
};

// Requests

enum class TopicRequestKind : std::uint8_t {
    Listing, // the newest record of each key
    Read,    // records from an offset on
    End,     // no records, only the topic's end
};

/// The next request to the store.
struct TopicRequest {
    TopicRequestKind kind = TopicRequestKind::Read;
    std::string after;          // listing: last key of the previous page
    LogOffset from = 0;         // read: first offset
    Duration longPollTimeout{}; // read: long-poll timeout; zero: a plain poll
    Duration responseTimeout{}; // until the response begins, in addition to the long-poll timeout
    Instant notBefore{};        // earliest time to send it
};

struct TopicSettings {
    Duration longPollTimeout{};                              // long-poll timeout of a read; zero: a plain poll
    Duration pollInterval{};                                 // before the next read once the end was reached
    Duration sharedInterval{};                               // the same while other routers follow this one, with plain
                                                             // polls, so that proofs stay young; zero: no difference
    Duration maxSourceAge = std::chrono::hours(1);           // another router whose proof is older is of no use
    Duration initialBackoff = std::chrono::milliseconds(50); // after a failure; doubles with each further one
    Duration maxBackoff = std::chrono::milliseconds(800);

    /// Until a response begins. Doubles up to the maximum with each one that does not, and goes back once the store is
    /// as quick again. While it answers requests for the end, only large responses count.
    Duration responseTimeout = std::chrono::milliseconds(700);
    Duration maxResponseTimeout = std::chrono::milliseconds(5600);
    Duration maxListingTimeout = std::chrono::milliseconds(5600); // the same for listings: nothing is known without one

    /// The same of the first listing, if the store has just answered another call: the listing waits for its turn
    /// there, behind those of hundreds of routers, and would lose that by being asked for again.
    Duration queuedListingTimeout = std::chrono::milliseconds(1400);

    bool hasLargeRecords = false; // after a failure, asks for the end before it reads or lists
};

struct TopicHooks {
    std::function<void(const KeyedRecord &)> onRecord; // from a read, in order

    /// All pages of a listing were received. `begin`: end of the topic when the listing began.
    std::function<void(const std::vector<KeyedRecord> &, TopicPosition begin)> onListed;

    std::function<void(Instant)> onCaughtUp; // all records up to that time have been delivered
};

// Consumer

/// Decides the next request and delivers the records of responses. It does no I/O: its owner sends the requests.
class TopicConsumer
{
public:
    TopicConsumer(const TopicSettings &settings, TopicHooks hooks, std::uint64_t seed);

    TopicRequest next(Instant now) const; ///< @return the request to send next

    /// @param sentAt when the request was sent; the response confirms the state as of then
    void onPage(Instant sentAt, Instant now, ListingPage page);

    /// @param sentAt when the request was sent; the response confirms the state as of then
    void onRead(Instant sentAt, Instant now, TopicRead read);

    /// @param sentAt when the request for the end was sent @param end of the topic
    void onEnd(Instant sentAt, Instant now, LogOffset end);

    // What the store or another router tells belongs to an era, which is noted before the records are passed on.

    /// @param era as it came with an answer; nothing: the answer does not tell
    /// @return true if another era was known: the answer is for an offset of that one, and a listing follows
    bool onEra(const std::optional<StoreEra> &era);

    const std::optional<StoreEra> &era() const { return m_era; } ///< @return the newest that is known

    /// Another router told what it knows that is new. Its records are all that changed up to the end, so there may be
    /// gaps between their offsets; one beyond the end is left out, as others there may be missing. How the store's next
    /// call is made does not change: this tells nothing of its state.
    /// @param provedAt the topic ended there then @return false if that end is before what this router has read
    bool onFollowed(Instant provedAt, Instant now, TopicRead read);

    /// Other routers follow this one, or do so no longer.
    /// @param isFirst the next read does not wait for the interval that held so far
    void setShared(Instant now, bool isShared, bool isFirst);

    Instant nextFollowing(Instant now) const; ///< @return when to ask another router next

    /// @param provedAt all records up to that time are known
    /// @return how long another router that is asked may wait for news: a read of the store that is due comes first
    Duration followingWait(Instant now, Instant provedAt) const;

    bool isListing() const { return m_isListing; } ///< @return true until a listing is complete

    /// @return true while a listing of more than one page is in progress
    bool isListingLarge() const { return m_isListing && !m_listedRecords.empty(); }

    const TopicPosition &position() const { return m_next; } ///< @return up to where records were delivered

    /// The store has just answered a call for another topic, and nothing is known of this one yet.
    void onStoreAnswersOthers() { m_isListingQueued = true; }

    void onOffsetOutOfRange();   ///< The next record to read was deleted: lists again.
    void onFailure(Instant now); ///< The request was refused, or its response was lost, late or unreadable.

    /// Like `onFailure`: the response had not begun in time.
    void onNoResponse(Instant now);

private:
    void deliver(std::vector<KeyedRecord> &records);
    void listAgain();
    bool pollsForOthers() const;
    void onCaughtUp(Instant sentAt, Instant now);
    void onRecords(Instant sentAt, Instant now);

    TopicSettings m_settings;
    TopicHooks m_hooks;
    mutable boost::random::mt19937_64 m_random;
    bool m_isListing = true;
    std::vector<KeyedRecord> m_listedRecords; // of the pages so far
    std::optional<StoreEra> m_era;            // of the last answer that told it
    std::optional<LogOffset> m_listingOffset; // end of the topic at the first page
    Instant m_listingSentAt{};
    TopicPosition m_next;
    Instant m_notBefore{};
    Duration m_backoff{};
    Duration m_responseTimeout{};   // of the next listing or read
    bool m_isListingQueued = false; // the first listing waits for its turn at the store
    bool m_isShared = false;        // other routers follow this one
    bool m_skipsLongPoll = false;   // the last request failed: the next read is a plain poll
    bool m_mustAskForEnd = false;   // the last request failed: what was missed is not known
    bool m_hasToldEnd = false;      // the last response was to a request for the end
};

} // namespace galenafold
