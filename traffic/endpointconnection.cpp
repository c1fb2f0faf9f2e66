// Outgoing connections to replicas, and their pool.
#include "traffic/endpointconnection.h"

#include "net/status.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace galenafold
{

constexpr auto connectTimeout = std::chrono::milliseconds(300); // round trips between data centres take a few ms
constexpr auto idleMargin = std::chrono::milliseconds(500);     // reuse ends this long before the replica closes
constexpr auto defaultIdleTimeout = std::chrono::seconds(4);    // if the response has no Keep-Alive timeout
constexpr auto maxIdleTimeout = std::chrono::seconds(60);       // upper limit on the replica's Keep-Alive timeout
constexpr std::size_t maxIdleConnections = 8;                   // per replica
constexpr std::uint64_t maxResponseBytes = 64U << 20U;          // body, 64 MiB
constexpr std::uint32_t maxResponseHeadBytes = 32768;           // status line and fields

// Connection

EndpointConnection::EndpointConnection(asio::io_context &io, const HeaderCodec &headerCodec)
    : m_headerCodec(headerCodec)
    , m_connecting(io)
    , m_timer(io)
{
}

void EndpointConnection::connect(const asio::ip::tcp::endpoint &address, Instant deadline)
{
    const auto self = shared_from_this();
    m_connecting.async_connect(address, [self](const asio::error_code &error) { self->onConnected(error); });
    m_timer.expires_at(std::min(deadline, clockNow() + connectTimeout));
    m_timer.async_wait([self](const asio::error_code &error) {
        if (!error) {
            asio::error_code ignored; // the pending connect then completes with an error
            self->m_connecting.close(ignored);
        }
    });
}

void EndpointConnection::onConnected(const asio::error_code &error)
{
    m_timer.cancel();
    if (error) {
        fail(RequestProgress::NotSent);
        return;
    }
    startStream(std::move(m_connecting));
    if (!m_isBusy) {
        m_stream->close(); // cancelled while connecting
        return;
    }
    m_stream->write(m_unsent);
    m_unsent = std::string();
}

void EndpointConnection::startStream(asio::ip::tcp::socket socket)
{
    m_establishedAt = clockNow();
    m_lastReceivedAt = m_establishedAt;
    m_stream = std::make_shared<TcpStream>(std::move(socket));
    TcpStream::Hooks hooks;
    hooks.onBytes = [self = shared_from_this()](std::string_view bytes) { self->onBytes(bytes); };
    hooks.onEnd = [self = shared_from_this()](StreamEnd how) { self->onEnd(how); };
    m_stream->start(std::move(hooks));
}

void EndpointConnection::adopt(asio::ip::tcp::socket socket, Instant reuseDeadline)
{
    m_reuseDeadline = reuseDeadline;
    startStream(std::move(socket));
}

void EndpointConnection::resetParser()
{
    ParseLimits limits;
    limits.headBytes = maxResponseHeadBytes;
    limits.bodyBytes = maxResponseBytes;
    using Kind = MessageParser::Kind;
    m_parser = std::make_unique<MessageParser>(m_expectsNoBody ? Kind::ResponseWithoutBody : Kind::Response, limits);
    m_hasDeliveredHead = false;
}

void EndpointConnection::send(std::string bytes, RequestId request, bool expectsNoBody, EndpointRequestHooks hooks)
{
    m_isBusy = true;
    m_expectsNoBody = expectsNoBody;
    m_request = std::move(request);
    m_hooks = std::move(hooks);
    resetParser();
    if (!m_stream) {
        m_unsent = std::move(bytes);
        return;
    }
    m_sentBefore = m_stream->sent();
    m_stream->write(bytes);
}

/// Nothing that belongs to a request outlasts it: the next request on this connection starts afresh.
EndpointRequestHooks EndpointConnection::endRequest()
{
    m_isBusy = false;
    m_responseFields = ResponseFields();
    m_skippedBytes = 0;
    pauseReading(false); // the owner may have waited for its caller
    return std::exchange(m_hooks, EndpointRequestHooks());
}

/// `cancel` may be called from one of the callbacks, so they are destroyed later, on the event loop.
void EndpointConnection::cancel()
{
    asio::post(m_connecting.get_executor(), [hooks = endRequest()] {});
    m_isUnusable = true;
    m_timer.cancel();
    asio::error_code ignored; // fails if no connect is pending
    m_connecting.close(ignored);
    if (m_stream) {
        m_stream->close();
    }
}

void EndpointConnection::pauseReading(bool isPaused)
{
    if (m_stream) {
        m_stream->pauseReading(isPaused);
    }
}

void EndpointConnection::poll()
{
    if (m_stream) {
        const auto self = shared_from_this();
        m_stream->poll();
    }
}

bool EndpointConnection::isPeerOpen()
{
    return m_stream && m_stream->isPeerOpen();
}

bool EndpointConnection::mayHaveSent() const
{
    return m_stream && m_stream->sent() > m_sentBefore;
}

bool EndpointConnection::isReusable() const
{
    return m_stream && m_stream->isOpen() && !m_isBusy && !m_isUnusable && !m_isClosing && m_stream->pending() == 0;
}

bool EndpointConnection::checkReusable()
{
    if (isReusable()) {
        m_stream->poll();
    }
    return isReusable();
}

void EndpointConnection::onBytes(std::string_view bytes)
{
    m_lastReceivedAt = clockNow();
    if (!m_isBusy) {
        m_isUnusable = true; // unexpected input while idle
        m_stream->close();
        if (onIdleClosed) {
            onIdleClosed();
        }
        return;
    }
    readResponse(bytes);
}

/// A response with the id of another request is a late duplicate. It is skipped, as the expected one may still follow,
/// and the connection is not reused.
bool EndpointConnection::isForOtherRequest(const ResponseFields &response) const
{
    return !response.request.isEmpty() && response.request != m_request;
}

/// On a connection that served another request before, a refusal without an id may be that request's, written once
/// more. The replica may be running this request.
void EndpointConnection::ignoreUnattributableRefusal()
{
    const bool isReused = m_sentBefore > 0;
    if (isReused && m_responseFields.request.isEmpty()) {
        m_responseFields.reportsNotRun = false;
    }
}

void EndpointConnection::readResponse(std::string_view bytes)
{
    const auto self = shared_from_this();
    while (!bytes.empty() && m_isBusy) {
        const std::size_t used = m_parser->feed(bytes);
        bytes.remove_prefix(used);
        m_skippedBytes += m_hasDeliveredHead ? 0 : used;
        if (m_parser->fault() != ParseFault::None || m_skippedBytes > maxResponseBytes) {
            m_isUnusable = true;
            fail(m_hasDeliveredHead ? RequestProgress::HeadReceived : RequestProgress::MaybeSent);
            return;
        }
        if (!m_parser->isHeadDone()) {
            return;
        }
        if (!m_hasDeliveredHead) {
            m_responseFields = m_headerCodec.decodeResponse(m_parser->response());
            ignoreUnattributableRefusal();
        }
        const bool isInterim = m_parser->response().status < firstFinalStatus;
        if (isInterim || (!m_hasDeliveredHead && isForOtherRequest(m_responseFields))) {
            m_isUnusable = m_isUnusable || !isInterim;
            if (!m_parser->isDone()) {
                m_parser->body().clear();
                if (!bytes.empty()) {
                    continue;
                }
                return;
            }
            resetParser();
            continue;
        }
        if (!m_hasDeliveredHead) {
            m_hasDeliveredHead = true;
            m_isClosing = !m_parser->response().keepsAlive;
            if (m_hooks.onHead) {
                m_hooks.onHead(m_parser->response(), m_responseFields);
            }
        }
        if (m_isBusy && !m_parser->body().empty() && m_hooks.onBody) {
            m_hooks.onBody(m_parser->body());
        }
        if (m_isBusy && m_parser->isDone()) {
            m_isUnusable = m_isUnusable || !bytes.empty(); // unexpected input after the response
            finish();
            return;
        }
    }
}

void EndpointConnection::onEnd(StreamEnd how)
{
    m_isUnusable = true;
    if (!m_isBusy) {
        if (onIdleClosed) {
            onIdleClosed();
        }
        return;
    }
    if (how == StreamEnd::Finished && m_hasDeliveredHead && m_parser->response().isCloseDelimited) {
        m_parser->feedEof();
        if (m_parser->isDone()) {
            finish();
            return;
        }
    }
    const bool isUnsent = m_stream->sent() == m_sentBefore;
    fail(m_hasDeliveredHead ? RequestProgress::HeadReceived
             : isUnsent     ? RequestProgress::NotSent
                            : RequestProgress::MaybeSent);
}

void EndpointConnection::finish()
{
    const auto self = shared_from_this();
    const Duration idleTimeout =
        std::min<Duration>(m_responseFields.keepAliveTimeout.value_or(defaultIdleTimeout), maxIdleTimeout);
    m_reuseDeadline = clockNow() + std::max<Duration>(idleTimeout - idleMargin, idleTimeout / 2);
    const EndpointRequestHooks hooks = endRequest();
    if (!isReusable() && m_stream) {
        m_stream->close();
    }
    hooks.onDone();
}

void EndpointConnection::fail(RequestProgress progress)
{
    const auto self = shared_from_this();
    m_isUnusable = true;
    if (m_stream) {
        m_stream->close();
    }
    const EndpointRequestHooks hooks = endRequest();
    if (hooks.onFailed) {
        hooks.onFailed(progress);
    }
}

// Pool

ConnectionPool::ConnectionPool(asio::io_context &io, const HeaderCodec &headerCodec)
    : m_io(io)
    , m_headerCodec(headerCodec)
{
}

ConnectionPool::~ConnectionPool()
{
    while (!m_idle.empty()) {
        closeIdle(EndpointId(m_idle.begin()->first));
    }
}

std::shared_ptr<EndpointConnection> ConnectionPool::acquire(Instant now, const EndpointId &endpoint, bool mustCheckOpen,
                                                            bool &isNew)
{
    auto &idle = m_idle[endpoint];
    while (!idle.empty()) {
        const auto connection = idle.back();
        idle.pop_back();
        const bool isUsable = now < connection->reuseDeadline()
            && (mustCheckOpen ? connection->checkReusable() : connection->isReusable());
        if (isUsable) {
            connection->onIdleClosed = nullptr;
            isNew = false;
            return connection;
        }
        connection->cancel();
    }
    isNew = true;
    return create(endpoint);
}

static void dropExpired(std::vector<std::weak_ptr<EndpointConnection>> &connections)
{
    const auto isExpired = [](const std::weak_ptr<EndpointConnection> &entry) { return entry.expired(); };
    connections.erase(std::remove_if(connections.begin(), connections.end(), isExpired), connections.end());
}

std::shared_ptr<EndpointConnection> ConnectionPool::create(const EndpointId &endpoint)
{
    const auto connection = std::make_shared<EndpointConnection>(m_io, m_headerCodec);
    connection->countedBy = m_counter;
    auto &all = m_all[endpoint];
    dropExpired(all);
    all.push_back(connection);
    return connection;
}

void ConnectionPool::adopt(const EndpointId &endpoint, asio::ip::tcp::socket socket, Instant reuseDeadline)
{
    const auto connection = create(endpoint);
    connection->adopt(std::move(socket), reuseDeadline);
    release(endpoint, connection);
}

std::vector<std::weak_ptr<EndpointConnection>> ConnectionPool::establishedBy(Instant when,
                                                                             const EndpointId &endpoint) const
{
    std::vector<std::weak_ptr<EndpointConnection>> established;
    const auto found = m_all.find(endpoint);
    if (found == m_all.end()) {
        return established;
    }
    for (const auto &entry : found->second) {
        const auto connection = entry.lock();
        if (connection && connection->establishedAt() <= when && connection->isPeerOpen()) {
            established.push_back(entry);
        }
    }
    return established;
}

void ConnectionPool::release(const EndpointId &endpoint, const std::shared_ptr<EndpointConnection> &connection)
{
    auto &idle = m_idle[endpoint];
    if (!connection->isReusable() || idle.size() >= maxIdleConnections) {
        connection->cancel();
        return;
    }
    idle.push_back(connection);
    connection->onIdleClosed = [this, endpoint, raw = connection.get()] {
        auto &connections = m_idle[endpoint];
        const auto isSame = [raw](const std::shared_ptr<EndpointConnection> &other) { return other.get() == raw; };
        connections.erase(std::remove_if(connections.begin(), connections.end(), isSame), connections.end());
    };
}

void ConnectionPool::closeIdle(const EndpointId &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return;
    }
    const auto connections = std::move(found->second);
    m_idle.erase(found);
    for (const auto &connection : connections) {
        connection->onIdleClosed = nullptr;
        connection->cancel();
    }
}

bool ConnectionPool::closeOneIdle()
{
    for (auto &[endpoint, connections] : m_idle) {
        if (!connections.empty()) {
            const auto leastUsed = connections.front();
            connections.erase(connections.begin());
            leastUsed->onIdleClosed = nullptr;
            leastUsed->cancel();
            return true;
        }
    }
    return false;
}

void ConnectionPool::closeExpired(Instant now)
{
    for (auto &[endpoint, connections] : m_idle) {
        const auto isExpired = [now](const std::shared_ptr<EndpointConnection> &connection) {
            return now >= connection->reuseDeadline();
        };
        for (const auto &connection : connections) {
            if (isExpired(connection)) {
                connection->onIdleClosed = nullptr;
                connection->cancel();
            }
        }
        connections.erase(std::remove_if(connections.begin(), connections.end(), isExpired), connections.end());
    }
    for (auto entry = m_all.begin(); entry != m_all.end();) {
        dropExpired(entry->second);
        entry = entry->second.empty() ? m_all.erase(entry) : std::next(entry);
    }
}

} // namespace galenafold
