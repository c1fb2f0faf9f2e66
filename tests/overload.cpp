// Requests beyond what the replicas can serve: what callers get, in a model of the fleet.
//
// Sections of this file: Demand, Shares, Failures.
#include "tests/overloadmodel.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

// Demand

constexpr double keptShare = 0.9;           // of the most goodput at any lower demand
constexpr double maxLateShare = 0.05;       // of the responses
constexpr double maxArrivals = 1.1;         // at replicas, for each request served
constexpr double keptBesideHeavyUse = 0.95; // of an account's service on a calm day

TEST_GROUP(Overload){};

static OverloadPlan plan(double demand, int routers = 30)
{
    OverloadPlan result;
    result.demand = demand;
    result.routers = routers;
    if (routers > 100) {
        result.beaconInterval = 1.2;
        result.engines = 30;
        result.slots = 32;
    }
    return result;
}

static void print(const char *name, const OverloadModel &model)
{
    std::printf("%s: demand %.1f routers %d: goodput %.0f of %.0f/s, late %.3f, refusals %d, expired %d, arrivals %d, "
                "not run %d; by kind",
                name, model.plan.demand, model.plan.routers, model.goodput(), model.capacity(), model.all.lateShare(),
                model.all.refused, model.expired, model.arrivals, model.notRun);
    for (const auto &tally : model.byKind) {
        std::printf(" %.3f", tally.share());
    }
    std::printf("\n");
}

/// Goodput does not fall as demand grows, and few responses are late.
static void checkGoodput(int routers)
{
    double most = 0;
    for (const double demand : {0.9, 1.5, 2.0, 3.0, 5.0}) {
        OverloadModel model(plan(demand, routers));
        model.run();
        print("admission", model);
        CHECK(model.goodput() >= keptShare * most);
        CHECK(model.all.lateShare() <= maxLateShare);
        CHECK(model.arrivals <= maxArrivals * model.served);
        most = std::max(most, model.goodput());
    }
}

TEST(Overload, goodputOfThirtyRoutersNeverFalls)
{
    checkGoodput(30);
}

TEST(Overload, goodputOfAHundredAndFourteenRoutersNeverFalls)
{
    checkGoodput(114);
}

/// The load pattern itself: without admission, replicas serve what has waited too long in their queues.
TEST(Overload, withoutAdmissionGoodputCollapses)
{
    OverloadPlan atOnce = plan(3);
    atOnce.hasAdmission = false;
    OverloadModel model(atOnce);
    model.run();
    print("at once", model);
    CHECK(model.goodput() < keptShare / 2 * model.capacity());
}

/// Requests of unlike sizes whose routes have the names given, the long ones with a share of all.
static OverloadPlan sizes(double longShare, const std::string &shortRoute, const std::string &longRoute)
{
    OverloadPlan result = plan(1.2);
    result.kinds = {{shortRoute, 1, 1 - longShare, 0.5, 0.03, 0.6, 1000, 5, 830},
                    {longRoute, 1, longShare, 1.0, 0.4, 0.6, 3000, 5, 21920}};
    return result;
}

TEST_GROUP(OverloadByUnlikeSizes){};

/// How long a request may wait follows from its own size, not from those of others on its route.
TEST(OverloadByUnlikeSizes, longAndShortRequestsOfOneRouteAreServedAsThoseOfTwo)
{
    for (const double longShare : {0.1, 0.5}) {
        OverloadModel mixed(sizes(longShare, "ask", "ask"));
        mixed.run();
        OverloadModel apart(sizes(longShare, "short", "long"));
        apart.run();
        print("one route", mixed);
        print("two routes", apart);
        for (std::size_t kind = 0; kind < mixed.byKind.size(); ++kind) {
            std::printf("kind %zu: late %.3f, with two routes %.3f\n", kind, mixed.byKind[kind].lateShare(),
                        apart.byKind[kind].lateShare());
            CHECK(mixed.byKind[kind].lateShare() <= maxLateShare);
            CHECK(mixed.byKind[kind].share() >= keptShare * apart.byKind[kind].share());
        }
    }
}

// Shares

/// Served by order of urgency, and no kind starves.
static void checkKinds(const OverloadPlan &kinds)
{
    OverloadModel model(kinds);
    model.run();
    print("kinds", model);
    CHECK(model.byKind[0].share() >= model.byKind[1].share());
    CHECK(model.byKind[1].share() >= model.byKind[2].share());
    CHECK(model.byKind[2].good > 0);
}

TEST(Overload, moreUrgentKindsAreServedALargerShare)
{
    for (const double demand : {1.5, 3.0}) {
        OverloadPlan kinds = plan(demand);
        kinds.kinds = {{"first", 0, 0.2, 0.8, 0.05, 0.5, 1000},
                       {"second", 3, 0.4, 0.8, 0.05, 0.5, 1000},
                       {"third", 7, 0.4, 0.8, 0.05, 0.5, 1000}};
        checkKinds(kinds);
    }
}

/// The most urgent kind has the least time to wait. Where all accounts had a priority of their own, it was served
/// least.
TEST(Overload, moreUrgentKindsOfAccountsWithPrioritiesAreServedALargerShare)
{
    for (const double demand : {1.5, 3.0}) {
        OverloadPlan kinds = plan(demand);
        kinds.kinds = {{"first", 0, 0.3, 0.9, 0.05, 0.4, 2300},
                       {"second", 1, 0.3, 1.2, 0.2, 0.8, 5400},
                       {"third", 2, 0.4, 0.1, 0.06, 0.5, 720}};
        kinds.accountPriority = 1;
        checkKinds(kinds);
    }
}

/// @return the smallest share that an account other than the first gets
static double leastOfOthers(const OverloadModel &model)
{
    double least = 1;
    for (std::size_t account = 1; account < model.byAccount.size(); ++account) {
        least = std::min(least, model.byAccount[account].share());
    }
    return least;
}

/// The usual demand of all is 0.7 of what the engines serve, and the first account's usual is a fifth of that.
static OverloadPlan heavyAccount(double factor, int routers = 30)
{
    OverloadPlan result = plan(0.7, routers);
    result.accounts = std::vector<double>(12, 0.8 * 12 / 11);
    result.accounts[0] = 0.2 * 12 * factor;
    return result;
}

TEST_GROUP(OverloadByOneAccount){};

TEST(OverloadByOneAccount, othersAreServedWhileItAsksForTenTimesItsUsual)
{
    OverloadModel calm(heavyAccount(1));
    calm.run();
    OverloadModel heavy(heavyAccount(10));
    heavy.run();
    std::printf("least of the other accounts: %.3f calm, %.3f beside heavy use; the heavy one %.3f\n",
                leastOfOthers(calm), leastOfOthers(heavy), heavy.byAccount[0].share());
    CHECK(leastOfOthers(heavy) >= keptBesideHeavyUse * leastOfOthers(calm));
}

/// What the others get beside the first account's tenfold demand, against a calm day of the same fleet.
static void checkOthers(const char *name, const OverloadPlan &calmPlan, const OverloadPlan &heavyPlan)
{
    OverloadModel calm(calmPlan);
    calm.run();
    OverloadModel heavy(heavyPlan);
    heavy.run();
    std::printf("%s: least of the other accounts: %.3f calm, %.3f beside heavy use; the heavy one %.3f\n", name,
                leastOfOthers(calm), leastOfOthers(heavy), heavy.byAccount[0].share());
    CHECK(leastOfOthers(heavy) >= keptBesideHeavyUse * leastOfOthers(calm));
}

TEST(OverloadByOneAccount, othersAreServedWhileItsCallersComeToAThirdOfTheRouters)
{
    OverloadPlan calm = heavyAccount(1);
    OverloadPlan heavy = heavyAccount(10);
    calm.firstAccountRouters = heavy.firstAccountRouters = 10;
    checkOthers("a third of the routers", calm, heavy);
}

TEST_GROUP(OverloadByOneAccountOfALargeFleet){};

TEST(OverloadByOneAccountOfALargeFleet, othersAreServedWhileItAsksForTenTimesItsUsual)
{
    checkOthers("114 routers", heavyAccount(1, 114), heavyAccount(10, 114));
}

TEST_GROUP(OverloadByOneAccountWithoutNews){};

/// Each router goes on with what it knows.
TEST(OverloadByOneAccountWithoutNews, othersAreServedWhilePeersTellNothing)
{
    OverloadPlan heavy = heavyAccount(10);
    heavy.workDelay = 1000;
    checkOthers("silent", heavyAccount(1), heavy);
}

TEST(OverloadByOneAccountWithoutNews, othersAreServedWhilePeersTellTwoSecondsLate)
{
    OverloadPlan heavy = heavyAccount(10);
    heavy.workDelay = 2;
    checkOthers("late", heavyAccount(1), heavy);
}

TEST(OverloadByOneAccountWithoutNews, othersAreServedWhilePeersTellOldFigures)
{
    OverloadPlan heavy = heavyAccount(10);
    heavy.workFrozenFrom = 7;
    checkOthers("frozen", heavyAccount(1), heavy);
}

/// Repeats are refused at once, so they cost the engines nothing.
TEST(Overload, impatientRepeatsDoNotLowerGoodput)
{
    OverloadModel patient(plan(2));
    patient.run();
    OverloadPlan impatientPlan = plan(2);
    impatientPlan.repeatShare = 0.4;
    OverloadModel impatient(impatientPlan);
    impatient.run();
    print("patient", patient);
    print("impatient", impatient);
    CHECK(impatient.goodput() >= keptShare * patient.goodput());
    CHECK(impatient.all.lateShare() <= maxLateShare);
}

// Failures

/// Engines that work five times slower take less, and take as much as before when they are back.
TEST(Overload, goodputReturnsAfterEnginesWereSlow)
{
    OverloadPlan slowPlan = plan(1.5);
    slowPlan.end = 20;
    slowPlan.slowdown = [](double now, int engine) { return engine % 3 == 0 && now > 6 && now < 10 ? 5.0 : 1.0; };
    OverloadModel slow(slowPlan);
    slow.run();
    OverloadPlan usualPlan = plan(1.5);
    usualPlan.end = 20;
    OverloadModel usual(usualPlan);
    usual.run();
    print("slow", slow);
    print("usual", usual);
    const double lost = 4.0 / 16 / 3 * 0.8; // a third of the engines does a fifth of its work for 4 of 16 s
    CHECK(slow.goodput() >= keptShare * (1 - lost) * usual.goodput());
}
