// Implements the test bed of the second review.
//
// Sections of this file: Time, Record, HTTP, Store, Replica, Client, Daemons, Desired state, Verdict.
#include "review/bed-2.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bed
{

// Time

static const Clock::time_point processStart = Clock::now();

std::int64_t nowMs()
{
    return std::chrono::duration_cast<Millis>(Clock::now() - processStart).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(Millis(ms));
}

void sleepUntil(std::int64_t ms)
{
    std::this_thread::sleep_until(processStart + Millis(ms));
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

// Record

static std::mutex recordMutex;
static std::ofstream recordFile;

void openRecord(const std::string &file)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    recordFile.open(file, std::ios::trunc);
}

void note(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    recordFile << nowMs() << ' ' << line << '\n';
}

// HTTP

static bool isSameName(const std::string &a, const std::string &b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[key, value] : fields) {
        if (isSameName(key, name)) {
            return value;
        }
    }
    return "";
}

int Message::status() const
{
    return std::atoi(second.c_str());
}

Connection::~Connection()
{
    ::close(m_fd);
}

bool Connection::send(const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t size = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool Connection::fill()
{
    char buffer[65536];
    const ssize_t size = ::recv(m_fd, buffer, sizeof buffer, 0);
    if (size <= 0) {
        m_isBroken = size < 0;
        return false;
    }
    m_input.append(buffer, static_cast<std::size_t>(size));
    return true;
}

bool Connection::waitReadable(std::int64_t ms) const
{
    if (!m_input.empty()) {
        return true;
    }
    pollfd entry{m_fd, POLLIN, 0};
    return ::poll(&entry, 1, static_cast<int>(ms)) > 0;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t size = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutDown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

void Connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(m_fd, SHUT_RD);
}

/// @return start line and fields of a head without its last, empty line
static Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream start(line);
    start >> message.first >> message.second;
    while (std::getline(lines, line)) {
        line.erase(line.find_last_not_of("\r\n") + 1);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
    return message;
}

std::optional<Message> Connection::read(bool isResponse)
{
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    Message message = parseHead(m_input.substr(0, end));
    m_input.erase(0, end + 4);
    if (isSameName(message.field("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t line = 0;
            while ((line = m_input.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return message;
                }
            }
            const std::size_t size = std::strtoul(m_input.c_str(), nullptr, 16);
            while (m_input.size() < line + 2 + size + 2) {
                if (!fill()) {
                    return message;
                }
            }
            message.body += m_input.substr(line + 2, size);
            m_input.erase(0, line + 2 + size + 2);
            if (size == 0) {
                message.isComplete = true;
                return message;
            }
        }
    }
    const std::string length = message.field("Content-Length");
    if (length.empty() && isResponse) {
        while (fill()) { }
        message.body = std::move(m_input);
        message.isComplete = !m_isBroken;
        return message;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (m_input.size() < size) {
        if (!fill()) {
            message.body = std::move(m_input);
            return message;
        }
    }
    message.body = m_input.substr(0, size);
    m_input.erase(0, size);
    message.isComplete = true;
    return message;
}

static sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

static void setNoDelay(int fd)
{
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

std::shared_ptr<Connection> connectTo(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    setNoDelay(fd);
    return std::make_shared<Connection>(fd);
}

Listener::Listener(const std::string &ip, int port, Serve serve)
    : m_ip(ip)
    , m_serve(std::move(serve))
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = socketAddress(ip, port);
    socklen_t size = sizeof address;
    if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), size) != 0 || ::listen(m_fd, 512) != 0) {
        ::close(m_fd);
        m_fd = -1;
        return;
    }
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    stop(true);
}

void Listener::accept()
{
    while (!m_isStopping) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        setNoDelay(fd);
        const auto connection = std::make_shared<Connection>(fd);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] {
            m_serve(connection);
            connection->shutDown();
            const std::lock_guard<std::mutex> inner(m_mutex);
            m_connections.remove(connection);
        });
    }
}

void Listener::stop(bool withReset)
{
    if (m_isStopping.exchange(true) || m_fd < 0) {
        return;
    }
    ::shutdown(m_fd, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_fd);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto &connection : m_connections) {
            if (withReset) {
                connection->reset();
            }
            connection->shutDown();
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

// Store

static std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::istringstream parts(target.substr(std::min(target.find('?'), target.size() - 1) + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos) {
            query[part.substr(0, equals)] = part.substr(equals + 1);
        }
    }
    return query;
}

static std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>(number >> (8U * static_cast<unsigned>(i)) & 0xffU);
    }
    return text;
}

static std::string base64(const std::string &bytes)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : digits[group >> (6U * (3U - static_cast<unsigned>(j))) & 0x3fU];
        }
    }
    return text;
}

Store::Store()
{
    m_listener = std::make_unique<Listener>("127.0.0.1", 0, [this](const auto &connection) { serve(connection); });
}

std::string Store::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener->port());
}

std::int64_t Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Record> &records = m_topics[topic];
    records.push_back({key, value});
    m_changed.notify_all();
    return static_cast<std::int64_t>(records.size()) - 1;
}

std::int64_t Store::end(const std::string &topic)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::int64_t>(m_topics[topic].size());
}

void Store::backUp()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_copy = m_topics;
}

void Store::restore(std::int64_t awayMs, const std::vector<std::vector<std::string>> &rewritten)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isAway = true;
    }
    sleepMs(awayMs);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_topics = m_copy;
    ++m_era;
    m_isAway = false;
    for (const auto &record : rewritten) {
        m_topics[record[0]].push_back({record[1], record[2]});
    }
    m_changed.notify_all();
}

std::string Store::response(int status, const std::string &body) const
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nStore-Era: " + std::to_string(m_era)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Store::serve(const std::shared_ptr<Connection> &connection)
{
    constexpr std::int64_t answerMs = 4;
    while (const auto request = connection->read(false)) {
        sleepMs(answerMs);
        if (!connection->send(answer(*request))) {
            return;
        }
    }
}

std::string Store::answer(const Message &request)
{
    const auto query = queryOf(request.second);
    const std::string path = request.second.substr(0, request.second.find('?'));
    if (path == "/-/log-read") {
        return read(query);
    }
    if (path == "/-/log-newest") {
        return list(query);
    }
    if (path == "/-/log-append") {
        return append(query, request.body);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    return response(404, "");
}

std::string Store::read(const std::map<std::string, std::string> &query)
{
    const auto wait = query.find("waitMs");
    const auto until = Clock::now() + Millis(wait == query.end() ? 0 : std::atoll(wait->second.c_str()));
    const auto from = static_cast<std::size_t>(std::atoll(query.at("from").c_str()));
    std::unique_lock<std::mutex> lock(m_mutex);
    const int era = m_era;
    m_changed.wait_until(lock, until,
                         [&] { return !m_isAway && (m_era != era || m_topics[query.at("topic")].size() > from); });
    m_changed.wait(lock, [&] { return !m_isAway; });
    const std::vector<Record> &records = m_topics[query.at("topic")];
    if (from > records.size()) {
        return response(410, R"({"first":0})");
    }
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        const Record &record = records[i];
        body += bigEndian(1 + record.key.size() + record.value.size(), 4) + bigEndian(record.key.size(), 1);
        body += record.key + record.value;
    }
    return response(200, body);
}

std::string Store::list(const std::map<std::string, std::string> &query)
{
    constexpr std::size_t pageItems = 500;
    const auto after = query.find("after");
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return !m_isAway; });
    const std::vector<Record> &records = m_topics[query.at("topic")];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
        newest[records[i].key] = i;
    }
    std::string items;
    std::size_t count = 0;
    for (const auto &[key, offset] : newest) {
        const bool isBefore = after != query.end() && key <= after->second;
        if (isBefore || records[offset].value.empty()) {
            continue;
        }
        if (++count > pageItems) {
            break;
        }
        items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
            + base64(records[offset].value) + R"(","offset":)" + std::to_string(offset) + "}";
    }
    return response(200,
                    R"({"items":[)" + items + R"(],"truncated":)" + (count > pageItems ? "true" : "false")
                        + R"(,"end":)" + std::to_string(records.size()) + "}");
}

std::string Store::append(const std::map<std::string, std::string> &query, const std::string &body)
{
    const auto at = query.find("at");
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return !m_isAway; });
    std::vector<Record> &records = m_topics[query.at("topic")];
    const std::string end = std::to_string(records.size());
    if (at != query.end() && at->second != end) {
        return response(412, R"({"end":)" + end + "}");
    }
    for (std::size_t i = 0; i + 5 <= body.size();) {
        std::size_t size = 0;
        for (std::size_t j = 0; j < 4; ++j) {
            size = size << 8U | static_cast<unsigned char>(body[i + j]);
        }
        const std::size_t keySize = static_cast<unsigned char>(body[i + 4]);
        records.push_back({body.substr(i + 5, keySize), body.substr(i + 5 + keySize, size - 1 - keySize)});
        i += 4 + size;
    }
    m_changed.notify_all();
    return response(200, R"({"offset":)" + end + R"(,"end":)" + std::to_string(records.size()) + "}");
}

// Replica

Replica::Replica(Store &store, Settings settings)
    : m_store(store)
    , m_settings(std::move(settings))
{
    m_listener = std::make_unique<Listener>("127.0.0.1", 0, [this](const auto &connection) { serve(connection); });
}

Replica::~Replica()
{
    stopBeats();
    m_listener->stop(true);
}

std::string Replica::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener->port());
}

std::string Replica::entry()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return R"({"service":")" + m_settings.service + R"(","address":")" + address() + R"(","zone":")"
        + m_settings.dataCentre + R"(","version":1,"slots":)" + std::to_string(m_settings.slots) + R"(,"state":")"
        + state + R"(","coldLeftMs":0,"seqNo":)" + std::to_string(++m_number) + R"(,"born":)" + std::to_string(born)
        + "}";
}

void Replica::beat()
{
    m_store.put("keyed.servers", id(), entry());
}

void Replica::startBeats()
{
    m_beats = true;
    m_beating = std::thread([this] {
        while (m_beats) {
            beat();
            const std::int64_t next = nowMs() + m_settings.beatMs;
            while (m_beats && nowMs() < next) {
                sleepMs(10);
            }
        }
    });
}

void Replica::stopBeats()
{
    m_beats = false;
    if (m_beating.joinable()) {
        m_beating.join();
    }
}

void Replica::exit()
{
    m_listener->stop(true);
}

std::vector<Arrival> Replica::arrivals()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_arrivals;
}

std::string Replica::head(const Message &request, int status) const
{
    return "HTTP/1.1 " + std::to_string(status)
        + " Status\r\nX-Galenafold-Attempt-Id: " + request.field("X-Galenafold-Attempt-Id")
        + "\r\nX-Galenafold-Response-Seal: seal-" + id() + "\r\nKeep-Alive: timeout=5\r\n";
}

static std::string peerIp(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getpeername(fd, reinterpret_cast<sockaddr *>(&address), &size);
    char text[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return text;
}

void Replica::serve(const std::shared_ptr<Connection> &connection)
{
    while (const auto request = connection->read(false)) {
        Arrival arrival{request->field("X-Galenafold-Attempt-Id"), peerIp(connection->fd()), nowMs(), true};
        const std::string expected = request->field("X-Galenafold-Expect-Instance");
        if (!expected.empty() && expected != id()) {
            connection->send(head(*request, 421) + "X-Galenafold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_arrivals.push_back(arrival);
        }
        note("run " + id() + ' ' + arrival.request);
        if (onRequest) {
            if (!onRequest(*request, connection)) {
                return;
            }
            continue;
        }
        sleepMs(m_settings.workMs);
        const std::string body = "done " + arrival.request + " by " + id();
        if (!connection->send(head(*request, 200) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                              + body)) {
            note("answer lost " + id() + ' ' + arrival.request);
            return;
        }
    }
}

// Client

std::string newRequestId()
{
    static std::atomic<int> count{0};
    return "a" + std::to_string(::getpid()) + "-" + std::to_string(++count);
}

std::string encodeRequest(const std::string &method, const std::string &path, const std::string &request,
                          const std::string &key, int deadlineMs, const std::string &body)
{
    std::string bytes = method + ' ' + path + " HTTP/1.1\r\nHost: app.example\r\nX-Galenafold-Attempt-Id: " + request
        + "\r\nX-Api-Key: " + key + "\r\nX-Galenafold-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method != "GET") {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return bytes + "\r\n" + body;
}

// Daemons

static std::string addressOf(const std::string &ip, int port)
{
    return ip + ':' + std::to_string(port);
}

Daemons::Daemons(const Deployment &deployment)
    : m_deployment(deployment)
    , m_pids(static_cast<std::size_t>(deployment.daemons), 0)
{
    char folder[] = "/tmp/bed-2-XXXXXX";
    m_folder = ::mkdtemp(folder) ? folder : "";
    if (m_folder.empty() || !findPorts()) {
        cannotRun("no temporary folder, or no free ports");
    }
}

void Daemons::stopAll()
{
    for (std::size_t i = 0; i < m_pids.size(); ++i) {
        if (m_pids[i] > 0) {
            ::kill(m_pids[i], SIGKILL);
            ::waitpid(m_pids[i], nullptr, 0);
            m_pids[i] = 0;
        }
        ::unlink((m_folder + "/settings-" + std::to_string(i) + ".ini").c_str());
        if (!std::getenv("KEEP_LOGS")) {
            ::unlink((m_folder + "/log-" + std::to_string(i)).c_str());
        }
    }
    ::rmdir(m_folder.c_str());
}

std::string Daemons::ip(int index) const
{
    return "127.0.2." + std::to_string(index + 1);
}

static bool isFree(const std::string &ip, int port, int type)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(ip, port);
    const bool isBound = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(fd);
    return isBound;
}

/// Ports are the same on all machines of a deployment.
bool Daemons::findPorts()
{
    constexpr int firstBase = 21000;
    constexpr int tries = 500;
    constexpr int step = 17;
    for (int i = 0; i < tries; ++i) {
        m_base = firstBase + (static_cast<int>(::getpid()) % tries + i) % tries * step;
        bool areFree = true;
        for (int index = 0; areFree && index < m_deployment.daemons; ++index) {
            areFree = isFree(ip(index), m_base, SOCK_STREAM) && isFree(ip(index), admin(), SOCK_STREAM)
                && isFree(ip(index), peers(), SOCK_STREAM) && isFree(ip(index), peers(), SOCK_DGRAM);
        }
        if (areFree) {
            return true;
        }
    }
    return false;
}

void Daemons::writeSettings(int index) const
{
    std::ofstream out(m_folder + "/settings-" + std::to_string(index) + ".ini");
    std::string seeds;
    for (int i = 0; i < std::min(3, m_deployment.daemons); ++i) {
        seeds += (i == 0 ? "" : ",") + addressOf(ip(i), peers());
    }
    out << "[router]\nname = front-" << index << "\ndata_centre = " << m_deployment.dataCentre
        << "\nmemory_mb = " << m_deployment.memoryMb << "\ndescriptors = " << m_deployment.descriptors
        << "\n[regions]\n"
        << m_deployment.dataCentre << " = region-1\n[listen]\ncallers = " << addressOf(ip(index), m_base)
        << "\nadmin = " << addressOf(ip(index), admin()) << "\npeers = " << addressOf(ip(index), peers())
        << "\nlink_mbps = 700\n[peers]\nseeds = " << seeds << "\n[store]\naddress = " << m_deployment.store
        << "\n[promises]\nrevoke_within_ms = " << m_deployment.revokeMs
        << "\nleave_within_ms = " << m_deployment.drainMs << "\nsettle_within_ms = " << m_deployment.stableWindowMs
        << "\ndrain_within_s = " << m_deployment.graceS
        << "\n[retry]\nratio = 0.2\nfloor = 116\nwindow_s = 10\n[placement]\nload_bound = 2\n";
}

bool Daemons::start(int index)
{
    writeSettings(index);
    const std::string settings = m_folder + "/settings-" + std::to_string(index) + ".ini";
    const std::string log = m_folder + "/log-" + std::to_string(index);
    const int pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the case is ended from outside
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::execl("target/galenafoldd", "target/galenafoldd", "--config", settings.c_str(), nullptr);
        ::_exit(127);
    }
    m_pids[static_cast<std::size_t>(index)] = pid;
    return pid > 0;
}

bool Daemons::startAll()
{
    for (int i = 0; i < m_deployment.daemons; ++i) {
        if (!start(i)) {
            return false;
        }
    }
    constexpr std::int64_t timeoutMs = 15000;
    for (int i = 0; i < m_deployment.daemons; ++i) {
        if (!waitReady(i, timeoutMs)) {
            return false;
        }
    }
    return true;
}

bool Daemons::isReady(int index) const
{
    const auto connection = connectTo(ip(index), admin());
    if (!connection || !connection->send("GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto response = connection->waitReadable(1000) ? connection->read(true) : std::nullopt;
    return response && response->status() == 200;
}

bool Daemons::waitReady(int index, std::int64_t timeoutMs) const
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (isReady(index)) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

bool Daemons::isRunning(int index)
{
    int &pid = m_pids[static_cast<std::size_t>(index)];
    if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid) {
        pid = 0;
    }
    return pid > 0;
}

void Daemons::signal(int index, int number) const
{
    const int pid = m_pids[static_cast<std::size_t>(index)];
    if (pid > 0) {
        ::kill(pid, number);
    }
}

std::string Daemons::metrics(int index) const
{
    const auto connection = connectTo(ip(index), admin());
    if (!connection || !connection->send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return "";
    }
    const auto response = connection->waitReadable(1000) ? connection->read(true) : std::nullopt;
    return response ? response->body : "";
}

double Daemons::metric(int index, const std::string &name) const
{
    std::istringstream lines(metrics(index));
    std::string line;
    while (std::getline(lines, line)) {
        if (line.compare(0, name.size() + 1, name + ' ') == 0) {
            return std::atof(line.c_str() + name.size() + 1);
        }
    }
    return -1;
}

// Desired state

std::string desiredState(int version, const std::vector<RouteSpec> &routes,
                         const std::vector<std::pair<std::string, std::vector<std::string>>> &tenants)
{
    std::string list;
    std::set<std::string> services;
    for (const RouteSpec &route : routes) {
        services.insert(route.service);
        list += (list.empty() ? "" : ",") + std::string(R"({"name":")") + route.name
            + R"(","host":"app.example","pathPrefix":"/)" + route.name + R"(/","kind":")" + route.kind
            + R"(","service":")" + route.service + R"(","timeoutMs":)" + std::to_string(route.timeoutMs)
            + R"(,"targetLatencyMs":)" + std::to_string(route.aimMs) + R"(,"maxAttempts":)"
            + std::to_string(route.attempts) + R"(,"priority":1,"streamResume":)"
            + (route.isResumable ? "true" : "false")
            + (route.gapAimMs > 0 ? R"(,"gapAimMs":)" + std::to_string(route.gapAimMs) : "") + "}";
    }
    std::string serviceList;
    for (const std::string &service : services) {
        serviceList += (serviceList.empty() ? "" : ",") + std::string(R"({"name":")") + service
            + R"(","healthPath":"/health","maxConns":214})";
    }
    std::string tenantList;
    for (const auto &[name, keys] : tenants) {
        std::string keyList;
        for (const std::string &key : keys) {
            keyList += (keyList.empty() ? "\"" : ",\"") + key + '"';
        }
        tenantList +=
            (tenantList.empty() ? "" : ",") + std::string(R"({"name":")") + name + R"(","apiKeys":[)" + keyList + "]}";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list + R"(],"services":[)" + serviceList
        + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":2000,"idleTimeoutMs":10000},)"
        + R"("tenants":[)" + tenantList + "]}";
}

// Verdict

void finish(Daemons &daemons, const std::string &what, std::size_t broken)
{
    note(what + ": " + std::to_string(broken));
    {
        const std::lock_guard<std::mutex> lock(recordMutex);
        recordFile.flush();
    }
    daemons.stopAll();
    ::_exit(broken > 0 ? exitBroken : exitHeld);
}

void cannotRun(const std::string &why)
{
    note("cannot run: " + why);
    {
        const std::lock_guard<std::mutex> lock(recordMutex);
        recordFile.flush();
    }
    std::exit(exitNotRun);
}

} // namespace bed
