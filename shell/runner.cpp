// One attempt: send, check, pipe, report.
#include "shell/runner.h"

#include "filters/relay.h"

#include <glog/logging.h>

namespace galenafold
{

constexpr auto answerWithin = std::chrono::seconds(600); // for a whole answer, once an attempt was started

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

static ReaderPlan planOf(const StartAttempt &start, const CallContext &context)
{
    ReaderPlan plan;
    plan.call = context.call.key;
    plan.attempt = start.attempt;
    plan.request = context.call.request;
    plan.endpoint = {start.endpoint.id, start.endpoint.incarnation};
    plan.resumeFrom = start.resumeFrom;
    plan.expectedOutput = context.call.output;
    plan.isStream = context.isStream;
    plan.isModel = context.isModel;
    return plan;
}

RelayHooks AttemptRunner::relayHooks(const StartAttempt &start, CallContext &context) const
{
    RelayHooks hooks;
    const int attempt = start.attempt;
    const Tokens resumeFrom = start.resumeFrom;
    hooks.win = [this, attempt, resumeFrom, &context](const AnswerHead &head) {
        const bool hasWon = context.exchange.offerHead(attempt, head, resumeFrom);
        if (hasWon) {
            m_hooks.onFirstByte(context.call.key, attempt, head.reusedPrompt);
        }
        return hasWon;
    };
    hooks.push = [attempt, &context](const std::string &bytes, Tokens relayed) {
        return context.exchange.push(attempt, bytes, relayed);
    };
    hooks.endWhole = [attempt, &context] { context.exchange.endWhole(attempt); };
    hooks.lose = [attempt, &context] { context.exchange.loseAttempt(attempt); };
    hooks.onLoad = m_hooks.onLoad;
    return hooks;
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
    AnswerReader reader(planOf(start, context), relayHooks(start, context));
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
