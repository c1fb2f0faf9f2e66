// Accepts callers on one address, keeps them while they are connected, and lets them go in a drain.
#pragma once

#include "traffic/callerconnection.h"

#include <asio/ip/tcp.hpp>
#include <set>

namespace galenafold
{

/// Lives on one event loop. The hooks are set before `start`, all but `onClosed`, which is the listener's own.
class CallerListener
{
public:
    explicit CallerListener(asio::io_context &io);
    ~CallerListener(); ///< Closes all callers, which hold themselves while they are connected.
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    bool start(const std::string &address); ///< @param address IP:PORT @return false: it is taken
    void stopAccepting();                   ///< Takes no new callers, and closes those that have no request.

    int port() const { return m_port; }
    std::size_t count() const { return m_callers.size(); } ///< @return callers that are connected

    CallerHooks hooks;
    std::size_t maxCallers = SIZE_MAX; // one more is closed at once
    std::function<void()> onCount;     // the number of callers has changed

private:
    void accept();
    void take(asio::ip::tcp::socket socket);
    void acceptLater();

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    DeadlineTimer m_retryTimer;
    std::set<std::shared_ptr<CallerConnection>> m_callers;
    int m_port = 0;
};

} // namespace galenafold
