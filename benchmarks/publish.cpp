// Time from publishing an amendment until it is in force on all of 20 daemons.
#include "clients/endpoint.h"
#include "fakes/fleet.h"

#include <algorithm>
#include <cstdio>
#include <glog/logging.h>

namespace galenafold
{

constexpr int daemons = 20;
constexpr int amendments = 100;
constexpr auto within = std::chrono::seconds(20);

static int run()
{
    FleetPlan plan;
    plan.daemons = daemons;
    plan.engines = 2;
    Fleet fleet(plan);
    fleet.publish("kedai", sampleContract("kedai", "k", 1, 1), 0);
    if (!fleet.start()) {
        std::printf("the fleet did not start\n");
        return 1;
    }
    std::vector<double> millis;
    for (int version = 1; version <= amendments; ++version) {
        const Instant begin = clockNow();
        fleet.publish("kedai", sampleContract("kedai", "k", 1 + version, 1), version);
        if (!fleet.waitVersion("kedai", version + 1, begin + within)) {
            std::printf("version %d was not in force within 20 s\n", version + 1);
            return 1;
        }
        millis.push_back(std::chrono::duration<double, std::milli>(clockNow() - begin).count());
    }
    std::sort(millis.begin(), millis.end());
    std::printf("publish to in force on %d daemons, asked one by one: p50 %.1f ms, p99 %.1f ms, most %.1f ms\n",
                daemons, millis[millis.size() / 2], millis[millis.size() * 99 / 100], millis.back());
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
