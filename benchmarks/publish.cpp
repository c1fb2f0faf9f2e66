// Time from publishing a contract amendment until all of 20 daemons apply it. The daemons are polled one after the
// other, so the result includes the polling time.
#include "clients/endpoint.h"
#include "fakes/fleet.h"

#include <algorithm>
#include <cstdio>
#include <glog/logging.h>

namespace galenafold
{

constexpr int daemonCount = 20;
constexpr int amendmentCount = 100;
constexpr auto publishTimeout = std::chrono::seconds(20);

static int run()
{
    FleetPlan plan;
    plan.daemons = daemonCount;
    plan.engines = 2;
    Fleet fleet(plan);
    fleet.publish("kedai", sampleContract("kedai", "k", 1, 1), 0);
    if (!fleet.start()) {
        std::printf("the fleet did not start\n");
        return 1;
    }
    std::vector<double> millis;
    for (int version = 1; version <= amendmentCount; ++version) {
        const Instant begin = clockNow();
        fleet.publish("kedai", sampleContract("kedai", "k", 1 + version, 1), version);
        if (!fleet.waitForVersion("kedai", version + 1, begin + publishTimeout)) {
            std::printf("version %d was not in force within 20 s\n", version + 1);
            return 1;
        }
        millis.push_back(std::chrono::duration<double, std::milli>(clockNow() - begin).count());
    }
    std::sort(millis.begin(), millis.end());
    std::printf("publish to in force on %d daemons, polled one by one: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n",
                daemonCount, millis[millis.size() / 2], millis[millis.size() * 99 / 100], millis.back());
    return 0;
}

} // namespace galenafold

int main(int, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    return galenafold::run();
}
