// Implements what the cases of the review share.
//
// Sections of this file: Record, Caller, Router, Testbed.
#include "review/testbed.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenafold
{

using Json = nlohmann::json;

constexpr const char *program = "target/galenafoldd"; // of the deploy file
constexpr const char *apiKey = "n2ctnfzs989anu6wsjnb";
constexpr auto heartbeatInterval = std::chrono::milliseconds(1200); // beatIntervalMs
constexpr auto stableWindow = std::chrono::milliseconds(3000);      // stableWindowMs
constexpr auto startTimeout = std::chrono::seconds(20);             // for the router to be ready
constexpr auto pollInterval = std::chrono::milliseconds(50);        // of the router's readiness
constexpr auto probeTimeout = std::chrono::milliseconds(1000);      // of one question to the router
constexpr std::uint64_t maxResponseBytes = 256U << 20U;             // that a caller reads
constexpr std::size_t readBytes = 65536;                            // of one read
constexpr auto readPause = std::chrono::milliseconds(10);           // between the reads of a slow caller

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::int64_t millisOf(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Record

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file) {
        std::fclose(m_file);
    }
}

void Record::note(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::fprintf(m_file, "%8lld ms  %s\n", static_cast<long long>(millisOf(clockNow() - m_startedAt)), text.c_str());
    std::fflush(m_file);
}

// Caller

static sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

Caller::Caller(int port, int receiveBytes)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int isOn = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    if (receiveBytes > 0) {
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &ethernetSegmentBytes, sizeof ethernetSegmentBytes);
    }
    const sockaddr_in address = loopback(port);
    m_isConnected = ::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
}

Caller::~Caller()
{
    ::close(m_socket);
}

bool Caller::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool Caller::waitReadable(Instant deadline) const
{
    const auto left = std::max<std::int64_t>(0, millisOf(deadline - clockNow()));
    pollfd entry{m_socket, POLLIN, 0};
    return ::poll(&entry, 1, static_cast<int>(left)) == 1;
}

CallerResponse Caller::read(Instant deadline, std::int64_t bytesPerSecond)
{
    ParseLimits limits;
    limits.bodyBytes = maxResponseBytes;
    MessageParser parser(MessageParser::Kind::Response, limits);
    CallerResponse response;
    const Instant startedAt = clockNow();
    std::int64_t received = 0;
    std::vector<char> bytes(readBytes);
    for (;;) {
        m_unparsed.erase(0, parser.feed(m_unparsed));
        if (parser.isDone() || parser.fault() != ParseFault::None) {
            response.end = parser.isDone() ? ResponseEnd::Complete : ResponseEnd::Closed;
            break;
        }
        const auto elapsed = std::chrono::duration<double>(clockNow() - startedAt).count();
        if (bytesPerSecond > 0 && static_cast<double>(received) > elapsed * static_cast<double>(bytesPerSecond)) {
            std::this_thread::sleep_for(readPause);
            continue;
        }
        if (!waitReadable(deadline)) {
            break;
        }
        const ssize_t size = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            if (size == 0 && parser.isHeadDone()) {
                parser.feedEof();
            }
            response.end = parser.isDone() ? ResponseEnd::Complete : ResponseEnd::Closed;
            break;
        }
        received += size;
        m_unparsed.append(bytes.data(), static_cast<std::size_t>(size));
    }
    response.hasHead = parser.isHeadDone();
    if (response.hasHead) {
        response.head = parser.response();
    }
    response.body = std::move(parser.body());
    return response;
}

int listenOnLoopback(int segmentBytes)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (segmentBytes > 0) {
        ::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    }
    const sockaddr_in address = loopback(0);
    const bool isBound = ::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    if (!isBound || ::listen(listener, SOMAXCONN) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

int portOf(int listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

std::string callerRequest(const std::string &method, const std::string &path, const std::string &id, int timeoutMs,
                          const std::string &body, const std::string &extraHeaders)
{
    std::string request = method + ' ' + path + " HTTP/1.1\r\n";
    appendField(request, "Host", "ficu95.example");
    appendField(request, "X-Galenafold-Attempt-Id", id);
    appendField(request, "X-Galenafold-Deadline-Ms", std::to_string(timeoutMs));
    appendField(request, "X-Api-Key", apiKey);
    request += extraHeaders;
    if (method != "GET") {
        appendField(request, "Content-Length", std::to_string(body.size()));
    }
    return request + "\r\n" + body;
}

// Router

/// @return a port that is free for TCP now
static int freePort()
{
    const int listener = listenOnLoopback();
    const int port = portOf(listener);
    ::close(listener);
    return port;
}

static std::string localAddress(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

Router::Router(std::string store)
    : m_store(std::move(store))
{
}

Router::~Router()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    if (!m_folder.empty()) {
        std::error_code ignored; // a temporary folder that is left does no harm
        std::filesystem::remove_all(m_folder, ignored);
    }
}

/// The settings are those that the template of the deploy file has on a small site.
bool Router::start()
{
    std::string folder = "/tmp/galenafold-review-XXXXXX";
    if (!std::filesystem::exists(program) || !::mkdtemp(folder.data())) {
        return false;
    }
    m_folder = folder;
    m_callerPort = freePort();
    m_adminPort = freePort();
    const std::string peers = localAddress(freePort());
    const std::string settings = m_folder + "/settings.ini";
    std::ofstream(settings) << "[router]\nname = front-kl-a-1\ndata_centre = kl-a\n[listen]\ncallers = "
                            << localAddress(m_callerPort) << "\nadmin = " << localAddress(m_adminPort)
                            << "\npeers = " << peers << "\nlink_mbps = 700.0\n[peers]\nseeds = " << peers
                            << "\n[store]\naddress = " << m_store
                            << "\n[promises]\nrevoke_within_ms = 5000\nleave_within_ms = 2000\n"
                               "settle_within_ms = 3000\ndrain_within_s = 8\n"
                               "[retry]\nratio = 0.2\nfloor = 116\nwindow_s = 10\n[placement]\nload_bound = 2\n";
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also ends if the case is ended from outside
        const int log = ::open((m_folder + "/router.log").c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // the sockets of the stand-ins would stay open in the router
        ::execl(program, program, "--config", settings.c_str(), nullptr);
        ::_exit(exitNotRun);
    }
    return m_pid > 0;
}

void Router::signal(int number) const
{
    ::kill(m_pid, number);
}

bool Router::waitForExit(Instant deadline)
{
    while (clockNow() < deadline) {
        if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

std::string Router::ask(const std::string &path) const
{
    Caller caller(m_adminPort);
    if (!caller.isConnected() || !caller.send("GET " + path + " HTTP/1.1\r\nHost: router\r\n\r\n")) {
        return {};
    }
    const CallerResponse response = caller.read(clockNow() + probeTimeout);
    const bool isGood = response.end == ResponseEnd::Complete && response.head.status == 200;
    return isGood ? "ok\n" + response.body : std::string();
}

bool Router::isReady() const
{
    return !ask("/-/readiness").empty();
}

int Router::usableReplicas() const
{
    const std::string key = "\ngalenafold_replicas_usable ";
    const std::string metrics = ask("/metrics");
    const std::size_t at = metrics.find(key);
    return at == std::string::npos ? -1 : std::atoi(metrics.c_str() + at + key.size());
}

std::int64_t Router::residentBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    status >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

// Testbed

static std::int64_t unixMillis()
{
    return std::chrono::duration_cast<UnixMillis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Testbed::Testbed()
    : m_isStoreStarted(m_store.start())
    , m_router(m_store.address())
{
}

Testbed::~Testbed()
{
    m_isStopping = true;
    if (m_heartbeats.joinable()) {
        m_heartbeats.join();
    }
}

void Testbed::addEntry(Entry entry)
{
    entry.startedMs = unixMillis();
    m_replicas.push_back(std::move(entry));
}

FakeReplica &Testbed::addReplica(const std::string &id, const std::string &service, ReplicaScript script)
{
    Entry entry;
    entry.id = id;
    entry.service = service;
    entry.replica = std::make_unique<FakeReplica>(id, service, std::move(script));
    entry.replica->start();
    entry.port = entry.replica->port();
    addEntry(std::move(entry));
    return *m_replicas.back().replica;
}

void Testbed::addReplica(const std::string &id, const std::string &service, int port)
{
    Entry entry;
    entry.id = id;
    entry.service = service;
    entry.port = port;
    addEntry(std::move(entry));
}

void Testbed::onCrash(const std::string &id, Duration downTime)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (Entry &entry : m_replicas) {
        if (entry.id == id) {
            entry.startedMs = unixMillis() + millisOf(downTime);
            entry.heartbeats = 0;
            entry.nextHeartbeat = clockNow() + downTime;
        }
    }
}

void Testbed::writeHeartbeats()
{
    while (!m_isStopping) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (Entry &entry : m_replicas) {
                const Instant now = clockNow();
                if (now < entry.nextHeartbeat) {
                    continue;
                }
                entry.nextHeartbeat = now + heartbeatInterval;
                const Json json{{"service", entry.service},
                                {"address", localAddress(entry.port)},
                                {"zone", "kl-a"},
                                {"version", "v1"},
                                {"slots", 64},
                                {"state", "ready"},
                                {"coldLeftMs", 0},
                                {"seqNo", ++entry.heartbeats},
                                {"born", entry.startedMs}};
                m_store.put("keyed.servers", entry.id, json.dump());
            }
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

static Json encodeRoute(const TestRoute &route)
{
    Json json{{"name", route.name}, {"host", "ficu95.example"},     {"pathPrefix", "/" + route.name + "/"},
              {"kind", route.kind}, {"timeoutMs", route.timeoutMs}, {"targetLatencyMs", route.objectiveMs},
              {"priority", 1},      {"service", route.service},     {"maxAttempts", route.attempts},
              {"public", false}};
    if (route.gapMs > 0) {
        json["sessionAffinity"] = true;
        json["streamResume"] = false;
        json["gapAimMs"] = route.gapMs;
    }
    return json;
}

bool Testbed::start(const std::vector<TestRoute> &routes)
{
    Json list = Json::array();
    Json services = Json::array();
    std::set<std::string> named;
    for (const TestRoute &route : routes) {
        list.push_back(encodeRoute(route));
        if (named.insert(route.service).second) {
            Json service{{"name", route.service}, {"healthPath", "/health"}, {"maxConns", 771}};
            if (route.gapMs > 0) {
                service["engine"] = {{"slots", 64}, {"kvCapacityTokens", 593541}};
            }
            services.push_back(service);
        }
    }
    const Json state{
        {"version", 7},
        {"routes", list},
        {"services", services},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
        {"tenants", Json::array({{{"name", "hule930"}, {"apiKeys", Json::array({apiKey})}}})}};
    m_store.put("keyed.op", "config", state.dump());
    m_heartbeats = std::thread([this] { writeHeartbeats(); });
    if (!m_isStoreStarted || !m_router.start()) {
        return false;
    }
    const Instant deadline = clockNow() + startTimeout;
    const auto isUp = [this] {
        return m_router.isReady() && m_router.usableReplicas() == static_cast<int>(m_replicas.size());
    };
    while (!isUp()) {
        if (clockNow() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    std::this_thread::sleep_for(stableWindow + pollInterval);
    return true;
}

} // namespace galenafold
