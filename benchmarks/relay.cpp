// The event-loop data path on loopback: latency added to a direct call, processor time of a streamed event, and memory
// of an open stream. A caller, stand-ins and the router share the process; a direct run without the router is taken
// off.
//
// Usage: relay_benchmark [REQUESTS] [STREAMS] [EVENTS]. Compare with overhead_benchmark, which measures our own
// interface.
#include "fakes/keyedstore.h"
#include "fakes/replica.h"
#include "shell/routernode.h"

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

constexpr int patienceMs = 60000; // longer than any run

static double processSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Heap in use: unlike resident memory it does not count what an earlier run has freed.
static double heapKilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

/// A blocking connection that reads answers up to a marker.
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

static std::vector<double> latencies(int port, int requests)
{
    Connection connection(port);
    std::vector<double> micros;
    for (int i = 0; i < requests; ++i) {
        const Instant begin = clockNow();
        connection.send(callerRequest("/any/x", "r" + std::to_string(i), "", patienceMs));
        connection.readUntil("the-end");
        micros.push_back(static_cast<double>((clockNow() - begin).count()));
    }
    std::sort(micros.begin(), micros.end());
    return micros;
}

struct StreamCost {
    double secondsAnEvent = 0;
    double kilobytesAStream = 0;
};

static StreamCost streamCost(int port, int streams, int events)
{
    const double memoryBefore = heapKilobytes();
    const double before = processSeconds();
    std::vector<std::unique_ptr<Connection>> open;
    for (int i = 0; i < streams; ++i) {
        open.push_back(std::make_unique<Connection>(port));
        open.back()->send(callerRequest("/live/x", "r" + std::to_string(i), "", patienceMs));
    }
    for (const auto &connection : open) {
        connection->readUntil("event-" + std::to_string(events / 2));
    }
    StreamCost cost;
    cost.kilobytesAStream = (heapKilobytes() - memoryBefore) / streams;
    for (const auto &connection : open) {
        connection->readUntil("0\r\n\r\n");
    }
    cost.secondsAnEvent = (processSeconds() - before) / (static_cast<double>(streams) * events);
    return cost;
}

static void stream(const std::shared_ptr<ReplicaReply> &reply, int next, int events)
{
    constexpr auto pace = std::chrono::milliseconds(30); // between tokens
    if (next == events) {
        reply->endStream();
        return;
    }
    reply->event(next, "event-" + std::to_string(next));
    reply->after(pace, [reply, next, events] { stream(reply, next + 1, events); });
}

static int run(int requests, int streams, int events)
{
    FakeReplica replica("a", "svc", [events](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        if (got.head.target == "/live/x") {
            reply->beginStream(got);
            stream(reply, 0, events);
        } else {
            reply->answer(got, 200, "the-end");
        }
    });
    FakeKeyedStore store;
    replica.start();
    store.start();
    store.put("keyed.servers", "a", replica.entry());
    store.put("keyed.op", "config", sampleDesiredState(1, {{"any"}, {"live", "streaming", 1, false, patienceMs}}, {}));
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
    std::thread control([&node] { node.run(); });
    while (!node.isReady()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100)); // the replicas reach the traffic thread
    const auto direct = latencies(replica.port(), requests);
    const auto routed = latencies(node.callersPort(), requests);
    const auto at = [](const std::vector<double> &sorted, double share) {
        return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    };
    std::printf("latency added: p50 %.0f us, p99 %.0f us\n", at(routed, 0.5) - at(direct, 0.5),
                at(routed, 0.99) - at(direct, 0.99));
    const StreamCost alone = streamCost(replica.port(), streams, events);
    const StreamCost through = streamCost(node.callersPort(), streams, events);
    std::printf(
        "%d streams of %d events: %.1f us of processor an event (direct %.1f), %.1f KB a stream (direct %.1f)\n",
        streams, events, (through.secondsAnEvent - alone.secondsAnEvent) * 1e6, alone.secondsAnEvent * 1e6,
        through.kilobytesAStream - alone.kilobytesAStream, alone.kilobytesAStream);
    node.stop();
    control.join();
    return 0;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    const auto argument = [argc, argv](int index, int otherwise) {
        return argc > index ? std::atoi(argv[index]) : otherwise;
    };
    return galenafold::run(argument(1, 3000), argument(2, 500), argument(3, 60));
}
