// Processes one call under a contract: filters, idempotency keys, and its end. @see contractattempts.cpp for the
// attempts at endpoints, contractresponse.cpp for what the caller gets
//
// Sections of this file: Filters, Keys, End.
#include "runtime/contractcall.h"

#include "filters/authenticate.h"
#include "net/status.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto claimTimeout = std::chrono::milliseconds(4000);
constexpr std::size_t maxKeyLength = 128; // bytes

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
