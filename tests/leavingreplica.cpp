// Tests of replicas whose answers announce that they will stop, whatever the registry says of them.
#include "tests/nodefixture.h"

using namespace galenafold;
using std::chrono::milliseconds;

constexpr const char *leavingHeader = "Server-Leaving: 1\r\n";

TEST_GROUP(LeavingReplica)
{
    /// Responds as a replica does, with the announcement while `isLeaving` is set.
    ReplicaScript script(std::atomic<bool> & isLeaving)
    {
        return [&isLeaving](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            reply->sendResponse(request, 200, "done", isLeaving ? leavingHeader : "");
        };
    }
    int call(const std::string &path = "/once/x")
    {
        const auto caller = fixture.send(encodeCallerRequest(path, "id" + std::to_string(++calls)));
        CHECK(caller->read());
        return caller->status();
    }
    /// Sends requests until the replica has received one more.
    void callUntilReached(const FakeReplica &replica)
    {
        const std::size_t before = replica.requests().size();
        CHECK(waitFor([&] {
            call();
            return replica.requests().size() > before;
        }));
    }
    /// Starts the router with replicas a and b. @return replica a
    FakeReplica &startWithTwo()
    {
        FakeReplica &a = fixture.addReplica("a", script(aIsLeaving));
        fixture.addReplica("b", script(bIsLeaving));
        fixture.startAndWaitReady();
        return a;
    }
    /// Has the router receive the announcement of replica a.
    void announceLeaving(const FakeReplica &a)
    {
        aIsLeaving = true;
        callUntilReached(a);
    }
    /// @return requests that the replica receives of twenty
    std::size_t shareOfTwenty(const FakeReplica &replica)
    {
        const std::size_t before = replica.requests().size();
        for (int i = 0; i < 20; ++i) {
            LONGS_EQUAL(200, call(i % 2 == 0 ? "/once/x" : "/any/x"));
        }
        return replica.requests().size() - before;
    }
    NodeFixture fixture;
    std::atomic<bool> aIsLeaving{false};
    std::atomic<bool> bIsLeaving{false};
    int calls = 0;
};

/// It got requests until the registry told of it.
TEST(LeavingReplica, GetsNoRequestsWhileTheStoreIsAway)
{
    FakeReplica &a = startWithTwo();
    callUntilReached(a); // over connections that are kept
    fixture.store.setFault(StoreFault::NoResponse);
    announceLeaving(a);
    LONGS_EQUAL(0, shareOfTwenty(a));
}

TEST(LeavingReplica, GetsNoRequestsThoughTheRegistryNamesItAgain)
{
    FakeReplica &a = startWithTwo();
    announceLeaving(a);
    fixture.store.put("keyed.servers", "a", "");
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 1; }));
    fixture.store.put("keyed.servers", "a", a.entry());
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 2; }));
    LONGS_EQUAL(0, shareOfTwenty(a));
}

TEST(LeavingReplica, GetsRequestsAfterItHasStartedAgain)
{
    FakeReplica &a = startWithTwo();
    announceLeaving(a);
    aIsLeaving = false;
    fixture.store.put("keyed.servers", "a", a.entry("ready", 2));
    callUntilReached(a);
}

TEST(LeavingReplica, DoesNotPassTheMarkOnToAnotherReplicaAtItsAddress)
{
    FakeReplica &a = startWithTwo();
    announceLeaving(a);
    aIsLeaving = false;
    fixture.store.put("keyed.servers", "a", "");
    fixture.store.put("keyed.servers", "c", a.entry());
    callUntilReached(a);
}

/// The answer of the run before comes once the next one is registered.
TEST(LeavingReplica, ALateAnswerOfAnEarlierRunDoesNotMarkTheNext)
{
    std::atomic<bool> isHeld{true};
    FakeReplica &a =
        fixture.addReplica("a", [&](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            if (request.field("X-Galenafold-Attempt-Id") != "held") {
                reply->sendResponse(request, 200, "done");
                return;
            }
            const auto poll = std::make_shared<std::function<void()>>();
            *poll = [&isHeld, poll, request, reply] {
                if (isHeld) {
                    reply->runAfter(milliseconds(5), *poll);
                } else {
                    reply->sendResponse(request, 200, "late", leavingHeader);
                }
            };
            (*poll)();
        });
    fixture.startAndWaitReady();
    const auto held = fixture.send(encodeCallerRequest("/once/x", "held"));
    CHECK(waitFor([&] { return a.requests().size() == 1; }));
    const int records = fixture.metric("store_calls_total{topic=\"registry\"}");
    fixture.store.put("keyed.servers", "a", a.entry("ready", 2));
    CHECK(waitFor([&] { return fixture.metric("store_calls_total{topic=\"registry\"}") >= records + 2; }));
    isHeld = false;
    CHECK(held->read());
    LONGS_EQUAL(200, call());
}

TEST(LeavingReplica, IfAllOfThemLeaveRequestsAreRefusedAtOnce)
{
    FakeReplica &a = fixture.addReplica("a", script(aIsLeaving));
    fixture.startAndWaitReady();
    aIsLeaving = true;
    LONGS_EQUAL(200, call());
    LONGS_EQUAL(503, call());
    LONGS_EQUAL(503, call("/any/x"));
    LONGS_EQUAL(1, a.requests().size());
}

/// What is in progress there ends as it would, and a stream that breaks goes on elsewhere.
TEST(LeavingReplica, StreamsInProgressThereGoOn)
{
    const ReplicaScript stream = [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        const std::string id = request.field("X-Galenafold-Attempt-Id");
        reply->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Galenafold-Response-Seal: s\r\n"
                    "X-Galenafold-Attempt-Id: "
                    + id + "\r\n" + leavingHeader + "Transfer-Encoding: chunked\r\n\r\n");
        reply->sendEvent(0, "a");
        reply->runAfter(milliseconds(100), [reply] {
            reply->sendEvent(1, "b");
            reply->endStream();
        });
    };
    FakeReplica &a = fixture.addReplica("a", stream);
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/live/x", "id"));
    CHECK(waitFor([this] { return fixture.metric("calls_streaming") == 1; }));
    LONGS_EQUAL(503, call("/live/x"));
    CHECK(caller->read());
    CHECK(caller->body().find("data: b") != std::string::npos);
    LONGS_EQUAL(1, a.requests().size());
}

/// A refusal announces it as well; the request goes to another replica.
TEST(LeavingReplica, IsKnownByItsRefusals)
{
    FakeReplica &a = fixture.addReplica("a", [](const ReplicaRequest &request, const auto &reply) {
        std::string refusal = notExecutedResponse(request);
        reply->send(refusal.insert(refusal.find("Content-Length"), leavingHeader));
    });
    fixture.addReplica("b", script(bIsLeaving));
    fixture.startAndWaitReady();
    callUntilReached(a);
    std::this_thread::sleep_for(milliseconds(100)); // a refusal alone counts for 50 ms
    LONGS_EQUAL(0, shareOfTwenty(a));
}
