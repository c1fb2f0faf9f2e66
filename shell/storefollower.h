// Carries the calls of one followed topic out: one connection to the platform's store, one call at a time.
#pragma once

#include "galenafold/eventlog.h"
#include "net/message.h"
#include "net/stream.h"
#include "net/timer.h"
#include "platform/store.h"

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
    StoreFollower(asio::io_context &io, StoreTopic topic, const std::string &address, const TopicPace &pace,
                  StoreFollowerHooks hooks, EventLog &log, std::uint64_t seed);

    void start();
    std::int64_t calls() const { return m_calls; } ///< @return calls made since the start

private:
    void schedule();
    void call();
    void send();
    void onBytes(std::string_view bytes);
    void onAnswer();
    void onFailure(const char *why);
    void closeConnection();

    asio::io_context &m_io;
    StoreTopic m_topic;
    std::string m_address;
    KeyedTopic m_follow;
    StoreFollowerHooks m_hooks;
    EventLog &m_log;
    DeadlineTimer m_timer;
    std::shared_ptr<asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<TcpStream> m_stream;
    std::unique_ptr<MessageParser> m_parser;
    TopicStep m_step;
    Instant m_sentAt{};
    std::uint64_t m_generation = 0; // of the call at hand; late events of an earlier one are ignored
    std::int64_t m_calls = 0;
    bool m_isCalling = false;
    bool m_isLost = false;
};

} // namespace galenafold
