// Compares the outcomes reported to callers with what endpoints executed, over seeded schedules of loss, delay,
// responses that belong to other requests, half-close and callers that disconnect. Also tests the retry budget.
#include "tests/routersimulation.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

constexpr int scheduleCount = 10000; // seeds of the longest test; the other schedule tests use a fifth

/// Attempts beyond the first ones, summed over all schedules of a test.
struct ExtraAttempts {
    std::int64_t hedges = 0;
    std::int64_t retries = 0;
};

/// Runs one simulation for each seed from 1 to `count`, up to the first violation. Adds its extra attempts to
/// `extraAttempts`. @return the violation; empty: none
static std::string firstViolation(Policy policy, int count, double faultChance, int calls, ExtraAttempts &extraAttempts)
{
    for (int seed = 1; seed <= count; ++seed) {
        SimulationPlan plan;
        plan.calls = calls;
        plan.seed = static_cast<std::uint64_t>(seed);
        plan.faultChance = faultChance;
        plan.settings.name = {"entry-1"};
        plan.settings.seed = plan.seed;
        plan.settings.retry.policy = policy;
        plan.settings.retry.budget = 0.5; // large, so that calls with many attempts occur
        plan.settings.outlierDetection.hedgeBudget = 0.5;
        RouterSimulation simulation(plan);
        simulation.run();
        extraAttempts.hedges += simulation.router().counts().hedges;
        extraAttempts.retries += simulation.router().counts().retries;
        const std::string violation = simulation.check();
        if (!violation.empty()) {
            return violation;
        }
    }
    return {};
}

constexpr int fewCalls = 12;  // per schedule
constexpr int manyCalls = 90; // per schedule: enough latency samples per class for hedges to be sent

TEST_GROUP(AttemptSchedules)
{
    ExtraAttempts extraAttempts;
};

TEST(AttemptSchedules, outcomesMatchExecutions)
{
    STRCMP_EQUAL("", firstViolation(Policy::Galenafold, scheduleCount, 0.5, fewCalls, extraAttempts).c_str());
    CHECK(extraAttempts.retries > scheduleCount);
}

TEST(AttemptSchedules, outcomesMatchExecutionsWithHedges)
{
    STRCMP_EQUAL("", firstViolation(Policy::Galenafold, scheduleCount / 5, 0.3, manyCalls, extraAttempts).c_str());
    CHECK(extraAttempts.hedges > scheduleCount / 5);
}

TEST(AttemptSchedules, outcomesMatchExecutionsWhenMostAttemptsFail)
{
    STRCMP_EQUAL("", firstViolation(Policy::Galenafold, scheduleCount / 5, 0.95, fewCalls, extraAttempts).c_str());
}

TEST(AttemptSchedules, outcomesMatchExecutionsWithFixedRetries)
{
    STRCMP_EQUAL("", firstViolation(Policy::Naive, scheduleCount / 5, 0.5, fewCalls, extraAttempts).c_str());
}

TEST_GROUP(RetryBudget){};

/// @return executions at endpoints per first attempt, when every endpoint executes the call and its response is lost
static double executionsPerCall(Policy policy)
{
    constexpr int calls = 2000;
    SimulationPlan plan;
    plan.calls = calls;
    plan.faultChance = 1;
    plan.onlyFault = AttemptFault::ResponseLost;
    plan.settings.name = {"entry-1"};
    plan.settings.retry.policy = policy;
    plan.settings.queue.capacity = calls;
    plan.settings.queue.backlog = 1000;
    plan.settings.placement.loadBound = 10;
    RouterSimulation simulation(plan);
    simulation.run();
    STRCMP_EQUAL("", simulation.check().c_str());
    return static_cast<double>(simulation.executions())
        / static_cast<double>(simulation.router().counts().firstAttempts);
}

TEST(RetryBudget, loadStaysBoundedWhenAllEndpointsFail)
{
    CHECK(executionsPerCall(Policy::Galenafold) < 1.2);
}

TEST(RetryBudget, fixedRetriesMultiplyLoad)
{
    CHECK(executionsPerCall(Policy::Naive) > 1.9); // the baseline policy roughly doubles the load
}
