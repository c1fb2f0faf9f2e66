// Tests of a store that comes back from a copy some seconds old: what was written since is lost, offsets go back and
// are given out again, and the writers of the desired state and of the registry write again.
#include "control/gossip.h"
#include "control/newestversion.h"
#include "control/replicadirectory.h"
#include "tests/routerfleet.h"
#include "tests/sharedstatefixture.h"

using namespace galenafold;

static Instant at(double seconds)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds + 1000)));
}

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

// Return

TEST_GROUP(ReturnedStore)
{
    NodeFixture fixture;
};

/// Replicas that lapsed while the store was away were dropped two seconds after its return, although it was away again
/// by then: all requests were refused for it.
TEST(ReturnedStore, ReplicasHaveTheirTimeOnceItIsThereToStay)
{
    FakeReplica &a = fixture.addReplica("a", respondOk);
    fixture.settings.reregistrationTimeout = std::chrono::milliseconds(1500);
    fixture.startAndWaitReady();
    fixture.store.setFault(StoreFault::Unavailable);
    CHECK(waitFor([this] { return fixture.metric("store_lost") == 2; }));
    fixture.store.put("keyed.servers", "a", "");
    fixture.store.setFault(StoreFault::None);
    CHECK(waitFor([this] { return fixture.metric("store_lost") == 0; }));
    fixture.store.setFault(StoreFault::Unavailable);
    CHECK(waitFor([this] { return fixture.metric("store_lost") == 2; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(2000)); // longer than the time to register again
    const auto caller = fixture.send(encodeCallerRequest("/any/x", "id1"));
    CHECK(caller->read());
    LONGS_EQUAL(200, caller->status());
    fixture.store.setFault(StoreFault::None);
    fixture.store.put("keyed.servers", "a", a.entry());
    CHECK(waitFor([this] { return fixture.metric("store_lost") == 0; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    LONGS_EQUAL(1, fixture.metric("replicas_usable"));
    fixture.store.put("keyed.servers", "a", "");
    CHECK(waitFor([this] { return fixture.metric("replicas_usable") == 0; })); // without an outage, at once
}

// Places

TEST_GROUP(RestoredPlaces)
{
    void setup() override
    {
        shared.state.onRead = record("read ");
        shared.state.onRestored = record("restored ");
    }
    StoredStateHook record(const char *name)
    {
        return [this, name](const std::vector<PlaceRecord> &places, const std::vector<SuspectBlock> &,
                            const TopicPosition &) { events.push_back(name + std::to_string(places.size())); };
    }
    void runUntil(const std::string &event)
    {
        events.clear();
        CHECK_TEXT(shared.runUntil([&] { return !events.empty() && events.back() == event; }), event.c_str());
    }

    SharedStateFixture shared;
    std::vector<std::string> events;
};

/// All routers took over the copy's older places, and prompts moved to other engines.
TEST(RestoredPlaces, PlacesInUseStayUntilARouterHasWrittenAgain)
{
    const std::vector<PlaceRecord> places = {{{"llm"}, 7, {"e7"}}};
    shared.state.start();
    runUntil("read 0");
    runUntil("read 0"); // the listing is followed by a read, whose answer could tell of the write before its own does
    shared.store.backUp();
    shared.state.savePlaces(places);
    runUntil("read 1");
    shared.store.restore();
    for (int i = 0; i < 2; ++i) { // the second time since a peer that knows nothing yet claims to have read further
        shared.state.readNow();
        runUntil("restored 0");
        LONGS_EQUAL(1, events.size());
    }
    shared.state.savePlaces(places);
    runUntil("read 1");
}

/// What was written before the restore counted as written again, and the copy's older places were taken over.
TEST(RestoredPlaces, AnAnswerFromBeforeTheRestoreDoesNotEndIt)
{
    const std::vector<PlaceRecord> places = {{{"llm"}, 7, {"e7"}}};
    shared.state.start();
    runUntil("read 0");
    runUntil("read 0");
    shared.store.backUp();
    shared.store.holdAppendAnswers(true);
    shared.state.savePlaces(places);
    CHECK(shared.runUntil([this] { return shared.store.heldAnswers() > 0; }));
    shared.store.restore();
    shared.state.readNow();
    runUntil("restored 0"); // the listing
    runUntil("restored 0"); // and the read that follows it
    shared.store.holdAppendAnswers(false);
    runUntil("restored 0");
    LONGS_EQUAL(1, events.size());
}

/// Routers that had not read since a restore saw a lower end at those that had, and did not read until their interval
/// was over; the others read once more and once more for the higher end from before it.
TEST(RestoredPlaces, AnEndOfTheRestoredStoreIsFurtherThanAHigherOneFromBefore)
{
    CHECK(isFurther({40, 2}, {50, 1}));
    CHECK(!isFurther({50, 1}, {40, 2}));
    CHECK(isFurther({50, 2}, {40, 2}));
    CHECK(!isFurther({40, 2}, {40, 2}));
    CHECK(isFurther({1, 3}, {50, 255})); // the eras wrap
    CHECK(!isFurther({0, 3}, {50, 2}));  // it cannot reach the store
    CHECK(!isFurther({50, 3}, {0, 0}));  // nothing is read yet: a listing is due anyway
}

// Routers that start

TEST_GROUP(StartAfterARestore)
{
    /// @return HTTP status of a request with this API key
    int call(int router, const std::string &key)
    {
        const auto caller = fleet.connect(router);
        caller->send(encodeCallerRequest("/chat/x", "key" + std::to_string(++calls), key));
        return caller->read() ? caller->status() : 0;
    }
    void putState(int version, const std::string &key)
    {
        fleet.store.put("keyed.op", "config",
                        sampleDesiredState(version, {{"chat", "streaming", 2, true, 20000, true}}, {key}));
    }
    bool isInForce(int version)
    {
        return fleet.everywhere([&](int router) { return fleet.metric(router, "desired_state_version") == version; });
    }

    RouterFleet fleet;
    int calls = 0;
};

/// A router that started before the operator had written again served by the copy, also for keys that had been taken
/// away.
TEST(StartAfterARestore, NoRequestIsServedByAnOlderStateThanTheOthersHave)
{
    fleet.routerCount = 3;
    fleet.addReplica("a", [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        reply->beginStream(request);
        reply->sendEvent(0, "a");
        reply->endStream();
    });
    fleet.start();
    fleet.store.backUp();
    putState(2, "k2");
    CHECK(waitFor([this] { return isInForce(2); }));
    fleet.store.restore();
    fleet.restart(2);
    CHECK(waitFor([this] { return fleet.metric(2, "desired_state_outdated") == 1; }));
    for (int i = 0; i < 20; ++i) {
        CHECK(call(2, "k1") != 200);
        LONGS_EQUAL(200, call(0, "k2"));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    putState(2, "k2");
    CHECK(waitFor([this] { return call(2, "k2") == 200; }));
    LONGS_EQUAL(401, call(2, "k1"));
}

/// The word of the others counts for a limited time.
TEST(StartAfterARestore, ANewerStateIsWaitedForOnlyForATime)
{
    NewestVersion newest(std::chrono::seconds(3));
    CHECK(!newest.isOutdated(at(0), 5));
    newest.onTold(at(0), 5);
    CHECK(!newest.isOutdated(at(0), 5));
    newest.onTold(at(1), 7);
    CHECK(newest.isOutdated(at(1), 6));
    CHECK(!newest.isOutdated(at(1), 7));
    newest.onTold(at(2), 9); // does not prolong the wait
    CHECK(newest.isOutdated(at(2.9), 8));
    CHECK(!newest.isOutdated(at(3), 8));
}

// Directory

TEST_GROUP(RestoredRegistry)
{
    /// @param heartbeats counter since the replica's start
    static RegistryUpdate entry(const std::string &id, const TopicPosition &position, std::int64_t heartbeats)
    {
        ReplicaRecord record;
        record.id.text = id;
        record.service.text = "svc";
        record.address = "10.0.0.1:80";
        record.started = UnixMillis(1000);
        record.heartbeatCount = heartbeats;
        return {{id}, position, record};
    }
    ReplicaDirectory directory{std::chrono::seconds(2)};
};

/// The copy still names a replica that has left since.
TEST(RestoredRegistry, AReplicaThatLeftIsNotUsedAgainOnAccountOfTheCopy)
{
    directory.applyListing(at(0), {entry("a", {5, 1}, 7), entry("b", {6, 1}, 1)}, {7, 1});
    directory.apply(at(1), {{"a"}, {9, 1}, std::nullopt});
    LONGS_EQUAL(1, directory.usable().size());
    directory.onStoreRestored(at(2));
    directory.applyListing(at(2), {entry("a", {3, 2}, 5), entry("b", {6, 2}, 1)}, {7, 2});
    LONGS_EQUAL(1, directory.usable().size());
    directory.apply(at(3), entry("a", {8, 2}, 12)); // it has not left: it was only silent, and writes again
    LONGS_EQUAL(2, directory.usable().size());
}

TEST(RestoredRegistry, ReplicasThatTheCopyDoesNotNameHaveTimeToRegisterAgain)
{
    directory.applyListing(at(0), {entry("a", {5, 1}, 1), entry("b", {6, 1}, 1), entry("c", {7, 1}, 1)}, {8, 1});
    directory.onStoreRestored(at(1));
    directory.applyListing(at(1), {entry("a", {2, 2}, 1)}, {3, 2});
    LONGS_EQUAL(3, directory.usable().size());
    directory.apply(at(2), entry("b", {3, 2}, 4)); // at an offset below that of its last record
    directory.expire(at(4));
    LONGS_EQUAL(2, directory.usable().size());
}

TEST(RestoredRegistry, ARemovalAtALowerOffsetCounts)
{
    directory.applyListing(at(0), {entry("a", {5, 1}, 1)}, {6, 1});
    directory.onStoreRestored(at(1));
    directory.applyListing(at(1), {entry("a", {2, 2}, 1)}, {3, 2});
    directory.apply(at(9), {{"a"}, {4, 2}, std::nullopt});
    LONGS_EQUAL(0, directory.usable().size());
}

/// A record from before the restore that is applied after it was noted hid the removals that follow: their offsets are
/// lower.
TEST(RestoredRegistry, ARemovalCountsThoughAnEntryFromBeforeTheRestoreCameLate)
{
    directory.applyListing(at(0), {entry("a", {5, 1}, 1)}, {6, 1});
    directory.onStoreRestored(at(1));
    directory.apply(at(1), entry("a", {50, 1}, 9));
    directory.apply(at(9), {{"a"}, {4, 3}, std::nullopt}); // eras need not be in sequence
    LONGS_EQUAL(0, directory.usable().size());
}
