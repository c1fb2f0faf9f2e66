// HTTP connection to the platform's store.
#include "runtime/storeconnection.h"

namespace galenafold
{

constexpr std::uint64_t maxResponseBytes = 32U << 20U;

StoreConnection::StoreConnection(asio::io_context &io, std::string address)
    : m_io(io)
    , m_address(std::move(address))
    , m_timer(io)
{
}

void StoreConnection::call(std::string request, Instant deadline, StoreCallHooks hooks)
{
    const std::uint64_t generation = ++m_generation;
    m_isCalling = true;
    m_request = std::move(request);
    m_hooks = std::move(hooks);
    m_transfer = StoreTransfer();
    m_timer.expires_at(deadline);
    m_timer.async_wait([this, generation](const asio::error_code &error) {
        if (!error && generation == m_generation && m_isCalling) {
            fail("timeout");
        }
    });
    if (m_stream && m_stream->isOpen()) {
        send();
    } else {
        connect();
    }
}

void StoreConnection::connect()
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

void StoreConnection::send()
{
    ++m_calls;
    ParseLimits limits;
    limits.bodyBytes = maxResponseBytes;
    m_parser = std::make_unique<MessageParser>(MessageParser::Kind::Response, limits);
    m_stream->write(m_request);
}

void StoreConnection::onBytes(std::string_view bytes)
{
    if (!m_isCalling) {
        disconnect(); // unsolicited bytes
        return;
    }
    if (!m_transfer.firstBytesAt) {
        m_transfer.firstBytesAt = clockNow();
    }
    m_transfer.bytes += bytes.size();
    const std::size_t used = m_parser->feed(bytes);
    if (m_parser->fault() != ParseFault::None || used < bytes.size()) {
        fail("malformed");
    } else if (m_parser->isDone()) {
        finish();
    }
}

void StoreConnection::finish()
{
    m_isCalling = false;
    m_timer.cancel();
    const std::unique_ptr<MessageParser> parser = std::move(m_parser);
    const StoreCallHooks hooks = std::move(m_hooks);
    if (!parser->response().keepsAlive) {
        disconnect();
    }
    hooks.onResponse({parser->response().status, parser->response().fields, std::move(parser->body())});
}

void StoreConnection::fail(const char *reason)
{
    m_isCalling = false;
    ++m_failures;
    ++m_generation;
    m_timer.cancel();
    disconnect();
    const StoreCallHooks hooks = std::move(m_hooks);
    hooks.onFailure(reason);
}

void StoreConnection::disconnect()
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
