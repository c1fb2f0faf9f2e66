// Accepts caller connections on one address, owns them while they are open, and closes idle ones for a drain, or in
// favour of new ones when their number is at its limit.
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

    /// Closes the connections that are unused for longest, in favour of others; one in 64 of all at a time. Idle ones
    /// come first.
    /// @return false if all are in use
    bool closeUnused();

    int port() const { return m_port; }                        ///< @return the bound port
    std::size_t count() const { return m_connections.size(); } ///< @return number of open connections

    CallerConnectionHooks hooks;
    std::size_t maxCallers = SIZE_MAX;    // maximum number of open connections; further ones are closed at once
    std::size_t maxWithUnused = SIZE_MAX; // from this number on, unused ones are closed in favour of new ones
    std::function<bool()> makeRoom;       // optional: asked before a connection is taken; false: the process has no
                                          // descriptor for it
    std::function<void()> onCountChanged; // the number of open connections has changed

private:
    void accept();
    void addConnection(asio::ip::tcp::socket socket);
    void retryAcceptLater();
    void countRounds();
    void reportFull(const asio::ip::tcp::socket &socket) const;

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    DeadlineTimer m_retryTimer;
    DeadlineTimer m_roundTimer; // of the memory's rounds
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    int m_port = 0;
};

} // namespace galenafold
