// Connections to replicas: one request at a time on each, its answer checked, kept for the next one when it is sound.
//
// Sections of this file: Exchange, Link, Pool.
#pragma once

#include "net/stream.h"
#include "net/timer.h"
#include "traffic/headercodec.h"

#include <map>

namespace galenafold
{

// Exchange

/// How far a request and its answer got before the connection failed.
enum class RequestProgress : std::uint8_t {
    NotSent,  // no byte can have reached the replica
    Sent,     // some bytes may have reached it; no head of an answer came
    Answered, // the head came; the body is not whole
};

/// What the user of a link is told. Exactly one of `onDone` and `onFailed` comes, then nothing more.
struct EndpointRequestHooks {
    std::function<void(ResponseHead &, const ResponseFields &)> onHead;
    std::function<void(std::string &body)> onBody; // bytes gathered since the last call; to be taken
    std::function<void()> onDone;                  // the whole answer was read
    std::function<void(RequestProgress)> onFailed;
};

// Link

/// One connection to one replica.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(asio::io_context &io, const HeaderCodec &headerCodec);

    void connect(const asio::ip::tcp::endpoint &address, Instant deadline);

    /// Sends one request. @param head and body of the request, whole @param request id that the answer must carry
    void send(std::string bytes, RequestId request, bool expectsNoBody, EndpointRequestHooks hooks);

    /// Gives the request up. The connection is closed, so that the replica stops working.
    void cancel();

    void pauseReading(bool isPaused);
    void poll();              ///< Reads what has already arrived.
    bool mayHaveSent() const; ///< @return true if a byte of the request may have reached the replica

    bool isBusy() const { return m_isBusy; }
    bool isSound() const; ///< @return true if the link may carry another request: open, idle, nothing unexpected read
    bool checkIdle();     ///< Looks for an end that the event loop has not seen yet. @return true if still sound
    Instant useBy() const { return m_useBy; } ///< @return when the replica may close the idle connection

    std::function<void()> onIdle; // the link was returned sound, or has ended

private:
    void onConnected(const asio::error_code &error);
    void onBytes(std::string_view bytes);
    void onEnd(StreamEnd how);
    void takeAnswer(std::string_view bytes);
    bool isForeign(const ResponseFields &answer) const;
    void finish();
    void fail(RequestProgress state);
    void resetParser();

    const HeaderCodec &m_headerCodec;
    std::shared_ptr<TcpStream> m_stream;
    asio::ip::tcp::socket m_connecting;
    DeadlineTimer m_timer; // of the connect
    std::unique_ptr<MessageParser> m_parser;
    std::string m_unsent; // request that waits for the connect
    EndpointRequestHooks m_hooks;
    RequestId m_request;
    ResponseFields m_answer;
    std::uint64_t m_sentBefore = 0; // bytes sent before this request
    bool m_isBusy = false;
    bool m_isHeadGiven = false;
    bool m_expectsNoBody = false;
    bool m_isPoisoned = false; // bytes came that belong to no request
    bool m_isClosing = false;  // the replica will close after this answer
    Instant m_useBy = Instant::max();
};

// Pool

/// Idle links by replica.
class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &io, const HeaderCodec &headerCodec);
    ~ConnectionPool(); ///< Closes all idle links, which hold themselves while they are open.
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// @param mustBeProved only a link that is surely open will do
    /// @return an idle link to the replica, or a new one that has yet to connect. `isNew` tells which.
    std::shared_ptr<EndpointConnection> acquire(Instant now, const EndpointId &endpoint, bool mustBeProved,
                                                bool &isNew);

    /// Keeps a link for later requests, if it is sound.
    void release(const EndpointId &endpoint, const std::shared_ptr<EndpointConnection> &link);

    void drop(const EndpointId &endpoint); ///< Closes the idle links of a replica that has gone.
    void closeExpired(Instant now);        ///< Closes links that were idle for too long.

private:
    asio::io_context &m_io;
    const HeaderCodec &m_headerCodec;
    std::map<EndpointId, std::vector<std::shared_ptr<EndpointConnection>>> m_idle; // the most recently used last
};

} // namespace galenafold
