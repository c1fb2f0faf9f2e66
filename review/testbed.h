// What the cases of the review share: a router as a process of its own, stand-ins of the store and of replicas, and
// callers with blocking sockets.
//
// Sections of this file: Record, Caller, Router, Testbed.
#pragma once

#include "fakes/replica.h"
#include "fakes/topicstore.h"

#include <cstdio>
#include <sys/types.h>

namespace galenafold
{

constexpr int exitHeld = 0;   // the rule held
constexpr int exitBroken = 1; // the rule was broken
constexpr int exitNotRun = 2; // the case could not run

constexpr int ethernetSegmentBytes = 1460; // largest TCP segment of an Ethernet link

/// @return false if the environment variable TROUBLE is 0: the case then runs without its disruption
bool hasTrouble();

/// @return time span in milliseconds
std::int64_t millisOf(Duration span);

// Record

/// The file in which a case writes what was sent, answered and run. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    bool isOpen() const { return m_file != nullptr; }
    void note(const std::string &text); ///< Adds a line, with the milliseconds since the start of the case.

private:
    std::FILE *m_file;
    std::mutex m_mutex;
    Instant m_startedAt = clockNow();
};

// Caller

/// How the wait for a response ended.
enum class ResponseEnd : std::uint8_t {
    Complete, // the response is complete
    Closed,   // the connection ended before
    Late,     // the deadline passed before
};

struct CallerResponse {
    ResponseEnd end = ResponseEnd::Late;
    bool hasHead = false;
    ResponseHead head; // valid if `hasHead`
    std::string body;
};

/// A caller's connection to the router, with a blocking socket.
class Caller
{
public:
    /// @param receiveBytes size of the socket's receive buffer, which also sets the segment size of an Ethernet link;
    /// 0: the defaults of the loopback interface, whose large segments let a sender buffer megabytes
    explicit Caller(int port, int receiveBytes = 0);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    bool isConnected() const { return m_isConnected; }
    bool send(std::string_view bytes); ///< @return false if the connection is broken

    /// Reads one response. @param bytesPerSecond limit on the rate; 0: none
    CallerResponse read(Instant deadline, std::int64_t bytesPerSecond = 0);

private:
    bool waitReadable(Instant deadline) const;

    int m_socket = -1;
    bool m_isConnected = false;
    std::string m_unparsed; // read, but not part of a response yet
};

/// @param segmentBytes largest TCP segment of its connections; 0: the loopback interface's @return a socket that
/// listens on a free port of the loopback address; -1 if that fails
int listenOnLoopback(int segmentBytes = 0);

int portOf(int listener); ///< @return the port on which a socket listens

/// @return a request in the form of the pages, with the API key of the testbed
/// @param extraHeaders header lines, each with its CRLF
std::string callerRequest(const std::string &method, const std::string &path, const std::string &id, int timeoutMs,
                          const std::string &body = "", const std::string &extraHeaders = "");

// Router

/// The router's program as a process of its own, started with the command of the deploy file.
class Router
{
public:
    explicit Router(std::string store); ///< @param store address of the store, IP:PORT
    ~Router();                          ///< Kills the process and removes its temporary folder.
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    bool start();
    void signal(int number) const;
    bool waitForExit(Instant deadline); ///< @return false if the process still runs at the deadline
    bool isReady() const;               ///< @return true if its readiness probe is answered with 200
    int usableReplicas() const;         ///< @return replicas that it would send requests to; -1: not known
    std::int64_t residentBytes() const; ///< @return memory of the process
    int callerPort() const { return m_callerPort; }

private:
    std::string ask(const std::string &path) const;

    std::string m_store;
    std::string m_folder;
    pid_t m_pid = -1;
    int m_callerPort = 0;
    int m_adminPort = 0;
};

// Testbed

/// A route of the testbed, as in the site file.
struct TestRoute {
    std::string name;    // also the path prefix
    std::string kind;    // idempotent, non_idempotent or streaming
    std::string service; // its replicas
    int timeoutMs = 0;
    int objectiveMs = 0;
    int attempts = 1;
    int gapMs = 0; // longest pause between events; 0: no stream
};

/// Store, replicas and one router. Replicas write their heartbeats.
class Testbed
{
public:
    Testbed();
    ~Testbed();
    Testbed(const Testbed &) = delete;
    Testbed &operator=(const Testbed &) = delete;

    FakeReplica &addReplica(const std::string &id, const std::string &service, ReplicaScript script);

    /// Registers a replica that the case runs itself.
    void addReplica(const std::string &id, const std::string &service, int port);

    /// Publishes the routes, starts the router and waits until it is ready and has been in touch for
    /// `stableWindowMs`. @return false if that fails
    bool start(const std::vector<TestRoute> &routes);

    /// A replica has crashed: it writes no heartbeat until it is back, as a new run of its process.
    void onCrash(const std::string &id, Duration downTime);

    Router &router() { return m_router; }

private:
    void writeHeartbeats();

    /// A replica in the registry.
    struct Entry {
        std::string id;
        std::string service;
        int port = 0;
        std::unique_ptr<FakeReplica> replica; // null if the case runs it
        std::int64_t startedMs = 0;           // start of its process, in Unix milliseconds
        std::int64_t heartbeats = 0;          // since then
        Instant nextHeartbeat{};
    };
    void addEntry(Entry entry);
    FakeTopicStore m_store;
    bool m_isStoreStarted;
    Router m_router;
    std::mutex m_mutex; // of the entries, once the heartbeats have begun
    std::vector<Entry> m_replicas;
    std::thread m_heartbeats;
    std::atomic<bool> m_isStopping{false};
};

} // namespace galenafold
