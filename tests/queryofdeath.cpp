// A fleet of router nodes in front of replicas that crash when they begin to answer a prompt with one certain part.
//
// Sections of this file: Fleet, Tests.
#include "tests/nodefixture.h"

using namespace galenafold;
using std::chrono::milliseconds;

// Fleet

constexpr const char *deadlyPart = "dead";
constexpr int crashLimit = 5;    // crashes by one part after which the fleet must know it
constexpr int lateSendLimit = 3; // requests with that part which may reach replicas later than a recovery time after it

/// Routers on loopback addresses of their own that share a store and replicas.
struct CrashingFleet {
    CrashingFleet()
    {
        store.start();
        store.put("keyed.op", "config", sampleDesiredState(1, {{"chat", "streaming", 2, true, 20000, true}}, {"k1"}));
        const int port = freePeerPort();
        for (int i = 0; i < replicaCount; ++i) {
            addReplica("e" + std::to_string(i));
        }
        for (int i = 0; i < routerCount; ++i) {
            RouterSettings settings;
            settings.name.text = "r" + std::to_string(i);
            settings.dataCentre.text = "here";
            settings.callers = "127.0.0.1:0";
            settings.admin = "127.0.0.1:0";
            settings.store = store.address();
            settings.peers = peerAddress(i, port);
            settings.seeds = {peerAddress(0, port), peerAddress(1, port)};
            settings.maxRecoveryTime = recoveryTime;
            settings.retryRatio = 1000; // high, so that the retry budget does not hide the fault
            routers.push_back(std::make_unique<Router>(settings));
        }
        for (const auto &router : routers) {
            router->start();
        }
        CHECK(waitFor([this] { return allServe(); }));
    }
    static std::string peerAddress(int router, int port)
    {
        return "127.0.0." + std::to_string(router + 2) + ':' + std::to_string(port);
    }
    static int freePeerPort()
    {
        asio::io_context any;
        const asio::ip::udp::socket socket(any, {asio::ip::make_address_v4("127.0.0.2"), 0});
        return socket.local_endpoint().port();
    }
    void addReplica(const std::string &id)
    {
        const auto index = replicas.size();
        replicas.push_back(std::make_unique<FakeReplica>(
            id, "svc", [this, index](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
                answer(*replicas[index], request, reply);
            }));
        replicas.back()->start();
        store.put("keyed.servers", id, replicas.back()->entry());
    }
    /// Reads the prompt for a few milliseconds, then crashes or answers with one event.
    void answer(FakeReplica &replica, const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
    {
        const bool isDeadly = request.field("X-Galenafold-Prompt-Prefix").find(deadlyPart) != std::string::npos;
        if (isDeadly) {
            const std::lock_guard<std::mutex> lock(mutex);
            deadlyArrivals.push_back(clockNow());
        }
        reply->runAfter(milliseconds(20), [this, &replica, request, reply, isDeadly] {
            if (isDeadly) {
                replica.crash(downTime);
                const std::lock_guard<std::mutex> lock(mutex);
                crashes.push_back(clockNow());
            } else if (!reply->isClosed()) {
                reply->beginStream(request);
                reply->sendEvent(0, "x");
                reply->endStream();
            }
        });
    }
    /// @return HTTP status of a request with this prompt; 0: cut
    int call(int router, const std::string &parts)
    {
        RawCaller caller(routers[static_cast<std::size_t>(router % routerCount)]->node->callerPort());
        const std::string id = "id" + std::to_string(++calls);
        caller.send(encodeCallerRequest("/chat/x", id, "k1", 20000, "X-Galenafold-Prompt-Prefix: " + parts + "\r\n"));
        return caller.read() ? caller.status() : 0;
    }
    bool allServe()
    {
        for (int i = 0; i < routerCount; ++i) {
            if (call(i, "f1:512,a" + std::to_string(i) + ":900,1:10") != 200) {
                return false;
            }
        }
        return true;
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
            CHECK(status == 502 || status == 503);
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

    /// One router process: its node and the thread that runs it.
    struct Router {
        explicit Router(RouterSettings theSettings)
            : settings(std::move(theSettings))
        {
        }
        ~Router() { stop(); }
        void start()
        {
            EventLogSettings log;
            log.fd = -1;
            node = std::make_unique<RouterNode>(settings, log);
            CHECK(node->start());
            thread = std::thread([this] { node->run(); });
        }
        void stop()
        {
            if (thread.joinable()) {
                node->stop();
                thread.join();
            }
            node.reset();
        }
        RouterSettings settings;
        std::unique_ptr<RouterNode> node;
        std::thread thread;
    };

    static constexpr int routerCount = 4;
    static constexpr int replicaCount = 12;
    static constexpr auto downTime = milliseconds(600);
    static constexpr auto recoveryTime = std::chrono::seconds(3);
    FakeTopicStore store;
    std::mutex mutex; // guards the two lists, which the replicas' threads fill
    std::vector<Instant> deadlyArrivals;
    std::vector<Instant> crashes;
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    std::vector<std::unique_ptr<Router>> routers;
    int calls = 0;
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

/// A router that starts knows nothing of the crashes before.
TEST(QueryOfDeath, ARestartedRouterLearnsTheKnownPartFromItsPeers)
{
    int restarted = 0;
    Instant next = clockNow() + std::chrono::seconds(2);
    fleet.sendFor(std::chrono::seconds(11), [&] {
        if (restarted < CrashingFleet::routerCount && clockNow() >= next) {
            fleet.routers[static_cast<std::size_t>(restarted)]->stop();
            fleet.routers[static_cast<std::size_t>(restarted)]->start();
            ++restarted;
            next += std::chrono::seconds(2);
        }
    });
    LONGS_EQUAL(CrashingFleet::routerCount, restarted);
    checkPromises();
}
