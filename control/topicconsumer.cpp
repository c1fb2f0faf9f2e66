// Follows one compacted topic of the platform's store.
#include "control/topicconsumer.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace galenafold
{

TopicConsumer::TopicConsumer(const TopicTiming &timing, TopicHooks hooks, std::uint64_t seed)
    : m_timing(timing)
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_backoff(timing.initialBackoff)
{
}

TopicRequest TopicConsumer::next(Instant now) const
{
    TopicRequest request;
    request.isListing = m_isListing;
    request.notBefore = std::max(now, m_notBefore);
    if (m_isListing) {
        request.after = m_listedRecords.empty() ? "" : m_listedRecords.back().key;
    } else {
        request.from = m_nextOffset;
        request.longPollTimeout = m_skipsLongPoll ? Duration{} : m_timing.longPollTimeout;
    }
    return request;
}

void TopicConsumer::onPage(Instant sentAt, Instant now, ListingPage page)
{
    if (!m_listingOffset) {
        m_listingOffset = page.end;
        m_listingSentAt = sentAt;
    }
    const bool isLast = !page.isTruncated || page.records.empty();
    std::move(page.records.begin(), page.records.end(), std::back_inserter(m_listedRecords));
    m_backoff = m_timing.initialBackoff;
    m_notBefore = now;
    if (!isLast) {
        return;
    }
    m_isListing = false;
    m_nextOffset = *m_listingOffset;
    m_hooks.onListed(m_listedRecords, *m_listingOffset);
    m_hooks.onCaughtUp(m_listingSentAt);
    m_listedRecords.clear();
    m_listingOffset.reset();
}

void TopicConsumer::onRead(Instant sentAt, Instant now, const TopicRead &read)
{
    for (const KeyedRecord &record : read.records) {
        m_hooks.onRecord(record);
        m_nextOffset = record.offset + 1;
    }
    m_backoff = m_timing.initialBackoff;
    m_skipsLongPoll = false;
    const bool isAtEnd = m_nextOffset >= read.end;
    m_notBefore = isAtEnd ? now + m_timing.pollInterval : now;
    if (isAtEnd) {
        m_hooks.onCaughtUp(sentAt);
    }
}

void TopicConsumer::listAgain()
{
    m_isListing = true;
    m_listedRecords.clear();
    m_listingOffset.reset();
}

void TopicConsumer::onOffsetOutOfRange()
{
    listAgain();
}

/// The next request does not wait for the poll interval: until then removals are missed.
void TopicConsumer::onStoreRestored()
{
    listAgain();
    m_notBefore = Instant{};
}

void TopicConsumer::onFailure(Instant now)
{
    const boost::random::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_notBefore = now + Duration(static_cast<Duration::rep>(static_cast<double>(m_backoff.count()) * jitter(m_random)));
    m_backoff = std::min(m_backoff * 2, m_timing.maxBackoff);
    m_skipsLongPoll = true;
}

} // namespace galenafold
