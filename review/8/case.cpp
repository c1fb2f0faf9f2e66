// The store loses the answers of calls for a moment, and carries one of them out some seconds later: the heartbeat of a
// replica that has left meanwhile. The router takes the replica for ready again.
#include "review/bed-2.h"

#include <algorithm>

using namespace bed;

constexpr int drainMs = 2000;

int main()
{
    openRecord("review/8/record.txt");
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 0; i < 3; ++i) {
        Replica::Settings settings;
        settings.id = "i-" + std::to_string(i);
        settings.service = "desk";
        settings.workMs = 150;
        replicas.push_back(std::make_unique<Replica>(store, settings));
        replicas.back()->startBeats();
    }
    Replica &leaving = *replicas.front();
    store.put("keyed.op", "config", desiredState(1, {{"deposit", "non_idempotent", "desk"}}, {{"acme", {"key-1"}}}));
    Deployment deployment;
    deployment.daemons = 2;
    deployment.store = store.address();
    Daemons daemons(deployment);
    if (!daemons.startAll()) {
        cannotRun("a daemon is not ready");
    }
    std::atomic<bool> isOver{false};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    for (int index = 0; index < 2; ++index) {
        for (int i = 0; i < 4; ++i) {
            clients.emplace_back([&, index] {
                std::shared_ptr<Connection> connection;
                while (!isOver) {
                    connection = connection ? connection : connectTo(daemons.ip(index), daemons.callers());
                    const std::string request = newRequestId();
                    note("sent " + request);
                    connection->send(encodeRequest("POST", "/deposit/1", request, "key-1", 3000, "deposit"));
                    const auto response = connection->read(true);
                    const int status = response && response->isComplete ? response->status() : 0;
                    note("answer " + request + ' ' + std::to_string(status));
                    lost += status == 0 || status == 502 ? 1 : 0;
                    connection = status == 0 ? nullptr : connection;
                    sleepMs(20);
                }
            });
        }
    }
    sleepMs(5000);
    const std::string lateEntry = leaving.entry();
    const std::int64_t lostAt = nowMs();
    note("heartbeat of " + leaving.id() + " gets no answer: " + lateEntry);
    sleepUntil(lostAt + 3300);
    leaving.stopBeats();
    const std::int64_t removedAt = nowMs();
    store.put("keyed.servers", leaving.id(), "");
    note("entry of " + leaving.id() + " is removed");
    sleepUntil(lostAt + 5800);
    if (hasTrouble()) {
        store.put("keyed.servers", leaving.id(), lateEntry);
        note("the heartbeat is carried out");
    }
    sleepUntil(removedAt + 6000);
    note("replica " + leaving.id() + " exits");
    leaving.exit();
    sleepMs(500);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const auto arrivals = leaving.arrivals();
    const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                    [&](const Arrival &arrival) { return arrival.at > removedAt + drainMs; });
    note("requests that were lost: " + std::to_string(lost));
    finish(daemons, "requests that reached the replica later than drainMs after its removal",
           static_cast<std::size_t>(late));
}
