// Tests of the connections from callers, without a router behind them.
#include "tests/nodefixture.h"
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
