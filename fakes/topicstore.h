// Fake of the users' platform's store over HTTP, in memory: topics of keyed records in partitions, long-poll reads,
// paged listings of the newest record of each key, conditional appends, a limited rate, truncated history, restores
// from a copy and injected faults. Also a sample desired state.
#pragma once

#include "clients/http.h"

#include <array>
#include <condition_variable>
#include <map>
#include <optional>

namespace galenafold
{

/// How the store treats requests while the fault is set.
enum class StoreFault : std::uint8_t {
    None,
    Unavailable,     // responds 503 and does nothing
    CloseConnection, // closes the connection without a complete response
    NoResponse,      // does not respond; closes the connections of these requests when the fault ends
    Delayed,         // delays the processing of requests until the fault ends
    LateWrites,      // like NoResponse, but appends are kept for `carryOutLateWrites`
};

/// One route of a sample desired state. Its host is app.example, its path prefix its name, its service "svc".
struct SampleRoute {
    std::string name;
    std::string kind = "idempotent";
    int attempts = 1;         // maximum number of replicas that a request is sent to
    bool isResumable = false; // another replica can resume a stream
    int timeoutMs = 20000;    // maximum time that a caller waits for a response
    bool hasAffinity = false; // requests name the parts of their prompts
};

/// @param keys API keys of the only client account, "acme"; if empty, all routes are public
/// @return a desired state as JSON, in the form in which the store holds it
std::string sampleDesiredState(int version, const std::vector<SampleRoute> &routes,
                               const std::vector<std::string> &keys);

class FakeTopicStore
{
public:
    FakeTopicStore();
    ~FakeTopicStore();

    bool start();                ///< Listens on a free port of the loopback address. @return false if that fails
    std::string address() const; ///< @return IP:PORT

    /// Appends one record. @param value empty for a tombstone, which deletes the key @return the record's offset
    std::int64_t put(const std::string &topic, const std::string &key, const std::string &value, int partition = 0);

    /// @return key and value of all records so far, in their order
    std::vector<std::pair<std::string, std::string>> records(const std::string &topic, int partition = 0) const;

    void setFault(StoreFault fault); ///< Also wakes waiting requests.

    /// While on, appends take effect but are not answered.
    void holdAppendAnswers(bool isOn);
    int heldAnswers() const { return m_heldAnswers; } ///< @return appends that took effect and were held so far

    /// Carries out the appends that were kept, if their condition holds now. @return how many of them it did
    int carryOutLateWrites();
    int lateWrites() const; ///< @return appends that are kept

    void setPageSize(std::size_t records) { m_pageSize = records; } ///< Of listings; default 500.

    /// Excludes the present records from reads. Listings still contain them.
    void truncateHistory(const std::string &topic);

    /// Limits the rate at which all responses to reads and listings together are sent. A response takes its part also
    /// after its reader has gone. @param bytesPerSecond 0: no limit
    void setRate(std::int64_t bytesPerSecond);

    std::int64_t bytesServed() const { return m_bytesServed; } ///< @return bytes of bodies sent while a rate was set

    void backUp(); ///< Keeps a copy of all topics for `restore`.

    /// Brings back the copy: what came since is lost, and its offsets are given out again. Then appends what its
    /// writers write again, all before any request is served. Each response tells how often that has happened.
    /// @param rewritten topic, key and value of each record
    void restore(const std::vector<std::array<std::string, 3>> &rewritten = {});

    std::int64_t requestCount() const { return m_requestCount; } ///< @return requests received so far

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Topic {
        std::vector<Record> records;
        std::size_t firstRetained = 0; // offset of the oldest record that can be read
    };

    /// Counts the request and applies the current fault. @return true if the fault has set the response
    bool applyFault(httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void list(const httplib::Request &request, httplib::Response &response);
    void append(const httplib::Request &request, httplib::Response &response);
    bool appendRecords(const httplib::Request &request);
    void sendBody(httplib::Response &response, std::string body, const char *contentType);
    bool waitForTurn(std::size_t bytes);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics; // by partition
    std::map<std::string, Topic> m_copy;
    int m_era = 1; // rises with each restore
    StoreFault m_fault = StoreFault::None;
    std::size_t m_pageSize = 500;
    std::int64_t m_bytesPerSecond = 0; // of all responses together; 0: no limit
    Instant m_busyUntil{};             // the bytes so far are sent then
    std::atomic<std::int64_t> m_bytesServed{0};
    std::atomic<std::int64_t> m_requestCount{0};
    std::atomic<int> m_heldAnswers{0};
    bool m_holdsAppendAnswers = false;
    std::vector<httplib::Request> m_lateWrites; // unanswered appends
    bool m_isStopping = false;
    HttpServer m_server;
};

} // namespace galenafold
