// A stand-in for one replica of the users' services that a test scripts byte by byte: early answers, extra bytes, cuts.
#pragma once

#include "net/message.h"
#include "net/stream.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace galenafold
{

/// One request as it reached the replica.
struct ReplicaRequest {
    RequestHead head;
    std::string body;
    int connection = 0; // counts the replica's connections

    std::string field(const std::string &name) const; ///< @return "" when absent
};

/// @param more header lines, each with its end @return a caller's request, as it goes over the wire
std::string callerRequest(const std::string &path, const std::string &id, const std::string &key = "k1",
                          int patienceMs = 20000, const std::string &more = "", const std::string &body = "hello");

/// What a script does with one request. Its calls may come at once or later, on the replica's thread.
class ReplicaReply
{
public:
    explicit ReplicaReply(std::shared_ptr<TcpStream> stream, asio::io_context &io);

    void send(const std::string &bytes);                                             ///< Raw bytes.
    void answer(const ReplicaRequest &request, int status, const std::string &body); ///< A whole, sealed answer.
    void beginStream(const ReplicaRequest &request); ///< Head of a sealed chunked stream.
    void event(int id, const std::string &data);     ///< One event of it.
    void endStream();
    void end();   ///< Closes in good order.
    void reset(); ///< Resets the connection.
    void after(std::chrono::milliseconds delay, std::function<void()> act);
    std::size_t untaken() const { return m_stream->pending(); } ///< @return bytes that the router has not taken yet
    bool isGone() const { return !m_stream->isOpen(); }         ///< @return true once the router closed it
    bool isFinished() const { return m_isFinished; }            ///< @return true once the answer is complete

private:
    std::shared_ptr<TcpStream> m_stream;
    asio::io_context &m_io;
    bool m_isFinished = false;
};

using ReplicaScript = std::function<void(const ReplicaRequest &, const std::shared_ptr<ReplicaReply> &)>;

class FakeReplica
{
public:
    FakeReplica(std::string id, std::string service, ReplicaScript script);
    ~FakeReplica();

    bool start();
    std::string entry(const std::string &state = "ready", std::int64_t born = 1) const; ///< @return its registry entry
    const std::string &id() const { return m_id; }
    int port() const { return m_port; }

    std::vector<ReplicaRequest> requests() const; ///< @return all that reached it, whole
    int connections() const { return m_connections; }
    int abandoned() const { return m_abandoned; } ///< @return connections that ended while a request was at work

private:
    struct Connection;
    void accept();

    std::string m_id;
    std::string m_service;
    ReplicaScript m_script;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::vector<ReplicaRequest> m_requests;
    std::atomic<int> m_connections{0};
    std::atomic<int> m_abandoned{0};
    int m_port = 0;
};

} // namespace galenafold
