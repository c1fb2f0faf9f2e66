// All routers are killed at the same moment and started again. Callers take their streams up once the routers are ready
// and have been undisturbed for longer than `stableWindowMs`. Two versions of the replicas' software serve side by
// side.
#include "review/bed-3.h"

#include <atomic>
#include <csignal>
#include <set>

namespace galenafold
{

constexpr int firstHost = 111;
constexpr int routerCount = 4;
constexpr int seedCount = 3;
constexpr int replicasPerVersion = 8;
constexpr int eventCount = 10;
constexpr int maxTakeUps = 2;  // tries of a caller, the second one after Retry-After
constexpr int minTakenUp = 12; // LOST counts from so many on
constexpr auto eventInterval = std::chrono::milliseconds(100);
constexpr auto streamInterval = std::chrono::milliseconds(20);
constexpr auto settleTime = std::chrono::seconds(12);
constexpr auto loadTime = std::chrono::seconds(6);
constexpr auto downTime = std::chrono::milliseconds(700);
constexpr auto calmTime = std::chrono::milliseconds(3200); // more than `stableWindowMs`, 3,000

static void sendNext(const std::string &data, int id, const std::shared_ptr<ReplicaReply> &reply)
{
    if (reply->isClosed()) {
        return;
    }
    if (id > eventCount) {
        reply->endStream();
        return;
    }
    reply->sendEvent(id, data);
    reply->runAfter(eventInterval, [data, id, reply] { sendNext(data, id + 1, reply); });
}

static ReplicaScript streamScript(const std::string &data)
{
    return [data](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
        const std::string last = request.field("Last-Event-Id");
        reply->beginStream(request);
        sendNext(data, last.empty() ? 1 : std::atoi(last.c_str()) + 1, reply);
    };
}

static std::string versionOf(int replica)
{
    return replica < replicasPerVersion ? "v1" : "v2";
}

using Routers = std::vector<std::unique_ptr<RouterProcess>>;

/// What all callers share.
struct Load {
    Routers routers;
    Instant brokenAt{}; // of all channels: by the kill, or by the callers
    std::atomic<bool> isCalm{false};
    std::mutex mutex;
    int asked = 0;   // new streams
    int begun = 0;   // of these, streams that brought an event
    int takenUp = 0; // streams that callers took up again
    int wentOn = 0;  // of these, streams that went on
    int mixed = 0;   // streams with events of two versions
};

class Caller
{
public:
    Caller(Load &load, int number, Record &record)
        : m_load(load)
        , m_number(number)
        , m_record(record)
    {
    }
    void run();

private:
    StreamAnswer call(int attempt, const std::string &extraHeaders, Duration longest);
    bool takeUp(std::int64_t lastEvent);

    Load &m_load;
    int m_number;
    Record &m_record;
    std::set<std::string> m_versions;
};

StreamAnswer Caller::call(int attempt, const std::string &extraHeaders, Duration longest)
{
    const RouterProcess &router = *m_load.routers[static_cast<std::size_t>(m_number + attempt) % routerCount];
    const std::string id = "s-" + std::to_string(m_number) + '-' + std::to_string(attempt);
    StreamCall call;
    call.ip = router.ip();
    call.port = router.callersPort();
    call.request = encodeCallerRequest("/live/x", id, "k1", 12000, extraHeaders);
    call.longest = std::chrono::duration_cast<std::chrono::milliseconds>(longest);
    StreamAnswer answer = callStream(call);
    std::string line = "answered " + id + " by " + router.ip() + " status " + std::to_string(answer.status)
        + (answer.isComplete ? " complete" : " broken off");
    if (!answer.events.empty()) {
        line += " events " + std::to_string(answer.events.front().id) + " to " + std::to_string(answer.events.back().id)
            + " at " + answer.events.front().data;
    }
    m_record.line(line + (answer.retryAfter.empty() ? "" : " Retry-After " + answer.retryAfter));
    for (const StreamEvent &event : answer.events) {
        m_versions.insert(event.data);
    }
    return answer;
}

bool Caller::takeUp(std::int64_t lastEvent)
{
    const std::string headers =
        "Last-Event-Id: " + std::to_string(lastEvent) + "\r\nResumes: s-" + std::to_string(m_number) + "-0\r\n";
    for (int attempt = 1; attempt <= maxTakeUps; ++attempt) {
        const StreamAnswer answer = call(attempt, headers, std::chrono::seconds(8));
        if (!answer.events.empty()) {
            return true;
        }
        const double pause = answer.retryAfter.empty() ? 0 : std::strtod(answer.retryAfter.c_str(), nullptr);
        std::this_thread::sleep_for(std::chrono::duration<double>(pause));
    }
    return false;
}

void Caller::run()
{
    // Without trouble the caller breaks its channel off itself, at the moment at which the routers would be killed.
    const Duration spare = hasTrouble() ? Duration(std::chrono::seconds(2)) : Duration{};
    const StreamAnswer first = call(0, "", m_load.brokenAt + spare - clockNow());
    const bool hasBegun = !first.events.empty();
    const bool isBroken = hasBegun && !first.isComplete && first.events.back().id < eventCount;
    bool hasGoneOn = false;
    if (isBroken) {
        while (!m_load.isCalm) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        hasGoneOn = takeUp(first.events.back().id);
    }
    const std::lock_guard<std::mutex> lock(m_load.mutex);
    ++m_load.asked;
    m_load.begun += hasBegun ? 1 : 0;
    m_load.takenUp += isBroken ? 1 : 0;
    m_load.wentOn += hasGoneOn ? 1 : 0;
    m_load.mixed += m_versions.size() > 1 ? 1 : 0;
}

static bool waitUntilReady(const Routers &routers)
{
    for (const auto &router : routers) {
        if (!router->waitUntilReady(std::chrono::seconds(10))) {
            return false;
        }
    }
    return true;
}

static bool killAll(const Routers &routers, Record &record)
{
    record.line("all routers are killed");
    for (const auto &router : routers) {
        router->signal(SIGKILL);
    }
    for (const auto &router : routers) {
        router->killAndWait();
    }
    std::this_thread::sleep_for(downTime);
    for (const auto &router : routers) {
        router->start();
    }
    record.line("all routers are started");
    return waitUntilReady(routers);
}

static int judge(const Load &load, Record &record)
{
    const bool isCounted = load.takenUp >= minTakenUp && load.asked > 0;
    const double begunShare = load.asked == 0 ? 0 : static_cast<double>(load.begun) / load.asked;
    const double wentOnShare = load.takenUp == 0 ? 0 : static_cast<double>(load.wentOn) / load.takenUp;
    const bool isBroken = isCounted && wentOnShare < begunShare / 2;
    record.line("new streams " + std::to_string(load.asked) + ", begun " + std::to_string(load.begun) + ", taken up "
                + std::to_string(load.takenUp) + ", went on " + std::to_string(load.wentOn) + ", of two versions "
                + std::to_string(load.mixed) + (isBroken ? ": LOST broken" : ": LOST held"));
    return isBroken ? exitBroken : isCounted ? exitHeld : exitNotRun;
}

static int run()
{
    Record record(recordFile());
    const WorkFolder folder;
    FakeTopicStore store;
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    for (int i = 0; i < 2 * replicasPerVersion; ++i) {
        replicas.push_back(std::make_unique<FakeReplica>("i-" + std::to_string(i), "svc", streamScript(versionOf(i))));
    }
    Registry registry(store);
    const RouterPorts ports = freePorts(firstHost, routerCount);
    if (folder.path().empty() || ports.callers == 0 || !store.start()) {
        return exitNotRun;
    }
    store.put("keyed.op", "config", sampleDesiredState(1, {{"live", "streaming", 2, true}}, {"k1"}));
    for (int i = 0; i < 2 * replicasPerVersion; ++i) {
        if (!replicas[i]->start()) {
            return exitNotRun;
        }
        registry.add(*replicas[i], versionOf(i));
    }
    std::string seeds;
    for (int host = firstHost; host < firstHost + seedCount; ++host) {
        seeds += (seeds.empty() ? "127.0.0." : ",127.0.0.") + std::to_string(host) + ':' + std::to_string(ports.peers);
    }
    Load load;
    for (int i = 0; i < routerCount; ++i) {
        load.routers.push_back(
            std::make_unique<RouterProcess>(folder.path(), firstHost + i, ports, store.address(), seeds));
        load.routers.back()->start();
    }
    if (!waitUntilReady(load.routers)) {
        return exitNotRun;
    }
    std::this_thread::sleep_for(settleTime);
    record.line(hasTrouble() ? "with trouble" : "without trouble");
    load.brokenAt = clockNow() + loadTime;
    std::vector<std::thread> callers;
    for (int number = 0; clockNow() < load.brokenAt; ++number) {
        callers.emplace_back([&load, &record, number] { Caller(load, number, record).run(); });
        std::this_thread::sleep_for(streamInterval);
    }
    const bool areReady = !hasTrouble() || killAll(load.routers, record);
    std::this_thread::sleep_for(calmTime);
    record.line("callers take their streams up");
    load.isCalm = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const auto &router : load.routers) {
        if (router->hasEnded()) {
            record.line("a router has ended by itself");
        }
    }
    return areReady ? judge(load, record) : exitNotRun;
}

} // namespace galenafold

int main()
{
    return galenafold::run();
}
