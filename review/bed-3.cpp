// Bed of the third review. Sections of this file: Record, Routers, Replicas, Callers.
#include "review/bed-3.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenafold
{

constexpr auto heartbeatTime = std::chrono::milliseconds(1200);
constexpr int partitions = 12;

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

std::string recordFile()
{
    const char *file = std::getenv("RECORD");
    return file ? file : "record.txt";
}

// Record

Record::Record(const std::string &file)
    : m_out(file)
    , m_startedAt(clockNow())
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(clockNow() - m_startedAt).count();
    m_out << millis << ' ' << text << std::endl;
}

// Routers

static sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

static std::string loopback(int host)
{
    return "127.0.0." + std::to_string(host);
}

static bool isFree(const std::string &ip, int port)
{
    const sockaddr_in address = socketAddress(ip, port);
    bool isFree = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        isFree = isFree && bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
    }
    return isFree;
}

RouterPorts freePorts(int first, int count)
{
    constexpr int lowest = 20000;
    constexpr int span = 10000;
    constexpr int tries = 500;
    std::vector<int> found;
    for (int i = 0; i < tries && found.size() < 3; ++i) {
        const int port = lowest + (static_cast<int>(getpid()) * 7 + i * 13) % span;
        bool isFreeOnAll = true;
        for (int host = first; host < first + count; ++host) {
            isFreeOnAll = isFreeOnAll && isFree(loopback(host), port);
        }
        if (isFreeOnAll) {
            found.push_back(port);
        }
    }
    return found.size() < 3 ? RouterPorts() : RouterPorts{found[0], found[1], found[2]};
}

RouterProcess::RouterProcess(const std::string &folder, int host, const RouterPorts &ports, const std::string &store,
                             const std::string &seeds, const std::string &zone)
    : m_ip(loopback(host))
    , m_ports(ports)
    , m_settingsFile(folder + "/router-" + std::to_string(host) + ".ini")
    , m_logFile(folder + "/router-" + std::to_string(host) + ".log")
{
    std::ofstream out(m_settingsFile);
    const auto listener = [this](int port) { return m_ip + ':' + std::to_string(port); };
    out << "[router]\nname = front-" << host << "\ndata_centre = " << zone << "\nmemory_mb = 182\ndescriptors = 2870\n"
        << "[regions]\nkl-a = kl\nkl-b = kl\n[listen]\ncallers = " << listener(ports.callers)
        << "\nadmin = " << listener(ports.admin) << "\npeers = " << listener(ports.peers) << "\nlink_mbps = 700.0\n"
        << "[peers]\nseeds = " << seeds << "\n[store]\naddress = " << store << "\npartitions = " << partitions << '\n'
        << "[promises]\nrevoke_within_ms = 5000\nleave_within_ms = 2000\nsettle_within_ms = 3000\n"
        << "drain_within_s = 8\n[retry]\nratio = 0.2\nfloor = 116\nwindow_s = 10\n[placement]\nload_bound = 2\n";
}

RouterProcess::~RouterProcess()
{
    killAndWait();
}

void RouterProcess::start()
{
    const std::string program = "target/galenafoldd";
    const int sink = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_pid = fork();
    if (m_pid == 0) { // only what is safe between fork and exec, as this process has threads
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(sink, 1);
        dup2(sink, 2);
        for (int fd = 3; fd < 1024; ++fd) {
            ::close(fd);
        }
        execl(program.c_str(), program.c_str(), "--config", m_settingsFile.c_str(), nullptr);
        _exit(127);
    }
    ::close(sink);
}

void RouterProcess::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

void RouterProcess::killAndWait()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool RouterProcess::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid < 0;
}

bool RouterProcess::isReady() const
{
    StreamCall call;
    call.ip = m_ip;
    call.port = m_ports.admin;
    call.request = "GET /-/readiness HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
    call.longest = std::chrono::seconds(1);
    return callStream(call).status == 200;
}

bool RouterProcess::waitUntilReady(std::chrono::seconds longest) const
{
    const Instant end = clockNow() + longest;
    while (clockNow() < end) {
        if (isReady()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

WorkFolder::WorkFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "galenafold-review-XXXXXX").string();
    m_path = mkdtemp(pattern.data()) ? pattern : "";
}

WorkFolder::~WorkFolder()
{
    const char *kept = std::getenv("KEEP_LOGS");
    std::error_code ignored; // a folder that stays does no harm
    if (!m_path.empty() && !kept) {
        std::filesystem::remove_all(m_path, ignored);
    }
}

// Replicas

Registry::Registry(FakeTopicStore &store)
    : m_store(store)
    , m_thread([this] { run(); })
{
}

Registry::~Registry()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void Registry::write(const Entry &entry)
{
    if (!m_isStoreDown) {
        m_store.put("keyed.servers", entry.replica->id(), entry.replica->entry("ready", entry.startedMs));
    }
}

void Registry::add(FakeReplica &replica, const std::string &version)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    replica.setSoftwareVersion(version);
    m_entries.push_back({&replica, unixNow().count()});
    write(m_entries.back());
}

void Registry::onStarted(FakeReplica &replica, const std::string &version)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (Entry &entry : m_entries) {
        if (entry.replica == &replica) {
            replica.setSoftwareVersion(version);
            entry.startedMs = unixNow().count();
            write(entry);
        }
    }
}

void Registry::setStoreDown(bool isDown)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isStoreDown = isDown;
    m_store.setFault(isDown ? StoreFault::NoResponse : StoreFault::None);
}

void Registry::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_wake.wait_for(lock, heartbeatTime, [this] { return m_isStopping; })) {
        for (const Entry &entry : m_entries) {
            write(entry);
        }
    }
}

// Callers

/// Takes the complete events off the front of a stream's text.
static void takeEvents(std::string &text, std::vector<StreamEvent> &events)
{
    for (std::size_t end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
        std::istringstream lines(text.substr(0, end));
        text.erase(0, end + 2);
        StreamEvent event;
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind("id: ", 0) == 0) {
                event.id = std::strtoll(line.c_str() + 4, nullptr, 10);
            } else if (line.rfind("data: ", 0) == 0) {
                event.data = line.substr(6);
            }
        }
        events.push_back(std::move(event));
    }
}

static void resetSocket(int fd)
{
    const linger atOnce{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
}

static bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// @return nothing at the end of the connection, or of the time
static std::optional<std::string> receive(int fd, Instant end)
{
    constexpr std::size_t readBytes = 16384;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - clockNow()).count();
    pollfd entry{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1) {
        return std::nullopt;
    }
    std::string bytes(readBytes, '\0');
    const ssize_t size = ::recv(fd, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size));
    return bytes;
}

static void readAnswer(int fd, const StreamCall &call, StreamAnswer &answer)
{
    const Instant end = clockNow() + call.longest;
    MessageParser parser(MessageParser::Kind::Response, ParseLimits());
    std::string text;
    while (!parser.isDone() && answer.events.size() < call.breaksAfter) {
        const auto bytes = receive(fd, end);
        if (!bytes) {
            return;
        }
        parser.feed(*bytes);
        if (parser.fault() != ParseFault::None) {
            return;
        }
        if (parser.isHeadDone()) {
            answer.status = parser.response().status;
            const std::string *retryAfter = findField(parser.response().fields, "Retry-After");
            answer.retryAfter = retryAfter ? *retryAfter : "";
            text += parser.body();
            parser.body().clear();
            takeEvents(text, answer.events);
        }
    }
    answer.isComplete = parser.isDone();
}

StreamAnswer callStream(const StreamCall &call)
{
    StreamAnswer answer;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(call.ip, call.port);
    const bool isConnected = connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    if (isConnected && sendAll(fd, call.request)) {
        readAnswer(fd, call, answer);
    }
    if (!answer.isComplete) {
        resetSocket(fd);
    }
    ::close(fd);
    return answer;
}

} // namespace galenafold
