// How a caller's connection is responded to: whole responses and streams.
#include "net/status.h"
#include "traffic/callerconnection.h"

namespace galenafold
{

constexpr std::size_t joinedBodyBytes = 16384; // a larger body is sent apart from its head, to save a copy

bool CallerConnection::closesAfterResponse() const
{
    return !m_keepsAlive || m_hooks.isDraining();
}

void CallerConnection::appendHead(std::string &out, int status, const HttpFields &fields)
{
    out += "HTTP/1.1 " + std::to_string(status) + ' ' + statusPhrase(status) + "\r\n";
    for (const HttpField &field : fields) {
        appendField(out, field.name, field.value);
    }
    if (closesAfterResponse()) {
        m_keepsAlive = false;
        appendField(out, "Connection", "close");
    }
}

void CallerConnection::sendResponse(int status, const HttpFields &fields, std::string_view body)
{
    if (m_state != State::Processing) {
        return;
    }
    std::string bytes;
    appendHead(bytes, status, fields);
    const bool mayHaveBody = status >= firstFinalStatus && status != statusNoContent && status != statusNotModified;
    if (mayHaveBody && !m_isHeadRequest) {
        appendField(bytes, "Content-Length", std::to_string(body.size()));
    }
    bytes += "\r\n";
    const bool sendsBody = mayHaveBody && !m_isHeadRequest;
    const bool isJoined = sendsBody && body.size() <= joinedBodyBytes;
    if (isJoined) {
        bytes += body;
    }
    m_stream->write(bytes);
    if (sendsBody && !isJoined) {
        m_stream->write(body);
    }
    nextRequest();
}

void CallerConnection::beginStream(int status, const HttpFields &fields)
{
    if (m_state != State::Processing) {
        return;
    }
    std::string bytes;
    if (!m_acceptsChunks) {
        m_keepsAlive = false; // the end of the connection delimits the body
    }
    appendHead(bytes, status, fields);
    if (m_acceptsChunks) {
        appendField(bytes, "Transfer-Encoding", "chunked");
    }
    bytes += "\r\n";
    m_stream->write(bytes);
}

void CallerConnection::streamBytes(std::string_view bytes)
{
    if (m_state != State::Processing) {
        return;
    }
    if (!m_acceptsChunks) {
        m_stream->write(bytes);
    } else {
        std::string chunk;
        appendChunk(chunk, bytes);
        m_stream->write(chunk);
    }
    noteHeldBytes();
}

void CallerConnection::endStream()
{
    if (m_state != State::Processing) {
        return;
    }
    if (m_acceptsChunks) {
        m_stream->write(lastChunk);
    }
    nextRequest();
}

void CallerConnection::abortResponse()
{
    if (m_state == State::Closed) {
        return;
    }
    const bool isIncomplete = m_state == State::Processing || m_stream->pending() > 0;
    if (isIncomplete && !m_acceptsChunks) {
        m_stream->reset(); // an orderly close would look like a complete response
    }
    close();
}

} // namespace galenafold
