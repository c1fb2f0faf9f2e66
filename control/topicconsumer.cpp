// Following one keyed topic of the platform's store.
#include "control/topicconsumer.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace galenafold
{

TopicConsumer::TopicConsumer(const TopicTiming &pace, TopicHooks hooks, std::uint64_t seed)
    : m_pace(pace)
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_backoff(pace.firstBackoff)
{
}

TopicRequest TopicConsumer::next(Instant now) const
{
    TopicRequest step;
    step.isListing = m_isListing;
    step.notBefore = std::max(now, m_notBefore);
    if (m_isListing) {
        step.after = m_listed.empty() ? "" : m_listed.back().key;
    } else {
        step.from = m_from;
        step.wait = m_retriesAtOnce ? Span{} : m_pace.wait;
    }
    return step;
}

void TopicConsumer::onPage(Instant sent, Instant now, ListingPage page)
{
    if (!m_listingBegin) {
        m_listingBegin = page.end;
        m_listingSent = sent;
    }
    const bool isLast = !page.isTruncated || page.records.empty();
    std::move(page.records.begin(), page.records.end(), std::back_inserter(m_listed));
    m_backoff = m_pace.firstBackoff;
    m_notBefore = now;
    if (!isLast) {
        return;
    }
    m_isListing = false;
    m_from = *m_listingBegin;
    m_hooks.onListed(m_listed, *m_listingBegin);
    m_hooks.onCaughtUp(m_listingSent);
    m_listed.clear();
    m_listingBegin.reset();
}

void TopicConsumer::onRead(Instant sent, Instant now, const TopicRead &read)
{
    for (const KeyedRecord &record : read.records) {
        m_hooks.onRecord(record);
        m_from = record.offset + 1;
    }
    m_backoff = m_pace.firstBackoff;
    m_retriesAtOnce = false;
    const bool isComplete = m_from >= read.end;
    m_notBefore = isComplete ? now + m_pace.pause : now;
    if (isComplete) {
        m_hooks.onCaughtUp(sent);
    }
}

void TopicConsumer::onOffsetOutOfRange()
{
    m_isListing = true;
    m_listed.clear();
    m_listingBegin.reset();
}

void TopicConsumer::onFailure(Instant now)
{
    const boost::random::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_notBefore = now + Span(static_cast<Span::rep>(static_cast<double>(m_backoff.count()) * jitter(m_random)));
    m_backoff = std::min(m_backoff * 2, m_pace.maxBackoff);
    m_retriesAtOnce = true;
}

} // namespace galenafold
