// Accepts caller connections on one address, owns them while they are open, and closes idle ones for a drain.
#pragma once

#include "traffic/callerconnection.h"

#include <asio/ip/tcp.hpp>
#include <set>

namespace galenafold
{

/// Not thread-safe: used on one event loop. Set the hooks before `start`, except `onClosed`, which the listener sets
/// itself.
class CallerListener
{
public:
    explicit CallerListener(asio::io_context &io);
    ~CallerListener(); ///< Closes all connections, whose pending reads keep them alive.
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Binds the address and starts to accept.
    /// @param address IP:PORT
    /// @return false if the address is invalid or in use
    bool start(const std::string &address);

    void stopAccepting(); ///< Stops accepting and closes idle connections.
    void endRequests();   ///< Has all requests in progress ended, as the process stops.

    int port() const { return m_port; }                        ///< @return the bound port
    std::size_t count() const { return m_connections.size(); } ///< @return number of open connections

    CallerConnectionHooks hooks;
    std::size_t maxCallers = SIZE_MAX;    // maximum number of open connections; further ones are closed at once
    std::function<void()> onCountChanged; // the number of open connections has changed

private:
    void accept();
    void addConnection(asio::ip::tcp::socket socket);
    void retryAcceptLater();

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    DeadlineTimer m_retryTimer;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    int m_port = 0;
};

} // namespace galenafold
