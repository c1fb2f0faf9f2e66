// Configuration of cpp-httplib servers and clients.
//
// Sections of this file: Address, Threads, Server.
//
// The library as packaged by Debian listens with a backlog of 5, leaves Nagle's algorithm enabled, closes a connection
// after 5 requests and uses a thread pool of fixed size. This file replaces these defaults for the fake services,
// and configures the clients of the daemons and tools.
#pragma once

#include "galenafold/galenafold.h"

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace galenafold
{

// Address

struct HostPort {
    std::string host;
    int port = 0;
};

/// Parses "HOST:PORT". @return port 0 if the port is missing or not a number of at most five digits
HostPort parseHostPort(const std::string &text);

// Threads

/// Thread pool that starts threads on demand, up to a limit, and ends those that stay idle. Each open keep-alive
/// connection occupies a thread, also while it is idle.
class DynamicThreadPool : public httplib::TaskQueue
{
public:
    explicit DynamicThreadPool(std::size_t maxThreads);
    ~DynamicThreadPool() override;
    void enqueue(std::function<void()> job) override;
    void shutdown() override; ///< Runs all queued jobs, then joins all threads.

private:
    void runJobs();
    void joinFinished();

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::vector<std::thread::id> m_finished; // ended, not yet joined
    std::size_t m_idle = 0;                  // threads waiting for a job
    std::size_t m_running = 0;               // threads that have not ended
    bool m_isStopping = false;
};

// Server

struct ServerLimits {
    std::size_t threads = 1200;      // maximum of threads, and so of open connections
    std::size_t bodyBytes = 4 << 20; // maximum size of a request body
    int keepAliveSeconds = 20;       // idle connections are closed after this
    int readSeconds = 30;            // socket read timeout
    int writeSeconds = 30;           // socket write timeout
};

/// HTTP server whose accept loop runs on its own thread. Set the handlers on `http()` before `start`.
class HttpServer
{
public:
    explicit HttpServer(const ServerLimits &limits);
    ~HttpServer();

    httplib::Server &http() { return m_server; }
    bool start(const std::string &address, int port); ///< @param port 0: any free port @return false if it cannot bind
    void stop();                                      ///< Stops accepting, then waits for requests in progress.
    int port() const { return m_port; }               ///< @return the bound port

private:
    httplib::Server m_server;
    std::thread m_thread;
    int m_socket = -1;
    int m_port = 0;
};

/// Sets the options common to all HTTP clients: timeouts, TCP_NODELAY, no redirects.
/// @param readTimeout for each read and each write
void configureClient(httplib::Client &client, std::chrono::milliseconds connectTimeout,
                     std::chrono::milliseconds readTimeout);

} // namespace galenafold
