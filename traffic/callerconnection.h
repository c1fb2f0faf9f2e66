// One caller's connection: reads requests one at a time, writes their answers, notices when the caller leaves.
#pragma once

#include "control/routes.h"
#include "net/stream.h"
#include "net/timer.h"
#include "traffic/headercodec.h"

namespace galenafold
{

/// One request, whole.
struct CallerRequest {
    RequestHead head;
    std::string body;
    Instant arrival{}; // of its first byte
};

class CallerConnection;

struct CallerHooks {
    std::function<void(const std::shared_ptr<CallerConnection> &, CallerRequest &&)> onRequest;
    std::function<void(const std::shared_ptr<CallerConnection> &)> onClosed; // the connection has ended, for any reason
    std::function<void(int status, const char *why)> onRejected; // a request was turned away before it was read whole
    std::function<std::string(int status, HttpFields &)> describeRejection; // @return the body that goes with it
    std::function<CallerLimits()> limits;                                   // in force now
    std::function<bool()> isDraining;                                       // answers end the connection
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::io_context &io, asio::ip::tcp::socket socket, const CallerHooks &hooks);

    void start();

    // Answering the request at hand. Exactly one of `answer`, `endStream` and `abortResponse` ends it.

    void answer(int status, const HttpFields &fields, std::string_view body);
    void beginStream(int status, const HttpFields &fields);
    void streamBytes(std::string_view bytes);
    void endStream();
    void abortResponse(); ///< Ends the connection so that the answer cannot be taken for a whole one.

    std::size_t pending() const { return m_stream->pending(); } ///< @return bytes that the caller has not taken yet
    void closeIfIdle();                                         ///< Closes between requests only.

    std::function<void()> onDisconnected; // the caller left while its request was in progress
    std::function<void()> onDrained;      // the caller took all that was written

private:
    enum class State : std::uint8_t { Idle, Reading, Answering, Closed };

    void onBytes(std::string_view bytes);
    void onEnd();
    void feed(std::string_view bytes);
    void finishReading();
    void nextRequest();
    void reject(int status, const char *why);
    void armTimer();
    void onTimer();
    void close();
    void appendHead(std::string &out, int status, const HttpFields &fields);
    bool endsAfterAnswer() const;

    asio::io_context &m_io;
    const CallerHooks &m_hooks;
    std::shared_ptr<TcpStream> m_stream;
    DeadlineTimer m_timer;
    std::unique_ptr<MessageParser> m_parser;
    State m_state = State::Idle;
    Instant m_arrival{};
    Instant m_readBy{}; // head or next bytes of the body
    std::string m_held; // bytes after the request at hand
    CallerLimits m_limits;
    bool m_isHeadSeen = false;
    bool m_keepsAlive = true;
    bool m_takesChunks = true; // HTTP/1.1
    bool m_isHeadRequest = false;
};

} // namespace galenafold
