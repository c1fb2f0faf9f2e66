// What callers are told against what endpoints executed, over seeded schedules of loss, delay, crossing, half-close and
// hang-up; and the retry budget.
#include "tests/world.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

constexpr int schedules = 10000;

struct Tally {
    std::int64_t hedges = 0;
    std::int64_t retries = 0;
};

static std::string firstFault(Policy policy, int count, double faultChance, int calls, Tally &tally)
{
    for (int seed = 1; seed <= count; ++seed) {
        WorldPlan plan;
        plan.calls = calls;
        plan.seed = static_cast<std::uint64_t>(seed);
        plan.faultChance = faultChance;
        plan.settings.name = {"entry-1"};
        plan.settings.seed = plan.seed;
        plan.settings.retry.policy = policy;
        plan.settings.retry.budget = 0.5; // plenty, so that long chains of attempts are met
        plan.settings.outlierDetection.hedgeBudget = 0.5;
        World world(plan);
        world.run();
        tally.hedges += world.router().counts().hedges;
        tally.retries += world.router().counts().retries;
        const std::string fault = world.check();
        if (!fault.empty()) {
            return fault;
        }
    }
    return {};
}

constexpr int fewCalls = 12;
constexpr int manyCalls = 90; // enough that classes learn their times and hedges are sent

TEST_GROUP(AttemptSchedules)
{
    Tally tally;
};

TEST(AttemptSchedules, callersAreToldTheTruth)
{
    STRCMP_EQUAL("", firstFault(Policy::Galenafold, schedules, 0.5, fewCalls, tally).c_str());
    CHECK(tally.retries > schedules);
}

TEST(AttemptSchedules, alsoWithHedges)
{
    STRCMP_EQUAL("", firstFault(Policy::Galenafold, schedules / 5, 0.3, manyCalls, tally).c_str());
    CHECK(tally.hedges > schedules / 5);
}

TEST(AttemptSchedules, alsoWhenNearlyAllFails)
{
    STRCMP_EQUAL("", firstFault(Policy::Galenafold, schedules / 5, 0.95, fewCalls, tally).c_str());
}

TEST(AttemptSchedules, alsoWithFixedRetries)
{
    STRCMP_EQUAL("", firstFault(Policy::Naive, schedules / 5, 0.5, fewCalls, tally).c_str());
}

TEST_GROUP(RetryBudget){};

/// @return executions at endpoints for each call, when every endpoint executes and then loses its answer
static double executionsPerCall(Policy policy)
{
    constexpr int calls = 2000;
    WorldPlan plan;
    plan.calls = calls;
    plan.faultChance = 1;
    plan.onlyFault = Fate::AnswerLost;
    plan.settings.name = {"entry-1"};
    plan.settings.retry.policy = policy;
    plan.settings.queue.capacity = calls;
    plan.settings.queue.backlog = 1000;
    plan.settings.placement.loadBound = 10;
    World world(plan);
    world.run();
    STRCMP_EQUAL("", world.check().c_str());
    return static_cast<double>(world.executions()) / static_cast<double>(world.router().counts().firstAttempts);
}

TEST(RetryBudget, loadStaysUnderTheBoundWhenAllEndpointsFail)
{
    CHECK(executionsPerCall(Policy::Galenafold) < 1.2);
}

TEST(RetryBudget, fixedRetriesMultiplyLoad)
{
    CHECK(executionsPerCall(Policy::Naive) > 1.9); // the naive version, for comparison
}
