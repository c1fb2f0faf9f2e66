// Follows one compacted topic of the platform's store.
#include "control/topicconsumer.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace galenafold
{

constexpr auto waitMargin = std::chrono::milliseconds(200); // that a router waits for its next read beyond its interval

TopicConsumer::TopicConsumer(const TopicSettings &settings, TopicHooks hooks, std::uint64_t seed)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_backoff(settings.initialBackoff)
    , m_responseTimeout(settings.responseTimeout)
{
}

TopicRequest TopicConsumer::next(Instant now) const
{
    TopicRequest request;
    request.notBefore = std::max(now, m_notBefore);
    request.responseTimeout = std::min(m_responseTimeout, m_settings.maxResponseTimeout);
    if (m_mustAskForEnd) {
        request.kind = TopicRequestKind::End;
        request.responseTimeout = m_settings.responseTimeout;
    } else if (m_isListing) {
        request.kind = TopicRequestKind::Listing;
        request.responseTimeout =
            m_isListingQueued ? std::max(m_responseTimeout, m_settings.queuedListingTimeout) : m_responseTimeout;
        request.after = m_listedRecords.empty() ? "" : m_listedRecords.back().key;
    } else {
        request.from = m_next.offset;
        request.longPollTimeout = m_skipsLongPoll || pollsForOthers() ? Duration{} : m_settings.longPollTimeout;
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
    for (KeyedRecord &record : page.records) {
        record.position.era = m_era;
        m_listedRecords.push_back(std::move(record));
    }
    onRecords(sentAt, now);
    if (!isLast) {
        return;
    }
    m_isListing = false;
    m_isListingQueued = false;
    m_next = {*m_listingOffset, m_era};
    m_hooks.onListed(m_listedRecords, m_next);
    m_hooks.onCaughtUp(m_listingSentAt);
    m_listedRecords.clear();
    m_listingOffset.reset();
}

void TopicConsumer::deliver(std::vector<KeyedRecord> &records)
{
    for (KeyedRecord &record : records) {
        record.position.era = m_era;
        m_hooks.onRecord(record);
        m_next.offset = record.position.offset + 1;
    }
}

void TopicConsumer::onRead(Instant sentAt, Instant now, TopicRead read)
{
    deliver(read.records);
    onRecords(sentAt, now);
    m_skipsLongPoll = false;
    if (m_next.offset >= read.end) {
        onCaughtUp(sentAt, now);
    }
}

void TopicConsumer::onEnd(Instant sentAt, Instant now, LogOffset end)
{
    m_mustAskForEnd = false;
    m_hasToldEnd = true;
    m_backoff = m_settings.initialBackoff;
    m_notBefore = now;
    if (m_isListing) {
        return;
    }
    if (end == m_next.offset) {
        m_skipsLongPoll = false;
        onCaughtUp(sentAt, now);
    } else if (end < m_next.offset) {
        listAgain();
    }
}

bool TopicConsumer::onFollowed(Instant provedAt, Instant now, TopicRead read)
{
    if (read.end < m_next.offset) {
        return false;
    }
    const auto isBeyond = [&read](const KeyedRecord &record) { return record.position.offset >= read.end; };
    read.records.erase(std::remove_if(read.records.begin(), read.records.end(), isBeyond), read.records.end());
    deliver(read.records);
    m_next.offset = read.end;
    if (m_settings.sharedInterval == Duration{}) { // paced by this, as it does not wait for news at the other router
        m_notBefore = now + m_settings.pollInterval;
    }
    m_hooks.onCaughtUp(provedAt);
    return true;
}

Instant TopicConsumer::nextFollowing(Instant now) const
{
    return m_settings.sharedInterval > Duration{} ? now : std::max(now, m_notBefore);
}

Duration TopicConsumer::followingWait(Instant now, Instant provedAt) const
{
    if (m_settings.sharedInterval == Duration{}) {
        return Duration{};
    }
    const Duration wait = m_settings.sharedInterval + waitMargin;
    const bool isPaced = !m_isListing && m_settings.pollInterval > Duration{};
    return isPaced ? std::clamp(provedAt + m_settings.pollInterval - now, Duration{}, wait) : wait;
}

bool TopicConsumer::pollsForOthers() const
{
    return m_isShared && m_settings.sharedInterval > Duration{};
}

void TopicConsumer::setShared(Instant now, bool isShared, bool isFirst)
{
    m_isShared = isShared;
    if (isFirst && pollsForOthers()) {
        m_notBefore = std::min(m_notBefore, now);
    }
}

/// A listing or read was answered.
void TopicConsumer::onRecords(Instant sentAt, Instant now)
{
    m_hasToldEnd = false;
    m_backoff = m_settings.initialBackoff;
    m_notBefore = now;
    if (m_settings.hasLargeRecords || now < sentAt + m_settings.responseTimeout) {
        m_responseTimeout = m_settings.responseTimeout;
    }
}

void TopicConsumer::onCaughtUp(Instant sentAt, Instant now)
{
    m_notBefore = now + (pollsForOthers() ? m_settings.sharedInterval : m_settings.pollInterval);
    m_hooks.onCaughtUp(sentAt);
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
bool TopicConsumer::onEra(const std::optional<StoreEra> &era)
{
    if (!era || era == m_era) {
        return false;
    }
    const bool knowsNothing = !m_era && m_isListing && !m_listingOffset;
    m_era = era;
    if (knowsNothing) {
        return false;
    }
    listAgain();
    m_mustAskForEnd = false;
    m_notBefore = Instant{};
    return true;
}

void TopicConsumer::onFailure(Instant now)
{
    const boost::random::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_notBefore = now + Duration(static_cast<Duration::rep>(static_cast<double>(m_backoff.count()) * jitter(m_random)));
    m_backoff = std::min(m_backoff * 2, m_settings.maxBackoff);
    m_skipsLongPoll = true;
    m_mustAskForEnd = m_settings.hasLargeRecords;
    m_hasToldEnd = false;
}

void TopicConsumer::onNoResponse(Instant now)
{
    if (m_hasToldEnd || !m_settings.hasLargeRecords) {
        const Duration longest = m_isListing ? m_settings.maxListingTimeout : m_settings.maxResponseTimeout;
        m_responseTimeout = std::min(m_responseTimeout * 2, longest);
    }
    onFailure(now);
}

} // namespace galenafold
