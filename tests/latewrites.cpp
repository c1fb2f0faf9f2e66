// Tests of writes that the store does not answer and carries out seconds later.
#include "tests/nodefixture.h"

using namespace galenafold;

// Replicas

TEST_GROUP(LateHeartbeats)
{
    /// @return requests that replica `a` got of ten
    std::size_t requestsTo(const FakeReplica &a)
    {
        const std::size_t before = a.requests().size();
        for (int i = 0; i < 10; ++i) {
            const auto caller = fixture.send(encodeCallerRequest("/once/x", "id" + std::to_string(++calls)));
            CHECK(caller->read());
            LONGS_EQUAL(200, caller->status());
        }
        return a.requests().size() - before;
    }
    NodeFixture fixture;
    int calls = 0;
};

/// A replica that had left got requests again on account of a heartbeat from before, and lost them when it exited.
TEST(LateHeartbeats, AReplicaThatHasLeftGetsNoRequests)
{
    FakeReplica &a = fixture.addReplica("a", respondOk);
    fixture.addReplica("b", respondOk);
    fixture.startAndWaitReady();
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 2; }));
    const std::string unanswered = a.entry();
    fixture.store.put("keyed.servers", "a", a.entry());
    fixture.store.put("keyed.servers", "a", "");
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 1; }));
    fixture.store.put("keyed.servers", "a", unanswered);
    fixture.store.put("keyed.servers", "c", ""); // read with the one before
    const std::int64_t records = fixture.store.requestCount();
    CHECK(waitFor([&] { return fixture.store.requestCount() >= records + 5; }));
    LONGS_EQUAL(1, fixture.metric("replicas_usable"));
    LONGS_EQUAL(0, requestsTo(a));
    fixture.store.put("keyed.servers", "a", a.entry("ready", 2)); // it starts again under its name
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 2; }));
}

/// Heartbeats go on counting through an outage in which all entries lapse, so each replica is back with its next one.
TEST(LateHeartbeats, ReplicasThatLapsedInAnOutageAreBackWithTheirNextHeartbeat)
{
    FakeReplica &a = fixture.addReplica("a", respondOk);
    FakeReplica &b = fixture.addReplica("b", respondOk);
    fixture.settings.reregistrationTimeout = std::chrono::milliseconds(300);
    fixture.startAndWaitReady();
    fixture.store.setFault(StoreFault::Unavailable);
    CHECK(waitFor([this] { return fixture.metric("store_lost") == 2; }));
    fixture.store.put("keyed.servers", "a", "");
    fixture.store.put("keyed.servers", "b", "");
    fixture.store.setFault(StoreFault::None);
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 0; })); // they come later than they have time
    fixture.store.put("keyed.servers", "a", a.entry());
    fixture.store.put("keyed.servers", "b", b.entry());
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 2; }));
}
