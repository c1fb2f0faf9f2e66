// Following one keyed topic of the platform's store: list its newest records, then read on from where the listing
// began.
//
// Load pattern: thousands of daemons follow the same few topics while replies are lost, late or refused and history is
// cut. One call at a time, a deadline on each, backoff with jitter after a failure, a new listing after a cut.
//
// Sections of this file: Records, Steps, Topic.
#pragma once

#include "galenafold/galenafold.h"

#include <boost/random/mersenne_twister.hpp>
#include <optional>

namespace galenafold
{

// Records

struct KeyedRecord {
    std::string key;
    std::string value; // empty: the key was dropped
    LogOffset offset = 0;
};

/// One page of a listing. Pages of one listing are not a snapshot.
struct ListingPage {
    std::vector<KeyedRecord> records;
    bool isTruncated = false;
    LogOffset end = 0; // of the topic, when the page was made
};

struct TopicRead {
    std::vector<KeyedRecord> records;
    LogOffset end = 0;
};

// Steps

/// The next call to make.
struct TopicRequest {
    bool isListing = false;
    std::string after;   // listing: the last key of the page before
    LogOffset from = 0;  // reading
    Span wait{};         // how long the store may hold a read back
    Instant notBefore{}; // earliest time to send it
};

struct TopicTiming {
    Span wait{};                                       // how long a read may be held back; zero: a poll
    Span pause{};                                      // from one good read to the next
    Span firstBackoff = std::chrono::milliseconds(50); // after a failure; doubles
    Span maxBackoff = std::chrono::milliseconds(800);
};

struct TopicHooks {
    std::function<void(const KeyedRecord &)> onRecord;                               // by reading, in order
    std::function<void(const std::vector<KeyedRecord> &, LogOffset begin)> onListed; // a whole listing
    std::function<void(Instant)> onCaughtUp; // all records up to that moment have been handed over
};

// Topic

class TopicConsumer
{
public:
    TopicConsumer(const TopicTiming &pace, TopicHooks hooks, std::uint64_t seed);

    TopicRequest next(Instant now) const; ///< @return the call to make now

    void onPage(Instant sent, Instant now, ListingPage page);
    void onRead(Instant sent, Instant now, const TopicRead &read);
    void onOffsetOutOfRange();   ///< What was to be read next is deleted: list again.
    void onFailure(Instant now); ///< Lost, late, refused or unreadable.

private:
    TopicTiming m_pace;
    TopicHooks m_hooks;
    mutable boost::random::mt19937_64 m_random;
    bool m_isListing = true;
    std::vector<KeyedRecord> m_listed;
    std::optional<LogOffset> m_listingBegin; // end of the topic at the first page
    Instant m_listingSent{};
    LogOffset m_from = 0;
    Instant m_notBefore{};
    Span m_backoff{};
    bool m_retriesAtOnce = false; // the last call failed after it was held back: no wait on the next one
};

} // namespace galenafold
