// Last filter: lets an endpoint's answer through only while it is the right one, in order and whole.
//
// Sections of this file: Stream, Whole answer.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

// Stream

enum class StreamState : std::uint8_t {
    Open,   // more is to come
    Done,   // the closing event was seen
    Broken, // wrong request, gap or rubbish; nothing more is let through
};

/// Checks a server-sent event stream of a model engine. Only whole events pass; tokens already relayed are dropped, so
/// a resumed stream continues exactly where the caller's stopped.
class StreamGuard
{
public:
    /// @param request that every event must name. @param relayed tokens that the caller already has.
    StreamGuard(const RequestId &request, Tokens relayed);

    /// Takes bytes as they come. @return what may be relayed now.
    std::string feed(const char *data, std::size_t size);

    StreamState state() const { return m_state; }
    Tokens relayed() const { return m_relayed; }         ///< @return tokens that the caller has now
    const std::string &fault() const { return m_fault; } ///< @return why the stream broke

private:
    std::string takeEvent(const std::string &event);
    void breakStream(const std::string &fault);

    RequestId m_request;
    Tokens m_relayed;
    StreamState m_state = StreamState::Open;
    std::string m_pending;
    std::string m_fault;
};

// Whole answer

/// What an endpoint sent back for a call that is not streamed.
struct WholeAnswer {
    std::string echoedRequest; // header X-Request-Id
    std::string body;
    bool isModel = false; // the body is JSON and must name the request too
};

/// @return why the answer must not be relayed; empty when it may
std::string checkWholeAnswer(const WholeAnswer &answer, const RequestId &request);

} // namespace galenafold
