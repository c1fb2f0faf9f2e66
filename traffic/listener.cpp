// Accepts caller connections.
#include "traffic/listener.h"

namespace galenafold
{

constexpr auto acceptRetryDelay = std::chrono::milliseconds(20); // if out of file descriptors, some may be free by then

CallerListener::CallerListener(asio::io_context &io)
    : m_io(io)
    , m_acceptor(io)
    , m_retryTimer(io)
{
    hooks.onClosed = [this](const std::shared_ptr<CallerConnection> &connection) {
        m_connections.erase(connection);
        if (onCountChanged) {
            onCountChanged();
        }
    };
    hooks.onRejected = [](int, const char *) {};
    hooks.limits = [] { return CallerLimits(); };
    hooks.isDraining = [] { return false; };
}

CallerListener::~CallerListener()
{
    onCountChanged = nullptr;
    const auto connections = m_connections; // a copy, as closing a connection modifies the set
    for (const auto &connection : connections) {
        connection->abortResponse();
    }
}

bool CallerListener::start(const std::string &address)
{
    if (!listenOn(m_acceptor, address)) {
        return false;
    }
    m_port = m_acceptor.local_endpoint().port();
    accept();
    return true;
}

void CallerListener::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            retryAcceptLater();
            return;
        }
        addConnection(std::move(socket));
        accept();
    });
}

/// Retries after a delay, as immediate retries of a persistent error would be a busy loop.
void CallerListener::retryAcceptLater()
{
    m_retryTimer.expires_at(clockNow() + acceptRetryDelay);
    m_retryTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            accept();
        }
    });
}

void CallerListener::addConnection(asio::ip::tcp::socket socket)
{
    if (m_connections.size() >= maxCallers) {
        return; // destroying the socket closes it
    }
    const auto connection = std::make_shared<CallerConnection>(m_io, std::move(socket), hooks);
    m_connections.insert(connection);
    if (onCountChanged) {
        onCountChanged();
    }
    connection->start();
}

void CallerListener::stopAccepting()
{
    asio::error_code ignored; // already closed by an earlier call
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
    const auto connections = m_connections; // a copy, as closing a connection modifies the set
    for (const auto &connection : connections) {
        connection->closeIfIdle();
    }
}

void CallerListener::endRequests()
{
    const auto connections = m_connections; // a copy, as ending a request may close its connection
    for (const auto &connection : connections) {
        connection->endRequest();
    }
}

} // namespace galenafold
