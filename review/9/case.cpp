// A drill brings the store back from a copy nine seconds old. Four seconds later the entry of a replica is removed, and
// routers that follow another router of their data centre go on to send requests there, beyond the drain time.
#include "review/bed-2.h"

#include <algorithm>

using namespace bed;

constexpr int daemonCount = 9;
constexpr int drainMs = 2000;

/// Sends requests that may run once, one after the other on one connection.
static void sendRequests(const Daemons &daemons, int index, const std::atomic<bool> &isOver, std::mutex &mutex,
                         std::vector<Outcome> &outcomes, std::map<std::string, int> &sentTo)
{
    std::shared_ptr<Connection> connection;
    while (!isOver) {
        if (!connection) {
            connection = connectTo(daemons.ip(index), daemons.callers());
        }
        if (!connection) {
            sleepMs(100);
            continue;
        }
        Outcome outcome;
        outcome.request = newRequestId();
        outcome.sentAt = nowMs();
        note("sent " + outcome.request + " to " + daemons.ip(index));
        connection->send(encodeRequest("POST", "/deposit/1", outcome.request, "key-1", 3000, "deposit"));
        const auto response = connection->read(true);
        outcome.endedAt = nowMs();
        outcome.status = response && response->isComplete ? response->status() : 0;
        note("answer " + outcome.request + ' ' + std::to_string(outcome.status));
        if (outcome.status == 0 || response->field("Connection") == "close") {
            connection.reset();
        }
        {
            const std::lock_guard<std::mutex> lock(mutex);
            outcomes.push_back(outcome);
            sentTo[outcome.request] = index;
        }
        sleepMs(100);
    }
}

int main()
{
    openRecord("review/9/record.txt");
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 0; i < 4; ++i) {
        Replica::Settings settings;
        settings.id = "i-" + std::to_string(i);
        settings.service = "desk";
        settings.workMs = 150;
        replicas.push_back(std::make_unique<Replica>(store, settings));
        replicas.back()->startBeats();
    }
    Replica &leaving = *replicas.front();
    const std::string state = desiredState(1, {{"deposit", "non_idempotent", "desk"}}, {{"acme", {"key-1"}}});
    store.put("keyed.op", "config", state);
    Deployment deployment;
    deployment.daemons = daemonCount;
    deployment.store = store.address();
    Daemons daemons(deployment);
    if (!daemons.startAll()) {
        cannotRun("a daemon is not ready");
    }
    std::atomic<bool> isOver{false};
    std::mutex mutex;
    std::vector<Outcome> outcomes;
    std::map<std::string, int> sentTo; // daemon of each request
    std::vector<std::thread> clients;
    for (int index = 0; index < daemonCount; ++index) {
        for (int i = 0; i < 2; ++i) {
            clients.emplace_back([&, index] { sendRequests(daemons, index, isOver, mutex, outcomes, sentTo); });
        }
    }
    sleepMs(6000); // until the routers know each other
    store.backUp();
    note("copy, registry ends at " + std::to_string(store.end("keyed.servers")));
    sleepMs(9000);
    if (hasTrouble()) {
        note("drill, registry ends at " + std::to_string(store.end("keyed.servers")));
        std::vector<std::vector<std::string>> rewritten;
        for (const auto &replica : replicas) {
            rewritten.push_back({"keyed.servers", replica->id(), replica->entry()});
        }
        store.restore(200, rewritten);
        note("store is back, registry ends at " + std::to_string(store.end("keyed.servers")));
    }
    sleepMs(4000); // longer than stableWindowMs
    leaving.stopBeats();
    const std::int64_t offset = store.put("keyed.servers", leaving.id(), "");
    const std::int64_t removedAt = nowMs();
    note("entry of " + leaving.id() + " removed at offset " + std::to_string(offset));
    sleepMs(drainMs + 2500);
    note("replica " + leaving.id() + " exits");
    leaving.exit();
    sleepMs(1500);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    std::size_t late = 0;
    std::set<int> from;
    std::set<std::string> begun;
    for (const Arrival &arrival : leaving.arrivals()) {
        begun.insert(arrival.request);
        if (arrival.at > removedAt + drainMs) {
            ++late;
            from.insert(sentTo[arrival.request]);
        }
    }
    const auto lost = std::count_if(outcomes.begin(), outcomes.end(), [&](const Outcome &outcome) {
        return begun.count(outcome.request) > 0 && (outcome.status == 0 || outcome.status == 502);
    });
    note("daemons that sent late: " + std::to_string(from.size()));
    note("requests that it had begun and that were lost: " + std::to_string(lost));
    finish(daemons, "requests that reached the replica later than drainMs after its removal", late);
}
