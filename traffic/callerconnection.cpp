// One caller's connection. @see callerresponse.cpp for how it is responded to
//
// Sections of this file: Reading, Memory, Timer, Next request.
#include "traffic/callerconnection.h"

#include "net/status.h"

#include <algorithm>
#include <utility>

namespace galenafold
{

constexpr std::size_t maxPipelinedBytes = 16384; // above this, reading pauses and further input stays in the socket
constexpr std::size_t maxUnsentBytes = 32768;    // above this, the next request waits until the caller has taken more
constexpr std::size_t minBodyRoom = 65536;       // first room for a body of unknown length
constexpr std::size_t readBytes = 32768;         // that a stream delivers at a time
constexpr auto unusedAfter = std::chrono::seconds(1);  // without input in the middle of a request
constexpr auto untakenAfter = std::chrono::seconds(5); // without output; the kernel accepts it in large pieces
constexpr std::string_view refusalRetryAfter = "1";    // seconds; some memory is free again by then, mostly

CallerConnection::CallerConnection(asio::io_context &io, asio::ip::tcp::socket socket,
                                   const CallerConnectionHooks &hooks)
    : m_io(io)
    , m_hooks(hooks)
    , m_stream(std::make_shared<TcpStream>(std::move(socket)))
    , m_timer(io)
    , m_share(hooks.memory, MemoryUse::AwaitsCaller)
{
}

void CallerConnection::start()
{
    m_limits = m_hooks.limits();
    m_lastInput = clockNow();
    m_readDeadline = m_lastInput + m_limits.idleTimeout;
    m_share.onGivenUp = [this] { onMemoryTaken(); };
    armTimer();
    TcpStream::Hooks hooks;
    hooks.onBytes = [self = shared_from_this()](std::string_view bytes) { self->onBytes(bytes); };
    hooks.onEnd = [self = shared_from_this()](StreamEnd) { self->onEnd(); };
    hooks.onDrained = [self = shared_from_this()] { self->onStreamDrained(); };
    hooks.onSent = [self = shared_from_this()](std::size_t bytes) {
        self->m_lastInput = clockNow();
        self->m_share.onMoved(bytes);
    };
    m_stream->start(std::move(hooks));
}

// Reading

/// A request is read while its share of the memory lasts.
void CallerConnection::onBytes(std::string_view bytes)
{
    if (m_state == State::Finishing || m_state == State::Closed) {
        return; // no request is read any more
    }
    m_lastInput = clockNow();
    m_share.onMoved(bytes.size());
    const bool isBehindOtherInput = !m_pipelined.empty(); // which waits for its turn on the event loop
    if (m_state == State::Processing || isBehindOtherInput) {
        m_pipelined.append(bytes);
        if (m_pipelined.size() > maxPipelinedBytes) {
            m_stream->pauseReading(true);
        }
        noteHeldBytes();
        return;
    }
    feed(bytes);
}

void CallerConnection::feed(std::string_view bytes)
{
    if (m_state == State::Idle) {
        // HTTP allows empty lines before the request line.
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
        if (bytes.empty()) {
            return;
        }
        m_state = State::Reading;
        m_arrival = m_lastInput;
        m_limits = m_hooks.limits();
        m_readDeadline = m_arrival + m_limits.headTimeout;
        if (m_readDeadline < m_timer.expiry()) {
            armTimer();
        }
        m_hasHead = false;
        m_bodyRoom = 0;
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
        reject(statusFieldsTooLarge, "head_too_large");
        return;
    case ParseFault::BodyTooLarge:
        reject(statusContentTooLarge, "body_too_large");
        return;
    case ParseFault::Malformed:
        reject(statusBadRequest, "malformed");
        return;
    }
    if (m_parser->isHeadDone()) {
        m_readDeadline = m_lastInput + m_limits.idleTimeout;
        if (!m_parser->isDone() && !reserveBody()) {
            reject(statusUnavailable, "memory");
            return;
        }
        if (m_state != State::Reading) {
            return;
        }
        if (!m_hasHead) {
            m_hasHead = true;
            const std::string *expect = findField(m_parser->request().fields, "expect");
            if (expect && equalsIgnoringCase(*expect, "100-continue") && !m_parser->isDone()) {
                m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
    }
    if (m_parser->isDone()) {
        m_pipelined.assign(bytes.substr(used));
        finishReading();
    } else {
        noteHeldBytes();
    }
}

/// Makes room for the whole body where the head tells its length, so that a caller learns at once that there is none;
/// otherwise for as much as twice what has come.
/// @return false if there is no room
bool CallerConnection::reserveBody()
{
    std::string &body = m_parser->body();
    const auto limit = static_cast<std::size_t>(m_limits.bodyBytes);
    if (m_bodyRoom >= std::min(body.size() + readBytes, limit) || (m_hasHead && m_parser->declaredLength())) {
        return true;
    }
    const std::size_t step = std::max(minBodyRoom, 2 * body.size());
    const std::size_t room = std::min<std::size_t>(m_parser->declaredLength().value_or(step), limit);
    const std::size_t roomBefore = std::exchange(m_bodyRoom, room);
    if (!m_share.tryResize(heldBytes())) {
        m_bodyRoom = roomBefore;
        return false;
    }
    if (m_state != State::Reading) {
        return true; // making room has taken this connection's share as well
    }
    body.reserve(room);
    return true;
}

static int countField(const HttpFields &fields, std::string_view name)
{
    return static_cast<int>(std::count_if(
        fields.begin(), fields.end(), [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); }));
}

void CallerConnection::finishReading()
{
    m_requestBytes = m_parser->heldBytes() + m_hooks.bodyCopies * m_parser->body().capacity();
    m_bodyRoom = 0;
    CallerRequest request;
    request.head = std::move(m_parser->request());
    request.body = std::move(m_parser->body());
    request.arrival = m_arrival;
    m_parser.reset();
    if (countField(request.head.fields, "host") != 1 || request.head.target.front() != '/') {
        reject(statusBadRequest, "host_or_target");
        return;
    }
    const bool hasRoom = m_share.tryResize(heldBytes());
    if (m_state != State::Reading) {
        return; // making room has taken this connection's share as well
    }
    if (!hasRoom) {
        reject(statusUnavailable, "memory");
        return;
    }
    m_state = State::Processing;
    m_share.setUse(MemoryUse::InProgress);
    m_keepsAlive = request.head.keepsAlive;
    m_acceptsChunks = request.head.isHttp11;
    m_isHeadRequest = request.head.method == "HEAD";
    try {
        m_hooks.onRequest(shared_from_this(), std::move(request));
    } catch (const std::exception &error) { // an invariant of this request is broken: the others go on
        m_hooks.onRejected(statusInternalError, error.what());
        m_keepsAlive = false;
        sendResponse(statusInternalError, {}, ""); // says nothing of whether it has run
    }
}

void CallerConnection::reject(int status, const char *why)
{
    if (status == statusUnavailable) {
        report(why, status);
    } else {
        m_hooks.onRejected(status, why);
    }
    m_parser.reset();
    m_pipelined = std::string();
    m_bodyRoom = 0;
    m_state = State::Processing;
    m_keepsAlive = false;
    HttpFields fields;
    const std::string body = m_hooks.describeRejection ? m_hooks.describeRejection(status, fields) : std::string();
    if (status == statusUnavailable) {
        fields.push_back({"Retry-After", std::string(refusalRetryAfter)});
    }
    sendResponse(status, fields, body);
}

// Memory

std::size_t CallerConnection::heldBytes() const
{
    std::size_t bytes = m_requestBytes + m_stream->heldBytes();
    bytes += m_pipelined.empty() ? 0 : m_pipelined.capacity();
    bytes += m_stream->isPaused() ? static_cast<std::size_t>(m_hooks.receiveBytes) : 0; // that the kernel may hold
    if (m_parser) {
        bytes += m_parser->heldBytes() + m_hooks.bodyCopies * std::max(m_bodyRoom, m_parser->body().size());
    }
    return bytes;
}

/// Load pattern: a caller that sends requests ahead, or does not take its stream, holds memory while its request is in
/// progress at a replica; so that does not protect it.
void CallerConnection::noteHeldBytes()
{
    const bool isInProgress =
        m_state == State::Processing && m_stream->pending() == 0 && m_pipelined.size() <= m_limits.headBytes;
    m_share.setUse(isInProgress ? MemoryUse::InProgress : MemoryUse::AwaitsCaller);
    m_share.resize(heldBytes());
}

/// A request that is not complete has not run, and its caller is told so.
void CallerConnection::onMemoryTaken()
{
    const auto self = shared_from_this();
    if (m_state == State::Closed) {
        return;
    }
    if (m_state == State::Reading) {
        reject(statusUnavailable, "memory_stalled");
        return;
    }
    report("memory_unread", 0);
    const auto callback = std::move(onDisconnected);
    m_stream->reset();
    close();
    if (callback) {
        callback();
    }
}

void CallerConnection::report(const char *bound, int status) const
{
    if (m_hooks.onRefused) {
        m_hooks.onRefused({bound, status, m_stream->peerAddress(), heldBytes()});
    }
}

void CallerConnection::refuse(const char *bound)
{
    if (m_state == State::Processing) {
        reject(statusUnavailable, bound);
    }
}

std::optional<Instant> CallerConnection::unusedSince(Instant now) const
{
    const bool hasNothing = m_state == State::Idle && m_pipelined.empty() && m_stream->pending() == 0;
    const bool hasStopped = m_state == State::Reading && now >= m_lastInput + unusedAfter;
    const bool isSending = m_state == State::Idle || m_state == State::Finishing;
    const bool takesNothing = isSending && m_stream->pending() > 0 && now >= m_lastInput + untakenAfter;
    return hasNothing || hasStopped || takesNothing ? std::optional<Instant>(m_lastInput) : std::nullopt;
}

void CallerConnection::closeUnused(const char *bound)
{
    report(bound, 0);
    if (m_stream->pending() > 0) {
        m_stream->reset(); // an orderly close would look like a complete response
    }
    close();
}

// Timer. For an earlier deadline it is re-armed at once; a later one is applied when it fires.

void CallerConnection::armTimer()
{
    m_timer.expires_at(m_readDeadline);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->onTimer();
        }
    });
}

void CallerConnection::onTimer()
{
    const Instant now = clockNow();
    if (m_state == State::Finishing || m_state == State::Closed) {
        return;
    }
    if (m_state == State::Processing) {
        m_readDeadline = now + m_limits.idleTimeout;
    } else if (now >= m_readDeadline) {
        if (m_state == State::Reading) {
            reject(statusRequestTimeout, "read_timeout");
            return;
        }
        if (!isStillTaking()) {
            close();
            return;
        }
        m_readDeadline = now + m_limits.idleTimeout;
    }
    armTimer();
}

/// Load pattern: a caller on a slow link needs longer than the idle timeout for a large response, and one that has gone
/// without a word takes nothing at all. @return true if the caller has taken a part of a response since the last call,
/// and not yet all of it
bool CallerConnection::isStillTaking()
{
    const std::uint64_t taken = m_stream->acknowledged();
    const bool hasTakenMore = taken > m_taken;
    m_taken = taken;
    return hasTakenMore && m_stream->unacknowledged() > 0;
}

// Next request

void CallerConnection::nextRequest()
{
    onDisconnected = nullptr;
    onDrained = nullptr;
    onStopping = nullptr;
    m_requestBytes = 0;
    m_bodyRoom = 0;
    if (!m_keepsAlive) {
        m_pipelined = std::string();
        finishSending();
        noteHeldBytes();
        return;
    }
    m_state = State::Idle;
    m_lastInput = clockNow();
    m_readDeadline = m_lastInput + m_limits.idleTimeout;
    m_waitsForDrain = m_stream->pending() > maxUnsentBytes;
    if (m_waitsForDrain) {
        m_stream->pauseReading(true);
    } else {
        continueReading();
    }
    noteHeldBytes();
}

/// Load pattern: a caller sends requests ahead, and each is answered at once. Were more read after each of them, what
/// waits would grow as fast as it comes.
void CallerConnection::resumeReading()
{
    if (m_pipelined.size() <= maxPipelinedBytes && !m_waitsForDrain) {
        m_stream->pauseReading(false);
    }
}

void CallerConnection::continueReading()
{
    resumeReading();
    if (!m_pipelined.empty()) {
        // Posted to the event loop, to avoid recursion over many pipelined requests.
        asio::post(m_io, [self = shared_from_this()] {
            if (self->m_state == State::Idle && !self->m_pipelined.empty()) {
                const std::string bytes = std::move(self->m_pipelined);
                self->m_pipelined.clear();
                self->feed(bytes);
                self->resumeReading();
            }
        });
    }
}

/// The connection counts as open until the caller has taken all, so that a drain waits for it.
void CallerConnection::finishSending()
{
    m_state = State::Finishing;
    m_timer.cancel();
    m_stream->closeWhenDrained(m_limits.idleTimeout);
}

/// The idle timeout runs from the end of the last response.
void CallerConnection::onStreamDrained()
{
    if (m_state == State::Idle) {
        m_readDeadline = clockNow() + m_limits.idleTimeout;
    }
    if (m_state == State::Idle && m_waitsForDrain) {
        m_waitsForDrain = false;
        continueReading();
    }
    if (onDrained) {
        onDrained();
    }
    if (m_state != State::Closed) {
        noteHeldBytes();
    }
}

void CallerConnection::closeIfIdle()
{
    const bool isIdle = m_state == State::Idle && m_pipelined.empty() && m_stream->pending() == 0;
    if (!isIdle) {
        return;
    }
    if (m_stream->unacknowledged() > 0) {
        finishSending(); // closing now could cut off what the kernel still holds
    } else {
        close();
    }
}

void CallerConnection::endRequest()
{
    const auto callback = std::move(onStopping);
    onStopping = nullptr;
    if (callback) {
        callback();
    }
}

void CallerConnection::onEnd()
{
    const auto callback = std::move(onDisconnected);
    close();
    if (callback) {
        callback();
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
    onStopping = nullptr;
    m_timer.cancel();
    m_stream->close();
    m_parser.reset();
    m_pipelined = std::string();
    m_share.resize(0);
    m_hooks.onClosed(shared_from_this());
}

} // namespace galenafold
