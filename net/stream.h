// A non-blocking TCP connection on one event loop: input arrives through a callback, output goes through a send buffer.
//
// All connections of a thread read into one shared buffer, so an idle connection needs little memory, and take turns
// after a limited number of bytes, so none can keep the thread from the others and from its timers. `sent` is the
// exact number of bytes that the kernel has accepted, `unacknowledged` what the peer has not taken yet. The send buffer
// is unbounded: its owner applies back-pressure by `pending`.
#pragma once

#include "net/timer.h"

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace galenafold
{

/// How a connection ended.
enum class StreamEnd : std::uint8_t {
    Finished, // orderly close by the peer (FIN)
    Broken,   // connection reset or any other error
};

/// One connected socket. Kept alive by its pending operations; not thread-safe.
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    struct Hooks {
        std::function<void(std::string_view)> onBytes; // input; valid during the call only
        std::function<void(StreamEnd)> onEnd;          // at most once, and not after `close` or `reset`
        std::function<void()> onDrained;               // the kernel has accepted all bytes passed to `write`
        std::function<void(std::size_t)> onSent;       // optional: the kernel has accepted buffered bytes
    };

    /// @param socket connected; switched to non-blocking mode without Nagle's algorithm
    explicit TcpStream(asio::ip::tcp::socket socket);

    void start(Hooks hooks);            ///< Sets the callbacks and starts to read.
    void write(std::string_view bytes); ///< Sends what the kernel accepts now and buffers the rest.
    void pauseReading(bool isPaused);   ///< While paused, neither input nor the peer's close is detected.
    void close();                       ///< Closes at once; unsent bytes are discarded.
    void reset();                       ///< Closes with RST, so that the peer cannot mistake it for an orderly close.
    void poll(); ///< Reads available input, up to about 1 MiB, and detects a close at once, not from the event loop.

    /// Sends the buffered rest and FIN, and closes once the peer has taken all and closed, or has had a moment for
    /// that. `onEnd` is called then. Input is discarded once FIN is sent.
    /// @param stallTimeout a peer that takes nothing for so long is given up; an incomplete rest then ends with RST
    void closeWhenDrained(Duration stallTimeout = std::chrono::seconds(15));

    bool isPaused() const { return m_isPaused; }
    bool isPeerOpen(); ///< @return true if the kernel knows of no close by the peer, read or unread; false while paused
    std::string peerAddress() const; ///< @return IP:PORT of the peer, "" once it is gone
    bool isOpen() const { return m_socket.is_open(); }
    std::size_t pending() const { return m_sendBuffer.size() - m_sendOffset; } ///< @return bytes in the send buffer
    /// @return memory of the send buffer
    std::size_t heldBytes() const { return pending() > 0 ? m_sendBuffer.capacity() : 0; }
    std::uint64_t sent() const { return m_bytesSent; } ///< @return bytes accepted by the kernel since the start

    /// @return written bytes that the peer's kernel has not confirmed: in the send buffer, or held by this kernel
    std::size_t unacknowledged();
    std::uint64_t acknowledged(); ///< @return bytes that the peer's kernel has confirmed since the start

private:
    void waitReadable();
    void readAvailable(std::size_t maxBytes);
    void waitWritable();
    void flush();
    bool sendNow(std::string_view bytes, std::size_t &taken);
    void onAllSent();
    void end(StreamEnd how);
    void shutDownSending();
    void checkClosing();
    void giveUpClosing();

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<Hooks> m_hooks; // shared with a running callback, which may close the connection
    std::string m_sendBuffer;
    std::size_t m_sendOffset = 0; // bytes of `m_sendBuffer` already sent
    std::uint64_t m_bytesSent = 0;
    bool m_isPaused = false; // `pauseReading` is in effect
    bool m_isWaitingReadable = false;
    bool m_isWaitingWritable = false;
    bool m_closesWhenDrained = false;
    bool m_isDiscarding = false;     // FIN was sent: input is discarded
    bool m_isReset = false;          // a write was told so; the kernel does not tell a read as well
    DeadlineTimer m_closingTimer;    // of the checks after `closeWhenDrained`
    Duration m_stallTimeout{};       // passed to `closeWhenDrained`
    std::uint64_t m_takenBefore = 0; // acknowledged at the last check that showed progress
    Instant m_progressAt{};          // of that check
};

/// @return true if the socket is connected and the kernel knows of no close by the peer, also behind unread input
bool isPeerOpen(asio::ip::tcp::socket &socket);

/// Opens, binds and starts a listening socket.
/// @param address IP:PORT
/// @return false if the address is invalid or in use
bool listenOn(asio::ip::tcp::acceptor &acceptor, const std::string &address);

/// Parses "IP:PORT". @return nothing if the text is malformed
std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &text);

} // namespace galenafold
