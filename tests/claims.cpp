// At most once, over seeded schedules: crashes, pauses past any lease, lost and late appends, two owners, outages, and
// callers that try again on other routers. And the rules of the fold, one by one.
//
// Sections of this file: Schedule, Tests of schedules, Tests of the fold.
#include "control/claims.h"
#include "fakes/fleet.h"

#include <CppUTest/TestHarness.h>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <functional>
#include <queue>

using namespace galenafold;

// Schedule

constexpr std::int64_t epochMillis = 1700000000000;
constexpr int desksInSchedule = 3;
constexpr int keysInSchedule = 3;
constexpr int callsOfKey = 4;

/// One caller's request with a key, at one router.
struct KeyedRequest {
    ClaimItem claim;
    std::size_t ownerDesk = 0; // where it asks first
    std::size_t localDesk = 0; // of its own VM: where it asks when the owner is silent
    bool isAlive = true;       // its router did not crash
    bool isDecided = false;
    bool hasGivenUp = false;
    bool hasSent = false;
    int executions = 0;
    ClaimAnswer told;
    Instant giveUpAt{};
};

class ClaimSchedule
{
public:
    explicit ClaimSchedule(std::uint64_t seed)
        : m_random(seed)
        , m_seed(seed)
    {
        m_now += std::chrono::seconds(10);
        for (int i = 0; i < desksInSchedule; ++i) {
            m_desks.push_back(std::make_unique<ClaimBatcher>());
        }
    }

    std::string run();
    int executions() const { return m_executed; }

private:
    struct Event {
        Instant when{};
        std::int64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    int draw(int most) { return boost::random::uniform_int_distribution<int>(0, most)(m_random); }
    bool chance(int percent) { return draw(99) < percent; }
    void after(std::chrono::milliseconds delay, std::function<void()> act)
    {
        m_events.push({m_now + delay, ++m_order, std::move(act)});
    }
    UnixMillis logTime() const
    {
        return UnixMillis(epochMillis) + std::chrono::duration_cast<UnixMillis>(m_now.time_since_epoch());
    }

    void addRequest(const std::string &key);
    void tickDesk(std::size_t index);
    void append(std::size_t desk, const std::string &value);
    void read(std::size_t desk);
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
    bool m_isOut = false;
    std::vector<std::unique_ptr<ClaimBatcher>> m_desks;
    std::vector<std::shared_ptr<KeyedRequest>> m_requests;
    std::map<std::string, int> m_byKey;
    int m_executed = 0;
    Instant m_end{};
};

static const std::string stream = "claims-0";

void ClaimSchedule::append(std::size_t desk, const std::string &value)
{
    const int fate = m_isOut ? 2 * draw(1) : draw(9); // in an outage: refused, or taken late
    const auto latency = std::chrono::milliseconds(1 + draw(30));
    const auto answer = [this, desk](bool isTaken) {
        return [this, desk, isTaken] { m_desks[desk]->onAppendEnded(m_now, isTaken); };
    };
    const auto take = [this, value] { m_log.append(stream, value, logTime()); };
    if (fate == 0) { // not taken
        after(latency, answer(false));
    } else if (fate == 1) { // taken, answer lost
        after(latency, take);
        after(latency * 2, answer(false));
    } else if (fate == 2) { // the answer says lost, and it is taken much later
        after(latency, answer(false));
        after(std::chrono::milliseconds(draw(6000)), take);
    } else {
        after(latency, [take, done = answer(true)] {
            take();
            done();
        });
    }
}

void ClaimSchedule::read(std::size_t desk)
{
    if (m_isOut) {
        return;
    }
    const ReadResult result = m_log.read(stream, m_desks[desk]->readFrom(), std::chrono::milliseconds(0));
    std::vector<ClaimRecord> records;
    for (const StoredRecord &record : result.records) {
        records.push_back({record.offset, record.time, record.value});
    }
    m_desks[desk]->onRecords(m_now, records, result.firstRetained, result.end);
}

void ClaimSchedule::tickDesk(std::size_t index)
{
    const ClaimActions actions = m_desks[index]->onTick(m_now);
    for (const auto &[nonce, answer] : actions.answers) {
        for (const auto &request : m_requests) {
            if (request->claim.nonce == nonce) {
                const auto delay = std::chrono::milliseconds(chance(5) ? draw(5000) : draw(5));
                const bool isLost = chance(5); // the answer of the owner
                after(delay, [this, held = request, told = answer, isLost] {
                    if (!isLost) {
                        decide(held, told);
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
    if (chance(1) && chance(50) && m_now < m_end - std::chrono::seconds(20)) { // the VM is replaced: all state is gone
        m_desks[index] = std::make_unique<ClaimBatcher>();
        for (const auto &request : m_requests) {
            request->isAlive = request->isAlive && request->localDesk != index;
        }
    }
    if (m_now < m_end) {
        after(std::chrono::milliseconds(25), [this, index] { tickDesk(index); });
    }
}

void ClaimSchedule::addRequest(const std::string &key)
{
    auto request = std::make_shared<KeyedRequest>();
    request->claim.key = "kedai/ledger/" + key;
    request->claim.nonce = "n" + std::to_string(m_requests.size());
    request->claim.fingerprint = "f";
    request->claim.window = std::chrono::seconds(600);
    request->ownerDesk = static_cast<std::size_t>(draw(desksInSchedule - 1)); // lists disagree on who owns it
    request->localDesk = static_cast<std::size_t>(draw(desksInSchedule - 1));
    request->giveUpAt = m_now + std::chrono::milliseconds(1000);
    m_requests.push_back(request);
    m_desks[request->ownerDesk]->onItem(m_now, request->claim, m_now + std::chrono::milliseconds(500));
    after(std::chrono::milliseconds(500), [this, request] {
        if (!request->isDecided && request->isAlive) {
            m_desks[request->localDesk]->onItem(m_now, request->claim, request->giveUpAt);
        }
    });
    after(std::chrono::milliseconds(1000), [this, request] {
        if (!request->isDecided && request->isAlive) {
            request->isDecided = true;
            request->hasGivenUp = true;
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
    request->told = answer;
    if (answer.result != ClaimResult::Won) {
        return;
    }
    const int pause = chance(5) ? draw(2000000) : draw(20); // now and then past any lease and window
    after(std::chrono::milliseconds(pause), [this, request] { send(request); });
}

void ClaimSchedule::send(const std::shared_ptr<KeyedRequest> &request)
{
    if (!request->isAlive) {
        return;
    }
    request->hasSent = true;
    if (chance(10)) { // the endpoint says truly that it did not run
        request->hasGivenUp = true;
        settle(request, ClaimKind::Void);
        return;
    }
    ++request->executions;
    ++m_executed;
    ++m_byKey[request->claim.key];
    settle(request, ClaimKind::Outcome);
}

/// A settlement that the owner does not confirm is kept at the router's own desk, which tries until it is in the log.
void ClaimSchedule::settle(const std::shared_ptr<KeyedRequest> &request, ClaimKind kind)
{
    ClaimItem item = request->claim;
    item.kind = kind;
    item.outcome.status = 200;
    item.outcome.body = request->claim.nonce;
    m_desks[request->ownerDesk]->onItem(m_now, item, Instant::max());
    after(std::chrono::milliseconds(2000), [this, request, item] {
        if (request->isAlive) {
            m_desks[request->localDesk]->onItem(m_now, item, Instant::max());
        }
    });
}

std::string ClaimSchedule::run()
{
    m_end = m_now + std::chrono::seconds(60);
    std::vector<std::string> keys;
    for (int i = 0; i < keysInSchedule; ++i) {
        keys.push_back(makeUuidV7(logTime(), static_cast<std::uint64_t>(i)));
        for (int call = 0; call < callsOfKey; ++call) {
            after(std::chrono::milliseconds(draw(12000)), [this, key = keys.back()] { addRequest(key); });
        }
    }
    if (chance(50)) {
        const int begin = draw(10000);
        after(std::chrono::milliseconds(begin), [this] { m_isOut = true; });
        after(std::chrono::milliseconds(begin + draw(8000)), [this] { m_isOut = false; });
    }
    for (std::size_t desk = 0; desk < m_desks.size(); ++desk) {
        after(std::chrono::milliseconds(draw(25)), [this, desk] { tickDesk(desk); });
    }
    // A last call for each key, long after: it must win where no earlier claimant can have sent.
    for (const std::string &key : keys) {
        after(std::chrono::seconds(52), [this, key] { addRequest(key); });
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.act();
    }
    return check();
}

std::string ClaimSchedule::check()
{
    const std::string who = "seed " + std::to_string(m_seed) + ": ";
    for (const auto &[key, count] : m_byKey) {
        if (count > 1) {
            return who + "a key ran " + std::to_string(count) + " times";
        }
    }
    std::map<std::string, std::string> firstAnswers;
    std::map<std::string, bool> mayHaveSent;
    for (const auto &request : m_requests) {
        if (request->hasGivenUp && request->executions > 0) {
            return who + "told not run, but it ran";
        }
        if (request->executions > 0) {
            firstAnswers[request->claim.key] = request->claim.nonce;
        }
    }
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        const KeyedRequest &request = *m_requests[i];
        const bool isReplay = request.isDecided && !request.hasGivenUp && request.told.result == ClaimResult::Replay;
        if (isReplay && request.told.outcome.body != firstAnswers[request.claim.key]) {
            return who + "a repeat got another answer than the first";
        }
        const bool isLast = i + keysInSchedule >= m_requests.size();
        if (!isLast) {
            const bool isUnknown = !request.isAlive || (request.told.result == ClaimResult::Won && !request.hasGivenUp);
            mayHaveSent[request.claim.key] = mayHaveSent[request.claim.key] || isUnknown;
            continue;
        }
        const bool hasWon = request.isDecided && !request.hasGivenUp && request.told.result == ClaimResult::Won;
        if (request.isAlive && !mayHaveSent[request.claim.key] && !hasWon && request.isDecided && !request.hasGivenUp) {
            return who + "a key stays locked by claimants that never sent";
        }
    }
    return {};
}

// Tests of schedules

TEST_GROUP(ClaimSchedules){};

TEST(ClaimSchedules, nothingRunsTwiceAndNoKeyStaysLocked)
{
    constexpr int schedules = 10000;
    int executions = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        ClaimSchedule schedule(static_cast<std::uint64_t>(seed));
        const std::string fault = schedule.run();
        STRCMP_EQUAL("", fault.c_str());
        executions += schedule.executions();
    }
    CHECK(executions > schedules * keysInSchedule / 2); // the schedules are not so cruel that nothing runs
}

// Tests of the fold

TEST_GROUP(ClaimFold)
{
    ClaimTable table;
    LogOffset offset = 0;
    UnixMillis time{epochMillis};
    std::string key = "kedai/ledger/" + makeUuidV7(UnixMillis(epochMillis), 1);

    ClaimItem item(ClaimKind kind, const std::string &nonce, const std::string &print = "f")
    {
        ClaimItem result;
        result.kind = kind;
        result.key = key;
        result.nonce = nonce;
        result.fingerprint = print;
        result.outcome.status = 200;
        result.outcome.body = "answer of " + nonce;
        return result;
    }
    void put(const ClaimItem &entry)
    {
        table.applyRecord({offset++, time, encodeClaims({entry})});
    }
    ClaimResult result(const std::string &nonce)
    {
        const auto answer = table.answer(item(ClaimKind::Claim, nonce));
        return answer ? answer->result : ClaimResult::Unavailable;
    }
};

TEST(ClaimFold, theFirstClaimInTheLogWins)
{
    put(item(ClaimKind::Claim, "a"));
    put(item(ClaimKind::Claim, "b"));
    CHECK(result("a") == ClaimResult::Won);
    CHECK(result("b") == ClaimResult::InProgress);
}

TEST(ClaimFold, aVoidFreesTheKeyForTheNextClaimOnly)
{
    put(item(ClaimKind::Claim, "a"));
    put(item(ClaimKind::Claim, "b"));
    put(item(ClaimKind::Void, "a"));
    CHECK(result("b") == ClaimResult::Unavailable); // b lost for good
    put(item(ClaimKind::Claim, "c"));
    CHECK(result("c") == ClaimResult::Won);
}

TEST(ClaimFold, aClaimThatComesAfterItsVoidIsDead)
{
    put(item(ClaimKind::Void, "a"));
    put(item(ClaimKind::Claim, "a"));
    CHECK(result("a") == ClaimResult::Unavailable);
    put(item(ClaimKind::Claim, "b"));
    put(item(ClaimKind::Claim, "a")); // the lost append arrives once more
    CHECK(result("b") == ClaimResult::Won);
}

TEST(ClaimFold, anOutcomeIsKeptAndOnlyTheWinnersCounts)
{
    put(item(ClaimKind::Claim, "a"));
    put(item(ClaimKind::Outcome, "b"));
    CHECK(result("a") == ClaimResult::Won);
    put(item(ClaimKind::Outcome, "a"));
    CHECK(result("c") == ClaimResult::Replay);
    STRCMP_EQUAL("answer of a", table.answer(item(ClaimKind::Claim, "c"))->outcome.body.c_str());
    CHECK(table.answer(item(ClaimKind::Claim, "c", "other"))->result == ClaimResult::Mismatch);
}

TEST(ClaimFold, aKeyOutsideItsWindowNeverWins)
{
    time += std::chrono::seconds(601);
    put(item(ClaimKind::Claim, "a"));
    CHECK(result("a") == ClaimResult::Unavailable);
    CHECK(table.answerToRejected(item(ClaimKind::Claim, "a"))->result == ClaimResult::Expired);
}

TEST(ClaimFold, keysAreForgottenOnlyWhenNoWindowCanHoldThem)
{
    put(item(ClaimKind::Claim, "a"));
    const std::string first = key;
    time += maxKeyWindow;
    key = "kedai/ledger/" + makeUuidV7(time, 2);
    put(item(ClaimKind::Claim, "b"));
    LONGS_EQUAL(2, table.keys());
    time += std::chrono::seconds(121);
    key = "kedai/ledger/" + makeUuidV7(time, 3);
    put(item(ClaimKind::Claim, "c"));
    LONGS_EQUAL(2, table.keys());
    key = first;
    put(item(ClaimKind::Claim, "d"));
    CHECK(result("d") == ClaimResult::Unavailable);
}

TEST(ClaimFold, recordsThatDoNotParseChangeNothing)
{
    put(item(ClaimKind::Claim, "a"));
    for (const char *value : {"", "{", "[]", "{\"format\":1,\"kind\":\"claims\"}", "{\"format\":9,\"kind\":\"claims\"}",
                              "{\"format\":1,\"kind\":\"claims\",\"items\":[{\"key\":1}]}"}) {
        table.applyRecord({offset++, time, value});
    }
    CHECK(result("a") == ClaimResult::Won);
    LONGS_EQUAL(1, table.keys());
}
