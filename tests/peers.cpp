// What two routers hear of each other's calls, over datagrams on loopback addresses.
#include "traffic/peers.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

/// One router's view and its link to peers, at an address of its own.
struct Router {
    Router(asio::io_context &io, const std::string &address, const std::string &seed, int bytesPerSecond = 7000)
        : link(io, {address, {seed}, bytesPerSecond}, board)
    {
        ReplicaRecord record;
        record.id.text = "engine";
        record.service.text = "llm";
        board.updateReplicas(clockNow(), {record});
        isOpen = link.start();
    }

    /// Sends a generation to the engine.
    void startCall()
    {
        SelectionRequest request;
        request.service.text = "llm";
        request.affinity = 42;
        board.onSent(board.choose(clockNow(), request)->record.id);
        link.requestBeacon();
    }

    double load() { return board.load(clockNow(), *board.choose(clockNow(), {{"llm"}, {}, {}})); }

    LoadBalancer board{LoadBalancerSettings(), {"here"}, 1};
    PeerLoadExchange link;
    bool isOpen = false;
};

TEST_GROUP(PeersOnLoopback)
{
    static constexpr auto patience = std::chrono::seconds(20); // for datagrams that must come
    asio::io_context io;

    bool runUntil(const std::function<bool()> &isDone)
    {
        const Instant end = clockNow() + patience;
        while (!isDone() && clockNow() < end) {
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return isDone();
    }

    static std::string freePort()
    {
        asio::io_context any;
        const asio::ip::udp::socket socket(any, {asio::ip::make_address_v4("127.0.0.2"), 0});
        return std::to_string(socket.local_endpoint().port());
    }

    const std::string port = freePort();
    const std::string first = "127.0.0.2:" + port;
    const std::string second = "127.0.0.3:" + port;
};

TEST(PeersOnLoopback, AStartIsToldAtOnce)
{
    Router one(io, first, second);
    Router two(io, second, first);
    CHECK(one.isOpen && two.isOpen);
    CHECK(runUntil([&] { return one.link.maxPeersHeard() == 1 && two.link.maxPeersHeard() == 1; }));
    const std::int64_t before = one.link.bytesSent();
    one.startCall();
    CHECK(one.link.bytesSent() > before); // not with the next tick
    CHECK(runUntil([&] { return two.load() == 1; }));
    one.board.onEnded(clockNow(), {"engine"}, AttemptOutcome::Good);
    CHECK(runUntil([&] { return two.load() == 0; }));
}

TEST(PeersOnLoopback, AStartWaitsForBytesAndIsToldThen)
{
    Router one(io, first, second, 1500);
    Router two(io, second, first);
    CHECK(runUntil([&] { return one.link.maxPeersHeard() == 1 && two.link.maxPeersHeard() == 1; }));
    std::int64_t before = -1;
    int started = 0;
    while (one.link.bytesSent() != before) {
        before = one.link.bytesSent();
        one.startCall();
        ++started;
    }
    CHECK(runUntil([&] { return two.load() == started; }));
}

TEST(PeersOnLoopback, ARestartedRouterIsHeard)
{
    auto one = std::make_unique<Router>(io, first, second);
    Router two(io, second, first);
    CHECK(runUntil([&] { return one->link.maxPeersHeard() == 1 && two.link.maxPeersHeard() == 1; }));
    one->startCall();
    CHECK(runUntil([&] { return two.load() == 1; }));
    one.reset();
    runUntil([&] { return io.poll() == 0; }); // what was cancelled
    one = std::make_unique<Router>(io, first, second);
    CHECK(runUntil([&] { return two.load() == 0; }));
    one->startCall();
    one->startCall();
    CHECK(runUntil([&] { return two.load() == 2; }));
}

TEST(PeersOnLoopback, NumbersOfARestartedRouterAreNewerAndMayWrap)
{
    CHECK(isNewerBeacon(5, 4));
    CHECK_FALSE(isNewerBeacon(4, 4));
    CHECK_FALSE(isNewerBeacon(3, 4));
    CHECK(isNewerBeacon(2, 0xfffffffe));
    const auto began = std::chrono::system_clock::now();
    const std::uint32_t first = firstBeaconNumber(began);
    const std::uint32_t later = firstBeaconNumber(began + std::chrono::seconds(1));
    CHECK(isNewerBeacon(later, first + 50)); // fifty beacons in a second are more than the budget affords
}
