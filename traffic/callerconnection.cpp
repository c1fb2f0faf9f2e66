// One caller's connection.
#include "traffic/callerconnection.h"

#include "net/status.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t mostHeldBytes = 65536; // sent ahead of the answer at hand; more is left in the socket

CallerConnection::CallerConnection(asio::io_context &io, asio::ip::tcp::socket socket, const CallerHooks &hooks)
    : m_io(io)
    , m_hooks(hooks)
    , m_stream(std::make_shared<TcpStream>(std::move(socket)))
    , m_timer(io)
{
}

void CallerConnection::start()
{
    m_limits = m_hooks.limits();
    m_readBy = clockNow() + m_limits.idleTimeout;
    armTimer();
    TcpStream::Hooks hooks;
    hooks.onBytes = [self = shared_from_this()](std::string_view bytes) { self->onBytes(bytes); };
    hooks.onEnd = [self = shared_from_this()](StreamEnd) { self->onEnd(); };
    hooks.onDrained = [self = shared_from_this()] {
        if (self->onDrained) {
            self->onDrained();
        }
    };
    m_stream->start(std::move(hooks));
}

// Reading

void CallerConnection::onBytes(std::string_view bytes)
{
    if (m_state == State::Answering) {
        m_held.append(bytes);
        if (m_held.size() > mostHeldBytes) {
            m_stream->pauseReading(true);
        }
        return;
    }
    feed(bytes);
}

void CallerConnection::feed(std::string_view bytes)
{
    if (m_state == State::Idle) {
        // Stray line ends between requests are allowed by the protocol.
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
        if (bytes.empty()) {
            return;
        }
        m_state = State::Reading;
        m_arrival = clockNow();
        m_limits = m_hooks.limits();
        m_readBy = m_arrival + m_limits.headTimeout;
        if (m_readBy < m_timer.expiry()) {
            armTimer();
        }
        m_isHeadSeen = false;
        ParseLimits limits;
        limits.headBytes = m_limits.headBytes;
        limits.bodyBytes = m_limits.bodyBytes;
        m_parser = std::make_unique<MessageParser>(MessageParser::Kind::Request, limits);
    }
    const std::size_t used = m_parser->feed(bytes);
    switch (m_parser->fault()) {
    case ParseFault::None:
        break;
    case ParseFault::HeadTooLarge:
        reject(statusHeadTooLarge, "head_too_large");
        return;
    case ParseFault::BodyTooLarge:
        reject(statusContentTooLarge, "body_too_large");
        return;
    case ParseFault::Malformed:
        reject(statusBadRequest, "malformed");
        return;
    }
    if (m_parser->isHeadDone()) {
        m_readBy = clockNow() + m_limits.idleTimeout;
        if (!m_isHeadSeen) {
            m_isHeadSeen = true;
            const std::string *expect = findField(m_parser->request().fields, "expect");
            if (expect && equalsIgnoringCase(*expect, "100-continue") && !m_parser->isDone()) {
                m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
    }
    if (m_parser->isDone()) {
        m_held.assign(bytes.substr(used));
        finishReading();
    }
}

static int countField(const HttpFields &fields, std::string_view name)
{
    return static_cast<int>(std::count_if(
        fields.begin(), fields.end(), [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); }));
}

void CallerConnection::finishReading()
{
    CallerRequest request;
    request.head = std::move(m_parser->request());
    request.body = std::move(m_parser->body());
    request.arrival = m_arrival;
    m_parser.reset();
    if (countField(request.head.fields, "host") != 1 || request.head.target.front() != '/') {
        reject(statusBadRequest, "host_or_target");
        return;
    }
    m_state = State::Answering;
    m_keepsAlive = request.head.keepsAlive;
    m_takesChunks = request.head.isHttp11;
    m_isHeadRequest = request.head.method == "HEAD";
    m_hooks.onRequest(shared_from_this(), std::move(request));
}

void CallerConnection::reject(int status, const char *why)
{
    m_hooks.onRejected(status, why);
    m_state = State::Answering;
    m_keepsAlive = false;
    HttpFields fields;
    const std::string body = m_hooks.describeRejection ? m_hooks.describeRejection(status, fields) : std::string();
    answer(status, fields, body);
}

// Timing. The timer is moved to an earlier deadline at once, to a later one lazily: it fires, looks and is set again.

void CallerConnection::armTimer()
{
    m_timer.expires_at(m_readBy);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->onTimer();
        }
    });
}

void CallerConnection::onTimer()
{
    const Instant now = clockNow();
    if (m_state == State::Closed) {
        return;
    }
    if (m_state == State::Answering) {
        m_readBy = now + m_limits.idleTimeout;
    } else if (now >= m_readBy) {
        if (m_state == State::Idle) {
            close();
        } else {
            reject(statusRequestTimeout, "read_timeout");
        }
        return;
    }
    armTimer();
}

// Answering

bool CallerConnection::endsAfterAnswer() const
{
    return !m_keepsAlive || m_hooks.isDraining();
}

void CallerConnection::appendHead(std::string &out, int status, const HttpFields &fields)
{
    out += "HTTP/1.1 " + std::to_string(status) + ' ' + statusPhrase(status) + "\r\n";
    for (const HttpField &field : fields) {
        appendField(out, field.name, field.value);
    }
    if (endsAfterAnswer()) {
        m_keepsAlive = false;
        appendField(out, "Connection", "close");
    }
}

void CallerConnection::answer(int status, const HttpFields &fields, std::string_view body)
{
    if (m_state != State::Answering) {
        return;
    }
    std::string bytes;
    appendHead(bytes, status, fields);
    const bool mayHaveBody = status >= firstFinalStatus && status != statusNoContent && status != statusNotModified;
    if (mayHaveBody && !m_isHeadRequest) {
        appendField(bytes, "Content-Length", std::to_string(body.size()));
    }
    bytes += "\r\n";
    if (mayHaveBody && !m_isHeadRequest) {
        bytes += body;
    }
    m_stream->write(bytes);
    nextRequest();
}

void CallerConnection::beginStream(int status, const HttpFields &fields)
{
    std::string bytes;
    if (!m_takesChunks) {
        m_keepsAlive = false; // the body ends with the connection
    }
    appendHead(bytes, status, fields);
    if (m_takesChunks) {
        appendField(bytes, "Transfer-Encoding", "chunked");
    }
    bytes += "\r\n";
    m_stream->write(bytes);
}

void CallerConnection::streamBytes(std::string_view bytes)
{
    if (!m_takesChunks) {
        m_stream->write(bytes);
        return;
    }
    std::string chunk;
    appendChunk(chunk, bytes);
    m_stream->write(chunk);
}

void CallerConnection::endStream()
{
    if (m_takesChunks) {
        m_stream->write(lastChunk);
    }
    nextRequest();
}

void CallerConnection::abortResponse()
{
    if (m_state == State::Closed) {
        return;
    }
    if (!m_takesChunks) {
        m_stream->reset(); // a plain end would look like a whole answer
    }
    close();
}

void CallerConnection::nextRequest()
{
    onDisconnected = nullptr;
    onDrained = nullptr;
    if (m_state == State::Closed) {
        return;
    }
    if (!m_keepsAlive) {
        m_state = State::Closed;
        m_timer.cancel();
        m_stream->closeWhenDrained();
        m_hooks.onClosed(shared_from_this());
        return;
    }
    m_state = State::Idle;
    m_readBy = clockNow() + m_limits.idleTimeout;
    m_stream->pauseReading(false);
    if (!m_held.empty()) {
        // From the loop: a caller that sends many requests ahead must not nest their answers.
        asio::post(m_io, [self = shared_from_this()] {
            if (self->m_state == State::Idle && !self->m_held.empty()) {
                const std::string bytes = std::move(self->m_held);
                self->m_held.clear();
                self->feed(bytes);
            }
        });
    }
}

void CallerConnection::closeIfIdle()
{
    if (m_state == State::Idle) {
        close();
    }
}

void CallerConnection::onEnd()
{
    const auto gone = std::move(onDisconnected);
    close();
    if (gone) {
        gone();
    }
}

void CallerConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    onDisconnected = nullptr;
    onDrained = nullptr;
    m_timer.cancel();
    m_stream->close();
    m_hooks.onClosed(shared_from_this());
}

} // namespace galenafold
