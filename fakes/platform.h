// Small stand-ins for the platform: its append-only log, and its lagging list of VMs.
#pragma once

#include "clients/http.h"
#include "clients/log.h"

#include <atomic>
#include <map>

namespace galenafold
{

enum class LogFault : std::uint8_t {
    None,
    Outage,     // 503 to everything
    LoseAnswer, // takes the record, and closes without an answer
};

/// Decides the fault of one append. Called on the log's threads.
using LogFaultHook = std::function<LogFault(const std::string &stream)>;

/// Streams in memory. Thread-safe; also usable without HTTP, as a LogClient's back end in tests.
class LogStore
{
public:
    LogOffset append(const std::string &stream, const std::string &value, UnixMillis time);
    ReadResult read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait);
    void trim(const std::string &stream, LogOffset first); ///< Retention: forgets what is below.
    void wakeAll();

private:
    struct Stream {
        LogOffset first = 0;
        std::deque<StoredRecord> records;
    };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams;
};

class FakeLog
{
public:
    FakeLog();
    ~FakeLog();

    bool start(const std::string &address = "127.0.0.1");
    void stop();
    std::string address() const;
    void setOutage(bool isOut) { m_isOut = isOut; }
    void setFaultHook(LogFaultHook hook);
    LogStore &store() { return m_store; }
    std::int64_t appends() const { return m_appends; }

private:
    void append(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);

    LogStore m_store;
    HttpServer m_server;
    std::atomic<bool> m_isOut{false};
    std::atomic<std::int64_t> m_appends{0};
    std::mutex m_mutex;
    LogFaultHook m_faultHook;
    std::string m_address;
};

class FakeVmList
{
public:
    FakeVmList();
    ~FakeVmList();

    bool start(const std::string &address = "127.0.0.1");
    void stop();
    std::string address() const;
    void set(const std::vector<VmRecord> &list);
    void setLag(std::chrono::milliseconds lag); ///< The list served is as old as this.
    void setOutage(bool isOut) { m_isOut = isOut; }

private:
    std::string text() const;

    struct Version {
        Instant when{};
        std::vector<VmRecord> list;
    };
    HttpServer m_server;
    std::string m_address;
    std::atomic<bool> m_isOut{false};
    mutable std::mutex m_mutex;
    std::chrono::milliseconds m_lag{0};
    std::deque<Version> m_versions;
};

} // namespace galenafold
