// A drill brings the store back from a copy that lacks two desired states. The operator writes the newer one again, and
// then one that takes a key away. Routers that follow another router of their data centre never read it.
#include "review/bed-2.h"

#include <algorithm>

using namespace bed;

constexpr int daemonCount = 9;
constexpr std::int64_t revokeMs = 5000;

/// A request with the key that is taken away.
struct Probe {
    Outcome outcome;
    int daemon = 0;
};

static void sendProbes(const Daemons &daemons, int index, const std::atomic<bool> &isOver, std::mutex &mutex,
                       std::vector<Probe> &probes)
{
    std::shared_ptr<Connection> connection;
    while (!isOver) {
        connection = connection ? connection : connectTo(daemons.ip(index), daemons.callers());
        if (!connection) {
            sleepMs(100);
            continue;
        }
        Probe probe;
        probe.daemon = index;
        probe.outcome.request = newRequestId();
        probe.outcome.sentAt = nowMs();
        note("sent " + probe.outcome.request + " with key-2 to " + daemons.ip(index));
        connection->send(encodeRequest("GET", "/lookup/1", probe.outcome.request, "key-2", 3000));
        const auto response = connection->read(true);
        probe.outcome.status = response && response->isComplete ? response->status() : 0;
        note("answer " + probe.outcome.request + ' ' + std::to_string(probe.outcome.status));
        if (probe.outcome.status == 0) {
            connection.reset();
        }
        {
            const std::lock_guard<std::mutex> lock(mutex);
            probes.push_back(probe);
        }
        sleepMs(200);
    }
}

static std::string state(int version, bool hasKey2, int timeoutMs)
{
    std::vector<std::string> keys = {"key-1"};
    if (hasKey2) {
        keys.push_back("key-2");
    }
    return desiredState(version, {{"lookup", "idempotent", "desk", timeoutMs}}, {{"acme", keys}});
}

int main()
{
    openRecord("review/6/record.txt");
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 0; i < 4; ++i) {
        Replica::Settings settings;
        settings.id = "i-" + std::to_string(i);
        settings.service = "desk";
        replicas.push_back(std::make_unique<Replica>(store, settings));
        replicas.back()->startBeats();
    }
    store.put("keyed.op", "config", state(1, true, 3000));
    Deployment deployment;
    deployment.daemons = daemonCount;
    deployment.store = store.address();
    Daemons daemons(deployment);
    if (!daemons.startAll()) {
        cannotRun("a daemon is not ready");
    }
    std::atomic<bool> isOver{false};
    std::mutex mutex;
    std::vector<Probe> probes;
    std::vector<std::thread> clients;
    for (int index = 0; index < daemonCount; ++index) {
        clients.emplace_back([&, index] { sendProbes(daemons, index, isOver, mutex, probes); });
    }
    sleepMs(6000); // until the routers know each other
    store.backUp();
    note("copy");
    sleepMs(2000);
    store.put("keyed.op", "config", state(2, true, 2900));
    sleepMs(3000);
    store.put("keyed.op", "config", state(3, true, 2800));
    sleepMs(3000);
    if (hasTrouble()) {
        note("drill");
        std::vector<std::vector<std::string>> rewritten = {{"keyed.op", "config", state(3, true, 2800)}};
        for (const auto &replica : replicas) {
            rewritten.push_back({"keyed.servers", replica->id(), replica->entry()});
        }
        store.restore(200, rewritten);
        note("store is back, version 3 is written again");
    }
    sleepMs(100);
    const std::int64_t offset = store.put("keyed.op", "config", state(4, false, 2800));
    const std::int64_t ackedAt = nowMs();
    note("version 4 takes key-2 away, offset " + std::to_string(offset));
    sleepMs(revokeMs + 6000);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    std::size_t ran = 0;
    std::set<int> from;
    for (const Probe &probe : probes) {
        if (probe.outcome.sentAt > ackedAt + revokeMs && probe.outcome.status == 200) {
            ++ran;
            from.insert(probe.daemon);
        }
    }
    note("daemons that let them through: " + std::to_string(from.size()));
    finish(daemons, "requests with the key that ran though sent later than revokeMs after the ack", ran);
}
