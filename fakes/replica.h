// Fake of one replica of the users' services. A script controls each response byte by byte, so that it can come early,
// carry extra bytes or be cut off.
#pragma once

#include "net/message.h"
#include "net/stream.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace galenafold
{

/// A complete request, as the replica received it.
struct ReplicaRequest {
    RequestHead head;
    std::string body;
    int connection = 0; // number of its connection at this replica, from 1

    std::string field(const std::string &name) const; ///< @return value of a header field, "" if absent
};

/// @param id request id @param key API key @param timeoutMs time that the request leaves until its deadline
/// @param extraHeaders header lines, each with its CRLF @return a caller's request as it is sent over the wire
std::string encodeCallerRequest(const std::string &path, const std::string &id, const std::string &key = "k1",
                                int timeoutMs = 20000, const std::string &extraHeaders = "",
                                const std::string &body = "hello");

/// Response to one request, controlled by the script. Its functions are called on the replica's thread, during the
/// script or later.
class ReplicaReply
{
public:
    explicit ReplicaReply(std::shared_ptr<TcpStream> stream, asio::io_context &io);

    void send(const std::string &bytes); ///< Sends raw bytes.

    /// Sends a complete response with the header fields of the platform: request id and checksum.
    /// @param extraHeaders further header lines, each with its CRLF
    void sendResponse(const ReplicaRequest &request, int status, const std::string &body,
                      const std::string &extraHeaders = "");

    /// Sends the head of a chunked event stream, with the same header fields.
    void beginStream(const ReplicaRequest &request);

    /// Sends the head of a response with neither a length nor chunks, which ends with its connection.
    /// @param extraHeaders further header lines, each with its CRLF
    void beginUnframed(const ReplicaRequest &request, const std::string &type, const std::string &extraHeaders = "");

    void sendEvent(int id, const std::string &data); ///< Sends one event of a chunked stream.
    void endStream();                                ///< Sends the last chunk.
    void closeGracefully();                          ///< Closes the connection gracefully, after all bytes are sent.
    void reset();                                    ///< Resets the connection.

    /// Calls a function on the replica's thread after a delay.
    void runAfter(std::chrono::milliseconds delay, std::function<void()> callback);

    std::size_t unsentBytes() const { return m_stream->pending(); } ///< @return bytes not yet handed to the kernel
    bool isClosed() const { return !m_stream->isOpen(); }           ///< @return true once the connection is closed
    bool isFinished() const { return m_isFinished; }                ///< @return true once the response is complete

private:
    std::shared_ptr<TcpStream> m_stream;
    asio::io_context &m_io;
    bool m_isFinished = false;
};

/// How a replica's process ends, and how it comes back.
struct ProcessRestart {
    bool isOrderly = false;                    // its connections are closed by the kernel in good order; false: reset
    std::chrono::milliseconds downTime{};      // until it is back; zero: as soon as the event loop can
    std::chrono::milliseconds listenerStays{}; // for so long the kernel takes connections that nobody accepts
    std::string newId;                         // under another id and at another address; "": the same ones
    std::function<void()> onBack;              // optional: called once it accepts connections again
};

using ReplicaScript = std::function<void(const ReplicaRequest &, const std::shared_ptr<ReplicaReply> &)>;

/// A server on loopback with one thread, which also runs the script.
class FakeReplica
{
public:
    FakeReplica(std::string id, std::string service, ReplicaScript script, std::string dataCentre = "here");
    ~FakeReplica();

    bool start(); ///< Listens on a free port and starts the thread.

    /// Sets the version of its software, which its entry tells from now on.
    void setSoftwareVersion(std::string version) { m_softwareVersion = std::move(version); }

    /// @param startedMs start time of the replica's process, in Unix milliseconds
    /// @param warmUpLeftMs milliseconds for which it is still slow after its start
    /// @return its entry in the registry, with the next number of its heartbeats
    std::string entry(const std::string &state = "ready", std::int64_t startedMs = 1, int warmUpLeftMs = 0) const;

    /// Resets all connections and accepts none for a while, like a process that crashes and is started again. Call it
    /// on the replica's thread, from the script. Has no effect while the replica is down.
    void crash(std::chrono::milliseconds downTime);

    /// Ends its listener and all its connections at once, and starts it again later. On the replica's thread, like
    /// `crash`.
    void endProcess(const ProcessRestart &restart);

    /// The same, in good order, to come back as it was. @param listenerStays as in `ProcessRestart`
    void endProcess(std::chrono::milliseconds downTime, std::chrono::milliseconds listenerStays = {});

    void resetNewConnections(); ///< From now on, accepts and resets each connection, as at a limit of connections.

    /// From now on, answers no connection attempt, like a machine that is cut off. Open connections stay. Call it on
    /// the replica's thread.
    void stopAnswering();

    void post(std::function<void()> callback); ///< Calls a function on the replica's thread.

    int crashes() const { return m_crashes; }      ///< @return crashes so far
    const std::string &id() const { return m_id; } ///< @return its id; `endProcess` may change it
    int port() const { return m_port; }

    std::vector<ReplicaRequest> requests() const;     ///< @return all complete requests received
    int connections() const { return m_connections; } ///< @return connections accepted

    /// @return connections that ended before the response to their last request was complete
    int abortedRequests() const { return m_abortedRequests; }

private:
    struct Connection;
    bool listen();
    void closeListener(std::chrono::milliseconds after);
    void accept();

    std::string m_id;
    std::string m_service;
    std::string m_dataCentre;
    std::string m_softwareVersion;
    ReplicaScript m_script;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    asio::ip::tcp::acceptor m_portHolder; // bound and not listening: the kernel gives the port to no other socket
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::vector<ReplicaRequest> m_requests;
    std::atomic<int> m_connections{0};
    std::atomic<int> m_abortedRequests{0};
    std::atomic<int> m_crashes{0};
    std::atomic<bool> m_resetsNewConnections{false};
    mutable std::atomic<std::int64_t> m_heartbeats{0}; // written to the registry so far
    std::vector<std::weak_ptr<Connection>> m_open;     // connections accepted since the last crash
    std::vector<asio::ip::tcp::socket> m_unaccepted;   // of its own, which fill the listener's queue
    int m_port = 0;                                    // 0: not yet chosen
};

} // namespace galenafold
