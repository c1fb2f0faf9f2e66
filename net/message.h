// HTTP/1.x messages: the head as plain data, an incremental parser, and serialisation helpers.
//
// Sections of this file: Head, Parser, Serialisation.
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
    std::string name; // as received; names are compared without regard to case
    std::string value;
};

using HttpFields = std::vector<HttpField>;

/// @return the value of the first field with a name, compared without regard to case; null if there is none
const std::string *findField(const HttpFields &fields, std::string_view name);

/// @return true if two ASCII names or tokens are equal without regard to case
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Tells which fields of a message must not be forwarded: those that are hop-by-hop (concern one connection only), and
/// Expect and Content-Length, which the router handles itself. Its work grows with the number of fields, not with their
/// square.
class HopByHopFields
{
public:
    /// @param fields all fields of the message: its Connection fields may name further ones
    explicit HopByHopFields(const HttpFields &fields);

    bool contains(std::string_view name) const; ///< @return true if fields with this name must not be forwarded

private:
    std::vector<std::string> m_named; // in Connection fields; lower case, sorted
};

/// @return true if a field must not be forwarded; see `HopByHopFields`, which is for more than one name
bool isHopByHopField(const HttpFields &fields, std::string_view name);

HttpFields endToEndFields(const HttpFields &fields); ///< @return all but hop-by-hop fields

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
    bool keepsAlive = true;        // the sender keeps the connection open after the response
    bool isCloseDelimited = false; // neither length nor chunked: the end of the connection ends the body
};

/// @return the idle timeout in the Keep-Alive field ("timeout=SECONDS"), or nothing if there is none
std::optional<std::chrono::seconds> keepAliveTimeout(const HttpFields &fields);

// Parser

/// Why a message was rejected.
enum class ParseFault : std::uint8_t { None, Malformed, HeadTooLarge, BodyTooLarge };

/// Size limits of one message, in bytes.
struct ParseLimits {
    std::uint32_t headBytes = 16384;     // start line and header fields; also each chunk's header, and the trailer
    std::uint64_t bodyBytes = 4U << 20U; // 4 MiB
};

/// Parses one message from input in pieces of any size. Body bytes accumulate in `body` until its owner removes them.
class MessageParser
{
public:
    /// `ResponseWithoutBody` is the response to a HEAD request: it has no body, even if its fields declare one.
    enum class Kind : std::uint8_t { Request, Response, ResponseWithoutBody };

    MessageParser(Kind kind, const ParseLimits &limits);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Parses input up to the end of the message.
    /// @return bytes consumed; the rest belongs to the next message
    std::size_t feed(std::string_view bytes);

    /// Tells the parser that the sender has closed the connection orderly, which completes a close-delimited body.
    void feedEof();

    bool hasStarted() const;  ///< @return true once any input was read
    bool isHeadDone() const;  ///< @return true once `request` or `response` holds the head
    bool isDone() const;      ///< @return true once the whole message is parsed
    ParseFault fault() const; ///< @return why the message was rejected, or `None`
    RequestHead &request();   ///< @return the head of a request; valid once `isHeadDone`
    ResponseHead &response(); ///< @return the head of a response; valid once `isHeadDone`
    std::string &body();      ///< @return body bytes not yet removed; the owner clears them

    /// @return memory of the head and of input that is not parsed yet, in bytes; not that of `body`
    std::size_t heldBytes() const;

    /// @return length of the body that the head of a request declares; nothing for a chunked body, or without a body
    std::optional<std::uint64_t> declaredLength() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Serialisation

/// Appends one field line: "name: value" and CRLF.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// Appends one chunk of a chunked body. @param bytes not empty: a chunk of size 0 would end the body
void appendChunk(std::string &out, std::string_view bytes);

/// Last chunk, without trailer fields: ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// @return the standard reason phrase of a status code
const char *statusPhrase(int status);

} // namespace galenafold
