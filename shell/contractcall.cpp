// One call under a contract. Sections of this file: Filters, Keys, Attempts, Answers, Records.
#include "shell/contractcall.h"

#include "filters/authenticate.h"
#include "net/status.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto claimWithin = std::chrono::milliseconds(4000);
constexpr auto answerWithin = std::chrono::seconds(600); // for a whole answer, once an attempt was started
constexpr std::size_t longestKey = 128;
constexpr std::size_t mostUnreadBytes = 64 << 10; // by a slow caller, before the endpoint is paused
constexpr double traceSteps = 10000;

ContractCall::ContractCall(CallServices &services, CallKey key, const RequestId &id,
                           const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request)
    : m_services(services)
    , m_counts(services.counts)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_arrival(clockNow())
    , m_trace(id, field("traceparent"), services.settings.seed)
    , m_timer(services.io)
{
    m_call.key = key;
    m_call.request = id;
    m_call.arrival = m_arrival;
    ++m_counts->inProgress;
    m_counts->lastArrival = m_arrival.time_since_epoch().count();
}

ContractCall::~ContractCall()
{
    --m_counts->inProgress;
}

std::string ContractCall::field(std::string_view name) const
{
    const std::string *found = findField(m_request.head.fields, name);
    return found ? *found : std::string();
}

// Filters

bool ContractCall::open()
{
    m_caller->onDisconnected = [self = shared_from_this()] { self->onCallerGone(); };
    const auto snapshot = m_services.core.snapshot();
    if (!snapshot->hasContracts) {
        refuseWith(Reason::NotReady, ExecutionStatus::No, explainReason(Reason::NotReady));
        return false;
    }
    m_table = snapshot->contracts;
    const Authenticated caller = authenticate(*m_table, field("Authorization"));
    m_trace.add({"authenticate", m_arrival, clockNow(), {{"outcome", text(caller.reason)}}});
    if (!caller.contract) {
        refuseWith(caller.reason, ExecutionStatus::No, explainReason(caller.reason));
        return false;
    }
    m_contract = caller.contract;
    m_call.customer = caller.contract->customer;
    return true;
}

void ContractCall::beginChat()
{
    if (!open()) {
        return;
    }
    ParsedChat parsed = parseChat(m_request.body, field("Galenafold-Chat"));
    if (!parsed.isGood) {
        refuseWith(Reason::BadRequest, ExecutionStatus::No, parsed.fault);
        return;
    }
    parsed.shape.task = field("Galenafold-Task");
    parsed.shape.hint = parseHint(field("Galenafold-Hint"));
    m_path = "/v1/chat/completions";
    m_isModel = true;
    m_isStream = parsed.shape.isStream;
    if (classifyCall(parsed.shape)) {
        admit();
    }
}

void ContractCall::beginService(const PoolId &pool, const std::string &operation)
{
    if (!open()) {
        return;
    }
    RequestTraits shape;
    shape.pool = pool;
    shape.operation = operation;
    shape.isService = true;
    shape.task = field("Galenafold-Task");
    shape.hasKey = findField(m_request.head.fields, "Idempotency-Key") != nullptr;
    shape.prompt = static_cast<double>(m_request.body.size()) / bytesPerToken;
    m_path = "/operations/" + operation;
    if (classifyCall(shape)) {
        admit();
    }
}

void ContractCall::listModels()
{
    if (!open()) {
        return;
    }
    Json data = Json::array();
    for (const PoolId &model : m_contract->models) {
        data.push_back({{"id", model.text}, {"object", "model"}, {"owned_by", "galenafold"}});
    }
    const std::string body = Json{{"object", "list"}, {"data", data}}.dump();
    m_caller->answer(statusOk, {{"X-Request-Id", m_call.request.text}, {"Content-Type", "application/json"}}, body);
    m_isFinished = true; // operators' calls are not counted
    m_caller->onDisconnected = nullptr;
}

bool ContractCall::classifyCall(const RequestTraits &shape)
{
    const Instant begin = clockNow();
    Classification classified = classify(m_arrival, *m_contract, shape);
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
    m_services.core.admit(*m_contract, [self = shared_from_this(), begin](Reason reason) {
        asio::post(self->m_services.io, [self, begin, reason] {
            self->m_trace.add({"limit", begin, clockNow(), {{"outcome", text(reason)}}});
            self->onAdmitted(reason);
        });
    });
}

void ContractCall::onAdmitted(Reason reason)
{
    if (m_isFinished) { // the caller left meanwhile
        if (reason == Reason::None) {
            m_services.core.cancelAdmission(m_call.customer);
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
    m_services.core.submit(m_call, m_contract->weight);
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

/// What a claim that was not won says of the operation itself.
static ExecutionStatus executionOf(ClaimResult result)
{
    const bool isUnknown = result == ClaimResult::InProgress || result == ClaimResult::Expired;
    return isUnknown ? ExecutionStatus::Unknown : ExecutionStatus::No;
}

void ContractCall::claimKey()
{
    const std::string key = field("Idempotency-Key");
    if (key.size() > longestKey || !uuidV7Time(key)) {
        refuseWith(Reason::BadRequest, ExecutionStatus::No, "Idempotency-Key must be a UUID of version 7");
        return;
    }
    const Instant begin = clockNow();
    m_operationKey = key;
    m_claim.key = m_call.customer.text + '/' + m_call.pool.text + '/' + key;
    m_claim.nonce = m_services.keyed.newNonce();
    m_claim.fingerprint = hashApiKey(m_path + '\n' + m_request.body).substr(0, 32);
    m_claim.window = m_contract->keyWindow;
    const Instant answerBy = std::min<Instant>(m_call.deadline, begin + claimWithin);
    m_services.keyed.claim(m_claim, answerBy, [self = shared_from_this(), begin](const ClaimAnswer &answer) {
        self->onClaimed(answer, begin);
    });
}

/// A claim that was won is carried out even if its caller has left: a repeat then gets the outcome.
void ContractCall::onClaimed(const ClaimAnswer &answer, Instant begun)
{
    const bool hasWon = answer.result == ClaimResult::Won;
    m_trace.add({"claim", begun, clockNow(), {{"outcome", hasWon ? "won" : text(reasonOf(answer.result))}}});
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
    HttpFields fields = answerFields(ExecutionStatus::Yes);
    fields.push_back({"Galenafold-Replayed", "yes"});
    if (outcome.isBodyKept) {
        fields.push_back({"Content-Type", outcome.contentType});
    }
    if (m_caller) {
        m_caller->answer(outcome.status, fields, outcome.isBodyKept ? outcome.body : std::string());
    }
    finish(Reason::None, ExecutionStatus::Yes);
}

void ContractCall::settleKey(const ClaimOutcome &outcome, ExecutionStatus run)
{
    if (m_claim.key.empty() || !m_isSubmitted) {
        return;
    }
    ClaimItem item = m_claim;
    item.kind = run == ExecutionStatus::No ? ClaimKind::Void : ClaimKind::Outcome;
    item.outcome = outcome;
    m_services.keyed.settle(item);
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
    request.idempotencyKey = m_operationKey;
    request.priority = m_call.priority;
    request.isLong = m_call.lane == Lane::Long;
    request.resumeFrom = attempt.start.resumeFrom;
    return encodeEndpointRequest(request);
}

ResponseReaderParams ContractCall::readerPlan(const StartAttempt &start) const
{
    ResponseReaderParams plan;
    plan.call = m_call.key;
    plan.attempt = start.attempt;
    plan.request = m_call.request;
    plan.endpoint = {start.endpoint.id, start.endpoint.incarnation};
    plan.resumeFrom = start.resumeFrom;
    plan.expectedOutput = m_call.output;
    plan.isStream = m_isStream;
    plan.isModel = m_isModel;
    return plan;
}

/// The hooks hold no reference to the call, which owns the reader that holds them.
RelayHooks ContractCall::relayHooks(const StartAttempt &start)
{
    RelayHooks hooks;
    const int attempt = start.attempt;
    const Tokens resumeFrom = start.resumeFrom;
    hooks.win = [this, attempt, resumeFrom](const CallerResponseHead &head) { return win(attempt, head, resumeFrom); };
    hooks.push = [this, attempt](const std::string &bytes, Tokens relayed) { return relay(attempt, bytes, relayed); };
    hooks.finishResponse = [this, attempt] { finishResponse(attempt); };
    hooks.onAttemptFailed = [this, attempt] { m_race.onAttemptFailed(attempt); };
    hooks.onLoad = [this](const LoadReport &report) { m_services.core.onLoadReport(report); };
    return hooks;
}

EndpointRequestHooks ContractCall::linkHooks(int attempt)
{
    const auto self = shared_from_this();
    EndpointRequestHooks hooks;
    hooks.onHead = [self, attempt](ResponseHead &head, const ResponseFields &) { self->onHead(attempt, head); };
    hooks.onBody = [self, attempt](std::string &body) { self->onBody(attempt, body); };
    hooks.onDone = [self, attempt] { self->endAttempt(attempt, ExchangeResult::Whole, false); };
    hooks.onFailed = [self, attempt](RequestProgress how) {
        self->endAttempt(attempt, how == RequestProgress::NotSent ? ExchangeResult::NotSent : ExchangeResult::Broken,
                         false);
    };
    return hooks;
}

void ContractCall::start(const StartAttempt &start)
{
    if (m_isFinished) {
        return; // the control thread has been told, or is about to be
    }
    const Instant now = clockNow();
    if (start.attempt == 1) {
        m_trace.add({"queue", m_arrival, now, {}});
    }
    m_trace.add({"place", now, now, {{"endpoint", start.endpoint.id.text}, {"by", text(start.placement.by)}}});
    Attempt attempt;
    attempt.start = start;
    attempt.begun = now;
    attempt.connection =
        start.endpoint.id.text + '#' + std::to_string(static_cast<std::uint64_t>(start.endpoint.incarnation));
    attempt.reader = std::make_unique<ResponseReader>(readerPlan(start), relayHooks(start));
    bool isNew = false;
    const bool mustBeProved = !m_call.isIdempotent || !m_operationKey.empty();
    attempt.link = m_services.links.acquire(now, {attempt.connection}, mustBeProved, isNew);
    LogLine line("sent");
    line.text("request", m_call.request.text).text("replica", start.endpoint.id.text);
    line.number("try", start.attempt).text("placed_by", text(start.placement.by));
    line.number("load", static_cast<std::int64_t>(start.placement.load)).flag("hedge", start.isHedge);
    line.flag("new_connection", isNew).millis("left_ms", m_call.deadline - now);
    m_services.log.write(line, LogPriority::Routine);
    const auto link = attempt.link;
    link->send(encode(attempt), m_call.request, false, linkHooks(start.attempt));
    m_attempts.emplace(start.attempt, std::move(attempt));
    ++m_attemptsMade;
    armTimer(now + answerWithin);
    if (isNew) {
        const auto address = parseAddress(start.endpoint.address + ':' + std::to_string(start.endpoint.port));
        if (address) {
            link->connect(*address, now + answerWithin);
        } else {
            endAttempt(start.attempt, ExchangeResult::NotSent, false); // the list of VMs named no address
        }
    }
}

void ContractCall::armTimer(Instant deadline)
{
    m_timer.expires_at(deadline);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
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

/// The endpoint stops working when its connection closes; one with a whole answer is kept.
void ContractCall::endAttempt(int number, ExchangeResult result, bool isCancelled)
{
    const auto self = shared_from_this();
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    if (result == ExchangeResult::Whole) {
        m_services.links.release({attempt.connection}, attempt.link);
    } else {
        attempt.link->cancel();
    }
    const AttemptReport report = attempt.reader->finish(result, isCancelled);
    noteAttempt(attempt, report);
    m_services.core.onAttemptEnded(report);
}

static std::string number(double value)
{
    std::string text = std::to_string(value);
    return text.substr(0, text.find('.') + 3);
}

void ContractCall::noteAttempt(const Attempt &attempt, const AttemptReport &report)
{
    static const char *const states[] = {"not_sent", "maybe_sent", "head", "streaming", "complete"};
    const StartAttempt &start = attempt.start;
    SpanRecord span{"attempt", attempt.begun, clockNow(), {}};
    span.attributes = {
        {"attempt", std::to_string(start.attempt)},       {"endpoint", start.endpoint.id.text},
        {"placed_by", text(start.placement.by)},          {"load", number(start.placement.load)},
        {"bound", number(start.placement.bound)},         {"candidates", std::to_string(start.placement.considered)},
        {"hedge", start.isHedge ? "yes" : "no"},          {"resume_from", number(start.resumeFrom)},
        {"state", states[static_cast<int>(report.state)]}};
    const std::string &fault = attempt.reader->fault();
    if (!fault.empty()) {
        span.attributes.push_back({"fault", fault});
    }
    m_trace.add(span);
    if (!fault.empty() && !report.isCancelled) {
        m_trace.markFault();
        LogLine line("attempt_failed");
        line.text("request", m_call.request.text).text("replica", start.endpoint.id.text);
        line.number("try", start.attempt).text("state", states[static_cast<int>(report.state)]).text("why", fault);
        m_services.log.write(line, LogPriority::Notable);
    }
}

// Answers

HttpFields ContractCall::answerFields(ExecutionStatus run) const
{
    return {{"X-Request-Id", m_call.request.text}, {"Galenafold-Run", text(run)}};
}

bool ContractCall::win(int attempt, const CallerResponseHead &head, Tokens resumeFrom)
{
    if (!m_race.tryWin(attempt, resumeFrom)) {
        return false;
    }
    if (!m_head) {
        m_head = head;
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
                    other.link->pauseReading(false);
                }
            };
        }
    }
    m_services.core.onFirstByte(m_call.key, attempt, head.reusedPrompt);
    return true;
}

bool ContractCall::relay(int attempt, const std::string &bytes, Tokens relayed)
{
    if (!m_race.relay(attempt, relayed)) {
        return false;
    }
    if (!m_head->isStream) {
        m_body += bytes;
        return true;
    }
    if (!m_caller) {
        return false;
    }
    m_caller->streamBytes(bytes);
    const auto found = m_attempts.find(attempt);
    if (m_caller->pending() > mostUnreadBytes && found != m_attempts.end()) {
        found->second.link->pauseReading(true);
    }
    return true;
}

void ContractCall::finishResponse(int attempt)
{
    if (!m_race.finishResponse(attempt) || m_isFinished) {
        return;
    }
    if (m_head->isStream) {
        if (m_caller) {
            m_caller->endStream();
        }
        finish(Reason::None, ExecutionStatus::Yes);
        return;
    }
    const std::string type = m_head->contentType.empty() ? "application/json" : m_head->contentType;
    if (m_caller) {
        HttpFields fields = answerFields(ExecutionStatus::Yes);
        fields.push_back({"Content-Type", type});
        fields.push_back({"Galenafold-Hint", encodeHint(m_head->servedBy)});
        fields.push_back({"Galenafold-Prompt-Reused", std::to_string(static_cast<long>(m_head->reusedPrompt))});
        m_caller->answer(m_head->status, fields, m_body);
    }
    settleKey({m_head->status, m_head->contentType, m_body, true}, ExecutionStatus::Yes);
    finish(Reason::None, ExecutionStatus::Yes);
}

void ContractCall::refuse(Reason reason, ExecutionStatus run)
{
    if (m_isFinished) {
        return;
    }
    m_trace.markFault();
    if (m_head && m_head->isStream) {
        if (m_caller) {
            m_caller->abortResponse(); // without the last chunk, which the caller sees
        }
        finish(Reason::EndpointFailed, ExecutionStatus::Unknown);
        return;
    }
    refuseWith(reason, run, explainReason(reason));
}

void ContractCall::refuseWith(Reason reason, ExecutionStatus run, const std::string &message)
{
    m_trace.markFault();
    if (m_caller) {
        HttpFields fields = answerFields(run);
        fields.push_back({"Content-Type", "application/json"});
        m_caller->answer(statusOf(reason), fields, errorBody(reason, run, message));
    }
    settleKey({}, run);
    finish(reason, run);
}

/// Work under a key goes on: a repeat gets its outcome. All other work stops, as nobody waits for it.
void ContractCall::onCallerGone()
{
    m_caller.reset();
    if (m_isFinished || !m_claim.key.empty()) {
        return;
    }
    m_race.close();
    for (auto &[number, attempt] : m_attempts) {
        attempt.link->cancel();
    }
    m_attempts.clear();
    if (m_isSubmitted) {
        m_services.core.onCallerGone(m_call.key);
    }
    finish(Reason::CallerGone, ExecutionStatus::Unknown);
}

// Records

void ContractCall::finish(Reason reason, ExecutionStatus run)
{
    if (m_isFinished) {
        return;
    }
    const auto self = shared_from_this();
    m_isFinished = true;
    m_race.close();
    m_timer.cancel();
    if (m_caller) {
        m_caller->onDisconnected = nullptr;
        m_caller.reset();
    }
    if (m_isAdmitted && !m_isSubmitted) {
        m_services.core.cancelAdmission(m_call.customer);
    }
    for (auto &[number, attempt] : m_attempts) {
        asio::post(m_services.io, [link = attempt.link] { link->cancel(); }); // one of them may be telling us just now
    }
    CallRecord record;
    record.customer = m_call.customer;
    record.taskClass = m_call.taskClass;
    record.reason = reason;
    record.run = run;
    record.firstByte = m_firstByte;
    record.total = clockNow() - m_arrival;
    record.prompt = m_call.prompt;
    record.reusedPrompt = m_head ? m_head->reusedPrompt : 0;
    m_services.metrics.count(record);
    keepTrace(reason, run);
    logEnd(reason, run);
    m_services.onEnded(m_call.key);
}

void ContractCall::logEnd(Reason reason, ExecutionStatus run) const
{
    const bool isServed = reason == Reason::None;
    const bool isBroken = m_head && m_head->isStream;
    const char *outcome = isServed     ? "served"
        : reason == Reason::CallerGone ? "gone"
        : run == ExecutionStatus::No   ? "refused"
        : isBroken                     ? "broken"
                                       : "failed";
    LogLine line(outcome);
    line.text("request", m_call.request.text).text("reason", text(reason)).text("run", text(run));
    line.text("customer", m_call.customer.text)
        .text("class", m_call.taskClass)
        .text("replica", m_servedBy.endpoint.text);
    line.number("sent", m_attemptsMade).millis("took_ms", clockNow() - m_arrival).millis("first_ms", m_firstByte);
    if (m_table) {
        line.number("contracts_offset", m_table->upTo);
    }
    m_services.log.write(line, isServed ? LogPriority::Routine : LogPriority::Notable);
}

/// Faults are always kept, but for strangers' calls, which could push all others out.
void ContractCall::keepTrace(Reason reason, ExecutionStatus run)
{
    if (reason == Reason::BadKey) {
        return;
    }
    const auto draw = static_cast<double>(hashName(m_call.request.text) % static_cast<std::uint64_t>(traceSteps));
    const bool isSampled = m_isAdmitted && draw < m_services.settings.traceFraction * traceSteps;
    m_trace.add({"call", m_arrival, clockNow(), {{"outcome", text(reason)}, {"run", text(run)}}});
    m_services.tracer.keep(m_trace, isSampled);
}

} // namespace galenafold
