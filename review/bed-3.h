// Bed of the third review: routers as processes of their own on loopback, the project's stand-ins of the store and of
// replicas, and callers that read event streams.
//
// Sections of this file: Record, Routers, Replicas, Callers.
#pragma once

#include "fakes/replica.h"
#include "fakes/topicstore.h"

#include <condition_variable>
#include <fstream>
#include <sys/types.h>

namespace galenafold
{

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

bool hasTrouble(); ///< @return false if the environment has TROUBLE=0

/// @return the file to which a script writes what was sent, answered and run
std::string recordFile();

// Record

/// Lines of record.txt, each with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Instant m_startedAt;
};

// Routers

/// Ports that are free on the addresses of all routers.
struct RouterPorts {
    int callers = 0;
    int admin = 0;
    int peers = 0;
};

/// @return ports of a fleet at 127.0.0.`first` and the following addresses; 0 if there are none
RouterPorts freePorts(int first, int count);

/// One galenafoldd with the settings of deploy/settings.ini.in, killed at the end of its life.
class RouterProcess
{
public:
    /// @param host last number of its address 127.0.0.N @param seeds addresses IP:PORT, separated by commas
    /// @param zone kl-a or kl-b
    RouterProcess(const std::string &folder, int host, const RouterPorts &ports, const std::string &store,
                  const std::string &seeds, const std::string &zone = "kl-a");
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    void start();
    void signal(int number) const;
    void killAndWait(); ///< SIGKILL.
    bool hasEnded();    ///< @return true once the process has ended by itself or by a signal
    bool isReady() const;
    bool waitUntilReady(std::chrono::seconds longest) const;

    const std::string &ip() const { return m_ip; }
    int callersPort() const { return m_ports.callers; }

private:
    std::string m_ip;
    RouterPorts m_ports;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = -1;
};

/// Temporary folder, removed at the end of its life.
class WorkFolder
{
public:
    WorkFolder();
    ~WorkFolder();
    WorkFolder(const WorkFolder &) = delete;
    WorkFolder &operator=(const WorkFolder &) = delete;
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

// Replicas

/// Writes the registry entries of replicas when they start and every 1.2 s. While the store is down nothing is written.
class Registry
{
public:
    explicit Registry(FakeTopicStore &store);
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    void add(FakeReplica &replica, const std::string &version);

    /// A replica has started anew under its id, with this version of its software.
    void onStarted(FakeReplica &replica, const std::string &version);

    void setStoreDown(bool isDown); ///< While down, calls get no answer.

private:
    struct Entry {
        FakeReplica *replica = nullptr;
        std::int64_t startedMs = 0;
    };
    void write(const Entry &entry);
    void run();

    FakeTopicStore &m_store;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Entry> m_entries;
    bool m_isStoreDown = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

// Callers

struct StreamEvent {
    std::int64_t id = 0;
    std::string data;
};

struct StreamAnswer {
    int status = 0;          // 0: none
    bool isComplete = false; // the response has ended in good order
    std::string retryAfter;
    std::vector<StreamEvent> events;
};

/// What a caller sends, and when it breaks its channel off.
struct StreamCall {
    std::string ip;
    int port = 0;
    std::string request;              // bytes
    std::size_t breaksAfter = 100000; // events; the channel is then reset
    std::chrono::milliseconds longest = std::chrono::seconds(12);
};

StreamAnswer callStream(const StreamCall &call);

} // namespace galenafold
