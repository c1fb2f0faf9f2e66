// Tests of writes that the store does not answer and carries out seconds later: by replicas, and by the routers
// themselves.
#include "runtime/sharedstate.h"
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

// Routers

TEST_GROUP(LateSaves)
{
    void setup() override
    {
        const auto record = [this](const std::vector<PlaceRecord> &places, const std::vector<SuspectBlock> &,
                                   const TopicPosition &) { known = places.size(); };
        state.onRead = record;
        state.onRestored = record;
    }
    /// Saves until that has been read, as the leader of the routers does.
    bool saveUntilKnown(const PlaceRecord &place, std::size_t count)
    {
        return runUntil([&] {
            state.savePlaces({place});
            return known == count;
        });
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant deadline = clockNow() + eventTimeout;
        while (!condition() && clockNow() < deadline) {
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }
    static EventLogSettings withoutOutput()
    {
        EventLogSettings settings;
        settings.fd = -1;
        return settings;
    }
    /// Sends a save whose answer is lost, which the store may carry out later.
    void loseSave()
    {
        fixture.store.setFault(StoreFault::LateWrites);
        state.savePlaces({{{"llm"}, 7, {"e7"}}});
        CHECK(runUntil([this] { return fixture.store.lateWrites() == 1; }));
        fixture.store.setFault(StoreFault::None);
        CHECK(runUntil([this] { return state.stats().failures > 0; }));
    }

    NodeFixture fixture;
    asio::io_context io;
    EventLog log{withoutOutput()};
    SharedState state{io, fixture.store.address(), 0, log, 1};
    std::size_t known = 99; // places, as told last
    bool hasSaved = false;
};

/// A late write of a router is conditional on what it had read: nothing written since is replaced by it.
TEST(LateSaves, ALateSaveDoesNotReplaceWhatWasWrittenSince)
{
    state.start();
    CHECK(runUntil([this] { return known == 0; }));
    loseSave();
    CHECK(saveUntilKnown({{"llm"}, 7, {"e8"}}, 1));
    LONGS_EQUAL(0, fixture.store.carryOutLateWrites());
}

/// A listing of several pages names records that were written after it began, and lacks others. A save was conditional
/// on the end of the former, so that it could replace one that had not been read.
TEST(LateSaves, ASaveIsConditionalOnWhatIsKnownCompletely)
{
    const std::string place = "{\"service\":\"llm\",\"replica\":\"e1\"}";
    fixture.store.put("keyed.places", "07", place);
    fixture.store.put("keyed.places", "08", place);
    fixture.store.setPageSize(1);
    fixture.store.setRate(1 << 30); // counts what it serves
    state.onRead = [this](const std::vector<PlaceRecord> &places, const std::vector<SuspectBlock> &,
                          const TopicPosition &) {
        known = places.size();
        if (!hasSaved) {
            hasSaved = true;
            state.savePlaces({{{"llm"}, 7, {"e7"}}});
        }
    };
    state.start();
    CHECK(runUntil([this] { return fixture.store.requestCount() == 1; }));
    CHECK(waitFor([this] { return fixture.store.bytesServed() > 0; })); // the first page, which is not read yet
    fixture.store.put("keyed.places", "07", place);
    fixture.store.put("keyed.places", "08", place);
    CHECK(runUntil([this] { return hasSaved && fixture.store.requestCount() >= 5; })); // two pages, the save, two reads
    LONGS_EQUAL(4, fixture.store.put("keyed.places", "09", place));                    // nothing was saved
}

/// Between a restore and the listing that follows it, the end from before would be a condition on another topic.
TEST(LateSaves, NothingIsSavedBetweenARestoreAndItsListing)
{
    state.start();
    CHECK(runUntil([this] { return known == 0; }));
    fixture.store.backUp();
    state.savePlaces({{{"llm"}, 7, {"e7"}}});
    CHECK(runUntil([this] { return known == 1; }));
    fixture.store.restore({{"keyed.places", "other", "x"}}); // ends where the router would go on
    state.readNow();
    CHECK(runUntil([this] { return state.topic().era() == std::optional<StoreEra>(2); }));
    const std::int64_t before = state.stats().calls;
    state.savePlaces({{{"llm"}, 8, {"e8"}}});
    LONGS_EQUAL(before, state.stats().calls);
    CHECK(runUntil([this] { return known == 0; })); // as the copy tells
    CHECK(saveUntilKnown({{"llm"}, 8, {"e8"}}, 1));
}

/// A save that reaches the restored store at an end that happens to be the same says nothing of what is there.
TEST(LateSaves, AnAnswerOfTheRestoredStoreToAnOlderSaveIsReadAnew)
{
    state.start();
    CHECK(runUntil([this] { return known == 0; }));
    fixture.store.backUp();
    state.savePlaces({{{"llm"}, 7, {"e7"}}});
    CHECK(runUntil([this] { return known == 1; }));
    fixture.store.restore({{"keyed.places", "other", "x"}});
    state.savePlaces({{{"llm"}, 8, {"e8"}}}); // this router has not read since
    CHECK(runUntil([this] { return state.topic().era() == std::optional<StoreEra>(2); }));
    CHECK(saveUntilKnown({{"llm"}, 9, {"e9"}}, 2)); // 8 and 9; 7 is lost
}
