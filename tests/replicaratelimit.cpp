// A fleet of router nodes in front of replicas that name the requests a second that they take from all routers
// together.
//
// Sections of this file: Fleet, Tests.
#include "tests/routerfleet.h"

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Fleet

constexpr double limitedRate = 3;          // requests per second that each limited replica takes
constexpr std::size_t limitedReplicas = 4; // of `replicaCount`
constexpr auto window = seconds(4);        // in which requests to a limited replica are counted
constexpr double allowedExcess = 1.5;      // factor on what the limit allows in the window
constexpr int allowedExtra = 5;            // further requests in the window

/// Some of the replicas name a limit in each answer while `isLimiting` is set.
struct LimitedFleet : RouterFleet {
    LimitedFleet()
    {
        arrivals.resize(replicaCount);
        for (std::size_t i = 0; i < replicaCount; ++i) {
            addReplica("e" + std::to_string(i),
                       [this, i](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
                           answer(i, request, reply);
                       });
        }
        start();
    }
    void answer(std::size_t replica, const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            arrivals[replica].push_back(clockNow());
        }
        reply->runAfter(milliseconds(20), [this, replica, request, reply] {
            const bool names = isLimiting && replica < limitedReplicas;
            reply->sendResponse(request, 200, "id: 0\ndata: x\n\n", names ? "Server-Limit: 3.0\r\n" : "");
        });
    }
    /// Calls all routers in turn, with a few prompts, from several threads.
    void callFor(Duration span)
    {
        const Instant end = clockNow() + span;
        std::vector<std::thread> callers;
        for (int i = 0; i < callerCount; ++i) {
            callers.emplace_back([this, i, end] {
                for (int round = i; clockNow() < end; ++round) {
                    const std::string parts = "f1:512,a" + std::to_string(round % 40) + ":900,1:10";
                    ++(call(round, parts) == 200 ? served : refused);
                    std::this_thread::sleep_for(milliseconds(100));
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }
    /// @return most requests that a limited replica got in a window that begins later than `from`
    int mostInWindow(Instant from)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::ptrdiff_t most = 0;
        for (std::size_t replica = 0; replica < limitedReplicas; ++replica) {
            const std::vector<Instant> &times = arrivals[replica];
            for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end(); ++first) {
                most = std::max(most, std::upper_bound(first, times.end(), *first + window) - first);
            }
        }
        return static_cast<int>(most);
    }
    /// @return requests that the limited replicas got later than `from`
    int limitedArrivals(Instant from)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::ptrdiff_t count = 0;
        for (std::size_t replica = 0; replica < limitedReplicas; ++replica) {
            const std::vector<Instant> &times = arrivals[replica];
            count += times.end() - std::lower_bound(times.begin(), times.end(), from);
        }
        return static_cast<int>(count);
    }

    static constexpr std::size_t replicaCount = 6;
    static constexpr int callerCount = 12;
    std::atomic<bool> isLimiting{true};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::mutex mutex;                           // guards the list, which the replicas' threads fill
    std::vector<std::vector<Instant>> arrivals; // by replica
};

static int allowed()
{
    return static_cast<int>(allowedExcess * limitedRate * std::chrono::duration<double>(window).count()) + allowedExtra;
}

// Tests

TEST_GROUP(ReplicaRateLimit)
{
    LimitedFleet fleet;
};

/// Replicas that named a limit got as many requests as before, from all routers together.
TEST(ReplicaRateLimit, AllRoutersTogetherKeepTheLimitThatAReplicaNames)
{
    const Instant known = clockNow() + RouterFleet::recoveryTime;
    fleet.callFor(seconds(12));
    const int most = fleet.mostInWindow(known);
    CHECK_TEXT(most <= allowed(), std::to_string(most).c_str());
    CHECK_TEXT(fleet.limitedArrivals(known) >= 20, "limited replicas are left unused");
    CHECK_TEXT(fleet.served >= 4 * fleet.refused, std::to_string(fleet.refused).c_str());
}

TEST(ReplicaRateLimit, TheLimitIsKeptWhileRoutersRestart)
{
    const Instant known = clockNow() + RouterFleet::recoveryTime;
    std::thread restarts([this] {
        for (int router = 0; router < fleet.routerCount; ++router) {
            std::this_thread::sleep_for(seconds(2));
            fleet.restart(router);
        }
    });
    fleet.callFor(seconds(12));
    restarts.join();
    const int most = fleet.mostInWindow(known);
    CHECK_TEXT(most <= allowed(), std::to_string(most).c_str());
}

/// Replicas that no longer name a limit are used fully again.
TEST(ReplicaRateLimit, ALimitThatIsNoLongerNamedEnds)
{
    fleet.callFor(seconds(5));
    fleet.isLimiting = false;
    fleet.callFor(seconds(3));
    const Instant ended = clockNow();
    fleet.callFor(seconds(4));
    CHECK_TEXT(fleet.limitedArrivals(ended) > static_cast<int>(limitedReplicas) * allowed(), "still limited");
}
