// Tests of desired states that need longer than a moment to cross from the store to the routers: the link is slow, many
// routers share the store's rate, or several versions were missed.
#include "tests/nodefixture.h"

using namespace galenafold;

/// @return a desired state of about 600 KB, or more with more routes
static std::string largeDesiredState(int version, int routes = 2500)
{
    std::vector<SampleRoute> list = {{"any", "idempotent", 2}};
    for (int i = 0; i < routes; ++i) {
        list.push_back({"unused" + std::to_string(i), "idempotent"});
    }
    return sampleDesiredState(version, list, {"k1"});
}

TEST_GROUP(LargeDesiredState)
{
    bool waitForVersion(int version)
    {
        return waitFor([&] { return fixture.metric("desired_state_version") == version; });
    }
    NodeFixture fixture;
    const std::int64_t size = static_cast<std::int64_t>(largeDesiredState(9).size());
};

/// The response was given up 0.7 s after the request, whatever had come of it, and asked for again.
TEST(LargeDesiredState, IsInForceThoughItsTransferTakesSeconds)
{
    fixture.startAndWaitReady();
    fixture.store.setRate(size / 4);
    fixture.store.put("keyed.op", "config", largeDesiredState(2));
    CHECK(waitForVersion(2));
}

TEST(LargeDesiredState, IsListedAtTheStartThoughThatTakesSeconds)
{
    fixture.store.setRate(size / 2);
    fixture.store.put("keyed.op", "config", largeDesiredState(1));
    fixture.start();
    CHECK(waitForVersion(1));
}

/// The response with all versions took longer than the time that it had. A late write of an older version must not win.
TEST(LargeDesiredState, AfterMissedVersionsTheHighestIsInForceThoughAnOlderOneIsWrittenLast)
{
    fixture.startAndWaitReady();
    fixture.store.setRate(size * 2);
    fixture.store.setFault(StoreFault::Unavailable);
    const int lost = fixture.metric("store_lost");
    CHECK(waitFor([&] { return fixture.metric("store_lost") > lost; }));
    for (const int version : {2, 3, 4, 5, 6, 9, 7, 8}) {
        fixture.store.put("keyed.op", "config", largeDesiredState(version));
    }
    fixture.store.setFault(StoreFault::None);
    CHECK(waitForVersion(9));
    CHECK(fixture.store.bytesServed() < 9 * size); // each version once
    CHECK(waitFor([&] { return fixture.metric("store_records_total") == 9; }));
    LONGS_EQUAL(9, fixture.metric("desired_state_version"));
}

/// Three steps of 1,400 routes were in force late: by the third, a version is as large as a read or a listing of the
/// store may be, and the next ones are larger.
TEST(LargeDesiredState, VersionsThatAreLargerThanAReadHoldsAreInForceEachInTurn)
{
    constexpr int routesPerVersion = 2000; // from the third version on, one is more than a read holds
    fixture.startAndWaitReady();
    fixture.store.setRate(size * 4);
    for (int version = 2; version <= 4; ++version) {
        fixture.store.put("keyed.op", "config", largeDesiredState(version, version * routesPerVersion));
        CHECK(waitForVersion(version));
    }
    fixture.store.put("keyed.op", "config", largeDesiredState(5, 5 * routesPerVersion));
    fixture.store.put("keyed.op", "config", largeDesiredState(6, 5 * routesPerVersion));
    CHECK(waitForVersion(6));
}

TEST(LargeDesiredState, AVersionThatIsLargerThanAListingHoldsIsInForceAtTheStart)
{
    fixture.store.setRate(size * 2);
    fixture.store.put("keyed.op", "another", "{}");
    fixture.store.put("keyed.op", "config", largeDesiredState(1, 8000));
    fixture.store.put("keyed.op", "third", "{}");
    fixture.start();
    CHECK(waitForVersion(1));
}

/// A response that stops midway must not hold the router up: the next call may be answered.
TEST(LargeDesiredState, IsAskedForAgainWhenItsTransferStops)
{
    fixture.startAndWaitReady();
    fixture.store.setRate(1); // the first bytes come, the rest never does
    fixture.store.put("keyed.op", "config", largeDesiredState(2));
    CHECK(waitFor([&] { return fixture.metric("store_failures_total{topic=\"desired_state\"}") > 0; }));
    fixture.store.setRate(0);
    CHECK(waitForVersion(2));
}

// Many routers

TEST_GROUP(LargeDesiredStateOfAFleet)
{
    static constexpr std::size_t routers = 8;
    void setup() override
    {
        for (NodeFixture &node : nodes) {
            node.settings.store = store().address();
        }
    }
    FakeTopicStore &store()
    {
        return nodes[0].store;
    }
    bool waitForVersionEverywhere(int version)
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](NodeFixture &node) {
            return waitFor([&] { return node.metric("desired_state_version") == version; });
        });
    }
    std::array<NodeFixture, routers> nodes; // of which only the first one's store is used
};

/// Each router gave its response up, and asked for it again while what it had asked for before was still being sent.
TEST(LargeDesiredStateOfAFleet, ReachesAllRoutersThatShareTheStoresRate)
{
    store().put("keyed.op", "config", desiredState(1));
    for (NodeFixture &node : nodes) {
        node.start();
    }
    CHECK(waitForVersionEverywhere(1));
    const std::string state = largeDesiredState(2);
    const auto size = static_cast<std::int64_t>(state.size());
    store().setRate(size * 2);
    store().put("keyed.op", "config", state);
    CHECK(waitForVersionEverywhere(2));
    CHECK(store().bytesServed() < static_cast<std::int64_t>(routers) * size * 5 / 4);
}
