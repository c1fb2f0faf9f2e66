// Test fixture: a few router nodes on loopback addresses of their own that share a fake of the platform's store and
// fake replicas.
#pragma once

#include "tests/nodefixture.h"

namespace galenafold
{

/// A fleet for one route with prompts. Tests derive from it and call `start` once their replicas are added.
struct RouterFleet {
    RouterFleet()
    {
        store.start();
        store.put("keyed.op", "config", sampleDesiredState(1, {{"chat", "streaming", 2, true, 20000, true}}, {"k1"}));
    }
    void addReplica(const std::string &id, const ReplicaScript &script, const std::string &dataCentre = "here")
    {
        replicas.push_back(std::make_unique<FakeReplica>(id, "svc", script, dataCentre));
        replicas.back()->start();
        store.put("keyed.servers", id, replicas.back()->entry());
    }
    void start()
    {
        const int port = freePeerPort();
        for (int i = 0; i < routerCount; ++i) {
            RouterSettings settings;
            settings.name.text = "r" + std::to_string(i);
            settings.dataCentre.text = "here";
            settings.callers = "127.0.0.1:0";
            settings.admin = "127.0.0.1:0";
            settings.store = store.address();
            settings.peers = peerAddress(i, port);
            settings.seeds = {peerAddress(0, port), peerAddress(1, port)};
            settings.maxRecoveryTime = recoveryTime;
            settings.retryRatio = 1000; // high, so that the retry budget does not hide a fault
            adjust(i, settings);
            routers.push_back(std::make_unique<Router>(settings));
        }
        for (const auto &router : routers) {
            router->start();
        }
        CHECK(waitFor([this] { return allServe(); }));
    }
    static std::string peerAddress(int router, int port)
    {
        return "127.0.0." + std::to_string(router + 2) + ':' + std::to_string(port);
    }
    static int freePeerPort()
    {
        asio::io_context any;
        const asio::ip::udp::socket socket(any, {asio::ip::make_address_v4("127.0.0.2"), 0});
        return socket.local_endpoint().port();
    }
    /// @return HTTP status of a request with this prompt; 0: cut
    int call(int router, const std::string &parts)
    {
        std::unique_ptr<RawCaller> caller = connect(router % routerCount);
        const std::string id = "id" + std::to_string(++calls);
        caller->send(encodeCallerRequest("/chat/x", id, "k1", 20000, "X-Galenafold-Prompt-Prefix: " + parts + "\r\n"));
        return caller->read() ? caller->status() : 0;
    }
    std::unique_ptr<RawCaller> connect(int router)
    {
        const std::lock_guard<std::mutex> lock(restartMutex);
        return std::make_unique<RawCaller>(routers[static_cast<std::size_t>(router)]->node->callerPort());
    }
    bool allServe()
    {
        for (int i = 0; i < routerCount; ++i) {
            if (call(i, "f1:512,a" + std::to_string(i) + ":900,1:10") != 200) {
                return false;
            }
        }
        return true;
    }
    void restart(int router)
    {
        const std::lock_guard<std::mutex> lock(restartMutex);
        routers[static_cast<std::size_t>(router)]->stop();
        routers[static_cast<std::size_t>(router)]->start();
    }

    /// One router process: its node and the thread that runs it.
    struct Router {
        explicit Router(RouterSettings theSettings)
            : settings(std::move(theSettings))
        {
        }
        ~Router() { stop(); }
        void start()
        {
            EventLogSettings log;
            log.fd = -1;
            node = std::make_unique<RouterNode>(settings, log);
            CHECK(node->start());
            thread = std::thread([this] { node->run(); });
        }
        void stop()
        {
            if (thread.joinable()) {
                node->stop();
                thread.join();
            }
            node.reset();
        }
        RouterSettings settings;
        std::unique_ptr<RouterNode> node;
        std::thread thread;
    };

    /// @param name with its labels, without the prefix "galenafold_" @return a router's metric, rounded; -1 if absent
    int metric(int router, const std::string &name)
    {
        RawCaller caller(routers[static_cast<std::size_t>(router)]->node->adminPort());
        caller.send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string page = caller.read() ? '\n' + caller.body() : std::string();
        const std::string key = "\ngalenafold_" + name + ' ';
        const std::size_t at = page.find(key);
        return at == std::string::npos ? -1 : std::stoi(page.substr(at + key.size()));
    }
    /// @return true if the condition holds for all routers
    bool everywhere(const std::function<bool(int)> &condition) const
    {
        for (int i = 0; i < routerCount; ++i) {
            if (!condition(i)) {
                return false;
            }
        }
        return true;
    }

    int routerCount = 4;
    std::function<void(int, RouterSettings &)> adjust = [](int, RouterSettings &) {}; // before a router is made
    static constexpr auto recoveryTime = std::chrono::seconds(3);
    FakeTopicStore store;
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    std::vector<std::unique_ptr<Router>> routers;
    std::mutex restartMutex; // callers on other threads connect only while no router restarts
    std::atomic<int> calls{0};
};

} // namespace galenafold
