// RouterNode and streams that break off at every byte: with a length, with chunks and with neither, on first and on
// resumed attempts, for callers of both HTTP versions. No caller may take one that was cut off for a complete one.
//
// Sections of this file: Replica, Tests.
#include "tests/nodefixture.h"

using namespace galenafold;

// Replica

enum class Framing : std::uint8_t { Length, Chunks, Neither };
constexpr Framing framings[] = {Framing::Length, Framing::Chunks, Framing::Neither};
constexpr const char *firstEvent = "id: 0\ndata: a\n\n";
constexpr const char *secondEvent = "id: 1\ndata: b\n\n";

static std::string framingField(Framing framing, std::size_t bodyBytes)
{
    switch (framing) {
    case Framing::Length:
        return "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    case Framing::Chunks:
        return "Transfer-Encoding: chunked\r\n";
    case Framing::Neither:
        break;
    }
    return "Connection: close\r\n";
}

/// Which part of a stream a replica sends before its connection ends.
struct CutStream {
    std::string events; // whole
    std::size_t bytes = 0;
    Framing framing = Framing::Neither;
    int status = 200;
    bool isFramedToEnd = false; // the length is that of the bytes, or the last chunk follows: only the event is cut off
};

/// Sends the first bytes of a stream, then closes the connection as the kernel does for a process that ends.
static void sendCut(const CutStream &stream, const ReplicaRequest &request, ReplicaReply &reply)
{
    const std::string sent = stream.events.substr(0, stream.bytes);
    const std::size_t length = stream.isFramedToEnd ? sent.size() : stream.events.size();
    std::string bytes = "HTTP/1.1 " + std::to_string(stream.status) + " OK\r\nX-Galenafold-Response-Seal: s\r\n"
        + "Content-Type: text/event-stream\r\nX-Galenafold-Attempt-Id: " + request.field("X-Galenafold-Attempt-Id")
        + "\r\n" + framingField(stream.framing, length) + "\r\n";
    if (stream.framing != Framing::Chunks) {
        bytes += sent;
    } else if (!sent.empty()) {
        appendChunk(bytes, sent);
    }
    const bool isWhole = stream.bytes == stream.events.size();
    if (stream.framing == Framing::Chunks && (isWhole || stream.isFramedToEnd)) {
        bytes += lastChunk;
    }
    reply.send(bytes);
    reply.closeGracefully();
}

/// @return true if the bytes end with an event, and nothing else tells that more was to come
static bool looksComplete(const CutStream &stream)
{
    const bool isBetweenEvents = stream.bytes == std::string(firstEvent).size();
    return stream.bytes == stream.events.size()
        || (isBetweenEvents && (stream.framing == Framing::Neither || stream.isFramedToEnd));
}

// Tests

TEST_GROUP(StreamEnds)
{
    NodeFixture fixture;
    CutStream stream;           // sent by the replicas in answer to the next request
    std::atomic<int> begun{0};  // streams
    std::atomic<int> closed{0}; // of these, those whose connection is closed

    /// Both replicas send `stream`. @param isResumed only to a request that resumes one; others get the first event and
    /// then a reset
    void startReplicas(bool isResumed = false)
    {
        const ReplicaScript script = [this, isResumed](const ReplicaRequest &request,
                                                       const std::shared_ptr<ReplicaReply> &reply) {
            if (!isResumed || !request.field("Last-Event-Id").empty()) {
                ++begun;
                sendCut(stream, request, *reply);
                ++closed;
                return;
            }
            reply->beginStream(request);
            reply->sendEvent(0, "a");
            reply->runAfter(std::chrono::milliseconds(5), [reply] { reply->reset(); });
        };
        fixture.addReplica("a", script);
        fixture.addReplica("b", script);
        fixture.startAndWaitReady();
    }

    static std::string request(const std::string &path, const std::string &headers, bool isHttp11)
    {
        std::string bytes = encodeCallerRequest(path, "id-1", "k1", 20000, headers);
        if (!isHttp11) {
            bytes.replace(bytes.find("HTTP/1.1"), 8, "HTTP/1.0");
        }
        return bytes;
    }

    /// Sends a request for `stream`. Fails if its caller takes a stream that was cut off for a complete one, or the
    /// reverse.
    /// @param before what the caller gets ahead of the events of `stream`
    void check(const std::string &path, const std::string &before, const std::string &headers = "",
               bool isHttp11 = true)
    {
        const auto caller = fixture.send(request(path, headers, isHttp11));
        const bool isSuccess = caller->read() && caller->status() / 100 == 2;
        const std::string label = path + (isHttp11 ? " 1.1 " : " 1.0 ")
            + std::to_string(static_cast<int>(stream.framing)) + " cut at " + std::to_string(stream.bytes) + ": "
            + std::to_string(caller->status());
        CHECK_EQUAL_TEXT(looksComplete(stream), isSuccess, label.c_str());
        CHECK(waitFor([this] { return closed == begun; })); // a request that is sent earlier ends with its connection
        if (isSuccess) {
            STRCMP_EQUAL_TEXT((before + stream.events.substr(0, stream.bytes)).c_str(), caller->body().c_str(),
                              label.c_str());
        }
    }

    /// Runs a check for each framing, and each length of a stream with these events.
    void forEachCut(const std::string &events, const std::function<void()> &run)
    {
        stream.events = events;
        for (const Framing framing : framings) {
            stream.framing = framing;
            for (stream.bytes = 0; stream.bytes <= events.size(); ++stream.bytes) {
                run();
            }
        }
    }
};

/// A stream that ended inside its first event, with neither a length nor chunks, was passed on as an empty success.
TEST(StreamEnds, AStreamThatIsCutAtAnyByteIsNeverComplete)
{
    startReplicas();
    forEachCut(std::string(firstEvent) + secondEvent, [this] { check("/frail/x", ""); });
}

/// The end of the connection is all that tells an HTTP/1.0 caller that a stream is complete.
TEST(StreamEnds, AStreamThatIsCutIsNeverCompleteForAnHttp10Caller)
{
    startReplicas();
    forEachCut(std::string(firstEvent) + secondEvent, [this] { check("/frail/x", "", "", false); });
}

/// An attempt that went on with a stream, and ended before it brought a byte, made the caller's stream complete.
TEST(StreamEnds, AResumedStreamThatIsCutAtAnyByteIsNeverComplete)
{
    startReplicas(true);
    forEachCut(secondEvent, [this] { check("/live/x", firstEvent); });
}

/// A caller that resumed its stream got an empty success, as if there were nothing more to come.
TEST(StreamEnds, AStreamThatItsCallerResumesIsNeverCompleteWhenCut)
{
    startReplicas();
    forEachCut(secondEvent, [this] { check("/frail/x", "", "Last-Event-Id: 0\r\n"); });
}

/// A success other than 200 was collected as a plain response, whose end nobody looked at.
TEST(StreamEnds, AStreamWithAnotherStatusOfSuccessIsNeverCompleteWhenCut)
{
    startReplicas();
    stream.status = 201;
    forEachCut(std::string(firstEvent) + secondEvent, [this] { check("/frail/x", ""); });
}

/// The framing is complete, the event is not.
TEST(StreamEnds, AnEventThatIsCutInsideACompleteBodyBreaksTheStream)
{
    startReplicas();
    stream.isFramedToEnd = true;
    stream.events = std::string(firstEvent) + secondEvent;
    for (const Framing framing : {Framing::Length, Framing::Chunks}) {
        stream.framing = framing;
        for (stream.bytes = 1; stream.bytes <= stream.events.size(); ++stream.bytes) {
            check("/frail/x", "");
        }
    }
}

/// All events behind a gap were held back, and what was left was passed on as an empty success.
TEST(StreamEnds, AStreamThatBeginsBehindAGapIsNeverComplete)
{
    startReplicas();
    stream.events = "id: 5\ndata: x\n\n";
    stream.bytes = stream.events.size();
    for (const Framing framing : framings) {
        stream.framing = framing;
        const auto caller = fixture.send(encodeCallerRequest("/frail/x", "id-1", "k1", 20000, "Last-Event-Id: 0\r\n"));
        CHECK(caller->read());
        LONGS_EQUAL(502, caller->status());
    }
}

/// The gap of one attempt counted against the next one, which was asked to go on behind the gap.
TEST(StreamEnds, AStreamWithAGapIsResumedAfterTheLastEventBeforeIt)
{
    const ReplicaScript script = [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        reply->beginStream(request);
        if (request.field("Last-Event-Id") == "0") {
            reply->sendEvent(1, "b");
        } else {
            reply->sendEvent(0, "a");
            reply->sendEvent(5, "x");
        }
        reply->endStream();
    };
    fixture.addReplica("a", script);
    fixture.addReplica("b", script);
    fixture.startAndWaitReady();
    const auto caller = fixture.send(encodeCallerRequest("/live/x", "id-1"));
    CHECK(caller->read());
    STRCMP_EQUAL((std::string(firstEvent) + secondEvent).c_str(), caller->body().c_str());
}

TEST(StreamEnds, AnEmptyStreamWithALengthIsComplete)
{
    startReplicas();
    stream.framing = Framing::Length;
    const auto caller = fixture.send(encodeCallerRequest("/frail/x", "id-1", "k1", 20000, "Last-Event-Id: 1\r\n"));
    CHECK(caller->read());
    LONGS_EQUAL(200, caller->status());
    STRCMP_EQUAL("", caller->body().c_str());
}
