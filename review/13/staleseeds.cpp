// Four routers whose settings name three seeds that are down. Callers break their streams off, as after a channel that
// broke, and take them up again at another router. Two versions of the replicas' software serve side by side.
#include "review/bed-3.h"

#include <set>

namespace galenafold
{

constexpr int firstHost = 41;
constexpr int routerCount = 4;
constexpr int firstDownHost = 51; // nothing listens there
constexpr int seedCount = 3;
constexpr int replicasPerVersion = 3;
constexpr int eventCount = 15;
constexpr std::size_t eventsBeforeBreak = 3;
constexpr int maxTakeUps = 2; // tries of a caller, the second one after Retry-After
constexpr auto eventInterval = std::chrono::milliseconds(100);
constexpr auto streamInterval = std::chrono::milliseconds(70);
constexpr auto pauseBeforeTakeUp = std::chrono::milliseconds(500);
constexpr auto settleTime = std::chrono::seconds(12);
constexpr auto loadTime = std::chrono::seconds(30);
constexpr int minTakenUp = 12; // LOST counts from so many on

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

struct Totals {
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
    Caller(const std::vector<std::unique_ptr<RouterProcess>> &routers, int number, Totals &totals, Record &record)
        : m_routers(routers)
        , m_number(number)
        , m_totals(totals)
        , m_record(record)
    {
    }
    void run();

private:
    StreamAnswer call(int attempt, const std::string &extraHeaders, std::size_t breaksAfter);

    const std::vector<std::unique_ptr<RouterProcess>> &m_routers;
    int m_number;
    Totals &m_totals;
    Record &m_record;
    std::set<std::string> m_versions;
};

StreamAnswer Caller::call(int attempt, const std::string &extraHeaders, std::size_t breaksAfter)
{
    const RouterProcess &router = *m_routers[static_cast<std::size_t>(m_number + attempt) % m_routers.size()];
    const std::string id = "s-" + std::to_string(m_number) + '-' + std::to_string(attempt);
    StreamCall call;
    call.ip = router.ip();
    call.port = router.callersPort();
    call.request = encodeCallerRequest("/live/x", id, "k1", 10000, extraHeaders);
    call.breaksAfter = breaksAfter;
    StreamAnswer answer = callStream(call);
    std::string line = "answered " + id + " by " + router.ip() + " status " + std::to_string(answer.status);
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

void Caller::run()
{
    const StreamAnswer first = call(0, "", eventsBeforeBreak);
    const bool hasBegun = first.events.size() == eventsBeforeBreak;
    {
        const std::lock_guard<std::mutex> lock(m_totals.mutex);
        ++m_totals.asked;
        m_totals.begun += hasBegun ? 1 : 0;
    }
    if (!hasBegun) {
        return;
    }
    std::this_thread::sleep_for(pauseBeforeTakeUp);
    const std::string headers = "Last-Event-Id: " + std::to_string(first.events.back().id) + "\r\nResumes: s-"
        + std::to_string(m_number) + "-0\r\n";
    bool hasGoneOn = false;
    for (int attempt = 1; attempt <= maxTakeUps && !hasGoneOn; ++attempt) {
        const StreamAnswer answer = call(attempt, headers, eventCount);
        hasGoneOn = !answer.events.empty();
        const double pause = answer.retryAfter.empty() ? 0 : std::strtod(answer.retryAfter.c_str(), nullptr);
        std::this_thread::sleep_for(std::chrono::duration<double>(pause));
    }
    const std::lock_guard<std::mutex> lock(m_totals.mutex);
    ++m_totals.takenUp;
    m_totals.wentOn += hasGoneOn ? 1 : 0;
    m_totals.mixed += m_versions.size() > 1 ? 1 : 0;
}

static std::string seeds(const RouterPorts &ports)
{
    const int first = hasTrouble() ? firstDownHost : firstHost;
    std::string text;
    for (int host = first; host < first + seedCount; ++host) {
        text += (text.empty() ? "127.0.0." : ",127.0.0.") + std::to_string(host) + ':' + std::to_string(ports.peers);
    }
    return text;
}

static int run()
{
    Record record(recordFile());
    const WorkFolder folder;
    FakeTopicStore store;
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    for (int i = 0; i < 2 * replicasPerVersion; ++i) {
        replicas.push_back(std::make_unique<FakeReplica>("i-" + std::to_string(i), "svc",
                                                         streamScript(i < replicasPerVersion ? "v1" : "v2")));
    }
    Registry registry(store);
    const RouterPorts ports = freePorts(firstHost, firstDownHost + seedCount - firstHost);
    if (folder.path().empty() || ports.callers == 0 || !store.start()) {
        return exitNotRun;
    }
    store.put("keyed.op", "config", sampleDesiredState(1, {{"live", "streaming", 2, true}}, {"k1"}));
    for (int i = 0; i < 2 * replicasPerVersion; ++i) {
        if (!replicas[i]->start()) {
            return exitNotRun;
        }
        registry.add(*replicas[i], i < replicasPerVersion ? "v1" : "v2");
    }
    std::vector<std::unique_ptr<RouterProcess>> routers;
    for (int i = 0; i < routerCount; ++i) {
        routers.push_back(
            std::make_unique<RouterProcess>(folder.path(), firstHost + i, ports, store.address(), seeds(ports)));
        routers.back()->start();
    }
    for (const auto &router : routers) {
        if (!router->waitUntilReady(std::chrono::seconds(10))) {
            return exitNotRun;
        }
    }
    record.line((hasTrouble() ? "with trouble: seeds " : "without trouble: seeds ") + seeds(ports));
    std::this_thread::sleep_for(settleTime);
    Totals totals;
    std::vector<std::thread> callers;
    const Instant end = clockNow() + loadTime;
    for (int number = 0; clockNow() < end; ++number) {
        callers.emplace_back([&, number] { Caller(routers, number, totals, record).run(); });
        std::this_thread::sleep_for(streamInterval);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const auto &router : routers) {
        if (router->hasEnded()) {
            record.line("a router has ended by itself");
        }
    }
    const bool isCounted = totals.takenUp >= minTakenUp && totals.asked > 0;
    const double begunShare = totals.asked == 0 ? 0 : static_cast<double>(totals.begun) / totals.asked;
    const double wentOnShare = totals.takenUp == 0 ? 0 : static_cast<double>(totals.wentOn) / totals.takenUp;
    const bool isBroken = isCounted && wentOnShare < begunShare / 2;
    record.line("new streams " + std::to_string(totals.asked) + ", begun " + std::to_string(totals.begun)
                + ", taken up " + std::to_string(totals.takenUp) + ", went on " + std::to_string(totals.wentOn)
                + ", of two versions " + std::to_string(totals.mixed) + (isBroken ? ": LOST broken" : ": LOST held"));
    return isBroken ? exitBroken : isCounted ? exitHeld : exitNotRun;
}

} // namespace galenafold

int main()
{
    return galenafold::run();
}
