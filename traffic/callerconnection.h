// One caller's connection: reads requests one at a time, writes the responses, and detects when the caller disconnects.
#pragma once

#include "control/routes.h"
#include "net/stream.h"
#include "net/timer.h"
#include "traffic/headercodec.h"

namespace galenafold
{

/// One complete request of a caller.
struct CallerRequest {
    RequestHead head;
    std::string body;
    Instant arrival{}; // when its first byte was read
};

class CallerConnection;

/// Callbacks from a connection to its owner, shared by all connections of a listener.
struct CallerConnectionHooks {
    /// A complete request was read.
    std::function<void(const std::shared_ptr<CallerConnection> &, CallerRequest &&)> onRequest;

    /// The connection has ended, for whatever reason.
    std::function<void(const std::shared_ptr<CallerConnection> &)> onClosed;

    /// Invalid request or read timeout; an error response follows.
    std::function<void(int status, const char *why)> onRejected;

    /// Optional: sets fields of that response and returns its body.
    std::function<std::string(int status, HttpFields &)> describeRejection;

    std::function<CallerLimits()> limits; // current limits on requests
    std::function<bool()> isDraining;     // while true, each response closes its connection
};

/// One HTTP connection from a caller. Requests may be pipelined; they are processed one after the other.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::io_context &io, asio::ip::tcp::socket socket, const CallerConnectionHooks &hooks);

    void start(); ///< Starts to read. The connection keeps itself alive until it ends.

    // Responding to the current request. Exactly one of `sendResponse`, `endStream` and `abortResponse` completes it.
    // Without a request in progress, as after its caller has left, these have no effect.

    /// Sends a complete response. The body is omitted for HEAD requests and the statuses 1xx, 204 and 304.
    void sendResponse(int status, const HttpFields &fields, std::string_view body);

    /// Sends the head of a response whose body has no known length: chunked, or close-delimited for an HTTP/1.0 caller.
    void beginStream(int status, const HttpFields &fields);
    void streamBytes(std::string_view bytes); ///< Sends the next part of the body. @param bytes must not be empty
    void endStream();                         ///< Completes the body.
    void abortResponse(); ///< Closes the connection so that the caller detects a truncated response.

    std::size_t pending() const { return m_stream->pending(); } ///< @return bytes in the send buffer
    void closeIfIdle(); ///< Closes the connection if no request is being read or processed, and no response being sent.
    void endRequest();  ///< Calls `onStopping`, if a request is in progress.

    std::function<void()> onDisconnected; // the caller disconnected while its request was in progress
    std::function<void()> onDrained;      // the send buffer has become empty
    std::function<void()> onStopping;     // the request must be ended now, as the process stops

private:
    enum class State : std::uint8_t {
        Idle,       // no request is being read or processed; a response may still be on its way to the caller
        Reading,    // part of a request was read
        Processing, // a request is being processed
        Finishing,  // the rest of the last response is on its way to the caller; no further request is read
        Closed      // ended
    };

    void onBytes(std::string_view bytes);
    void onEnd();
    void feed(std::string_view bytes);
    void finishReading();
    void nextRequest();
    void reject(int status, const char *why);
    void armTimer();
    void onTimer();
    bool isStillTaking();
    void onStreamDrained();
    void finishSending();
    void close();
    void appendHead(std::string &out, int status, const HttpFields &fields);
    bool closesAfterResponse() const;

    asio::io_context &m_io;
    const CallerConnectionHooks &m_hooks;
    std::shared_ptr<TcpStream> m_stream;
    DeadlineTimer m_timer;
    std::unique_ptr<MessageParser> m_parser;
    State m_state = State::Idle;
    Instant m_arrival{};
    Instant m_readDeadline{};  // for the complete head, then for the next bytes of the body
    std::uint64_t m_taken = 0; // bytes that the caller had taken when the connection last timed out
    std::string m_pipelined;   // input received after the current request
    CallerLimits m_limits;     // in force since the current request began
    bool m_hasHead = false;    // the head of the current request is complete
    bool m_keepsAlive = true;
    bool m_acceptsChunks = true;  // HTTP/1.1 caller
    bool m_isHeadRequest = false; // HEAD: the response has no body
};

} // namespace galenafold
