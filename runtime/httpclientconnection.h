// HTTP connection to the platform's store, or to another router: one call at a time. Any failure closes the connection
// and the next call opens a new one.
//
// A response has to begin by a deadline, and must not stop before its end. How long it takes as a whole has no limit
// but a lowest rate: what has come of it would have to be sent once more, over the same link.
#pragma once

#include "net/message.h"
#include "net/stream.h"
#include "net/timer.h"

namespace galenafold
{

/// Complete response, of any HTTP status.
struct ClientResponse {
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// What has come of the response to one call.
struct ResponseTransfer {
    std::size_t bytes = 0;               // with its head
    std::optional<Instant> firstBytesAt; // nothing: no byte yet
    bool isComplete = false;
};

/// Callbacks of one call. Exactly one of them is called, once.
struct ClientCallHooks {
    std::function<void(const ClientResponse &)> onResponse;
    std::function<void(const char *reason)> onFailure; // no complete response; the call may have had its effect
};

/// Not thread-safe: used on one event loop, whose handlers refer to this object: it must live as long as the loop runs.
/// A call is one request and its response.
class HttpClientConnection
{
public:
    HttpClientConnection(asio::io_context &io, std::string address);

    /// Sends a call. No other call may be in progress.
    /// @param request the complete HTTP request @param deadline for the first bytes of the response
    void call(std::string request, Instant deadline, ClientCallHooks hooks);

    void disconnect(); ///< Closes the connection; the next call opens a new one.
    void abandon();    ///< Ends the call in progress without calling its hooks, and disconnects.

    /// Sets where the next call goes. No call may be in progress. @param address IP:PORT
    void setAddress(const std::string &address);

    bool isCalling() const { return m_isCalling; }
    const std::string &address() const { return m_address; }
    std::int64_t calls() const { return m_calls; }       ///< @return calls sent since the start
    std::int64_t failures() const { return m_failures; } ///< @return failed calls, also ones that were never sent

    /// @return the response of the current call, or of the last one if none is in progress
    const ResponseTransfer &transfer() const { return m_transfer; }

private:
    void connect();
    void send();
    void onBytes(std::string_view bytes);
    void armTimer();
    void onTimer();
    void noteProgress(std::size_t bytes);
    void finish();
    void fail(const char *reason);

    asio::io_context &m_io;
    std::string m_address;
    DeadlineTimer m_timer;
    std::shared_ptr<asio::ip::tcp::socket> m_pendingSocket; // while connecting
    std::shared_ptr<TcpStream> m_stream;
    std::unique_ptr<MessageParser> m_parser;
    std::string m_request;
    ClientCallHooks m_hooks;
    ResponseTransfer m_transfer;
    Instant m_deadline{};              // for the first bytes, then for the next `progressBytes`
    std::size_t m_bytesAtDeadline = 0; // of the response when `m_deadline` was set
    std::uint64_t m_generation = 0;    // of the current call; late events of earlier ones are ignored
    std::int64_t m_calls = 0;
    std::int64_t m_failures = 0;
    bool m_isCalling = false;
};

} // namespace galenafold
