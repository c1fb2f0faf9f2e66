// One caller's connection: reads requests one at a time, writes the responses, and detects when the caller disconnects.
#pragma once

#include "control/routes.h"
#include "filters/callermemory.h"
#include "net/stream.h"
#include "net/timer.h"
#include "traffic/headercodec.h"

#include <optional>

namespace galenafold
{

/// One complete request of a caller.
struct CallerRequest {
    RequestHead head;
    std::string body;
    Instant arrival{}; // when its first byte was read
};

class CallerConnection;

/// A caller that was refused, or whose connection was closed, so that the process stays within its limits.
struct CallerRefusal {
    const char *bound = ""; // which limit: see `caller_refused` in docs/OPERATIONS.md
    int status = 0;         // of the response; 0: the connection was closed
    std::string from;       // IP:PORT of the caller
    std::size_t bytes = 0;  // that it held
};

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

    /// Optional: a caller was refused, or its connection closed, for a limit of this process.
    std::function<void(const CallerRefusal &)> onRefused;

    std::function<CallerLimits()> limits; // current limits on requests
    std::function<bool()> isDraining;     // while true, each response closes its connection
    std::shared_ptr<CallerMemory> memory = std::make_shared<CallerMemory>(unlimitedMemory()); // of all connections
    int receiveBytes = 0;       // of the kernel's buffer of each connection; 0: the system's default, not bounded here
    std::size_t bodyCopies = 1; // of a request's body that are held until its response ends
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

    /// Responds that this process has no room for the request in progress, which has not run, and closes.
    /// @param bound the limit that was reached
    void refuse(const char *bound);

    /// @return since when nothing was read or sent, if the connection may be closed in favour of others: it is idle, or
    /// has stopped in the middle of a request, or of taking a response, for a while
    std::optional<Instant> unusedSince(Instant now) const;

    /// @return true between requests, with nothing to send
    bool isIdle() const { return m_state == State::Idle && m_stream->pending() == 0; }
    void closeUnused(const char *bound); ///< Closes it in favour of others.

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
    void report(const char *bound, int status) const;
    bool reserveBody();
    std::size_t heldBytes() const;
    void noteHeldBytes();
    void onMemoryTaken();
    void resumeReading();
    void continueReading();
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
    Instant m_readDeadline{};       // for the complete head, then for the next bytes of the body
    std::uint64_t m_taken = 0;      // bytes that the caller had taken when the connection last timed out
    std::string m_pipelined;        // input received after the current request
    CallerLimits m_limits;          // in force since the current request began
    MemoryShare m_share;            // of the listener's memory
    std::size_t m_bodyRoom = 0;     // for the body of the request that is being read, in bytes; part of the share
    std::size_t m_requestBytes = 0; // of the request that is being processed
    Instant m_lastInput{};          // or output that the caller has taken, or end of the last response
    bool m_waitsForDrain = false;   // too much of the responses is unsent to read the next request
    bool m_hasHead = false;         // the head of the current request is complete
    bool m_keepsAlive = true;
    bool m_acceptsChunks = true;  // HTTP/1.1 caller
    bool m_isHeadRequest = false; // HEAD: the response has no body
};

} // namespace galenafold
