// One connection to the platform's store: one call at a time, a deadline on each, a new connection after any failure.
#pragma once

#include "net/message.h"
#include "net/stream.h"
#include "net/timer.h"

namespace galenafold
{

/// What a call ends with. Exactly one of the two is called.
struct StoreCallHooks {
    std::function<void(int status, const std::string &body)> onAnswer;
    std::function<void(const char *why)> onFailure; // nothing is known of the call's effect
};

class StoreConnection
{
public:
    StoreConnection(asio::io_context &io, std::string address);

    /// @param request whole @param deadline of the whole answer
    void call(std::string request, Instant deadline, StoreCallHooks hooks);

    void drop(); ///< The next call goes over a new connection.

    bool isCalling() const { return m_isCalling; }
    const std::string &address() const { return m_address; }
    std::int64_t calls() const { return m_calls; }       ///< @return calls made since the start
    std::int64_t failures() const { return m_failures; } ///< @return of these, calls without a whole answer

private:
    void connect();
    void send();
    void onBytes(std::string_view bytes);
    void answer();
    void fail(const char *why);

    asio::io_context &m_io;
    std::string m_address;
    DeadlineTimer m_timer;
    std::shared_ptr<asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<TcpStream> m_stream;
    std::unique_ptr<MessageParser> m_parser;
    std::string m_request;
    StoreCallHooks m_hooks;
    std::uint64_t m_generation = 0; // of the call at hand; late events of an earlier one are ignored
    std::int64_t m_calls = 0;
    std::int64_t m_failures = 0;
    bool m_isCalling = false;
};

} // namespace galenafold
