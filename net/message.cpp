// HTTP/1.1 message parsing on top of Boost.Beast, and serialisation helpers.
#include "net/message.h"

#include "net/status.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cstdio>

namespace galenafold
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Head

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

const std::string *findField(const HttpFields &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

/// @return the text without leading and trailing spaces and tabs
static std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

static std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &letter : lower) {
        letter = letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }
    return lower;
}

HopByHopFields::HopByHopFields(const HttpFields &fields)
{
    for (const HttpField &field : fields) {
        if (!equalsIgnoringCase(field.name, "connection")) {
            continue;
        }
        for (std::string_view list = field.value; !list.empty();) {
            const std::size_t comma = std::min(list.find(','), list.size());
            m_named.push_back(lowerCase(trimmed(list.substr(0, comma))));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }
    std::sort(m_named.begin(), m_named.end());
}

bool HopByHopFields::contains(std::string_view name) const
{
    static constexpr std::string_view hopFields[] = {"connection",        "keep-alive", "proxy-connection",
                                                     "transfer-encoding", "te",         "trailer",
                                                     "upgrade",           "expect",     "content-length"};
    for (const std::string_view hop : hopFields) {
        if (equalsIgnoringCase(name, hop)) {
            return true;
        }
    }
    return !m_named.empty() && std::binary_search(m_named.begin(), m_named.end(), lowerCase(name));
}

bool isHopByHopField(const HttpFields &fields, std::string_view name)
{
    return HopByHopFields(fields).contains(name);
}

HttpFields endToEndFields(const HttpFields &fields)
{
    const HopByHopFields hopByHop(fields);
    HttpFields forwarded;
    for (const HttpField &field : fields) {
        if (!hopByHop.contains(field.name)) {
            forwarded.push_back(field);
        }
    }
    return forwarded;
}

std::optional<std::chrono::seconds> keepAliveTimeout(const HttpFields &fields)
{
    constexpr std::string_view key = "timeout=";
    const std::string *found = findField(fields, "Keep-Alive");
    std::string_view list = found ? std::string_view(*found) : std::string_view();
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        const std::string_view piece = trimmed(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
        int seconds = 0;
        const char *end = piece.data() + piece.size();
        if (piece.substr(0, key.size()) != key) {
            continue;
        }
        const auto parsed = std::from_chars(piece.data() + key.size(), end, seconds);
        if (parsed.ec == std::errc() && parsed.ptr == end && seconds >= 0) {
            return std::chrono::seconds(seconds);
        }
    }
    return std::nullopt;
}

// Parser

class MessageParser::Impl
{
public:
    virtual ~Impl() = default;
    virtual std::size_t put(std::string_view bytes) = 0;
    virtual void putEof() = 0;
    virtual bool hasInput() const = 0;
    virtual bool isHeadDone() const = 0;
    virtual bool isDone() const = 0;

    RequestHead request;
    ResponseHead response;
    std::string body;
    std::string unparsed; // input that Beast did not consume: part of a head, chunk header or trailer
    std::size_t maxUnparsedBytes = 0;
    std::size_t textBytes = 0; // of names and values that have memory of their own
    ParseFault fault = ParseFault::None;
};

/// @return memory of a text beside its object; a short one has none
static std::size_t ownBytes(const std::string &text)
{
    constexpr std::size_t inPlaceBytes = 15; // in the object itself
    return text.capacity() > inPlaceBytes ? text.capacity() : 0;
}

/// Copies the results of Beast's parser callbacks into `RequestHead`, `ResponseHead` and `body`.
template<bool isRequest, typename Base>
class BeastParser : public Base, public http::basic_parser<isRequest>
{
    using Parser = http::basic_parser<isRequest>;

public:
    BeastParser(const ParseLimits &limits, bool skipsBody)
    {
        this->maxUnparsedBytes = limits.headBytes;
        Parser::header_limit(limits.headBytes);
        Parser::body_limit(limits.bodyBytes);
        Parser::eager(true);
        Parser::skip(skipsBody);
    }

    std::size_t put(std::string_view bytes) override
    {
        beast::error_code error;
        const std::size_t used = Parser::put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        recordError(error);
        return used;
    }

    void putEof() override
    {
        beast::error_code error;
        Parser::put_eof(error);
        recordError(error);
    }

    bool hasInput() const override { return Parser::got_some(); }
    bool isHeadDone() const override { return Parser::is_header_done(); }
    bool isDone() const override { return Parser::is_done(); }

private:
    void recordError(const beast::error_code &error)
    {
        if (!error || error == http::error::need_more) {
            return;
        }
        if (error == http::error::header_limit) {
            this->fault = ParseFault::HeadTooLarge;
        } else if (error == http::error::body_limit) {
            this->fault = ParseFault::BodyTooLarge;
        } else {
            this->fault = ParseFault::Malformed;
        }
    }

    void on_request_impl(http::verb, beast::string_view method, beast::string_view target, int version,
                         beast::error_code &error) override
    {
        this->request.method.assign(method.data(), method.size());
        this->request.target.assign(target.data(), target.size());
        this->request.isHttp11 = version > 10;
        checkVersion(version, error);
    }

    void on_response_impl(int status, beast::string_view reason, int version, beast::error_code &error) override
    {
        this->response.status = status;
        this->response.reason.assign(reason.data(), reason.size());
        checkVersion(version, error);
        if (status < firstStatus) {
            error = http::error::bad_status;
        }
    }

    static void checkVersion(int version, beast::error_code &error)
    {
        constexpr int http10 = 10;
        constexpr int http11 = 11;
        if (version != http10 && version != http11) {
            error = http::error::bad_version;
        }
    }

    void on_field_impl(http::field, beast::string_view name, beast::string_view value, beast::error_code &) override
    {
        HttpFields &fields = isRequest ? this->request.fields : this->response.fields;
        fields.push_back({{name.data(), name.size()}, {value.data(), value.size()}});
        this->textBytes += ownBytes(fields.back().name) + ownBytes(fields.back().value);
    }

    void on_header_impl(beast::error_code &error) override
    {
        HttpFields &fields = isRequest ? this->request.fields : this->response.fields;
        int lengths = 0;
        int codings = 0;
        bool isCodingKnown = true;
        for (const HttpField &field : fields) {
            lengths += equalsIgnoringCase(field.name, "content-length") ? 1 : 0;
            if (equalsIgnoringCase(field.name, "transfer-encoding")) {
                ++codings;
                isCodingKnown = isCodingKnown && equalsIgnoringCase(field.value, "chunked");
            }
        }
        if (lengths + codings > 1 || !isCodingKnown) {
            error = http::error::bad_transfer_encoding;
        }
        this->request.keepsAlive = Parser::keep_alive();
        this->response.keepsAlive = Parser::keep_alive();
        this->response.isCloseDelimited = Parser::need_eof();
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, beast::error_code &) override { }

    std::size_t on_body_impl(beast::string_view bytes, beast::error_code &) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code &) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, beast::error_code &) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(beast::error_code &) override { }
};

MessageParser::MessageParser(Kind kind, const ParseLimits &limits)
{
    if (kind == Kind::Request) {
        m_impl = std::make_unique<BeastParser<true, Impl>>(limits, false);
    } else {
        m_impl = std::make_unique<BeastParser<false, Impl>>(limits, kind == Kind::ResponseWithoutBody);
    }
}

MessageParser::~MessageParser() = default;

/// Beast does not consume an incomplete line, but expects it again with the input that follows. So unconsumed input is
/// kept in `unparsed` and put before the input of the next call. Beast limits heads, but no chunk header and no
/// trailer.
std::size_t MessageParser::feed(std::string_view bytes)
{
    Impl &impl = *m_impl;
    const std::size_t unparsedBefore = impl.unparsed.size();
    std::string_view input = bytes;
    if (unparsedBefore > 0) {
        impl.unparsed.append(bytes);
        input = impl.unparsed;
    }
    std::size_t used = 0;
    while (used < input.size() && !impl.isDone() && impl.fault == ParseFault::None) {
        const std::size_t step = impl.put(input.substr(used));
        used += step;
        if (step == 0) {
            break;
        }
    }
    if (impl.isDone() || impl.fault != ParseFault::None) {
        impl.unparsed.clear();
        return used > unparsedBefore ? used - unparsedBefore : 0;
    }
    if (unparsedBefore > 0) {
        impl.unparsed.erase(0, used);
    } else {
        impl.unparsed.assign(input.substr(used));
    }
    if (impl.unparsed.size() > impl.maxUnparsedBytes) {
        impl.fault = ParseFault::HeadTooLarge;
        impl.unparsed.clear();
    }
    return bytes.size();
}

void MessageParser::feedEof()
{
    if (m_impl->fault == ParseFault::None && !m_impl->isDone()) {
        m_impl->putEof();
    }
}

bool MessageParser::hasStarted() const
{
    return m_impl->hasInput() || !m_impl->unparsed.empty();
}

bool MessageParser::isHeadDone() const
{
    return m_impl->isHeadDone();
}

bool MessageParser::isDone() const
{
    return m_impl->isDone();
}

ParseFault MessageParser::fault() const
{
    return m_impl->fault;
}

RequestHead &MessageParser::request()
{
    return m_impl->request;
}

ResponseHead &MessageParser::response()
{
    return m_impl->response;
}

std::string &MessageParser::body()
{
    return m_impl->body;
}

std::size_t MessageParser::heldBytes() const
{
    const std::size_t fields = m_impl->request.fields.capacity() + m_impl->response.fields.capacity();
    return fields * sizeof(HttpField) + m_impl->textBytes + ownBytes(m_impl->unparsed)
        + ownBytes(m_impl->request.target);
}

std::optional<std::uint64_t> MessageParser::declaredLength() const
{
    const std::string *text = findField(m_impl->request.fields, "content-length");
    std::uint64_t length = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
        return std::nullopt;
    }
    return length;
}

// Serialisation

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name);
    out.append(": ");
    out.append(value);
    out.append("\r\n");
}

void appendChunk(std::string &out, std::string_view bytes)
{
    char size[24];
    const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    out.append(size, static_cast<std::size_t>(length));
    out.append(bytes);
    out.append("\r\n");
}

const char *statusPhrase(int status)
{
    const beast::string_view phrase = http::obsolete_reason(static_cast<http::status>(status));
    return phrase.data(); // points to a null-terminated literal in Beast
}

} // namespace galenafold
