// Test fixture: a data centre of router nodes large enough that most of them follow one that reads the store.
#pragma once

#include "tests/routerfleet.h"

namespace galenafold
{

/// Ten routers of one data centre, in front of one replica that answers all prompts with one event.
struct DataCentreFleet : RouterFleet {
    DataCentreFleet()
    {
        routerCount = 10;
        const ReplicaScript script = [](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            reply->beginStream(request);
            reply->sendEvent(0, "x");
            reply->endStream();
        };
        for (int i = 0; i < 4; ++i) {
            addReplica("e" + std::to_string(i), script);
        }
        adjust = [this](int router, RouterSettings &settings) {
            settings.maxRevocationDelay = std::chrono::seconds(5);
            settings.maxDrainDelay = std::chrono::seconds(4);
            settings.linkMegabits = router < 2 ? 200 : 20;
            if (turnedAway.count(router) > 0) {
                settings.store = otherStore.address();
            }
        };
    }
    void startStores()
    {
        otherStore.put("keyed.op", "config", state(1, "k1"));
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            otherStore.put("keyed.servers", "e" + std::to_string(i), replicas[i]->entry());
        }
        otherStore.start();
    }
    void startAndWaitUntilFollowing()
    {
        startStores();
        start();
        CHECK(waitFor([this] { return followers("desired_state") == 9 && followers("registry") == 9; }));
    }
    int followers(const std::string &topic)
    {
        int count = 0;
        for (int i = 0; i < routerCount; ++i) {
            count += metric(i, "topic_follows_router{topic=\"" + topic + "\"}") == 1 ? 1 : 0;
        }
        return count;
    }
    bool isEvacuatedFor(int router, const std::string &dataCentre)
    {
        return metric(router, "data_centre_evacuated{data_centre=\"" + dataCentre + "\"}") == 1;
    }
    int readerOf(const std::string &topic)
    {
        int reader = 0;
        while (metric(reader, "topic_follows_router{topic=\"" + topic + "\"}") == 1) {
            ++reader;
        }
        return reader;
    }
    /// Publishes a desired state of a thousand routes to routers with narrow links.
    /// @param routeName of each @return how often the store has sent it when it is in force everywhere
    double timesServed(const std::function<std::string(int)> &routeName)
    {
        adjust = [before = adjust](int router, RouterSettings &settings) {
            before(router, settings);
            settings.linkMegabits = 1;
        };
        startAndWaitUntilFollowing();
        std::vector<SampleRoute> routes = {{"chat", "streaming", 2, true, 20000, true}};
        for (int i = 0; i < 1000; ++i) {
            routes.push_back({"unused" + routeName(i), "idempotent"});
        }
        const std::string large = sampleDesiredState(2, routes, {"k1"});
        store.setRate(static_cast<std::int64_t>(large.size()) * 1000); // counts the bytes that it serves
        store.put("keyed.op", "config", large);
        CHECK(waitFor([this] {
            return everywhere([this](int router) { return metric(router, "desired_state_version") == 2; });
        }));
        return static_cast<double>(store.bytesServed() / static_cast<std::int64_t>(large.size()));
    }
    static std::string state(int version, const std::string &key)
    {
        return sampleDesiredState(version, {{"chat", "streaming", 2, true, 20000, true}}, {key});
    }

    std::set<int> turnedAway;  // routers whose calls the store does not serve once `otherStore` has a fault
    FakeTopicStore otherStore; // holds the same as the store
};

} // namespace galenafold
