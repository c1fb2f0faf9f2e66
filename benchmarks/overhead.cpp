// Overhead of one router, compared with direct requests to the same fake engine: latency (routed and direct requests
// alternate); token delay, memory and CPU time of 500 concurrent streams; and the time from start to readiness.
//
// Sections of this file: Latency, Streams, Start.
#include "clients/endpoint.h"
#include "fakes/fleet.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <glog/logging.h>
#include <sys/resource.h>

namespace galenafold
{

static const char *const apiKey = "k";
constexpr int callCount = 2000;  // direct requests, and as many routed ones
constexpr int streamCount = 500; // concurrent
constexpr int tokensPerStream = 200;
constexpr auto tokenInterval = std::chrono::milliseconds(30); // of the engine, per stream

static std::string requestBody(int tokens, bool isStream)
{
    return "{\"model\":\"tea-large\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"max_tokens\":"
        + std::to_string(tokens) + ",\"stream\":" + (isStream ? "true" : "false") + "}";
}

/// Sorts the values. @return the quantile at `fraction`, 0 to 1
static double quantile(std::vector<double> &values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Latency

/// @return latency of one request in microseconds, -1 on failure
static double once(httplib::Client &client, int number)
{
    const httplib::Headers headers{{"Authorization", std::string("Bearer ") + apiKey},
                                   {"Galenafold-Task", "condition-tag"},
                                   {"X-Request-Id", "direct-" + std::to_string(number)},
                                   {"X-Priority", "5"}};
    const Instant begin = clockNow();
    const auto response = client.Post("/v1/chat/completions", headers, requestBody(1, false), "application/json");
    const double micros = std::chrono::duration<double, std::micro>(clockNow() - begin).count();
    return response && response->status == 200 ? micros : -1;
}

static void measureLatency(Fleet &fleet)
{
    const VmRecord engine = fleet.engine(0).record({}, {});
    httplib::Client direct("127.0.0.1", engine.port);
    httplib::Client routed("127.0.0.1", fleet.daemon(0).httpPort());
    direct.set_keep_alive(true);
    routed.set_keep_alive(true);
    direct.set_tcp_nodelay(true);
    routed.set_tcp_nodelay(true);
    std::vector<double> directTimes;
    std::vector<double> routedTimes;
    for (int i = 0; i < callCount; ++i) {
        directTimes.push_back(once(direct, i));
        routedTimes.push_back(once(routed, i));
    }
    const double p50 = quantile(routedTimes, 0.5) - quantile(directTimes, 0.5);
    const double p99 = quantile(routedTimes, 0.99) - quantile(directTimes, 0.99);
    std::printf(
        "latency: direct p50 %.0f us p99 %.0f us, routed p50 %.0f us p99 %.0f us, added p50 %.0f us p99 %.0f us\n",
        quantile(directTimes, 0.5), quantile(directTimes, 0.99), quantile(routedTimes, 0.5),
        quantile(routedTimes, 0.99), p50, p99);
}

// Streams

static double residentMegabytes()
{
    std::ifstream in("/proc/self/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.compare(0, 6, "VmRSS:") == 0) {
            return std::atof(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

/// @return CPU time of the process so far, in microseconds
static double cpuMicros()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval &time) { return static_cast<double>(time.tv_sec) * 1e6 + time.tv_usec; };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/// Opens all streams on a port of the engine or the router. Memory and CPU time are those of this process, which also
/// runs the callers and the engine; what the router adds is the difference from the direct run.
static void measureStreams(int port, const char *label)
{
    std::mutex mutex;
    std::vector<double> tokenDelays; // ms, relative to a steady rate from each stream's first token
    std::atomic<int> completeStreams{0};
    const double memoryBefore = residentMegabytes();
    const double cpuBefore = cpuMicros();
    double memoryDuring = 0;
    std::vector<std::thread> callerThreads;
    for (int i = 0; i < streamCount; ++i) {
        callerThreads.emplace_back([&, i] {
            httplib::Client client("127.0.0.1", port);
            client.set_tcp_nodelay(true);
            client.set_read_timeout(60);
            httplib::Request request;
            request.method = "POST";
            request.path = "/v1/chat/completions";
            request.headers = {{"Authorization", std::string("Bearer ") + apiKey},
                               {"Galenafold-Task", "appraisal"},
                               {"X-Request-Id", "stream-" + std::to_string(i)},
                               {"X-Priority", "5"}};
            request.body = requestBody(tokensPerStream, true);
            Instant firstTokenAt{};
            int receivedTokens = 0;
            std::vector<double> streamDelays;
            std::string tail;
            request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                const Instant now = clockNow();
                const std::string text(data, size);
                for (std::size_t position = text.find("\"token\""); position != std::string::npos;
                     position = text.find("\"token\"", position + 1)) {
                    firstTokenAt = receivedTokens == 0 ? now : firstTokenAt;
                    streamDelays.push_back(
                        std::chrono::duration<double, std::milli>(now - firstTokenAt - receivedTokens * tokenInterval)
                            .count());
                    ++receivedTokens;
                }
                return true;
            };
            const auto result = client.send(request);
            completeStreams += result && receivedTokens == tokensPerStream ? 1 : 0;
            const std::lock_guard<std::mutex> lock(mutex);
            tokenDelays.insert(tokenDelays.end(), streamDelays.begin(), streamDelays.end());
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(3)); // half of a stream's duration
    memoryDuring = residentMegabytes();
    for (std::thread &callerThread : callerThreads) {
        callerThread.join();
    }
    const double microsPerEvent = (cpuMicros() - cpuBefore) / (streamCount * static_cast<double>(tokensPerStream));
    const double p50 = quantile(tokenDelays, 0.5); // sorts, so that tokenDelays.back() is the maximum
    std::printf("streams %s: %d of %d received whole, token late p50 %.2f ms p99 %.2f ms max %.2f ms, "
                "memory %.0f KB per stream, CPU time %.1f us per event\n",
                label, completeStreams.load(), streamCount, p50, quantile(tokenDelays, 0.99), tokenDelays.back(),
                (memoryDuring - memoryBefore) * 1024 / streamCount, microsPerEvent);
}

// Start

/// Measures the time from the start of a further router daemon to its readiness.
static void measureStart(Fleet &fleet)
{
    const Instant begin = clockNow();
    fleet.addDaemon();
    fleet.daemon(fleet.daemons() - 1).waitReady(begin + std::chrono::seconds(10));
    std::printf("start to ready: %.0f ms\n", std::chrono::duration<double, std::milli>(clockNow() - begin).count());
}

static int run()
{
    FleetPlan plan;
    plan.daemons = 1;
    plan.engines = 1;
    plan.engine.slots = 1000;
    plan.engine.decodeTokensPerSecond = 10000;
    plan.engine.prefillTokensPerSecond = 1e9;
    plan.settings.placement.loadBound = 10;
    Fleet latencyFleet(plan);
    latencyFleet.publish("kedai", sampleContract("kedai", apiKey, 1e6, 1e6), 0);
    latencyFleet.start();
    measureLatency(latencyFleet);
    measureStart(latencyFleet);
    plan.engine.decodeTokensPerSecond = 1000.0 / static_cast<double>(tokenInterval.count());
    Fleet streamFleet(plan);
    streamFleet.publish("kedai", sampleContract("kedai", apiKey, 1e6, 1e6), 0);
    streamFleet.start();
    const int direct = streamFleet.engine(0).record({}, {}).port;
    measureStreams(direct, "direct, warm-up");
    measureStreams(direct, "direct");
    measureStreams(streamFleet.daemon(0).httpPort(), "routed");
    return 0;
}

} // namespace galenafold

int main(int, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    return galenafold::run();
}
