// One HTTP/1.1 message: its head as plain data, and an incremental parser for it.
//
// Sections of this file: Head, Parser, Writing.
//
// The parsing is Boost.Beast's. What is added here rejects messages that two parsers could read differently: both
// lengths, a repeated length, any transfer coding but a single "chunked".
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
    std::string name; // as received; compared without case
    std::string value;
};

using HttpFields = std::vector<HttpField>;

/// @return the first value of a field, or nothing. @param name in any case
const std::string *findField(const HttpFields &fields, std::string_view name);

/// @return true if two names or tokens differ at most in case
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Whether a field concerns one connection only and is never passed on.
bool isHopByHopField(const HttpFields &fields, std::string_view name);

struct RequestHead {
    std::string method;
    std::string target;
    HttpFields fields;
    bool keepsAlive = true; // the sender will reuse the connection
    bool isHttp11 = true;   // false: 1.0, whose senders know no chunks
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepsAlive = true;
    bool isCloseDelimited = false; // no length: the body ends where the connection does
};

/// @return how long the sender keeps an idle connection, where its field Keep-Alive says so
std::optional<std::chrono::seconds> idleLifetime(const HttpFields &fields);

// Parser

enum class ParseFault : std::uint8_t { None, Malformed, HeadTooLarge, BodyTooLarge };

struct ParseLimits {
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
};

/// Reads one message from pieces of any size. Bytes of a body gather in `body` until they are taken.
class MessageParser
{
public:
    enum class Kind : std::uint8_t { Request, Response, ResponseWithoutBody };

    MessageParser(Kind kind, const ParseLimits &limits);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Takes bytes until the message ends. @return bytes used; the rest belongs to what follows
    std::size_t feed(std::string_view bytes);

    /// The connection has ended in good order. Completes a body that has no length.
    void feedEof();

    bool hasStarted() const;  ///< @return true once a byte was read
    bool isHeadDone() const;  ///< @return true once the head stands in `request` or `response`
    bool isDone() const;      ///< @return true once the whole message was read
    ParseFault fault() const; ///< @return why the message cannot be read
    RequestHead &request();
    ResponseHead &response();
    std::string &body(); ///< @return body bytes not yet taken

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Writing

/// Adds "name: value" and the line's end.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// Adds one piece of a chunked body.
void appendChunk(std::string &out, std::string_view bytes);

/// Ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// @return the standard phrase of a status
const char *statusPhrase(int status);

} // namespace galenafold
