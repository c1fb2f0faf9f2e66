// One attempt: send, check, pipe, report.
#include "shell/runner.h"

#include "filters/relay.h"

#include <glog/logging.h>

namespace galenafold
{

constexpr int statusNotRunAtAll = 503;
constexpr int firstServerFault = 500;
constexpr std::size_t mostWholeBytes = 16 << 20;
constexpr auto answerWithin = std::chrono::seconds(600); // for a whole answer, once an attempt was started

/// State of one attempt while its answer comes in.
class AnswerReader
{
public:
    AnswerReader(const StartAttempt &start, CallContext &context, const RunnerHooks &hooks)
        : m_start(start)
        , m_context(context)
        , m_hooks(hooks)
        , m_guard(context.call.request, start.resumeFrom)
    {
    }

    bool onHead(const EndpointHead &head);
    bool onData(const char *data, std::size_t size);
    AttemptReport finish(SendResult result, bool isCancelled);
    const std::string &fault() const { return m_fault; }

private:
    bool win();
    bool relay(const std::string &bytes);
    void finishWhole(AttemptReport &report);
    void finishStream(SendResult result, AttemptReport &report);

    const StartAttempt &m_start;
    CallContext &m_context;
    const RunnerHooks &m_hooks;
    StreamGuard m_guard;
    EndpointHead m_head;
    std::string m_whole;
    std::string m_fault;
    bool m_hasHead = false;
    bool m_isStreaming = false;
    bool m_hasWon = false;
};

bool AnswerReader::onHead(const EndpointHead &head)
{
    m_head = head;
    m_hasHead = true;
    if (head.hasLoad) {
        m_hooks.onLoad(head.load);
    }
    if (head.run == "no") {
        m_fault = "endpoint '" + m_start.endpoint.id.text + "' did not run it";
        return false;
    }
    if (head.echoedRequest != m_context.call.request.text) {
        m_fault = "answer to '" + head.echoedRequest + "' came for '" + m_context.call.request.text + "'";
        return false;
    }
    if (head.status >= firstServerFault || !head.isFramed) {
        m_fault = "endpoint '" + m_start.endpoint.id.text + "' answered status " + std::to_string(head.status);
        return false;
    }
    m_isStreaming = m_context.isStream && head.status == 200;
    return true;
}

bool AnswerReader::win()
{
    if (m_hasWon) {
        return true;
    }
    AnswerHead head;
    head.status = m_head.status;
    head.contentType = m_head.contentType;
    head.servedBy = {m_start.endpoint.id, m_start.endpoint.incarnation};
    head.reusedPrompt = m_head.reusedPrompt;
    head.isStream = m_isStreaming;
    m_hasWon = m_context.exchange.offerHead(m_start.attempt, head);
    if (m_hasWon) {
        m_hooks.onFirstByte(m_context.call.key, m_start.attempt);
    }
    return m_hasWon;
}

bool AnswerReader::relay(const std::string &bytes)
{
    return bytes.empty() || (win() && m_context.exchange.push(m_start.attempt, bytes));
}

bool AnswerReader::onData(const char *data, std::size_t size)
{
    if (!m_isStreaming) {
        m_whole.append(data, size);
        return m_whole.size() <= mostWholeBytes;
    }
    const std::string bytes = m_guard.feed(data, size);
    const bool isRelayed = relay(bytes);
    if (m_guard.state() == StreamState::Broken) {
        m_fault = m_guard.fault();
    }
    return isRelayed && m_guard.state() != StreamState::Broken;
}

void AnswerReader::finishWhole(AttemptReport &report)
{
    const bool isModel = m_context.isModel && m_head.status == 200;
    const std::string fault = checkWholeAnswer({m_head.echoedRequest, m_whole, isModel}, m_context.call.request);
    if (!fault.empty()) {
        m_fault = fault;
        report.state = AttemptState::MaybeSent;
        return;
    }
    if (!relay(m_whole.empty() ? "\n" : m_whole)) {
        report.isCancelled = true;
        return;
    }
    report.state = AttemptState::Complete;
    report.generated = m_context.call.output;
    m_context.exchange.endWhole(m_start.attempt);
}

void AnswerReader::finishStream(SendResult result, AttemptReport &report)
{
    report.relayed = m_guard.relayed();
    report.generated = m_guard.relayed();
    if (m_guard.state() == StreamState::Done) {
        report.state = AttemptState::Complete;
        m_context.exchange.endWhole(m_start.attempt);
        return;
    }
    if (m_fault.empty()) {
        m_fault = result == SendResult::Whole ? "stream ended without its closing event" : "stream was cut";
    }
    report.state = m_guard.relayed() > m_start.resumeFrom || m_hasWon ? AttemptState::Streaming : AttemptState::Head;
    m_context.exchange.loseAttempt(m_start.attempt);
}

AttemptReport AnswerReader::finish(SendResult result, bool isCancelled)
{
    AttemptReport report;
    report.call = m_context.call.key;
    report.attempt = m_start.attempt;
    report.isCancelled = isCancelled;
    report.saysNotRun = m_hasHead && m_head.run == "no";
    report.saysLeaving = m_hasHead && m_head.hasLoad && m_head.load.isLeaving;
    report.state = result == SendResult::NotSent ? AttemptState::NotSent : AttemptState::MaybeSent;
    report.relayed = m_start.resumeFrom;
    if (m_isStreaming) {
        finishStream(result, report);
    } else if (result == SendResult::Whole && m_fault.empty()) {
        finishWhole(report);
    } else if (m_fault.empty()) {
        m_fault = result == SendResult::NotSent ? "no connection" : "no whole answer";
    }
    return report;
}

AttemptRunner::AttemptRunner(std::size_t threads, RunnerHooks hooks)
    : m_hooks(std::move(hooks))
    , m_pool(threads)
{
}

void AttemptRunner::start(const StartAttempt &start, const std::shared_ptr<CallContext> &context)
{
    auto token = std::make_shared<CancelToken>();
    {
        const std::lock_guard<std::mutex> lock(context->tokensMutex);
        context->tokens[start.attempt] = token;
    }
    m_pool.enqueue([this, start, context, token] { run(start, *context, *token); });
}

void AttemptRunner::cancel(CallContext &context, int attempt)
{
    std::shared_ptr<CancelToken> token;
    {
        const std::lock_guard<std::mutex> lock(context.tokensMutex);
        token = context.tokens[attempt];
    }
    if (token) {
        token->cancel();
    }
}

static std::string number(double value)
{
    std::string text = std::to_string(value);
    return text.substr(0, text.find('.') + 3);
}

static SpanRecord attemptSpan(const StartAttempt &start, Instant begin, const AttemptReport &report,
                              const std::string &fault)
{
    static const char *const states[] = {"not_sent", "maybe_sent", "head", "streaming", "complete"};
    SpanRecord span{"attempt", begin, clockNow(), {}};
    span.attributes = {
        {"attempt", std::to_string(start.attempt)},       {"endpoint", start.endpoint.id.text},
        {"placed_by", text(start.placement.by)},          {"load", number(start.placement.load)},
        {"bound", number(start.placement.bound)},         {"candidates", std::to_string(start.placement.considered)},
        {"hedge", start.isHedge ? "yes" : "no"},          {"resume_from", number(start.resumeFrom)},
        {"state", states[static_cast<int>(report.state)]}};
    if (!fault.empty()) {
        span.attributes.push_back({"fault", fault});
    }
    return span;
}

void AttemptRunner::run(const StartAttempt &start, CallContext &context, CancelToken &token)
{
    const Instant begin = clockNow();
    EndpointRequest request;
    request.endpoint = start.endpoint;
    request.request = context.call.request;
    request.attempt = start.attempt;
    request.path = context.path;
    request.body = context.body;
    request.traceparent = context.trace.traceparent();
    request.chat = context.call.chat.text;
    request.operationKey = context.operationKey;
    request.priority = context.call.priority;
    request.isLong = context.call.lane == Lane::Long;
    request.mayReuse = context.mayReuse;
    request.resumeFrom = start.resumeFrom;
    request.deadline = begin + answerWithin;
    AnswerReader reader(start, context, m_hooks);
    EndpointEvents events;
    events.onHead = [&reader](const EndpointHead &head) { return reader.onHead(head); };
    events.onData = [&reader](const char *data, std::size_t size) { return reader.onData(data, size); };
    const SendResult result = m_client.send(request, events, token);
    const AttemptReport report = reader.finish(result, token.isCancelled());
    context.trace.add(attemptSpan(start, begin, report, reader.fault()));
    if (!reader.fault().empty() && !report.isCancelled) {
        context.trace.markFault();
        LOG(WARNING) << "attempt: " << context.call.request.text << ": " << reader.fault();
    }
    m_hooks.onEnded(report);
}

void AttemptRunner::stop()
{
    m_pool.shutdown();
}

} // namespace galenafold
