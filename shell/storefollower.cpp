// Carries the calls of one followed topic out.
#include "shell/storefollower.h"

#include "net/status.h"

namespace galenafold
{

constexpr auto answerWithin = std::chrono::milliseconds(700); // beyond the time that the store was asked to wait
constexpr std::uint64_t mostAnswerBytes = 32U << 20U;

StoreFollower::StoreFollower(asio::io_context &io, StoreTopic topic, const std::string &address, const TopicPace &pace,
                             StoreFollowerHooks hooks, EventLog &log, std::uint64_t seed)
    : m_io(io)
    , m_topic(topic)
    , m_address(address)
    , m_follow(pace, hooks.topic, seed)
    , m_hooks(std::move(hooks))
    , m_log(log)
    , m_timer(io)
{
}

void StoreFollower::start()
{
    schedule();
}

void StoreFollower::schedule()
{
    const Instant now = clockNow();
    m_step = m_follow.next(now);
    if (m_step.notBefore <= now) {
        call();
        return;
    }
    m_timer.expires_at(m_step.notBefore);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            call();
        }
    });
}

void StoreFollower::call()
{
    const std::uint64_t generation = ++m_generation;
    m_isCalling = true;
    m_sentAt = clockNow();
    m_timer.expires_at(m_sentAt + m_step.wait + answerWithin);
    m_timer.async_wait([this, generation](const asio::error_code &error) {
        if (!error && generation == m_generation && m_isCalling) {
            onFailure("timeout");
        }
    });
    if (m_stream && m_stream->isOpen()) {
        send();
        return;
    }
    const auto address = parseAddress(m_address);
    if (!address) {
        onFailure("bad_address");
        return;
    }
    m_connecting = std::make_shared<asio::ip::tcp::socket>(m_io);
    m_connecting->async_connect(*address, [this, generation, socket = m_connecting](const asio::error_code &error) {
        if (generation != m_generation || !m_isCalling) {
            return;
        }
        if (error) {
            onFailure("connect");
            return;
        }
        m_stream = std::make_shared<TcpStream>(std::move(*socket));
        TcpStream::Hooks hooks;
        hooks.onBytes = [this](std::string_view bytes) { onBytes(bytes); };
        hooks.onEnd = [this](StreamEnd) {
            if (m_isCalling) {
                onFailure("closed");
            }
        };
        m_stream->start(std::move(hooks));
        send();
    });
}

void StoreFollower::send()
{
    ++m_calls;
    ParseLimits limits;
    limits.bodyBytes = mostAnswerBytes;
    m_parser = std::make_unique<MessageParser>(MessageParser::Kind::Response, limits);
    m_stream->write(encodeStep(m_step, m_topic, m_address));
}

void StoreFollower::onBytes(std::string_view bytes)
{
    if (!m_isCalling) {
        closeConnection(); // nothing was asked
        return;
    }
    const std::size_t used = m_parser->feed(bytes);
    if (m_parser->fault() != ParseFault::None || used < bytes.size()) {
        onFailure("malformed");
    } else if (m_parser->isDone()) {
        onAnswer();
    }
}

void StoreFollower::onAnswer()
{
    const Instant now = clockNow();
    const int status = m_parser->response().status;
    if (!m_parser->response().keepsAlive) {
        closeConnection();
    }
    if (status == statusGone) {
        LogLine line("history_cut");
        line.text("topic", text(m_topic)).number("from", m_step.from);
        m_log.write(line, LogWeight::Notable);
        m_follow.onHistoryCut();
    } else if (status != statusOk) {
        onFailure(std::to_string(status).c_str());
        return;
    } else if (m_step.isListing) {
        auto page = decodePage(m_parser->body());
        if (!page) {
            onFailure("unreadable");
            return;
        }
        m_follow.onPage(m_sentAt, now, std::move(*page));
    } else {
        const auto read = decodeRead(m_parser->body(), m_step.from);
        if (!read) {
            onFailure("unreadable");
            return;
        }
        m_follow.onRead(m_sentAt, now, *read);
    }
    m_isCalling = false;
    m_parser.reset();
    if (m_isLost) {
        m_isLost = false;
        m_hooks.onRegained(now);
    }
    schedule();
}

void StoreFollower::onFailure(const char *why)
{
    const Instant now = clockNow();
    m_isCalling = false;
    ++m_generation;
    closeConnection();
    if (!m_isLost) {
        m_isLost = true;
        LogLine line("store_lost");
        line.text("topic", text(m_topic)).text("why", why).millis("after_ms", now - m_sentAt);
        m_log.write(line, LogWeight::Notable);
        m_hooks.onLost(now);
    }
    m_follow.onFailure(now);
    schedule();
}

void StoreFollower::closeConnection()
{
    if (m_connecting) {
        asio::error_code ignored; // the pending connect is of no interest any more
        m_connecting->close(ignored);
        m_connecting.reset();
    }
    if (m_stream) {
        m_stream->close();
        m_stream.reset();
    }
}

} // namespace galenafold
