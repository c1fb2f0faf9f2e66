// Tests what routers know of the limits that replicas name, and that the parts of a large fleet add up to about the
// limit.
//
// Sections of this file: Fleet, Tests, Choice.
#include "filters/loadbalancer.h"
#include "net/beacons.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant start{seconds(100)};
constexpr std::uint32_t replica = 7;

// Fleet

/// Routers that all know one replica's limit, and want to send it requests at a steady rate.
struct LimitedRouters {
    LimitedRouters(int routers, double limit, Duration reportDelay)
        : delay(reportDelay)
    {
        for (int i = 0; i < routers; ++i) {
            fleet.push_back(std::make_unique<ReplicaRateLimits>(static_cast<std::uint64_t>(i) + 1));
            setFleet(*fleet.back());
        }
        now += seconds(5); // after the first window, in which a router does not know what the others sent
        for (const auto &router : fleet) {
            setFleet(*router);
            router->onAnswer(now, replica, limit);
        }
    }
    void setFleet(ReplicaRateLimits &router) { router.setFleet(now, static_cast<int>(fleet.size()), delay); }
    /// Each router reports its sends after the delay, if they are told at all.
    void report(std::size_t from)
    {
        const LimitReport report = fleet[from]->takeReport(now);
        reports.emplace(now + delay, std::make_pair(from, report));
    }
    void deliver()
    {
        while (!reports.empty() && reports.begin()->first <= now) {
            const auto [from, report] = reports.begin()->second;
            for (std::size_t to = 0; to < fleet.size(); ++to) {
                if (to != from) {
                    fleet[to]->onReport(now, static_cast<std::uint32_t>(from), report);
                }
            }
            reports.erase(reports.begin());
        }
    }
    /// @param wanted requests per second of all routers
    void run(Duration span, double wanted)
    {
        for (const Instant end = now + span; now < end; now += milliseconds(1)) {
            deliver();
            if (now >= nextHeartbeat) {
                nextHeartbeat = now + milliseconds(700) / static_cast<int>(fleet.size());
                report(heartbeats++ % fleet.size());
            }
            const std::size_t index = random() % fleet.size();
            ReplicaRateLimits &router = *fleet[index];
            const bool isWanted = static_cast<double>(random() % 1000000) < wanted * 1000;
            if (isWanted && router.admit(now, replica)) {
                router.onSent(now, replica);
                sends.push_back(now);
                report(index);
            }
        }
    }
    int mostInWindow() const
    {
        std::ptrdiff_t most = 0;
        for (auto first = sends.begin(); first != sends.end(); ++first) {
            most = std::max(most, std::upper_bound(first, sends.end(), *first + seconds(4)) - first);
        }
        return static_cast<int>(most);
    }
    double rate(Duration span) const
    {
        return static_cast<double>(sends.size()) / std::chrono::duration<double>(span).count();
    }

    Duration delay;
    Instant now = start;
    Instant nextHeartbeat = start; // of one router after the other
    std::size_t heartbeats = 0;
    boost::random::mt19937_64 random{1};
    std::vector<std::unique_ptr<ReplicaRateLimits>> fleet;
    std::multimap<Instant, std::pair<std::size_t, LimitReport>> reports;
    std::vector<Instant> sends;
};

// Tests

TEST_GROUP(ReplicaLimits)
{
    ReplicaRateLimits limits{1};
    Instant now = start;
};

/// All routers send as soon as there is room, and hear of each other a tenth of a second later.
TEST(ReplicaLimits, FifteenRoutersUseTheLimitAndKeepIt)
{
    for (const double limit : {1.0, 3.0, 8.0}) {
        LimitedRouters routers(15, limit, milliseconds(100));
        routers.run(seconds(60), 20 + limit);
        CHECK_TEXT(routers.mostInWindow() <= 6 * limit + 5, std::to_string(routers.mostInWindow()).c_str());
        CHECK(routers.rate(seconds(60)) >= 0.8 * limit);
    }
}

/// Reports are later than the limit allows for, so each router keeps to its own part.
TEST(ReplicaLimits, AHundredRoutersThatHearOfEachOtherLateKeepTheLimit)
{
    for (const double limit : {1.0, 2.5, 8.0}) {
        LimitedRouters routers(103, limit, milliseconds(1500));
        routers.run(seconds(60), 2 * limit);
        CHECK_TEXT(routers.mostInWindow() <= 6 * limit + 5, std::to_string(routers.mostInWindow()).c_str());
        CHECK_TEXT(routers.rate(seconds(60)) >= 0.6 * limit, std::to_string(routers.rate(seconds(60))).c_str());
    }
}

TEST(ReplicaLimits, ALimitOfZeroLeavesATrickleThatShowsWhenItEnds)
{
    LimitedRouters routers(15, 0, milliseconds(100));
    routers.run(seconds(60), 20);
    CHECK(!routers.sends.empty());
    CHECK(routers.mostInWindow() <= 5);
}

TEST(ReplicaLimits, PeersLearnALimitItsChangeAndItsEnd)
{
    ReplicaRateLimits peer(2);
    CHECK(limits.onAnswer(now, replica, 3.0));
    CHECK(!limits.onAnswer(now, replica, 3.1)); // a change of less than a tenth is no news
    peer.onReport(now, 1, limits.takeReport(now));
    DOUBLES_EQUAL(3.1, peer.limit(replica).value(), 1e-9);
    CHECK(!peer.onAnswer(now, replica, 3.1)); // known already
    now += seconds(1);
    CHECK(limits.onAnswer(now, replica, 1.0));
    peer.onReport(now, 1, limits.takeReport(now));
    DOUBLES_EQUAL(1, peer.limit(replica).value(), 1e-9);
    now += seconds(1);
    CHECK(limits.onAnswer(now, replica, std::nullopt));
    peer.onReport(now, 1, limits.takeReport(now));
    CHECK(!peer.limit(replica));
    peer.onReport(now, 3, {{{replica, 3.0, 5000}}, {}, 0}); // late news of before
    CHECK(!peer.limit(replica));
}

/// Answers over two connections may overtake each other.
TEST(ReplicaLimits, AnAnswerThatWasOvertakenEndsNoLimit)
{
    limits.onAnswer(now, replica, 3.0);
    CHECK(!limits.onAnswer(now + milliseconds(10), replica, std::nullopt));
    CHECK(limits.limit(replica).has_value());
}

/// In a burst reports are late for a moment. The others took a router without sends for one that had sent nothing.
TEST(ReplicaLimits, SendsAreToldWhileReportsAreSomewhatLate)
{
    limits.setFleet(now, 15, milliseconds(10));
    limits.onAnswer(now, replica, 3.0);
    limits.onSent(now, replica);
    limits.setFleet(now, 15, milliseconds(500));
    LONGS_EQUAL(1, limits.takeReport(now).sends.size());
    limits.setFleet(now, 103, milliseconds(1500));
    LONGS_EQUAL(0, limits.takeReport(now).sends.size());
}

/// Peers forgot what a router had sent before its restart, and sent as much again.
TEST(ReplicaLimits, SendsOfARouterThatRestartsStillCount)
{
    limits.setFleet(now, 2, milliseconds(10));
    now += seconds(5);
    limits.setFleet(now, 2, milliseconds(10));
    limits.onAnswer(now, replica, 1.0);
    limits.onReport(now, 1, {{}, {{replica, 6}}, 41});
    CHECK(!limits.admit(now, replica));
    limits.onReport(now, 1, {{}, {}, 42}); // the peer has restarted
    CHECK(!limits.admit(now, replica));
    now += seconds(5);
    limits.onReport(now, 1, {{}, {}, 0});
    limits.expire(now);
    CHECK(limits.admit(now, replica));
}

/// It may have used its part before.
TEST(ReplicaLimits, ARouterThatStartsSendsNothingAtOnceToAReplicaWithALimit)
{
    limits.setFleet(now, 10, milliseconds(10));
    limits.onReport(now, 1, {{{replica, 3.0, 0}}, {}, 0});
    CHECK(!limits.admit(now, replica));
    CHECK(limits.admit(now + seconds(3), replica));
}

TEST(ReplicaLimits, AReplicaThatStartsAnewHasNoLimit)
{
    limits.onAnswer(now, replica, 0.0);
    limits.forget(replica);
    CHECK(limits.admit(now, replica));
}

TEST(ReplicaLimits, ReportsSurviveTheWayThroughABeacon)
{
    LoadBeacon sent;
    sent.limits = {{{replica, 2.5, 12}, {8, std::nullopt, 34}}, {{replica, 9}}, 77};
    LoadBeacon received;
    CHECK(decodeBeacon(encodeBeacon(sent), received));
    const LimitReport &report = received.limits;
    LONGS_EQUAL(2, report.news.size());
    DOUBLES_EQUAL(2.5, report.news[0].perSecond.value(), 1e-6);
    LONGS_EQUAL(12, report.news[0].ageMillis);
    CHECK(!report.news[1].perSecond);
    LONGS_EQUAL(9, report.sends.at(0).count);
    LONGS_EQUAL(77, report.startId);
}

TEST_GROUP(LimitAfterAQuietTime){};

/// The parts of routers that sent nothing for a while are unused, and a burst finds all of them.
TEST(LimitAfterAQuietTime, AHundredRoutersThatHearOfEachOtherLateKeepTheLimitInABurst)
{
    LimitedRouters routers(103, 2.5, milliseconds(1500));
    routers.now += seconds(60);
    routers.run(seconds(10), 20);
    CHECK_TEXT(routers.mostInWindow() <= 6 * 2.5 + 5, std::to_string(routers.mostInWindow()).c_str());
}

// Choice

TEST_GROUP(LimitedReplicaChoice)
{
    LoadBalancer balancer{LoadBalancerSettings(), {"here"}, 1};
    Instant now = start;
    SelectionRequest request;

    void setup() override
    {
        std::vector<ReplicaRecord> records(3);
        for (std::size_t i = 0; i < records.size(); ++i) {
            records[i].id.text = "e" + std::to_string(i);
            records[i].service.text = "llm";
            records[i].dataCentre.text = "here";
        }
        balancer.updateReplicas(now, records);
        request.service.text = "llm";
        request.affinity = 42;
        balancer.rateLimits().setFleet(now, 1, Duration{});
        now += seconds(5);
        balancer.rateLimits().setFleet(now, 1, Duration{});
    }
    EndpointId choose()
    {
        return balancer.choose(now, request)->record.id;
    }
    /// @return requests that get an engine, of 20 that come at once
    int served()
    {
        int count = 0;
        for (int i = 0; i < 20; ++i) {
            const ReplicaChoice choice = balancer.choose(now, request);
            if (choice) {
                balancer.rateLimits().onSent(now, choice->nameHash);
                ++count;
            } else {
                CHECK(choice.skippedLimited > 0);
            }
        }
        return count;
    }
};

TEST(LimitedReplicaChoice, APromptGoesToTheNextEngineWhileItsOwnIsAtItsLimit)
{
    const EndpointId home = choose();
    balancer.onRateLimit(now, home, 1.0);
    for (int i = 0; i < 5; ++i) {
        CHECK(choose() == home);
        balancer.rateLimits().onSent(now, balancer.choose(now, request)->nameHash);
    }
    CHECK(choose() != home);
    now += seconds(4);
    CHECK(choose() == home);
}

/// A request that no replica may get was sent to the one with the least load.
TEST(LimitedReplicaChoice, WhatNoReplicaMayGetIsNotSent)
{
    for (const char *id : {"e0", "e1", "e2"}) {
        balancer.onRateLimit(now, {id}, 1.0);
    }
    LONGS_EQUAL(15, served()); // four in four seconds, and one, at each
    now += seconds(1);
    request.affinity.reset(); // a service without prompts
    LONGS_EQUAL(0, served());
    now += seconds(4);
    LONGS_EQUAL(15, served());
}

/// The engines without a limit had to take all that the others may not get, and answered nobody in time.
TEST(LimitedReplicaChoice, AnEngineWithoutLimitTakesNoMoreThanItsBound)
{
    balancer.onRateLimit(now, {"e0"}, 0.5);
    balancer.onRateLimit(now, {"e1"}, 0.5);
    int sent = 0;
    for (ReplicaChoice choice = balancer.choose(now, request); choice && sent < 100; ++sent) {
        balancer.onSent(choice->record.id);
        balancer.rateLimits().onSent(now, choice->nameHash);
        choice = balancer.choose(now, request);
    }
    CHECK_TEXT(sent < 30, std::to_string(sent).c_str());
}
