// Subscription to one topic of the platform's store.
#include "runtime/topicsubscription.h"

#include "net/status.h"

namespace galenafold
{

constexpr std::size_t loggedTransferBytes = 64 << 10; // of a response that gets a log line of its own

TopicSubscription::TopicSubscription(asio::io_context &io, StoreTopic topic, const std::string &address,
                                     const TopicSettings &settings, TopicSubscriptionHooks hooks, EventLog &log,
                                     std::uint64_t seed)
    : m_topic(topic)
    , m_connection(io, address)
    , m_consumer(settings, hooks.topic, seed)
    , m_hooks(std::move(hooks))
    , m_log(log)
    , m_timer(io)
{
}

void TopicSubscription::start()
{
    scheduleNext();
}

void TopicSubscription::readNow()
{
    if (!m_connection.isCalling()) {
        m_timer.cancel();
        m_request = m_consumer.next(clockNow());
        sendRequest();
    }
}

void TopicSubscription::scheduleNext()
{
    const Instant now = clockNow();
    m_request = m_consumer.next(now);
    if (m_request.notBefore <= now) {
        sendRequest();
        return;
    }
    m_timer.expires_at(m_request.notBefore);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sendRequest();
        }
    });
}

void TopicSubscription::sendRequest()
{
    m_sentAt = clockNow();
    ClientCallHooks hooks;
    hooks.onResponse = [this](const ClientResponse &response) { onResponse(response); };
    hooks.onFailure = [this](const char *reason) { onFailure(reason); };
    m_connection.call(encodeTopicRequest(m_request, m_topic, m_connection.address()),
                      m_sentAt + m_request.longPollTimeout + m_request.responseTimeout, std::move(hooks));
}

/// Passes the body to the consumer. @return false if it is malformed
bool TopicSubscription::decodeBody(Instant now, const std::string &body)
{
    if (m_request.kind != TopicRequestKind::Read) {
        auto page = decodeListingPage(body);
        if (page && m_request.kind == TopicRequestKind::End) {
            m_consumer.onEnd(m_sentAt, now, page->end);
        } else if (page) {
            m_consumer.onPage(m_sentAt, now, std::move(*page));
        }
        return page.has_value();
    }
    const auto read = decodeRead(body, m_request.from);
    if (read) {
        m_consumer.onRead(m_sentAt, now, *read);
    }
    return read.has_value();
}

/// A large response takes long where the link is slow, or where many routers share the store's rate.
void TopicSubscription::noteTransfer(Instant now)
{
    const ResponseTransfer &transfer = m_connection.transfer();
    m_bytes += static_cast<std::int64_t>(transfer.bytes);
    if (transfer.bytes < loggedTransferBytes) {
        return;
    }
    LogLine line("store_transfer");
    line.text("topic", text(m_topic)).flag("listing", m_request.kind == TopicRequestKind::Listing);
    line.number("bytes", static_cast<std::int64_t>(transfer.bytes));
    line.millis("waited_ms", *transfer.firstBytesAt - m_sentAt).millis("took_ms", now - *transfer.firstBytesAt);
    m_log.write(line, LogPriority::Notable);
}

/// @return true if the store has been restored since the last response
bool TopicSubscription::noteEra(Instant now, const ClientResponse &response)
{
    const auto era = decodeStoreEra(response.fields);
    const bool isRestored = era && m_era && *era != *m_era;
    if (isRestored) {
        LogLine line("store_restored");
        line.text("topic", text(m_topic)).number("era", *era).number("before", *m_era);
        m_log.write(line, LogPriority::Notable);
        m_consumer.onStoreRestored();
        m_hooks.onRestored(now);
    }
    m_era = era ? era : m_era;
    return isRestored;
}

/// @return false if the body is malformed
bool TopicSubscription::handleAnswer(Instant now, const ClientResponse &response)
{
    if (response.status != statusGone) {
        return decodeBody(now, response.body);
    }
    LogLine line("history_cut");
    line.text("topic", text(m_topic)).number("from", m_request.from);
    m_log.write(line, LogPriority::Notable);
    m_consumer.onOffsetOutOfRange();
    return true;
}

/// What the store answers for an offset of the era before is ignored: a listing follows.
void TopicSubscription::onResponse(const ClientResponse &response)
{
    const Instant now = clockNow();
    noteTransfer(now);
    const bool isRestored = noteEra(now, response);
    const bool isAnswered = response.status == statusOk || response.status == statusGone;
    if (!isAnswered || (!isRestored && !handleAnswer(now, response))) {
        m_connection.disconnect();
        onFailure(isAnswered ? "unreadable" : std::to_string(response.status).c_str());
        return;
    }
    if (m_isLost) {
        m_isLost = false;
        m_hooks.onRegained(now);
    }
    scheduleNext();
}

void TopicSubscription::onFailure(const char *reason)
{
    const Instant now = clockNow();
    ++m_failures;
    const ResponseTransfer &transfer = m_connection.transfer();
    const std::int64_t abandoned = transfer.isComplete ? 0 : static_cast<std::int64_t>(transfer.bytes);
    m_bytes += abandoned;
    m_abandonedBytes += abandoned;
    if (!m_isLost || abandoned > 0) {
        LogLine line(m_isLost ? "store_still_lost" : "store_lost");
        line.text("topic", text(m_topic)).text("why", reason).millis("after_ms", now - m_sentAt);
        line.number("received", abandoned);
        m_log.write(line, LogPriority::Notable);
    }
    if (!m_isLost) {
        m_isLost = true;
        m_hooks.onLost(now);
    }
    if (transfer.bytes == 0) {
        m_consumer.onNoResponse(now);
    } else {
        m_consumer.onFailure(now);
    }
    scheduleNext();
}

} // namespace galenafold
