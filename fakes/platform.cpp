// Implements the fakes of the platform's log and list of VMs.
//
// Sections of this file: Log store, Log, VM list.
#include "fakes/platform.h"

#include "clients/endpoint.h"
#include "control/loadview.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr std::size_t maxRecordsPerRead = 1000;
constexpr std::size_t maxVersions = 1000; // of the list of VMs

// Log store

LogOffset LogStore::append(const std::string &stream, const std::string &value, UnixMillis time)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Stream &entry = m_streams[stream];
    const LogOffset offset = entry.first + static_cast<LogOffset>(entry.records.size());
    entry.records.push_back({offset, time, value});
    m_changed.notify_all();
    return offset;
}

ReadResult LogStore::read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto hasNewRecords = [&] {
        const Stream &entry = m_streams[stream];
        return entry.first + static_cast<LogOffset>(entry.records.size()) > from;
    };
    m_changed.wait_for(lock, wait, hasNewRecords);
    const Stream &entry = m_streams[stream];
    ReadResult result;
    result.isOk = true;
    result.firstRetained = entry.first;
    result.end = entry.first + static_cast<LogOffset>(entry.records.size());
    for (LogOffset offset = std::max(from, entry.first); offset < result.end; ++offset) {
        result.records.push_back(entry.records[static_cast<std::size_t>(offset - entry.first)]);
        if (result.records.size() >= maxRecordsPerRead) {
            break;
        }
    }
    return result;
}

void LogStore::trim(const std::string &stream, LogOffset first)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Stream &entry = m_streams[stream];
    while (entry.first < first && !entry.records.empty()) {
        entry.records.pop_front();
        ++entry.first;
    }
}

void LogStore::wakeAll()
{
    m_changed.notify_all();
}

// Log

FakeLog::FakeLog()
    : m_server(ServerLimits{})
{
    m_server.http().Post(
        R"(/streams/([A-Za-z0-9_-]+)/records)",
        [this](const httplib::Request &request, httplib::Response &response) { append(request, response); });
    m_server.http().Get(
        R"(/streams/([A-Za-z0-9_-]+)/records)",
        [this](const httplib::Request &request, httplib::Response &response) { read(request, response); });
}

FakeLog::~FakeLog()
{
    stop();
}

bool FakeLog::start(const std::string &address)
{
    const bool isStarted = m_server.start(address, 0);
    m_address = address + ':' + std::to_string(m_server.port());
    return isStarted;
}

void FakeLog::stop()
{
    m_server.stop();
}

std::string FakeLog::address() const
{
    return m_address;
}

void FakeLog::setFaultHook(LogFaultHook hook)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faultHook = std::move(hook);
}

void FakeLog::append(const httplib::Request &request, httplib::Response &response)
{
    const std::string stream = request.matches[1].str();
    LogFaultHook hook;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hook = m_faultHook;
    }
    const LogFault fault = m_isUnavailable ? LogFault::Unavailable : hook ? hook(stream) : LogFault::None;
    const Json body = Json::parse(request.body, nullptr, false);
    if (fault == LogFault::Unavailable) {
        response.status = 503;
        return;
    }
    if (!body.is_object() || !body.contains("value")) {
        response.status = 400;
        return;
    }
    ++m_appends;
    const LogOffset offset = m_store.append(stream, body["value"].get<std::string>(), unixNow());
    if (fault == LogFault::DropResponse) {
        // A content provider that fails makes the server close the connection during the response.
        response.set_content_provider(10, "application/json",
                                      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        return;
    }
    response.set_content(Json{{"offset", offset}}.dump(), "application/json");
}

void FakeLog::read(const httplib::Request &request, httplib::Response &response)
{
    if (m_isUnavailable) {
        response.status = 503;
        return;
    }
    const LogOffset from = std::atoll(request.get_param_value("from").c_str());
    const std::chrono::milliseconds wait(std::atoi(request.get_param_value("wait_ms").c_str()));
    const ReadResult result = m_store.read(request.matches[1].str(), from, wait);
    Json records = Json::array();
    for (const StoredRecord &record : result.records) {
        records.push_back({{"offset", record.offset}, {"time_ms", record.time.count()}, {"value", record.value}});
    }
    const Json json{{"first", result.firstRetained}, {"end", result.end}, {"records", records}};
    response.set_content(json.dump(), "application/json");
}

// VM list

FakeVmList::FakeVmList()
    : m_server(ServerLimits{})
{
    m_server.http().Get("/vms", [this](const httplib::Request &request, httplib::Response &response) {
        const std::string body = text();
        const std::string etag = '"' + std::to_string(hashName(body)) + '"';
        const bool isUnmodified = request.get_header_value("If-None-Match") == etag;
        response.set_header("ETag", etag);
        response.status = m_isUnavailable ? 503 : isUnmodified ? 304 : 200;
        if (response.status == 200) {
            response.set_content(body, "application/json");
        }
    });
}

FakeVmList::~FakeVmList()
{
    stop();
}

bool FakeVmList::start(const std::string &address)
{
    const bool isStarted = m_server.start(address, 0);
    m_address = address + ':' + std::to_string(m_server.port());
    return isStarted;
}

void FakeVmList::stop()
{
    m_server.stop();
}

std::string FakeVmList::address() const
{
    return m_address;
}

void FakeVmList::set(const std::vector<VmRecord> &list)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_versions.push_back({clockNow(), list});
    if (m_versions.size() > maxVersions) {
        m_versions.pop_front();
    }
}

void FakeVmList::setLag(std::chrono::milliseconds lag)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_lag = lag;
}

std::string FakeVmList::text() const
{
    static const char *const kinds[] = {"entry", "engine", "service"};
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<VmRecord> list = m_versions.empty() ? std::vector<VmRecord>() : m_versions.front().list;
    for (const Version &version : m_versions) {
        if (version.when + m_lag <= clockNow()) {
            list = version.list;
        }
    }
    Json vms = Json::array();
    for (const VmRecord &record : list) {
        Json pools = Json::array();
        for (const PoolId &pool : record.pools) {
            pools.push_back(pool.text);
        }
        vms.push_back({{"id", record.id.text},
                       {"kind", kinds[static_cast<int>(record.kind)]},
                       {"state", record.state == VmState::Leaving ? "leaving" : "live"},
                       {"incarnation", static_cast<std::uint64_t>(record.incarnation)},
                       {"address", record.address},
                       {"port", record.port},
                       {"peer_port", record.peerPort},
                       {"data_centre", record.dataCentre.text},
                       {"pools", pools}});
    }
    return Json{{"vms", vms}}.dump();
}

} // namespace galenafold
