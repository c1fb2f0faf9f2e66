// Tests which replicas can start one more request at once, and what a router does where none can.
#include "filters/replicaroom.h"
#include "filters/loadbalancer.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace galenafold;

/// @param value seconds since the start of the test
static Instant at(double value)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value + 1000)));
}

static std::vector<ReplicaRecord> replicas(int count, int slots)
{
    std::vector<ReplicaRecord> records;
    for (int i = 0; i < count; ++i) {
        ReplicaRecord record;
        record.id.text = "r" + std::to_string(i);
        record.service.text = "s";
        record.slots = slots;
        records.push_back(record);
    }
    return records;
}

static SelectionRequest withPrompt(std::uint64_t prompt)
{
    SelectionRequest request;
    request.service.text = "s";
    request.affinity = prompt;
    request.needsRoom = true;
    return request;
}

static SelectionRequest withoutPrompt()
{
    SelectionRequest request = withPrompt(0);
    request.affinity.reset();
    return request;
}

TEST_GROUP(ReplicaRoom)
{
    LoadBalancer balancer{LoadBalancerSettings(), {"here"}, 1};

    /// @return requests sent until no replica has room
    int fill(double now, const SelectionRequest &request)
    {
        int sent = 0;
        for (ReplicaChoice choice = balancer.choose(at(now), request); choice && sent < 1000;
             choice = balancer.choose(at(now), request)) {
            balancer.onSent(choice->record.id);
            ++sent;
        }
        return sent;
    }
};

TEST(ReplicaRoom, ASlowedDownReplicaHasLessAndAnyHasSome)
{
    DOUBLES_EQUAL(15, roomLimit(12), 0.001);
    DOUBLES_EQUAL(15, roomLimit(12, 1.5), 0.001);
    DOUBLES_EQUAL(3.75, roomLimit(12, 4), 0.001);
    DOUBLES_EQUAL(1, roomLimit(12, 40), 0.001);
    DOUBLES_EQUAL(3, room({12, 12, 1}), 0.001);
    DOUBLES_EQUAL(-15, room({12, 30, 1}), 0.001);
}

TEST(ReplicaRoom, EnginesGetWhatTheirBatchTakesAndALittleMore)
{
    balancer.updateReplicas(at(0), replicas(10, 12));
    LONGS_EQUAL(150, fill(0, withPrompt(42)));
    const ReplicaChoice full = balancer.choose(at(0), withPrompt(42));
    CHECK_FALSE(full);
    LONGS_EQUAL(10, full.skippedBusy);
    LONGS_EQUAL(0, full.skippedFull);
    CHECK(balancer.freeSlots(at(0), {"s"}) <= 0);
}

/// What may wait at the engines stays free for requests of other accounts.
TEST(ReplicaRoom, ARequestThatLeavesTheBacklogGetsFreeSlotsAlone)
{
    balancer.updateReplicas(at(0), replicas(10, 12));
    SelectionRequest overShare = withPrompt(42);
    overShare.leavesBacklog = true;
    LONGS_EQUAL(120, fill(0, overShare));
    LONGS_EQUAL(10, balancer.choose(at(0), overShare).skippedBusy);
    LONGS_EQUAL(30, fill(0, withPrompt(42)));
}

TEST(ReplicaRoom, ARequestThatNeedsNoRoomIsSentAsBefore)
{
    balancer.updateReplicas(at(0), replicas(10, 12));
    fill(0, withPrompt(42));
    SelectionRequest request = withPrompt(42);
    request.needsRoom = false;
    const ReplicaChoice choice = balancer.choose(at(0), request);
    CHECK(bool(choice));
    LONGS_EQUAL(0, choice.skippedBusy);
}

TEST(ReplicaRoom, AFreedPlaceIsUsedAtOnce)
{
    balancer.updateReplicas(at(0), replicas(10, 12));
    fill(0, withPrompt(42));
    balancer.onEnded(at(0.1), {"r3"}, AttemptOutcome::Good);
    balancer.onEnded(at(0.1), {"r3"}, AttemptOutcome::Good);
    const ReplicaChoice choice = balancer.choose(at(0.1), withPrompt(42));
    CHECK(bool(choice));
    STRCMP_EQUAL("r3", choice->record.id.text.c_str());
    CHECK(choice.skippedBusy > 0);
}

TEST(ReplicaRoom, TheLoadThatAReplicaReportsCounts)
{
    balancer.updateReplicas(at(0), replicas(2, 0)); // the registry does not tell the slots
    balancer.onLoad(at(0), {"r0"}, {6, 9, 6, 1});
    balancer.onLoad(at(0), {"r1"}, {6, 0, 6, 1});
    STRCMP_EQUAL("r1", balancer.choose(at(0.01), withoutPrompt())->record.id.text.c_str());
    balancer.onLoad(at(0.02), {"r1"}, {6, 2, 6, 1});
    const ReplicaChoice full = balancer.choose(at(0.03), withoutPrompt());
    CHECK_FALSE(full);
    LONGS_EQUAL(2, full.skippedBusy);
    CHECK(balancer.freeSlots(at(0.03), {"s"}) < 0);
}

/// An engine ends when the requests that it holds exceed its memory.
TEST(ReplicaRoom, AnEngineIsGivenNoMoreTokensThanItHolds)
{
    balancer.updateReplicas(at(0), replicas(1, 12));
    SelectionRequest request = withPrompt(42);
    request.tokens = 41000;
    request.replicaTokens = 283000;
    int sent = 0;
    for (; balancer.choose(at(0), request); ++sent) {
        balancer.onSent({"r0"}, request.tokens);
    }
    LONGS_EQUAL(6, sent);
    LONGS_EQUAL(1, balancer.choose(at(0), request).skippedBusy);
    balancer.onLoad(at(0.1), {"r0"}, {10, 0, 12, 1}); // four more, of other routers
    balancer.onEnded(at(0.1), {"r0"}, AttemptOutcome::Good, request.tokens);
    CHECK_FALSE(balancer.choose(at(0.1), request));
    request.tokens = 1000;
    CHECK_FALSE(balancer.choose(at(0.1), request));
    balancer.onLoad(at(0.2), {"r0"}, {5, 0, 12, 1}); // they have ended
    CHECK(bool(balancer.choose(at(0.2), request)));
    request.tokens = 500000;
    CHECK_FALSE(balancer.choose(at(0.2), request)); // too large for any, but it might be the only one
}

/// Each router found out by a refusal of its own that an engine was full.
TEST(ReplicaRoom, ARefusalOfAnEngineTellsTheOtherRouters)
{
    LoadBalancer peer{LoadBalancerSettings(), {"here"}, 2};
    for (LoadBalancer *router : {&balancer, &peer}) {
        router->updateReplicas(at(0), replicas(2, 12));
        router->setActivePeers(1, std::chrono::milliseconds(200));
    }
    const EndpointId preferred = balancer.choose(at(0), withPrompt(42))->record.id;
    CHECK(peer.choose(at(0), withPrompt(42))->record.id == preferred);
    balancer.onSent(preferred);
    balancer.onEnded(at(0), preferred, AttemptOutcome::Refused);
    CHECK(balancer.hasUrgentNews(at(0)));
    peer.onReportedLoads(at(0.01), balancer.takeUnexpectedLoads(at(0.01)));
    CHECK(peer.choose(at(0.02), withPrompt(42))->record.id != preferred);
    CHECK(balancer.choose(at(0.12), withPrompt(42))->record.id != preferred);
    CHECK(peer.choose(at(3), withPrompt(42))->record.id == preferred);
}

/// A few replicas that tell no load. Each refusal was followed by a request to the next full one.
TEST(ReplicaRoom, AReplicaThatTellsNoLoadHasRoomUntilItRefuses)
{
    balancer.updateReplicas(at(0), replicas(3, 6));
    for (const char *id : {"r0", "r1", "r2"}) {
        CHECK(bool(balancer.choose(at(0), withoutPrompt())));
        balancer.onSent({id});
        balancer.onEnded(at(0), {id}, AttemptOutcome::Refused);
    }
    const ReplicaChoice full = balancer.choose(at(0.09), withoutPrompt());
    CHECK_FALSE(full);
    LONGS_EQUAL(3, full.skippedBusy);
}

/// Without load reports, one request at a time finds out that a replica has room again.
TEST(ReplicaRoom, ARefusalDoesNotStopServiceForLong)
{
    balancer.updateReplicas(at(0), replicas(1, 6));
    balancer.onSent({"r0"});
    balancer.onEnded(at(0), {"r0"}, AttemptOutcome::Refused);
    double now = 0;
    for (int refusals = 0; refusals < 20; ++refusals) {
        const double asked = now;
        while (!balancer.choose(at(now), withoutPrompt())) {
            now += 0.01;
        }
        CHECK(now - asked < 0.85);
        CHECK_FALSE(balancer.choose(at(now), withoutPrompt())); // only one request asks it
        balancer.onSent({"r0"});
        balancer.onEnded(at(now), {"r0"}, AttemptOutcome::Refused);
    }
    now += 0.85;
    CHECK(bool(balancer.choose(at(now), withoutPrompt())));
    balancer.onSent({"r0"});
    balancer.onEnded(at(now + 0.02), {"r0"}, AttemptOutcome::Good);
    for (int i = 0; i < 5; ++i) {
        CHECK(bool(balancer.choose(at(now + 0.03), withoutPrompt())));
        balancer.onSent({"r0"});
    }
}
