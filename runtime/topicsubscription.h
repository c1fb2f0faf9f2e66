// Subscription to one topic of the platform's store: sends the calls that `TopicConsumer` decides on.
#pragma once

#include "galenafold/eventlog.h"
#include "platform/store.h"
#include "runtime/httpclientconnection.h"

namespace galenafold
{

struct TopicSubscriptionHooks {
    TopicHooks topic;
    std::function<void(Instant)> onLost;     // the first failure after a success or after the start
    std::function<void(Instant)> onRegained; // the first success after a failure

    /// The store has been restored from a copy: offsets so far are void, and a listing of the topic follows.
    std::function<void(Instant)> onRestored = [](Instant) {};
};

/// Reads a topic from `start` on until destroyed. Everything runs on the event loop.
class TopicSubscription
{
public:
    /// @param seed for the jitter of the backoff
    TopicSubscription(asio::io_context &io, StoreTopic topic, const std::string &address, const TopicSettings &settings,
                      TopicSubscriptionHooks hooks, EventLog &log, std::uint64_t seed);

    void start();
    void readNow(); ///< Sends the next call without waiting for the pause or backoff, unless one is in progress.
    std::int64_t calls() const { return m_connection.calls(); } ///< @return calls sent since the start
    std::int64_t failures() const { return m_failures; }        ///< @return failed or refused calls, also unsent ones
    std::int64_t bytes() const { return m_bytes; }              ///< @return bytes of responses received
    std::int64_t abandonedBytes() const { return m_abandonedBytes; } ///< @return of these, of failed calls

private:
    void scheduleNext();
    void sendRequest();
    void onResponse(const ClientResponse &response);
    void noteTransfer(Instant now);
    bool noteEra(Instant now, const ClientResponse &response);
    bool handleAnswer(Instant now, const ClientResponse &response);
    bool decodeBody(Instant now, const std::string &body);
    void onFailure(const char *reason);

    StoreTopic m_topic;
    HttpClientConnection m_connection;
    TopicConsumer m_consumer;
    TopicSubscriptionHooks m_hooks;
    EventLog &m_log;
    DeadlineTimer m_timer;  // of the next call
    TopicRequest m_request; // the current or next call
    Instant m_sentAt{};     // of the last call
    std::int64_t m_failures = 0;
    std::int64_t m_bytes = 0;
    std::int64_t m_abandonedBytes = 0;
    std::optional<StoreEra> m_era; // of the last response
    bool m_isLost = false;         // the last call failed
};

} // namespace galenafold
