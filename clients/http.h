// Small helpers round cpp-httplib, which keep its traps in one place.
//
// Sections of this file: Address, Threads, Server.
//
// The library as Debian ships it listens with a backlog of 5, leaves Nagle's algorithm on, keeps a connection for 5
// requests and runs a fixed pool of threads. All of that is set here, for our server and for the stand-ins.
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

/// Reads "HOST:PORT". Port is 0 when the text is not of that form.
HostPort parseHostPort(const std::string &text);

// Threads

/// Threads made as work comes, up to a limit, and ended when idle. An idle kept-alive connection holds one.
class DynamicThreadPool : public httplib::TaskQueue
{
public:
    explicit DynamicThreadPool(std::size_t most);
    ~DynamicThreadPool() override;
    void enqueue(std::function<void()> job) override;
    void shutdown() override; ///< Runs what is queued, then joins all threads.

private:
    void work();
    void reap();

    const std::size_t m_most;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::vector<std::thread::id> m_ended;
    std::size_t m_idle = 0;
    std::size_t m_count = 0;
    bool m_isStopping = false;
};

// Server

struct ServerLimits {
    std::size_t threads = 1200;
    std::size_t bodyBytes = 4 << 20;
    int keepAliveSeconds = 20;
    int readSeconds = 30;
    int writeSeconds = 30;
};

/// A server on a thread of its own. Set handlers on `http()` before `start`.
class HttpServer
{
public:
    explicit HttpServer(const ServerLimits &limits);
    ~HttpServer();

    httplib::Server &http() { return m_server; }
    bool start(const std::string &address, int port); ///< @param port 0: any. @return false: cannot bind.
    void stop();                                      ///< Ends after the requests in progress.
    int port() const { return m_port; }

private:
    httplib::Server m_server;
    std::thread m_thread;
    int m_socket = -1;
    int m_port = 0;
};

/// Sets the options that every client connection wants.
void configureClient(httplib::Client &client, std::chrono::milliseconds connectWithin,
                     std::chrono::milliseconds readWithin);

} // namespace galenafold
