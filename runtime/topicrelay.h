// Answers routers of the data centre that follow this one, in place of the store. Any router may be asked; what it
// tells is what it has itself, with the age of its proof.
//
// Sections of this file: Source, Relay.
#pragma once

#include "galenafold/eventlog.h"
#include "net/topicmessages.h"
#include "traffic/listener.h"

#include <list>

namespace galenafold
{

// Source

/// One topic as this router knows it.
class FollowedTopic
{
public:
    virtual ~FollowedTopic() = default;

    virtual void onAsked(Instant now) = 0; ///< A router follows this one: from now on the topic is read more often.

    /// @param waitsSince when the question arrived @return true if there is something to tell that makes a wait
    /// needless
    virtual bool hasNews(const TopicQuestion &question, Instant waitsSince) const = 0;

    virtual TopicAnswer answer(const TopicQuestion &question, Instant arrivedAt) const = 0; ///< @return what is known
};

// Relay

/// Used on the control thread only.
class TopicRelay
{
public:
    /// @param topic finds the topic of a question; both must outlive this object
    TopicRelay(asio::io_context &io, std::function<FollowedTopic &(StoreTopic)> topic, EventLog &log);

    bool start(const std::string &address); ///< @param address IP:PORT @return false if it is invalid or in use

    void onProgress(StoreTopic topic); ///< A topic has news, or a younger proof: answers those who wait for it.

    int port() const { return m_listener.port(); }             ///< @return the bound port
    std::int64_t answers() const { return m_answers; }         ///< @return answers sent since the start
    std::int64_t answerBytes() const { return m_answerBytes; } ///< @return their bytes

private:
    struct Waiting {
        std::shared_ptr<CallerConnection> asker;
        TopicQuestion question;
        Instant arrivedAt{};
    };
    using Position = std::list<Waiting>::iterator;

    void onRequest(const std::shared_ptr<CallerConnection> &asker, CallerRequest &&request);
    void send(const Waiting &waiting);
    void answerDue(Instant now);
    void armTimer();

    std::function<FollowedTopic &(StoreTopic)> m_topic;
    EventLog &m_log;
    CallerListener m_listener;
    DeadlineTimer m_timer;        // for the end of the earliest wait
    std::list<Waiting> m_waiting; // questions whose answer waits for news
    std::int64_t m_answers = 0;
    std::int64_t m_answerBytes = 0;
};

} // namespace galenafold
