// A fleet of router nodes in front of replicas that crash when they begin to answer a prompt with one certain part,
// before or after the first event.
//
// Sections of this file: Fleet, Tests.
#include "tests/routerfleet.h"

using namespace galenafold;
using std::chrono::milliseconds;

// Fleet

constexpr const char *deadlyPart = "dead";
constexpr int crashLimit = 5;    // crashes by one part after which the fleet must know it
constexpr int lateSendLimit = 3; // requests with that part which may reach replicas later than a recovery time after it

struct CrashingFleet : RouterFleet {
    CrashingFleet()
    {
        for (std::size_t i = 0; i < replicaCount; ++i) {
            addReplica("e" + std::to_string(i),
                       [this, i](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
                           answer(*replicas[i], request, reply);
                       });
        }
        start();
    }
    /// Reads the prompt for a few milliseconds, then crashes, at once or after an event, or answers with one event.
    void answer(FakeReplica &replica, const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
    {
        const bool isDeadly = request.field("X-Galenafold-Prompt-Prefix").find(deadlyPart) != std::string::npos;
        if (isDeadly) {
            const std::lock_guard<std::mutex> lock(mutex);
            deadlyArrivals.push_back(clockNow());
        }
        reply->runAfter(milliseconds(20), [this, &replica, request, reply, isDeadly] {
            if (isDeadly && crashesAfterEvent) {
                reply->beginStream(request);
                reply->sendEvent(0, "x");
                reply->runAfter(milliseconds(20), [this, &replica] { crash(replica); });
            } else if (isDeadly) {
                crash(replica);
            } else if (!reply->isClosed()) {
                reply->beginStream(request);
                reply->sendEvent(0, "x");
                reply->endStream();
            }
        });
    }
    void crash(FakeReplica &replica)
    {
        replica.crash(downTime);
        const std::lock_guard<std::mutex> lock(mutex);
        crashes.push_back(clockNow());
    }
    /// @return when the fleet must know the part; the end of time before that many crashes
    Instant knownFrom()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return crashes.size() < crashLimit ? Instant::max() : crashes[crashLimit - 1] + recoveryTime;
    }
    int lateArrivals()
    {
        const Instant from = knownFrom();
        const std::lock_guard<std::mutex> lock(mutex);
        return static_cast<int>(std::count_if(deadlyArrivals.begin(), deadlyArrivals.end(),
                                              [from](Instant arrival) { return arrival > from; }));
    }
    /// Sends requests with the part and sound ones, of which some share all other parts with it, in turn.
    /// @param duringLoad called between the requests
    void sendFor(
        Duration span, const std::function<void()> &duringLoad = [] {})
    {
        const Instant end = clockNow() + span;
        for (int round = 0; clockNow() < end; ++round) {
            const std::string last = ',' + std::to_string(1000 + round) + ":10";
            const std::string shared = "f1:512,a" + std::to_string(round % 3) + ":900";
            const int status = call(round, shared + ',' + deadlyPart + ":300" + last);
            CHECK(status == 502 || status == 503 || (status == 0 && crashesAfterEvent));
            for (int i = 0; i < 4; ++i) {
                const bool isServed = call(round + i, (i < 2 ? shared : "f1:512,a9:900") + last) == 200;
                if (clockNow() > knownFrom() + recoveryTime) {
                    ++soundCalls;
                    soundServed += isServed ? 1 : 0;
                }
            }
            duringLoad();
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    static constexpr std::size_t replicaCount = 12;
    static constexpr auto downTime = milliseconds(600);
    bool crashesAfterEvent = false;
    std::mutex mutex; // guards the two lists, which the replicas' threads fill
    std::vector<Instant> deadlyArrivals;
    std::vector<Instant> crashes;
    int soundCalls = 0; // sent later than two recovery times after the limit of crashes
    int soundServed = 0;
};

// Tests

TEST_GROUP(QueryOfDeath)
{
    CrashingFleet fleet;

    void checkPromises()
    {
        CHECK_TEXT(fleet.lateArrivals() <= lateSendLimit, std::to_string(fleet.lateArrivals()).c_str());
        CHECK(fleet.soundCalls >= 20);
        CHECK_TEXT(fleet.soundServed * 2 >= fleet.soundCalls, std::to_string(fleet.soundServed).c_str());
    }
};

/// Requests with one part crashed engine after engine, whichever router they came to.
TEST(QueryOfDeath, APromptPartThatCrashesReplicasIsSoonSentToNone)
{
    fleet.sendFor(std::chrono::seconds(9));
    checkPromises();
}

/// The first event was taken as proof that a prompt is harmless: no crash after it counted.
TEST(QueryOfDeath, APromptPartThatCrashesReplicasAfterTheirFirstEventIsSoonSentToNone)
{
    fleet.crashesAfterEvent = true;
    fleet.sendFor(std::chrono::seconds(9));
    checkPromises();
}

/// A power failure of all routers: none was left that knew the part.
TEST(QueryOfDeath, TheKnownPartSurvivesARestartOfAllRouters)
{
    fleet.sendFor(std::chrono::seconds(6));
    for (const auto &router : fleet.routers) {
        router->stop();
    }
    for (const auto &router : fleet.routers) {
        router->start();
    }
    CHECK(waitFor([this] { return fleet.call(0, "f1:512,a1:900,1:10") == 200; }));
    fleet.sendFor(std::chrono::seconds(5));
    checkPromises();
}

/// A router that starts knows nothing of the crashes before.
TEST(QueryOfDeath, ARestartedRouterLearnsTheKnownPartFromItsPeers)
{
    int restarted = 0;
    Instant next = clockNow() + std::chrono::seconds(2);
    fleet.sendFor(std::chrono::seconds(11), [&] {
        if (restarted < fleet.routerCount && clockNow() >= next) {
            fleet.restart(restarted);
            ++restarted;
            next += std::chrono::seconds(2);
        }
    });
    LONGS_EQUAL(fleet.routerCount, restarted);
    checkPromises();
}
