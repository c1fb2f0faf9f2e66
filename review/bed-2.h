// Test bed of the second review: stand-ins of the store, of replicas and of clients, and the daemons as processes.
//
// Sections of this file: Time, Record, HTTP, Store, Replica, Client, Daemons.
//
// The stand-ins follow the users' pages (PROTOCOL.md, news). They share one process and use the real clock, loopback
// addresses and one thread for each connection.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bed
{

// Time

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

std::int64_t nowMs();             ///< @return milliseconds since the start of this process
void sleepMs(std::int64_t ms);    ///< Waits.
void sleepUntil(std::int64_t ms); ///< Waits until that time, in milliseconds since the start of this process.

/// @return false if TROUBLE=0 is set: the case is run without its disruption
bool hasTrouble();

// Record

/// Writes one line, with its time, to the record of the case. Thread-safe.
void note(const std::string &line);
void openRecord(const std::string &file); ///< Lines are written there from now on.

// HTTP

/// Head of a message: start line in three parts, header fields in order.
struct Message {
    std::string first;  // method, or version
    std::string second; // target, or status
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isComplete = false; // with its whole body

    std::string field(const std::string &name) const; ///< @return value, "" if absent; names without regard to case
    int status() const;                               ///< @return of a response; 0 if it is none
};

/// A blocking TCP connection.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(const std::string &bytes); ///< @return false if the connection is broken

    /// Reads the next message; one without length ends with the connection.
    /// @return nothing if the connection ended before its head was complete
    std::optional<Message> read(bool isResponse);

    bool waitReadable(std::int64_t ms) const; ///< @return true once there is input, or the end of the connection
    bool isClosedByPeer() const;              ///< @return true if the peer has closed or reset it; reads nothing
    void shutDown();                          ///< Ends it in order, from any thread.
    void reset();                             ///< Ends it with RST.
    int fd() const { return m_fd; }

private:
    bool fill();

    int m_fd;
    bool m_isBroken = false; // ended by an error, such as a reset
    std::string m_input;
};

std::shared_ptr<Connection> connectTo(const std::string &ip, int port); ///< @return null if that fails

/// Accepts connections on an address, and calls a function for each on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(const std::shared_ptr<Connection> &)>;

    /// @param port 0: a free one
    Listener(const std::string &ip, int port, Serve serve);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    int port() const { return m_port; }
    bool isOpen() const { return m_fd >= 0; }
    void stop(bool withReset); ///< Accepts no more, and ends all connections.

private:
    void accept();

    std::string m_ip;
    Serve m_serve;
    int m_fd = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::list<std::shared_ptr<Connection>> m_connections;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

// Store

/// The platform's store: keyed topics, one partition each.
class Store
{
public:
    Store();

    std::string address() const;
    std::int64_t put(const std::string &topic, const std::string &key, const std::string &value); ///< @return offset
    std::int64_t end(const std::string &topic); ///< @return offset of the next record

    void backUp(); ///< Takes the copy for a drill.

    /// A drill: the store is away and then back from the copy. Calls that come meanwhile, or wait for news, are
    /// answered when it is back. @param rewritten topics, keys and values that their writers write again at once
    void restore(std::int64_t awayMs, const std::vector<std::vector<std::string>> &rewritten);

    void stop() { m_listener->stop(true); }

private:
    struct Record {
        std::string key;
        std::string value;
    };

    void serve(const std::shared_ptr<Connection> &connection);
    std::string answer(const Message &request);
    std::string read(const std::map<std::string, std::string> &query);
    std::string list(const std::map<std::string, std::string> &query);
    std::string append(const std::map<std::string, std::string> &query, const std::string &body);
    std::string response(int status, const std::string &body) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Record>> m_topics;
    std::map<std::string, std::vector<Record>> m_copy;
    int m_era = 1;
    bool m_isAway = false;
    std::unique_ptr<Listener> m_listener;
};

// Replica

/// What happened to one request at a replica.
struct Arrival {
    std::string request;
    std::string from; // IP of the daemon
    std::int64_t at = 0;
    bool hasRun = false;
};

/// A replica of a service. It registers itself in the store, and answers after its work.
class Replica
{
public:
    struct Settings {
        std::string id;
        std::string service;
        std::string dataCentre = "zone-a";
        int slots = 6;
        std::int64_t workMs = 50;
        std::int64_t beatMs = 1200;
    };

    Replica(Store &store, Settings settings);
    ~Replica();

    std::string entry(); ///< @return its next entry in the registry, with a new number
    void beat();         ///< Writes it.
    void startBeats();   ///< Writes it again and again, until `stopBeats`.
    void stopBeats();
    void exit(); ///< Its process ends: all connections are cut off, requests that run are lost.

    std::string address() const;
    const std::string &id() const { return m_settings.id; }
    std::vector<Arrival> arrivals();
    std::string state = "ready"; // in its entries
    std::int64_t born = 1;       // in its entries

    /// Optional: answers in place of the usual answer. @return false: the connection ends
    std::function<bool(const Message &, const std::shared_ptr<Connection> &)> onRequest;

    std::string head(const Message &request, int status) const; ///< @return head of an answer, without its last line

private:
    void serve(const std::shared_ptr<Connection> &connection);

    Store &m_store;
    Settings m_settings;
    std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
    std::int64_t m_number = 0;
    std::atomic<bool> m_beats{false};
    std::thread m_beating;
    std::unique_ptr<Listener> m_listener;
};

// Client

/// How a request ended for its client.
struct Outcome {
    std::string request;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0; // 0: the connection ended without a complete answer
    std::string body;
};

std::string newRequestId(); ///< @return a new attempt id

/// @return a request as it is sent
std::string encodeRequest(const std::string &method, const std::string &path, const std::string &request,
                          const std::string &key, int deadlineMs, const std::string &body = "");

// Daemons

/// Settings of a deployment, as the platform renders `deploy/settings.ini.in`.
struct Deployment {
    int daemons = 1;
    std::string dataCentre = "zone-a";
    std::string store; // IP:PORT
    int memoryMb = 182;
    int descriptors = 2870;
    int drainMs = 2000;
    int stableWindowMs = 3000;
    int revokeMs = 5000;
    int graceS = 8;
};

/// The project's daemons as processes, each with an address of its own and the same ports.
class Daemons
{
public:
    explicit Daemons(const Deployment &deployment);
    ~Daemons() { stopAll(); }
    Daemons(const Daemons &) = delete;
    Daemons &operator=(const Daemons &) = delete;

    void stopAll();        ///< Kills those that still run, and removes their files.
    bool start(int index); ///< Starts one. @return false if that fails
    bool startAll();
    bool waitReady(int index, std::int64_t timeoutMs) const;
    bool isReady(int index) const;
    bool isRunning(int index); ///< @return false once its process has ended
    void signal(int index, int number) const;
    std::string ip(int index) const;
    int callers() const { return m_base; }
    std::string metrics(int index) const;                    ///< @return "" if it does not answer
    double metric(int index, const std::string &name) const; ///< @return value of a metric, -1 if absent

private:
    int admin() const { return m_base + 1; }
    int peers() const { return m_base + 2; }
    bool findPorts();
    void writeSettings(int index) const;

    Deployment m_deployment;
    std::string m_folder;
    int m_base = 0;
    std::vector<int> m_pids; // 0: not running
};

// Desired state

struct RouteSpec {
    std::string name;
    std::string kind;
    std::string service;
    int timeoutMs = 3000;
    int aimMs = 300;
    int attempts = 1;
    bool isResumable = false;
    int gapAimMs = 0;
};

/// @return a desired state in full. Routes have the host app.example and the path prefix /NAME/.
std::string desiredState(int version, const std::vector<RouteSpec> &routes,
                         const std::vector<std::pair<std::string, std::vector<std::string>>> &tenants);

// Verdict

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/// Writes the verdict and ends the process. @param broken number of events that break the rule
[[noreturn]] void finish(Daemons &daemons, const std::string &what, std::size_t broken);
[[noreturn]] void cannotRun(const std::string &why); ///< Ends the process: the case could not be run.

} // namespace bed
