// Replicas that answer with bytes without end, and peers that send faster than their input is handled: other requests
// go on, memory is bounded, and the caller of the endless answer is told that it failed.
//
// Sections of this file: Event loop, Memory, Router.
#include "filters/callermemory.h"
#include "filters/eventsplitter.h"
#include "tests/nodefixture.h"

#include <netinet/tcp.h>

using namespace galenafold;
using std::chrono::milliseconds;

// Event loop

TEST_GROUP(EndlessInput)
{
    asio::io_context io;
    asio::ip::tcp::socket peer{io};
    std::shared_ptr<TcpStream> stream;
    std::size_t read = 0;

    /// Connects `stream` to a peer that has sent more than a turn of the loop should read. @return bytes that wait
    std::size_t connect()
    {
        using MaxSegment = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
        constexpr std::size_t sentBytes = 600 << 10;
        constexpr std::size_t waitingBytes = 200 << 10;
        asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        acceptor.set_option(MaxSegment(1460)); // a read at the end of a large segment would not fill the buffer
        acceptor.set_option(asio::socket_base::receive_buffer_size(1 << 20));
        peer.connect(acceptor.local_endpoint());
        asio::ip::tcp::socket near = acceptor.accept();
        peer.non_blocking(true);
        const std::string bytes(sentBytes, 'x');
        std::size_t sent = 0;
        CHECK(waitFor([&] {
            asio::error_code error;
            sent += peer.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            return near.available() >= waitingBytes;
        }));
        const std::size_t waiting = near.available();
        stream = std::make_shared<TcpStream>(std::move(near));
        TcpStream::Hooks hooks;
        hooks.onBytes = [this](std::string_view bytes) { read += bytes.size(); };
        stream->start(std::move(hooks));
        return waiting;
    }
    void teardown() override
    {
        if (stream) {
            stream->close();
        }
        io.poll();
    }
};

/// A connection was read until it ran dry. A peer that is faster than the handler of its input kept the event loop: no
/// timer fired, and no other connection was served.
TEST(EndlessInput, OtherTasksOfTheLoopHaveTheirTurnBeforeAllInputIsRead)
{
    constexpr std::size_t maxTurnBytes = 128 << 10;
    const std::size_t waiting = connect();
    io.run_one(); // the first turn of the connection
    CHECK(read > 0);
    CHECK_TEXT(read <= maxTurnBytes, std::to_string(read).c_str());
    while (read < waiting) {
        io.run_one();
    }
}

/// What has arrived while the process stood still is read before a timer that expired meanwhile takes effect.
TEST(EndlessInput, APollReadsWhatHasArrived)
{
    const std::size_t waiting = connect();
    stream->poll();
    CHECK_TEXT(read >= waiting, std::to_string(read).c_str());
}

// Memory

TEST_GROUP(EndlessMessages){
    /// Feeds a response that begins so and goes on with 'x'. @return bytes that the parser took
    static std::size_t bytesUntilFault(const std::string &beginning){constexpr std::size_t limit = 1 << 20;
const std::string piece(1000, 'x');
ParseLimits limits;
limits.headBytes = 16384;
MessageParser parser(MessageParser::Kind::Response, limits);
std::size_t fed = parser.feed(beginning);
while (parser.fault() == ParseFault::None && fed < limit) {
    fed += parser.feed(piece);
}
return fed;
}
}
;

/// A chunk header, chunk extension or trailer without end was kept whole, and parsed again with each piece of it.
TEST(EndlessMessages, NoPartOfTheFramingIsLongerThanAHead)
{
    constexpr std::size_t limit = 16384 + 2000; // of a head, and the pieces around it
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &beginning :
         {std::string(), std::string("HTTP/1.1 200 OK\r\nA: "), chunked, chunked + "5",
          chunked + "5;a=", chunked + "5\r\nhello\r\n0\r\nA: ", chunked + "5\r\nhello\r\n0;a="}) {
        const std::size_t bytes = bytesUntilFault(beginning);
        CHECK_TEXT(bytes <= limit, (beginning + ": " + std::to_string(bytes)).c_str());
    }
}

/// An event without end was searched from its start with each piece of it.
TEST(EndlessMessages, AnEventInManyPiecesIsFound)
{
    EventSplitter splitter;
    for (const std::string &event : {std::string("id: 0\ndata: abc\n\n"), std::string("id: 1\r\ndata: abc\r\n\r\n")}) {
        std::string received;
        for (const char byte : event) {
            STRCMP_EQUAL("", received.c_str());
            received = splitter.feed(std::string(1, byte));
        }
        STRCMP_EQUAL(event.c_str(), received.c_str());
    }
}

TEST(EndlessMessages, TheResponseThatHoldsMostIsGivenUp)
{
    CallerMemorySettings settings;
    settings.maxResponseBytes = 100;
    const auto memory = std::make_shared<CallerMemory>(settings);
    MemoryShare small(memory, MemoryUse::Response);
    MemoryShare large(memory, MemoryUse::Response);
    MemoryShare last(memory, MemoryUse::Response);
    std::vector<std::string> givenUp;
    small.onGivenUp = [&] { givenUp.emplace_back("small"); };
    large.onGivenUp = [&] { givenUp.emplace_back("large"); };
    last.onGivenUp = [&] { givenUp.emplace_back("last"); };
    small.resize(10);
    large.resize(60);
    last.resize(30);
    LONGS_EQUAL(0, givenUp.size());
    small.resize(11);
    CHECK(givenUp == std::vector<std::string>{"large"});
    LONGS_EQUAL(41, memory->bytes());
    last.resize(90);
    CHECK((givenUp == std::vector<std::string>{"large", "last"}));
    LONGS_EQUAL(11, memory->bytes());
}

// Router

/// An answer that begins so and goes on with `piece`, as fast as the connection takes it.
struct EndlessAnswer {
    const char *name = "";
    std::string beginning;
    std::string piece;
};

static std::string answerHead(const char *id, const std::string &fields)
{
    return std::string("HTTP/1.1 200 OK\r\nX-Galenafold-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
                       "X-Galenafold-Attempt-Id: ")
        + id + "\r\n" + fields + "\r\n";
}

static std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string rubbish(32 << 10, 'x');
    const std::string chunked = answerHead("endless", "Transfer-Encoding: chunked\r\n");
    const std::string otherChunked = answerHead("other", "Transfer-Encoding: chunked\r\n");
    std::string chunk;
    appendChunk(chunk, rubbish);
    std::string interim;
    for (int i = 0; i < 1000; ++i) {
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    return {{"no head", "", rubbish},
            {"a header field", "HTTP/1.1 200 OK\r\nA: ", rubbish},
            {"a chunk's header", chunked, rubbish},
            {"a chunk's extension", chunked + "5;a=", rubbish},
            {"a trailer", chunked + "5\r\nid: 0\r\n0\r\nA: ", rubbish},
            {"interim responses", "", interim},
            {"an event", chunked, chunk},
            {"an event up to the end of the connection", answerHead("endless", ""), rubbish},
            {"a response to another request", otherChunked, chunk}};
}

TEST_GROUP(EndlessAnswers)
{
    NodeFixture fixture;
    EndlessAnswer answer;

    static void sendOn(const std::shared_ptr<ReplicaReply> &reply, const std::string &piece)
    {
        constexpr std::size_t maxUnsentBytes = 1 << 20;
        for (std::size_t sent = 0; !reply->isClosed() && reply->unsentBytes() < maxUnsentBytes && sent < maxUnsentBytes;
             sent += piece.size()) {
            reply->send(piece);
        }
        if (!reply->isClosed()) {
            reply->runAfter(milliseconds(1), [reply, piece] { sendOn(reply, piece); });
        }
    }
    /// Replies to requests of streams with `answer`, and to others at once.
    void start()
    {
        const ReplicaScript script = [this](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            if (request.head.target != "/frail/x") {
                respondOk(request, reply);
                return;
            }
            reply->send(answer.beginning);
            sendOn(reply, answer.piece);
        };
        fixture.settings.memoryMegabytes = memoryMegabytes;
        fixture.addReplica("a", script);
        fixture.startAndWaitReady();
    }
    void checkOthersAreServed(const char *label)
    {
        for (int i = 0; i < 5; ++i) {
            const auto caller = fixture.send(encodeCallerRequest("/any/x", "sound-" + std::to_string(i)));
            CHECK_TEXT(caller->read(), label);
            LONGS_EQUAL_TEXT(200, caller->status(), label);
        }
    }
    static constexpr int memoryMegabytes = 32;
};

/// On other systems a router kept all bytes of an endless answer. Here it parsed them again and again, and answered
/// nobody else meanwhile.
TEST(EndlessAnswers, OtherRequestsAreServedAndTheCallerIsToldOfAFailure)
{
    start();
    for (const EndlessAnswer &endless : endlessAnswers()) {
        answer = endless;
        const auto caller = fixture.send(encodeCallerRequest("/frail/x", "endless", "k1", 1500));
        checkOthersAreServed(endless.name);
        CHECK_TEXT(caller->read(), endless.name);
        CHECK_TEXT(caller->status() == 502 || caller->status() == 504, endless.name);
    }
}

/// Each answer is below the limit on one; all together they would fill the VM's memory.
TEST(EndlessAnswers, ManyAnswersTogetherHoldAPartOfTheMemory)
{
    constexpr int answers = 60;
    const std::string length = "Content-Length: 30000000\r\n";
    answer = {"bodies", "HTTP/1.1 404 Not Found\r\nX-Galenafold-Response-Seal: s\r\n" + length + "\r\n",
              std::string(32 << 10, 'x')};
    start();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < answers; ++i) {
        callers.push_back(fixture.send(encodeCallerRequest("/frail/x", "big-" + std::to_string(i), "k1", 5000)));
    }
    checkOthersAreServed("bodies");
    for (const auto &caller : callers) {
        CHECK(caller->read());
        CHECK(caller->status() == 502 || caller->status() == 504);
    }
    const int quarter = memoryMegabytes / 4 * 1000000;
    CHECK(fixture.metric("response_bytes_peak") > 0);
    CHECK(fixture.metric("response_bytes_peak") <= quarter);
    LONGS_EQUAL(0, fixture.metric("response_bytes"));
}
