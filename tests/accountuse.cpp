// Tests what a router knows of the use of client accounts, its own and what its peers tell.
//
// Sections of this file: Own use, Peers, Messages.
#include "control/accountuse.h"
#include "control/loadview.h"
#include "galenafold/seconds.h"
#include "net/beacons.h"

#include <CppUTest/TestHarness.h>
#include <cmath>

using namespace galenafold;

static Instant at(double seconds)
{
    return Instant(durationOf(seconds + 100));
}

static std::uint32_t hashOf(const std::string &name)
{
    return static_cast<std::uint32_t>(hashName(name));
}

TEST_GROUP(AccountUse)
{
    /// The accounts start work at these rates for 30 s until now.
    static void startFor(AccountUse & use, double until, const std::map<std::string, double> &perSecond)
    {
        constexpr double step = 0.1;
        for (double now = until - 30; now < until; now += step) {
            for (const auto &[account, rate] : perSecond) {
                use.onStarted(at(now), service, {account}, rate * step);
            }
        }
    }

    double multiple(const AccountUse &use, const std::string &account, double now = 0) const
    {
        return use.multipleOfMean(at(now), service, {account});
    }

    inline static const ServiceId service{"llm"};
    const Duration lifetime = std::chrono::seconds(6);
    AccountUse own;
};

// Own use

TEST(AccountUse, AloneItIsAMultipleOfTheMeanOfOwnAccounts)
{
    startFor(own, 0, {{"a", 30}, {"b", 10}, {"c", 20}});
    DOUBLES_EQUAL(1.5, multiple(own, "a"), 0.01);
    DOUBLES_EQUAL(0.5, multiple(own, "b"), 0.01);
    DOUBLES_EQUAL(0, multiple(own, "unknown"), 0);
    DOUBLES_EQUAL(0, own.multipleOfMean(at(0), {"other"}, {"a"}), 0);
}

TEST(AccountUse, WhatWasStartedLongAgoDoesNotCount)
{
    startFor(own, -60, {{"gone", 50}});
    startFor(own, 0, {{"a", 10}, {"b", 10}});
    DOUBLES_EQUAL(1, multiple(own, "a"), 0.01);
    DOUBLES_EQUAL(0, multiple(own, "gone"), 0);
}

TEST(AccountUse, TheHeaviestAreNamed)
{
    std::map<std::string, double> rates;
    for (int i = 0; i < 100; ++i) {
        rates["usual" + std::to_string(i)] = 1;
    }
    for (int i = 0; i < 10; ++i) {
        rates["heavy" + std::to_string(i)] = 10 + i;
    }
    startFor(own, 0, rates);
    const std::vector<AccountUse::Entry> heaviest = own.heaviest(at(0), service, 4);
    LONGS_EQUAL(4, heaviest.size());
    STRCMP_EQUAL("heavy9", heaviest[0].account.text.c_str());
    const std::vector<AccountWork> work = own.ownWork(at(0));
    LONGS_EQUAL(4, work.size()); // the sum, and three accounts
    LONGS_EQUAL(0, work[0].account);
    DOUBLES_EQUAL(100 + 145 - 19 - 18 - 17, work[0].perSecond, 3);
    CHECK(work[1].account == hashOf("heavy9"));
    DOUBLES_EQUAL(19, work[1].perSecond, 0.5);
}

TEST(AccountUse, NothingIsToldWhereNoAccountIsNamed)
{
    startFor(own, 0, {{"", 50}});
    CHECK(own.ownWork(at(0)).empty());
    DOUBLES_EQUAL(1, multiple(own, ""), 0.01);
}

// Peers

/// Its callers all come to this router, where it takes most of what starts, and hardly anything of the fleet.
TEST(AccountUse, AnAccountOfOneRouterIsUsualInTheFleet)
{
    startFor(own, 0, {{"local", 10}, {"a", 2}, {"b", 2}});
    CHECK(multiple(own, "local") > heavyUse);
    for (std::uint32_t peer = 1; peer < 10; ++peer) {
        AccountUse other;
        startFor(other, 0, {{"a", 10}, {"b", 10}, {"c", 10}});
        own.onPeerWork(at(peer), peer, other.ownWork(at(0)), lifetime * 3);
    }
    CHECK(multiple(own, "local", 9) < 0.5);
}

/// Here it starts little, as its callers come to others.
TEST(AccountUse, AnAccountThatIsHeavyElsewhereIsHeavyHere)
{
    startFor(own, 0, {{"heavy", 5}, {"a", 10}, {"b", 10}});
    CHECK(multiple(own, "heavy") < 1);
    for (std::uint32_t peer = 1; peer < 10; ++peer) {
        AccountUse other;
        startFor(other, 0, {{"heavy", 30}, {"a", 5}, {"b", 5}});
        own.onPeerWork(at(peer), peer, other.ownWork(at(0)), lifetime * 3);
    }
    CHECK(multiple(own, "heavy", 9) > heavyUse);
}

/// Each router has accounts of its own: that they are few here does not make the mean of the fleet large.
TEST(AccountUse, AccountsOfOthersCountInTheMean)
{
    startFor(own, 0, {{"a", 20}, {"b", 1}, {"c", 1}});
    for (std::uint32_t peer = 1; peer <= 10; ++peer) {
        AccountUse other;
        const std::string name = std::to_string(peer);
        startFor(other, 0, {{"x" + name, 1}, {"y" + name, 1}, {"z" + name, 1}});
        own.onPeerWork(at(0), peer, other.ownWork(at(0)), lifetime);
    }
    own.onStarted(at(0.5), service, {"a"}, 1);
    CHECK(multiple(own, "a", 0.5) > 8); // about 20 of 52 a second, by 33 accounts
}

TEST(AccountUse, WhatAPeerTellsAgainCountsOnce)
{
    startFor(own, 0, {{"heavy", 10}, {"a", 10}});
    AccountUse other;
    startFor(other, 0, {{"heavy", 90}, {"a", 10}, {"b", 10}});
    own.onPeerWork(at(0), 1, other.ownWork(at(0)), lifetime);
    const double once = multiple(own, "heavy");
    for (int i = 1; i <= 20; ++i) {
        own.onPeerWork(at(0.3 * i), 1, other.ownWork(at(0)), lifetime);
        startFor(own, 0, {});
    }
    AccountUse again;
    startFor(again, 0, {{"heavy", 10}, {"a", 10}});
    again.onPeerWork(at(6), 1, other.ownWork(at(0)), lifetime);
    DOUBLES_EQUAL(multiple(again, "heavy", 6), multiple(own, "heavy", 6), 1e-6);
    CHECK(once > heavyUse);
}

TEST(AccountUse, APeerThatFallsSilentExpires)
{
    startFor(own, 0, {{"heavy", 10}, {"a", 10}});
    AccountUse other;
    startFor(other, 0, {{"heavy", 90}, {"a", 10}, {"b", 10}});
    own.onPeerWork(at(0), 1, other.ownWork(at(0)), lifetime);
    CHECK(multiple(own, "heavy") > heavyUse);
    own.onStarted(at(7), service, {"a"}, 1);
    CHECK(multiple(own, "heavy", 7) < 1); // own use alone
}

TEST(AccountUse, ARestartedPeerReplacesWhatItTold)
{
    startFor(own, 0, {{"a", 10}, {"b", 10}});
    AccountUse before;
    startFor(before, 0, {{"b", 90}, {"a", 10}, {"c", 10}});
    own.onPeerWork(at(0), 1, before.ownWork(at(0)), lifetime);
    CHECK(multiple(own, "b") > heavyUse);
    AccountUse restarted;
    startFor(restarted, 0.5, {{"a", 10}, {"b", 10}, {"c", 10}});
    own.onPeerWork(at(0.5), 1, restarted.ownWork(at(0.5)), lifetime);
    CHECK(multiple(own, "b", 0.5) < heavyUse);
}

TEST(AccountUse, AccountsAreCountedRoughly)
{
    for (const int accounts : {1, 3, 12, 50, 150}) {
        std::uint64_t bits = 0;
        for (int i = 0; i < accounts; ++i) {
            bits |= accountBit(hashOf("account" + std::to_string(i)));
        }
        CHECK(estimatedAccounts(bits) >= 0.7 * accounts);
        CHECK(estimatedAccounts(bits) <= 1.4 * accounts);
    }
    CHECK(estimatedAccounts(~std::uint64_t{0}) > 200);
    DOUBLES_EQUAL(0, estimatedAccounts(0), 1e-9);
}

// Messages

TEST(AccountUse, BeaconsCarryIt)
{
    startFor(own, 0, {{"heavy", 30}, {"a", 5}, {"b", 5}});
    LoadBeacon sent;
    sent.number = 7;
    sent.loads = {{1, 2}};
    const std::size_t bytesBefore = encodeBeacon(sent).size();
    sent.accountWork = own.ownWork(at(0));
    LoadBeacon received;
    CHECK(decodeBeacon(encodeBeacon(sent), received));
    LONGS_EQUAL(2, received.accountWork.size());
    for (std::size_t i = 0; i < received.accountWork.size(); ++i) {
        CHECK(received.accountWork[i].service == sent.accountWork[i].service);
        CHECK(received.accountWork[i].account == sent.accountWork[i].account);
        CHECK(received.accountWork[i].accounts == sent.accountWork[i].accounts);
        DOUBLES_EQUAL(sent.accountWork[i].perSecond, received.accountWork[i].perSecond, 1e-6);
    }
    std::printf("one heavy account: %zu bytes\n", encodeBeacon(sent).size() - bytesBefore);
}

TEST(AccountUse, ImpossibleFiguresAreNotRead)
{
    LoadBeacon sent;
    sent.accountWork = {{1, 1, NAN}, {1, 2, -1}, {1, 3, INFINITY}, {1, 4, 2}};
    sent.accountWork.resize(maxAccountWork + 4, {1, 5, 1});
    LoadBeacon received;
    CHECK(decodeBeacon(encodeBeacon(sent), received));
    LONGS_EQUAL(maxAccountWork - 3, received.accountWork.size());
    LONGS_EQUAL(4, received.accountWork[0].account);
}
