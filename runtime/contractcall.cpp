// Processes one call under a contract: filters, attempts at endpoints, and the response.
//
// Sections of this file: Filters, Keys, Attempts, Responses, End.
#include "runtime/contractcall.h"

#include "filters/authenticate.h"
#include "net/status.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto claimTimeout = std::chrono::milliseconds(4000);
constexpr auto responseTimeout = std::chrono::seconds(600); // from the newest attempt's start to its complete response
constexpr std::size_t maxKeyLength = 128;                   // bytes
constexpr std::size_t maxUnsentBytes = 64 << 10; // to a slow caller; above it, reading from the endpoint is paused

ContractCall::ContractCall(ContractCallContext &context, CallKey key, const RequestId &id,
                           const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request)
    : m_context(context)
    , m_counters(context.counters)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_arrival(clockNow())
    , m_trace(id, field("traceparent"), context.settings.seed)
    , m_responseTimer(context.io)
{
    m_call.key = key;
    m_call.request = id;
    m_call.arrival = m_arrival;
    ++m_counters->inProgress;
    m_counters->lastArrival = m_arrival.time_since_epoch().count();
}

ContractCall::~ContractCall()
{
    --m_counters->inProgress;
}

std::string ContractCall::field(std::string_view name) const
{
    const std::string *found = findField(m_request.head.fields, name);
    return found ? *found : std::string();
}

// Filters

bool ContractCall::findContract()
{
    m_caller->onDisconnected = [self = shared_from_this()] { self->onCallerDisconnected(); };
    const auto snapshot = m_context.control.snapshot();
    if (!snapshot->hasContracts) {
        refuseWith(Reason::NotReady, ExecutionStatus::No, explainReason(Reason::NotReady));
        return false;
    }
    m_table = snapshot->contracts;
    const AuthenticationResult authenticated = authenticate(*m_table, field("Authorization"));
    m_trace.add({"authenticate", m_arrival, clockNow(), {{"outcome", text(authenticated.reason)}}});
    if (!authenticated.contract) {
        refuseWith(authenticated.reason, ExecutionStatus::No, explainReason(authenticated.reason));
        return false;
    }
    m_contract = authenticated.contract;
    m_call.customer = authenticated.contract->customer;
    return true;
}

void ContractCall::beginChat()
{
    if (!findContract()) {
        return;
    }
    ParsedChat parsed = parseChat(m_request.body, field("Galenafold-Chat"));
    if (!parsed.isValid) {
        refuseWith(Reason::BadRequest, ExecutionStatus::No, parsed.error);
        return;
    }
    parsed.traits.task = field("Galenafold-Task");
    parsed.traits.hint = parseHint(field("Galenafold-Hint"));
    m_path = "/v1/chat/completions";
    m_isModel = true;
    m_isStream = parsed.traits.isStream;
    if (classifyCall(parsed.traits)) {
        admit();
    }
}

void ContractCall::beginService(const PoolId &pool, const std::string &operation)
{
    if (!findContract()) {
        return;
    }
    RequestTraits traits;
    traits.pool = pool;
    traits.operation = operation;
    traits.isService = true;
    traits.task = field("Galenafold-Task");
    traits.hasIdempotencyKey = findField(m_request.head.fields, "Idempotency-Key") != nullptr;
    traits.prompt = static_cast<double>(m_request.body.size()) / bytesPerToken;
    m_path = "/operations/" + operation;
    if (classifyCall(traits)) {
        admit();
    }
}

void ContractCall::listModels()
{
    if (!findContract()) {
        return;
    }
    Json data = Json::array();
    for (const PoolId &model : m_contract->models) {
        data.push_back({{"id", model.text}, {"object", "model"}, {"owned_by", "galenafold"}});
    }
    const std::string body = Json{{"object", "list"}, {"data", data}}.dump();
    m_caller->sendResponse(statusOk, {{"X-Request-Id", m_call.request.text}, {"Content-Type", "application/json"}},
                           body);
    m_isFinished = true; // model listings are not in the call metrics
    m_caller->onDisconnected = nullptr;
}

bool ContractCall::classifyCall(const RequestTraits &traits)
{
    const Instant begin = clockNow();
    Classification classified = classify(m_arrival, *m_contract, traits);
    if (classified.reason != Reason::None) {
        refuseWith(classified.reason, ExecutionStatus::No, explainReason(classified.reason));
        return false;
    }
    classified.call.key = m_call.key;
    classified.call.request = m_call.request;
    m_call = classified.call;
    const char *lane = m_call.lane == Lane::Long ? "long" : "short";
    m_trace.add({"classify", begin, clockNow(), {{"class", m_call.taskClass}, {"lane", lane}}});
    return true;
}

void ContractCall::admit()
{
    const Instant begin = clockNow();
    m_context.control.admit(*m_contract, [self = shared_from_this(), begin](Reason reason) {
        asio::post(self->m_context.io, [self, begin, reason] {
            self->m_trace.add({"limit", begin, clockNow(), {{"outcome", text(reason)}}});
            self->onAdmitted(reason);
        });
    });
}

void ContractCall::onAdmitted(Reason reason)
{
    if (m_isFinished) { // the caller disconnected in the meantime
        if (reason == Reason::None) {
            m_context.control.cancelAdmission(m_call.customer);
        }
        return;
    }
    if (reason != Reason::None) {
        refuseWith(reason, ExecutionStatus::No, explainReason(reason));
        return;
    }
    m_isAdmitted = true;
    if (!m_isModel && findField(m_request.head.fields, "Idempotency-Key")) {
        claimKey();
        return;
    }
    submit();
}

void ContractCall::submit()
{
    m_isSubmitted = true;
    m_context.control.submit(m_call, m_contract->weight);
}

// Keys

static Reason reasonOf(ClaimResult result)
{
    switch (result) {
    case ClaimResult::InProgress:
        return Reason::KeyInProgress;
    case ClaimResult::Mismatch:
        return Reason::KeyMismatch;
    case ClaimResult::Expired:
        return Reason::KeyExpired;
    case ClaimResult::Won:
    case ClaimResult::Replay:
        return Reason::None;
    case ClaimResult::Unavailable:
        return Reason::LogUnavailable;
    }
    return Reason::LogUnavailable;
}

/// @return whether the operation has run, as far as a claim that was not won shows
static ExecutionStatus executionOf(ClaimResult result)
{
    const bool isUnknown = result == ClaimResult::InProgress || result == ClaimResult::Expired;
    return isUnknown ? ExecutionStatus::Unknown : ExecutionStatus::No;
}

void ContractCall::claimKey()
{
    const std::string key = field("Idempotency-Key");
    if (key.size() > maxKeyLength || !uuidV7Time(key)) {
        refuseWith(Reason::BadRequest, ExecutionStatus::No, "Idempotency-Key must be a UUID of version 7");
        return;
    }
    const Instant begin = clockNow();
    m_idempotencyKey = key;
    m_claim.key = m_call.customer.text + '/' + m_call.pool.text + '/' + key;
    m_claim.nonce = m_context.idempotency.newNonce();
    m_claim.fingerprint = hashApiKey(m_path + '\n' + m_request.body).substr(0, 32);
    m_claim.window = m_contract->keyWindow;
    const Instant answerBy = std::min<Instant>(m_call.deadline, begin + claimTimeout);
    m_context.idempotency.claim(m_claim, answerBy, [self = shared_from_this(), begin](const ClaimAnswer &answer) {
        self->onClaimed(answer, begin);
    });
}

/// A won claim is executed even if the caller has disconnected: a repeated request then gets the outcome.
void ContractCall::onClaimed(const ClaimAnswer &answer, Instant startTime)
{
    const bool hasWon = answer.result == ClaimResult::Won;
    m_trace.add({"claim", startTime, clockNow(), {{"outcome", hasWon ? "won" : text(reasonOf(answer.result))}}});
    if (hasWon) {
        submit();
        return;
    }
    if (answer.result == ClaimResult::Replay && answer.outcome.status != 0) {
        replay(answer.outcome);
        return;
    }
    const bool isLostOutcome = answer.result == ClaimResult::Replay;
    const Reason reason = isLostOutcome ? Reason::KeyInProgress : reasonOf(answer.result);
    refuseWith(reason, isLostOutcome ? ExecutionStatus::Unknown : executionOf(answer.result), explainReason(reason));
}

void ContractCall::replay(const ClaimOutcome &outcome)
{
    HttpFields fields = responseFields(ExecutionStatus::Yes);
    fields.push_back({"Galenafold-Replayed", "yes"});
    if (outcome.isBodyKept) {
        fields.push_back({"Content-Type", outcome.contentType});
    }
    if (m_caller) {
        m_caller->sendResponse(outcome.status, fields, outcome.isBodyKept ? outcome.body : std::string());
    }
    finish(Reason::None, ExecutionStatus::Yes);
}

void ContractCall::settleKey(const ClaimOutcome &outcome, ExecutionStatus executionStatus)
{
    if (m_claim.key.empty() || !m_isSubmitted) {
        return;
    }
    ClaimItem item = m_claim;
    item.kind = executionStatus == ExecutionStatus::No ? ClaimKind::Void : ClaimKind::Outcome;
    item.outcome = outcome;
    m_context.idempotency.settle(item);
}

// Attempts

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

// Responses

HttpFields ContractCall::responseFields(ExecutionStatus executionStatus) const
{
    return {{"X-Request-Id", m_call.request.text}, {"Galenafold-Run", text(executionStatus)}};
}

bool ContractCall::win(int attempt, const CallerResponseHead &head, Tokens resumeFrom)
{
    if (!m_arbiter.tryWin(attempt, resumeFrom)) {
        return false;
    }
    if (!m_responseHead) {
        m_responseHead = head;
        m_firstByte = clockNow() - m_arrival;
        m_servedBy = head.servedBy;
        if (head.isStream && m_caller) {
            HttpFields fields{{"X-Request-Id", m_call.request.text}};
            fields.push_back({"Content-Type", head.contentType});
            fields.push_back({"Galenafold-Hint", encodeHint(head.servedBy)});
            fields.push_back({"Galenafold-Prompt-Reused", std::to_string(static_cast<long>(head.reusedPrompt))});
            m_caller->beginStream(head.status, fields);
            m_caller->onDrained = [self = shared_from_this()] {
                for (auto &[number, other] : self->m_attempts) {
                    other.connection->pauseReading(false);
                }
            };
        }
    }
    m_context.control.onFirstByte(m_call.key, attempt, head.reusedPrompt);
    return true;
}

bool ContractCall::relay(int attempt, const std::string &bytes, Tokens relayed)
{
    if (!m_arbiter.relay(attempt, relayed)) {
        return false;
    }
    if (!m_responseHead->isStream) {
        m_responseBody += bytes;
        return true;
    }
    if (!m_caller) {
        return false;
    }
    m_caller->streamBytes(bytes);
    const auto found = m_attempts.find(attempt);
    if (m_caller->pending() > maxUnsentBytes && found != m_attempts.end()) {
        found->second.connection->pauseReading(true);
    }
    return true;
}

void ContractCall::finishResponse(int attempt)
{
    if (!m_arbiter.finishResponse(attempt) || m_isFinished) {
        return;
    }
    if (m_responseHead->isStream) {
        if (m_caller) {
            m_caller->endStream();
        }
        finish(Reason::None, ExecutionStatus::Yes);
        return;
    }
    const std::string type = m_responseHead->contentType.empty() ? "application/json" : m_responseHead->contentType;
    if (m_caller) {
        HttpFields fields = responseFields(ExecutionStatus::Yes);
        fields.push_back({"Content-Type", type});
        fields.push_back({"Galenafold-Hint", encodeHint(m_responseHead->servedBy)});
        fields.push_back({"Galenafold-Prompt-Reused", std::to_string(static_cast<long>(m_responseHead->reusedPrompt))});
        m_caller->sendResponse(m_responseHead->status, fields, m_responseBody);
    }
    settleKey({m_responseHead->status, m_responseHead->contentType, m_responseBody, true}, ExecutionStatus::Yes);
    finish(Reason::None, ExecutionStatus::Yes);
}

void ContractCall::refuse(Reason reason, ExecutionStatus executionStatus)
{
    if (m_isFinished) {
        return;
    }
    m_trace.markError();
    if (m_responseHead && m_responseHead->isStream) {
        if (m_caller) {
            m_caller->abortResponse(); // the missing last chunk tells the caller that the stream is truncated
        }
        finish(Reason::EndpointFailed, ExecutionStatus::Unknown);
        return;
    }
    refuseWith(reason, executionStatus, explainReason(reason));
}

void ContractCall::refuseWith(Reason reason, ExecutionStatus executionStatus, const std::string &message)
{
    m_trace.markError();
    if (m_caller) {
        HttpFields fields = responseFields(executionStatus);
        fields.push_back({"Content-Type", "application/json"});
        m_caller->sendResponse(httpStatusOf(reason), fields, errorBody(reason, executionStatus, message));
    }
    settleKey({}, executionStatus);
    finish(reason, executionStatus);
}

/// A call with an idempotency key continues, so that a repeated request gets its outcome. Any other call is cancelled.
void ContractCall::onCallerDisconnected()
{
    m_caller.reset();
    if (m_isFinished || !m_claim.key.empty()) {
        return;
    }
    m_arbiter.close();
    for (auto &[number, attempt] : m_attempts) {
        attempt.connection->cancel();
    }
    m_attempts.clear();
    if (m_isSubmitted) {
        m_context.control.onCallerDisconnected(m_call.key);
    }
    finish(Reason::CallerDisconnected, ExecutionStatus::Unknown);
}

// End

void ContractCall::finish(Reason reason, ExecutionStatus executionStatus)
{
    if (m_isFinished) {
        return;
    }
    const auto self = shared_from_this();
    m_isFinished = true;
    m_arbiter.close();
    m_responseTimer.cancel();
    if (m_caller) {
        m_caller->onDisconnected = nullptr;
        m_caller.reset();
    }
    if (m_isAdmitted && !m_isSubmitted) {
        m_context.control.cancelAdmission(m_call.customer);
    }
    // Posted, because one of the connections may be running the callback that called this function.
    for (auto &[number, attempt] : m_attempts) {
        asio::post(m_context.io, [connection = attempt.connection] { connection->cancel(); });
    }
    CallRecord record;
    record.customer = m_call.customer;
    record.taskClass = m_call.taskClass;
    record.reason = reason;
    record.executionStatus = executionStatus;
    record.firstByte = m_firstByte;
    record.total = clockNow() - m_arrival;
    record.prompt = m_call.prompt;
    record.reusedPrompt = m_responseHead ? m_responseHead->reusedPrompt : 0;
    m_context.metrics.count(record);
    saveTrace(reason, executionStatus);
    logOutcome(reason, executionStatus);
    m_context.onEnded(m_call.key);
}

} // namespace galenafold
