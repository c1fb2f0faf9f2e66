// Peers that send bytes without end: memory is bounded.
#include "tests/nodefixture.h"

using namespace galenafold;

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
