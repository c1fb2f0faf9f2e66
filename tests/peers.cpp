// Tests the exchange of load beacons between two routers, over UDP on loopback addresses.
#include "traffic/peerloadexchange.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

/// One router's load balancer and its exchange with peers, at an address of its own.
struct TestRouter {
    TestRouter(asio::io_context &io, const std::string &address, const std::string &seed, int bytesPerSecond = 7000)
        : exchange(io, {address, {seed}, bytesPerSecond}, balancer, queryOfDeath)
    {
        ReplicaRecord record;
        record.id.text = "engine";
        record.service.text = "llm";
        balancer.updateReplicas(clockNow(), {record});
        isOpen = exchange.start();
    }

    /// Starts a call to the engine, of which the peers are to be told.
    void startCall()
    {
        SelectionRequest request;
        request.service.text = "llm";
        request.affinity = 42;
        balancer.onSent(balancer.choose(clockNow(), request)->record.id);
        exchange.requestBeacon();
    }

    /// @return the engine's load as this router's load balancer estimates it
    double load() { return balancer.load(clockNow(), *balancer.choose(clockNow(), {{"llm"}, {}, {}})); }

    LoadBalancer balancer{LoadBalancerSettings(), {"here"}, 1};
    QueryOfDeathDetector queryOfDeath{QueryOfDeathSettings(), 1};
    PeerLoadExchange exchange;
    bool isOpen = false;
};

TEST_GROUP(PeerBeacons)
{
    static constexpr auto eventTimeout = std::chrono::seconds(20); // maximum wait for an expected datagram
    asio::io_context io;

    /// Runs the event loop until the condition holds. @return false if it does not hold within `eventTimeout`
    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant end = clockNow() + eventTimeout;
        while (!condition() && clockNow() < end) {
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    static std::string freePort()
    {
        asio::io_context any;
        const asio::ip::udp::socket socket(any, {asio::ip::make_address_v4("127.0.0.2"), 0});
        return std::to_string(socket.local_endpoint().port());
    }

    const std::string port = freePort();
    const std::string firstAddress = "127.0.0.2:" + port;
    const std::string secondAddress = "127.0.0.3:" + port;
};

TEST(PeerBeacons, ACallStartIsSentAtOnce)
{
    TestRouter firstRouter(io, firstAddress, secondAddress);
    TestRouter secondRouter(io, secondAddress, firstAddress);
    CHECK(firstRouter.isOpen && secondRouter.isOpen);
    CHECK(runUntil(
        [&] { return firstRouter.exchange.maxPeersHeard() == 1 && secondRouter.exchange.maxPeersHeard() == 1; }));
    const std::int64_t before = firstRouter.exchange.stats().bytesSent;
    firstRouter.startCall();
    CHECK(firstRouter.exchange.stats().bytesSent > before); // sent by the call itself, not with the next tick
    CHECK(runUntil([&] { return secondRouter.load() == 1; }));
    firstRouter.balancer.onEnded(clockNow(), {"engine"}, AttemptOutcome::Good);
    CHECK(runUntil([&] { return secondRouter.load() == 0; }));
}

TEST(PeerBeacons, ACallStartIsDelayedByTheByteBudget)
{
    TestRouter firstRouter(io, firstAddress, secondAddress, 1500);
    TestRouter secondRouter(io, secondAddress, firstAddress);
    CHECK(runUntil(
        [&] { return firstRouter.exchange.maxPeersHeard() == 1 && secondRouter.exchange.maxPeersHeard() == 1; }));
    std::int64_t before = -1;
    int started = 0;
    while (firstRouter.exchange.stats().bytesSent != before) {
        before = firstRouter.exchange.stats().bytesSent;
        firstRouter.startCall();
        ++started;
    }
    CHECK(runUntil([&] { return secondRouter.load() == started; }));
}

TEST(PeerBeacons, BeaconsOfARestartedRouterAreAccepted)
{
    auto firstRouter = std::make_unique<TestRouter>(io, firstAddress, secondAddress);
    TestRouter secondRouter(io, secondAddress, firstAddress);
    CHECK(runUntil(
        [&] { return firstRouter->exchange.maxPeersHeard() == 1 && secondRouter.exchange.maxPeersHeard() == 1; }));
    firstRouter->startCall();
    CHECK(runUntil([&] { return secondRouter.load() == 1; }));
    firstRouter.reset();
    runUntil([&] { return io.poll() == 0; }); // run the handlers of cancelled operations
    firstRouter = std::make_unique<TestRouter>(io, firstAddress, secondAddress);
    CHECK(runUntil([&] { return secondRouter.load() == 0; }));
    firstRouter->startCall();
    firstRouter->startCall();
    CHECK(runUntil([&] { return secondRouter.load() == 2; }));
}

TEST(PeerBeacons, BeaconNumbersGrowAcrossRestartsAndMayWrap)
{
    CHECK(isNewerBeacon(5, 4));
    CHECK_FALSE(isNewerBeacon(4, 4));
    CHECK_FALSE(isNewerBeacon(3, 4));
    CHECK(isNewerBeacon(2, 0xfffffffe));
    const auto startTime = std::chrono::system_clock::now();
    const std::uint32_t first = firstBeaconNumber(startTime);
    const std::uint32_t later = firstBeaconNumber(startTime + std::chrono::seconds(1));
    CHECK(isNewerBeacon(later, first + 50)); // fifty beacons in a second are more than the byte budget allows
}

/// A router sent one list a tick, so that of a hundred that start at once most heard few others for over ten seconds.
/// Until they hear each other they exceed bounds and follow nobody.
TEST(PeerBeacons, AFleetThatStartsAtOnceSoonHearsItself)
{
    constexpr int count = 100;
    const std::string port = freePort();
    std::vector<std::unique_ptr<TestRouter>> routers;
    for (int i = 0; i < count; ++i) {
        const std::string address = "127.0.1." + std::to_string(i + 1) + ':' + port;
        routers.push_back(std::make_unique<TestRouter>(io, address, "127.0.1.1:" + port));
    }
    const Instant start = clockNow();
    CHECK(runUntil([&] {
        return std::all_of(routers.begin(), routers.end(),
                           [](const auto &router) { return router->exchange.stats().heard >= count * 9 / 10; });
    }));
    const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(clockNow() - start).count();
    CHECK_TEXT(taken < 10000, std::to_string(taken).c_str()); // callers come 10 to 14 s after the start
}
