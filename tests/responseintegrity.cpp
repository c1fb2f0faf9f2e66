// RouterNode and responses that are cut, malformed, late, or delimited by the end of their connection: what a caller
// gets is complete, or visibly broken.
#include "tests/nodefixture.h"

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(NodeResponseIntegrity)
{
    NodeFixture fixture;

    /// @return the status that a caller of a non-idempotent route gets for a scripted response; 0: none that is
    /// complete
    int statusFor(const ReplicaScript &script)
    {
        fixture.addReplica("a", script);
        fixture.startAndWaitReady();
        const auto caller = fixture.send(encodeCallerRequest("/once/x", "id-1"));
        return caller->read() ? caller->status() : 0;
    }
};

TEST(NodeResponseIntegrity, ASuccessWithoutAChecksumIsRejected)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const auto &reply) {
                    reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nContent-Length: 2\r\n\r\nhi");
                }));
}

TEST(NodeResponseIntegrity, ATruncatedBodyIsRejected)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const auto &reply) {
                    reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nX-Galenafold-Response-Seal: s\r\n"
                                "Content-Length: 20\r\n\r\nhi");
                    reply->closeGracefully();
                }));
}

/// On other systems callers got an answer with such a status. It is none, and not an interim response either, after
/// which the caller would wait for the final one until its deadline.
TEST(NodeResponseIntegrity, AStatusBelowTheInterimOnesIsNoAnswer)
{
    std::atomic<int> requests{0};
    fixture.addReplica("a", [&requests](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        const char *status = std::array{"000", "099", "020"}[static_cast<std::size_t>(requests++) % 3];
        reply->send(std::string("HTTP/1.1 ") + status + " Odd\r\nX-Galenafold-Response-Seal: s\r\n"
                    + "X-Galenafold-Attempt-Id: " + request.field("X-Galenafold-Attempt-Id")
                    + "\r\nContent-Length: 2\r\n\r\nhi");
    });
    fixture.startAndWaitReady();
    for (int i = 0; i < 3; ++i) {
        const auto caller = fixture.send(encodeCallerRequest("/once/x", "id-1", "k1", 3000));
        CHECK(caller->read());
        LONGS_EQUAL(502, caller->status()); // 504: it has waited for the whole time
    }
}

/// On other systems callers got a 200 with an empty body.
TEST(NodeResponseIntegrity, AHeadThatStopsMidwayIsNeverAnAnswer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n"
                             "X-Galenafold-Response-Seal: s\r\nX-Galenafold-Attempt-Id: ";
    fixture.addReplica("a", [&head](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        const std::size_t size = std::stoul(request.body);
        const std::string whole = head + request.field("X-Galenafold-Attempt-Id") + "\r\n\r\n";
        reply->send(whole.substr(0, size));
        reply->closeGracefully();
    });
    fixture.startAndWaitReady();
    const std::string id = "idid";
    for (std::size_t size = 1; size < head.size() + id.size() + 4; ++size) { // the last one lacks one byte of the head
        for (const char *path : {"/once/x", "/frail/x"}) {
            const std::string request = encodeCallerRequest(path, id, "k1", 20000, "", std::to_string(size));
            const auto caller = fixture.send(request);
            CHECK(caller->read());
            LONGS_EQUAL(502, caller->status());
        }
    }
}

TEST(NodeResponseIntegrity, ACloseDelimitedBodyThatIsResetIsRejected)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const std::shared_ptr<ReplicaReply> &reply) {
                    reply->send(
                        "HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nX-Galenafold-Response-Seal: s\r\n\r\nhi");
                    reply->runAfter(milliseconds(50), [reply] { reply->reset(); });
                }));
}

TEST(NodeResponseIntegrity, AMalformedResponseIsNotForwarded)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const auto &reply) { reply->send("rubbish\r\n\r\n"); }));
}

TEST(NodeResponseIntegrity, ALateResponseToAnotherRequestIsSkipped)
{
    LONGS_EQUAL(201, statusFor([](const ReplicaRequest &request, const auto &reply) {
                    reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: other\r\nX-Galenafold-Response-Seal: s\r\n"
                                "Content-Length: 3\r\n\r\nbad");
                    reply->sendResponse(request, 201, "good");
                }));
}

/// @return a refusal as not run, with these header lines
static std::string refusal(const std::string &lines)
{
    return "HTTP/1.1 503 Busy\r\nX-Galenafold-Not-Executed: 1\r\n" + lines + "Content-Length: 0\r\n\r\n";
}

/// The replica refuses the first request, keeps the connection, and writes that refusal again before it answers the
/// next one.
static ReplicaScript repeatedRefusal(const std::string &firstLines, const std::string &repeatedLines)
{
    return [=](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        if (request.field("X-Galenafold-Attempt-Id") == "id-1") {
            reply->send(refusal(firstLines));
            return;
        }
        reply->send(refusal(repeatedLines));
        reply->sendResponse(request, 201, "good");
    };
}

TEST(NodeResponseIntegrity, ARepeatedRefusalOfAnEarlierRequestIsSkipped)
{
    const std::string lines = "X-Galenafold-Attempt-Id: id-1\r\n";
    LONGS_EQUAL(503, statusFor(repeatedRefusal(lines, lines)));
    std::this_thread::sleep_for(milliseconds(100)); // a refusal keeps requests away for a moment
    const auto caller = fixture.send(encodeCallerRequest("/once/x", "id-2"));
    CHECK(caller->read());
    LONGS_EQUAL(201, caller->status());
    LONGS_EQUAL(1, fixture.replicas[0]->connections());
}

/// It says of no request that it was not run, and the request that was sent last may be running.
TEST(NodeResponseIntegrity, ARepeatedRefusalWithoutAnIdIsNoRefusalOfTheNextRequest)
{
    LONGS_EQUAL(503, statusFor(repeatedRefusal("X-Galenafold-Attempt-Id: id-1\r\n", "")));
    std::this_thread::sleep_for(milliseconds(100)); // a refusal keeps requests away for a moment
    const auto caller = fixture.send(encodeCallerRequest("/once/x", "id-2"));
    CHECK(caller->read());
    LONGS_EQUAL(1, fixture.replicas[0]->connections());
    LONGS_EQUAL(502, caller->status());
    LONGS_EQUAL(2, fixture.replicas[0]->requests().size()); // and it was not sent again
}

/// @return a complete success with this id
static std::string success(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: " + id
        + "\r\nX-Galenafold-Response-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends a request whose response is its own body. All of them have the same id.
static void checkEcho(NodeFixture &fixture, int number)
{
    const std::string body = "b" + std::to_string(number);
    const auto caller = fixture.send(encodeCallerRequest("/any/x", "same-id", "k1", 20000, "", body));
    CHECK(caller->read());
    STRCMP_EQUAL(body.c_str(), caller->body().c_str());
}

/// In one piece: what the replica writes later may arrive behind the next request, and belong to it by its id.
TEST(NodeResponseIntegrity, AConnectionWithExcessBytesIsNotReused)
{
    FakeReplica &replica =
        fixture.addReplica("a", [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            const std::string id = request.field("X-Galenafold-Attempt-Id");
            reply->send(success(id, request.body) + success(id, "again"));
        });
    fixture.startAndWaitReady();
    for (int i = 0; i < 4; ++i) {
        checkEcho(fixture, i);
    }
    LONGS_EQUAL(4, replica.connections());
}

/// The excess arrives while the connection waits for its next request.
TEST(NodeResponseIntegrity, AnIdleConnectionThatGetsExcessBytesIsNotReused)
{
    std::atomic<int> closed{0};
    FakeReplica &replica =
        fixture.addReplica("a", [&closed](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            reply->sendResponse(request, 200, request.body);
            const std::string excess = success(request.field("X-Galenafold-Attempt-Id"), "again");
            reply->runAfter(milliseconds(20), [reply, excess] { reply->send(excess); });
            const auto count = std::make_shared<std::function<void()>>();
            *count = [&closed, reply, count] {
                if (reply->isClosed()) {
                    ++closed;
                } else {
                    reply->runAfter(milliseconds(5), *count);
                }
            };
            reply->runAfter(milliseconds(25), *count);
        });
    fixture.startAndWaitReady();
    for (int i = 0; i < 4; ++i) {
        checkEcho(fixture, i);
        CHECK(waitFor([&] { return closed == i + 1; }));
    }
    LONGS_EQUAL(4, replica.connections());
}

TEST(NodeResponseIntegrity, AnErrorResponseOfTheReplicaIsForwarded)
{
    LONGS_EQUAL(500, statusFor([](const ReplicaRequest &request, const auto &reply) {
                    reply->sendResponse(request, 500, "why");
                }));
}

// Streams with neither a length nor chunks

static const char *const closeDelimitedHead =
    "HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\n"
    "X-Galenafold-Response-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";

TEST(NodeResponseIntegrity, ACloseDelimitedStreamThatEndsAfterAnEventIsComplete)
{
    fixture.addReplica("a", [](const auto &, const std::shared_ptr<ReplicaReply> &reply) {
        reply->send(std::string(closeDelimitedHead) + "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
        reply->closeGracefully();
    });
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/frail/x", "id-1"));
    CHECK(caller->read());
    LONGS_EQUAL(200, caller->status());
    STRCMP_EQUAL("id: 0\ndata: a\n\nid: 1\ndata: b\n\n", caller->body().c_str());
}

/// Its connection ends in good order, but the event does not.
TEST(NodeResponseIntegrity, ACloseDelimitedStreamThatEndsInsideAnEventIsBroken)
{
    fixture.addReplica("a", [](const auto &, const std::shared_ptr<ReplicaReply> &reply) {
        reply->send(std::string(closeDelimitedHead) + "id: 0\ndata: a\n\nid: 1\nda");
        reply->closeGracefully();
    });
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/frail/x", "id-1"));
    CHECK_FALSE(caller->read());
}

/// The events are complete, so the rest comes from another replica.
TEST(NodeResponseIntegrity, ACloseDelimitedStreamThatEndsInsideAnEventIsResumedWhereAllowed)
{
    const ReplicaScript script = [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        const bool isFirst = request.field("Last-Event-Id").empty();
        const std::string events = isFirst ? "id: 0\ndata: a\n\nid: 1\nda" : "id: 1\ndata: b\n\n";
        reply->send(closeDelimitedHead + events);
        reply->closeGracefully();
    };
    fixture.addReplica("a", script);
    fixture.addReplica("b", script);
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/live/x", "id-1"));
    CHECK(caller->read());
    STRCMP_EQUAL("id: 0\ndata: a\n\nid: 1\ndata: b\n\n", caller->body().c_str());
}

// Streams that another replica does not resume

/// Starts a stream that breaks off after an event, and answers its resumption with these bytes.
static ReplicaScript brokenStream(const std::function<void(const ReplicaRequest &, ReplicaReply &)> &onResume)
{
    return [onResume](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        if (!request.field("Last-Event-Id").empty()) {
            onResume(request, *reply);
            return;
        }
        reply->beginStream(request);
        reply->sendEvent(0, "a");
        reply->runAfter(milliseconds(30), [reply] { reply->reset(); });
    };
}

/// The text of an error is no part of a stream that has begun.
TEST(NodeResponseIntegrity, AnErrorInPlaceOfTheRestOfAStreamBreaksIt)
{
    using Answer = std::function<void(const ReplicaRequest &, ReplicaReply &)>;
    const std::vector<Answer> answers = {
        [](const ReplicaRequest &request, ReplicaReply &reply) { reply.sendResponse(request, 500, "oops"); },
        [](const ReplicaRequest &request, ReplicaReply &reply) { reply.sendResponse(request, 404, "oops"); },
        [](const ReplicaRequest &request, ReplicaReply &reply) { reply.sendResponse(request, 201, "oops"); },
        [](const ReplicaRequest &request, ReplicaReply &reply) { reply.send(notExecutedResponse(request)); },
        [](const ReplicaRequest &, ReplicaReply &reply) {
            reply.send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nContent-Length: 4\r\n\r\noops");
        },
        [](const ReplicaRequest &, ReplicaReply &reply) {
            reply.send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nX-Galenafold-Response-Seal: s\r\n"
                       "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\noops");
        },
        [](const ReplicaRequest &, ReplicaReply &reply) { reply.send("oops oops oops\r\n\r\n"); },
    };
    std::size_t current = 0;
    const ReplicaScript script =
        brokenStream([&](const ReplicaRequest &request, ReplicaReply &reply) { answers[current](request, reply); });
    fixture.addReplica("a", script);
    fixture.addReplica("b", script);
    fixture.startAndWaitReady();
    for (current = 0; current < answers.size(); ++current) {
        const std::string label = "answer " + std::to_string(current);
        const auto caller = fixture.send(encodeCallerRequest("/live/x", "id-1"));
        CHECK_FALSE_TEXT(caller->read(), label.c_str());
        LONGS_EQUAL_TEXT(200, caller->status(), label.c_str());
        STRCMP_EQUAL_TEXT("id: 0\ndata: a\n\n", caller->body().c_str(), label.c_str());
        std::this_thread::sleep_for(std::chrono::seconds(1)); // a replica that fails is avoided for a moment
    }
}

// Slow responses

TEST_GROUP(NodeSlowResponses)
{
    /// Sends these bytes one by one, with a pause before each, and stops when they are sent or the connection ends.
    static void drip(const std::shared_ptr<ReplicaReply> &reply, const std::string &bytes, milliseconds pause,
                     std::size_t position = 0)
    {
        if (position == bytes.size() || reply->isClosed()) {
            return;
        }
        reply->runAfter(pause, [=] {
            reply->send(bytes.substr(position, 1));
            drip(reply, bytes, pause, position + 1);
        });
    }
    /// The first event comes at once, then a byte of the next one now and then, without end.
    const ReplicaScript dripAfterAnEvent = [](const ReplicaRequest &request,
                                              const std::shared_ptr<ReplicaReply> &reply) {
        const bool isResumed = !request.field("Last-Event-Id").empty();
        reply->beginStream(request);
        reply->sendEvent(isResumed ? 1 : 0, "x");
        if (isResumed) {
            reply->endStream();
        } else {
            drip(reply, "ffff\r\nid: 1\ndata: " + std::string(100000, 'y'), milliseconds(50));
        }
    };
    NodeFixture fixture;
};

/// On other systems such a stream never ended, as each byte counted as progress. Only whole events do here.
TEST(NodeSlowResponses, AStreamThatDripsBytesIsResumedElsewhere)
{
    fixture.addReplica("a", dripAfterAnEvent);
    fixture.addReplica("b", dripAfterAnEvent);
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/live/x", "i"));
    CHECK(caller->read());
    STRCMP_EQUAL("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", caller->body().c_str());
}

/// Where it may not be resumed, it ends with the caller's time, visibly.
TEST(NodeSlowResponses, AStreamThatDripsBytesEndsWithItsTime)
{
    FakeReplica &a = fixture.addReplica("a", dripAfterAnEvent);
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/frail/x", "i", "k1", 1500));
    const Instant sent = clockNow();
    CHECK(!caller->read());
    CHECK(clockNow() < sent + seconds(10)); // the stream alone would last for 5000 s
    LONGS_EQUAL(200, caller->status());
    CHECK(waitFor([&a] { return a.abortedRequests() == 1; }));
}

TEST(NodeSlowResponses, ABodyThatDripsBytesEndsWithItsRoutesTime)
{
    fixture.addReplica("a", [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        drip(reply,
             "HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: " + request.field("X-Galenafold-Attempt-Id")
                 + "\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'y'),
             milliseconds(5));
    });
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/brief/x", "i")); // 300 ms
    CHECK(caller->read());
    LONGS_EQUAL(504, caller->status());
}

/// The pauses between the events are eight times the objective, and shorter than callers wait.
TEST(NodeSlowResponses, ASlowStreamThatGoesOnIsNotCut)
{
    FakeReplica &a =
        fixture.addReplica("a", [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            reply->beginStream(request);
            for (int i = 0; i < 6; ++i) {
                reply->runAfter(milliseconds(800 * i), [reply, i] {
                    reply->sendEvent(i, "x");
                    if (i == 5) {
                        reply->endStream();
                    }
                });
            }
        });
    fixture.startAndWaitReady();
    for (const char *route : {"/live/x", "/frail/x"}) {
        const auto caller = fixture.send(encodeCallerRequest(route, route));
        CHECK(caller->read());
        CHECK(caller->body().find("id: 5\n") != std::string::npos);
    }
    LONGS_EQUAL(2, a.requests().size());
}
