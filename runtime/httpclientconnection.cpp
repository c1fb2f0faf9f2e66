// HTTP connection to the platform's store, or to another router.
#include "runtime/httpclientconnection.h"

namespace galenafold
{

constexpr std::uint64_t maxResponseBytes = 32U << 20U;
constexpr auto progressTimeout = std::chrono::milliseconds(700); // for the next `progressBytes` of a response
constexpr std::size_t progressBytes = 16 << 10;                  // a slower response counts as stopped

HttpClientConnection::HttpClientConnection(asio::io_context &io, std::string address)
    : m_io(io)
    , m_address(std::move(address))
    , m_timer(io)
{
}

void HttpClientConnection::call(std::string request, Instant deadline, ClientCallHooks hooks)
{
    ++m_generation;
    m_isCalling = true;
    m_request = std::move(request);
    m_hooks = std::move(hooks);
    m_transfer = ResponseTransfer();
    m_deadline = deadline;
    m_bytesAtDeadline = 0;
    armTimer();
    if (m_stream && m_stream->isOpen()) {
        send();
    } else {
        connect();
    }
}

/// For an earlier deadline the timer is re-armed at once; a later one is applied when it fires.
void HttpClientConnection::armTimer()
{
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([this, generation = m_generation](const asio::error_code &error) {
        if (!error && generation == m_generation && m_isCalling) {
            onTimer();
        }
    });
}

/// After a VM suspension, or a long step of this thread, the timer may fire before input that has arrived.
void HttpClientConnection::onTimer()
{
    const std::uint64_t generation = m_generation;
    if (m_stream) {
        const auto stream = m_stream; // reading may end the call
        stream->poll();
    }
    if (generation != m_generation || !m_isCalling) {
        return;
    }
    if (clockNow() < m_deadline) {
        armTimer();
    } else {
        fail("timeout");
    }
}

void HttpClientConnection::noteProgress(std::size_t bytes)
{
    const Instant now = clockNow();
    const bool isFirst = !m_transfer.firstBytesAt;
    m_transfer.bytes += bytes;
    if (isFirst) {
        m_transfer.firstBytesAt = now;
    }
    if (!isFirst && m_transfer.bytes < m_bytesAtDeadline + progressBytes) {
        return;
    }
    m_bytesAtDeadline = m_transfer.bytes;
    const Instant before = m_deadline;
    m_deadline = now + progressTimeout;
    if (m_deadline < before) {
        armTimer();
    }
}

void HttpClientConnection::connect()
{
    const auto address = parseAddress(m_address);
    if (!address) {
        fail("bad_address");
        return;
    }
    m_pendingSocket = std::make_shared<asio::ip::tcp::socket>(m_io);
    const auto socket = m_pendingSocket;
    m_pendingSocket->async_connect(*address, [this, generation = m_generation, socket](const asio::error_code &error) {
        if (generation != m_generation || !m_isCalling) {
            return;
        }
        if (error) {
            fail("connect");
            return;
        }
        m_stream = std::make_shared<TcpStream>(std::move(*socket));
        TcpStream::Hooks hooks;
        hooks.onBytes = [this](std::string_view bytes) { onBytes(bytes); };
        hooks.onEnd = [this](StreamEnd) {
            if (m_isCalling) {
                fail("closed");
            }
        };
        m_stream->start(std::move(hooks));
        send();
    });
}

void HttpClientConnection::send()
{
    ++m_calls;
    ParseLimits limits;
    limits.bodyBytes = maxResponseBytes;
    m_parser = std::make_unique<MessageParser>(MessageParser::Kind::Response, limits);
    m_stream->write(m_request);
}

void HttpClientConnection::onBytes(std::string_view bytes)
{
    if (!m_isCalling) {
        disconnect(); // unsolicited bytes
        return;
    }
    noteProgress(bytes.size());
    const std::size_t used = m_parser->feed(bytes);
    if (m_parser->fault() != ParseFault::None || used < bytes.size()) {
        fail("malformed");
    } else if (m_parser->isDone()) {
        finish();
    }
}

void HttpClientConnection::finish()
{
    m_isCalling = false;
    m_transfer.isComplete = true;
    m_timer.cancel();
    const std::unique_ptr<MessageParser> parser = std::move(m_parser);
    const ClientCallHooks hooks = std::move(m_hooks);
    if (!parser->response().keepsAlive) {
        disconnect();
    }
    hooks.onResponse({parser->response().status, parser->response().fields, std::move(parser->body())});
}

void HttpClientConnection::fail(const char *reason)
{
    m_isCalling = false;
    ++m_failures;
    ++m_generation;
    m_timer.cancel();
    disconnect();
    const ClientCallHooks hooks = std::move(m_hooks);
    hooks.onFailure(reason);
}

void HttpClientConnection::abandon()
{
    m_isCalling = false;
    ++m_generation;
    m_timer.cancel();
    m_hooks = ClientCallHooks();
    disconnect();
}

void HttpClientConnection::setAddress(const std::string &address)
{
    if (address != m_address) {
        disconnect();
        m_address = address;
    }
}

void HttpClientConnection::disconnect()
{
    if (m_pendingSocket) {
        asio::error_code ignored; // the connection attempt is abandoned
        m_pendingSocket->close(ignored);
        m_pendingSocket.reset();
    }
    if (m_stream) {
        m_stream->close();
        m_stream.reset();
    }
}

} // namespace galenafold
