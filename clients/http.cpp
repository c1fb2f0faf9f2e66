// Configuration of cpp-httplib servers and clients. Sections of this file: Address, Threads, Server.
#include "clients/http.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace galenafold
{

constexpr int listenBacklog = 1024;
constexpr int maxRequestsPerConnection = 1000000;
constexpr auto idleThreadTimeout = std::chrono::seconds(10);

// Address

HostPort parseHostPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size()) {
        return {text, 0};
    }
    const std::string port = text.substr(colon + 1);
    const bool isNumber = port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    return {text.substr(0, colon), isNumber ? std::stoi(port) : 0};
}

// Threads

DynamicThreadPool::DynamicThreadPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

DynamicThreadPool::~DynamicThreadPool()
{
    shutdown();
}

void DynamicThreadPool::enqueue(std::function<void()> job)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_jobs.push_back(std::move(job));
    joinFinished();
    if (m_jobs.size() > m_idle && m_running < m_maxThreads) {
        ++m_running;
        m_threads.emplace_back([this] { runJobs(); });
    }
    m_wake.notify_one();
}

/// Joins finished threads. Must be called with the mutex locked; this cannot deadlock, as these threads do not lock it
/// again.
void DynamicThreadPool::joinFinished()
{
    for (const std::thread::id id : m_finished) {
        const auto hasId = [id](const std::thread &thread) { return thread.get_id() == id; };
        const auto thread = std::find_if(m_threads.begin(), m_threads.end(), hasId);
        thread->join();
        m_threads.erase(thread);
    }
    m_finished.clear();
}

void DynamicThreadPool::runJobs()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        ++m_idle;
        const bool wasWoken =
            m_wake.wait_for(lock, idleThreadTimeout, [this] { return m_isStopping || !m_jobs.empty(); });
        --m_idle;
        if (m_jobs.empty()) {
            const bool mustBeJoined = !m_isStopping && !wasWoken;
            --m_running;
            if (mustBeJoined) {
                m_finished.push_back(std::this_thread::get_id());
            }
            return;
        }
        const std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

void DynamicThreadPool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
        threads.swap(m_threads);
        m_finished.clear();
    }
    m_wake.notify_all();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

// Server

HttpServer::HttpServer(const ServerLimits &limits)
{
    m_server.new_task_queue = [limits] { return new DynamicThreadPool(limits.threads); };
    m_server.set_payload_max_length(limits.bodyBytes);
    m_server.set_keep_alive_max_count(maxRequestsPerConnection);
    m_server.set_keep_alive_timeout(limits.keepAliveSeconds);
    m_server.set_read_timeout(limits.readSeconds);
    m_server.set_write_timeout(limits.writeSeconds);
    m_server.set_tcp_nodelay(true);
    m_server.set_socket_options([this](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        m_socket = socket;
    });
}

HttpServer::~HttpServer()
{
    stop();
}

bool HttpServer::start(const std::string &address, int port)
{
    if (port == 0) {
        m_port = m_server.bind_to_any_port(address);
    } else {
        m_port = m_server.bind_to_port(address, port) ? port : -1;
    }
    if (m_port <= 0) {
        return false;
    }
    ::listen(m_socket, listenBacklog);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running()) {
        std::this_thread::yield();
    }
    ::listen(m_socket, listenBacklog);
    return true;
}

void HttpServer::stop()
{
    if (m_thread.joinable()) {
        m_server.stop();
        m_thread.join();
    }
}

void configureClient(httplib::Client &client, std::chrono::milliseconds connectTimeout,
                     std::chrono::milliseconds readTimeout)
{
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(readTimeout);
    client.set_write_timeout(readTimeout);
    client.set_follow_location(false);
}

} // namespace galenafold
