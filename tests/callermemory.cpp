// Memory and descriptors that callers hold: the account, connections at its limit, and what operators are told.
//
// Sections of this file: Account, Connections, Router, Log.
#include "filters/callermemory.h"
#include "tests/nodefixture.h"
#include "traffic/listener.h"
#include "traffic/refusallog.h"

#include <algorithm>
#include <asio/read.hpp>
#include <unistd.h>

using namespace galenafold;

// Account

// clang-format takes a group that begins with a function for an initializer list.
// clang-format off
TEST_GROUP(CallerMemoryAccount)
{
    void setup() override
    {
        CallerMemorySettings settings;
        settings.maxBytes = 1000;
        settings.maxResponseBytes = 500;
        settings.smallBytes = 50;
        memory = std::make_shared<CallerMemory>(settings);
    }
    std::unique_ptr<MemoryShare> share(const std::string &name, MemoryUse use = MemoryUse::AwaitsCaller)
    {
        auto made = std::make_unique<MemoryShare>(memory, use);
        made->onGivenUp = [this, name] { givenUp += name; };
        return made;
    }
    void wait(int rounds) const
    {
        for (int i = 0; i < rounds; ++i) {
            memory->nextRound();
        }
    }

    std::shared_ptr<CallerMemory> memory;
    std::string givenUp;
};
// clang-format on

TEST(CallerMemoryAccount, LargeRequestsLeaveRoomForSmallOnes)
{
    const auto a = share("a");
    const auto b = share("b");
    const auto c = share("c");
    CHECK(a->tryResize(700));
    CHECK(!b->tryResize(51));
    CHECK(c->tryResize(50));
    CHECK(b->tryResize(50));
    LONGS_EQUAL(800, memory->bytes());
    LONGS_EQUAL(1, memory->refusals());
    STRCMP_EQUAL("", givenUp.c_str());
}

/// Who has stopped makes room for who comes; who goes on, or is in progress, does not.
TEST(CallerMemoryAccount, TheLargestThatHasStoppedIsTakenAwayFirst)
{
    const auto moving = share("m");
    const auto stopped = share("s");
    const auto smaller = share("t");
    const auto inProgress = share("p");
    const auto next = share("n");
    CHECK(moving->tryResize(300) && stopped->tryResize(150) && smaller->tryResize(100) && inProgress->tryResize(200));
    inProgress->setUse(MemoryUse::InProgress);
    wait(2);
    moving->onMoved(2);
    CHECK(next->tryResize(100));
    STRCMP_EQUAL("s", givenUp.c_str());
    CHECK(!share("x")->tryResize(600));
    STRCMP_EQUAL("st", givenUp.c_str());
}

TEST(CallerMemoryAccount, AByteNowAndThenIsNoProgress)
{
    const auto slow = share("s");
    const auto next = share("n");
    CHECK(slow->tryResize(700));
    slow->onMoved(1);
    wait(2);
    CHECK(next->tryResize(600));
    STRCMP_EQUAL("s", givenUp.c_str());
}

/// What a caller waited for at a replica is not its standstill.
TEST(CallerMemoryAccount, ACallersTurnBeginsWithItsResponse)
{
    const auto served = share("s", MemoryUse::InProgress);
    CHECK(served->tryResize(700));
    wait(9);
    served->setUse(MemoryUse::AwaitsCaller);
    CHECK(!share("n")->tryResize(600));
    wait(2);
    CHECK(share("n")->tryResize(600));
    STRCMP_EQUAL("s", givenUp.c_str());
}

TEST(CallerMemoryAccount, WhatIsHeldAlreadyTakesFromTheLargest)
{
    const auto a = share("a");
    const auto b = share("b");
    const auto inProgress = share("p", MemoryUse::InProgress);
    const auto response = share("r", MemoryUse::Response);
    inProgress->resize(700);
    a->resize(60);
    b->resize(70);
    response->resize(160);
    STRCMP_EQUAL("", givenUp.c_str());
    a->resize(90);
    STRCMP_EQUAL("r", givenUp.c_str()); // it is the largest that may be taken away
    LONGS_EQUAL(860, memory->bytes());
    LONGS_EQUAL(160, memory->peakResponseBytes());
    inProgress->resize(1200);
    STRCMP_EQUAL("rab", givenUp.c_str());
    LONGS_EQUAL(1200, memory->bytes());
}

// Connections

// clang-format off
TEST_GROUP(CallersAtALimit)
{
    void setup() override
    {
        listener = std::make_unique<CallerListener>(io);
        listener->hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request) {
            ++requests;
            if (request.head.target != "/hold") {
                caller->sendResponse(200, {}, std::string(responseBytes, 'x'));
            }
        };
        listener->hooks.onRefused = [this](const CallerRefusal &refusal) {
            refused += refused.empty() ? "" : ",";
            refused += refusal.bound;
        };
    }
    void start(std::size_t maxBytes)
    {
        CallerMemorySettings settings;
        settings.maxBytes = maxBytes;
        settings.patientRounds = rounds; // so many that no test meets it by its own time
        memory = std::make_shared<CallerMemory>(settings);
        listener->hooks.memory = memory;
        CHECK(listener->start("127.0.0.1:0"));
    }
    /// Handles what is ready until the condition is true, or nothing is for a while.
    bool poll(const std::function<bool()> &condition)
    {
        return waitFor([&] {
            io.restart();
            io.poll();
            return condition();
        });
    }
    std::unique_ptr<RawCaller> connect() const { return std::make_unique<RawCaller>(listener->port()); }
    static std::string head(std::size_t length)
    {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    static constexpr int rounds = 1000;
    asio::io_context io;
    std::shared_ptr<CallerMemory> memory;
    std::unique_ptr<CallerListener> listener;
    std::size_t responseBytes = 2;
    int requests = 0;
    std::string refused;
};
// clang-format on

TEST(CallersAtALimit, ABodyWithoutRoomIsRefusedBeforeItIsRead)
{
    start(1000000);
    const auto first = connect();
    const auto second = connect();
    first->send(head(600000));
    CHECK(poll([this] { return memory->bytes() >= 600000; }));
    second->send(head(600000));
    CHECK(poll([this] { return !refused.empty(); }));
    STRCMP_EQUAL("memory", refused.c_str());
    CHECK(second->read());
    LONGS_EQUAL(503, second->status());
    STRCMP_EQUAL("1", second->field("Retry-After").c_str());
    STRCMP_EQUAL("close", second->field("Connection").c_str());
    first->send(std::string(600000, 'x')); // it had room
    CHECK(poll([this] { return requests == 1; }));
    CHECK(first->read());
    LONGS_EQUAL(200, first->status());
    CHECK(poll([this] { return memory->bytes() == 0; }));
}

TEST(CallersAtALimit, ACallerThatHasStoppedIsToldThatItDidNotRun)
{
    start(1000000);
    const auto stopped = connect();
    const auto next = connect();
    stopped->send(head(600000) + "x");
    CHECK(poll([this] { return memory->bytes() >= 600000; }));
    for (int i = 0; i < rounds; ++i) {
        memory->nextRound();
    }
    next->send(head(600000) + std::string(600000, 'x'));
    CHECK(poll([this] { return requests == 1; }));
    STRCMP_EQUAL("memory_stalled", refused.c_str());
    CHECK(stopped->read());
    LONGS_EQUAL(503, stopped->status());
    CHECK(next->read());
    LONGS_EQUAL(200, next->status());
}

/// Responses to requests that were sent ahead lay in the send buffer without a limit.
TEST(CallersAtALimit, RequestsSentAheadWaitUntilTheResponsesAreTaken)
{
    constexpr int ahead = 3000;
    responseBytes = 10000;
    start(100U << 20U);
    const auto caller = connect();
    std::string many;
    for (int i = 0; i < ahead; ++i) {
        many += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    caller->send(many);
    const Instant until = clockNow() + std::chrono::milliseconds(500);
    poll([until] { return clockNow() > until; });
    const std::size_t held = memory->peakBytes();
    const int answered = requests;
    int read = 0;
    std::atomic<bool> isRead{false};
    std::thread reading([&] {
        while (read < ahead && caller->read()) {
            ++read;
        }
        isRead = true;
    });
    poll([&isRead] { return isRead.load(); });
    reading.join();
    CHECK_TEXT(held < 400000, std::to_string(held).c_str());
    CHECK(answered < ahead);
    LONGS_EQUAL(ahead, read);
}

/// After each request more was read, so what waited grew while requests were answered at once.
TEST(CallersAtALimit, InputThatWaitsIsBoundedWhileRequestsAreAnsweredAtOnce)
{
    constexpr int ahead = 30000;
    start(100U << 20U);
    const auto caller = connect();
    std::string many;
    for (int i = 0; i < ahead; ++i) {
        many += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    std::thread sending([&] { caller->send(many); });
    const bool areAnswered = poll([this] { return requests == ahead; });
    sending.join();
    CHECK(areAnswered);
    CHECK_TEXT(memory->peakBytes() < 200000, std::to_string(memory->peakBytes()).c_str());
}

/// A connection's descriptor goes to the next caller; one in the middle of a request keeps it.
TEST(CallersAtALimit, TheConnectionThatIsUnusedForLongestIsClosed)
{
    listener->maxWithUnused = 3;
    start(1000000);
    const auto busy = connect();
    busy->send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(poll([this] { return requests == 1; }));
    const auto oldest = connect();
    CHECK(poll([this] { return listener->count() == 2; }));
    const auto served = connect();
    served->send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(poll([this] { return requests == 2; }));
    const auto next = connect();
    next->send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(poll([this] { return requests == 3; }));
    STRCMP_EQUAL("descriptors_unused", refused.c_str());
    LONGS_EQUAL(3, listener->count());
    CHECK(!oldest->read());
    CHECK(served->read() && next->read());
}

/// A peer that is always a little behind made the send buffer grow, as what was sent stayed in it.
TEST(CallersAtALimit, ASendBufferKeepsOnlyWhatIsUnsent)
{
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    asio::ip::tcp::socket peer(io);
    peer.connect(acceptor.local_endpoint());
    const auto stream = std::make_shared<TcpStream>(acceptor.accept());
    stream->start({});
    const std::string piece(100000, 'x');
    std::vector<char> taken(piece.size());
    std::size_t most = 0;
    while (stream->pending() < 2 * piece.size()) {
        stream->write(piece);
    }
    for (int i = 0; i < 300; ++i) {
        asio::read(peer, asio::buffer(taken));
        io.restart();
        io.poll();
        while (stream->pending() < 2 * piece.size()) {
            stream->write(piece);
        }
        most = std::max(most, stream->heldBytes());
    }
    stream->close();
    CHECK_TEXT(most < 2000000, std::to_string(most).c_str());
}

// Router

TEST_GROUP(CallersOfASmallRouter)
{
    NodeFixture fixture;
};

/// The smallest VM serves a single request within the default limits.
TEST(CallersOfASmallRouter, ABodyOfTheLargestSizeIsServed)
{
    constexpr double smallestMegabytes = 112;
    constexpr std::size_t maxBody = 4U << 20U;
    fixture.settings.memoryMegabytes = smallestMegabytes;
    std::atomic<std::size_t> received{0};
    fixture.addReplica("a", [&](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        received = request.body.size();
        reply->sendResponse(request, 200, "done");
    });
    std::string state = desiredState(1);
    const std::string limit = "\"maxBodyBytes\":10000";
    state.replace(state.find(limit), limit.size(), "\"maxBodyBytes\":" + std::to_string(maxBody));
    fixture.store.put("keyed.op", "config", state);
    fixture.start();
    CHECK(waitFor([this] { return fixture.readinessStatus() == 200 && fixture.metric("replicas_usable") == 1; }));
    const auto caller = fixture.send(encodeCallerRequest("/any/x", "id-1", "k1", 20000, "", std::string(maxBody, 'x')));
    CHECK(caller->read());
    LONGS_EQUAL(200, caller->status());
    LONGS_EQUAL(maxBody, received);
    CHECK(waitFor([this] { return fixture.metric("caller_bytes") == 0; }));
    CHECK(fixture.metric("caller_bytes_peak") > static_cast<int>(maxBody));
}

// Log

TEST_GROUP(RefusalLogs){};

TEST(RefusalLogs, OnlySomeLinesASecondAndACountOfTheOthers)
{
    int ends[2];
    LONGS_EQUAL(0, pipe(ends));
    EventLogSettings settings;
    settings.fd = ends[1];
    EventLog log(settings);
    RefusalLog refusals(log, "callers");
    const Instant now = clockNow();
    for (int i = 0; i < 50; ++i) {
        refusals.onRefused(now, {"memory", 503, "127.0.0.1:1", 100});
    }
    refusals.onRefused(now + std::chrono::seconds(2), {"memory_unread", 0, "127.0.0.1:1", 100});
    log.flush();
    std::string text(65536, '\0');
    text.resize(static_cast<std::size_t>(read(ends[0], text.data(), text.size())));
    close(ends[0]);
    close(ends[1]);
    LONGS_EQUAL(12, std::count(text.begin(), text.end(), '\n'));
    STRCMP_CONTAINS("\"left_out\":40", text.c_str());
    STRCMP_CONTAINS("\"bound\":\"memory\",\"status\":503,\"from\":\"127.0.0.1:1\",\"held_bytes\":100", text.c_str());
    STRCMP_CONTAINS("galenafold_callers_refused_total{listener=\"callers\",bound=\"memory\"} 50",
                    refusals.metrics().c_str());
}

/// Each request that was no HTTP wrote a line, so a crowd of them filled the log.
TEST(RefusalLogs, MalformedRequestsWriteSomeLinesASecond)
{
    constexpr int requests = 300;
    NodeFixture fixture;
    int ends[2];
    LONGS_EQUAL(0, pipe(ends));
    EventLogSettings log;
    log.fd = ends[1];
    fixture.store.put("keyed.op", "config", desiredState(1));
    fixture.node = std::make_unique<RouterNode>(fixture.settings, log);
    CHECK(fixture.node->start());
    fixture.thread = std::thread([&fixture] { fixture.node->run(); });
    CHECK(waitFor([&fixture] { return fixture.readinessStatus() == 200; }));
    const Instant start = clockNow();
    for (int i = 0; i < requests; ++i) {
        const auto caller = fixture.send("no request\r\n\r\n");
        CHECK(caller->read());
        LONGS_EQUAL(400, caller->status());
    }
    const double seconds = std::chrono::duration<double>(clockNow() - start).count();
    fixture.node->stop();
    fixture.thread.join();
    fixture.node.reset(); // writes the rest of the log
    std::string text(1 << 20, '\0');
    text.resize(static_cast<std::size_t>(read(ends[0], text.data(), text.size())));
    close(ends[0]);
    close(ends[1]);
    int lines = 0;
    for (std::size_t at = 0; (at = text.find("\"rejected\"", at)) != std::string::npos; ++at) {
        ++lines;
    }
    constexpr int linesPerSecond = 10;
    CHECK(lines > 0);
    CHECK_TEXT(lines <= linesPerSecond * (seconds + 2), std::to_string(lines).c_str());
}
