// Tests how three hundred routers in three data centres start at once while thousands of replicas write to the
// registry: that they soon know whom to follow, and that one router of a data centre lists the registry from the store.
//
// Sections of this file: Peers, Listings, Fleet, Restart, Data centre.
#include "net/gzip.h"
#include "net/topicmessages.h"
#include "tests/largestartmodel.h"
#include "tests/routerfleet.h"
#include "traffic/peerloadexchange.h"

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

static std::string registryEntry(int replica)
{
    const std::string number = std::to_string(replica);
    return R"({"service":"galena-pool","address":"10.4.)" + std::to_string(replica / 250) + '.'
        + std::to_string(replica % 250) + R"(:8300","zone":"hcm-a","version":1,"slots":12,"state":"ready",)"
        + R"("coldLeftMs":0,"seqNo":17,"born":1789000)" + number + R"(,"models":[{"name":"m","version":1}]})";
}

// Peers

constexpr int startedRouters = 300;
constexpr int dataCentres = 3;
constexpr int widePerDataCentre = 2;

/// A router that has nothing to do but to hear the others.
struct StartingRouter {
    StartingRouter(asio::io_context &io, int index, int port)
        : exchange(io, settings(index, port), balancer, queryOfDeath)
    {
        exchange.onDataCentreChanged = [this](const DataCentreRouter &self, const std::vector<DataCentreRouter> &all) {
            sources.setRouters(self, all);
            wideKnown = static_cast<int>(std::count_if(
                all.begin(), all.end(), [](const DataCentreRouter &other) { return other.linkClass == 7; }));
        };
    }
    static std::string address(int index)
    {
        return "127.0." + std::to_string(2 + index / 200) + '.' + std::to_string(index % 200 + 1);
    }
    static bool isWide(int index) { return index >= 30 && index < 30 + dataCentres * widePerDataCentre; }
    static PeerSettings settings(int index, int port)
    {
        PeerSettings peers;
        const std::string suffix = ':' + std::to_string(port);
        peers.address = address(index) + suffix;
        peers.seeds = {address(0) + suffix, address(1) + suffix, address(2) + suffix};
        peers.site = {static_cast<std::uint32_t>(1 + index % dataCentres), isWide(index) ? 7 : 4};
        return peers;
    }

    LoadBalancer balancer{LoadBalancerSettings(), {"here"}, 1};
    QueryOfDeathDetector queryOfDeath{QueryOfDeathSettings(), 1};
    TopicSources sources{"registry", 1};
    PeerLoadExchange exchange;
    int wideKnown = 0;
};

TEST_GROUP(PeersOfALargeStart)
{
    asio::io_context io;
    std::vector<std::unique_ptr<StartingRouter>> routers;

    void startAll()
    {
        const int port = RouterFleet::freePeerPort();
        for (int i = 0; i < startedRouters; ++i) {
            routers.push_back(std::make_unique<StartingRouter>(io, i, port));
            CHECK(routers.back()->exchange.start());
        }
    }
    void runFor(Duration span)
    {
        const Instant end = clockNow() + span;
        while (clockNow() < end) {
            io.run_one_for(milliseconds(5));
        }
    }
    int count(const std::function<bool(const StartingRouter &)> &condition)
    {
        return static_cast<int>(
            std::count_if(routers.begin(), routers.end(), [&](const auto &router) { return condition(*router); }));
    }
};

/// Three seeds had to send 300 long lists each at the rate of their byte budget, so that the last routers heard after
/// ten seconds and more which routers have wide links. Until then each read all heartbeats from the store.
TEST(PeersOfALargeStart, AllSoonKnowTheRoutersThatTheyWillFollow)
{
    startAll();
    runFor(seconds(4));
    const int informed = count([](const StartingRouter &router) { return router.wideKnown >= widePerDataCentre - 1; });
    const int readers = count([](const StartingRouter &router) { return router.sources.next(clockNow()).isStore(); });
    const std::string seen = std::to_string(informed) + " know a router with a wide link, " + std::to_string(readers)
        + " would read the store";
    CHECK_TEXT(informed >= startedRouters * 98 / 100, seen.c_str());
    CHECK_TEXT(readers <= startedRouters * 4 / 100, seen.c_str());
    for (const auto &router : routers) {
        CHECK(router->exchange.stats().bytesSent < 7000 * 8); // the rate, and two seconds of it twice
    }
}

// Listings

TEST_GROUP(LargeListings)
{
    static Instant at(double value)
    {
        return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value + 1000)));
    }
    static std::vector<DataCentreRouter> others(int count)
    {
        std::vector<DataCentreRouter> list;
        for (int i = 0; i < count; ++i) {
            list.push_back({static_cast<std::uint32_t>(i + 1), i < widePerDataCentre ? 7 : 4});
        }
        return list;
    }
    TopicSources sources{"registry", 7};
    const DataCentreRouter self{1000, 4};
};

TEST(LargeListings, ARouterThatKnowsNobodyWaitsToBeTold)
{
    CHECK(sources.next(at(0)).notBefore <= at(0)); // the beginning of any listing
    sources.onLargeListing(at(0));
    const TopicSource source = sources.next(at(0));
    CHECK(source.isStore());
    CHECK(source.notBefore >= at(1) && source.notBefore <= at(6)); // no longer than some seconds if nobody tells it
    sources.setRouters(self, others(99));
    CHECK(!sources.next(at(0.5)).isStore());
}

TEST(LargeListings, TheRouterThatRanksHighestReadsAtOnce)
{
    sources.onLargeListing(at(0));
    sources.setRouters({1000, 9}, others(99));
    CHECK(sources.next(at(0.5)).isStore());
    CHECK(sources.next(at(0.5)).notBefore <= at(0.5));
}

TEST(LargeListings, InASmallDataCentreEachRouterReadsAtOnce)
{
    sources.onLargeListing(at(0));
    sources.setRouters(self, others(6));
    CHECK(sources.next(at(0.2)).isStore());
    CHECK(sources.next(at(0.2)).notBefore <= at(0.2));
}

/// All of a data centre whose readers are silent would list at once.
TEST(LargeListings, RoutersWhoseReadersAreSilentListAtDifferentTimes)
{
    std::vector<Instant> times;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        TopicSources router("registry", seed);
        router.onLargeListing(at(0));
        router.setRouters(self, others(99));
        for (int asked = 0; asked < 10 && !router.next(at(0.5)).isStore(); ++asked) {
            if (router.next(at(0.5)).notBefore > at(0.5)) {
                break;
            }
            router.onUseless(at(0.5), router.next(at(0.5)));
        }
        double now = 0.5;
        while (!router.next(at(now)).isStore() || router.next(at(now)).notBefore > at(now)) {
            const TopicSource source = router.next(at(now));
            if (!source.isStore() && source.notBefore <= at(now)) {
                router.onUseless(at(now), source);
            }
            now += 0.05;
        }
        times.push_back(at(now));
    }
    for (double second = 0; second < 8; second += 0.5) {
        const auto here = std::count_if(times.begin(), times.end(),
                                        [&](Instant time) { return time >= at(second) && time < at(second + 0.5); });
        CHECK(here <= 30);
    }
    CHECK(*std::max_element(times.begin(), times.end()) <= at(6.5));
}

TEST(LargeListings, ARouterThatIsItselfListingIsAskedAgainForAWhile)
{
    CHECK(!sources.onNotYetKnown(at(0)));
    sources.onLargeListing(at(0));
    CHECK(sources.onNotYetKnown(at(2)));
    CHECK(!sources.onNotYetKnown(at(5)));
    sources.onListed();
    CHECK(!sources.onNotYetKnown(at(2)));
}

/// A listing of 3,000 replicas was too large for the links of a data centre of a hundred routers.
TEST(LargeListings, ArePackedToAFewDozenBytesAReplica)
{
    std::vector<KeyedRecord> records;
    std::size_t bytes = 0;
    for (int i = 0; i < 3000; ++i) {
        records.push_back({"i-" + std::to_string(hashName(std::to_string(i))), registryEntry(i), i});
        bytes += records.back().key.size() + records.back().value.size();
    }
    CHECK(bytes > 550000);
    TopicAnswer answer;
    answer.isKnown = true;
    answer.isListing = true;
    answer.end = 4000;
    answer.packedRecords = packTopicRecords(records);
    const std::string body = encodeTopicAnswer(answer);
    CHECK_TEXT(body.size() < 140000, std::to_string(body.size()).c_str());
    const auto read = decodeTopicAnswer(body, true);
    CHECK(read && read->isKnown && read->isListing && read->end == 4000);
    LONGS_EQUAL(3000, read->records.size());
    STRCMP_EQUAL(records[2999].value.c_str(), read->records[2999].value.c_str());
}

TEST(LargeListings, MalformedPackingsAreRefused)
{
    TopicAnswer answer;
    answer.packedRecords = packTopicRecords({{"a", std::string(30000, 'x'), 1}});
    const std::string body = encodeTopicAnswer(answer);
    CHECK(decodeTopicAnswer(body, true).has_value());
    CHECK(!decodeTopicAnswer(body, false).has_value());
    CHECK(!decodeTopicAnswer(body.substr(0, body.size() - 9), true).has_value());
    CHECK(!decodeTopicAnswer("", true).has_value());
    CHECK(!gunzip(gzip(std::string(1 << 20, 'x')), 1 << 19).has_value()); // much longer than it looks
    boost::random::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {
        std::string changed = body;
        changed[random() % changed.size()] = static_cast<char>(random());
        decodeTopicAnswer(changed, true); // whatever it returns
    }
}

// Fleet

TEST_GROUP(StartOfALargeFleet){static std::string figures(const LargeStart &start){
    return "known after " + std::to_string(start.lastKnownAt()) + " s, proofs " + std::to_string(start.oldestProof())
    + " s old, " + std::to_string(start.storeBytes / 1e6) + " MB and " + std::to_string(start.storeCalls)
    + " calls of the store";
}
}
;

/// Each router read the whole listing and all heartbeats from the store, 171 MB/s of 80, until it had heard the others.
TEST(StartOfALargeFleet, AllRoutersSoonKnowAllReplicas)
{
    LargeStart start({});
    start.run();
    CHECK_TEXT(start.lastKnownAt() <= 4, figures(start).c_str());
    CHECK_TEXT(start.oldestProof() <= 1.5, figures(start).c_str()); // of 2 s in which a leaving must be known
    CHECK_TEXT(start.storeBytes <= 100e6, figures(start).c_str());  // first pages, and some listings
}

/// The check sees the fault that it is for.
TEST(StartOfALargeFleet, WithoutListsAndWithFullListingsFromTheStoreTheyDoNot)
{
    LargeStartScenario late;
    late.firstListAt = 1;
    late.lastListAt = 12;
    late.leavesLargeListing = false;
    LargeStart start(late);
    start.run();
    CHECK_TEXT(start.oldestProof() > 1.5, figures(start).c_str());
    CHECK_TEXT(start.storeBytes > 400e6, figures(start).c_str());
}

// Restart

/// All routers were killed and start again in the same moment. They are to serve within half of five seconds, of which
/// their processes take half a second to start.
TEST_GROUP(RestartOfALargeFleet)
{
    static constexpr double mostSeconds = 2;
    static std::string figures(const LargeStart &start)
    {
        return "known after " + std::to_string(start.lastKnownAt()) + " s, " + std::to_string(start.storeBytes / 1e6)
            + " MB of the store, " + std::to_string(start.givenUp) + " calls given up";
    }
    static LargeStartScenario scenario(int routers)
    {
        LargeStartScenario restart;
        restart.isStoreQueued = true;
        restart.routers = routers;
        restart.lastListAt = 1.5;
        return restart;
    }
};

/// Calls for three topics were given up while they waited for their turn at the store, which sent what nobody read any
/// more, and were repeated; and routers that were asked instead said that they had lost the store.
TEST(RestartOfALargeFleet, AllOfThreeHundredSoonKnowAllReplicas)
{
    LargeStart start(scenario(300));
    start.run();
    CHECK_TEXT(start.lastKnownAt() <= mostSeconds, figures(start).c_str());
    LONGS_EQUAL_TEXT(0, start.givenUp, figures(start).c_str());
}

TEST(RestartOfALargeFleet, SoDoAllOfAHundred)
{
    LargeStart start(scenario(100));
    start.run();
    CHECK_TEXT(start.lastKnownAt() <= mostSeconds, figures(start).c_str());
    LONGS_EQUAL_TEXT(0, start.givenUp, figures(start).c_str());
}

/// The check sees the fault that it is for.
TEST(RestartOfALargeFleet, AskingForAllAtOnceAndAgainTheyDoNot)
{
    LargeStartScenario impatient = scenario(300);
    impatient.asksInTurn = false;
    impatient.waitsForTurn = false;
    LargeStart start(impatient);
    start.run();
    CHECK_TEXT(start.lastKnownAt() > mostSeconds, figures(start).c_str());
    CHECK_TEXT(start.givenUp > 100, figures(start).c_str());
}

// Data centre

TEST_GROUP(LargeListingOfADataCentre)
{
    RouterFleet fleet;
    static constexpr int replicas = 3000;
};

/// Each router listed all replicas from the store, which 300 of them kept busy for seconds.
TEST(LargeListingOfADataCentre, OneRouterListsForTheOthers)
{
    std::size_t bytes = 0;
    for (int i = 0; i < replicas; ++i) {
        const std::string value = registryEntry(i);
        fleet.store.put("keyed.servers", "r" + std::to_string(10000 + i), value);
        bytes += value.size() * 4 / 3;
    }
    fleet.addReplica("e0", [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        reply->beginStream(request);
        reply->sendEvent(0, "x");
        reply->endStream();
    });
    fleet.routerCount = 12;
    fleet.adjust = [](int router, RouterSettings &settings) {
        settings.maxRevocationDelay = seconds(5);
        settings.maxDrainDelay = seconds(2);
        settings.linkMegabits = router < 2 ? 200 : 20;
    };
    fleet.store.setRate(200 << 20); // so that bytes are counted
    fleet.start();
    CHECK(waitFor([this] {
        return fleet.everywhere([this](int router) { return fleet.metric(router, "replicas_usable") == replicas + 1; });
    }));
    const std::int64_t served = fleet.store.bytesServed();
    const double listings = static_cast<double>(served) / static_cast<double>(bytes);
    // Twelve beginnings are a sixth each; two routers may each take themselves for the first.
    CHECK_TEXT(listings < 5, std::to_string(listings).c_str());
}

/// Three calls of each of three hundred routers waited at the store together.
TEST(LargeListingOfADataCentre, ARouterThatStartsAsksForOneTopicAfterTheOther)
{
    fleet.addReplica("e0", [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        reply->beginStream(request);
        reply->sendEvent(0, "x");
        reply->endStream();
    });
    fleet.routerCount = 1;
    fleet.start();
    fleet.routers[0]->stop();
    fleet.store.setFault(StoreFault::Delayed);
    const std::int64_t before = fleet.store.requestCount();
    fleet.routers[0]->start();
    std::this_thread::sleep_for(milliseconds(300)); // less than the wait for the desired state
    LONGS_EQUAL(1, fleet.store.requestCount() - before);
    fleet.store.setFault(StoreFault::None);
    CHECK(waitFor([this] { return fleet.allServe(); }));
    CHECK(waitFor([&] { return fleet.store.requestCount() >= before + 3; }));
}
