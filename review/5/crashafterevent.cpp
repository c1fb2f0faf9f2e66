// Case 5: one part of a prompt crashes each replica that begins to write an answer on it, right after the first event.
// Counts the requests with that part that still reach replicas after the fifth crash.
#include "review/testbed.h"

#include <iostream>

namespace galenafold
{

constexpr int replicas = 6;
constexpr int timeoutMs = 12000; // of the route, and the callers' time budget
constexpr int callers = 4;       // that send sound requests
constexpr auto observedTime = std::chrono::seconds(25);
constexpr auto badInterval = std::chrono::milliseconds(600);   // between requests with the part that crashes
constexpr auto soundInterval = std::chrono::milliseconds(200); // between sound requests of one caller
constexpr auto tokenTime = std::chrono::milliseconds(20);      // from the start to an event, and to the next
constexpr auto downTime = std::chrono::milliseconds(3000);     // "the replica is back after some seconds"
constexpr auto stableWindow = std::chrono::milliseconds(3000); // stableWindowMs
constexpr auto readTimeout = std::chrono::seconds(3);          // of a caller, which then leaves
constexpr int crashesBefore = 5;                               // the rule counts from the fifth crash
constexpr int maxLater = 3;                                    // requests that may reach replicas after it
constexpr const char *badPart = "91bd3f06:410,";

/// What the replicas saw. Thread-safe.
class Sightings
{
public:
    explicit Sightings(Record &record)
        : m_record(record)
    {
    }

    void onSent(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_sentAt[id] = clockNow();
    }

    void onArrival(const std::string &id, const std::string &replica)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_arrivals.push_back(id);
        m_record.note(replica + ": got " + id);
    }

    void onCrash(const std::string &replica)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_crashes.push_back(clockNow());
        m_record.note(replica + ": crash " + std::to_string(m_crashes.size()));
    }

    int crashes()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return static_cast<int>(m_crashes.size());
    }

    /// @return requests that reached a replica and were sent later than `stableWindow` after the fifth crash
    int arrivalsAfterFifthCrash()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_crashes.size() < crashesBefore) {
            return 0;
        }
        const Instant from = m_crashes[crashesBefore - 1] + stableWindow;
        const auto isLater = [&](const std::string &id) { return m_sentAt[id] > from; };
        return static_cast<int>(std::count_if(m_arrivals.begin(), m_arrivals.end(), isLater));
    }

private:
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, Instant> m_sentAt;
    std::vector<std::string> m_arrivals;
    std::vector<Instant> m_crashes;
};

/// One replica, and whether it is down: a crash has no effect on one that is.
struct Engine {
    std::string id;
    FakeReplica *replica = nullptr;
    Testbed *testbed = nullptr;
    Instant upAt{};
};

static void crash(Engine &engine, Sightings &sightings)
{
    const Instant now = clockNow();
    if (now >= engine.upAt) {
        engine.upAt = now + downTime;
        sightings.onCrash(engine.id);
        engine.testbed->onCrash(engine.id, downTime);
        engine.replica->crash(downTime);
    }
}

static void answer(Engine &engine, Sightings &sightings, const ReplicaRequest &request,
                   const std::shared_ptr<ReplicaReply> &reply)
{
    const bool isBad = request.field("X-Galenafold-Prompt-Prefix").find(badPart) != std::string::npos;
    if (isBad) {
        sightings.onArrival(request.field("X-Galenafold-Attempt-Id"), engine.id);
    }
    reply->runAfter(tokenTime, [&engine, &sightings, request, reply, isBad] {
        if (reply->isClosed()) {
            return;
        }
        reply->beginStream(request);
        reply->sendEvent(1, "token");
        reply->runAfter(tokenTime, [&engine, &sightings, reply, isBad] {
            if (isBad && hasTrouble()) {
                crash(engine, sightings);
            } else if (!reply->isClosed()) {
                reply->sendEvent(2, "end");
                reply->endStream();
            }
        });
    });
}

static std::string prompt(bool isBad, int number)
{
    char last[32];
    std::snprintf(last, sizeof last, "%x:250", 0x1000000 + number);
    return std::string("X-Galenafold-Model: m\r\nX-Galenafold-Token-Count: 1460,80\r\nX-Galenafold-Prompt-Prefix: ")
        + "5c1e07a2:800," + (isBad ? badPart : "7a10b2c4:410,") + last + "\r\n";
}

static CallerResponse ask(int port, const std::string &id, bool isBad, int number)
{
    Caller caller(port);
    caller.send(callerRequest("POST", "/listing/x", id, timeoutMs, "{}", prompt(isBad, number)));
    return caller.read(clockNow() + readTimeout);
}

static void sendBad(int port, Instant until, Sightings &sightings, Record &record)
{
    Instant next = clockNow();
    for (int i = 0; clockNow() < until; ++i) {
        const std::string id = "bad-" + std::to_string(i);
        sightings.onSent(id);
        const CallerResponse response = ask(port, id, true, i);
        record.note(id + ": " + (response.hasHead ? std::to_string(response.head.status) : "no head")
                    + (response.end == ResponseEnd::Complete ? ", complete" : ", broken off"));
        next += badInterval;
        std::this_thread::sleep_until(next);
    }
}

struct SoundCounts {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

static void sendSound(int port, int caller, Instant until, SoundCounts &counts)
{
    constexpr int numbersPerCaller = 100000;
    for (int i = 0; clockNow() < until; ++i) {
        const std::string id = "sound-" + std::to_string(caller) + "-" + std::to_string(i);
        const CallerResponse response = ask(port, id, false, (caller + 1) * numbersPerCaller + i);
        ++counts.sent;
        counts.served += response.end == ResponseEnd::Complete && response.head.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(soundInterval);
    }
}

static int run(const std::string &recordPath)
{
    Record record(recordPath);
    Sightings sightings(record);
    std::vector<Engine> engines(replicas);
    Testbed testbed;
    for (int i = 0; i < replicas; ++i) {
        Engine &engine = engines[static_cast<std::size_t>(i)];
        engine.id = "i-assist-" + std::to_string(i + 1);
        engine.testbed = &testbed;
        engine.replica = &testbed.addReplica(engine.id, "assist", [&](const auto &request, const auto &reply) {
            answer(engine, sightings, request, reply);
        });
    }
    const bool isStarted =
        record.isOpen() && testbed.start({{"listing", "streaming", "assist", timeoutMs, 800, 1, 300}});
    if (!isStarted) {
        return exitNotRun;
    }
    const int port = testbed.router().callerPort();
    const Instant until = clockNow() + observedTime;
    SoundCounts sound;
    std::vector<std::thread> threads;
    threads.emplace_back([&] { sendBad(port, until, sightings, record); });
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] { sendSound(port, i, until, sound); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const int later = sightings.arrivalsAfterFifthCrash();
    record.note("sound requests: " + std::to_string(sound.served) + " of " + std::to_string(sound.sent) + " served");
    record.note("crashes: " + std::to_string(sightings.crashes())
                + "; requests with the part that reached replicas, sent later than stableWindowMs after the fifth: "
                + std::to_string(later));
    record.note(later > maxLater ? "BUDGET is broken" : "BUDGET held");
    return later > maxLater ? exitBroken : exitHeld;
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
