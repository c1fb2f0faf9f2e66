// Tests of evacuated data centres and of regions that routes and accounts allow: a router node in front of replicas in
// two data centres, and the operator's records in the store.
//
// Sections of this file: Evacuation, Regions.
#include "control/evacuations.h"
#include "tests/nodefixture.h"

#include <nlohmann/json.hpp>

using namespace galenafold;
using Json = nlohmann::json;

constexpr int callsPerCheck = 20; // of which a replica would get some if it might

/// Two replicas in data centres of their own. The router runs in a third, so that it prefers neither.
struct TwoDataCentres : NodeFixture {
    explicit TwoDataCentres(ReplicaScript nearScript = respondOk, ReplicaScript farScript = respondOk)
        : near(addReplica("a", std::move(nearScript), "here"))
        , far(addReplica("b", std::move(farScript), "there"))
    {
        settings.dataCentre.text = "elsewhere";
    }
    void evacuate(const std::string &dataCentre) { store.put("keyed.op", "evacuate/" + dataCentre, "{}"); }
    void takeBack(const std::string &dataCentre) { store.put("keyed.op", "evacuate/" + dataCentre, ""); }
    std::unique_ptr<RawCaller> call(const std::string &path = "/any/x")
    {
        auto caller = send(encodeCallerRequest(path, "id" + std::to_string(++calls)));
        CHECK(caller->read());
        return caller;
    }
    /// @return requests that the replica gets of some that are all served
    std::size_t share(const FakeReplica &replica)
    {
        const std::size_t before = replica.requests().size();
        for (int i = 0; i < callsPerCheck; ++i) {
            LONGS_EQUAL(200, call(i % 2 == 0 ? "/any/x" : "/once/x")->status());
        }
        return replica.requests().size() - before;
    }
    bool getsNone(const FakeReplica &replica)
    {
        return waitFor([&] { return share(replica) == 0; });
    }
    bool getsSome(const FakeReplica &replica)
    {
        return waitFor([&] { return share(replica) > 0; });
    }

    FakeReplica &near;
    FakeReplica &far;
    int calls = 0;
};

// Evacuation

TEST_GROUP(EvacuatedDataCentre)
{
    TwoDataCentres fixture;
};

TEST(EvacuatedDataCentre, GetsNoRequestsUntilItIsTakenBack)
{
    fixture.startAndWaitReady();
    CHECK(fixture.getsSome(fixture.far));
    fixture.evacuate("there");
    CHECK(fixture.getsNone(fixture.far));
    LONGS_EQUAL(1, fixture.metric("data_centre_evacuated{data_centre=\"there\"}"));
    fixture.takeBack("there");
    CHECK(fixture.getsSome(fixture.far));
    LONGS_EQUAL(-1, fixture.metric("data_centre_evacuated{data_centre=\"there\"}"));
}

TEST(EvacuatedDataCentre, GetsNoRequestsFromARouterThatStarts)
{
    fixture.evacuate("there");
    fixture.startAndWaitReady();
    LONGS_EQUAL(0, fixture.share(fixture.far));
    fixture.takeBack("there");
    CHECK(fixture.getsSome(fixture.far));
}

/// It was evacuated and taken back before the router started.
TEST(EvacuatedDataCentre, AnEvacuationThatWasTakenBackIsNotListed)
{
    fixture.evacuate("there");
    fixture.takeBack("there");
    fixture.startAndWaitReady();
    CHECK(fixture.getsSome(fixture.far));
}

TEST(EvacuatedDataCentre, GetsNoRequestsWhileTheStoreIsAwayAndAfterItsHistoryWasDeleted)
{
    fixture.startAndWaitReady();
    fixture.evacuate("there");
    CHECK(fixture.getsNone(fixture.far));
    fixture.store.setFault(StoreFault::Unavailable);
    CHECK(waitFor([this] { return fixture.metric("store_lost") == 2; }));
    LONGS_EQUAL(0, fixture.share(fixture.far));
    fixture.takeBack("there");
    fixture.store.truncateHistory("keyed.op"); // the end is listed by its absence alone
    fixture.store.setFault(StoreFault::None);
    CHECK(fixture.getsSome(fixture.far));
}

/// The copy is older than the evacuation, and names none.
TEST(EvacuatedDataCentre, GetsNoRequestsAfterTheStoreWasRestoredFromAnOlderCopy)
{
    fixture.startAndWaitReady();
    fixture.store.backUp();
    fixture.evacuate("there");
    CHECK(fixture.getsNone(fixture.far));
    const std::int64_t before = fixture.store.requestCount();
    fixture.store.restore();
    CHECK(waitFor([&] { return fixture.store.requestCount() >= before + 10; }));
    LONGS_EQUAL(0, fixture.share(fixture.far));
    fixture.evacuate("there"); // the operator writes it again, and takes it back later
    fixture.takeBack("there");
    CHECK(fixture.getsSome(fixture.far));
}

TEST(EvacuatedDataCentre, WithAllEvacuatedRequestsAreRefusedAtOnce)
{
    fixture.startAndWaitReady();
    fixture.evacuate("there");
    fixture.evacuate("here");
    CHECK(waitFor([this] { return fixture.call()->status() == 503; }));
    const std::size_t reached = fixture.near.requests().size() + fixture.far.requests().size();
    const auto caller = fixture.call("/once/x");
    LONGS_EQUAL(503, caller->status()); // not run
    CHECK(!caller->field("Retry-After").empty());
    LONGS_EQUAL(reached, fixture.near.requests().size() + fixture.far.requests().size());
    CHECK(fixture.metric("calls_total{kind=\"idempotent\",outcome=\"refused\",reason=\"evacuated\"}") > 0);
    fixture.takeBack("here");
    CHECK(waitFor([this] { return fixture.call()->status() == 200; }));
    LONGS_EQUAL(0, fixture.share(fixture.far));
}

TEST_GROUP(EvacuationInProgress){};

TEST(EvacuationInProgress, RequestsThatRunThereFinish)
{
    std::atomic<int> held{0};
    std::atomic<bool> isHolding{true};
    TwoDataCentres fixture(respondOk, [&](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        if (request.head.target != "/any/held") {
            reply->sendResponse(request, 200, "done");
            return;
        }
        ++held;
        const auto poll = std::make_shared<std::function<void()>>();
        *poll = [&isHolding, poll, request, reply] {
            if (isHolding) {
                reply->runAfter(std::chrono::milliseconds(5), *poll);
            } else {
                reply->sendResponse(request, 200, "late");
            }
        };
        (*poll)();
    });
    fixture.startAndWaitReady();
    std::vector<std::unique_ptr<RawCaller>> callers;
    CHECK(waitFor([&] {
        callers.push_back(fixture.send(encodeCallerRequest("/any/held", "h" + std::to_string(callers.size()))));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return held > 0;
    }));
    fixture.evacuate("there");
    CHECK(fixture.getsNone(fixture.far));
    isHolding = false;
    for (const auto &caller : callers) {
        CHECK(caller->read());
        LONGS_EQUAL(200, caller->status());
    }
}

/// The second attempt went to the data centre that was evacuated during the first.
TEST(EvacuationInProgress, ARetriedRequestDoesNotGoThere)
{
    TwoDataCentres fixture([](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        reply->send(notExecutedResponse(request));
    });
    fixture.startAndWaitReady();
    CHECK(waitFor([&] { return fixture.call()->status() == 200; }));
    fixture.evacuate("there");
    CHECK(waitFor([&] { return fixture.call()->status() == 503; }));
    const std::size_t before = fixture.far.requests().size();
    for (int i = 0; i < callsPerCheck; ++i) {
        LONGS_EQUAL(503, fixture.call()->status());
    }
    LONGS_EQUAL(before, fixture.far.requests().size());
}

TEST_GROUP(EvacuationRecords)
{
    Evacuations evacuations;
    std::size_t count() const
    {
        return evacuations.dataCentres().size();
    }
};

TEST(EvacuationRecords, CountInTheOrderOfTheirOffsets)
{
    CHECK(evacuations.apply({{"a"}, true, 5}).has_value());
    CHECK(!evacuations.apply({{"a"}, true, 6}).has_value()); // written again
    CHECK(evacuations.apply({{"a"}, false, 7}).has_value());
    CHECK(!evacuations.apply({{"a"}, true, 6}).has_value()); // late
    LONGS_EQUAL(0, count());
    CHECK(evacuations.applyListing({{{"a"}, true, 5}}, {9}).empty()); // a page from before
    LONGS_EQUAL(0, count());
}

TEST(EvacuationRecords, AListingEndsWhatItDoesNotName)
{
    evacuations.apply({{"a"}, true, 5});
    evacuations.apply({{"b"}, true, 6});
    evacuations.apply({{"c"}, true, 9});
    const auto changes = evacuations.applyListing({{{"b"}, true, 6}, {{"d"}, true, 7}}, {8});
    LONGS_EQUAL(2, changes.size()); // d begins, a ends; c is newer than the listing
    CHECK(evacuations.dataCentres() == std::set<DataCentreId>({{"b"}, {"c"}, {"d"}}));
}

TEST(EvacuationRecords, ARestoredStoreEndsNoneUntilItNamesTheDataCentre)
{
    evacuations.apply({{"a"}, true, {50, 1}});
    CHECK(evacuations.applyListing({}, {20, 2}).empty());
    LONGS_EQUAL(1, count());
    CHECK(evacuations.applyListing({}, {60, 2}).empty()); // also with the topic longer than before
    LONGS_EQUAL(1, count());
    evacuations.apply({{"a"}, true, {21, 2}});
    CHECK(evacuations.applyListing({}, {30, 2}).size() == 1); // from then on the store's listings count
    LONGS_EQUAL(0, count());
    evacuations.apply({{"b"}, true, {31, 2}});
    CHECK(evacuations.apply({{"b"}, false, {3, 4}}).has_value()); // two restores later
    LONGS_EQUAL(0, count());
}

// Regions

struct RegionFixture : TwoDataCentres {
    /// @param regions of the account, and those of the route "any"; null: not limited
    void start(const Json &accountRegions, const Json &routeRegions)
    {
        settings.regions = {{{"here"}, {"north"}}, {{"there"}, {"south"}}};
        Json state = Json::parse(desiredState(1));
        for (Json &route : state["routes"]) {
            if (route["name"] == "any" && !routeRegions.is_null()) {
                route["allowedRegions"] = routeRegions;
            }
        }
        if (!accountRegions.is_null()) {
            state["tenants"][0]["allowedRegions"] = accountRegions;
        }
        store.put("keyed.op", "config", state.dump());
        NodeFixture::start();
        CHECK(waitFor([this] { return readinessStatus() == 200; }));
        CHECK(waitFor([this] { return metric("replicas_usable") == static_cast<int>(replicas.size()); }));
    }
    /// @return requests of the route "any" that reached the near and the far replica
    std::pair<std::size_t, std::size_t> shares()
    {
        for (int i = 0; i < callsPerCheck; ++i) {
            call();
        }
        return {near.requests().size(), far.requests().size()};
    }
};

TEST_GROUP(AllowedRegions)
{
    RegionFixture fixture;
};

TEST(AllowedRegions, WithoutLimitsAnyReplicaIsUsed)
{
    fixture.start(nullptr, nullptr);
    const auto [near, far] = fixture.shares();
    CHECK(near > 0 && far > 0);
}

TEST(AllowedRegions, OfARouteBindItsRequestsAlone)
{
    fixture.start(nullptr, Json::array({"south"}));
    const auto [near, far] = fixture.shares();
    LONGS_EQUAL(0, near);
    LONGS_EQUAL(callsPerCheck, far);
    CHECK(waitFor([this] {
        fixture.call("/once/x");
        return !fixture.near.requests().empty();
    }));
}

TEST(AllowedRegions, OfAnAccountBindAllItsRequests)
{
    fixture.start(Json::array({"north"}), nullptr);
    const auto [near, far] = fixture.shares();
    LONGS_EQUAL(callsPerCheck, near);
    LONGS_EQUAL(0, far);
}

TEST(AllowedRegions, OfRouteAndAccountBindBoth)
{
    fixture.start(Json::array({"north", "south"}), Json::array({"south", "east"}));
    const auto [near, far] = fixture.shares();
    LONGS_EQUAL(0, near);
    LONGS_EQUAL(callsPerCheck, far);
}

TEST(AllowedRegions, WithNoneLeftRequestsAreRefusedAtOnce)
{
    fixture.start(Json::array({"north"}), Json::array({"south"}));
    const auto caller = fixture.call();
    LONGS_EQUAL(503, caller->status()); // not run
    CHECK(!caller->field("Retry-After").empty());
    LONGS_EQUAL(0, fixture.near.requests().size() + fixture.far.requests().size());
    CHECK(fixture.metric("calls_total{kind=\"idempotent\",outcome=\"refused\",reason=\"no_allowed_region\"}") > 0);
}

/// The replica's data centre is in none of the allowed regions, as nobody says in which it is.
TEST(AllowedRegions, ADataCentreWithoutAKnownRegionIsNotAllowed)
{
    fixture.addReplica("c", respondOk, "nowhere");
    fixture.start(Json::array({"north", ""}), nullptr);
    fixture.shares();
    LONGS_EQUAL(0, fixture.replicas.back()->requests().size());
}

TEST(AllowedRegions, AnEvacuationLeavesNoneInTheAllowedRegion)
{
    fixture.start(nullptr, Json::array({"south"}));
    fixture.evacuate("there");
    CHECK(waitFor([this] { return fixture.call()->status() == 503; }));
    LONGS_EQUAL(0, fixture.near.requests().size());
}
