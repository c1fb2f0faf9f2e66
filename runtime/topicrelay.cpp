// Answers routers of the data centre that follow this one.
#include "runtime/topicrelay.h"

#include "net/status.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t maxAskers = 1024;                // connections; a data centre has a few hundred routers
constexpr std::uint64_t maxQuestionBytes = 4096;       // with room for later fields
constexpr auto idleTimeout = std::chrono::seconds(30); // of a follower's connection

TopicRelay::TopicRelay(asio::io_context &io, std::function<FollowedTopic &(StoreTopic)> topic, EventLog &log)
    : m_topic(std::move(topic))
    , m_log(log)
    , m_listener(io)
    , m_timer(io)
{
    m_listener.maxCallers = maxAskers;
    m_listener.hooks.limits = [] {
        CallerLimits limits;
        limits.bodyBytes = maxQuestionBytes;
        limits.idleTimeout = idleTimeout;
        return limits;
    };
    m_listener.hooks.onRejected = [this](int status, const char *why) {
        LogLine line("question_rejected");
        line.number("status", status).text("why", why);
        m_log.write(line, LogPriority::Notable);
    };
    m_listener.hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &asker, CallerRequest &&request) {
        onRequest(asker, std::move(request));
    };
}

bool TopicRelay::start(const std::string &address)
{
    return m_listener.start(address);
}

void TopicRelay::onRequest(const std::shared_ptr<CallerConnection> &asker, CallerRequest &&request)
{
    auto question = decodeTopicQuestion(request.body);
    if (!question) {
        m_listener.hooks.onRejected(statusBadRequest, "no_question");
        asker->sendResponse(statusBadRequest, {}, "");
        return;
    }
    const std::string *coding = findField(request.head.fields, "Accept-Encoding");
    question->acceptsGzip = coding && *coding == "gzip";
    const Instant now = clockNow();
    FollowedTopic &topic = m_topic(question->topic);
    topic.onAsked(now);
    const Waiting waiting{asker, *question, now};
    if (question->wait == Duration{} || topic.hasNews(*question, now)) {
        send(waiting);
        return;
    }
    const Position position = m_waiting.insert(m_waiting.end(), waiting);
    asker->onDisconnected = [this, position] { m_waiting.erase(position); };
    armTimer();
}

/// The asker's hooks end with its request.
void TopicRelay::send(const Waiting &waiting)
{
    const TopicAnswer answer = m_topic(waiting.question.topic).answer(waiting.question, waiting.arrivedAt);
    const std::string body = encodeTopicAnswer(answer);
    HttpFields fields;
    if (!answer.packedRecords.empty()) {
        fields.push_back({"Content-Encoding", "gzip"});
    }
    ++m_answers;
    m_answerBytes += static_cast<std::int64_t>(body.size());
    waiting.asker->sendResponse(statusOk, fields, body);
}

/// Takes each entry that is due off the list, and then sends it.
template<typename List, typename IsDue, typename Send>
static void sendWhere(List &list, IsDue isDue, Send send)
{
    for (auto entry = list.begin(); entry != list.end();) {
        if (!isDue(*entry)) {
            ++entry;
            continue;
        }
        const auto due = *entry;
        entry = list.erase(entry);
        send(due);
    }
}

void TopicRelay::onProgress(StoreTopic topic)
{
    const auto hasNews = [&](const Waiting &waiting) {
        return waiting.question.topic == topic && m_topic(topic).hasNews(waiting.question, waiting.arrivedAt);
    };
    sendWhere(m_waiting, hasNews, [this](const Waiting &due) { send(due); });
}

void TopicRelay::answerDue(Instant now)
{
    const auto hasEnded = [now](const Waiting &waiting) { return now >= waiting.arrivedAt + waiting.question.wait; };
    sendWhere(m_waiting, hasEnded, [this](const Waiting &due) { send(due); });
}

void TopicRelay::armTimer()
{
    const auto endOf = [](const Waiting &waiting) { return waiting.arrivedAt + waiting.question.wait; };
    const auto earliest = std::min_element(m_waiting.begin(), m_waiting.end(),
                                           [&](const auto &a, const auto &b) { return endOf(a) < endOf(b); });
    if (earliest == m_waiting.end()) {
        return;
    }
    m_timer.expires_at(endOf(*earliest));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            answerDue(clockNow());
            armTimer();
        }
    });
}

} // namespace galenafold
