// Outgoing connections to replicas, and a pool of idle ones. A connection carries one request at a time, checks that
// the response belongs to it, and is reused only if no unexpected input was read.
//
// Sections of this file: Request, Connection, Pool.
#pragma once

#include "net/stream.h"
#include "net/timer.h"
#include "traffic/headercodec.h"

#include <map>

namespace galenafold
{

// Request

/// How far a request got before its connection failed. Determines whether a retry is safe.
enum class RequestProgress : std::uint8_t {
    NotSent,      // no byte of the request can have reached the replica
    MaybeSent,    // some bytes may have reached it; no response head was received
    HeadReceived, // the response head was received; the body is incomplete
};

/// Callbacks for one request. Exactly one of `onDone` and `onFailed` is called, as the last callback; after `cancel`,
/// none is called.
struct EndpointRequestHooks {
    std::function<void(ResponseHead &, const ResponseFields &)> onHead;
    std::function<void(std::string &body)> onBody; // body bytes not yet removed; the owner clears them
    std::function<void()> onDone;                  // the response is complete
    std::function<void(RequestProgress)> onFailed;
};

// Connection

/// One HTTP/1.1 connection to one replica. Not thread-safe.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(asio::io_context &io, const HeaderCodec &headerCodec);

    /// Starts to connect; the request passed to `send` goes out once the connection is established.
    /// @param deadline limits the time to connect, in addition to the connect timeout
    void connect(const asio::ip::tcp::endpoint &address, Instant deadline);

    /// Takes over a connection that is established and idle. @param reuseDeadline when to stop using it
    void adopt(asio::ip::tcp::socket socket, Instant reuseDeadline);

    /// Sends one request.
    /// @param bytes the complete request, head and body
    /// @param request id of the request; a response with another id is skipped
    /// @param expectsNoBody true for a HEAD request
    void send(std::string bytes, RequestId request, bool expectsNoBody, EndpointRequestHooks hooks);

    /// Cancels the request and closes the connection, which makes the replica stop its work.
    void cancel();

    void pauseReading(bool isPaused); ///< Stops or resumes reading, for back-pressure.
    void poll();                      ///< Reads what has arrived, without waiting for the event loop.
    bool mayHaveSent() const;         ///< @return true if any byte of the request was sent

    bool isBusy() const { return m_isBusy; } ///< @return true while a request is in progress
    bool isPeerOpen();                       ///< @return true if established, and the replica has not closed it

    Instant establishedAt() const { return m_establishedAt; }   ///< @return when it was; the end of time: not yet
    Instant lastReceivedAt() const { return m_lastReceivedAt; } ///< @return when the replica was last heard on it
    bool isReusable() const; ///< @return true if another request may be sent: open, idle, no unexpected input
    bool checkReusable();    ///< `isReusable` after a read from the socket, which detects a close.

    /// @return when to stop reusing the idle connection, shortly before the replica closes it
    Instant reuseDeadline() const { return m_reuseDeadline; }

    std::shared_ptr<void> countedBy;    // shared by all connections of a pool, which counts them by it
    std::function<void()> onIdleClosed; // the connection ended or received unexpected input while idle

private:
    void onConnected(const asio::error_code &error);
    void startStream(asio::ip::tcp::socket socket);
    void onBytes(std::string_view bytes);
    void onEnd(StreamEnd how);
    void readResponse(std::string_view bytes);
    bool isForOtherRequest(const ResponseFields &response) const;
    void ignoreUnattributableRefusal();
    EndpointRequestHooks endRequest();
    void finish();
    void fail(RequestProgress progress);
    void resetParser();

    const HeaderCodec &m_headerCodec;
    std::shared_ptr<TcpStream> m_stream;
    asio::ip::tcp::socket m_connecting;
    DeadlineTimer m_timer; // connect timeout
    std::unique_ptr<MessageParser> m_parser;
    std::string m_unsent; // request that waits for the connection to be established
    EndpointRequestHooks m_hooks;
    RequestId m_request;              // current request
    ResponseFields m_responseFields;  // decoded from the response head
    std::uint64_t m_sentBefore = 0;   // bytes sent on the connection before the current request
    std::uint64_t m_skippedBytes = 0; // of interim responses, and of responses to other requests, since then
    bool m_isBusy = false;
    bool m_hasDeliveredHead = false; // to `onHead`
    bool m_expectsNoBody = false;
    bool m_isUnusable = false; // failed, ended, or received input that belongs to no request
    bool m_isClosing = false;  // the replica closes after this response
    Instant m_reuseDeadline = Instant::max();
    Instant m_establishedAt = Instant::max();
    Instant m_lastReceivedAt = Instant::max();
};

// Pool

/// Idle connections to replicas, for reuse.
class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &io, const HeaderCodec &headerCodec);
    ~ConnectionPool(); ///< Closes the idle connections, whose pending reads keep them alive.
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Takes an idle connection to the replica, or creates one.
    /// @param mustCheckOpen read from an idle connection first, to detect that the replica has closed it
    /// @param isNew set to true if the connection is new and must be connected with `connect`
    std::shared_ptr<EndpointConnection> acquire(Instant now, const EndpointId &endpoint, bool mustCheckOpen,
                                                bool &isNew);

    /// Takes over an established connection to the replica, for the next request.
    void adopt(const EndpointId &endpoint, asio::ip::tcp::socket socket, Instant reuseDeadline);

    /// @return the connections to the replica, idle or in use, that were established by then and that it has not closed
    std::vector<std::weak_ptr<EndpointConnection>> establishedBy(Instant when, const EndpointId &endpoint) const;

    /// Returns a connection to the pool, or closes it if it is not reusable or the replica has enough idle ones.
    void release(const EndpointId &endpoint, const std::shared_ptr<EndpointConnection> &connection);

    void closeIdle(const EndpointId &endpoint); ///< Closes the idle connections to a removed replica.
    void closeExpired(Instant now);             ///< Closes connections past their reuse deadline.
    bool closeOneIdle(); ///< Closes an idle connection, so that its descriptor is free. @return false if none is idle

    std::size_t open() const { return static_cast<std::size_t>(m_counter.use_count()) - 1; } ///< @return also in use

private:
    std::shared_ptr<EndpointConnection> create(const EndpointId &endpoint);

    asio::io_context &m_io;
    const HeaderCodec &m_headerCodec;
    std::shared_ptr<void> m_counter = std::make_shared<char>();
    std::map<EndpointId, std::vector<std::shared_ptr<EndpointConnection>>> m_idle; // most recently used last
    std::map<EndpointId, std::vector<std::weak_ptr<EndpointConnection>>> m_all;    // also in use
};

} // namespace galenafold
