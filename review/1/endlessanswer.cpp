// Case 1: one replica sends bytes that are no answer, without end, in the body of one answer. Counts how many requests
// to a sound replica of another service the router leaves unanswered meanwhile.
#include "review/testbed.h"

#include <cerrno>
#include <iostream>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace galenafold
{

constexpr const char *streamRequest = "listing-1";
constexpr int callers = 8;
constexpr int timeoutMs = 800;                                   // of the route of the sound service
constexpr auto slack = std::chrono::milliseconds(500);           // of the rule, beyond the route's timeout
constexpr auto patience = std::chrono::seconds(5);               // of a caller, so that late answers are seen
constexpr auto requestInterval = std::chrono::milliseconds(200); // of one caller
constexpr auto observedTime = std::chrono::seconds(15);          // from the request that gets the endless answer
constexpr auto senderInterval = std::chrono::milliseconds(5);    // between pieces of the endless answer
constexpr std::size_t pieceBytes = 350000;                       // 70 MB/s: below the link of a machine, 700 Mbit/s
constexpr int minUnanswered = 8;                                 // fewer are not judged
constexpr std::int64_t megabyte = 1000000;

struct Counts {
    std::atomic<int> sent{0};
    std::atomic<int> unansweredAtTimeout{0};
    std::atomic<int> unansweredLater{0}; // half a second after the route's timeout
};

/// A replica with blocking sockets and the segment size of an Ethernet link. Answers its first request, then ends.
class StreamReplica
{
public:
    StreamReplica();
    ~StreamReplica();
    StreamReplica(const StreamReplica &) = delete;
    StreamReplica &operator=(const StreamReplica &) = delete;

    int port() const { return portOf(m_listener); }
    std::int64_t sentBytes() const { return m_sentBytes; }

private:
    void run();
    bool send(int connection, std::string_view bytes);
    void sendEndless(int connection);

    int m_listener;
    std::atomic<std::int64_t> m_sentBytes{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

StreamReplica::StreamReplica()
    : m_listener(listenOnLoopback(ethernetSegmentBytes))
    , m_thread([this] { run(); })
{
}

StreamReplica::~StreamReplica()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
}

bool StreamReplica::send(int connection, std::string_view bytes)
{
    while (!bytes.empty() && !m_isStopping) {
        const ssize_t size = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0 && errno != EAGAIN) {
            return false;
        }
        const auto sent = static_cast<std::size_t>(std::max<ssize_t>(size, 0));
        m_sentBytes += static_cast<std::int64_t>(sent);
        bytes.remove_prefix(sent);
    }
    return !m_isStopping;
}

/// The pages: "bytes that are no answer may also come without end, in a head or a body, until the caller closes".
void StreamReplica::sendEndless(int connection)
{
    const timeval timeout{0, 100000}; // of one write, so that the case can end
    ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const std::string piece(pieceBytes, 'x');
    Instant next = clockNow();
    while (send(connection, piece)) {
        next = std::max<Instant>(next + senderInterval, clockNow());
        std::this_thread::sleep_for(next - clockNow());
    }
}

void StreamReplica::run()
{
    const int connection = ::accept(m_listener, nullptr, nullptr);
    if (connection < 0) {
        return;
    }
    char bytes[4096];
    const ssize_t size = ::recv(connection, bytes, sizeof bytes, 0);
    const std::string request(bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    std::string answer = "HTTP/1.1 200 OK\r\n";
    appendField(answer, "X-Galenafold-Attempt-Id", streamRequest);
    appendField(answer, "X-Galenafold-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");
    appendField(answer, "Content-Type", "text/event-stream");
    appendField(answer, "Transfer-Encoding", "chunked");
    answer += "\r\n";
    if (hasTrouble()) {
        send(connection, answer);
        sendEndless(connection);
    } else {
        appendChunk(answer, "id: 1\ndata: token\n\n");
        send(connection, answer + std::string(lastChunk));
    }
    ::close(connection);
}

static void answerLookup(const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
{
    constexpr auto workTime = std::chrono::milliseconds(30);
    reply->runAfter(workTime, [request, reply] { reply->sendResponse(request, 200, "{\"stock\":3}"); });
}

static std::string describe(const CallerResponse &response)
{
    switch (response.end) {
    case ResponseEnd::Complete:
        return std::to_string(response.head.status);
    case ResponseEnd::Closed:
        return "connection closed";
    case ResponseEnd::Late:
        break;
    }
    return "no answer";
}

/// One caller of the sound service, on a new connection for each request.
static void runCaller(int port, int number, Instant until, Record &record, Counts &counts)
{
    for (int i = 0; clockNow() < until; ++i) {
        const std::string id = "stock-" + std::to_string(number) + "-" + std::to_string(i);
        const Instant sentAt = clockNow();
        Caller caller(port);
        caller.send(callerRequest("GET", "/stock/x", id, timeoutMs));
        ++counts.sent;
        const CallerResponse response = caller.read(sentAt + patience);
        const Duration took = clockNow() - sentAt;
        const bool isAnswered = response.end != ResponseEnd::Late;
        counts.unansweredAtTimeout += took > std::chrono::milliseconds(timeoutMs) || !isAnswered ? 1 : 0;
        counts.unansweredLater += took > std::chrono::milliseconds(timeoutMs) + slack || !isAnswered ? 1 : 0;
        record.note(id + ": " + describe(response) + " after " + std::to_string(millisOf(took)) + " ms");
        std::this_thread::sleep_for(requestInterval);
    }
}

static void watchMemory(const Router &router, Instant until, Record &record)
{
    while (clockNow() < until) {
        record.note("router: " + std::to_string(router.residentBytes() / megabyte) + " MB in memory, readiness "
                    + (router.isReady() ? "200" : "not 200"));
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

static int run(const std::string &recordPath)
{
    Record record(recordPath);
    StreamReplica streamReplica;
    Testbed testbed;
    testbed.addReplica("i-assist-1", "assist", streamReplica.port());
    testbed.addReplica("i-ledger-1", "ledger", answerLookup);
    const bool isStarted = record.isOpen()
        && testbed.start({{"listing", "streaming", "assist", 12000, 800, 1, 300},
                          {"stock", "idempotent", "ledger", timeoutMs, 150, 2, 0}});
    if (!isStarted) {
        return exitNotRun;
    }
    Counts counts;
    const Instant until = clockNow() + observedTime;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] { runCaller(testbed.router().callerPort(), i, until, record, counts); });
    }
    threads.emplace_back([&] { watchMemory(testbed.router(), until, record); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    Caller streamCaller(testbed.router().callerPort());
    record.note("listing-1: sent to the service whose replica answers without end");
    streamCaller.send(callerRequest("POST", "/listing/x", streamRequest, 12000, "{}"));
    record.note("listing-1: " + describe(streamCaller.read(until)));
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.note("faulty replica: sent " + std::to_string(streamReplica.sentBytes() / megabyte) + " MB");
    record.note("sound service: " + std::to_string(counts.sent)
                + " requests; unanswered at timeoutMs: " + std::to_string(counts.unansweredAtTimeout)
                + "; of these still half a second later: " + std::to_string(counts.unansweredLater));
    const bool isBroken =
        counts.unansweredAtTimeout >= minUnanswered && 2 * counts.unansweredLater > counts.unansweredAtTimeout;
    record.note(isBroken ? "CONFIG is broken" : "CONFIG held");
    return isBroken ? exitBroken : exitHeld;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return galenafold::exitNotRun;
    }
    return galenafold::run(argv[1]);
}
