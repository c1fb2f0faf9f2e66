// Streams of two events whose ids rise, by ten. Callers take a stream up again after its channel has been closed.
#include "review/bed-3.h"

namespace galenafold
{

constexpr int firstHost = 61;
constexpr int routerCount = 2;
constexpr int replicaCount = 3;
constexpr int eventCount = 2;
constexpr int streamCount = 40;
constexpr auto eventInterval = std::chrono::milliseconds(100);
constexpr auto streamInterval = std::chrono::milliseconds(300);
constexpr auto pauseBeforeTakeUp = std::chrono::milliseconds(300);
constexpr auto settleTime = std::chrono::seconds(22); // routers have their part of the retry budget by then
constexpr int minTakenUp = 12;                        // LOST counts from so many on

static int idStep()
{
    return hasTrouble() ? 10 : 1;
}

static void sendNext(int number, const std::shared_ptr<ReplicaReply> &reply)
{
    if (number > eventCount) {
        reply->endStream();
        return;
    }
    reply->sendEvent(number * idStep(), "event " + std::to_string(number));
    reply->runAfter(eventInterval, [number, reply] { sendNext(number + 1, reply); });
}

static void answer(const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply)
{
    const std::string last = request.field("Last-Event-Id");
    reply->beginStream(request);
    sendNext(last.empty() ? 1 : std::atoi(last.c_str()) / idStep() + 1, reply);
}

struct Totals {
    std::mutex mutex;
    int begun = 0;    // new streams that brought an event
    int complete = 0; // streams whose last event came, at the first try or after
    int takenUp = 0;
    int wentOn = 0;
};

static StreamAnswer call(const RouterProcess &router, const std::string &id, const std::string &extraHeaders,
                         Record &record)
{
    StreamCall call;
    call.ip = router.ip();
    call.port = router.callersPort();
    call.request = encodeCallerRequest("/live/x", id, "k1", 8000, extraHeaders);
    StreamAnswer answer = callStream(call);
    std::string line = "answered " + id + " status " + std::to_string(answer.status)
        + (answer.isComplete ? " complete" : " broken off") + " events";
    for (const StreamEvent &event : answer.events) {
        line += ' ' + std::to_string(event.id);
    }
    record.line(line);
    return answer;
}

static void callAndTakeUp(const std::vector<std::unique_ptr<RouterProcess>> &routers, int number, Totals &totals,
                          Record &record)
{
    const std::string id = "s-" + std::to_string(number);
    const auto router = static_cast<std::size_t>(number) % routers.size();
    const StreamAnswer first = call(*routers[router], id, "", record);
    const bool hasBegun = !first.events.empty();
    const bool isTakenUp = hasBegun && !first.isComplete;
    bool hasGoneOn = false;
    if (isTakenUp) {
        std::this_thread::sleep_for(pauseBeforeTakeUp);
        const std::string headers =
            "Last-Event-Id: " + std::to_string(first.events.back().id) + "\r\nResumes: " + id + "\r\n";
        hasGoneOn = !call(*routers[(router + 1) % routers.size()], id + "-again", headers, record).events.empty();
    }
    const std::lock_guard<std::mutex> lock(totals.mutex);
    totals.begun += hasBegun ? 1 : 0;
    totals.takenUp += isTakenUp ? 1 : 0;
    totals.wentOn += hasGoneOn ? 1 : 0;
    totals.complete += first.isComplete || hasGoneOn ? 1 : 0;
}

static int run()
{
    Record record(recordFile());
    const WorkFolder folder;
    FakeTopicStore store;
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    for (int i = 0; i < replicaCount; ++i) {
        replicas.push_back(std::make_unique<FakeReplica>("i-" + std::to_string(i), "svc", answer));
    }
    Registry registry(store);
    const RouterPorts ports = freePorts(firstHost, routerCount);
    if (folder.path().empty() || ports.callers == 0 || !store.start()) {
        return exitNotRun;
    }
    store.put("keyed.op", "config", sampleDesiredState(1, {{"live", "streaming", 2, true}}, {"k1"}));
    for (const auto &replica : replicas) {
        if (!replica->start()) {
            return exitNotRun;
        }
        registry.add(*replica, "v1");
    }
    const std::string seeds = "127.0.0." + std::to_string(firstHost) + ':' + std::to_string(ports.peers);
    std::vector<std::unique_ptr<RouterProcess>> routers;
    for (int i = 0; i < routerCount; ++i) {
        routers.push_back(std::make_unique<RouterProcess>(folder.path(), firstHost + i, ports, store.address(), seeds));
        routers.back()->start();
    }
    for (const auto &router : routers) {
        if (!router->waitUntilReady(std::chrono::seconds(10))) {
            return exitNotRun;
        }
    }
    std::this_thread::sleep_for(settleTime);
    record.line("ids rise by " + std::to_string(idStep()));
    Totals totals;
    std::vector<std::thread> callers;
    for (int number = 0; number < streamCount; ++number) {
        callers.emplace_back([&, number] { callAndTakeUp(routers, number, totals, record); });
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
    const bool isBroken =
        totals.takenUp >= minTakenUp && totals.wentOn * streamCount < totals.takenUp * totals.begun / 2;
    record.line("new streams " + std::to_string(streamCount) + ", begun " + std::to_string(totals.begun) + ", complete "
                + std::to_string(totals.complete) + ", taken up " + std::to_string(totals.takenUp) + ", went on "
                + std::to_string(totals.wentOn) + (isBroken ? ": LOST broken" : ": LOST held"));
    return isBroken ? exitBroken : exitHeld;
}

} // namespace galenafold

int main()
{
    return galenafold::run();
}
