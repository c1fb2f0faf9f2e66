// Carries the calls of one followed topic out.
#include "shell/storefollower.h"

#include "net/status.h"

namespace galenafold
{

constexpr auto answerWithin = std::chrono::milliseconds(700); // beyond the time that the store was asked to wait

StoreFollower::StoreFollower(asio::io_context &io, StoreTopic topic, const std::string &address,
                             const TopicTiming &pace, StoreFollowerHooks hooks, EventLog &log, std::uint64_t seed)
    : m_topic(topic)
    , m_store(io, address)
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

void StoreFollower::readNow()
{
    if (!m_store.isCalling()) {
        m_timer.cancel();
        m_step = m_follow.next(clockNow());
        call();
    }
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
    m_sentAt = clockNow();
    StoreCallHooks hooks;
    hooks.onAnswer = [this](int status, const std::string &body) { onAnswer(status, body); };
    hooks.onFailure = [this](const char *why) { onFailure(why); };
    m_store.call(encodeTopicRequest(m_step, m_topic, m_store.address()), m_sentAt + m_step.wait + answerWithin,
                 std::move(hooks));
}

/// @return false: the body cannot be read
bool StoreFollower::take(Instant now, const std::string &body)
{
    if (m_step.isListing) {
        auto page = decodeListingPage(body);
        if (page) {
            m_follow.onPage(m_sentAt, now, std::move(*page));
        }
        return page.has_value();
    }
    const auto read = decodeRead(body, m_step.from);
    if (read) {
        m_follow.onRead(m_sentAt, now, *read);
    }
    return read.has_value();
}

void StoreFollower::onAnswer(int status, const std::string &body)
{
    const Instant now = clockNow();
    if (status == statusGone) {
        LogLine line("history_cut");
        line.text("topic", text(m_topic)).number("from", m_step.from);
        m_log.write(line, LogPriority::Notable);
        m_follow.onOffsetOutOfRange();
    } else if (status != statusOk) {
        m_store.drop();
        onFailure(std::to_string(status).c_str());
        return;
    } else if (!take(now, body)) {
        m_store.drop();
        onFailure("unreadable");
        return;
    }
    if (m_isLost) {
        m_isLost = false;
        m_hooks.onRegained(now);
    }
    schedule();
}

void StoreFollower::onFailure(const char *why)
{
    const Instant now = clockNow();
    ++m_failures;
    if (!m_isLost) {
        m_isLost = true;
        LogLine line("store_lost");
        line.text("topic", text(m_topic)).text("why", why).millis("after_ms", now - m_sentAt);
        m_log.write(line, LogPriority::Notable);
        m_hooks.onLost(now);
    }
    m_follow.onFailure(now);
    schedule();
}

} // namespace galenafold
