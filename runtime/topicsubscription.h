// Subscription to one topic of the platform's store: sends the calls that `TopicConsumer` decides on, to the store or
// to the router of this data centre that `TopicSources` names. What the answers tell goes into `TopicKnowledge`.
//
// Sections of this file: Settings, Subscription.
#pragma once

#include "control/topicsources.h"
#include "galenafold/eventlog.h"
#include "platform/store.h"
#include "runtime/httpclientconnection.h"
#include "runtime/topicknowledge.h"
#include "runtime/topicrelay.h"

namespace galenafold
{

// Settings

struct TopicSubscriptionHooks {
    TopicHooks topic;
    std::function<void(Instant)> onLost;     // the store cannot be read, and no router has told of it since
    std::function<void(Instant)> onRegained; // it can be read again, by this router or by the one that it follows

    /// The store has been restored from a copy: offsets so far are void, and a listing of the topic follows.
    std::function<void(Instant)> onRestored = [](Instant) {};
};

struct TopicSubscriptionSettings {
    StoreTopic topic = StoreTopic::DesiredState;
    std::string store; // IP:PORT
    int peerPort = 0;  // TCP port of the routers that may be followed; 0: none is
    TopicSettings reading;
    TopicCacheSettings cache;
    std::uint64_t seed = 0; // for the jitter of pauses
};

/// Counters for metrics.
struct TopicSubscriptionStats {
    std::int64_t calls = 0;          // sent to the store since the start
    std::int64_t failures = 0;       // of these, failed or refused ones, also ones that were never sent
    std::int64_t bytes = 0;          // of the store's responses
    std::int64_t abandonedBytes = 0; // of these, of failed calls
    std::int64_t questions = 0;      // sent to other routers since the start
    std::int64_t uselessAnswers = 0; // of these, without an answer or with an old proof
    bool followsRouter = false;      // the source of the current or next call is another router
    std::int64_t packings = 0;       // times that records were packed for other routers
    Instant provedAt{};              // the topic was known completely as of then
};

// Subscription

/// Reads a topic from `start` on until destroyed. Everything runs on the event loop.
class TopicSubscription : public FollowedTopic
{
public:
    TopicSubscription(asio::io_context &io, const TopicSubscriptionSettings &settings, TopicSubscriptionHooks hooks,
                      EventLog &log);

    void start();

    /// Likewise, unless it was started, after a call for another topic. @param isAnswered the store has answered that
    void startAfterCall(bool isAnswered);

    // Both send the next call without waiting for the pause or backoff, unless one is in progress.

    void readNow();
    void readStoreNow(); ///< The next call goes to the store, as what another router tells may be older.

    /// Sets the routers of this data centre that are heard. @param self this router
    void setRouters(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others);

    TopicSubscriptionStats stats() const;

    /// @return how often the store had been restored when it was last read; nothing if it does not tell
    const std::optional<StoreEra> &era() const { return m_knowledge.consumer().era(); }

    // For routers that follow this one
    void onAsked(Instant now) override;
    bool hasNews(const TopicQuestion &question, Instant waitsSince) const override;
    TopicAnswer answer(const TopicQuestion &question, Instant arrivedAt) const override;

    std::function<void()> onProgress = [] {}; // there are new records, or a younger proof, or the store is lost

private:
    TopicKnowledgeHooks knowledgeHooks();
    void logListing(std::size_t records, const TopicPosition &begin);
    void scheduleNext();
    void chooseSource(Instant now);
    void send();
    void askStore();
    void askRouter(std::uint32_t router);

    void onResponse(const ClientResponse &response);
    void onStoreFailure(const char *reason);
    void onRouterResponse(const ClientResponse &response);
    void onUselessRouter(const char *reason);
    bool isToBeAskedAgain(Instant now, const TopicAnswer &answer);
    void noteTransfer(Instant now);
    bool handleAnswer(Instant now, const ClientResponse &response);
    bool decodeBody(Instant now, const std::string &body);

    TopicSubscriptionSettings m_settings;
    TopicSubscriptionHooks m_hooks;
    EventLog &m_log;
    HttpClientConnection m_store;
    HttpClientConnection m_router; // to the router that was asked last
    TopicKnowledge m_knowledge;
    TopicSources m_sources;
    TopicSource m_source;                 // of the current or next call
    DeadlineTimer m_timer;                // of the next call
    TopicRequest m_request;               // the current or next call, if it goes to the store
    Instant m_sentAt{};                   // of the last call
    Instant m_sharedUntil{};              // a router has asked this one shortly before
    std::string m_sourceReason = "start"; // why the source was changed last, for logs
    bool m_hasStarted = false;            // `start` was called
    bool m_mustAskStore = false;          // the next call
    Instant m_askAgainAt{};               // earliest time, after a router had not read the topic yet
    TopicSubscriptionStats m_stats;
};

} // namespace galenafold
