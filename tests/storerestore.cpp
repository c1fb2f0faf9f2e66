// Tests of a store that comes back from a copy some seconds old: what was written since is lost, offsets go back and
// are given out again, and the writers of the desired state and of the registry write again.
#include "tests/nodefixture.h"

using namespace galenafold;

TEST_GROUP(RestoredStore)
{
    NodeFixture fixture;
};

/// The router went on reading at an offset that meanwhile belonged to another record, and never saw the one before it.
TEST(RestoredStore, ADesiredStateAtAnOffsetThatIsGivenOutAgainIsInForce)
{
    fixture.addReplica("a", respondOk);
    fixture.startAndWaitReady();
    fixture.store.backUp(); // ends at offset 1
    for (int version = 2; version <= 4; ++version) {
        fixture.store.put("keyed.op", "config", desiredState(version));
    }
    CHECK(waitFor([this] { return fixture.metric("desired_state_version") == 4; }));
    fixture.store.restore({{"keyed.op", "config", desiredState(4)},
                           {"keyed.op", "config", desiredState(5, {"k2"})},
                           {"keyed.op", "other", "x"}}); // ends where the router reads on
    CHECK(waitFor([this] { return fixture.metric("desired_state_version") == 5; }));
    const auto caller = fixture.send(encodeCallerRequest("/any/x", "id1", "k2"));
    CHECK(caller->read());
    LONGS_EQUAL(200, caller->status());
}

/// The copy is older than what the router has in force.
TEST(RestoredStore, TheDesiredStateDoesNotGoBack)
{
    fixture.addReplica("a", respondOk);
    fixture.startAndWaitReady();
    fixture.store.backUp();
    fixture.store.put("keyed.op", "config", desiredState(2, {"k2"}));
    CHECK(waitFor([this] { return fixture.metric("desired_state_version") == 2; }));
    const std::int64_t before = fixture.store.requestCount();
    fixture.store.restore();
    CHECK(waitFor([&] { return fixture.store.requestCount() >= before + 10; }));
    LONGS_EQUAL(2, fixture.metric("desired_state_version"));
    const auto caller = fixture.send(encodeCallerRequest("/any/x", "id1", "k1"));
    CHECK(caller->read());
    LONGS_EQUAL(401, caller->status());
}

/// Records of the registry were ignored until their offsets exceeded those from before.
TEST(RestoredStore, AReplicaThatDrainsAfterTheRestoreGetsNoRequests)
{
    FakeReplica &a = fixture.addReplica("a", respondOk);
    fixture.store.backUp();
    FakeReplica &b = fixture.addReplica("b", respondOk);
    for (int i = 0; i < 5; ++i) {
        fixture.store.put("keyed.servers", "a", a.entry());
    }
    fixture.startAndWaitReady();
    fixture.store.restore({{"keyed.servers", "b", b.entry()}, {"keyed.servers", "a", a.entry("draining")}});
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 1; }));
    const std::size_t before = a.requests().size();
    for (int i = 0; i < 10; ++i) {
        const auto caller = fixture.send(encodeCallerRequest("/once/x", "id" + std::to_string(i)));
        CHECK(caller->read());
        LONGS_EQUAL(200, caller->status());
    }
    LONGS_EQUAL(before, a.requests().size());
}
