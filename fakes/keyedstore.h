// A small stand-in for the platform's store: keyed topics, reads that wait, listings in pages, and what goes wrong
// there.
#pragma once

#include "clients/http.h"

#include <condition_variable>
#include <map>
#include <optional>

namespace galenafold
{

/// What the store does to calls at the moment.
enum class StoreTrouble : std::uint8_t {
    None,
    Busy,   // 503, nothing done
    Reset,  // the connection ends without an answer
    Silent, // accepts, and never answers while it lasts
    Held,   // answers once it is over
};

/// A route of a sample desired state; its host is app.example, its prefix its name, its service "svc".
struct SampleRoute {
    std::string name;
    std::string kind = "idempotent";
    int attempts = 1;
    bool isResumable = false;
    int timeoutMs = 20000;
};

/// @param keys of the one client account, "acme"; none: all routes are public @return a desired state, as the store
/// holds it
std::string sampleDesiredState(int version, const std::vector<SampleRoute> &routes,
                               const std::vector<std::string> &keys);

class FakeKeyedStore
{
public:
    FakeKeyedStore();
    ~FakeKeyedStore();

    bool start();
    std::string address() const; ///< @return IP:PORT

    /// Appends one record. @param value "" drops the key @return its offset
    std::int64_t put(const std::string &topic, const std::string &key, const std::string &value);

    void setTrouble(StoreTrouble trouble);
    void setPageSize(std::size_t records) { m_pageSize = records; }
    void cutHistory(const std::string &topic); ///< Older records can only be listed, not read.
    std::int64_t calls() const { return m_calls; }

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Topic {
        std::vector<Record> records;
        std::size_t firstRetained = 0;
    };

    bool isTroubled(httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void list(const httplib::Request &request, httplib::Response &response);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    StoreTrouble m_trouble = StoreTrouble::None;
    std::size_t m_pageSize = 500;
    std::atomic<std::int64_t> m_calls{0};
    bool m_isStopping = false;
    HttpServer m_server;
};

} // namespace galenafold
