// Last filter: lets an endpoint's answer through only while it is the right one, in order and whole.
//
// Sections of this file: Heads, Stream, Whole answer, Reader.
#pragma once

#include "filters/attempt.h"

namespace galenafold
{

// Heads

/// Head of an endpoint's answer.
struct EndpointResponseHead {
    int status = 0;
    std::string contentType;
    std::string echoedRequest;
    std::string run;         // X-Request-Run: "no" when the endpoint did not run it
    bool isFramed = false;   // its end can be told from a cut connection
    Tokens reusedPrompt = 0; // prompt tokens that were still in its cache
    bool hasLoad = false;
    LoadReport load;
};

/// What the caller is answered with.
struct CallerResponseHead {
    int status = 200;
    std::string contentType;
    AffinityHint servedBy;
    Tokens reusedPrompt = 0;
    bool isStream = false;
};

/// How the exchange with an endpoint ended, as HTTP sees it.
enum class ExchangeResult : std::uint8_t {
    NotSent, // the connection could not be made
    Broken,  // bytes may have been sent; the answer is missing or not whole
    Whole,   // the answer ended as HTTP says it should
};

// Stream

enum class StreamState : std::uint8_t {
    Open,   // more is to come
    Done,   // the closing event was seen
    Broken, // wrong request, gap or rubbish; nothing more is let through
};

/// Checks a server-sent event stream of a model engine. Only whole events pass; tokens already relayed are dropped, so
/// a resumed stream continues exactly where the caller's stopped.
class StreamValidator
{
public:
    /// @param request that every event must name. @param relayed tokens that the caller already has.
    StreamValidator(const RequestId &request, Tokens relayed);

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

// Reader

/// Where checked answers go. All are called on the thread that feeds the reader.
struct RelayHooks {
    std::function<bool(const CallerResponseHead &)> win; ///< Offers to answer the caller. false: another attempt won.
    std::function<bool(const std::string &, Tokens relayed)> push; ///< Relays bytes. false: stop.
    std::function<void()> finishResponse;                          ///< All of the answer was pushed.
    std::function<void()> onAttemptFailed;                         ///< The attempt broke after it won.
    std::function<void(const LoadReport &)> onLoad;                ///< The head carried the endpoint's load.
};

/// What the reader must know of its attempt.
struct ResponseReaderParams {
    CallKey call{};
    int attempt = 1;
    RequestId request;
    AffinityHint endpoint;
    Tokens resumeFrom = 0;
    Tokens expectedOutput = 0;
    bool isStream = false;
    bool isModel = false;
};

/// Takes one attempt's answer as it comes, lets through what may pass, and says how the attempt ended.
class ResponseReader
{
public:
    ResponseReader(const ResponseReaderParams &plan, RelayHooks hooks);

    bool onHead(const EndpointResponseHead &head);   ///< @return false: give the attempt up
    bool onData(const char *data, std::size_t size); ///< @return false: give the attempt up
    AttemptReport finish(ExchangeResult result, bool isCancelled);
    const std::string &fault() const { return m_fault; } ///< @return what was wrong; empty: nothing

private:
    bool win();
    bool relay(const std::string &bytes);
    void finishWhole(AttemptReport &report);
    void finishStream(ExchangeResult result, AttemptReport &report);

    ResponseReaderParams m_plan;
    RelayHooks m_hooks;
    StreamValidator m_guard;
    EndpointResponseHead m_head;
    std::string m_whole;
    std::string m_fault;
    bool m_hasHead = false;
    bool m_saysNotRun = false;
    bool m_isStreaming = false;
    bool m_hasWon = false;
    bool m_isUnwanted = false;
};

} // namespace galenafold
