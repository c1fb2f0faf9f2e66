// Tests of the connections from callers, without a router behind them.
#include "tests/onecaller.h"
#include "traffic/listener.h"

using namespace galenafold;

TEST_GROUP(CallerConnections){};

/// An exception in the handler of one request went through the event loop and ended the process, with all other
/// requests.
TEST(CallerConnections, AHandlerThatThrowsEndsItsRequestOnly)
{
    asio::io_context io;
    CallerListener listener(io);
    std::vector<int> rejected;
    listener.hooks.onRejected = [&rejected](int status, const char *) { rejected.push_back(status); };
    listener.hooks.onRequest = [](const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request) {
        if (request.head.target == "/bad") {
            throw std::out_of_range("bad");
        }
        caller->sendResponse(200, {}, "");
    };
    CHECK(listener.start("127.0.0.1:0"));
    std::thread thread([&io] { io.run(); });
    RawCaller bad(listener.port());
    RawCaller good(listener.port());
    bad.send("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
    const bool isAnswered = bad.read();
    good.send("GET /good HTTP/1.1\r\nHost: h\r\n\r\n");
    const bool isServed = good.read();
    io.stop();
    thread.join();
    CHECK(isAnswered && isServed);
    LONGS_EQUAL(500, bad.status());
    STRCMP_EQUAL("close", bad.field("Connection").c_str());
    LONGS_EQUAL(200, good.status());
    LONGS_EQUAL(1, rejected.size());
}

/// The response ends between the two parts of a request that was sent ahead, and the second part was parsed first: a
/// caller's text was run as a request. Cut at every byte.
TEST(CallerConnections, InputThatArrivesWithAResponseIsParsedBehindWhatCameBefore)
{
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string second =
        "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
    for (std::size_t cut = 1; cut < second.size(); ++cut) {
        OneCaller one;
        one.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + second.substr(0, cut));
        CHECK(waitFor([&one] {
            one.poll();
            return one.targets.size() == 1;
        }));
        asio::ip::tcp::acceptor acceptor(one.io, {asio::ip::address_v4::loopback(), 0});
        asio::ip::tcp::socket replica(one.io);
        replica.connect(acceptor.local_endpoint());
        asio::ip::tcp::socket response = acceptor.accept();
        response.async_wait(asio::ip::tcp::socket::wait_read,
                            [&one](const asio::error_code &) { one.connection->sendResponse(200, {}, ""); });
        one.poll();
        asio::write(replica, asio::buffer("x", 1)); // the response is ready first, then the second part
        one.send(second.substr(cut));
        CHECK(waitFor([&one] {
            one.poll();
            return one.targets.size() + one.rejected.size() >= 2;
        }));
        const std::string label = "cut at " + std::to_string(cut);
        CHECK_TEXT(one.rejected.empty(), label.c_str());
        STRCMP_EQUAL_TEXT("/second", one.targets[1].c_str(), label.c_str());
        STRCMP_EQUAL_TEXT(inner.c_str(), one.bodies[1].c_str(), label.c_str());
        one.caller.close();
        one.poll();
    }
}

/// The process ended when a caller that had been told that its connection closes went on sending, while the rest of the
/// response was still on its way.
TEST(CallerConnections, InputBehindTheLastRequestOfAConnectionIsIgnored)
{
    OneCaller one;
    one.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(waitFor([&one] {
        one.poll();
        return one.targets.size() == 1;
    }));
    one.connection->sendResponse(200, {}, std::string(32 << 20, 'x')); // more than the kernel takes
    CHECK(one.connection->pending() > 0);
    one.send("GET /more HTTP/1.1\r\nHost: h\r\n\r\n");
    one.poll();
    LONGS_EQUAL(1, one.targets.size());
    one.caller.close();
    CHECK(waitFor([&one] {
        one.poll();
        return one.connection.use_count() == 1;
    }));
}
