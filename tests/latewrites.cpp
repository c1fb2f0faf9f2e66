// Tests of writes that the store does not answer and carries out seconds later: by replicas, and by the routers
// themselves.
#include "tests/sharedstatefixture.h"

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

// Routers

TEST_GROUP(LateSaves)
{
    void setup() override
    {
        const auto record = [this](const std::vector<PlaceRecord> &places, const std::vector<SuspectBlock> &,
                                   const TopicPosition &) { known = places.size(); };
        shared.state.onRead = record;
        shared.state.onRestored = record;
    }
    /// Saves until that has been read, as the leader of the routers does.
    bool saveUntilKnown(const PlaceRecord &place, std::size_t count)
    {
        return shared.runUntil([&] {
            shared.state.savePlaces({place});
            return known == count;
        });
    }
    /// Sends a save whose answer is lost, which the store may carry out later.
    void loseSave()
    {
        shared.store.setFault(StoreFault::LateWrites);
        shared.state.savePlaces({{{"llm"}, 7, {"e7"}}});
        CHECK(shared.runUntil([this] { return shared.store.lateWrites() == 1; }));
        shared.store.setFault(StoreFault::None);
        CHECK(shared.runUntil([this] { return shared.state.stats().failures > 0; }));
    }

    SharedStateFixture shared;
    std::size_t known = 99; // places, as told last
    bool hasSaved = false;
};

/// A late write of a router is conditional on what it had read: nothing written since is replaced by it.
TEST(LateSaves, ALateSaveDoesNotReplaceWhatWasWrittenSince)
{
    shared.state.start();
    CHECK(shared.runUntil([this] { return known == 0; }));
    loseSave();
    CHECK(saveUntilKnown({{"llm"}, 7, {"e8"}}, 1));
    LONGS_EQUAL(0, shared.store.carryOutLateWrites());
}

/// A listing of several pages names records that were written after it began, and lacks others. A save was conditional
/// on the end of the former, so that it could replace one that had not been read.
TEST(LateSaves, ASaveIsConditionalOnWhatIsKnownCompletely)
{
    const std::string place = "{\"service\":\"llm\",\"replica\":\"e1\"}";
    shared.store.put("keyed.places", "07", place);
    shared.store.put("keyed.places", "08", place);
    shared.store.setPageSize(1);
    shared.store.setRate(1 << 30); // counts what it serves
    shared.state.onRead = [this](const std::vector<PlaceRecord> &places, const std::vector<SuspectBlock> &,
                                 const TopicPosition &) {
        known = places.size();
        if (!hasSaved) {
            hasSaved = true;
            shared.state.savePlaces({{{"llm"}, 7, {"e7"}}});
        }
    };
    shared.state.start();
    CHECK(shared.runUntil([this] { return shared.store.requestCount() == 1; }));
    CHECK(waitFor([this] { return shared.store.bytesServed() > 0; })); // the first page, which is not read yet
    shared.store.put("keyed.places", "07", place);
    shared.store.put("keyed.places", "08", place);
    CHECK(shared.runUntil(
        [this] { return hasSaved && shared.store.requestCount() >= 5; })); // two pages, the save, two reads
    LONGS_EQUAL(4, shared.store.put("keyed.places", "09", place));         // nothing was saved
}

/// Between a restore and the listing that follows it, the end from before would be a condition on another topic.
TEST(LateSaves, NothingIsSavedBetweenARestoreAndItsListing)
{
    shared.state.start();
    CHECK(shared.runUntil([this] { return known == 0; }));
    shared.store.backUp();
    shared.state.savePlaces({{{"llm"}, 7, {"e7"}}});
    CHECK(shared.runUntil([this] { return known == 1; }));
    shared.store.restore({{"keyed.places", "other", "x"}}); // ends where the router would go on
    shared.state.readNow();
    CHECK(shared.runUntil([this] { return shared.state.topic().era() == std::optional<StoreEra>(2); }));
    const std::int64_t before = shared.state.stats().calls;
    shared.state.savePlaces({{{"llm"}, 8, {"e8"}}});
    LONGS_EQUAL(before, shared.state.stats().calls);
    CHECK(shared.runUntil([this] { return known == 0; })); // as the copy tells
    CHECK(saveUntilKnown({{"llm"}, 8, {"e8"}}, 1));
}

/// A save that reaches the restored store at an end that happens to be the same says nothing of what is there.
TEST(LateSaves, AnAnswerOfTheRestoredStoreToAnOlderSaveIsReadAnew)
{
    shared.state.start();
    CHECK(shared.runUntil([this] { return known == 0; }));
    shared.store.backUp();
    shared.state.savePlaces({{{"llm"}, 7, {"e7"}}});
    CHECK(shared.runUntil([this] { return known == 1; }));
    shared.store.restore({{"keyed.places", "other", "x"}});
    shared.state.savePlaces({{{"llm"}, 8, {"e8"}}}); // this router has not read since
    CHECK(shared.runUntil([this] { return shared.state.topic().era() == std::optional<StoreEra>(2); }));
    CHECK(saveUntilKnown({{"llm"}, 9, {"e9"}}, 2)); // 8 and 9; 7 is lost
}
