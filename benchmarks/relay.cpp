// Overhead of the event-loop data path on loopback: latency added to a direct request, CPU time of a streamed event,
// and memory of an open stream. The caller, the fake replica and the router share one process; the results of direct
// requests to the replica are subtracted.
//
// Usage: relay_benchmark [REQUESTS] [STREAMS] [EVENTS]. The requests use the interface of the users' platform;
// overhead_benchmark uses Galenafold's own interface.
#include "fakes/replica.h"
#include "fakes/topicstore.h"
#include "runtime/routernode.h"

#include <algorithm>
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <cstdio>
#include <fcntl.h>
#include <malloc.h>
#include <sys/resource.h>

namespace galenafold
{

constexpr int requestTimeoutMs = 60000; // deadline of each request; longer than a stream of the default length takes

/// @return CPU time of the process so far
static double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// @return heap in use; unlike resident memory, it excludes memory that an earlier run has freed
static double heapKilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

/// Blocking connection of a caller; reads responses up to a marker.
class Connection
{
public:
    explicit Connection(int port)
        : m_socket(m_io)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
        m_socket.set_option(asio::ip::tcp::no_delay(true));
    }
    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes)); }
    void readUntil(const std::string &marker) { m_buffer.consume(asio::read_until(m_socket, m_buffer, marker)); }

private:
    asio::io_context m_io;
    asio::ip::tcp::socket m_socket;
    asio::streambuf m_buffer;
};

/// Sends requests one after the other. @return latencies in microseconds, ascending
static std::vector<double> sortedLatencies(int port, int requests)
{
    Connection connection(port);
    std::vector<double> micros;
    for (int i = 0; i < requests; ++i) {
        const Instant begin = clockNow();
        connection.send(encodeCallerRequest("/any/x", "r" + std::to_string(i), "", requestTimeoutMs));
        connection.readUntil("the-end");
        micros.push_back(static_cast<double>((clockNow() - begin).count()));
    }
    std::sort(micros.begin(), micros.end());
    return micros;
}

struct StreamCost {
    double secondsPerEvent = 0;    // CPU time of this process
    double kilobytesPerStream = 0; // heap of this process
};

/// Opens all streams at once; memory is read when half of the events of each have arrived.
static StreamCost streamCost(int port, int streams, int events)
{
    const double heapBefore = heapKilobytes();
    const double cpuBefore = cpuSeconds();
    std::vector<std::unique_ptr<Connection>> connections;
    for (int i = 0; i < streams; ++i) {
        connections.push_back(std::make_unique<Connection>(port));
        connections.back()->send(encodeCallerRequest("/live/x", "r" + std::to_string(i), "", requestTimeoutMs));
    }
    for (const auto &connection : connections) {
        connection->readUntil("event-" + std::to_string(events / 2));
    }
    StreamCost cost;
    cost.kilobytesPerStream = (heapKilobytes() - heapBefore) / streams;
    for (const auto &connection : connections) {
        connection->readUntil("0\r\n\r\n");
    }
    cost.secondsPerEvent = (cpuSeconds() - cpuBefore) / (static_cast<double>(streams) * events);
    return cost;
}

/// Sends the events from `next` on at a fixed interval, then ends the stream.
static void sendEvents(const std::shared_ptr<ReplicaReply> &reply, int next, int events)
{
    constexpr auto eventInterval = std::chrono::milliseconds(30);
    if (next == events) {
        reply->endStream();
        return;
    }
    reply->sendEvent(next, "event-" + std::to_string(next));
    reply->runAfter(eventInterval, [reply, next, events] { sendEvents(reply, next + 1, events); });
}

static int run(int requests, int streams, int events)
{
    FakeReplica replica("a", "svc",
                        [events](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
                            if (request.head.target == "/live/x") {
                                reply->beginStream(request);
                                sendEvents(reply, 0, events);
                            } else {
                                reply->sendResponse(request, 200, "the-end");
                            }
                        });
    FakeTopicStore store;
    replica.start();
    store.start();
    store.put("keyed.servers", "a", replica.entry());
    store.put("keyed.op", "config",
              sampleDesiredState(1, {{"any"}, {"live", "streaming", 1, false, requestTimeoutMs}}, {}));
    RouterSettings settings;
    settings.name.text = "r1";
    settings.callers = "127.0.0.1:0";
    settings.admin = "127.0.0.1:0";
    settings.store = store.address();
    EventLogSettings log;
    log.fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
    RouterNode node(settings, log);
    if (!node.start()) {
        std::fputs("cannot listen on loopback\n", stderr);
        return 1;
    }
    std::thread nodeThread([&node] { node.run(); });
    while (!node.isReady()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100)); // lets the traffic thread receive the replicas
    const auto direct = sortedLatencies(replica.port(), requests);
    const auto routed = sortedLatencies(node.callerPort(), requests);
    const auto quantile = [](const std::vector<double> &sorted, double fraction) {
        return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
    };
    std::printf("latency added: p50 %.0f us, p99 %.0f us\n", quantile(routed, 0.5) - quantile(direct, 0.5),
                quantile(routed, 0.99) - quantile(direct, 0.99));
    const StreamCost directCost = streamCost(replica.port(), streams, events);
    const StreamCost routedCost = streamCost(node.callerPort(), streams, events);
    std::printf(
        "%d streams of %d events: %.1f us of CPU time per event (direct %.1f), %.1f KB per stream (direct %.1f)\n",
        streams, events, (routedCost.secondsPerEvent - directCost.secondsPerEvent) * 1e6,
        directCost.secondsPerEvent * 1e6, routedCost.kilobytesPerStream - directCost.kilobytesPerStream,
        directCost.kilobytesPerStream);
    node.stop();
    nodeThread.join();
    return 0;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    const auto argument = [argc, argv](int index, int fallback) {
        return argc > index ? std::atoi(argv[index]) : fallback;
    };
    return galenafold::run(argument(1, 3000), argument(2, 500), argument(3, 60));
}
