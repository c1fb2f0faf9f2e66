// A fleet of router nodes in front of a plain service, one request of which crashes each replica that begins to run it.
// It comes again and again, with the same path, caller and body, at any router.
//
// Sections of this file: Fleet, Tests.
#include "tests/routerfleet.h"

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Fleet

constexpr int crashLimit = 3;    // replicas crashed by one request after which the fleet must know it
constexpr int lateSendLimit = 3; // times that it may reach replicas later than a recovery time after that

struct PlainFleet : RouterFleet {
    PlainFleet()
    {
        store.put(
            "keyed.op", "config",
            sampleDesiredState(2, {{"chat", "streaming", 2, true, 20000, true}, {"plain", "idempotent", 2}}, {"k1"}));
        for (std::size_t i = 0; i < replicaCount; ++i) {
            addReplica("p" + std::to_string(i),
                       [this, i](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
                           answer(i, request, reply);
                       });
        }
        start();
        CHECK(waitFor([this] { return everywhere([this](int router) { return ask(router, "first") == 200; }); }));
    }
    /// What became of one request that crashes replicas.
    struct Deadly {
        std::vector<Instant> arrivals;
        std::vector<Instant> crashes;
    };
    static bool isDeadly(const std::string &body) { return body.rfind("deadly", 0) == 0; }
    void answer(std::size_t replica, const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
    {
        if (request.head.target == "/chat/x") { // asked before the test
            reply->beginStream(request);
            reply->sendEvent(0, "x");
            reply->endStream();
            return;
        }
        const std::string body = request.body;
        if (isDeadly(body)) {
            const std::lock_guard<std::mutex> lock(mutex);
            deadly[body].arrivals.push_back(clockNow());
            running[replica].insert(body);
        }
        reply->runAfter(runTime, [this, replica, body, request, reply] {
            if (isDeadly(body)) {
                crash(replica);
            } else if (!reply->isClosed()) {
                reply->sendResponse(request, 200, "ok");
            }
        });
    }
    /// Counts for each deadly request that runs there. The replica's next run has a start time of its own.
    void crash(std::size_t replica)
    {
        const int before = replicas[replica]->crashes();
        replicas[replica]->crash(downTime);
        if (replicas[replica]->crashes() == before) {
            return; // it was down already
        }
        const std::lock_guard<std::mutex> lock(mutex);
        store.put("keyed.servers", replicas[replica]->id(), replicas[replica]->entry("ready", ++lastStart));
        for (const std::string &body : running[replica]) {
            deadly[body].crashes.push_back(clockNow());
        }
        running[replica].clear();
    }
    int ask(int router, const std::string &body)
    {
        std::unique_ptr<RawCaller> caller = connect(router % routerCount);
        caller->send(encodeCallerRequest("/plain/x", "id" + std::to_string(++calls), "k1", 2000, "", body));
        return caller->read() ? caller->status() : 0;
    }
    /// @return when the fleet must know the request; the end of time before it has crashed that many replicas
    Instant knownFrom(const std::string &body)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const std::vector<Instant> &crashes = deadly[body].crashes;
        return crashes.size() < crashLimit ? Instant::max() : crashes[crashLimit - 1] + recoveryTime;
    }
    int lateArrivals(const std::string &body)
    {
        const Instant from = knownFrom(body);
        const std::lock_guard<std::mutex> lock(mutex);
        const std::vector<Instant> &arrivals = deadly[body].arrivals;
        return static_cast<int>(
            std::count_if(arrivals.begin(), arrivals.end(), [from](Instant at) { return at > from; }));
    }
    /// Sends a request to one router after the other until the time is over. @return share that was served, of those
    /// sent when all of `after` should be known
    double send(Instant end, const std::vector<std::string> &after, const std::function<std::string(int)> &body)
    {
        int sent = 0;
        int served = 0;
        for (int round = 0; clockNow() < end; ++round) {
            const bool counts = std::all_of(after.begin(), after.end(), [this](const std::string &known) {
                return clockNow() > knownFrom(known) + recoveryTime;
            });
            const bool isServed = ask(round, body(round)) == 200;
            sent += counts ? 1 : 0;
            served += counts && isServed ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }
    /// Sends the deadly requests, each on a thread of its own, beside a sound one that is repeated and others that are
    /// not.
    void run(
        Duration span, const std::vector<std::string> &bodies, const std::function<void()> &meanwhile = [] {})
    {
        const Instant end = clockNow() + span;
        std::vector<std::thread> threads;
        for (const std::string &body : bodies) {
            threads.emplace_back([=] { send(end, bodies, [&](int) { return body; }); });
        }
        threads.emplace_back([&] { repeatedServed = send(end, bodies, [](int) { return "sound"; }); });
        threads.emplace_back(
            [&] { otherServed = send(end, bodies, [](int round) { return "sound " + std::to_string(round); }); });
        while (clockNow() < end) {
            meanwhile();
            std::this_thread::sleep_for(milliseconds(20));
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    static constexpr std::size_t replicaCount = 3;
    static constexpr auto runTime = milliseconds(30);
    static constexpr auto downTime = milliseconds(600);
    std::mutex mutex; // guards the next three, which the replicas' threads fill
    std::map<std::string, Deadly> deadly;
    std::map<std::size_t, std::set<std::string>> running; // deadly requests at each replica
    std::int64_t lastStart = 1;
    double repeatedServed = 0; // share of the sound requests that are all the same
    double otherServed = 0;    // share of those with the same path and caller and a body of their own
};

// Tests

TEST_GROUP(CrashingRequests)
{
    PlainFleet fleet;

    void checkPromises(const std::vector<std::string> &bodies)
    {
        for (const std::string &body : bodies) {
            CHECK(fleet.knownFrom(body) < Instant::max());
            CHECK_TEXT(fleet.lateArrivals(body) <= lateSendLimit, std::to_string(fleet.lateArrivals(body)).c_str());
        }
        CHECK_TEXT(fleet.repeatedServed >= 0.5, std::to_string(fleet.repeatedServed).c_str());
        CHECK_TEXT(fleet.otherServed >= 0.5, std::to_string(fleet.otherServed).c_str());
    }
};

/// Only parts of prompts were remembered, so each repeat crashed the next replica, at whatever router it came.
TEST(CrashingRequests, ARequestThatCrashesReplicasOfAPlainServiceIsSoonSentToNone)
{
    fleet.run(seconds(10), {"deadly"});
    checkPromises({"deadly"});
}

TEST(CrashingRequests, TwoAtOnceAreSoonSentToNone)
{
    fleet.run(seconds(14), {"deadly 1", "deadly 2"});
    checkPromises({"deadly 1", "deadly 2"});
}

/// A router that starts knows nothing of the crashes before.
TEST(CrashingRequests, RoutersThatStartLearnIt)
{
    int restarted = 0;
    Instant next = clockNow() + seconds(3);
    fleet.run(seconds(12), {"deadly"}, [&] {
        if (restarted < fleet.routerCount && clockNow() >= next) {
            fleet.restart(restarted);
            ++restarted;
            next += seconds(2);
        }
    });
    LONGS_EQUAL(fleet.routerCount, restarted);
    checkPromises({"deadly"});
}

/// Replicas that are lost all at once, again and again, while the same sound request runs at each of them.
TEST(CrashingRequests, ASoundRequestAtReplicasThatAreLostTogetherIsServedAfterwards)
{
    Instant next = clockNow() + seconds(1);
    const Instant last = next + seconds(5);
    fleet.run(seconds(10), {}, [&] {
        if (clockNow() >= next && next < last) {
            for (std::size_t i = 0; i < PlainFleet::replicaCount; ++i) {
                fleet.replicas[i]->post([this, i] { fleet.crash(i); });
            }
            next += milliseconds(1200);
        }
    });
    CHECK(fleet.everywhere([this](int router) { return fleet.metric(router, "prompts_blocked") == 0; }));
    CHECK(fleet.everywhere([this](int router) { return fleet.ask(router, "sound") == 200; }));
}
