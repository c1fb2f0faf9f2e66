// A non-blocking TCP connection on one event loop: bytes in by a hook, bytes out through a bounded buffer.
//
// Nothing is read ahead into a buffer of the connection's own: all connections of a loop read into one scratch area,
// so an idle connection costs little. `sent` tells exactly how many bytes the system has taken.
#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace galenafold
{

/// How a connection ended.
enum class StreamEnd : std::uint8_t {
    Finished, // the peer closed in good order
    Broken,   // reset, or any other error
};

class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    struct Hooks {
        std::function<void(std::string_view)> onBytes;
        std::function<void(StreamEnd)> onEnd; // at most once; never after `close`
        std::function<void()> onDrained;      // all bytes given to `write` were taken by the system
    };

    explicit TcpStream(asio::ip::tcp::socket socket);

    void start(Hooks hooks);            ///< Begins to read.
    void write(std::string_view bytes); ///< Sends now what the system takes, the rest as it can.
    void pauseReading(bool isPaused);   ///< While paused neither bytes nor the peer's end are noticed.
    void close();                       ///< Closes at once; bytes not yet sent are dropped.
    void reset();                       ///< Closes with a reset, so that the peer cannot take it for a good end.
    void poll();                        ///< Reads what has already arrived, and notices an end that is already there.
    void closeWhenDrained();            ///< Sends the rest and an end, lets the peer read it, then closes.

    bool isOpen() const { return m_socket.is_open(); }
    std::size_t pending() const { return m_out.size() - m_outUsed; } ///< @return bytes not yet taken by the system
    std::uint64_t sent() const { return m_sent; }                    ///< @return bytes taken by the system

private:
    void waitReadable();
    void readAll();
    void waitWritable();
    void flush();
    void end(StreamEnd how);
    void finishSending();

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<Hooks> m_hooks; // shared with the call in progress: a hook may close its own connection
    std::string m_out;
    std::size_t m_outUsed = 0;
    std::uint64_t m_sent = 0;
    bool m_isPaused = false;
    bool m_isWaitingRead = false;
    bool m_isWaitingWrite = false;
    bool m_closesWhenDrained = false;
    bool m_isDiscarding = false; // all was sent; what still comes is not wanted
};

/// Binds a listener. @param address IP:PORT @return false: no such address, or it is taken
bool listenOn(asio::ip::tcp::acceptor &acceptor, const std::string &address);

/// "IP:PORT" as an endpoint of TCP. @return nothing where the text is no such thing
std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &text);

} // namespace galenafold
