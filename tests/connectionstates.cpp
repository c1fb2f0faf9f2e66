// Every state of a connection meets every input and callback that can arrive in it: nothing that comes from outside
// ends the process, each end is reported once, and other connections are served. Meant to be run under AddressSanitizer
// and UndefinedBehaviorSanitizer too.
//
// Sections of this file: Callers, Endpoints, Store client, Relay.
#include "platform/headers.h"
#include "runtime/httpclientconnection.h"
#include "runtime/topicrelay.h"
#include "tests/connectionpairs.h"
#include "traffic/endpointconnection.h"
#include "traffic/listener.h"

using namespace galenafold;
using std::chrono::milliseconds;

// Callers

struct CallerHarness : Peer {
    CallerHarness()
    {
        limits.headTimeout = milliseconds(8);
        limits.idleTimeout = milliseconds(8);
        listener = std::make_unique<CallerListener>(io);
        listener->hooks.limits = [this] { return limits; };
        listener->hooks.isDraining = [this] { return isDraining; };
        listener->hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request) {
            connection = caller;
            ++requests;
            if (request.head.target == "/throw") {
                throw std::out_of_range("handler");
            }
            const int number = requests;
            caller->onDisconnected = [this, number] { disconnects.insert(number); };
            caller->onStopping = [caller] { caller->sendResponse(503, {}, ""); };
            caller->onDrained = [] {};
        };
        CHECK(listener->start("127.0.0.1:0"));
        far.open(asio::ip::tcp::v4());
        far.set_option(asio::socket_base::receive_buffer_size(16384));
        far.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(listener->port())});
        poll();
    }
    ~CallerHarness()
    {
        connection.reset();
        listener.reset();
        poll();
    }
    void request(const std::string &lines = "") { send(getLine + lines + "\r\n"); }

    /// Sends a request, and the head and a part of the response. On a busy machine a timer may end the connection
    /// first.
    void stream(std::size_t bytes)
    {
        request();
        if (connection) {
            connection->beginStream(200, {});
            connection->streamBytes(std::string(bytes, 'x'));
            poll();
        }
    }
    void respond(std::size_t bytes)
    {
        if (connection) {
            connection->sendResponse(200, {}, std::string(bytes, 'x'));
            poll();
        }
    }
    /// Another caller is served.
    void check(const char *label)
    {
        if (isStopped) {
            return;
        }
        isDraining = false;
        limits = CallerLimits();
        const int before = requests;
        asio::ip::tcp::socket other(io);
        other.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(listener->port())});
        asio::write(other, asio::buffer(getLine + "\r\n"));
        CHECK_TEXT(waitFor([&] {
                       poll();
                       return requests > before;
                   }),
                   label);
    }

    CallerLimits limits;
    std::unique_ptr<CallerListener> listener;
    std::shared_ptr<CallerConnection> connection; // of the last request
    std::set<int> disconnects;                    // requests whose caller left
    int requests = 0;
    bool isDraining = false;
    bool isStopped = false;
};

TEST_GROUP(ConnectionStates){};

TEST(ConnectionStates, CallersMeetEveryInput)
{
    using Harness = CallerHarness;
    const std::vector<Step<Harness>> states{
        {"idle", [](Harness &) {}},
        {"reading a head", [](Harness &harness) { harness.send(getLine); }},
        {"reading a body", [](Harness &harness) { harness.send(getLine + "Content-Length: 9\r\n\r\nbody"); }},
        {"processing", [](Harness &harness) { harness.request(); }},
        {"processing, with input ahead",
         [](Harness &harness) {
             harness.request();
             harness.send(getLine + "\r\n" + getLine);
         }},
        {"streaming", [](Harness &harness) { harness.stream(1); }},
        {"streaming with a backlog", [](Harness &harness) { harness.stream(largeBytes); }},
        {"idle, response on its way",
         [](Harness &harness) {
             harness.request();
             harness.respond(largeBytes);
         }},
        {"finishing, response on its way",
         [](Harness &harness) {
             harness.request("Connection: close\r\n");
             harness.respond(largeBytes);
         }},
        {"finishing, response sent",
         [](Harness &harness) {
             harness.request("Connection: close\r\n");
             harness.respond(1);
         }},
        {"rejected", [](Harness &harness) { harness.send("no request\r\n\r\n"); }},
        {"closed by the caller",
         [](Harness &harness) {
             harness.request();
             harness.finish();
         }},
        {"reset by the caller",
         [](Harness &harness) {
             harness.request();
             harness.reset();
         }},
    };
    const auto withConnection = [](void (*action)(CallerConnection &)) {
        return [action](Harness &harness) {
            if (harness.connection) {
                action(*harness.connection);
            }
        };
    };
    const auto withListener = [](void (*action)(CallerListener &)) {
        return [action](Harness &harness) {
            if (harness.listener) {
                action(*harness.listener);
                harness.isStopped = true;
            }
        };
    };
    const std::vector<Step<Harness>> inputs{
        {"bytes", [](Harness &harness) { harness.send("x"); }},
        {"a request", [](Harness &harness) { harness.send(getLine + "\r\n"); }},
        {"a request whose handler throws",
         [](Harness &harness) { harness.send("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n"); }},
        {"bytes without a request", [](Harness &harness) { harness.send("\r\n\r\n" + std::string(70000, 'x')); }},
        {"FIN", [](Harness &harness) { harness.finish(); }},
        {"RST", [](Harness &harness) { harness.reset(); }},
        {"timers", [](Harness &harness) { harness.wait(); }},
        {"a response", [](Harness &harness) { harness.respond(1); }},
        {"begin of a stream", withConnection([](CallerConnection &caller) { caller.beginStream(200, {}); })},
        {"part of a stream", withConnection([](CallerConnection &caller) { caller.streamBytes("part"); })},
        {"end of a stream", withConnection([](CallerConnection &caller) { caller.endStream(); })},
        {"break of a stream", withConnection([](CallerConnection &caller) { caller.abortResponse(); })},
        {"stop of accepting", withListener([](CallerListener &listener) { listener.stopAccepting(); })},
        {"end of requests", withListener([](CallerListener &listener) { listener.endRequests(); })},
        {"drain", [](Harness &harness) { harness.isDraining = true; }},
        {"end of the listener",
         [](Harness &harness) {
             harness.isStopped = true;
             harness.listener.reset();
         }},
    };
    runPairs(states, inputs);
}

// Endpoints

struct EndpointHarness : Peer {
    EndpointHarness()
        : acceptor(io, {asio::ip::address_v4::loopback(), 0})
        , connection(std::make_shared<EndpointConnection>(io, codec))
    {
        connection->onIdleClosed = [this] { ++idleCloses; };
    }
    ~EndpointHarness()
    {
        connection->onIdleClosed = nullptr;
        connection->cancel();
        poll();
    }
    EndpointRequestHooks hooks()
    {
        EndpointRequestHooks hooks;
        ++requests;
        hooks.onHead = [this](ResponseHead &, const ResponseFields &) { cancelIn("head"); };
        hooks.onBody = [this](std::string &body) {
            body.clear();
            cancelIn("body");
        };
        hooks.onDone = [this] {
            ++ends;
            ++completions;
            cancelIn("done");
        };
        hooks.onFailed = [this](RequestProgress) {
            ++ends;
            cancelIn("failed");
        };
        return hooks;
    }
    void cancelIn(const std::string &callback)
    {
        if (callback == cancelsIn) {
            connection->cancel();
        }
    }
    void request() { connection->send(getLine + "\r\n", RequestId{"r"}, false, hooks()); }
    void connect()
    {
        request();
        connection->connect(acceptor.local_endpoint(), clockNow() + std::chrono::seconds(5));
        far = acceptor.accept();
        CHECK(waitFor([this] {
            poll();
            return far.available() > 0;
        }));
    }
    void check(const char *label)
    {
        CHECK_TEXT(ends <= requests, label);
        CHECK_TEXT(idleCloses <= 1, label);
    }

    HeaderCodec codec = platformHeaderCodec();
    asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<EndpointConnection> connection;
    std::string cancelsIn; // name of the callback in which the owner cancels, or ""
    int requests = 0;
    int ends = 0;        // of requests
    int completions = 0; // of these, with a complete response
    int idleCloses = 0;
};

TEST(ConnectionStates, EndpointsMeetEveryInput)
{
    using Harness = EndpointHarness;
    const std::vector<Step<Harness>> states{
        {"connecting",
         [](Harness &harness) {
             harness.request();
             harness.connection->connect(harness.acceptor.local_endpoint(), clockNow() + milliseconds(3));
         }},
        {"connect refused",
         [](Harness &harness) {
             harness.request();
             const auto address = harness.acceptor.local_endpoint();
             harness.acceptor.close();
             harness.connection->connect(address, clockNow() + std::chrono::seconds(5));
             harness.poll();
         }},
        {"waiting for a head", [](Harness &harness) { harness.connect(); }},
        {"inside a head",
         [](Harness &harness) {
             harness.connect();
             harness.send("HTTP/1.1 200 OK\r\n");
         }},
        {"inside a body",
         [](Harness &harness) {
             harness.connect();
             harness.send(responseHead + "b");
         }},
        {"paused",
         [](Harness &harness) {
             harness.connect();
             harness.send(responseHead + "b");
             harness.connection->pauseReading(true);
         }},
        {"idle",
         [](Harness &harness) {
             harness.connect();
             harness.send(responseHead + "body");
         }},
        {"closing",
         [](Harness &harness) {
             harness.connect();
             harness.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
         }},
        {"failed",
         [](Harness &harness) {
             harness.connect();
             harness.reset();
         }},
        {"cancelled",
         [](Harness &harness) {
             harness.connect();
             harness.connection->cancel();
         }},
    };
    const auto cancelIn = [](const char *callback) {
        return [callback](Harness &harness) { harness.cancelsIn = callback; };
    };
    const std::vector<Step<Harness>> inputs{
        {"bytes", [](Harness &harness) { harness.send("x"); }},
        {"a response", [](Harness &harness) { harness.send(responseHead + "body"); }},
        {"two responses", [](Harness &harness) { harness.send(responseHead + "body" + responseHead + "body"); }},
        {"an interim response", [](Harness &harness) { harness.send("HTTP/1.1 100 Continue\r\n\r\n"); }},
        {"the rest of a body", [](Harness &harness) { harness.send("ody"); }},
        {"FIN", [](Harness &harness) { harness.finish(); }},
        {"RST", [](Harness &harness) { harness.reset(); }},
        {"timers", [](Harness &harness) { harness.wait(); }},
        {"another request",
         [](Harness &harness) {
             if (harness.connection->checkReusable()) {
                 harness.request();
             }
         }},
        {"a poll", [](Harness &harness) { harness.connection->poll(); }},
        {"pause", [](Harness &harness) { harness.connection->pauseReading(true); }},
        {"resume", [](Harness &harness) { harness.connection->pauseReading(false); }},
        {"cancel", [](Harness &harness) { harness.connection->cancel(); }},
        {"cancel with the head", cancelIn("head")},
        {"cancel with the body", cancelIn("body")},
        {"cancel at the end", cancelIn("done")},
        {"cancel at the failure", cancelIn("failed")},
    };
    runPairs(states, inputs);
}

/// A response may end while its owner waits for a slow caller. The next request on the connection heard nothing.
TEST(ConnectionStates, AnEndpointThatWasPausedIsReadAgainForTheNextRequest)
{
    EndpointHarness harness;
    EndpointRequestHooks hooks = harness.hooks();
    hooks.onBody = [&harness](std::string &body) {
        body.clear();
        harness.connection->pauseReading(true); // this is the end of the body, and nothing resumes it
    };
    harness.connection->send(getLine + "\r\n", RequestId{"r"}, false, hooks);
    harness.connection->connect(harness.acceptor.local_endpoint(), clockNow() + std::chrono::seconds(5));
    harness.far = harness.acceptor.accept();
    harness.send(responseHead + "body");
    CHECK(waitFor([&harness] {
        harness.poll();
        return harness.ends == 1;
    }));
    CHECK(harness.connection->checkReusable());
    harness.request();
    harness.send(responseHead + "body");
    LONGS_EQUAL(2, harness.ends);
}

static void awaitEnd(EndpointHarness &harness)
{
    CHECK(waitFor([&harness] {
        harness.poll();
        return harness.ends == 1;
    }));
}

/// Begins a long upload, and has it answered while it is written. What follows is told to the write first.
static void answerUploadEarly(EndpointHarness &harness)
{
    harness.connection->send(getLine + "\r\n" + std::string(largeBytes, 'u'), RequestId{"r"}, false, harness.hooks());
    harness.connection->connect(harness.acceptor.local_endpoint(), clockNow() + std::chrono::seconds(5));
    harness.far = harness.acceptor.accept();
    CHECK(waitFor([&harness] {
        harness.poll();
        return harness.far.available() > 0;
    }));
    harness.connection->pauseReading(true);
    asio::write(harness.far, asio::buffer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + std::string(600, 'b')));
}

/// A reset is told to a socket once. Where the write of a long upload was told of it, the read that followed saw an
/// ordinary end, and what had come of a response without a length counted as all of it.
TEST(ConnectionStates, AResetThatAWriteIsToldOfEndsNoResponse)
{
    EndpointHarness harness;
    answerUploadEarly(harness);
    harness.reset();
    awaitEnd(harness);
    LONGS_EQUAL(0, harness.completions);
}

TEST(ConnectionStates, AResponseThatHasEndedBeforeAResetIsComplete)
{
    EndpointHarness harness;
    answerUploadEarly(harness);
    asio::error_code ignored;
    harness.far.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::this_thread::sleep_for(milliseconds(20)); // the kernel has the end
    harness.reset();
    awaitEnd(harness);
    LONGS_EQUAL(1, harness.completions);
}

// Store client

struct ClientHarness : Peer {
    ClientHarness()
        : acceptor(io, {asio::ip::address_v4::loopback(), 0})
        , client(io, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()))
    {
    }
    ~ClientHarness()
    {
        client.abandon();
        poll();
    }
    void call()
    {
        if (client.isCalling()) {
            return;
        }
        ++calls;
        ClientCallHooks hooks;
        hooks.onResponse = [this](const ClientResponse &) { onEnd(); };
        hooks.onFailure = [this](const char *) { onEnd(); };
        client.call(getLine + "\r\n", clockNow() + milliseconds(3), std::move(hooks));
    }
    void onEnd()
    {
        ++ends;
        if (callsAgain) {
            callsAgain = false;
            call();
        }
    }
    void connect()
    {
        call();
        far = acceptor.accept();
        poll();
    }
    void check(const char *label) { CHECK_TEXT(ends <= calls, label); }

    asio::ip::tcp::acceptor acceptor;
    HttpClientConnection client;
    int calls = 0;
    int ends = 0;
    bool callsAgain = false; // from the next callback
};

TEST(ConnectionStates, StoreClientsMeetEveryInput)
{
    using Harness = ClientHarness;
    const std::vector<Step<Harness>> states{
        {"unused", [](Harness &) {}},
        {"connecting", [](Harness &harness) { harness.call(); }},
        {"waiting", [](Harness &harness) { harness.connect(); }},
        {"inside a response",
         [](Harness &harness) {
             harness.connect();
             harness.send(responseHead + "b");
         }},
        {"idle",
         [](Harness &harness) {
             harness.connect();
             harness.send(responseHead + "body");
         }},
        {"failed",
         [](Harness &harness) {
             harness.connect();
             harness.send("no response\r\n\r\n");
         }},
    };
    const std::vector<Step<Harness>> inputs{
        {"bytes", [](Harness &harness) { harness.send("x"); }},
        {"a response", [](Harness &harness) { harness.send(responseHead + "body"); }},
        {"two responses", [](Harness &harness) { harness.send(responseHead + "body" + responseHead + "body"); }},
        {"FIN", [](Harness &harness) { harness.finish(); }},
        {"RST", [](Harness &harness) { harness.reset(); }},
        {"timers", [](Harness &harness) { harness.wait(); }},
        {"a call", [](Harness &harness) { harness.call(); }},
        {"a call from the callback", [](Harness &harness) { harness.callsAgain = true; }},
        {"disconnect",
         [](Harness &harness) {
             if (!harness.client.isCalling()) {
                 harness.client.disconnect();
             }
         }},
        {"abandon", [](Harness &harness) { harness.client.abandon(); }},
        {"another address",
         [](Harness &harness) {
             if (!harness.client.isCalling()) {
                 harness.client.setAddress("127.0.0.1:1");
             }
         }},
    };
    runPairs(states, inputs);
}

// Relay

/// A topic that answers when the test says so.
struct HeldTopic : FollowedTopic {
    void onAsked(Instant) override { }
    bool hasNews(const TopicQuestion &, Instant) const override { return isNew; }
    TopicAnswer answer(const TopicQuestion &, Instant) const override { return TopicAnswer(); }

    bool isNew = false;
};

struct RelayHarness : Peer {
    RelayHarness()
        : log(logSettings())
        , relay(std::make_unique<TopicRelay>(
              io, [this](StoreTopic) -> FollowedTopic & { return topic; }, log))
    {
        CHECK(relay->start("127.0.0.1:0"));
        far.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(relay->port())});
        poll();
    }
    ~RelayHarness()
    {
        relay.reset();
        poll();
    }
    static EventLogSettings logSettings()
    {
        EventLogSettings settings;
        settings.fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
        return settings;
    }
    void ask(milliseconds patience)
    {
        TopicQuestion question;
        question.topic = StoreTopic::Registry;
        question.wait = patience;
        const std::string body = encodeTopicQuestion(question);
        send("POST /topic HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void progress()
    {
        relay->onProgress(StoreTopic::Registry);
        poll();
    }
    void check(const char *) { progress(); }

    EventLog log;
    HeldTopic topic;
    std::unique_ptr<TopicRelay> relay;
};

TEST(ConnectionStates, RelaysMeetEveryInput)
{
    using Harness = RelayHarness;
    const std::vector<Step<Harness>> states{
        {"idle", [](Harness &) {}},
        {"reading", [](Harness &harness) { harness.send("POST /topic HTTP/1.1\r\n"); }},
        {"waiting", [](Harness &harness) { harness.ask(std::chrono::seconds(5)); }},
        {"waiting, with a question ahead",
         [](Harness &harness) {
             harness.ask(milliseconds(3));
             harness.ask(milliseconds(3));
         }},
        {"answered", [](Harness &harness) { harness.ask(milliseconds(0)); }},
        {"rejected", [](Harness &harness) { harness.send("no question\r\n\r\n"); }},
    };
    const std::vector<Step<Harness>> inputs{
        {"bytes", [](Harness &harness) { harness.send("x"); }},
        {"a question", [](Harness &harness) { harness.ask(milliseconds(3)); }},
        {"no question", [](Harness &harness) { harness.send("POST /topic HTTP/1.1\r\nHost: h\r\n\r\n"); }},
        {"FIN", [](Harness &harness) { harness.finish(); }},
        {"RST", [](Harness &harness) { harness.reset(); }},
        {"timers", [](Harness &harness) { harness.wait(); }},
        {"news",
         [](Harness &harness) {
             harness.topic.isNew = true;
             harness.progress();
         }},
        {"progress without news", [](Harness &harness) { harness.progress(); }},
        {"end of the relay",
         [](Harness &harness) {
             harness.relay = std::make_unique<TopicRelay>(
                 harness.io, [&harness](StoreTopic) -> FollowedTopic & { return harness.topic; }, harness.log);
         }},
    };
    runPairs(states, inputs);
}
