// Seeded schedules: keys taken away whatever the store, the network and the VM do; and what callers are told while
// replicas misbehave in every way.
//
// Sections of this file: Keys, Truth.
#include "control/freshness.h"
#include "control/topicconsumer.h"
#include "tests/site.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <set>

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Keys

/// One router follows one topic of versions; each version holds a set of keys. Time is drawn, nothing waits.
class KeySchedule
{
public:
    explicit KeySchedule(std::uint64_t seed)
        : m_random(seed)
        , m_proof(maxRevocationDelay)
    {
        TopicTiming pace;
        pace.wait = seconds(2);
        TopicHooks hooks;
        hooks.onRecord = [this](const KeyedRecord &record) { apply(record); };
        hooks.onListed = [this](const std::vector<KeyedRecord> &records, LogOffset) {
            for (const KeyedRecord &record : records) {
                apply(record);
            }
        };
        hooks.onCaughtUp = [this](Instant provedAt) { m_proof.renew(provedAt); };
        m_topic = std::make_unique<TopicConsumer>(pace, hooks, seed);
        change(m_now);
    }

    /// @return what went wrong; empty: nothing
    std::string run()
    {
        const Instant end = m_now + seconds(60);
        while (m_now < end && m_fault.empty()) {
            const TopicRequest step = m_topic->next(m_now);
            pass(step.notBefore - m_now);
            call(step);
        }
        return m_fault;
    }
    int served() const { return m_served; }

private:
    static constexpr Duration maxRevocationDelay = seconds(5);
    static constexpr int keys = 4;

    int draw(int most) { return boost::random::uniform_int_distribution<int>(0, most)(m_random); }
    Duration drawSpan(int mostMillis) { return milliseconds(draw(mostMillis)); }

    /// The operator writes a version. Its record's value names the keys that it holds.
    void change(Instant when)
    {
        std::string held;
        for (int key = 0; key < keys; ++key) {
            held += draw(2) > 0 ? static_cast<char>('a' + key) : '-';
        }
        m_versions.push_back({when, held});
    }

    /// Time goes by: the operator may write, requests come. A suspension is only a long time without a call.
    void pass(Duration span)
    {
        const Instant until = m_now + span;
        while (m_now < until) {
            m_now = std::min(until, m_now + milliseconds(1) + drawSpan(400));
            if (draw(7) == 0) {
                change(m_now);
            }
            request();
        }
    }

    void request()
    {
        const char key = static_cast<char>('a' + draw(keys - 1));
        const bool isServed = m_proof.holds(m_now) && m_keys.find(key) != std::string::npos;
        if (!isServed) {
            return;
        }
        ++m_served;
        // Some version that held the key must have been in force within the bound.
        for (std::size_t i = 0; i < m_versions.size(); ++i) {
            const bool isLast = i + 1 == m_versions.size();
            const Instant replaced = isLast ? Instant::max() : m_versions[i + 1].first;
            const bool holdsKey = m_versions[i].second.find(key) != std::string::npos;
            if (holdsKey && (isLast || replaced + maxRevocationDelay >= m_now)) {
                return;
            }
        }
        m_fault = std::string("key ") + key + " served too late";
    }

    void apply(const KeyedRecord &record)
    {
        if (record.offset < m_applied) {
            return; // versions never go back; the daemon compares version numbers
        }
        m_applied = record.offset;
        m_keys = record.value;
    }

    /// A call takes effect at the store somewhere between its sending and its reply.
    void call(const TopicRequest &step)
    {
        const Instant sent = m_now;
        const int fate = draw(9);
        if (draw(30) == 0) {
            m_firstRetained = static_cast<LogOffset>(m_versions.size()) - 1;
        }
        pass(drawSpan(30));
        if (fate == 0) { // lost: nothing comes, or nothing was done
            pass(step.wait + milliseconds(700));
            m_topic->onFailure(m_now);
            return;
        }
        if (fate == 1) { // the VM is suspended while the reply is on its way
            const auto reply = snapshot(step.from);
            pass(seconds(1) + drawSpan(8000));
            answer(step, sent, reply);
            return;
        }
        pass(fate < 5 ? drawSpan(50) : step.wait);
        const auto reply = snapshot(step.from);
        pass(drawSpan(600));
        answer(step, sent, reply);
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

    void answer(const TopicRequest &step, Instant sent, const TopicRead &reply)
    {
        if (step.isListing) {
            const LogOffset newest = reply.end - 1;
            m_topic->onPage(
                sent, m_now,
                {{{"config", m_versions[static_cast<std::size_t>(newest)].second, newest}}, false, reply.end});
        } else if (step.from < m_firstRetained) {
            m_topic->onOffsetOutOfRange();
        } else {
            m_topic->onRead(sent, m_now, reply);
        }
    }

    boost::random::mt19937_64 m_random;
    Instant m_now{seconds(1000)};
    FreshnessProof m_proof;
    std::unique_ptr<TopicConsumer> m_topic;
    std::vector<std::pair<Instant, std::string>> m_versions; // when written, keys held
    LogOffset m_firstRetained = 0;
    LogOffset m_applied = -1;
    std::string m_keys;
    std::string m_fault;
    int m_served = 0;
};

TEST_GROUP(KeySchedules){};

TEST(KeySchedules, NoTakenKeyServesPastItsBound)
{
    std::int64_t served = 0;
    for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
        KeySchedule schedule(seed);
        const std::string fault = schedule.run();
        CHECK_TEXT(fault.empty(), ("seed " + std::to_string(seed) + ": " + fault).c_str());
        served += schedule.served();
    }
    CHECK(served > 10000); // the schedules are not all outage
}

// Truth

/// What a replica does with one try. Whether it ran follows from that.
enum class Deed {
    Answers,
    Error,
    RefusesNotRun,
    Resets,
    CutsBody,
    Rubbish,
    ForeignFirst,
    NoSeal,
    TwoAnswers,
    Unframed,
    Count
};

struct TruthSite : Site {
    explicit TruthSite(std::uint64_t theSeed)
        : seed(theSeed)
    {
        for (const char *id : {"a", "b", "c"}) {
            add(id, [this, id](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
                act(id, got, reply);
            });
        }
    }

    Deed deedOf(const std::string &replica, const std::string &request) const
    {
        boost::random::mt19937_64 random(std::hash<std::string>()(replica + request) ^ seed);
        const auto draw = random() % 20;
        return draw < static_cast<std::uint64_t>(Deed::Count) ? static_cast<Deed>(draw) : Deed::Answers;
    }

    void act(const std::string &replica, const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply)
    {
        const std::string id = got.field("X-Galenafold-Attempt-Id");
        const Deed deed = deedOf(replica, id);
        if (deed != Deed::RefusesNotRun) {
            const std::lock_guard<std::mutex> lock(mutex);
            ++runs[id];
        }
        const bool isStream = got.head.target.find("/live/") == 0 || got.head.target.find("/frail/") == 0;
        if (isStream && deed != Deed::RefusesNotRun && deed != Deed::Error && deed != Deed::Rubbish) {
            stream(deed, got, reply);
            return;
        }
        const std::string sealed = "X-Galenafold-Attempt-Id: " + id + "\r\nX-Galenafold-Response-Seal: s\r\n";
        switch (deed) {
        case Deed::Error:
            reply->answer(got, 500, "error:" + id);
            break;
        case Deed::RefusesNotRun:
            reply->send("HTTP/1.1 503 Busy\r\nX-Galenafold-Not-Executed: 1\r\nX-Galenafold-Attempt-Id: " + id
                        + "\r\nContent-Length: 0\r\n\r\n");
            break;
        case Deed::Resets:
            reply->reset();
            break;
        case Deed::CutsBody:
            reply->send("HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 99\r\n\r\ndone:");
            reply->end();
            break;
        case Deed::Rubbish:
            reply->send("HTTP/1.1 200\nrubbish\r\n\r\n");
            break;
        case Deed::ForeignFirst:
            reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: x\r\nX-Galenafold-Response-Seal: s\r\n"
                        "Content-Length: 6\r\n\r\ndone:x");
            reply->answer(got, 200, "done:" + id);
            break;
        case Deed::NoSeal:
            reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: " + id + "\r\nContent-Length: 4\r\n\r\nfake");
            break;
        case Deed::TwoAnswers:
            reply->answer(got, 200, "done:" + id);
            reply->answer(got, 200, "done:other");
            break;
        case Deed::Unframed:
            reply->send("HTTP/1.1 200 OK\r\n" + sealed + "\r\ndone:" + id);
            reply->end();
            break;
        default:
            reply->answer(got, 200, "done:" + id);
            break;
        }
    }

    static void stream(Deed deed, const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply)
    {
        const std::string last = got.field("Last-Event-Id");
        const int first = last.empty() ? 0 : std::stoi(last) + 1;
        const bool breaks = deed == Deed::Resets || deed == Deed::CutsBody;
        const bool endsEarly = deed == Deed::NoSeal; // the framing ends well, the last event does not
        const int end = breaks ? std::min(first + 2, 4) : endsEarly ? 4 : 5;
        reply->beginStream(got);
        for (int i = first; i < end; ++i) {
            reply->event(i, "x");
        }
        if (endsEarly) {
            reply->send("9\r\nid: 4\ndat\r\n");
        }
        if (!breaks) {
            reply->endStream();
            return;
        }
        reply->send("9\r\nid: 4\ndat\r\n");
        deed == Deed::Resets ? reply->reset() : reply->end();
    }

    int runsOf(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return runs[id];
    }

    std::uint64_t seed;
    std::mutex mutex;
    std::map<std::string, int> runs;
};

TEST_GROUP(TruthSchedules){
    /// @return what was told wrongly; empty: nothing
    static std::string checkOne(TruthSite & site, const std::string &route, const std::string &id){
        const auto caller = site.send(encodeCallerRequest("/" + route + "/x", id));
const bool isWhole = caller->read();
const int status = caller->status();
const int ran = site.runsOf(id);
const bool runsOnce = route == "once" || route == "frail";
if (runsOnce && ran > 1) {
    return "ran twice";
}
if (status == 503 && ran > 0) {
    return "told not run, and ran";
}
if (!isWhole || status != 200) {
    return status == 500 && caller->body() != "error:" + id ? "a failure that is not the replica's" : "";
}
std::string expected = "done:" + id;
if (route == "live" || route == "frail") {
    expected.clear();
    for (int i = 0; i < 5; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
    }
}
return caller->body() == expected ? "" : "a success with a body of its own: " + caller->body();
}
}
;

TEST(TruthSchedules, CallersAreToldTheTruthWhateverReplicasDo)
{
    int whole = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TruthSite site(seed);
        site.startReady();
        for (int i = 0; i < 100; ++i) {
            const char *const routes[] = {"once", "any", "live", "frail"};
            const std::string id = "r" + std::to_string(i);
            const std::string fault = checkOne(site, routes[i % 4], id);
            CHECK_TEXT(fault.empty(), ("seed " + std::to_string(seed) + ", request " + id + ": " + fault).c_str());
            ++whole;
        }
    }
    LONGS_EQUAL(2000, whole);
}
