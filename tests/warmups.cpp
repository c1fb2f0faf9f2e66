// Tests that what all routers together send to a replica that warms up stays within its rate, in fleets of 3, 30 and
// 114 routers that tell each other nothing, and in a few router nodes.
//
// Sections of this file: Fleet, Tests, Entries, Nodes.
#include "filters/loadbalancer.h"
#include "tests/routerfleet.h"

#include <array>
#include <nlohmann/json.hpp>
#include <numeric>

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant start{seconds(1000)};
constexpr double warmUpRate = 14;          // requests per second that a replica takes while it warms up
constexpr double allowedExcess = 1.5;      // factor on the rate within any second
constexpr int allowedExtra = 5;            // further requests within any second
constexpr auto warmUpTime = seconds(3);    // after a start
constexpr auto newsDelay = seconds(1);     // within which the routers learn what the store tells
constexpr std::uint64_t seeds = 3;         // of each scenario
constexpr int fleetSizes[] = {3, 30, 114}; // routers

static int allowedPerSecond(double rate)
{
    return static_cast<int>(allowedExcess * rate) + allowedExtra;
}

/// @return most of the times within any second
static int mostPerSecond(const std::vector<Instant> &times)
{
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        most = std::max(most, std::lower_bound(first, times.end(), *first + seconds(1)) - first);
    }
    return static_cast<int>(most);
}

// Fleet

/// Routers in front of engines in three data centres. They hear nothing of each other's requests.
struct WarmUpFleet {
    explicit WarmUpFleet(int routerCount, std::uint64_t seed = 1)
        : random(seed)
    {
        ServiceSpec spec;
        spec.id.text = "llm";
        spec.warmUp = {warmUpTime, warmUpRate};
        services[spec.id] = spec;
        for (int i = 0; i < engineCount; ++i) {
            ReplicaRecord record;
            record.id.text = "e" + std::to_string(i);
            record.service = spec.id;
            record.dataCentre.text = dataCentres[i % 3];
            records.push_back(record);
        }
        for (int i = 0; i < routerCount; ++i) {
            fleet.push_back(makeRouter());
        }
        now += seconds(5); // all know the size of the fleet
    }
    std::unique_ptr<LoadBalancer> makeRouter()
    {
        auto router = std::make_unique<LoadBalancer>(LoadBalancerSettings(), DataCentreId{"a"}, random());
        router->setServices(now, services);
        router->updateReplicas(now, records);
        setFleet(*router);
        return router;
    }
    void setFleet(LoadBalancer &router)
    {
        router.rateLimits().setFleet(now, std::max(1, static_cast<int>(fleet.size())), seconds(2));
    }
    Duration within(Duration span) { return Duration(static_cast<Duration::rep>(random() % span.count())); }

    /// Each router learns a change at a time of its own.
    void tell(const std::function<void(LoadBalancer &)> &change)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            news.emplace(now + within(newsDelay), [this, i, change] { change(*fleet[i]); });
        }
    }
    /// The engine starts anew, and its entry tells so.
    void startAnew(std::size_t engine)
    {
        ReplicaRecord &record = records[engine];
        record.started = UnixMillis(record.started.count() + 1);
        record.warmUntil = now + warmUpTime;
        arrivals[record.id].clear();
        tell([this](LoadBalancer &router) { router.updateReplicas(now, records); });
    }
    /// @param perEngine requests per second of all routers, for each engine
    void run(Duration span, double perEngine, bool hasPrompts = true)
    {
        const double perStep = perEngine * engineCount / 1000;
        double due = 0;
        for (const Instant end = now + span; now < end; now += milliseconds(1)) {
            runDue(news);
            runDue(ends);
            if (now.time_since_epoch() % milliseconds(100) == Duration{}) {
                for (const auto &router : fleet) {
                    setFleet(*router);
                }
            }
            for (due += perStep; due >= 1; --due) {
                arrive(hasPrompts);
            }
        }
    }
    void runDue(std::multimap<Instant, std::function<void()>> &actions)
    {
        while (!actions.empty() && actions.begin()->first <= now) {
            actions.begin()->second();
            actions.erase(actions.begin());
        }
    }
    void arrive(bool hasPrompts)
    {
        const std::size_t index = random() % fleet.size();
        LoadBalancer &router = *fleet[index];
        SelectionRequest request;
        request.service.text = "llm";
        if (hasPrompts) {
            request.affinity = (random() % promptCount + 1) * 0x9e3779b97f4a7c15U;
        }
        const ReplicaChoice choice = router.choose(now, request);
        if (!choice) {
            ++refused;
            return;
        }
        const EndpointId id = choice->record.id;
        router.onSent(id);
        router.rateLimits().onSent(now, choice->nameHash);
        const bool isDown = down.count(id) > 0;
        if (!isDown) {
            arrivals[id].push_back(now);
        }
        ends.emplace(now + milliseconds(isDown ? 300 : 700), [this, index, id, isDown] {
            fleet[index]->onEnded(now, id, isDown ? AttemptOutcome::Unreachable : AttemptOutcome::Good);
        });
    }
    /// @return most requests within any second that one of these engines got, with its name
    std::pair<int, std::string> most(const std::vector<std::size_t> &engines)
    {
        std::pair<int, std::string> worst;
        for (const std::size_t engine : engines) {
            const EndpointId &id = records[engine].id;
            worst = std::max(worst, std::make_pair(mostPerSecond(arrivals[id]), id.text));
        }
        return worst;
    }
    std::vector<std::size_t> enginesOf(const std::string &dataCentre) const
    {
        std::vector<std::size_t> engines;
        for (std::size_t i = 0; i < records.size(); ++i) {
            if (records[i].dataCentre.text == dataCentre) {
                engines.push_back(i);
            }
        }
        return engines;
    }
    void check(const std::vector<std::size_t> &engines)
    {
        const auto [worst, engine] = most(engines);
        const std::string text = std::to_string(fleet.size()) + " routers: " + std::to_string(worst) + " at " + engine;
        CHECK_TEXT(worst <= allowedPerSecond(warmUpRate), text.c_str());
        CHECK_TEXT(worst > 0, "engines that warm up are left unused");
    }

    static constexpr int engineCount = 30;
    static constexpr int promptCount = 300;
    static constexpr const char *dataCentres[] = {"a", "b", "c"};
    Instant now = start;
    boost::random::mt19937_64 random;
    std::unordered_map<ServiceId, ServiceSpec> services;
    std::vector<ReplicaRecord> records;
    std::vector<std::unique_ptr<LoadBalancer>> fleet;
    std::multimap<Instant, std::function<void()>> news;
    std::multimap<Instant, std::function<void()>> ends;
    std::map<EndpointId, std::vector<Instant>> arrivals;
    std::set<EndpointId> down; // engines that accept no connections
    int refused = 0;
};

// Tests

/// Runs a scenario with fleets of all sizes.
static void eachFleet(const std::function<void(WarmUpFleet &)> &scenario)
{
    for (const int routers : fleetSizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            WarmUpFleet fleet(routers, seed);
            scenario(fleet);
        }
    }
}

TEST_GROUP(WarmUpRate){};

/// All routers want to send at any time.
TEST(WarmUpRate, IsKeptAndUsedAtAnyDemand)
{
    for (const int routers : fleetSizes) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            std::vector<std::unique_ptr<ReplicaRateLimits>> fleet;
            for (int i = 0; i < routers; ++i) {
                fleet.push_back(std::make_unique<ReplicaRateLimits>(seed * 1000 + static_cast<std::uint64_t>(i)));
                fleet.back()->setFleet(start, routers, seconds(2));
                fleet.back()->setWarmUp(start + seconds(5), 7, warmUpRate, start + seconds(15));
            }
            std::vector<Instant> sends;
            for (Instant now = start + seconds(5); now < start + seconds(15); now += milliseconds(5)) {
                for (const auto &router : fleet) {
                    if (router->admit(now, 7)) {
                        router->onSent(now, 7);
                        sends.push_back(now);
                    }
                }
            }
            const int most = mostPerSecond(sends);
            CHECK_TEXT(most <= allowedPerSecond(warmUpRate), std::to_string(most).c_str());
            CHECK_TEXT(sends.size() >= 10 * warmUpRate / 2, std::to_string(sends.size()).c_str());
        }
    }
}

TEST(WarmUpRate, HoldsInARelease)
{
    eachFleet([](WarmUpFleet &fleet) {
        fleet.run(seconds(2), 30);
        for (std::size_t engine = 0; engine < 6; ++engine) {
            fleet.startAnew(engine);
            fleet.records[engine].id.text += "-new"; // the entry is another one, so no router sends there unawares
            fleet.run(milliseconds(1500), 30);
        }
        fleet.run(warmUpTime, 30);
        CHECK(fleet.refused == 0);
        for (std::size_t engine = 0; engine < 6; ++engine) {
            std::vector<Instant> &times = fleet.arrivals[fleet.records[engine].id];
            const Instant warmUntil = fleet.records[engine].warmUntil;
            times.erase(std::lower_bound(times.begin(), times.end(), warmUntil), times.end());
        }
        fleet.check({0, 1, 2, 3, 4, 5});
    });
}

/// A data centre's engines come back together after an outage, and the routers read so a little later.
TEST(WarmUpRate, HoldsWhenADataCentreReturns)
{
    eachFleet([](WarmUpFleet &fleet) {
        const auto engines = fleet.enginesOf("b");
        fleet.run(seconds(2), 15);
        for (const std::size_t engine : engines) {
            fleet.down.insert(fleet.records[engine].id);
        }
        fleet.run(seconds(3), 15);
        fleet.down.clear();
        for (const std::size_t engine : engines) {
            fleet.startAnew(engine);
        }
        fleet.run(warmUpTime, 15);
        fleet.check(engines);
    });
}

/// The others had to take its share, and are full when it returns.
TEST(WarmUpRate, HoldsAfterAnEvacuation)
{
    eachFleet([](WarmUpFleet &fleet) {
        const auto engines = fleet.enginesOf("b");
        fleet.tell([&](LoadBalancer &router) { router.setEvacuated(fleet.now, {{"b"}}); });
        fleet.run(seconds(1), 30);
        fleet.arrivals.clear();
        fleet.run(seconds(4), 30);
        LONGS_EQUAL(0, fleet.most(engines).first);
        fleet.tell([&](LoadBalancer &router) { router.setEvacuated(fleet.now, {}); });
        fleet.run(warmUpTime, 30);
        fleet.check(engines);
    });
}

/// Its engines warm up at the end of the first evacuation, when the second begins.
TEST(WarmUpRate, HoldsWhenTheNextDataCentreIsEvacuatedAtOnce)
{
    eachFleet([](WarmUpFleet &fleet) {
        fleet.tell([&](LoadBalancer &router) { router.setEvacuated(fleet.now, {{"b"}}); });
        fleet.run(seconds(4), 20);
        fleet.arrivals.clear();
        fleet.tell([&](LoadBalancer &router) { router.setEvacuated(fleet.now, {{"a"}}); });
        fleet.run(newsDelay, 20);
        for (const std::size_t engine : fleet.enginesOf("a")) {
            fleet.arrivals[fleet.records[engine].id].clear();
        }
        fleet.run(seconds(2), 20);
        fleet.check(fleet.enginesOf("b"));
        LONGS_EQUAL(0, fleet.most(fleet.enginesOf("a")).first);
    });
}

/// They know neither the size of the fleet nor what they sent before.
TEST(WarmUpRate, HoldsWhileRoutersStart)
{
    eachFleet([](WarmUpFleet &fleet) {
        const auto engines = fleet.enginesOf("b");
        fleet.run(seconds(1), 20);
        for (const std::size_t engine : engines) {
            fleet.startAnew(engine);
        }
        for (auto &[at, learn] : fleet.news) {
            learn(); // all at once
        }
        fleet.news.clear();
        for (std::size_t i = 0; i < fleet.fleet.size(); i += 2) {
            fleet.run(milliseconds(1000) / static_cast<int>(fleet.fleet.size()), 20);
            fleet.fleet[i] = fleet.makeRouter();
        }
        fleet.run(seconds(2), 20);
        fleet.check(engines);
    });
}

/// Nothing else is left, and each request finds an engine that may get it.
TEST(WarmUpRate, IsUsedWhereAllWarmUp)
{
    for (const int routers : fleetSizes) {
        for (const bool hasPrompts : {true, false}) {
            WarmUpFleet fleet(routers);
            for (std::size_t engine = 0; engine < fleet.records.size(); ++engine) {
                fleet.records[engine].warmUntil = fleet.now + seconds(20);
            }
            for (const auto &router : fleet.fleet) {
                router->updateReplicas(fleet.now, fleet.records);
            }
            fleet.run(seconds(5), 30, hasPrompts);
            std::size_t served = 0;
            for (const auto &[id, times] : fleet.arrivals) {
                served += times.size();
            }
            const double rate = static_cast<double>(served) / 5 / WarmUpFleet::engineCount;
            CHECK_TEXT(rate >= warmUpRate / 2, std::to_string(rate).c_str());
            std::vector<std::size_t> all(fleet.records.size());
            std::iota(all.begin(), all.end(), 0);
            fleet.check(all);
        }
    }
}

TEST(WarmUpRate, EndsByItsTimeAndIsNotShortened)
{
    ReplicaRateLimits limits(1);
    limits.setFleet(start, 1000, seconds(2));
    Instant now = start + seconds(5);
    limits.setWarmUp(now, 7, warmUpRate, now + seconds(3));
    limits.setWarmUp(now, 7, warmUpRate, now + seconds(1));
    CHECK(limits.isWarmingUp(now + seconds(2), 7));
    now += seconds(3);
    CHECK(!limits.isWarmingUp(now, 7));
    for (int i = 0; i < 100; ++i) {
        CHECK(limits.admit(now, 7));
        limits.onSent(now, 7);
    }
}

/// The lower one binds, and the limit that the replica named goes on after the warm-up.
TEST(WarmUpRate, ALimitThatTheReplicaNamesBindsAsWell)
{
    ReplicaRateLimits limits(1);
    limits.setFleet(start, 1, Duration{});
    Instant now = start + seconds(5);
    limits.setFleet(now, 1, Duration{});
    limits.onAnswer(now, 7, 1.0);
    limits.setWarmUp(now, 7, warmUpRate, now + seconds(3));
    int sent = 0;
    for (int i = 0; i < 3000; ++i, now += milliseconds(1)) {
        if (limits.admit(now, 7)) {
            limits.onSent(now, 7);
            ++sent;
        }
    }
    CHECK_TEXT(sent <= 5, std::to_string(sent).c_str()); // four in four seconds, and one
    CHECK(!limits.admit(now, 7));
    CHECK(limits.limit(7).has_value());
}

TEST(WarmUpRate, ServicesWithoutARateHaveNoWarmUps)
{
    WarmUpFleet fleet(3);
    fleet.services.begin()->second.warmUp = {};
    for (const auto &router : fleet.fleet) {
        router->setServices(fleet.now, fleet.services);
    }
    fleet.startAnew(0);
    fleet.run(newsDelay, 10);
    for (const auto &router : fleet.fleet) {
        CHECK(!router->rateLimits().isWarmingUp(fleet.now, vmHash({"e0"})));
    }
}

// Entries

TEST_GROUP(WarmUpEntries)
{
    ReplicaDirectory directory{seconds(2)};
    Instant now = start;
    int offset = 0;
    /// Applies an entry of one replica. @return true if the routers' traffic threads are told
    bool apply(int startedMs, Duration warmUpLeft)
    {
        ReplicaRecord record;
        record.id.text = "e";
        record.address = "10.0.0.1:80";
        record.started = UnixMillis(startedMs);
        record.heartbeatCount = ++offset;
        record.warmUntil = warmUpLeft > Duration{} ? now + warmUpLeft : Instant{};
        return directory.apply(now, {record.id, {offset}, record});
    }
};

/// Heartbeats count the time down; only a longer one is news.
TEST(WarmUpEntries, AreNewsOnlyWhileTheyProlongAWarmUp)
{
    CHECK(apply(1, seconds(3)));
    now += milliseconds(1200);
    CHECK(!apply(1, milliseconds(1850)));
    now += milliseconds(1200);
    CHECK(!apply(1, milliseconds(550)));
    now += milliseconds(1200);
    CHECK(!apply(1, Duration{}));
    now += seconds(10);
    CHECK(!apply(1, Duration{}));
    CHECK(apply(1, seconds(2))); // again, at any moment
    CHECK(apply(2, seconds(3)));
}

// Nodes

/// Replicas of a service with a rate for warm-ups, which they tell of in their entries.
struct WarmingNodes : RouterFleet {
    WarmingNodes()
    {
        nlohmann::json state =
            nlohmann::json::parse(sampleDesiredState(2, {{"chat", "streaming", 2, true, 20000, true}}, {"k1"}));
        state["services"][0]["coldS"] = 3.0;
        state["services"][0]["coldPerS"] = nodeRate;
        store.put("keyed.op", "config", state.dump());
        for (std::size_t i = 0; i < replicaCount; ++i) {
            addReplica("e" + std::to_string(i),
                       [this, i](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
                           const std::lock_guard<std::mutex> lock(mutex);
                           arrivals[i].push_back(clockNow());
                           reply->sendResponse(request, 200, "id: 0\ndata: x\n\n");
                       });
        }
        start();
    }
    /// Calls all routers in turn, with many prompts, from several threads.
    void callFor(Duration span)
    {
        const Instant end = clockNow() + span;
        std::vector<std::thread> callers;
        for (int i = 0; i < 12; ++i) {
            callers.emplace_back([this, i, end] {
                for (int round = i; clockNow() < end; ++round) {
                    call(round, "f1:512,a" + std::to_string(round % 40) + ":900,1:10");
                    std::this_thread::sleep_for(milliseconds(20));
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }
    bool isWarmingUp(int router, std::size_t replica)
    {
        return metric(router, "replica_warming_up{service=\"svc\",replica=\"e" + std::to_string(replica) + "\"}") == 1;
    }

    static constexpr double nodeRate = 6;
    static constexpr std::size_t replicaCount = 4;
    std::mutex mutex; // guards the lists, which the replicas' threads fill
    std::array<std::vector<Instant>, replicaCount> arrivals;
};

TEST_GROUP(WarmUpNodes)
{
    WarmingNodes fleet;
};

TEST(WarmUpNodes, AllRoutersTogetherKeepTheRateOfAReplicaThatTellsOfItsStart)
{
    fleet.callFor(seconds(5)); // the routers know of each other
    fleet.store.put("keyed.servers", "e0", fleet.replicas[0]->entry("ready", 2, 4000));
    CHECK(waitFor([this] { return fleet.everywhere([this](int router) { return fleet.isWarmingUp(router, 0); }); }));
    const Instant known = clockNow();
    fleet.callFor(milliseconds(2500));
    const std::lock_guard<std::mutex> lock(fleet.mutex);
    std::vector<Instant> &times = fleet.arrivals[0];
    times.erase(times.begin(), std::lower_bound(times.begin(), times.end(), known));
    times.erase(std::lower_bound(times.begin(), times.end(), known + milliseconds(2500)), times.end());
    const int most = mostPerSecond(times);
    CHECK_TEXT(most <= allowedPerSecond(WarmingNodes::nodeRate), std::to_string(most).c_str());
    CHECK_TEXT(most > 0, "left unused");
}
