// The attempts of one call under a contract at endpoints.
#include "runtime/contractcall.h"

namespace galenafold
{

constexpr auto responseTimeout = std::chrono::seconds(600); // from the newest attempt's start to its complete response

std::string ContractCall::encode(const Attempt &attempt) const
{
    const VmRecord &endpoint = attempt.start.endpoint;
    EndpointRequest request;
    request.request = m_call.request;
    request.attempt = attempt.start.attempt;
    request.host = endpoint.address + ':' + std::to_string(endpoint.port);
    request.path = m_path;
    request.body = m_request.body;
    request.traceparent = m_trace.traceparent();
    request.chat = m_call.chat.text;
    request.idempotencyKey = m_idempotencyKey;
    request.priority = m_call.priority;
    request.isLong = m_call.lane == Lane::Long;
    request.resumeFrom = attempt.start.resumeFrom;
    return encodeEndpointRequest(request);
}

ResponseReaderParams ContractCall::readerParams(const StartAttempt &start) const
{
    ResponseReaderParams params;
    params.call = m_call.key;
    params.attempt = start.attempt;
    params.request = m_call.request;
    params.endpoint = {start.endpoint.id, start.endpoint.incarnation};
    params.resumeFrom = start.resumeFrom;
    params.expectedOutput = m_call.output;
    params.isStream = m_isStream;
    params.isModel = m_isModel;
    return params;
}

/// The hooks capture a plain `this`: the call owns the reader that stores them, so a shared pointer would form a
/// reference cycle.
RelayHooks ContractCall::relayHooks(const StartAttempt &start)
{
    RelayHooks hooks;
    const int attempt = start.attempt;
    const Tokens resumeFrom = start.resumeFrom;
    hooks.win = [this, attempt, resumeFrom](const CallerResponseHead &head) { return win(attempt, head, resumeFrom); };
    hooks.push = [this, attempt](const std::string &bytes, Tokens relayed) { return relay(attempt, bytes, relayed); };
    hooks.finishResponse = [this, attempt] { finishResponse(attempt); };
    hooks.onAttemptFailed = [this, attempt] { m_arbiter.onAttemptFailed(attempt); };
    hooks.onLoad = [this](const LoadReport &report) { m_context.control.onLoadReport(report); };
    return hooks;
}

EndpointRequestHooks ContractCall::requestHooks(int attempt)
{
    const auto self = shared_from_this();
    EndpointRequestHooks hooks;
    hooks.onHead = [self, attempt](ResponseHead &head, const ResponseFields &) { self->onHead(attempt, head); };
    hooks.onBody = [self, attempt](std::string &body) { self->onBody(attempt, body); };
    hooks.onDone = [self, attempt] { self->endAttempt(attempt, ExchangeResult::Complete, false); };
    hooks.onFailed = [self, attempt](RequestProgress how) {
        self->endAttempt(attempt, how == RequestProgress::NotSent ? ExchangeResult::NotSent : ExchangeResult::Broken,
                         false);
    };
    return hooks;
}

void ContractCall::start(const StartAttempt &start)
{
    if (m_isFinished) {
        return; // the call has ended; the control thread has been notified, or will be
    }
    const Instant now = clockNow();
    if (start.attempt == 1) {
        m_trace.add({"queue", m_arrival, now, {}});
    }
    m_trace.add(
        {"place", now, now, {{"endpoint", start.endpoint.id.text}, {"by", text(start.placement.placementReason)}}});
    Attempt attempt;
    attempt.start = start;
    attempt.startTime = now;
    attempt.poolKey =
        start.endpoint.id.text + '#' + std::to_string(static_cast<std::uint64_t>(start.endpoint.incarnation));
    attempt.reader = std::make_unique<ResponseReader>(readerParams(start), relayHooks(start));
    bool isNew = false;
    const bool mustCheckOpen = !m_call.isIdempotent || !m_idempotencyKey.empty();
    attempt.connection = m_context.connectionPool.acquire(now, {attempt.poolKey}, mustCheckOpen, isNew);
    LogLine line("sent");
    line.text("request", m_call.request.text).text("replica", start.endpoint.id.text);
    line.number("try", start.attempt).text("placed_by", text(start.placement.placementReason));
    line.number("load", static_cast<std::int64_t>(start.placement.load)).flag("hedge", start.isHedge);
    line.flag("new_connection", isNew).millis("left_ms", m_call.deadline - now);
    m_context.log.write(line, LogPriority::Routine);
    const auto connection = attempt.connection;
    connection->send(encode(attempt), m_call.request, false, requestHooks(start.attempt));
    m_attempts.emplace(start.attempt, std::move(attempt));
    ++m_attemptsMade;
    startResponseTimer(now + responseTimeout);
    if (isNew) {
        const auto address = parseAddress(start.endpoint.address + ':' + std::to_string(start.endpoint.port));
        if (address) {
            connection->connect(*address, now + responseTimeout);
        } else {
            // The VM list has no valid address for this endpoint.
            endAttempt(start.attempt, ExchangeResult::NotSent, false);
        }
    }
}

void ContractCall::startResponseTimer(Instant deadline)
{
    m_responseTimer.expires_at(deadline);
    m_responseTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            return;
        }
        while (!self->m_attempts.empty() && !self->m_isFinished) {
            self->endAttempt(self->m_attempts.begin()->first, ExchangeResult::Broken, false);
        }
    });
}

void ContractCall::cancel(int attempt)
{
    endAttempt(attempt, ExchangeResult::Broken, true);
}

void ContractCall::onHead(int attempt, const ResponseHead &head)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const EndpointResponseHead decoded = decodeEndpointHead(head, found->second.start.endpoint, clockNow());
    if (!found->second.reader->onHead(decoded)) {
        endAttempt(attempt, ExchangeResult::Broken, false);
    }
}

void ContractCall::onBody(int attempt, std::string &body)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const std::string bytes = std::move(body);
    body.clear();
    if (!found->second.reader->onData(bytes.data(), bytes.size())) {
        endAttempt(attempt, ExchangeResult::Broken, false);
    }
}

/// Closing the connection makes the endpoint stop working on the request. After a complete response the connection
/// returns to the pool.
void ContractCall::endAttempt(int number, ExchangeResult result, bool isCancelled)
{
    const auto self = shared_from_this();
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    if (result == ExchangeResult::Complete) {
        m_context.connectionPool.release({attempt.poolKey}, attempt.connection);
    } else {
        attempt.connection->cancel();
    }
    const AttemptReport report = attempt.reader->finish(result, isCancelled);
    recordAttempt(attempt, report);
    m_context.control.onAttemptEnded(report);
}

} // namespace galenafold
