// Tests of the bound on load while a fleet grows between two crests of demand and its engines are replaced.
#include "tests/largefleetmodel.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

/// Demand falls to a sixth and comes back. In the trough 112 engines are added to 140, and all the while one engine
/// after the other is replaced: a new one starts, then an old one leaves.
static FleetScenario scaleOutBetweenCrests()
{
    constexpr double pi = 3.14159;
    constexpr double crestAt = 27; // s
    constexpr double period = 16;  // s
    FleetScenario scenario;
    scenario.loads = {{144, 520, 1.6}, {153, 246, 1.2}, {280, 677, 0.1}};
    scenario.wave = [](double now) { return 0.75 + 0.55 * std::cos((now - crestAt) * 2 * pi / period); };
    for (double at = 13.5; at < scenario.seconds; at += 1.5) {
        scenario.changes.push_back({at, 1, 0});
        scenario.changes.push_back({at + 1, 0, 1});
    }
    scenario.changes.push_back({15.9, 112, 0});
    std::stable_sort(scenario.changes.begin(), scenario.changes.end(),
                     [](const EngineChange &a, const EngineChange &b) { return a.at < b.at; });
    return scenario;
}

TEST_GROUP(LoadBoundAfterScaleOut){};

/// The added engines lowered the mean, and with it the bound, but got no prompts: whether the others were busy was
/// judged by the mean of all.
TEST(LoadBoundAfterScaleOut, AHundredRoutersKeepTheBoundAtTheNextCrest)
{
    std::string failures;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const double worst = LargeFleet(seed).run(scaleOutBetweenCrests());
        failures += worst <= 0.03 ? "" : "seed " + std::to_string(seed) + ": " + std::to_string(worst) + "; ";
    }
    CHECK_TEXT(failures.empty(), failures.c_str());
}
