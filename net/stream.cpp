// A non-blocking TCP connection on one event loop.
#include "net/stream.h"

#include <array>
#include <asio/buffer.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace galenafold
{

constexpr std::size_t scratchBytes = 32768;                    // read buffer shared by the connections of a thread
constexpr std::size_t maxTurnBytes = 4 * scratchBytes;         // read before the thread's other connections have a turn
constexpr std::size_t maxPollBytes = 1 << 20;                  // the same for `poll`: about a kernel's receive buffer
constexpr std::size_t compactFromBytes = 65536;                // of the send buffer's sent part
constexpr auto lingerTimeout = std::chrono::milliseconds(500); // for a peer that has taken all to close
constexpr auto closingCheckInterval = std::chrono::milliseconds(100); // between checks of what a peer has taken

TcpStream::TcpStream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_closingTimer(m_socket.get_executor())
{
    asio::error_code ignored; // if the connection is already broken, the first read or write reports it
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void TcpStream::start(Hooks hooks)
{
    m_hooks = std::make_shared<Hooks>(std::move(hooks));
    waitReadable();
}

void TcpStream::waitReadable()
{
    if (m_isWaitingReadable || m_isPaused || !isOpen()) {
        return;
    }
    m_isWaitingReadable = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code &error) {
        self->m_isWaitingReadable = false;
        if (error != asio::error::operation_aborted && !self->m_isPaused) {
            self->readAvailable(maxTurnBytes);
        }
    });
}

/// Load pattern: a peer that sends faster than its input is handled, without end. The limit keeps it from holding the
/// event loop.
void TcpStream::readAvailable(std::size_t maxBytes)
{
    static thread_local std::array<char, scratchBytes> scratch;
    const auto self = shared_from_this(); // a callback may release all other references
    for (std::size_t total = 0; total < maxBytes && isOpen() && !m_isPaused;) {
        asio::error_code error;
        const std::size_t size = m_socket.read_some(asio::buffer(scratch), error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            break;
        }
        if (error) {
            end(error == asio::error::eof && !m_isReset ? StreamEnd::Finished : StreamEnd::Broken);
            return;
        }
        total += size;
        const auto hooks = m_hooks;
        if (!m_isDiscarding) {
            hooks->onBytes({scratch.data(), size});
        }
        if (size < scratch.size()) {
            break; // all available input was read; waitReadable reports more
        }
    }
    waitReadable();
}

void TcpStream::poll()
{
    if (isOpen() && !m_isPaused) {
        readAvailable(maxPollBytes);
    }
}

/// What the kernel accepts at once is not copied.
void TcpStream::write(std::string_view bytes)
{
    if (!isOpen()) {
        return;
    }
    if (pending() == 0) {
        std::size_t taken = 0;
        if (!sendNow(bytes, taken)) {
            return;
        }
        bytes.remove_prefix(taken);
        if (bytes.empty()) {
            onAllSent();
            return;
        }
    }
    m_sendBuffer.append(bytes);
    waitWritable();
}

void TcpStream::flush()
{
    const auto self = shared_from_this();
    std::size_t taken = 0;
    if (!sendNow(std::string_view(m_sendBuffer).substr(m_sendOffset), taken)) {
        return;
    }
    m_sendOffset += taken;
    const auto hooks = m_hooks;
    if (hooks && hooks->onSent) {
        hooks->onSent(taken);
    }
    if (!isOpen()) {
        return;
    }
    if (pending() == 0) {
        onAllSent();
        return;
    }
    const bool isMostlySent = m_sendOffset > compactFromBytes && m_sendOffset > pending();
    if (isMostlySent) { // a peer that is always a little behind would make the buffer grow without end
        m_sendBuffer.erase(0, m_sendOffset);
        m_sendOffset = 0;
    }
    waitWritable();
}

/// Passes bytes to the kernel until it takes no more. @param taken set to their number
/// @return false if the connection is broken
bool TcpStream::sendNow(std::string_view bytes, std::size_t &taken)
{
    while (taken < bytes.size()) {
        asio::error_code error;
        const std::size_t size = m_socket.write_some(asio::buffer(bytes.data() + taken, bytes.size() - taken), error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            break;
        }
        if (error) {
            m_sendBuffer = std::string();
            m_sendOffset = 0;
            // Where the peer's FIN came before its reset, the kernel tells of a broken pipe instead.
            m_isReset = m_isReset || error != asio::error::broken_pipe;
            // `onEnd` must not run inside `write`, so the error is left to the next read from the event loop. That read
            // first delivers what the peer sent before, such as a response.
            m_isPaused = false;
            waitReadable();
            return false;
        }
        taken += size;
        m_bytesSent += size;
    }
    return true;
}

void TcpStream::onAllSent()
{
    const auto self = shared_from_this();
    m_sendOffset = 0;
    m_sendBuffer = std::string(); // idle connections hold no memory
    if (m_closesWhenDrained) {
        shutDownSending();
        return;
    }
    const auto hooks = m_hooks;
    if (hooks && hooks->onDrained) {
        hooks->onDrained();
    }
}

void TcpStream::waitWritable()
{
    if (m_isWaitingWritable || !isOpen()) {
        return;
    }
    m_isWaitingWritable = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code &error) {
        self->m_isWaitingWritable = false;
        if (error != asio::error::operation_aborted && self->isOpen()) {
            self->flush();
        }
    });
}

void TcpStream::pauseReading(bool isPaused)
{
    m_isPaused = isPaused;
    if (!isPaused) {
        waitReadable();
    }
}

void TcpStream::close()
{
    asio::error_code ignored; // fails only if the connection is already closed
    m_socket.close(ignored);
    m_closingTimer.cancel();
    m_hooks.reset();
}

/// Makes the socket end with RST when it is closed.
static void resetOnClose(asio::ip::tcp::socket &socket)
{
    asio::error_code ignored; // if the option fails, the peer sees FIN in the middle of a message
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void TcpStream::reset()
{
    resetOnClose(m_socket);
    close();
}

/// The kernel holds megabytes for a peer on a slow link, so what it has accepted is not yet what the peer has.
std::size_t TcpStream::unacknowledged()
{
    int heldByKernel = 0;
    if (!isOpen() || ioctl(m_socket.native_handle(), SIOCOUTQ, &heldByKernel) != 0) {
        return pending();
    }
    return pending() + static_cast<std::size_t>(heldByKernel);
}

std::uint64_t TcpStream::acknowledged()
{
    const std::uint64_t written = m_bytesSent + pending();
    return written - std::min<std::uint64_t>(written, unacknowledged()); // the kernel counts FIN as a byte
}

void TcpStream::closeWhenDrained(Duration stallTimeout)
{
    if (!isOpen() || m_closesWhenDrained) {
        return;
    }
    m_closesWhenDrained = true;
    m_stallTimeout = stallTimeout;
    m_takenBefore = acknowledged();
    m_progressAt = clockNow();
    if (pending() == 0) {
        shutDownSending();
    }
    checkClosing();
}

/// Closing a socket with unread input sends RST, on which the peer loses data that it has not read yet. So only the
/// sending side is shut down, and input is discarded until the peer closes.
void TcpStream::shutDownSending()
{
    m_isDiscarding = true;
    asio::error_code ignored; // a broken connection is closed by the next read
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    pauseReading(false);
}

/// Load pattern: callers on slow links, which need many seconds for what was written at once, beside callers that have
/// gone without a word. Only progress tells them apart.
void TcpStream::checkClosing()
{
    if (!isOpen()) {
        return;
    }
    const Instant now = clockNow();
    const std::uint64_t taken = acknowledged();
    if (taken > m_takenBefore) {
        m_takenBefore = taken;
        m_progressAt = now;
    }
    const Duration limit = unacknowledged() == 0 ? Duration(lingerTimeout) : m_stallTimeout;
    if (now >= m_progressAt + limit) {
        giveUpClosing();
        return;
    }
    m_closingTimer.expires_at(now + closingCheckInterval);
    m_closingTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->checkClosing();
        }
    });
}

/// RST keeps the peer from taking a part of the rest for all of it.
void TcpStream::giveUpClosing()
{
    const bool isIncomplete = pending() > 0;
    if (isIncomplete) {
        resetOnClose(m_socket);
    }
    end(isIncomplete ? StreamEnd::Broken : StreamEnd::Finished);
}

/// While reading is paused, a close may wait behind input that the kernel does not take.
bool TcpStream::isPeerOpen()
{
    return !m_isPaused && galenafold::isPeerOpen(m_socket);
}

std::string TcpStream::peerAddress() const
{
    asio::error_code error;
    const auto endpoint = m_socket.remote_endpoint(error);
    return error ? "" : endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

void TcpStream::end(StreamEnd how)
{
    const auto hooks = m_hooks;
    close();
    if (hooks && hooks->onEnd) {
        hooks->onEnd(how);
    }
}

bool isPeerOpen(asio::ip::tcp::socket &socket)
{
    if (!socket.is_open()) {
        return false;
    }
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) == 0; // an error, or the end of the connection, is always told
}

bool listenOn(asio::ip::tcp::acceptor &acceptor, const std::string &text)
{
    const auto address = parseAddress(text);
    if (!address) {
        return false;
    }
    asio::error_code error;
    acceptor.open(address->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*address, error);
    if (error) {
        return false;
    }
    acceptor.listen(asio::socket_base::max_listen_connections, error);
    return !error;
}

std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

} // namespace galenafold
