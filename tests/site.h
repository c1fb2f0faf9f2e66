// A real daemon with stand-ins of the platform's store and of replicas, and a caller that sends raw bytes.
//
// Sections of this file: Caller, Site.
#pragma once

#include "fakes/replica.h"
#include "fakes/topicstore.h"
#include "runtime/routernode.h"

#include <CppUTest/TestHarness.h>
#include <asio/write.hpp>
#include <fcntl.h>
#include <poll.h>

namespace galenafold
{

constexpr auto sitePatience =
    std::chrono::seconds(20); // for events that must come; no verdict rests on how soon they do

// Caller

/// A blocking caller that sends raw bytes and reads whole answers.
class RawCaller
{
public:
    explicit RawCaller(int port)
        : m_socket(m_io)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
    }
    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes), m_error); }
    void close() { m_socket.close(); }

    /// Reads until the answer is whole or the connection ends. @return true when it is whole
    bool read()
    {
        m_parser = std::make_unique<MessageParser>(MessageParser::Kind::Response, ParseLimits());
        while (!m_parser->isDone() && m_parser->fault() == ParseFault::None) {
            if (!m_held.empty()) {
                const std::size_t used = m_parser->feed(m_held);
                m_held.erase(0, used);
                continue;
            }
            pollfd entry{m_socket.native_handle(), POLLIN, 0};
            if (::poll(&entry, 1, static_cast<int>(std::chrono::milliseconds(sitePatience).count())) != 1) {
                return false;
            }
            char bytes[4096];
            const std::size_t size = m_socket.read_some(asio::buffer(bytes), m_error);
            if (m_error) {
                return false;
            }
            m_held.assign(bytes, size);
        }
        return m_parser->isDone();
    }
    int status() { return m_parser->response().status; }
    std::string body() { return m_parser->body(); }
    std::string field(const std::string &name)
    {
        const std::string *found = findField(m_parser->response().fields, name);
        return found ? *found : "";
    }

private:
    asio::io_context m_io;
    asio::ip::tcp::socket m_socket;
    asio::error_code m_error;
    std::unique_ptr<MessageParser> m_parser;
    std::string m_held;
};

// Site

/// @return the desired state that sites start from, with these keys
inline std::string desiredState(int version, const std::vector<std::string> &keys = {"k1"})
{
    return sampleDesiredState(version,
                              {{"once", "non_idempotent"},
                               {"any", "idempotent", 2},
                               {"live", "streaming", 2, true},
                               {"frail", "streaming"},
                               {"brief", "idempotent", 1, false, 300}},
                              keys);
}

inline bool waitFor(const std::function<bool()> &condition)
{
    const Instant giveUpAt = clockNow() + sitePatience;
    while (!condition() && clockNow() < giveUpAt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return condition();
}

/// One daemon, one store, replicas as a test adds them.
struct Site {
    explicit Site(Duration maxRevocationDelay = Duration{})
    {
        store.start();
        settings.name.text = "r1";
        settings.dataCentre.text = "here";
        settings.callers = "127.0.0.1:0";
        settings.admin = "127.0.0.1:0";
        settings.store = store.address();
        settings.maxRevocationDelay = maxRevocationDelay;
        settings.maxDrainDelay = std::chrono::milliseconds(40);
        settings.minRetries = 1000;
        settings.assumedFleetSize = 1;
    }
    ~Site()
    {
        if (thread.joinable()) {
            node->stop();
            thread.join();
        }
    }
    FakeReplica &add(const std::string &id, ReplicaScript script)
    {
        replicas.push_back(std::make_unique<FakeReplica>(id, "svc", std::move(script)));
        replicas.back()->start();
        store.put("keyed.servers", id, replicas.back()->entry());
        return *replicas.back();
    }
    void start()
    {
        EventLogSettings log;
        log.fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
        node = std::make_unique<RouterNode>(settings, log);
        CHECK(node->start());
        thread = std::thread([this] { node->run(); });
    }
    void startReady()
    {
        store.put("keyed.op", "config", desiredState(1));
        start();
        CHECK(waitFor([this] { return readiness() == 200; }));
        CHECK(waitFor([this] { return metric("replicas_usable") == static_cast<int>(replicas.size()); }));
    }
    int readiness() { return get("/-/readiness"); }
    int get(const std::string &path)
    {
        RawCaller caller(node->adminPort());
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        if (!caller.read()) {
            return 0;
        }
        lastBody = caller.body();
        return caller.status();
    }
    int metric(const std::string &name)
    {
        get("/metrics");
        const std::string key = "\ngalenafold_" + name + ' ';
        const std::size_t at = ('\n' + lastBody).find(key);
        return at == std::string::npos ? -1 : std::stoi(lastBody.substr(at + key.size() - 1));
    }
    std::unique_ptr<RawCaller> send(const std::string &bytes) const
    {
        auto caller = std::make_unique<RawCaller>(node->callerPort());
        caller->send(bytes);
        return caller;
    }

    FakeTopicStore store;
    RouterSettings settings;
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    std::unique_ptr<RouterNode> node;
    std::thread thread;
    std::string lastBody;
};

} // namespace galenafold
