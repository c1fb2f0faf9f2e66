// Peers that send bytes without end, or faster than their input is handled: others have their turn, memory is bounded.
//
// Sections of this file: Event loop, Memory.
#include "tests/nodefixture.h"

#include <netinet/tcp.h>

using namespace galenafold;

// Event loop

TEST_GROUP(EndlessInput)
{
    asio::io_context io;
    asio::ip::tcp::socket peer{io};
    std::shared_ptr<TcpStream> stream;
    std::size_t read = 0;

    /// Connects `stream` to a peer that has sent more than a turn of the loop should read. @return bytes that wait
    std::size_t connect()
    {
        using MaxSegment = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
        constexpr std::size_t sentBytes = 600 << 10;
        constexpr std::size_t waitingBytes = 200 << 10;
        asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        acceptor.set_option(MaxSegment(1460)); // a read at the end of a large segment would not fill the buffer
        acceptor.set_option(asio::socket_base::receive_buffer_size(1 << 20));
        peer.connect(acceptor.local_endpoint());
        asio::ip::tcp::socket near = acceptor.accept();
        peer.non_blocking(true);
        const std::string bytes(sentBytes, 'x');
        std::size_t sent = 0;
        CHECK(waitFor([&] {
            asio::error_code error;
            sent += peer.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            return near.available() >= waitingBytes;
        }));
        const std::size_t waiting = near.available();
        stream = std::make_shared<TcpStream>(std::move(near));
        TcpStream::Hooks hooks;
        hooks.onBytes = [this](std::string_view bytes) { read += bytes.size(); };
        stream->start(std::move(hooks));
        return waiting;
    }
    void teardown() override
    {
        if (stream) {
            stream->close();
        }
        io.poll();
    }
};

/// A connection was read until it ran dry. A peer that is faster than the handler of its input kept the event loop: no
/// timer fired, and no other connection was served.
TEST(EndlessInput, OtherTasksOfTheLoopHaveTheirTurnBeforeAllInputIsRead)
{
    constexpr std::size_t maxTurnBytes = 128 << 10;
    const std::size_t waiting = connect();
    io.run_one(); // the first turn of the connection
    CHECK(read > 0);
    CHECK_TEXT(read <= maxTurnBytes, std::to_string(read).c_str());
    while (read < waiting) {
        io.run_one();
    }
}

/// What has arrived while the process stood still is read before a timer that expired meanwhile takes effect.
TEST(EndlessInput, APollReadsWhatHasArrived)
{
    const std::size_t waiting = connect();
    stream->poll();
    CHECK_TEXT(read >= waiting, std::to_string(read).c_str());
}

// Memory

TEST_GROUP(EndlessMessages){
    /// Feeds a response that begins so and goes on with 'x'. @return bytes that the parser took
    static std::size_t bytesUntilFault(const std::string &beginning){constexpr std::size_t limit = 1 << 20;
const std::string piece(1000, 'x');
ParseLimits limits;
limits.headBytes = 16384;
MessageParser parser(MessageParser::Kind::Response, limits);
std::size_t fed = parser.feed(beginning);
while (parser.fault() == ParseFault::None && fed < limit) {
    fed += parser.feed(piece);
}
return fed;
}
}
;

/// A chunk header, chunk extension or trailer without end was kept whole, and parsed again with each piece of it.
TEST(EndlessMessages, NoPartOfTheFramingIsLongerThanAHead)
{
    constexpr std::size_t limit = 16384 + 2000; // of a head, and the pieces around it
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &beginning :
         {std::string(), std::string("HTTP/1.1 200 OK\r\nA: "), chunked, chunked + "5",
          chunked + "5;a=", chunked + "5\r\nhello\r\n0\r\nA: ", chunked + "5\r\nhello\r\n0;a="}) {
        const std::size_t bytes = bytesUntilFault(beginning);
        CHECK_TEXT(bytes <= limit, (beginning + ": " + std::to_string(bytes)).c_str());
    }
}
