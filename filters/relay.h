// Last filter: relays an endpoint's response only while it belongs to the request, is in order and is complete.
//
// Sections of this file: Heads, Stream, Buffered response, Reader.
#pragma once

#include "filters/attempt.h"

namespace galenafold
{

// Heads

/// Status and headers of an endpoint's response.
struct EndpointResponseHead {
    int status = 0;
    std::string contentType;
    std::string echoedRequest; // header X-Request-Id
    std::string run;           // header X-Request-Run: "no" when the endpoint did not run the request
    bool isFramed = false;     // has a length or chunks, so that truncation can be detected
    Tokens reusedPrompt = 0;   // prompt tokens found in its prefix cache
    bool hasLoad = false;      // `load` was given
    LoadReport load;
};

/// Status and headers of the response to the caller.
struct CallerResponseHead {
    int status = 200;
    std::string contentType;
    AffinityHint servedBy;
    Tokens reusedPrompt = 0; // prompt tokens found in the endpoint's prefix cache
    bool isStream = false;
};

/// How the HTTP exchange with an endpoint ended.
enum class ExchangeResult : std::uint8_t {
    NotSent,  // no connection was made
    Broken,   // bytes may have been sent; the response is missing or truncated
    Complete, // the response ended as its HTTP framing requires
};

// Stream

enum class StreamState : std::uint8_t {
    Open,   // more events are expected
    Done,   // the final event was received
    Broken, // wrong request, gap or malformed event; nothing more is relayed
};

/// Validates a server-sent event stream of a model engine. Only complete events pass; tokens already relayed are
/// dropped, so a resumed stream continues exactly where the caller's stopped.
class StreamValidator
{
public:
    /// @param request that every event must name. @param relayed tokens that the caller already has.
    StreamValidator(const RequestId &request, Tokens relayed);

    /// Takes bytes as they arrive. @return events that may be relayed now.
    std::string feed(const char *data, std::size_t size);

    StreamState state() const { return m_state; }
    Tokens relayed() const { return m_relayed; }         ///< @return tokens that the caller has now
    const std::string &fault() const { return m_fault; } ///< @return why the stream is invalid; empty: it is valid

private:
    std::string validateEvent(const std::string &event);
    void breakStream(const std::string &fault);

    RequestId m_request;
    Tokens m_relayed;
    StreamState m_state = StreamState::Open;
    std::string m_pending;
    std::string m_fault;
};

// Buffered response

/// Complete response of an endpoint to a call that is not streamed.
struct BufferedResponse {
    std::string echoedRequest; // header X-Request-Id
    std::string body;
    bool isModel = false; // the body is JSON and must name the request too
};

/// @return why the response must not be relayed; empty when it may
std::string validateResponse(const BufferedResponse &response, const RequestId &request);

// Reader

/// Receives the validated response. All functions are called on the thread that feeds the reader.
struct RelayHooks {
    std::function<bool(const CallerResponseHead &)> win; ///< Starts the caller's response. false: another attempt won.
    std::function<bool(const std::string &, Tokens relayed)> push; ///< Relays bytes. false: stop.
    std::function<void()> finishResponse;                          ///< The complete response was pushed.
    std::function<void()> onAttemptFailed;                         ///< A stream failed or is no longer wanted.
    std::function<void(const LoadReport &)> onLoad;                ///< The headers carried the endpoint's load.
};

/// Parameters of the attempt whose response is read.
struct ResponseReaderParams {
    CallKey call{};
    int attempt = 1; // 1 for the first
    RequestId request;
    AffinityHint endpoint;
    Tokens resumeFrom = 0; // tokens that the caller already has
    Tokens expectedOutput = 0;
    bool isStream = false;
    bool isModel = false; // a model engine, not a plain service
};

/// Reads the response of one attempt as it arrives, relays what is valid, and reports how the attempt ended.
class ResponseReader
{
public:
    ResponseReader(const ResponseReaderParams &params, RelayHooks hooks);

    bool onHead(const EndpointResponseHead &head);   ///< @return false: cancel the attempt
    bool onData(const char *data, std::size_t size); ///< @return false: cancel the attempt
    AttemptReport finish(ExchangeResult result, bool isCancelled);
    const std::string &fault() const { return m_fault; } ///< @return what was wrong; empty: nothing

private:
    bool win();
    bool relay(const std::string &bytes);
    void finishBuffered(AttemptReport &report);
    void finishStream(ExchangeResult result, AttemptReport &report);

    ResponseReaderParams m_params;
    RelayHooks m_hooks;
    StreamValidator m_validator;
    EndpointResponseHead m_head;
    std::string m_body;
    std::string m_fault;
    bool m_hasHead = false;
    bool m_reportsNotRun = false;
    bool m_isStreaming = false;
    bool m_hasWon = false;
    bool m_isUnwanted = false; // another attempt won, or the caller disconnected
};

} // namespace galenafold
