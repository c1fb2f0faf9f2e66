// Tests the choice of an engine for a request: prompt affinity, the bound on load, load reports from engines and peers,
// slow and stalled engines. A choice without affinity is the baseline.
#include "filters/loadbalancer.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

using namespace galenafold;

/// @param value seconds since the start of the test
static Instant at(double value)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value + 1000)));
}

static std::vector<ReplicaRecord> engines(int count)
{
    std::vector<ReplicaRecord> records;
    for (int i = 0; i < count; ++i) {
        ReplicaRecord record;
        record.id.text = "e" + std::to_string(i);
        record.service.text = "llm";
        record.dataCentre.text = i % 2 == 0 ? "here" : "there";
        records.push_back(record);
    }
    return records;
}

static SelectionRequest forPrompt(std::uint64_t prompt)
{
    SelectionRequest request;
    request.service.text = "llm";
    request.affinity = prompt;
    return request;
}

TEST_GROUP(LoadBalancing)
{
    LoadBalancer balancer{LoadBalancerSettings(), {"here"}, 1};
};

TEST(LoadBalancing, RoutersChooseTheSameEngineAndFewPromptsMoveWhenOneLeaves)
{
    LoadBalancer other{LoadBalancerSettings(), {"there"}, 99};
    balancer.updateReplicas(at(0), engines(12));
    other.updateReplicas(at(0), engines(11)); // without e11, which has left or is not known there yet
    int moved = 0;
    for (std::uint64_t prompt = 0; prompt < 600; ++prompt) {
        const std::string ownChoice = balancer.choose(at(0), forPrompt(prompt * 7919))->record.id.text;
        const std::string otherChoice = other.choose(at(0), forPrompt(prompt * 7919))->record.id.text;
        moved += ownChoice != otherChoice ? 1 : 0;
        CHECK(ownChoice == otherChoice || ownChoice == "e11");
    }
    CHECK(moved > 0);
    CHECK(moved < 100); // expected: a twelfth of 600, plus random variation
}

TEST(LoadBalancing, AHotPromptStaysWithinTheBoundOnLoad)
{
    balancer.updateReplicas(at(0), engines(12));
    std::map<EndpointId, int> placed;
    for (int i = 0; i < 120; ++i) {
        const ReplicaChoice endpoint = balancer.choose(at(0), forPrompt(42));
        const double mean = i / 12.0;
        CHECK(placed[endpoint->record.id] <= 2 * mean + 3); // load on arrival of the request
        ++placed[endpoint->record.id];
        balancer.onSent(endpoint->record.id);
    }
    CHECK(placed.size() < 12); // spreads to no more engines than the bound requires
}

TEST(LoadBalancing, AFailingEngineIsAvoidedTemporarily)
{
    balancer.updateReplicas(at(0), engines(3));
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    balancer.onSent(preferred);
    balancer.onEnded(at(0), preferred, AttemptOutcome::Unreachable);
    CHECK(balancer.choose(at(0.1), forPrompt(42))->record.id != preferred);
    CHECK(balancer.choose(at(30), forPrompt(42))->record.id == preferred);
}

TEST(LoadBalancing, AnEngineIsChosenEvenWhenAllAreFailing)
{
    balancer.updateReplicas(at(0), engines(2));
    for (const char *id : {"e0", "e1"}) {
        balancer.onSent({id});
        balancer.onEnded(at(0), {id}, AttemptOutcome::Unreachable);
    }
    CHECK(bool(balancer.choose(at(0.1), forPrompt(1))));
}

TEST(LoadBalancing, SharedPartsArePrefilledOncePerFleet)
{
    constexpr int routers = 15;
    constexpr int prompts = 64;
    constexpr int requests = 6000;
    std::vector<std::unique_ptr<LoadBalancer>> fleet;
    for (int i = 0; i < routers; ++i) {
        fleet.push_back(std::make_unique<LoadBalancer>(LoadBalancerSettings(), DataCentreId{"here"}, i));
        fleet.back()->updateReplicas(at(0), engines(12));
    }
    boost::random::mt19937_64 random(7);
    std::set<std::pair<std::uint64_t, std::string>> prefills;
    std::set<std::pair<std::uint64_t, std::string>> baselinePrefills;
    for (int i = 0; i < requests; ++i) {
        LoadBalancer &router = *fleet[boost::random::uniform_int_distribution<std::size_t>(0, routers - 1)(random)];
        const auto prompt = boost::random::uniform_int_distribution<std::uint64_t>(1, prompts)(random);
        prefills.insert({prompt, router.choose(at(i), forPrompt(prompt))->record.id.text});
        SelectionRequest withoutAffinity = forPrompt(prompt);
        withoutAffinity.affinity.reset();
        baselinePrefills.insert({prompt, router.choose(at(i), withoutAffinity)->record.id.text});
    }
    LONGS_EQUAL(prompts, prefills.size());
    CHECK(static_cast<double>(prefills.size()) <= 0.2 * static_cast<double>(baselinePrefills.size()));
}

TEST(LoadBalancing, TheLastPromptPartIsNotPartOfTheAffinityKey)
{
    CHECK(!affinityKey({{1, 10}}));
    CHECK(affinityKey({{1, 10}, {2, 20}, {3, 5}}) == affinityKey({{1, 10}, {2, 20}, {4, 7}}));
    CHECK(affinityKey({{1, 10}, {2, 20}, {3, 5}}) != affinityKey({{1, 10}, {5, 20}, {3, 5}}));
}

static std::vector<ReplicaRecord> namedEngines(std::vector<std::string> names)
{
    std::vector<ReplicaRecord> records;
    for (const std::string &name : names) {
        ReplicaRecord record;
        record.id.text = name;
        record.address = name;
        record.service.text = "llm";
        record.slots = 64;
        records.push_back(record);
    }
    return records;
}

/// @return the chosen engine for each of 300 prompts
static std::vector<std::string> preferredEngines(LoadBalancer &balancer, Instant now)
{
    std::vector<std::string> chosen;
    for (std::uint64_t prompt = 0; prompt < 300; ++prompt) {
        chosen.push_back(balancer.choose(now, forPrompt(prompt * 7919))->record.id.text);
    }
    return chosen;
}

TEST(LoadBalancing, AReplacementTakesOverOnlyThePromptsOfTheEngineThatLeft)
{
    balancer.updateReplicas(at(0), namedEngines({"a", "b", "c", "d"}));
    const auto before = preferredEngines(balancer, at(0));
    balancer.updateReplicas(at(20), namedEngines({"a", "b", "c", "d", "e"})); // the replacement starts first
    CHECK(preferredEngines(balancer, at(20)) == before);
    balancer.updateReplicas(at(21), namedEngines({"a", "b", "d", "e"})); // then the engine that it replaces drains
    auto expected = before;
    std::replace(expected.begin(), expected.end(), std::string("c"), std::string("e"));
    CHECK(preferredEngines(balancer, at(21)) == expected);
}

TEST(LoadBalancing, EnginesWithoutARecentReportDoNotCountAsIdle)
{
    balancer.updateReplicas(at(0), engines(12));
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    for (int i = 0; i < 12; ++i) {
        balancer.onLoad(at(0), {"e" + std::to_string(i)}, {6, 0, 64, 1});
    }
    balancer.onLoad(at(3), preferred, {7, 0, 64, 1}); // all other reports have expired
    CHECK(balancer.choose(at(3), forPrompt(42))->record.id == preferred);
    balancer.onLoad(at(3), preferred, {16, 0, 64, 1}); // above the bound: twice the mean, plus three
    CHECK(balancer.choose(at(3), forPrompt(42))->record.id != preferred);
}

TEST(LoadBalancing, PeerCountsTakePrecedenceOverOldReports)
{
    balancer.updateReplicas(at(0), engines(12));
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    balancer.setActivePeers(1, Duration{});
    balancer.onLoad(at(0), preferred, {30, 0, 64, 1});
    CHECK(balancer.choose(at(0.05), forPrompt(42))->record.id != preferred); // the report is still fresh
    CHECK(balancer.choose(at(0.5), forPrompt(42))->record.id == preferred);  // the report is old; no calls there
    balancer.onPeerLoads(at(0.5), 1, {{vmHash({preferred.text}), 9, 0, 0}});
    CHECK(balancer.choose(at(0.5), forPrompt(42))->record.id != preferred);
    balancer.onPeerLoads(at(0.7), 1, {}); // a peer's newest report replaces its earlier one
    CHECK(balancer.choose(at(0.7), forPrompt(42))->record.id == preferred);
    LONGS_EQUAL(0, balancer.ownLoads().size());
    balancer.onSent(preferred);
    LONGS_EQUAL(1, balancer.ownLoads().size());
}

/// Only the router that got the report knew of a burst at one engine, until the counts of all others had arrived.
TEST(LoadBalancing, TheFirstRouterThatMeetsAnUnexpectedlyFullEngineTellsTheOthers)
{
    LoadBalancer other{LoadBalancerSettings(), {"here"}, 2};
    for (LoadBalancer *router : {&balancer, &other}) {
        router->updateReplicas(at(0), engines(12));
        router->setActivePeers(1, std::chrono::seconds(1));
    }
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    CHECK(other.choose(at(0), forPrompt(42))->record.id == preferred);
    balancer.onLoad(at(0.1), preferred, {1, 0, 64, 1}); // no more than peers can know
    CHECK_FALSE(balancer.hasUrgentNews(at(0.1)));
    balancer.onLoad(at(0.2), preferred, {5, 4, 64, 1});
    CHECK(balancer.hasUrgentNews(at(0.2)));
    CHECK_FALSE(balancer.hasUrgentNews(at(0.6))); // too old to be told
    other.onReportedLoads(at(0.2), balancer.takeUnexpectedLoads(at(0.2)));
    CHECK_FALSE(balancer.hasUrgentNews(at(0.2)));
    CHECK(other.choose(at(0.2), forPrompt(42))->record.id != preferred);
    CHECK(other.choose(at(2), forPrompt(42))->record.id == preferred); // counts have arrived by then
}

/// All routers that meet the full engine would tell the same.
TEST(LoadBalancing, AFullEngineThatAPeerHasToldOfIsNotToldAgain)
{
    balancer.updateReplicas(at(0), engines(12));
    balancer.setActivePeers(1, std::chrono::seconds(1));
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    balancer.onReportedLoads(at(0.1), {{vmHash({preferred.text}), 9}});
    balancer.onLoad(at(0.2), preferred, {7, 4, 64, 1});
    CHECK_FALSE(balancer.hasUrgentNews(at(0.2)));
    balancer.onLoad(at(0.3), preferred, {10, 4, 64, 1});
    CHECK(balancer.hasUrgentNews(at(0.3)));
    balancer.onReportedLoads(at(0.3), {{vmHash({preferred.text}), 14}});
    CHECK_FALSE(balancer.hasUrgentNews(at(0.3)));
}

TEST(LoadBalancing, TheCacheSourceIsThePreferredEngineOrItsFallback)
{
    balancer.updateReplicas(at(0), namedEngines({"a", "b", "c"}));
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    const std::string fallback = balancer.cacheSource(at(0), forPrompt(42), preferred);
    CHECK(!fallback.empty() && fallback != preferred.text);
    std::vector<std::string> remaining;
    for (const char *id : {"a", "b", "c"}) {
        if (preferred.text != id) {
            remaining.emplace_back(id);
        }
    }
    balancer.updateReplicas(at(20), namedEngines(remaining));
    // The fallback serves the prompt while the preferred engine is absent.
    STRCMP_EQUAL(fallback.c_str(), balancer.choose(at(20), forPrompt(42))->record.id.text.c_str());
    balancer.updateReplicas(at(30), namedEngines({"a", "b", "c"}));
    STRCMP_EQUAL(preferred.text.c_str(), balancer.cacheSource(at(30), forPrompt(42), {fallback}).c_str());
    balancer.onSent(preferred);
    balancer.onEnded(at(30), preferred, AttemptOutcome::Unreachable);
    // No fetch from a failing engine: the request would only wait for it.
    STRCMP_EQUAL("", balancer.cacheSource(at(30), forPrompt(42), {fallback}).c_str());
    SelectionRequest withoutAffinity = forPrompt(42);
    withoutAffinity.affinity.reset();
    STRCMP_EQUAL("", balancer.cacheSource(at(30), withoutAffinity, {fallback}).c_str());
}

/// During a release, a new engine takes over the place of a draining one, which still has the prompts cached for a few
/// seconds.
TEST(LoadBalancing, TheCacheSourceIsTheDrainingEngine)
{
    balancer.updateReplicas(at(0), namedEngines({"a", "b", "c"}));
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    balancer.updateReplicas(at(20), namedEngines({"a", "b", "c", "new"}));
    std::vector<std::string> remaining{"new"};
    for (const char *id : {"a", "b", "c"}) {
        if (preferred.text != id) {
            remaining.emplace_back(id);
        }
    }
    balancer.updateReplicas(at(21), namedEngines(remaining), namedEngines({preferred.text}));
    STRCMP_EQUAL("new", balancer.choose(at(21), forPrompt(42))->record.id.text.c_str());
    STRCMP_EQUAL(preferred.text.c_str(), balancer.cacheSource(at(22), forPrompt(42), {"new"}).c_str());
    balancer.updateReplicas(at(30), namedEngines(remaining));
    CHECK(balancer.cacheSource(at(30), forPrompt(42), {"new"}) != preferred.text); // it may have stopped by now
}

/// All routers restart at once, while the engines, some of them replacements, keep running with their caches. Without
/// the agreed places, the routers would send prompts to engines that do not have them cached.
TEST(LoadBalancing, ARouterThatStartsAdoptsTheAgreedPlaces)
{
    balancer.updateReplicas(at(0), namedEngines({"a", "b", "c", "d"}));
    balancer.updateReplicas(at(20), namedEngines({"a", "b", "c", "d", "e"}));
    balancer.updateReplicas(at(21), namedEngines({"a", "b", "d", "e"})); // e takes over the place of c
    const auto before = preferredEngines(balancer, at(21));
    const auto saved = balancer.placeDifferences({});
    LONGS_EQUAL(4, saved.size());
    LONGS_EQUAL(0, balancer.placeDifferences(saved).size());

    LoadBalancer restarted{LoadBalancerSettings(), {"there"}, 7};
    restarted.updateReplicas(at(40), namedEngines({"a", "b", "d", "e"}));
    CHECK(preferredEngines(restarted, at(40)) != before);
    restarted.setAgreedPlaces(saved);
    CHECK(preferredEngines(restarted, at(40)) == before);

    LoadBalancer later{LoadBalancerSettings(), {"there"}, 8}; // d was replaced by f while no router ran
    later.setAgreedPlaces(saved);                             // before the first update from the registry
    later.updateReplicas(at(40), namedEngines({"a", "b", "e", "f"}));
    auto expected = before;
    std::replace(expected.begin(), expected.end(), std::string("d"), std::string("f"));
    CHECK(preferredEngines(later, at(40)) == expected);
    LONGS_EQUAL(1, later.placeDifferences(saved).size());
}

/// Simulates routers in front of twelve engines, with hot prompts and fluctuating demand. A router broadcasts its loads
/// at most `broadcastDelay` seconds after a start, and at least every 0.15 s.
struct FluctuatingDemand {
    FluctuatingDemand(std::uint64_t seed, std::size_t theRouters, double theBroadcastDelay)
        : routers(theRouters)
        , broadcastDelay(theBroadcastDelay)
        , random(seed)
    {
        for (std::uint64_t i = 0; i < routers; ++i) {
            fleet.push_back(std::make_unique<LoadBalancer>(LoadBalancerSettings(), DataCentreId{"here"}, i));
            fleet.back()->updateReplicas(at(0), engines(12));
        }
    }
    double uniform() { return boost::random::uniform_real_distribution<double>(0, 1)(random); }

    void broadcastLoads(double now, std::size_t from)
    {
        for (std::size_t to = 0; to < routers; ++to) {
            fleet[to]->setActivePeers(static_cast<int>(routers) - 1, at(broadcastDelay) - at(0));
            if (from != to) {
                fleet[to]->onPeerLoads(at(now), static_cast<std::uint32_t>(from), fleet[from]->ownLoads());
            }
        }
        nextBroadcast[from] = now + 0.15;
    }

    void broadcastDue(double now)
    {
        for (std::size_t from = 0; from < routers; ++from) {
            if (now >= nextBroadcast[from]) {
                broadcastLoads(now, from);
            }
        }
    }

    void endDue(double now)
    {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [router, id] = running.begin()->second;
            running.erase(running.begin());
            --inProgress[id];
            fleet[router]->onEnded(at(now), id, AttemptOutcome::Good);
        }
    }

    void arrive(double now)
    {
        const auto router = static_cast<std::size_t>(uniform() * static_cast<double>(routers));
        const double skewed = std::pow(uniform(), 4); // a few prompts get most of the traffic
        const auto prompt = static_cast<std::uint64_t>(skewed * 60);
        const EndpointId id = fleet[router]->choose(at(now), forPrompt(prompt * 7919))->record.id;
        const double mean = static_cast<double>(running.size()) / 12;
        ++arrivals;
        overBound += inProgress[id] > 2 * mean + 3 ? 1 : 0;
        ++inProgress[id];
        fleet[router]->onSent(id);
        running.emplace(now + 0.2 + uniform(), std::make_pair(router, id));
        nextBroadcast[router] = std::min(nextBroadcast[router], now + broadcastDelay);
    }

    /// @return highest fraction, in any of the consecutive windows of 5 s, of requests sent to an engine above the
    /// bound on load
    double run()
    {
        double worst = 0;
        for (double now = 0, next = 0, window = 5; now < 40; now += 0.002) {
            endDue(now);
            broadcastDue(now);
            const double rate = std::fmod(now, 15) < 7 ? 140 : 30; // requests/s
            while (next <= now) {
                arrive(now);
                next += -std::log(1 - uniform()) / rate;
            }
            if (now >= window) {
                worst = std::max(worst, static_cast<double>(overBound) / arrivals);
                overBound = 0;
                arrivals = 0;
                window += 5;
            }
        }
        return worst;
    }

    std::size_t routers;
    double broadcastDelay; // longest delay from a start to its broadcast, as the load balancers are told, s
    boost::random::mt19937_64 random;
    std::vector<std::unique_ptr<LoadBalancer>> fleet;
    std::multimap<double, std::pair<std::size_t, EndpointId>> running; // by end time, s
    std::map<EndpointId, int> inProgress;
    std::map<std::size_t, double> nextBroadcast;
    int arrivals = 0;
    int overBound = 0;
};

TEST(LoadBalancing, TheFleetKeepsTheLoadBoundWhileDemandFluctuates)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const double worst = FluctuatingDemand(seed, 15, 0.002).run();
        CHECK_TEXT(worst <= 0.03, ("seed " + std::to_string(seed) + ": " + std::to_string(worst)).c_str());
    }
}

/// One engine is four times slower for ten seconds; all engines are slowed down occasionally by other load on their
/// hosts. The slow engine must get fewer requests, in proportion to its speed, until it recovers.
TEST(LoadBalancing, ASlowEngineGetsFewerRequests)
{
    constexpr std::size_t routers = 15;
    constexpr double rate = 60; // requests/s
    boost::random::mt19937_64 random(11);
    const auto uniform = [&random] { return boost::random::uniform_real_distribution<double>(0, 1)(random); };
    std::vector<std::unique_ptr<LoadBalancer>> fleet;
    for (std::size_t i = 0; i < routers; ++i) {
        fleet.push_back(std::make_unique<LoadBalancer>(LoadBalancerSettings(), DataCentreId{"here"}, i));
        fleet.back()->updateReplicas(at(0), engines(12));
        fleet.back()->setActivePeers(routers - 1, Duration{});
    }
    struct Running {
        std::size_t router;
        EndpointId id;
    };
    std::multimap<double, Running> running; // by end time, s
    int sent[3] = {};                       // to engine e3: before, during and after the slow period
    int inProgress = 0;                     // on engine e3
    int maxInProgress = 0;                  // during the slow period after its first second, when reports have arrived
    for (double now = 0; now < 30; now += -std::log(1 - uniform()) / rate) {
        while (!running.empty() && running.begin()->first <= now) {
            const Running ended = running.begin()->second;
            fleet[ended.router]->onEnded(at(now), ended.id, AttemptOutcome::Good);
            inProgress -= ended.id.text == "e3" ? 1 : 0;
            running.erase(running.begin());
        }
        const auto router = static_cast<std::size_t>(uniform() * routers);
        const EndpointId id =
            fleet[router]->choose(at(now), forPrompt(static_cast<std::uint64_t>(uniform() * 200)))->record.id;
        const bool isSlow = id.text == "e3" && now >= 10 && now < 20;
        const double slowdown = isSlow ? 4 : uniform() < 0.15 ? 2.5 : 1;
        fleet[router]->onSent(id);
        running.emplace(now + (0.4 + 0.4 * uniform()) * slowdown, Running{router, id});
        fleet[router]->onLoad(at(now), id, {4, 0, 64, slowdown});
        const std::vector<PeerLoad> loads = fleet[router]->consumeLoads();
        for (std::size_t to = 0; to < routers; ++to) {
            if (to != router) {
                fleet[to]->onPeerLoads(at(now), static_cast<std::uint32_t>(router), loads);
            }
        }
        sent[static_cast<int>(now / 10)] += id.text == "e3" ? 1 : 0;
        inProgress += id.text == "e3" ? 1 : 0;
        maxInProgress = now >= 11 && now < 20 ? std::max(maxInProgress, inProgress) : maxInProgress;
    }
    CHECK(sent[0] > 20);
    CHECK_TEXT(sent[1] * 2 < sent[0], std::to_string(sent[1]).c_str());
    CHECK_TEXT(maxInProgress <= 6, std::to_string(maxInProgress).c_str());
    CHECK(sent[2] * 3 > sent[0] * 2);
}

/// An engine stops responding without closing its connections, so that only the missing stream events reveal it.
TEST(LoadBalancing, AnEngineWithAllStreamsStalledIsAvoidedByAllRouters)
{
    const auto pause = std::chrono::milliseconds(300);
    LoadBalancer peer{LoadBalancerSettings(), {"there"}, 2};
    for (LoadBalancer *each : {&balancer, &peer}) {
        each->updateReplicas(at(0), engines(12));
        each->setActivePeers(1, Duration{});
    }
    const EndpointId preferred = balancer.choose(at(0), forPrompt(42))->record.id;
    for (int i = 0; i < 2; ++i) {
        balancer.onSent(preferred);
    }
    balancer.onStreamEvent(at(1), preferred);
    CHECK_FALSE(balancer.onStreamStall(at(1.2), preferred, pause)); // another stream had an event 0.2 s ago
    CHECK_FALSE(balancer.isStalled(at(1.2), preferred));
    CHECK(balancer.onStreamStall(at(1.4), preferred, pause));
    CHECK(balancer.isStalled(at(1.4), preferred));
    CHECK(balancer.choose(at(1.4), forPrompt(42))->record.id != preferred);
    peer.onPeerLoads(at(1.4), 1, balancer.consumeLoads());
    CHECK(peer.choose(at(1.4), forPrompt(42))->record.id != preferred);
    balancer.onStreamEvent(at(1.5), preferred);
    CHECK_FALSE(balancer.isStalled(at(1.5), preferred));
    CHECK(balancer.choose(at(5), forPrompt(42))->record.id == preferred);
}

/// In a larger fleet, the byte budget allows fewer broadcasts, so that more starts are unknown to peers at any time.
TEST(LoadBalancing, ALargerFleetWithRarerBroadcastsKeepsTheLoadBound)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const double worst = FluctuatingDemand(seed, 28, 0.45).run();
        CHECK_TEXT(worst <= 0.03, ("seed " + std::to_string(seed) + ": " + std::to_string(worst)).c_str());
    }
}

TEST(LoadBalancing, AnEngineThatReturnsUnderItsNameGetsItsPromptsBack)
{
    balancer.updateReplicas(at(0), namedEngines({"a", "b", "c"}));
    const auto before = preferredEngines(balancer, at(0));
    balancer.updateReplicas(at(20), namedEngines({"a", "b"}));
    CHECK(preferredEngines(balancer, at(20)) != before);
    balancer.updateReplicas(at(24), namedEngines({"a", "b", "c"}));
    CHECK(preferredEngines(balancer, at(24)) == before);
}

TEST(LoadBalancing, NewEnginesGetPromptsOnceTheOthersAreBusy)
{
    balancer.updateReplicas(at(0), namedEngines({"a", "b"}));
    balancer.updateReplicas(at(20), namedEngines({"a", "b", "c"}));
    const auto before = preferredEngines(balancer, at(20));
    balancer.assignPlaces(at(20));
    CHECK(preferredEngines(balancer, at(20)) == before);
    for (const char *id : {"a", "b"}) {
        balancer.onLoad(at(21), {id}, {40, 0, 64, 1});
    }
    balancer.assignPlaces(at(21));
    const auto after = preferredEngines(balancer, at(30)); // the load reports have expired by then
    CHECK(std::count(after.begin(), after.end(), "c") > 50);
}

/// Idle engines that waited for places lowered the mean by which the others were judged to be busy.
TEST(LoadBalancing, WaitingEnginesDoNotHideThatTheOthersAreBusy)
{
    balancer.updateReplicas(at(0), namedEngines({"a", "b"}));
    balancer.updateReplicas(at(20), namedEngines({"a", "b", "c", "d", "e", "f"}));
    for (const char *id : {"a", "b", "c", "d", "e", "f"}) {
        const int load = id[0] <= 'b' ? 12 : 0; // the mean of all is 4, the bound 11
        balancer.onLoad(at(21), {id}, {load, 0, 64, 1});
    }
    balancer.assignPlaces(at(21));
    const auto after = preferredEngines(balancer, at(30)); // the load reports have expired by then
    CHECK(std::count(after.begin(), after.end(), "c") > 25);
}

/// A place for each new engine moves prompts twice: to the new engine, and again when another one leaves.
TEST(LoadBalancing, AReplacementWaitsWhileTheOthersAreFarFromTheBound)
{
    std::vector<std::string> names = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"};
    balancer.updateReplicas(at(0), namedEngines(names));
    names.emplace_back("new");
    balancer.updateReplicas(at(20), namedEngines(names));
    const auto before = preferredEngines(balancer, at(20));
    for (int load = 1; load <= 15; ++load) { // busy engines have more than 16
        for (const std::string &name : names) {
            balancer.onLoad(at(20 + load), {name}, {name == "new" ? 0 : load, 0, 64, 1});
        }
        balancer.assignPlaces(at(20 + load));
    }
    CHECK(preferredEngines(balancer, at(50)) == before);
}
