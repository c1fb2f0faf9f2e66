// A router node whose replicas have no room: what happens to the requests that wait when callers leave, API keys are
// taken, routes are dropped, replicas come, or the router drains.
#include "tests/nodefixture.h"

using namespace galenafold;
using std::chrono::milliseconds;

/// Requests name the parts of their prompts, so that the load of replicas is known.
static std::string engineState(int version, const std::vector<std::string> &keys = {"k1"})
{
    return sampleDesiredState(version, {{"chat", "idempotent", 2, false, 20000, true}}, keys);
}

/// The router knows from the registry how many requests a replica runs concurrently; more than this wait or are
/// refused.
constexpr int mostInProgress = 100;

TEST_GROUP(WaitingRequests)
{
    /// Responds at once, or as soon as nothing is held any more.
    void answer(const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
    {
        if (isHeld && !reply->isClosed()) {
            reply->runAfter(milliseconds(5), [this, request, reply] { answer(request, reply); });
        } else {
            reply->sendResponse(request, 200, "done");
        }
    }
    ReplicaScript script()
    {
        return [this](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            answer(request, reply);
        };
    }
    std::unique_ptr<RawCaller> call(const std::string &id, const std::string &key = "k1", int timeoutMs = 20000)
    {
        return fixture.send(
            encodeCallerRequest("/chat/x", id, key, timeoutMs, "X-Galenafold-Prompt-Prefix: f1:100,1:10\r\n"));
    }
    /// Starts a router with one replica, which holds as many requests as it has room for. Then one waits.
    void fill(const std::vector<std::string> &keys = {"k1"})
    {
        replica = &fixture.addReplica("a", script());
        fixture.store.put("keyed.op", "config", engineState(1, keys));
        fixture.start();
        CHECK(waitFor([this] { return fixture.readinessStatus() == 200; }));
        CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 1; }));
        const auto first = call("first"); // tells in which time the replica responds
        CHECK(first->read());
        isHeld = true;
        for (int i = 0; i < mostInProgress && waiting() < 1; ++i) {
            const int before = fixture.metric("calls_in_progress");
            held.push_back(call("held-" + std::to_string(i)));
            CHECK(waitFor([&] { return fixture.metric("calls_in_progress") > before; }));
        }
        LONGS_EQUAL(1, waiting());
    }
    int waiting()
    {
        return fixture.metric("requests_waiting{service=\"svc\"}");
    }
    void waitForWaiting(int count)
    {
        CHECK(waitFor([this, count] { return waiting() == count; }));
    }
    bool hasReceived(const std::string &id) const
    {
        const auto requests = replica->requests();
        return std::any_of(requests.begin(), requests.end(), [&id](const ReplicaRequest &request) {
            return request.field("X-Galenafold-Attempt-Id") == id;
        });
    }
    NodeFixture fixture;
    FakeReplica *replica = nullptr;
    std::atomic<bool> isHeld{false};
    std::vector<std::unique_ptr<RawCaller>> held; // the last one waits
};

TEST(WaitingRequests, StartWhenOthersEnd)
{
    fill();
    isHeld = false;
    for (const auto &caller : held) {
        CHECK(caller->read());
        LONGS_EQUAL(200, caller->status());
    }
    LONGS_EQUAL(0, waiting());
}

TEST(WaitingRequests, ACallerThatLeavesFreesItsPlaceAndIsNotSent)
{
    fill();
    const auto leaving = call("leaving");
    waitForWaiting(2);
    leaving->close();
    waitForWaiting(1);
    isHeld = false;
    CHECK(held.back()->read());
    LONGS_EQUAL(200, held.back()->status());
    CHECK(!hasReceived("leaving"));
}

TEST(WaitingRequests, ATakenKeyEndsTheWaitAtOnce)
{
    fill({"k1", "k2"});
    const auto revoked = call("revoked", "k2");
    waitForWaiting(2);
    fixture.store.put("keyed.op", "config", engineState(2));
    CHECK(revoked->read());
    LONGS_EQUAL(401, revoked->status());
    CHECK(isHeld);
    CHECK(!hasReceived("revoked"));
    LONGS_EQUAL(1, waiting());
}

TEST(WaitingRequests, ADroppedRouteEndsTheWaitAtOnce)
{
    fill();
    fixture.store.put("keyed.op", "config", sampleDesiredState(2, {{"other", "idempotent"}}, {"k1"}));
    CHECK(held.back()->read());
    LONGS_EQUAL(404, held.back()->status());
    LONGS_EQUAL(0, waiting());
}

TEST(WaitingRequests, StartAtAReplicaThatComes)
{
    fill();
    std::atomic<int> received{0};
    fixture.addReplica("b", [&received](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        ++received;
        reply->sendResponse(request, 200, "done");
    });
    CHECK(held.back()->read());
    LONGS_EQUAL(200, held.back()->status());
    LONGS_EQUAL(1, received);
    CHECK(isHeld);
}

/// Its time is over before a replica could respond.
TEST(WaitingRequests, WhatCannotStartInTimeIsRefusedAtOnceAndDoesNotRun)
{
    fill();
    const auto hurried = call("hurried", "k1", 1);
    CHECK(hurried->read());
    LONGS_EQUAL(503, hurried->status());
    CHECK(std::stod(hurried->field("Retry-After")) >= 0.25);
    LONGS_EQUAL(1, waiting());
    CHECK(!hasReceived("hurried"));
}

TEST(WaitingRequests, ADrainLetsThemStart)
{
    fixture.settings.drainTimeout = milliseconds(12000);
    fill();
    const auto waitingCaller = call("waiting", "k1", 8000);
    waitForWaiting(2);
    fixture.node->beginDrain();
    isHeld = false;
    CHECK(waitingCaller->read());
    LONGS_EQUAL(200, waitingCaller->status());
}

TEST(WaitingRequests, ADrainRefusesThoseThatMayNotEnd)
{
    fixture.settings.drainTimeout = milliseconds(6000);
    fill();
    const auto refused = call("refused"); // its deadline is after the end of the drain
    waitForWaiting(2);
    fixture.node->beginDrain();
    CHECK(refused->read());
    LONGS_EQUAL(503, refused->status());
    CHECK(!hasReceived("refused"));
    isHeld = false;
}
