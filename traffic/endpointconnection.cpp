// Connections to replicas.
#include "traffic/endpointconnection.h"

#include "net/status.h"

#include <algorithm>
#include <asio/post.hpp>

namespace galenafold
{

constexpr auto connectWithin = std::chrono::milliseconds(300); // round trips between data centres take a few ms
constexpr auto idleMargin = std::chrono::milliseconds(500);    // before the replica closes an idle connection
constexpr auto defaultIdleLife = std::chrono::seconds(4);      // where the replica does not say
constexpr auto mostIdleLife = std::chrono::seconds(60);
constexpr std::size_t mostIdleLinks = 8; // kept for one replica
constexpr std::uint64_t mostAnswerBytes = 64U << 20U;
constexpr std::uint32_t mostAnswerHeadBytes = 32768;

// Link

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
    m_timer.expires_at(std::min(deadline, clockNow() + connectWithin));
    m_timer.async_wait([self](const asio::error_code &error) {
        if (!error) {
            asio::error_code ignored; // the pending connect reports the end
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
    m_stream = std::make_shared<TcpStream>(std::move(m_connecting));
    TcpStream::Hooks hooks;
    hooks.onBytes = [self = shared_from_this()](std::string_view bytes) { self->onBytes(bytes); };
    hooks.onEnd = [self = shared_from_this()](StreamEnd how) { self->onEnd(how); };
    m_stream->start(std::move(hooks));
    if (!m_isBusy) {
        m_stream->close(); // given up meanwhile
        return;
    }
    m_stream->write(m_unsent);
    m_unsent.clear();
}

void EndpointConnection::resetParser()
{
    ParseLimits limits;
    limits.headBytes = mostAnswerHeadBytes;
    limits.bodyBytes = mostAnswerBytes;
    using Kind = MessageParser::Kind;
    m_parser = std::make_unique<MessageParser>(m_expectsNoBody ? Kind::ResponseWithoutBody : Kind::Response, limits);
    m_isHeadGiven = false;
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

/// One of the hooks may be running just now, so they are let go of later.
void EndpointConnection::cancel()
{
    asio::post(m_connecting.get_executor(), [hooks = std::move(m_hooks)] {});
    m_hooks = EndpointRequestHooks();
    m_isBusy = false;
    m_isPoisoned = true;
    m_timer.cancel();
    asio::error_code ignored; // a connect in progress is abandoned
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

bool EndpointConnection::mayHaveSent() const
{
    return m_stream && m_stream->sent() > m_sentBefore;
}

bool EndpointConnection::isSound() const
{
    return m_stream && m_stream->isOpen() && !m_isBusy && !m_isPoisoned && !m_isClosing && m_stream->pending() == 0;
}

bool EndpointConnection::checkIdle()
{
    if (isSound()) {
        m_stream->poll();
    }
    return isSound();
}

void EndpointConnection::onBytes(std::string_view bytes)
{
    if (!m_isBusy) {
        m_isPoisoned = true; // belongs to no request
        m_stream->close();
        if (onIdle) {
            onIdle();
        }
        return;
    }
    takeAnswer(bytes);
}

/// An answer with another request's id is a late extra one: it is skipped, and ours may still follow.
bool EndpointConnection::isForeign(const ResponseFields &answer) const
{
    return !answer.request.isEmpty() && answer.request != m_request;
}

void EndpointConnection::takeAnswer(std::string_view bytes)
{
    const auto self = shared_from_this();
    while (!bytes.empty() && m_isBusy) {
        bytes.remove_prefix(m_parser->feed(bytes));
        if (m_parser->fault() != ParseFault::None) {
            m_isPoisoned = true;
            fail(m_isHeadGiven ? RequestProgress::Answered : RequestProgress::Sent);
            return;
        }
        if (!m_parser->isHeadDone()) {
            return;
        }
        if (!m_isHeadGiven) {
            m_answer = m_headerCodec.decodeAnswer(m_parser->response());
        }
        const bool isInterim = m_parser->response().status < firstFinalStatus;
        if (isInterim || (!m_isHeadGiven && isForeign(m_answer))) {
            m_isPoisoned = m_isPoisoned || !isInterim;
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
        if (!m_isHeadGiven) {
            m_isHeadGiven = true;
            m_isClosing = !m_parser->response().keepsAlive;
            if (m_hooks.onHead) {
                m_hooks.onHead(m_parser->response(), m_answer);
            }
        }
        if (m_isBusy && !m_parser->body().empty() && m_hooks.onBody) {
            m_hooks.onBody(m_parser->body());
        }
        if (m_isBusy && m_parser->isDone()) {
            m_isPoisoned = m_isPoisoned || !bytes.empty(); // more than one answer to one request
            finish();
            return;
        }
    }
}

void EndpointConnection::onEnd(StreamEnd how)
{
    m_isPoisoned = true;
    if (!m_isBusy) {
        if (onIdle) {
            onIdle();
        }
        return;
    }
    if (how == StreamEnd::Finished && m_isHeadGiven && m_parser->response().isCloseDelimited) {
        m_parser->feedEof();
        if (m_parser->isDone()) {
            finish();
            return;
        }
    }
    const bool isUnsent = m_stream->sent() == m_sentBefore;
    fail(m_isHeadGiven ? RequestProgress::Answered : isUnsent ? RequestProgress::NotSent : RequestProgress::Sent);
}

void EndpointConnection::finish()
{
    const auto self = shared_from_this();
    m_isBusy = false;
    const Duration life = std::min<Duration>(m_answer.idleLifetime.value_or(defaultIdleLife), mostIdleLife);
    m_useBy = clockNow() + std::max<Duration>(life - idleMargin, life / 2);
    const EndpointRequestHooks hooks = std::move(m_hooks);
    m_hooks = EndpointRequestHooks();
    if (!isSound() && m_stream) {
        m_stream->close();
    }
    hooks.onDone();
}

void EndpointConnection::fail(RequestProgress state)
{
    const auto self = shared_from_this();
    m_isPoisoned = true;
    m_isBusy = false;
    if (m_stream) {
        m_stream->close();
    }
    const EndpointRequestHooks hooks = std::move(m_hooks);
    m_hooks = EndpointRequestHooks();
    if (hooks.onFailed) {
        hooks.onFailed(state);
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
        drop(EndpointId(m_idle.begin()->first));
    }
}

std::shared_ptr<EndpointConnection> ConnectionPool::acquire(Instant now, const EndpointId &endpoint, bool mustBeProved,
                                                            bool &isNew)
{
    auto &idle = m_idle[endpoint];
    while (!idle.empty()) {
        const auto link = idle.back();
        idle.pop_back();
        const bool isUsable = now < link->useBy() && (mustBeProved ? link->checkIdle() : link->isSound());
        if (isUsable) {
            link->onIdle = nullptr;
            isNew = false;
            return link;
        }
        link->cancel();
    }
    isNew = true;
    return std::make_shared<EndpointConnection>(m_io, m_headerCodec);
}

void ConnectionPool::release(const EndpointId &endpoint, const std::shared_ptr<EndpointConnection> &link)
{
    auto &idle = m_idle[endpoint];
    if (!link->isSound() || idle.size() >= mostIdleLinks) {
        link->cancel();
        return;
    }
    idle.push_back(link);
    link->onIdle = [this, endpoint, raw = link.get()] {
        auto &links = m_idle[endpoint];
        const auto isSame = [raw](const std::shared_ptr<EndpointConnection> &other) { return other.get() == raw; };
        links.erase(std::remove_if(links.begin(), links.end(), isSame), links.end());
    };
}

void ConnectionPool::drop(const EndpointId &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return;
    }
    const auto links = std::move(found->second);
    m_idle.erase(found);
    for (const auto &link : links) {
        link->onIdle = nullptr;
        link->cancel();
    }
}

void ConnectionPool::closeExpired(Instant now)
{
    for (auto &[endpoint, links] : m_idle) {
        const auto isOld = [now](const std::shared_ptr<EndpointConnection> &link) { return now >= link->useBy(); };
        for (const auto &link : links) {
            if (isOld(link)) {
                link->onIdle = nullptr;
                link->cancel();
            }
        }
        links.erase(std::remove_if(links.begin(), links.end(), isOld), links.end());
    }
}

} // namespace galenafold
