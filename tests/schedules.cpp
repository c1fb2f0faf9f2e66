// Tests over seeded schedules: a revoked API key stops working in time despite faults of the store, the network and the
// VM; and callers get correct responses while replicas fail in various ways.
//
// Sections of this file: Key revocation, Responses.
#include "control/freshness.h"
#include "control/topicconsumer.h"
#include "tests/nodefixture.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <set>

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Key revocation

/// Simulates one router that consumes a topic of configuration versions, each with a set of valid keys. Time is
/// virtual, with random delays.
class RevocationSchedule
{
public:
    explicit RevocationSchedule(std::uint64_t seed)
        : m_random(seed)
        , m_proof(maxRevocationDelay)
    {
        TopicSettings settings;
        settings.longPollTimeout = seconds(2);
        settings.hasLargeRecords = true;
        TopicHooks hooks;
        hooks.onRecord = [this](const KeyedRecord &record) { apply(record); };
        hooks.onListed = [this](const std::vector<KeyedRecord> &records, const TopicPosition &) {
            for (const KeyedRecord &record : records) {
                apply(record);
            }
        };
        hooks.onCaughtUp = [this](Instant caughtUpAt) { m_proof.renew(caughtUpAt); };
        m_topic = std::make_unique<TopicConsumer>(settings, hooks, seed);
        writeVersion(m_now);
    }

    /// @return the first violation; empty: none
    std::string run()
    {
        const Instant end = m_now + seconds(60);
        while (m_now < end && m_violation.empty()) {
            const TopicRequest topicRequest = m_topic->next(m_now);
            advance(topicRequest.notBefore - m_now);
            callStore(topicRequest);
        }
        return m_violation;
    }
    int served() const { return m_served; }

private:
    static constexpr Duration maxRevocationDelay = seconds(5);
    static constexpr int keyCount = 4;

    int draw(int maxValue) { return boost::random::uniform_int_distribution<int>(0, maxValue)(m_random); }
    Duration drawDuration(int maxMillis) { return milliseconds(draw(maxMillis)); }

    /// Writes a version, as the operator does. The record's value lists the valid keys.
    void writeVersion(Instant when)
    {
        std::string validKeys;
        for (int key = 0; key < keyCount; ++key) {
            validKeys += draw(2) > 0 ? static_cast<char>('a' + key) : '-';
        }
        m_versions.push_back({when, validKeys});
    }

    /// Advances the time; the operator may write and requests arrive meanwhile. A suspension of the VM is modelled as a
    /// long time without a call to the store.
    void advance(Duration duration)
    {
        const Instant until = m_now + duration;
        while (m_now < until) {
            m_now = std::min(until, m_now + milliseconds(1) + drawDuration(400));
            if (draw(7) == 0) {
                writeVersion(m_now);
            }
            serveRequest();
        }
    }

    /// Handles a request with a random key, and checks that the key was not revoked too long ago.
    void serveRequest()
    {
        const char key = static_cast<char>('a' + draw(keyCount - 1));
        const bool isServed = m_proof.isValid(m_now) && m_validKeys.find(key) != std::string::npos;
        if (!isServed) {
            return;
        }
        ++m_served;
        // Some version with this key must have been current within the last `maxRevocationDelay`.
        for (std::size_t i = 0; i < m_versions.size(); ++i) {
            const bool isLast = i + 1 == m_versions.size();
            const Instant replacedAt = isLast ? Instant::max() : m_versions[i + 1].first;
            const bool holdsKey = m_versions[i].second.find(key) != std::string::npos;
            if (holdsKey && (isLast || replacedAt + maxRevocationDelay >= m_now)) {
                return;
            }
        }
        m_violation = std::string("key ") + key + " served too late";
    }

    void apply(const KeyedRecord &record)
    {
        if (record.position.offset < m_appliedOffset) {
            return; // never go back to an older version; the daemon compares version numbers for this
        }
        m_appliedOffset = record.position.offset;
        m_validKeys = record.value;
    }

    /// Calls the store. The call takes effect at a random time between sending and response.
    void callStore(const TopicRequest &topicRequest)
    {
        const Instant sent = m_now;
        const int failureMode = draw(9);
        if (draw(30) == 0) { // retention deletes all but the newest version
            m_firstRetained = static_cast<LogOffset>(m_versions.size()) - 1;
        }
        advance(drawDuration(30));
        if (failureMode == 0) { // the request or the response is lost
            advance(topicRequest.longPollTimeout + milliseconds(700));
            m_topic->onFailure(m_now);
            return;
        }
        if (failureMode == 1) { // the VM is suspended before it handles the response
            const auto reply = snapshot(topicRequest.from);
            advance(seconds(1) + drawDuration(8000));
            handleReply(topicRequest, sent, reply);
            return;
        }
        advance(failureMode < 5 ? drawDuration(50) : topicRequest.longPollTimeout);
        const auto reply = snapshot(topicRequest.from);
        advance(drawDuration(600));
        handleReply(topicRequest, sent, reply);
    }

    TopicRead snapshot(LogOffset from) const
    {
        TopicRead read;
        read.end = static_cast<LogOffset>(m_versions.size());
        for (LogOffset i = from; i < read.end; ++i) {
            read.records.push_back({"config", m_versions[static_cast<std::size_t>(i)].second, i});
        }
        return read;
    }

    void handleReply(const TopicRequest &topicRequest, Instant sent, const TopicRead &reply)
    {
        if (topicRequest.kind == TopicRequestKind::End) {
            m_topic->onEnd(sent, m_now, reply.end);
        } else if (topicRequest.kind == TopicRequestKind::Listing) {
            const LogOffset newest = reply.end - 1;
            m_topic->onPage(
                sent, m_now,
                {{{"config", m_versions[static_cast<std::size_t>(newest)].second, newest}}, false, reply.end});
        } else if (topicRequest.from < m_firstRetained) {
            m_topic->onOffsetOutOfRange();
        } else {
            m_topic->onRead(sent, m_now, reply);
        }
    }

    boost::random::mt19937_64 m_random;
    Instant m_now{seconds(1000)};
    FreshnessProof m_proof;
    std::unique_ptr<TopicConsumer> m_topic;
    std::vector<std::pair<Instant, std::string>> m_versions; // time of writing, valid keys
    LogOffset m_firstRetained = 0;                           // lowest offset that the store still holds
    LogOffset m_appliedOffset = -1;                          // of the version in force
    std::string m_validKeys;                                 // valid in the version in force
    std::string m_violation;
    int m_served = 0;
};

TEST_GROUP(RevocationSchedules){};

TEST(RevocationSchedules, ARevokedKeyIsNotServedPastTheBound)
{
    std::int64_t served = 0;
    for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
        RevocationSchedule schedule(seed);
        const std::string violation = schedule.run();
        CHECK_TEXT(violation.empty(), ("seed " + std::to_string(seed) + ": " + violation).c_str());
        served += schedule.served();
    }
    CHECK(served > 10000); // guards against schedules that serve nothing: on average, each serves more than one request
}

// Responses

/// What a replica does with one attempt, which also determines whether it executes the request.
enum class Behaviour {
    Answers,
    Error,
    RefusesNotRun,      // reports that it did not execute the request; truthful
    Resets,             // resets the connection
    TruncatesBody,      // closes the connection within the response body
    MalformedHead,      // malformed response head
    OtherResponseFirst, // response to another request before its own
    NoSeal,             // without the header X-Galenafold-Response-Seal; in streams: last event truncated
    TwoResponses,       // a second response after its own
    CloseDelimited,     // body delimited by the end of the connection
    Count               // number of values above
};

/// A router in front of three replicas whose behaviour depends on seed, replica and attempt identifier.
struct FaultyReplicasFixture : NodeFixture {
    explicit FaultyReplicasFixture(std::uint64_t theSeed)
        : seed(theSeed)
    {
        for (const char *id : {"a", "b", "c"}) {
            addReplica(id, [this, id](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
                respond(id, request, reply);
            });
        }
    }

    Behaviour behaviourOf(const std::string &replica, const std::string &attemptId) const
    {
        boost::random::mt19937_64 random(std::hash<std::string>()(replica + attemptId) ^ seed);
        const auto draw = random() % 20;
        return draw < static_cast<std::uint64_t>(Behaviour::Count) ? static_cast<Behaviour>(draw) : Behaviour::Answers;
    }

    void respond(const std::string &replica, const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
    {
        const std::string id = request.field("X-Galenafold-Attempt-Id");
        const Behaviour behaviour = behaviourOf(replica, id);
        if (behaviour != Behaviour::RefusesNotRun) {
            const std::lock_guard<std::mutex> lock(mutex);
            ++executions[id];
        }
        const bool isStream = request.head.target.find("/live/") == 0 || request.head.target.find("/frail/") == 0;
        if (isStream && behaviour != Behaviour::RefusesNotRun && behaviour != Behaviour::Error
            && behaviour != Behaviour::MalformedHead) {
            stream(behaviour, request, reply);
            return;
        }
        const std::string sealedFields = "X-Galenafold-Attempt-Id: " + id + "\r\nX-Galenafold-Response-Seal: s\r\n";
        switch (behaviour) {
        case Behaviour::Error:
            reply->sendResponse(request, 500, "error:" + id);
            break;
        case Behaviour::RefusesNotRun:
            reply->send("HTTP/1.1 503 Busy\r\nX-Galenafold-Not-Executed: 1\r\nX-Galenafold-Attempt-Id: " + id
                        + "\r\nContent-Length: 0\r\n\r\n");
            break;
        case Behaviour::Resets:
            reply->reset();
            break;
        case Behaviour::TruncatesBody:
            reply->send("HTTP/1.1 200 OK\r\n" + sealedFields + "Content-Length: 99\r\n\r\ndone:");
            reply->closeGracefully();
            break;
        case Behaviour::MalformedHead:
            reply->send("HTTP/1.1 200\nrubbish\r\n\r\n");
            break;
        case Behaviour::OtherResponseFirst:
            reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: x\r\nX-Galenafold-Response-Seal: s\r\n"
                        "Content-Length: 6\r\n\r\ndone:x");
            reply->sendResponse(request, 200, "done:" + id);
            break;
        case Behaviour::NoSeal:
            reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: " + id + "\r\nContent-Length: 4\r\n\r\nfake");
            break;
        case Behaviour::TwoResponses:
            reply->sendResponse(request, 200, "done:" + id);
            reply->sendResponse(request, 200, "done:other");
            break;
        case Behaviour::CloseDelimited:
            reply->send("HTTP/1.1 200 OK\r\n" + sealedFields + "\r\ndone:" + id);
            reply->closeGracefully();
            break;
        default:
            reply->sendResponse(request, 200, "done:" + id);
            break;
        }
    }

    static void stream(Behaviour behaviour, const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
    {
        const std::string last = request.field("Last-Event-Id");
        const int first = last.empty() ? 0 : std::stoi(last) + 1;
        const bool isBrokenOff = behaviour == Behaviour::Resets || behaviour == Behaviour::TruncatesBody;
        const bool lacksLastEvent = behaviour == Behaviour::NoSeal; // chunked body complete, last event truncated
        const int end = isBrokenOff ? std::min(first + 2, 4) : lacksLastEvent ? 4 : 5;
        reply->beginStream(request);
        for (int i = first; i < end; ++i) {
            reply->sendEvent(i, "x");
        }
        if (lacksLastEvent) {
            reply->send("9\r\nid: 4\ndat\r\n");
        }
        if (!isBrokenOff) {
            reply->endStream();
            return;
        }
        reply->send("9\r\nid: 4\ndat\r\n");
        behaviour == Behaviour::Resets ? reply->reset() : reply->closeGracefully();
    }

    int executionsOf(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return executions[id];
    }

    std::uint64_t seed;
    std::mutex mutex;
    std::map<std::string, int> executions;
};

TEST_GROUP(ResponseSchedules){
    /// Sends a request. @return how its response contradicts the executions; empty: it does not
    static std::string checkRequest(FaultyReplicasFixture & fixture, const std::string &route, const std::string &id){
        const auto caller = fixture.send(encodeCallerRequest("/" + route + "/x", id));
const bool isComplete = caller->read();
const int status = caller->status();
const int executed = fixture.executionsOf(id);
const bool isAtMostOnce = route == "once" || route == "frail";
if (isAtMostOnce && executed > 1) {
    return "ran twice";
}
if (status == 503 && executed > 0) {
    return "reported as not run, but ran";
}
if (!isComplete || status != 200) {
    return status == 500 && caller->body() != "error:" + id ? "500 that the replica did not send" : "";
}
std::string expected = "done:" + id;
if (route == "live" || route == "frail") {
    expected.clear();
    for (int i = 0; i < 5; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
    }
}
return caller->body() == expected ? "" : "200 with an unexpected body: " + caller->body();
}
}
;

TEST(ResponseSchedules, ResponsesMatchExecutionsWhateverReplicasDo)
{
    int checked = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FaultyReplicasFixture fixture(seed);
        fixture.startAndWaitReady();
        for (int i = 0; i < 100; ++i) {
            const char *const routes[] = {"once", "any", "live", "frail"};
            const std::string id = "r" + std::to_string(i);
            const std::string violation = checkRequest(fixture, routes[i % 4], id);
            CHECK_TEXT(violation.empty(),
                       ("seed " + std::to_string(seed) + ", request " + id + ": " + violation).c_str());
            ++checked;
        }
    }
    LONGS_EQUAL(2000, checked);
}
