// Fakes of the platform's services over HTTP, in memory: the append-only log, and the list of VMs, which may lag.
#pragma once

#include "clients/http.h"
#include "clients/log.h"

#include <atomic>
#include <map>

namespace galenafold
{

enum class LogFault : std::uint8_t {
    None,
    Unavailable,  // responds 503 and appends nothing
    DropResponse, // appends the record, then closes the connection without a complete response
};

/// Selects the fault of one append over HTTP. Called on the log's server threads.
using LogFaultHook = std::function<LogFault(const std::string &stream)>;

/// Log streams in memory. Thread-safe; tests also use it without HTTP, as the back end of a LogClient.
class LogStore
{
public:
    /// @param time timestamp of the record @return the record's offset
    LogOffset append(const std::string &stream, const std::string &value, UnixMillis time);

    /// @param from first offset to read @param wait how long to wait if there is no such record yet
    ReadResult read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait);

    /// Deletes the oldest records, as a retention limit does. @param first offset of the oldest record to keep
    void trim(const std::string &stream, LogOffset first);

    void wakeAll(); ///< Makes waiting reads check for new records.

private:
    struct Stream {
        LogOffset first = 0;
        std::deque<StoredRecord> records;
    };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams;
};

/// HTTP server for a LogStore.
class FakeLog
{
public:
    FakeLog();
    ~FakeLog();

    /// Listens on a free port of an IP address. @return false if that fails
    bool start(const std::string &address = "127.0.0.1");
    void stop();
    std::string address() const; ///< @return IP:PORT

    /// While true, appends and reads get a 503 response.
    void setUnavailable(bool isUnavailable) { m_isUnavailable = isUnavailable; }

    void setFaultHook(LogFaultHook hook);
    LogStore &store() { return m_store; }
    std::int64_t appends() const { return m_appends; } ///< @return records appended over HTTP

private:
    void append(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);

    LogStore m_store;
    HttpServer m_server;
    std::atomic<bool> m_isUnavailable{false};
    std::atomic<std::int64_t> m_appends{0};
    std::mutex m_mutex;
    LogFaultHook m_faultHook;
    std::string m_address;
};

/// HTTP server for the list of VMs. It keeps earlier versions, so that it can serve an outdated one.
class FakeVmList
{
public:
    FakeVmList();
    ~FakeVmList();

    /// Listens on a free port of an IP address. @return false if that fails
    bool start(const std::string &address = "127.0.0.1");
    void stop();
    std::string address() const;                 ///< @return IP:PORT
    void set(const std::vector<VmRecord> &list); ///< Publishes a new version of the list.
    void setLag(std::chrono::milliseconds lag);  ///< Delay until a version is served, except the first; default 0.

    /// While true, requests get a 503 response.
    void setUnavailable(bool isUnavailable) { m_isUnavailable = isUnavailable; }

private:
    std::string text() const; ///< @return the list to serve now, as JSON

    struct Version {
        Instant when{};
        std::vector<VmRecord> list;
    };
    HttpServer m_server;
    std::string m_address;
    std::atomic<bool> m_isUnavailable{false};
    mutable std::mutex m_mutex;
    std::chrono::milliseconds m_lag{0};
    std::deque<Version> m_versions; // oldest first
};

} // namespace galenafold
