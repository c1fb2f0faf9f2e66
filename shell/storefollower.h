// Carries the calls of one followed topic of the platform's store out.
#pragma once

#include "galenafold/eventlog.h"
#include "platform/store.h"
#include "shell/storecall.h"

namespace galenafold
{

struct StoreFollowerHooks {
    TopicHooks topic;
    std::function<void(Instant)> onLost;     // the first failure after a success
    std::function<void(Instant)> onRegained; // the first success after a failure
};

class StoreFollower
{
public:
    StoreFollower(asio::io_context &io, StoreTopic topic, const std::string &address, const TopicTiming &pace,
                  StoreFollowerHooks hooks, EventLog &log, std::uint64_t seed);

    void start();
    void readNow();                                        ///< Does not wait for the pause between two reads.
    std::int64_t calls() const { return m_store.calls(); } ///< @return calls made since the start
    std::int64_t failures() const { return m_failures; }   ///< @return of these, calls that brought nothing

private:
    void schedule();
    void call();
    void onAnswer(int status, const std::string &body);
    bool take(Instant now, const std::string &body);
    void onFailure(const char *why);

    StoreTopic m_topic;
    StoreConnection m_store;
    TopicConsumer m_follow;
    StoreFollowerHooks m_hooks;
    EventLog &m_log;
    DeadlineTimer m_timer; // of the next call
    TopicRequest m_step;
    Instant m_sentAt{};
    std::int64_t m_failures = 0;
    bool m_isLost = false;
};

} // namespace galenafold
