// Tests at-most-once execution over seeded schedules of crashes, pauses longer than any lease, lost and late appends,
// two owners of one key, log outages, and callers that retry on other routers. Also tests each rule of the claim table.
//
// Sections of this file: Schedule, Schedule tests, Claim table tests.
#include "control/claims.h"
#include "fakes/fleet.h"

#include <CppUTest/TestHarness.h>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <functional>
#include <queue>

using namespace galenafold;

// Schedule

constexpr std::int64_t startUnixMillis = 1700000000000;
constexpr int batcherCount = 3;
constexpr int keyCount = 3;
constexpr int requestsPerKey = 4;

/// One caller's request with an idempotency key, at one router.
struct KeyedRequest {
    ClaimItem claim;
    std::size_t ownerBatcher = 0;  // gets the claim first
    std::size_t localBatcher = 0;  // on the router's own VM; gets the claim if the owner does not answer
    bool isAlive = true;           // false: its router has crashed
    bool isDecided = false;        // has a final answer to its claim, or has given up
    bool isReportedNotRun = false; // its claim was voided and its caller told that the request did not run
    bool hasSent = false;
    int executions = 0; // at the endpoint
    ClaimAnswer answer; // to its claim
    Instant giveUpAt{}; // without an answer until then, the router voids the claim
};

/// Simulates one seeded schedule: routers, batchers and a log with faults, in virtual time.
class ClaimSchedule
{
public:
    explicit ClaimSchedule(std::uint64_t seed)
        : m_random(seed)
        , m_seed(seed)
    {
        m_now += std::chrono::seconds(10);
        for (int i = 0; i < batcherCount; ++i) {
            m_batchers.push_back(std::make_unique<ClaimBatcher>());
        }
    }

    std::string run(); ///< @return the first violated guarantee; empty: none
    int executions() const { return m_executionCount; }

private:
    struct Event {
        Instant when{};
        std::int64_t order = 0; // of events at the same time
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    int draw(int maxValue) { return boost::random::uniform_int_distribution<int>(0, maxValue)(m_random); }
    bool chance(int percent) { return draw(99) < percent; }
    void after(std::chrono::milliseconds delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_order, std::move(action)});
    }
    UnixMillis logTime() const
    {
        return UnixMillis(startUnixMillis) + std::chrono::duration_cast<UnixMillis>(m_now.time_since_epoch());
    }

    void addRequest(const std::string &key);
    void tickBatcher(std::size_t index);
    void append(std::size_t batcher, const std::string &value);
    void read(std::size_t batcher);
    void decide(const std::shared_ptr<KeyedRequest> &request, const ClaimAnswer &answer);
    void send(const std::shared_ptr<KeyedRequest> &request);
    void settle(const std::shared_ptr<KeyedRequest> &request, ClaimKind kind);
    std::string check();

    boost::random::mt19937_64 m_random;
    std::uint64_t m_seed;
    Instant m_now{};
    std::int64_t m_order = 0;
    std::priority_queue<Event> m_events;
    LogStore m_log;
    bool m_isLogDown = false;
    std::vector<std::unique_ptr<ClaimBatcher>> m_batchers;
    std::vector<std::shared_ptr<KeyedRequest>> m_requests;
    std::map<std::string, int> m_executionsByKey;
    int m_executionCount = 0;
    Instant m_end{}; // batchers run until then
};

static const std::string streamName = "claims-0";

void ClaimSchedule::append(std::size_t batcher, const std::string &value)
{
    const int failureMode = m_isLogDown ? 2 * draw(1) : draw(9); // during an outage: not stored, or stored late
    const auto latency = std::chrono::milliseconds(1 + draw(30));
    const auto endAppend = [this, batcher](bool isAcknowledged) {
        return [this, batcher, isAcknowledged] { m_batchers[batcher]->onAppendEnded(m_now, isAcknowledged); };
    };
    const auto store = [this, value] { m_log.append(streamName, value, logTime()); };
    if (failureMode == 0) { // not stored
        after(latency, endAppend(false));
    } else if (failureMode == 1) { // stored, response lost
        after(latency, store);
        after(latency * 2, endAppend(false));
    } else if (failureMode == 2) { // reported as not stored, but stored up to 6 s later
        after(latency, endAppend(false));
        after(std::chrono::milliseconds(draw(6000)), store);
    } else {
        after(latency, [store, acknowledge = endAppend(true)] {
            store();
            acknowledge();
        });
    }
}

void ClaimSchedule::read(std::size_t batcher)
{
    if (m_isLogDown) {
        return;
    }
    const ReadResult result = m_log.read(streamName, m_batchers[batcher]->readFrom(), std::chrono::milliseconds(0));
    std::vector<ClaimRecord> records;
    for (const StoredRecord &record : result.records) {
        records.push_back({record.offset, record.time, record.value});
    }
    m_batchers[batcher]->onRecords(m_now, records, result.firstRetained, result.end);
}

void ClaimSchedule::tickBatcher(std::size_t index)
{
    const ClaimActions actions = m_batchers[index]->onTick(m_now);
    for (const auto &[nonce, answer] : actions.answers) {
        for (const auto &request : m_requests) {
            if (request->claim.nonce == nonce) {
                const auto delay = std::chrono::milliseconds(chance(5) ? draw(5000) : draw(5));
                const bool isLost = chance(5); // the owner's answer does not reach the router
                after(delay, [this, pendingRequest = request, pendingAnswer = answer, isLost] {
                    if (!isLost) {
                        decide(pendingRequest, pendingAnswer);
                    }
                });
            }
        }
    }
    if (!actions.append.empty()) {
        append(index, encodeClaims(actions.append));
    } else if (actions.mustRead) {
        read(index);
    }
    if (chance(1) && chance(50) && m_now < m_end - std::chrono::seconds(20)) { // the VM is replaced and loses all state
        m_batchers[index] = std::make_unique<ClaimBatcher>();
        for (const auto &request : m_requests) {
            request->isAlive = request->isAlive && request->localBatcher != index;
        }
    }
    if (m_now < m_end) {
        after(std::chrono::milliseconds(25), [this, index] { tickBatcher(index); });
    }
}

void ClaimSchedule::addRequest(const std::string &key)
{
    auto request = std::make_shared<KeyedRequest>();
    request->claim.key = "kedai/ledger/" + key;
    request->claim.nonce = "n" + std::to_string(m_requests.size());
    request->claim.fingerprint = "f";
    request->claim.window = std::chrono::seconds(600);
    request->ownerBatcher = static_cast<std::size_t>(draw(batcherCount - 1)); // routers may disagree on the owner
    request->localBatcher = static_cast<std::size_t>(draw(batcherCount - 1));
    request->giveUpAt = m_now + std::chrono::milliseconds(1000);
    m_requests.push_back(request);
    m_batchers[request->ownerBatcher]->onItem(m_now, request->claim, m_now + std::chrono::milliseconds(500));
    after(std::chrono::milliseconds(500), [this, request] {
        if (!request->isDecided && request->isAlive) {
            m_batchers[request->localBatcher]->onItem(m_now, request->claim, request->giveUpAt);
        }
    });
    after(std::chrono::milliseconds(1000), [this, request] {
        if (!request->isDecided && request->isAlive) {
            request->isDecided = true;
            request->isReportedNotRun = true;
            settle(request, ClaimKind::Void);
        }
    });
    if (chance(5)) {
        after(std::chrono::milliseconds(draw(1500)), [request] { request->isAlive = false; });
    }
}

void ClaimSchedule::decide(const std::shared_ptr<KeyedRequest> &request, const ClaimAnswer &answer)
{
    if (request->isDecided || !request->isAlive || answer.result == ClaimResult::Unavailable) {
        return;
    }
    request->isDecided = true;
    request->answer = answer;
    if (answer.result != ClaimResult::Won) {
        return;
    }
    const int pauseMillis = chance(5) ? draw(2000000) : draw(20); // up to 2000 s: longer than any lease and key window
    after(std::chrono::milliseconds(pauseMillis), [this, request] { send(request); });
}

void ClaimSchedule::send(const std::shared_ptr<KeyedRequest> &request)
{
    if (!request->isAlive) {
        return;
    }
    request->hasSent = true;
    if (chance(10)) { // the endpoint truthfully reports that it did not execute the request
        request->isReportedNotRun = true;
        settle(request, ClaimKind::Void);
        return;
    }
    ++request->executions;
    ++m_executionCount;
    ++m_executionsByKey[request->claim.key];
    settle(request, ClaimKind::Outcome);
}

/// Reports the void or outcome of a claim to the owner and, as if the owner had not confirmed it within 2 s, to the
/// batcher on the router's own VM. Both batchers retry until it is in the log.
void ClaimSchedule::settle(const std::shared_ptr<KeyedRequest> &request, ClaimKind kind)
{
    ClaimItem item = request->claim;
    item.kind = kind;
    item.outcome.status = 200;
    item.outcome.body = request->claim.nonce;
    m_batchers[request->ownerBatcher]->onItem(m_now, item, Instant::max());
    after(std::chrono::milliseconds(2000), [this, request, item] {
        if (request->isAlive) {
            m_batchers[request->localBatcher]->onItem(m_now, item, Instant::max());
        }
    });
}

std::string ClaimSchedule::run()
{
    m_end = m_now + std::chrono::seconds(60);
    std::vector<std::string> keys;
    for (int i = 0; i < keyCount; ++i) {
        keys.push_back(makeUuidV7(logTime(), static_cast<std::uint64_t>(i)));
        for (int request = 0; request < requestsPerKey; ++request) {
            after(std::chrono::milliseconds(draw(12000)), [this, key = keys.back()] { addRequest(key); });
        }
    }
    if (chance(50)) {
        const int begin = draw(10000);
        after(std::chrono::milliseconds(begin), [this] { m_isLogDown = true; });
        after(std::chrono::milliseconds(begin + draw(8000)), [this] { m_isLogDown = false; });
    }
    for (std::size_t batcher = 0; batcher < m_batchers.size(); ++batcher) {
        after(std::chrono::milliseconds(draw(25)), [this, batcher] { tickBatcher(batcher); });
    }
    // A final request for each key, long after the others: its claim must win if no earlier request can have been sent.
    for (const std::string &key : keys) {
        after(std::chrono::seconds(52), [this, key] { addRequest(key); });
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.action();
    }
    return check();
}

std::string ClaimSchedule::check()
{
    const std::string prefix = "seed " + std::to_string(m_seed) + ": ";
    for (const auto &[key, count] : m_executionsByKey) {
        if (count > 1) {
            return prefix + "a key ran " + std::to_string(count) + " times";
        }
    }
    std::map<std::string, std::string> executedNonces; // by key; a nonce is also the body of its request's outcome
    std::map<std::string, bool> mayHaveBeenSent;
    for (const auto &request : m_requests) {
        if (request->isReportedNotRun && request->executions > 0) {
            return prefix + "reported as not run, but it ran";
        }
        if (request->executions > 0) {
            executedNonces[request->claim.key] = request->claim.nonce;
        }
    }
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        const KeyedRequest &request = *m_requests[i];
        const bool isReplay =
            request.isDecided && !request.isReportedNotRun && request.answer.result == ClaimResult::Replay;
        if (isReplay && request.answer.outcome.body != executedNonces[request.claim.key]) {
            return prefix + "replay is not the first answer";
        }
        const bool isFinalRequest = i + keyCount >= m_requests.size();
        if (!isFinalRequest) {
            const bool canHaveBeenSent =
                !request.isAlive || (request.answer.result == ClaimResult::Won && !request.isReportedNotRun);
            mayHaveBeenSent[request.claim.key] = mayHaveBeenSent[request.claim.key] || canHaveBeenSent;
            continue;
        }
        const bool hasWon = request.isDecided && !request.isReportedNotRun && request.answer.result == ClaimResult::Won;
        if (request.isAlive && !mayHaveBeenSent[request.claim.key] && !hasWon && request.isDecided
            && !request.isReportedNotRun) {
            return prefix + "a key is locked by claimants that never sent";
        }
    }
    return {};
}

// Schedule tests

TEST_GROUP(ClaimSchedules){};

TEST(ClaimSchedules, noKeyExecutesTwiceOrStaysLocked)
{
    constexpr int scheduleCount = 10000;
    int executions = 0;
    for (int seed = 1; seed <= scheduleCount; ++seed) {
        ClaimSchedule schedule(static_cast<std::uint64_t>(seed));
        const std::string violation = schedule.run();
        STRCMP_EQUAL("", violation.c_str());
        executions += schedule.executions();
    }
    CHECK(executions > scheduleCount * keyCount / 2); // more than half of the keys execute despite the faults
}

// Claim table tests

TEST_GROUP(ClaimRules)
{
    ClaimTable table;
    LogOffset offset = 0;
    UnixMillis time{startUnixMillis};
    std::string key = "kedai/ledger/" + makeUuidV7(UnixMillis(startUnixMillis), 1);

    ClaimItem item(ClaimKind kind, const std::string &nonce, const std::string &fingerprint = "f")
    {
        ClaimItem result;
        result.kind = kind;
        result.key = key;
        result.nonce = nonce;
        result.fingerprint = fingerprint;
        result.outcome.status = 200;
        result.outcome.body = "answer of " + nonce;
        return result;
    }
    void applyItem(const ClaimItem &entry)
    {
        table.applyRecord({offset++, time, encodeClaims({entry})});
    }
    ClaimResult result(const std::string &nonce)
    {
        const auto answer = table.answer(item(ClaimKind::Claim, nonce));
        return answer ? answer->result : ClaimResult::Unavailable;
    }
};

TEST(ClaimRules, theFirstClaimInTheLogWins)
{
    applyItem(item(ClaimKind::Claim, "a"));
    applyItem(item(ClaimKind::Claim, "b"));
    CHECK(result("a") == ClaimResult::Won);
    CHECK(result("b") == ClaimResult::InProgress);
}

TEST(ClaimRules, aVoidFreesTheKeyForLaterClaimsOnly)
{
    applyItem(item(ClaimKind::Claim, "a"));
    applyItem(item(ClaimKind::Claim, "b"));
    applyItem(item(ClaimKind::Void, "a"));
    CHECK(result("b") == ClaimResult::Unavailable); // b was rejected while a was active, and stays so
    applyItem(item(ClaimKind::Claim, "c"));
    CHECK(result("c") == ClaimResult::Won);
}

TEST(ClaimRules, aClaimStoredAfterItsVoidIsRejected)
{
    applyItem(item(ClaimKind::Void, "a"));
    applyItem(item(ClaimKind::Claim, "a"));
    CHECK(result("a") == ClaimResult::Unavailable);
    applyItem(item(ClaimKind::Claim, "b"));
    applyItem(item(ClaimKind::Claim, "a")); // a retry of an append that was reported as failed but stored
    CHECK(result("b") == ClaimResult::Won);
}

TEST(ClaimRules, onlyTheWinnersOutcomeIsStored)
{
    applyItem(item(ClaimKind::Claim, "a"));
    applyItem(item(ClaimKind::Outcome, "b"));
    CHECK(result("a") == ClaimResult::Won);
    applyItem(item(ClaimKind::Outcome, "a"));
    CHECK(result("c") == ClaimResult::Replay);
    STRCMP_EQUAL("answer of a", table.answer(item(ClaimKind::Claim, "c"))->outcome.body.c_str());
    CHECK(table.answer(item(ClaimKind::Claim, "c", "other"))->result == ClaimResult::Mismatch);
}

TEST(ClaimRules, aKeyOutsideItsWindowNeverWins)
{
    time += std::chrono::seconds(601);
    applyItem(item(ClaimKind::Claim, "a"));
    CHECK(result("a") == ClaimResult::Unavailable);
    CHECK(table.answerToRejected(item(ClaimKind::Claim, "a"))->result == ClaimResult::Expired);
}

TEST(ClaimRules, keysAreEvictedOnlyAfterTheMaxKeyWindow)
{
    applyItem(item(ClaimKind::Claim, "a"));
    const std::string first = key;
    time += maxKeyWindow;
    key = "kedai/ledger/" + makeUuidV7(time, 2);
    applyItem(item(ClaimKind::Claim, "b"));
    LONGS_EQUAL(2, table.keys());
    time += std::chrono::seconds(121); // just above twice the permitted clock skew
    key = "kedai/ledger/" + makeUuidV7(time, 3);
    applyItem(item(ClaimKind::Claim, "c"));
    LONGS_EQUAL(2, table.keys());
    key = first;
    applyItem(item(ClaimKind::Claim, "d"));
    CHECK(result("d") == ClaimResult::Unavailable);
}

TEST(ClaimRules, malformedRecordsChangeNothing)
{
    applyItem(item(ClaimKind::Claim, "a"));
    for (const char *value : {"", "{", "[]", "{\"format\":1,\"kind\":\"claims\"}", "{\"format\":9,\"kind\":\"claims\"}",
                              "{\"format\":1,\"kind\":\"claims\",\"items\":[{\"key\":1}]}"}) {
        table.applyRecord({offset++, time, value});
    }
    CHECK(result("a") == ClaimResult::Won);
    LONGS_EQUAL(1, table.keys());
}
