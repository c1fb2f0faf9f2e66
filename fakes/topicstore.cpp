// Implements the fake of the users' platform's store: its HTTP interface, binary page format and faults.
#include "fakes/topicstore.h"

#include "net/status.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace galenafold
{

using Json = nlohmann::json;

constexpr std::size_t pieceBytes = 8192;         // of a body that is sent at a limited rate
constexpr std::size_t maxReadBytes = 1024 << 10; // of records in a response, unless the first one is larger

std::string sampleDesiredState(int version, const std::vector<SampleRoute> &routes,
                               const std::vector<std::string> &keys)
{
    Json list = Json::array();
    for (const SampleRoute &route : routes) {
        list.push_back({{"name", route.name},
                        {"host", "app.example"},
                        {"pathPrefix", "/" + route.name + "/"},
                        {"kind", route.kind},
                        {"timeoutMs", route.timeoutMs},
                        {"targetLatencyMs", 20000},
                        {"gapAimMs", 100},
                        {"service", "svc"},
                        {"maxAttempts", route.attempts},
                        {"public", keys.empty()},
                        {"sessionAffinity", route.hasAffinity},
                        {"streamResume", route.isResumable}});
    }
    const Json limits{
        {"maxHeaderBytes", 2000}, {"maxBodyBytes", 10000}, {"headerTimeoutMs", 300}, {"idleTimeoutMs", 60000}};
    return Json{{"version", version},
                {"routes", list},
                {"services", Json::array({{{"name", "svc"}, {"healthPath", "/health"}}})},
                {"limits", limits},
                {"tenants", Json::array({{{"name", "acme"}, {"apiKeys", keys}}})}}
        .dump();
}

static std::string partitionName(const std::string &topic, int partition)
{
    return partition == 0 ? topic : topic + '/' + std::to_string(partition);
}

static std::string partitionName(const httplib::Request &request)
{
    const std::string partition = request.get_param_value("part");
    return partitionName(request.get_param_value("topic"), partition.empty() ? 0 : std::stoi(partition));
}

static ServerLimits storeLimits()
{
    ServerLimits limits;
    limits.threads = 64;
    return limits;
}

FakeTopicStore::FakeTopicStore()
    : m_server(storeLimits())
{
    m_server.http().Get("/-/log-read", [this](const auto &request, auto &response) { read(request, response); });
    m_server.http().Get("/-/log-newest", [this](const auto &request, auto &response) { list(request, response); });
    m_server.http().Post("/-/log-append", [this](const auto &request, auto &response) { append(request, response); });
    m_server.http().set_post_routing_handler([this](const auto &, auto &response) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!response.has_header("Store-Era")) {
            response.set_header("Store-Era", std::to_string(m_era));
        }
    });
}

void FakeTopicStore::backUp()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_copy = m_topics;
}

void FakeTopicStore::restore(const std::vector<std::array<std::string, 3>> &rewritten)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_topics = m_copy;
    ++m_era;
    for (const auto &[topic, key, value] : rewritten) {
        m_topics[topic].records.push_back({key, value});
    }
    m_changed.notify_all();
}

FakeTopicStore::~FakeTopicStore()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

bool FakeTopicStore::start()
{
    return m_server.start("127.0.0.1", 0);
}

std::string FakeTopicStore::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

std::int64_t FakeTopicStore::put(const std::string &topic, const std::string &key, const std::string &value,
                                 int partition)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Record> &records = m_topics[partitionName(topic, partition)].records;
    records.push_back({key, value});
    m_changed.notify_all();
    return static_cast<std::int64_t>(records.size()) - 1;
}

std::vector<std::pair<std::string, std::string>> FakeTopicStore::records(const std::string &topic, int partition) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::pair<std::string, std::string>> records;
    const auto found = m_topics.find(partitionName(topic, partition));
    if (found != m_topics.end()) {
        for (const Record &record : found->second.records) {
            records.emplace_back(record.key, record.value);
        }
    }
    return records;
}

void FakeTopicStore::setFault(StoreFault fault)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fault = fault;
    m_changed.notify_all();
}

void FakeTopicStore::holdAppendAnswers(bool isOn)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_holdsAppendAnswers = isOn;
    m_changed.notify_all();
}

void FakeTopicStore::setRate(std::int64_t bytesPerSecond)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_bytesPerSecond = bytesPerSecond;
    m_changed.notify_all();
}

/// Waits until the rate allows more after these bytes. Responses in progress take turns. @return false if the store is
/// stopping
bool FakeTopicStore::waitForTurn(std::size_t bytes)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_bytesPerSecond == 0) {
        return !m_isStopping;
    }
    const std::chrono::duration<double> needed(static_cast<double>(bytes) / static_cast<double>(m_bytesPerSecond));
    m_busyUntil = std::max(m_busyUntil, clockNow()) + std::chrono::duration_cast<Duration>(needed);
    m_bytesServed += static_cast<std::int64_t>(bytes);
    const Instant turn = m_busyUntil;
    return !m_changed.wait_until(lock, turn, [this] { return m_isStopping; });
}

/// Sends a body at the store's rate, in small pieces.
void FakeTopicStore::sendBody(httplib::Response &response, std::string body, const char *contentType)
{
    const std::size_t size = body.size();
    response.set_content_provider(
        size, contentType,
        [this, body = std::move(body)](std::size_t offset, std::size_t length, httplib::DataSink &sink) {
            const std::size_t piece = std::min(length, pieceBytes);
            return sink.write(body.data() + offset, piece) && waitForTurn(piece);
        });
}

void FakeTopicStore::truncateHistory(const std::string &topic)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_topics[topic].firstRetained = m_topics[topic].records.size();
}

bool FakeTopicStore::applyFault(httplib::Response &response)
{
    ++m_requestCount;
    std::unique_lock<std::mutex> lock(m_mutex);
    const StoreFault fault = m_fault;
    if (fault == StoreFault::None) {
        return false;
    }
    if (fault == StoreFault::Unavailable) {
        response.status = statusUnavailable;
        return true;
    }
    if (fault == StoreFault::Delayed) {
        m_changed.wait(lock, [this] { return m_isStopping || m_fault != StoreFault::Delayed; });
        return false;
    }
    if (fault == StoreFault::NoResponse || fault == StoreFault::LateWrites) {
        m_changed.wait(lock, [this, fault] { return m_isStopping || m_fault != fault; });
    }
    // A content provider that fails makes the server close the connection during the response.
    response.set_content_provider(1, "text/plain", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    return true;
}

/// Appends an unsigned integer of `size` bytes.
static void appendBigEndian(std::string &out, std::uint64_t number, std::size_t size)
{
    for (std::size_t i = size; i > 0; --i) {
        out += static_cast<char>(number >> (8 * (i - 1)) & 0xffU);
    }
}

/// Page format, all integers big-endian: end (8 bytes), first retained offset (8), then for each record its size (4),
/// key size (1), key and value.
void FakeTopicStore::read(const httplib::Request &request, httplib::Response &response)
{
    if (applyFault(response)) {
        return;
    }
    const auto from = static_cast<std::size_t>(std::stoll(request.get_param_value("from")));
    const std::string waitMs = request.get_param_value("waitMs");
    const auto deadline = clockNow() + std::chrono::milliseconds(waitMs.empty() ? 0 : std::stoi(waitMs));
    std::unique_lock<std::mutex> lock(m_mutex);
    const int era = m_era;
    m_changed.wait_until(lock, deadline, [&] {
        const bool isRestored = m_era != era;
        const bool hasRecords = m_topics[partitionName(request)].records.size() > from;
        return m_isStopping || m_fault != StoreFault::None || isRestored || hasRecords;
    });
    const Topic &topic = m_topics[partitionName(request)];
    if (from < topic.firstRetained || from > topic.records.size()) {
        response.status = statusGone;
        response.set_content(Json{{"first", topic.firstRetained}}.dump(), "application/json");
        return;
    }
    std::string body;
    appendBigEndian(body, topic.records.size(), 8);
    appendBigEndian(body, topic.firstRetained, 8);
    for (std::size_t i = from; i < topic.records.size(); ++i) {
        const Record &record = topic.records[i];
        const std::size_t bytes = body.size() + record.key.size() + record.value.size();
        if (i > from && bytes > maxReadBytes) {
            break;
        }
        appendBigEndian(body, 1 + record.key.size() + record.value.size(), 4);
        appendBigEndian(body, record.key.size(), 1);
        body += record.key + record.value;
    }
    sendBody(response, std::move(body), "application/octet-stream");
}

/// Removes a big-endian integer of `size` bytes from the front.
static std::size_t takeBigEndian(std::string_view &bytes, std::size_t size)
{
    std::size_t number = 0;
    for (const char byte : bytes.substr(0, size)) {
        number = number << 8U | static_cast<unsigned char>(byte);
    }
    bytes.remove_prefix(std::min(size, bytes.size()));
    return number;
}

int FakeTopicStore::lateWrites() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<int>(m_lateWrites.size());
}

int FakeTopicStore::carryOutLateWrites()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto done = std::count_if(m_lateWrites.begin(), m_lateWrites.end(),
                                    [this](const httplib::Request &request) { return appendRecords(request); });
    m_lateWrites.clear();
    return static_cast<int>(done);
}

/// Body format, all integers big-endian: for each record its size (4 bytes), key size (1), key and value. The mutex is
/// held. @return false if the condition does not hold
bool FakeTopicStore::appendRecords(const httplib::Request &request)
{
    std::vector<Record> &records = m_topics[partitionName(request)].records;
    if (request.has_param("at") && request.get_param_value("at") != std::to_string(records.size())) {
        return false;
    }
    std::string_view body = request.body;
    while (!body.empty()) {
        const std::size_t size = takeBigEndian(body, 4);
        std::string_view record = body.substr(0, size);
        body.remove_prefix(record.size());
        const std::size_t keySize = takeBigEndian(record, 1);
        records.push_back({std::string(record.substr(0, keySize)), std::string(record.substr(keySize))});
    }
    m_changed.notify_all();
    return true;
}

void FakeTopicStore::append(const httplib::Request &request, httplib::Response &response)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_fault == StoreFault::LateWrites) {
            m_lateWrites.push_back(request);
        }
    }
    if (applyFault(response)) {
        return;
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::vector<Record> &records = m_topics[partitionName(request)].records;
    const std::size_t offset = records.size();
    if (!appendRecords(request)) {
        response.status = statusPreconditionFailed;
        response.set_content(Json{{"end", offset}}.dump(), "application/json");
        return;
    }
    response.set_content(Json{{"offset", offset}, {"end", records.size()}}.dump(), "application/json");
    response.set_header("Store-Era", std::to_string(m_era)); // of the append, also if it is answered later
    if (m_holdsAppendAnswers) {
        ++m_heldAnswers;
        m_changed.wait(lock, [this] { return m_isStopping || !m_holdsAppendAnswers; });
    }
}

static std::string encodeBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

void FakeTopicStore::list(const httplib::Request &request, httplib::Response &response)
{
    if (applyFault(response)) {
        return;
    }
    const std::string after = request.get_param_value("after");
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Topic &topic = m_topics[partitionName(request)];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < topic.records.size(); ++i) {
        newest[topic.records[i].key] = i;
    }
    Json items = Json::array();
    std::size_t bytes = 0;
    bool isTruncated = false;
    for (const auto &[key, offset] : newest) {
        if (key <= after || topic.records[offset].value.empty()) {
            continue;
        }
        bytes += topic.records[offset].value.size();
        if (items.size() == m_pageSize || (!items.empty() && bytes > maxReadBytes)) {
            isTruncated = true;
            break;
        }
        items.push_back({{"key", key}, {"value", encodeBase64(topic.records[offset].value)}, {"offset", offset}});
    }
    const Json page{{"items", items}, {"truncated", isTruncated}, {"end", topic.records.size()}};
    sendBody(response, page.dump(), "application/json");
}

} // namespace galenafold
