// Which engine gets a request: homes of prompts, the bound on load, peers' counts; against the naive policy.
#include "filters/loadbalancer.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

using namespace galenafold;

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

TEST_GROUP(PlacingByPrompt)
{
    LoadBalancer board{LoadBalancerSettings(), {"here"}, 1};
};

TEST(PlacingByPrompt, EveryRouterPicksTheSameEngineAndFewMoveWhenOneLeaves)
{
    LoadBalancer other{LoadBalancerSettings(), {"there"}, 99};
    board.updateReplicas(at(0), engines(12));
    other.updateReplicas(at(0), engines(11)); // the last one has left, or is not seen yet
    int moved = 0;
    for (std::uint64_t prompt = 0; prompt < 600; ++prompt) {
        const std::string one = board.choose(at(0), forPrompt(prompt * 7919))->record.id.text;
        const std::string two = other.choose(at(0), forPrompt(prompt * 7919))->record.id.text;
        moved += one != two ? 1 : 0;
        CHECK(one == two || one == "e11");
    }
    CHECK(moved > 0);
    CHECK(moved < 100); // a twelfth of 600, and chance
}

TEST(PlacingByPrompt, AHotPromptStaysWithinTheBoundOnLoad)
{
    board.updateReplicas(at(0), engines(12));
    std::map<EndpointId, int> placed;
    for (int i = 0; i < 120; ++i) {
        const ReplicaChoice endpoint = board.choose(at(0), forPrompt(42));
        const double mean = i / 12.0;
        CHECK(placed[endpoint->record.id] <= 2 * mean + 3); // what it holds when the request arrives
        ++placed[endpoint->record.id];
        board.onSent(endpoint->record.id);
    }
    CHECK(placed.size() < 12); // yet it does not spread further than it must
}

TEST(PlacingByPrompt, LeavesAFailingEngineAndComesBackLater)
{
    board.updateReplicas(at(0), engines(3));
    const EndpointId home = board.choose(at(0), forPrompt(42))->record.id;
    board.onSent(home);
    board.onEnded(at(0), home, AttemptOutcome::Unreachable);
    CHECK(board.choose(at(0.1), forPrompt(42))->record.id != home);
    CHECK(board.choose(at(30), forPrompt(42))->record.id == home);
}

TEST(PlacingByPrompt, WithEveryEngineFailingSomeEngineIsStillTried)
{
    board.updateReplicas(at(0), engines(2));
    for (const char *id : {"e0", "e1"}) {
        board.onSent({id});
        board.onEnded(at(0), {id}, AttemptOutcome::Unreachable);
    }
    CHECK(bool(board.choose(at(0.1), forPrompt(1))));
}

TEST(PlacingByPrompt, ReadsSharedPartsTenTimesLessOftenThanTheNaivePolicy)
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
    std::set<std::pair<std::uint64_t, std::string>> reads;
    std::set<std::pair<std::uint64_t, std::string>> naiveReads;
    for (int i = 0; i < requests; ++i) {
        LoadBalancer &router = *fleet[boost::random::uniform_int_distribution<std::size_t>(0, routers - 1)(random)];
        const auto prompt = boost::random::uniform_int_distribution<std::uint64_t>(1, prompts)(random);
        reads.insert({prompt, router.choose(at(i), forPrompt(prompt))->record.id.text});
        SelectionRequest naive = forPrompt(prompt);
        naive.affinity.reset();
        naiveReads.insert({prompt, router.choose(at(i), naive)->record.id.text});
    }
    LONGS_EQUAL(prompts, reads.size());
    CHECK(static_cast<double>(reads.size()) <= 0.2 * static_cast<double>(naiveReads.size()));
}

TEST(PlacingByPrompt, TheLastPartIsTheRequestsOwn)
{
    CHECK(!affinityKey({{1, 10}}));
    CHECK(affinityKey({{1, 10}, {2, 20}, {3, 5}}) == affinityKey({{1, 10}, {2, 20}, {4, 7}}));
    CHECK(affinityKey({{1, 10}, {2, 20}, {3, 5}}) != affinityKey({{1, 10}, {5, 20}, {3, 5}}));
}

static std::vector<ReplicaRecord> engineList(std::vector<std::string> names)
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

/// @return the home of each of many prompts
static std::vector<std::string> homes(LoadBalancer &board, Instant now)
{
    std::vector<std::string> found;
    for (std::uint64_t prompt = 0; prompt < 300; ++prompt) {
        found.push_back(board.choose(now, forPrompt(prompt * 7919))->record.id.text);
    }
    return found;
}

TEST(PlacingByPrompt, AReplacementTakesOverTheLeaversPromptsAndNoOthers)
{
    board.updateReplicas(at(0), engineList({"a", "b", "c", "d"}));
    const auto before = homes(board, at(0));
    board.updateReplicas(at(20), engineList({"a", "b", "c", "d", "e"})); // the new one starts first
    CHECK(homes(board, at(20)) == before);
    board.updateReplicas(at(21), engineList({"a", "b", "d", "e"})); // then an old one drains
    auto expected = before;
    std::replace(expected.begin(), expected.end(), std::string("c"), std::string("e"));
    CHECK(homes(board, at(21)) == expected);
}

TEST(PlacingByPrompt, EnginesNotHeardOfForAMomentDoNotCountAsIdle)
{
    board.updateReplicas(at(0), engines(12));
    const EndpointId home = board.choose(at(0), forPrompt(42))->record.id;
    for (int i = 0; i < 12; ++i) {
        board.onLoad(at(0), {"e" + std::to_string(i)}, {6, 0, 64, 1});
    }
    board.onLoad(at(3), home, {7, 0, 64, 1}); // all other reports are old
    CHECK(board.choose(at(3), forPrompt(42))->record.id == home);
    board.onLoad(at(3), home, {16, 0, 64, 1}); // over twice the mean, and three
    CHECK(board.choose(at(3), forPrompt(42))->record.id != home);
}

TEST(PlacingByPrompt, PeersCountsGoBeforeOldReports)
{
    board.updateReplicas(at(0), engines(12));
    const EndpointId home = board.choose(at(0), forPrompt(42))->record.id;
    board.setActivePeers(1, Duration{});
    board.onLoad(at(0), home, {30, 0, 64, 1});
    CHECK(board.choose(at(0.05), forPrompt(42))->record.id != home); // the report is young
    CHECK(board.choose(at(0.5), forPrompt(42))->record.id == home);  // nobody has calls there now
    board.onPeerLoads(at(0.5), 1, {{endpointHash({home.text}), 9, 0, 0}});
    CHECK(board.choose(at(0.5), forPrompt(42))->record.id != home);
    board.onPeerLoads(at(0.7), 1, {}); // the newest of a peer replaces what it said before
    CHECK(board.choose(at(0.7), forPrompt(42))->record.id == home);
    LONGS_EQUAL(0, board.ownLoads().size());
    board.onSent(home);
    LONGS_EQUAL(1, board.ownLoads().size());
}

TEST(PlacingByPrompt, ACopyComesFromTheHomeOrFromTheOneThatStoodInForIt)
{
    board.updateReplicas(at(0), engineList({"a", "b", "c"}));
    const EndpointId home = board.choose(at(0), forPrompt(42))->record.id;
    const std::string standIn = board.cacheSource(at(0), forPrompt(42), home);
    CHECK(!standIn.empty() && standIn != home.text);
    std::vector<std::string> others;
    for (const char *id : {"a", "b", "c"}) {
        if (home.text != id) {
            others.emplace_back(id);
        }
    }
    board.updateReplicas(at(20), engineList(others));
    STRCMP_EQUAL(standIn.c_str(),
                 board.choose(at(20), forPrompt(42))->record.id.text.c_str()); // while the home is away
    board.updateReplicas(at(30), engineList({"a", "b", "c"}));
    STRCMP_EQUAL(home.text.c_str(), board.cacheSource(at(30), forPrompt(42), {standIn}).c_str());
    board.onSent(home);
    board.onEnded(at(30), home, AttemptOutcome::Unreachable);
    STRCMP_EQUAL("", board.cacheSource(at(30), forPrompt(42), {standIn}).c_str()); // never wait for a failing one
    SelectionRequest plain = forPrompt(42);
    plain.affinity.reset();
    STRCMP_EQUAL("", board.cacheSource(at(30), plain, {standIn}).c_str());
}

/// A release drains an engine whose place a newcomer takes: it still holds the prompts, for a few seconds.
TEST(PlacingByPrompt, ACopyComesFromTheEngineThatLeaves)
{
    board.updateReplicas(at(0), engineList({"a", "b", "c"}));
    const EndpointId home = board.choose(at(0), forPrompt(42))->record.id;
    board.updateReplicas(at(20), engineList({"a", "b", "c", "new"}));
    std::vector<std::string> staying{"new"};
    for (const char *id : {"a", "b", "c"}) {
        if (home.text != id) {
            staying.emplace_back(id);
        }
    }
    board.updateReplicas(at(21), engineList(staying), engineList({home.text}));
    STRCMP_EQUAL("new", board.choose(at(21), forPrompt(42))->record.id.text.c_str());
    STRCMP_EQUAL(home.text.c_str(), board.cacheSource(at(22), forPrompt(42), {"new"}).c_str());
    board.updateReplicas(at(30), engineList(staying));
    CHECK(board.cacheSource(at(30), forPrompt(42), {"new"}) != home.text); // it has ended by now
}

/// All routers stop at one moment; the engines, some of them replacements, live on with their caches.
TEST(PlacingByPrompt, ARouterThatStartsTakesOverWhatTheFleetHasAgreedOn)
{
    board.updateReplicas(at(0), engineList({"a", "b", "c", "d"}));
    board.updateReplicas(at(20), engineList({"a", "b", "c", "d", "e"}));
    board.updateReplicas(at(21), engineList({"a", "b", "d", "e"})); // e has the place of c
    const auto before = homes(board, at(21));
    const auto saved = board.placeDifferences({});
    LONGS_EQUAL(4, saved.size());
    LONGS_EQUAL(0, board.placeDifferences(saved).size());

    LoadBalancer started{LoadBalancerSettings(), {"there"}, 7};
    started.updateReplicas(at(40), engineList({"a", "b", "d", "e"}));
    CHECK(homes(started, at(40)) != before);
    started.adoptPlaces(saved);
    CHECK(homes(started, at(40)) == before);

    LoadBalancer later{LoadBalancerSettings(), {"there"}, 8}; // d was replaced by f while no router ran
    later.adoptPlaces(saved);                                 // before the registry was read
    later.updateReplicas(at(40), engineList({"a", "b", "e", "f"}));
    auto expected = before;
    std::replace(expected.begin(), expected.end(), std::string("d"), std::string("f"));
    CHECK(homes(later, at(40)) == expected);
    LONGS_EQUAL(1, later.placeDifferences(saved).size());
}

/// Routers before twelve engines, hot prompts, demand that swings. A start is told to all after a time, ends each 0.3
/// s.
struct SwingDay {
    SwingDay(std::uint64_t seed, std::size_t theRouters, double theUntold)
        : routers(theRouters)
        , untold(theUntold)
        , random(seed)
    {
        for (std::uint64_t i = 0; i < routers; ++i) {
            fleet.push_back(std::make_unique<LoadBalancer>(LoadBalancerSettings(), DataCentreId{"here"}, i));
            fleet.back()->updateReplicas(at(0), engines(12));
        }
    }
    double uniform() { return boost::random::uniform_real_distribution<double>(0, 1)(random); }

    void tellPeers(double now, std::size_t from)
    {
        for (std::size_t to = 0; to < routers; ++to) {
            fleet[to]->setActivePeers(static_cast<int>(routers) - 1, at(untold) - at(0));
            if (from != to) {
                fleet[to]->onPeerLoads(at(now), static_cast<std::uint32_t>(from), fleet[from]->ownLoads());
            }
        }
        tellAt[from] = now + 0.15;
    }

    void tellDue(double now)
    {
        for (std::size_t from = 0; from < routers; ++from) {
            if (now >= tellAt[from]) {
                tellPeers(now, from);
            }
        }
    }

    void end(double now)
    {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [router, id] = running.begin()->second;
            running.erase(running.begin());
            --held[id];
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
        over += held[id] > 2 * mean + 3 ? 1 : 0;
        ++held[id];
        fleet[router]->onSent(id);
        running.emplace(now + 0.2 + uniform(), std::make_pair(router, id));
        tellAt[router] = std::min(tellAt[router], now + untold);
    }

    /// @return worst share, in any five seconds, of requests that reach an engine over the bound
    double run()
    {
        double worst = 0;
        for (double now = 0, next = 0, window = 5; now < 40; now += 0.002) {
            end(now);
            tellDue(now);
            const double rate = std::fmod(now, 15) < 7 ? 140 : 30;
            while (next <= now) {
                arrive(now);
                next += -std::log(1 - uniform()) / rate;
            }
            if (now >= window) {
                worst = std::max(worst, static_cast<double>(over) / arrivals);
                over = 0;
                arrivals = 0;
                window += 5;
            }
        }
        return worst;
    }

    std::size_t routers;
    double untold; // seconds from a start until peers hear of it
    boost::random::mt19937_64 random;
    std::vector<std::unique_ptr<LoadBalancer>> fleet;
    std::multimap<double, std::pair<std::size_t, EndpointId>> running; // by their end
    std::map<EndpointId, int> held;
    std::map<std::size_t, double> tellAt;
    int arrivals = 0;
    int over = 0;
};

TEST(PlacingByPrompt, TheFleetKeepsTheBoundWhileDemandSwings)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const double worst = SwingDay(seed, 15, 0.002).run();
        CHECK_TEXT(worst <= 0.03, ("seed " + std::to_string(seed) + ": " + std::to_string(worst)).c_str());
    }
}

/// An engine works four times slower for ten seconds; all others are slowed by neighbours now and then. Its share of
/// the requests falls to what it can carry, and comes back.
TEST(PlacingByPrompt, ASlowEngineGetsWhatItCanCarry)
{
    constexpr std::size_t routers = 15;
    constexpr double rate = 60;
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
    std::multimap<double, Running> running; // by their end
    int sent[3] = {};                       // to the slow engine: before, while it is slow, afterwards
    int held = 0;                           // by the slow engine
    int mostHeld = 0;                       // while it is slow, once that could be known
    for (double now = 0; now < 30; now += -std::log(1 - uniform()) / rate) {
        while (!running.empty() && running.begin()->first <= now) {
            const Running ended = running.begin()->second;
            fleet[ended.router]->onEnded(at(now), ended.id, AttemptOutcome::Good);
            held -= ended.id.text == "e3" ? 1 : 0;
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
        held += id.text == "e3" ? 1 : 0;
        mostHeld = now >= 11 && now < 20 ? std::max(mostHeld, held) : mostHeld;
    }
    CHECK(sent[0] > 20);
    CHECK_TEXT(sent[1] * 2 < sent[0], std::to_string(sent[1]).c_str());
    CHECK_TEXT(mostHeld <= 6, std::to_string(mostHeld).c_str());
    CHECK(sent[2] * 3 > sent[0] * 2);
}

/// A replica goes dark: no connection ends, and nothing comes any more.
TEST(PlacingByPrompt, AnEngineWhoseStreamsAllStandStillGetsNothingMoreAndPeersHearOfIt)
{
    const auto pause = std::chrono::milliseconds(300);
    LoadBalancer peer{LoadBalancerSettings(), {"there"}, 2};
    for (LoadBalancer *each : {&board, &peer}) {
        each->updateReplicas(at(0), engines(12));
        each->setActivePeers(1, Duration{});
    }
    const EndpointId home = board.choose(at(0), forPrompt(42))->record.id;
    for (int i = 0; i < 2; ++i) {
        board.onSent(home);
    }
    board.onStreamEvent(at(1), home);
    CHECK_FALSE(board.onStreamStall(at(1.2), home, pause)); // another of its streams goes on
    CHECK_FALSE(board.isStalled(at(1.2), home));
    CHECK(board.onStreamStall(at(1.4), home, pause));
    CHECK(board.isStalled(at(1.4), home));
    CHECK(board.choose(at(1.4), forPrompt(42))->record.id != home);
    peer.onPeerLoads(at(1.4), 1, board.consumeLoads());
    CHECK(peer.choose(at(1.4), forPrompt(42))->record.id != home);
    board.onStreamEvent(at(1.5), home);
    CHECK_FALSE(board.isStalled(at(1.5), home));
    CHECK(board.choose(at(5), forPrompt(42))->record.id == home);
}

/// A fleet that grows cannot afford to tell all peers as often: more starts are unheard at any moment.
TEST(PlacingByPrompt, ALargerFleetThatTellsMoreSeldomKeepsTheBoundToo)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const double worst = SwingDay(seed, 28, 0.45).run();
        CHECK_TEXT(worst <= 0.03, ("seed " + std::to_string(seed) + ": " + std::to_string(worst)).c_str());
    }
}

TEST(PlacingByPrompt, AnEngineThatReturnsUnderItsNameFindsItsPromptsAgain)
{
    board.updateReplicas(at(0), engineList({"a", "b", "c"}));
    const auto before = homes(board, at(0));
    board.updateReplicas(at(20), engineList({"a", "b"}));
    CHECK(homes(board, at(20)) != before);
    board.updateReplicas(at(24), engineList({"a", "b", "c"}));
    CHECK(homes(board, at(24)) == before);
}

TEST(PlacingByPrompt, NewcomersGetPromptsOfTheirOwnOnceTheOthersAreBusy)
{
    board.updateReplicas(at(0), engineList({"a", "b"}));
    board.updateReplicas(at(20), engineList({"a", "b", "c"}));
    const auto before = homes(board, at(20));
    board.assignPlaces(at(20));
    CHECK(homes(board, at(20)) == before);
    for (const char *id : {"a", "b"}) {
        board.onLoad(at(21), {id}, {40, 0, 64, 1});
    }
    board.assignPlaces(at(21));
    const auto after = homes(board, at(30)); // the reports are old by then
    CHECK(std::count(after.begin(), after.end(), "c") > 50);
}
