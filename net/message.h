// HTTP/1.1 messages: the head as plain data, an incremental parser, and helpers for serialisation.
//
// Sections of this file: Head, Parser, Writing.
//
// Parsing is done by Boost.Beast. Against request smuggling, this layer also rejects messages that two parsers could
// frame differently: Content-Length with Transfer-Encoding, a repeated Content-Length, and any transfer coding other
// than a single "chunked".
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenafold
{

// Head

struct HttpField {
    std::string name; // as received; compared without regard to case
    std::string value;
};

using HttpFields = std::vector<HttpField>;

/// Looks up a field by its name, without regard to case.
/// @return the value of the first such field, or nullptr
const std::string *findField(const HttpFields &fields, std::string_view name);

/// @return true if two ASCII names or tokens are equal without regard to case
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// @param fields all fields of the message: its Connection field may name further ones
/// @return true if a field must not be forwarded: it is hop-by-hop (concerns one connection only), or it is Expect or
/// Content-Length, which the router handles itself
bool isHopByHopField(const HttpFields &fields, std::string_view name);

struct RequestHead {
    std::string method;
    std::string target;
    HttpFields fields;
    bool keepsAlive = true; // the sender wants a persistent connection
    bool isHttp11 = true;   // false: HTTP/1.0, without chunked coding
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepsAlive = true;
    bool isCloseDelimited = false; // neither length nor chunked: the body ends with the connection
};

/// @return the idle timeout in the Keep-Alive field ("timeout=SECONDS"), or nothing if there is none
std::optional<std::chrono::seconds> idleLifetime(const HttpFields &fields);

// Parser

/// Why a message was rejected.
enum class ParseFault : std::uint8_t { None, Malformed, HeadTooLarge, BodyTooLarge };

/// Size limits of one message, in bytes.
struct ParseLimits {
    std::uint32_t headBytes = 16384;     // start line and fields
    std::uint64_t bodyBytes = 4U << 20U; // 4 MiB
};

/// Parses one message from input in pieces of any size. Body bytes collect in `body` until the user removes them.
class MessageParser
{
public:
    /// `ResponseWithoutBody`: the response to a HEAD request, which has no body whatever its fields say.
    enum class Kind : std::uint8_t { Request, Response, ResponseWithoutBody };

    MessageParser(Kind kind, const ParseLimits &limits);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Parses input up to the end of the message.
    /// @return bytes consumed; the rest belongs to the next message
    std::size_t feed(std::string_view bytes);

    /// Reports an orderly end of the connection, which completes a body without a length.
    void feedEof();

    bool hasStarted() const;  ///< @return true once any input was read
    bool isHeadDone() const;  ///< @return true once `request` or `response` holds the head
    bool isDone() const;      ///< @return true once the whole message is parsed
    ParseFault fault() const; ///< @return why the message was rejected, or `None`
    RequestHead &request();   ///< @return the head of a request; valid once `isHeadDone`
    ResponseHead &response(); ///< @return the head of a response; valid once `isHeadDone`
    std::string &body();      ///< @return body bytes not yet removed; the user clears them

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Writing

/// Appends one field line: "name: value" and CRLF.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// Appends one chunk of a chunked body. @param bytes not empty: a chunk of size 0 would end the body
void appendChunk(std::string &out, std::string_view bytes);

/// Last chunk, without trailer fields: ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// @return the standard reason phrase of a status code
const char *statusPhrase(int status);

} // namespace galenafold
