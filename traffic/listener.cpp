// Accepts caller connections.
#include "traffic/listener.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace galenafold
{

constexpr auto acceptRetryDelay = std::chrono::milliseconds(20); // if out of file descriptors, some may be free by then
constexpr std::size_t connectionsForEachClosed = 64;             // one of so many is closed at a time, at the limit
constexpr auto roundInterval = std::chrono::seconds(1);          // of the memory's account

CallerListener::CallerListener(asio::io_context &io)
    : m_io(io)
    , m_acceptor(io)
    , m_retryTimer(io)
    , m_roundTimer(io)
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
    if (hooks.receiveBytes > 0) {
        asio::error_code ignored; // the connections then have buffers of the system's default size
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(hooks.receiveBytes), ignored);
    }
    accept();
    countRounds();
    return true;
}

void CallerListener::countRounds()
{
    m_roundTimer.expires_at(clockNow() + roundInterval);
    m_roundTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            hooks.memory->nextRound();
            countRounds();
        }
    });
}

void CallerListener::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            closeUnused();
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
    const bool isFull = m_connections.size() >= maxCallers || (m_connections.size() >= maxWithUnused && !closeUnused());
    if (isFull || (makeRoom && !makeRoom())) {
        reportFull(socket);
        return; // destroying the socket closes it
    }
    const auto connection = std::make_shared<CallerConnection>(m_io, std::move(socket), hooks);
    m_connections.insert(connection);
    if (onCountChanged) {
        onCountChanged();
    }
    connection->start();
}

void CallerListener::reportFull(const asio::ip::tcp::socket &socket) const
{
    if (!hooks.onRefused) {
        return;
    }
    CallerRefusal refusal;
    refusal.bound = "descriptors";
    asio::error_code error;
    const auto from = socket.remote_endpoint(error);
    if (!error) {
        refusal.from = from.address().to_string() + ':' + std::to_string(from.port());
    }
    hooks.onRefused(refusal);
}

/// Load pattern: connections are opened and never used, until the process has no descriptor left for its replicas. Some
/// are closed at a time, as finding them takes a look at all.
bool CallerListener::closeUnused()
{
    using Ranked =
        std::tuple<bool, Instant, std::shared_ptr<CallerConnection>>; // idle ones first, longest unused first
    const Instant now = clockNow();
    std::vector<Ranked> unused;
    for (const auto &connection : m_connections) {
        if (const auto since = connection->unusedSince(now)) {
            unused.emplace_back(!connection->isIdle(), *since, connection);
        }
    }
    const std::size_t count = std::min(unused.size(), 1 + m_connections.size() / connectionsForEachClosed);
    std::partial_sort(unused.begin(), unused.begin() + static_cast<std::ptrdiff_t>(count), unused.end());
    for (std::size_t i = 0; i < count; ++i) {
        const auto &[isInRequest, since, connection] = unused[i];
        if (i == 0 || !isInRequest) {
            connection->closeUnused("descriptors_unused");
        }
    }
    return count > 0;
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
