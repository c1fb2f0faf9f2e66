// The HTTP front.
//
// Sections of this file: Errors, Routes, Row of filters, Keys, Answers, Operators.
#include "shell/front.h"

#include "filters/authenticate.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <random>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto hangUpCheckEvery = std::chrono::milliseconds(50);
constexpr auto claimWithin = std::chrono::milliseconds(4000);
constexpr std::size_t longestKey = 128;

// Errors

static void setError(httplib::Response &response, Reason reason, Run run, const std::string &message)
{
    response.status = statusOf(reason);
    response.set_header("Galenafold-Run", text(run));
    response.set_content(errorBody(reason, run, message), "application/json");
}

// Routes

/// One request on its way through the filters.
struct Front::Exchanged {
    Instant arrival{};
    std::shared_ptr<const ContractTable> table; // keeps the contract alive
    const Contract *contract = nullptr;
    std::string traceparent;
    Call call;
    bool isAdmitted = false;
    bool isSubmitted = false;
    bool isFinished = false;
    Span firstByte{};
    Tokens reused = 0;
    ClaimItem claim; // empty key: none
    std::shared_ptr<CallContext> context;
    std::vector<SpanRecord> early; // spans before the context exists
    std::atomic<int> *inProgress = nullptr;
    ~Exchanged()
    {
        if (inProgress) {
            --*inProgress;
        }
    }
};

Front::Front(const Settings &settings, Core &core, KeyedCalls &keyed, Metrics &metrics, Tracer &tracer,
             FrontHooks hooks)
    : m_settings(settings)
    , m_core(core)
    , m_keyed(keyed)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_hooks(std::move(hooks))
{
    std::random_device device; // request ids must not repeat after a restart
    m_requestPrefix = settings.name.text + '-' + std::to_string(device()) + '-';
}

void Front::addRoutes(httplib::Server &server)
{
    using Request = httplib::Request;
    using Response = httplib::Response;
    server.Post("/v1/chat/completions",
                [this](const Request &request, Response &response) { chat(request, response); });
    server.Post(R"(/v1/services/([A-Za-z0-9_.-]+)/([A-Za-z0-9_.-]+))",
                [this](const Request &request, Response &response) { service(request, response); });
    server.Get("/v1/models", [this](const Request &request, Response &response) { models(request, response); });
    server.Get("/livez", [](const Request &, Response &response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [this](const Request &, Response &response) {
        const bool isReady = m_hooks.isReady();
        response.status = isReady ? 200 : 503;
        response.set_content(isReady ? "ok\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [this](const Request &, Response &response) {
        response.set_content(m_metrics.text(), "text/plain; version=0.0.4");
    });
    server.Get("/status", [this](const Request &request, Response &response) { status(request, response); });
    server.Get("/trace", [this](const Request &request, Response &response) { trace(request, response); });
    server.set_error_handler([this](const Request &, Response &response) { onLibraryError(response); });
    server.set_exception_handler([](const Request &, Response &response, std::exception_ptr) {
        LOG(ERROR) << "front: a handler failed";
        setError(response, Reason::EndpointFailed, Run::Unknown, "internal error");
    });
    server.set_post_routing_handler([this](const Request &, Response &response) {
        if (m_hooks.isDraining()) {
            response.set_header("Connection", "close");
        }
    });
}

/// Gives errors that the library raises by itself the shape of ours.
void Front::onLibraryError(httplib::Response &response)
{
    if (!response.body.empty()) {
        return;
    }
    const int status = response.status;
    const Reason reason = status == 413 ? Reason::TooLarge : Reason::BadRequest;
    setError(response, reason, Run::No, status == 404 ? "no such path" : "the request is malformed or too large");
    response.status = status;
}

// Row of filters

bool Front::open(const httplib::Request &request, httplib::Response &response, Exchanged &call)
{
    ++m_inProgress;
    call.inProgress = &m_inProgress;
    call.arrival = clockNow();
    m_lastArrival = call.arrival.time_since_epoch().count();
    call.call.key = static_cast<CallKey>(++m_nextKey);
    call.call.request = {m_requestPrefix + std::to_string(static_cast<std::uint64_t>(call.call.key))};
    call.traceparent = request.get_header_value("traceparent");
    response.set_header("X-Request-Id", call.call.request.text);
    const auto snapshot = m_core.snapshot();
    if (!snapshot->hasContracts) {
        refuse(response, call, Reason::NotReady, Run::No, explainReason(Reason::NotReady));
        return false;
    }
    call.table = snapshot->contracts;
    const Authenticated caller = authenticate(*call.table, request.get_header_value("Authorization"));
    call.early.push_back({"authenticate", call.arrival, clockNow(), {{"outcome", text(caller.reason)}}});
    if (!caller.contract) {
        refuse(response, call, caller.reason, Run::No, explainReason(caller.reason));
        return false;
    }
    call.contract = caller.contract;
    call.call.customer = caller.contract->customer;
    return true;
}

bool Front::classifyAndAdmit(const httplib::Request &request, httplib::Response &response, const CallShape &shape,
                             Exchanged &call)
{
    const Instant begin = clockNow();
    Classified classified = classify(call.arrival, *call.contract, shape);
    if (classified.reason != Reason::None) {
        refuse(response, call, classified.reason, Run::No, explainReason(classified.reason));
        return false;
    }
    classified.call.key = call.call.key;
    classified.call.request = call.call.request;
    call.call = classified.call;
    call.early.push_back({"classify",
                          begin,
                          clockNow(),
                          {{"class", call.call.taskClass}, {"lane", call.call.lane == Lane::Long ? "long" : "short"}}});
    const Instant limitBegin = clockNow();
    const Reason reason = m_core.admit(*call.contract);
    call.early.push_back({"limit", limitBegin, clockNow(), {{"outcome", text(reason)}}});
    if (reason != Reason::None) {
        refuse(response, call, reason, Run::No, explainReason(reason));
        return false;
    }
    call.isAdmitted = true;
    call.context = std::make_shared<CallContext>(call.call, call.traceparent, m_settings.seed);
    call.context->body = request.body;
    call.context->isStream = shape.isStream;
    for (const SpanRecord &span : call.early) {
        call.context->trace.add(span);
    }
    return true;
}

void Front::chat(const httplib::Request &request, httplib::Response &response)
{
    auto call = std::make_shared<Exchanged>();
    if (!open(request, response, *call)) {
        return;
    }
    ParsedChat parsed = parseChat(request.body, request.get_header_value("Galenafold-Chat"));
    if (!parsed.isGood) {
        refuse(response, *call, Reason::BadRequest, Run::No, parsed.fault);
        return;
    }
    parsed.shape.task = request.get_header_value("Galenafold-Task");
    parsed.shape.hint = parseHint(request.get_header_value("Galenafold-Hint"));
    if (!classifyAndAdmit(request, response, parsed.shape, *call)) {
        return;
    }
    call->context->path = "/v1/chat/completions";
    call->context->isModel = true;
    m_core.submit(call->context, call->contract->weight);
    call->isSubmitted = true;
    answer(response, call);
}

void Front::service(const httplib::Request &request, httplib::Response &response)
{
    auto call = std::make_shared<Exchanged>();
    if (!open(request, response, *call)) {
        return;
    }
    CallShape shape;
    shape.pool = {request.matches[1].str()};
    shape.operation = request.matches[2].str();
    shape.isService = true;
    shape.task = request.get_header_value("Galenafold-Task");
    shape.hasKey = request.has_header("Idempotency-Key");
    shape.prompt = static_cast<double>(request.body.size()) / bytesPerToken;
    if (!classifyAndAdmit(request, response, shape, *call)) {
        return;
    }
    call->context->path = "/operations/" + shape.operation;
    call->context->mayReuse = call->call.isIdempotent;
    if (shape.hasKey && !claimKey(request, response, *call)) {
        return;
    }
    m_core.submit(call->context, call->contract->weight);
    call->isSubmitted = true;
    answer(response, call);
}

void Front::models(const httplib::Request &request, httplib::Response &response)
{
    Exchanged call;
    if (!open(request, response, call)) {
        return;
    }
    Json data = Json::array();
    for (const PoolId &model : call.contract->models) {
        data.push_back({{"id", model.text}, {"object", "model"}, {"owned_by", "galenafold"}});
    }
    response.set_content(Json{{"object", "list"}, {"data", data}}.dump(), "application/json");
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
static Run runOf(ClaimResult result)
{
    const bool isUnknown = result == ClaimResult::InProgress || result == ClaimResult::Expired;
    return isUnknown ? Run::Unknown : Run::No;
}

static void replay(httplib::Response &response, const ClaimOutcome &outcome)
{
    response.status = outcome.status;
    response.set_header("Galenafold-Replayed", "yes");
    response.set_header("Galenafold-Run", "yes");
    if (outcome.isBodyKept) {
        response.set_content(outcome.body, outcome.contentType);
    }
}

bool Front::claimKey(const httplib::Request &request, httplib::Response &response, Exchanged &call)
{
    const std::string key = request.get_header_value("Idempotency-Key");
    if (key.size() > longestKey || !createdAt(key)) {
        refuse(response, call, Reason::BadRequest, Run::No, "Idempotency-Key must be a UUID of version 7");
        return false;
    }
    const Instant begin = clockNow();
    ClaimItem &claim = call.claim;
    claim.key = call.call.customer.text + '/' + call.call.pool.text + '/' + key;
    claim.nonce = m_keyed.newNonce();
    claim.fingerprint = hashApiKey(call.context->path + '\n' + request.body).substr(0, 32);
    claim.window = call.contract->keyWindow;
    call.context->operationKey = key;
    const ClaimAnswer answer = m_keyed.claim(claim, std::min(call.call.deadline, begin + claimWithin));
    const bool hasWon = answer.result == ClaimResult::Won;
    call.context->trace.add(
        {"claim", begin, clockNow(), {{"outcome", hasWon ? "won" : text(reasonOf(answer.result))}}});
    if (hasWon) {
        return true;
    }
    if (answer.result == ClaimResult::Replay && answer.outcome.status != 0) {
        replay(response, answer.outcome);
        finish(call, Reason::None, Run::Yes);
        return false;
    }
    const bool isLostOutcome = answer.result == ClaimResult::Replay;
    const Reason reason = isLostOutcome ? Reason::KeyInProgress : reasonOf(answer.result);
    refuse(response, call, reason, isLostOutcome ? Run::Unknown : runOf(answer.result), explainReason(reason));
    return false;
}

void Front::settleKey(const Exchanged &call, const ClaimOutcome &outcome, Run run)
{
    if (call.claim.key.empty() || !call.isSubmitted) {
        return;
    }
    ClaimItem item = call.claim;
    item.kind = run == Run::No ? ClaimKind::Void : ClaimKind::Outcome;
    item.outcome = outcome;
    m_keyed.settle(item);
}

// Answers

void Front::refuse(httplib::Response &response, Exchanged &call, Reason reason, Run run, const std::string &message)
{
    setError(response, reason, run, message);
    if (call.context) {
        call.context->trace.markFault();
    }
    settleKey(call, {}, run);
    finish(call, reason, run);
}

void Front::finish(Exchanged &call, Reason reason, Run run)
{
    if (call.isFinished) {
        return;
    }
    call.isFinished = true;
    if (call.isAdmitted && !call.isSubmitted) {
        m_core.unadmit(call.call.customer);
    }
    CallRecord record;
    record.customer = call.call.customer;
    record.taskClass = call.call.taskClass;
    record.reason = reason;
    record.run = run;
    record.firstByte = call.firstByte;
    record.total = clockNow() - call.arrival;
    record.prompt = call.call.prompt;
    record.reusedPrompt = call.reused;
    m_metrics.count(record);
    keepTrace(call, reason, run);
}

/// Faults are always kept, but for strangers' calls, which could push all others out.
void Front::keepTrace(Exchanged &call, Reason reason, Run run)
{
    const SpanRecord whole{"call", call.arrival, clockNow(), {{"outcome", text(reason)}, {"run", text(run)}}};
    if (call.context) {
        const std::uint64_t draw = hashName(call.call.request.text) % 10000;
        const bool isSampled = static_cast<double>(draw) < m_settings.traceFraction * 10000;
        call.context->trace.add(whole);
        m_tracer.keep(call.context->trace, isSampled);
        return;
    }
    if (reason == Reason::None || reason == Reason::BadKey) {
        return;
    }
    CallTrace trace(call.call.request, call.traceparent, m_settings.seed);
    for (const SpanRecord &span : call.early) {
        trace.add(span);
    }
    trace.add(whole);
    trace.markFault();
    m_tracer.keep(trace, false);
}

void Front::answer(httplib::Response &response, const std::shared_ptr<Exchanged> &call)
{
    CallRefusal refusal;
    const std::optional<AnswerHead> head = call->context->exchange.waitHead(refusal);
    if (!head) {
        refuse(response, *call, refusal.reason, refusal.run, explainReason(refusal.reason));
        return;
    }
    call->firstByte = clockNow() - call->arrival;
    call->reused = head->reusedPrompt;
    response.status = head->status;
    response.set_header("Galenafold-Hint", encodeHint(head->servedBy));
    response.set_header("Galenafold-Prompt-Reused", std::to_string(static_cast<long>(head->reusedPrompt)));
    if (head->isStream) {
        answerStream(response, call, *head);
    } else {
        answerWhole(response, *call, *head);
    }
}

void Front::answerWhole(httplib::Response &response, Exchanged &call, const AnswerHead &head)
{
    std::string body;
    Pulled pulled = Pulled::Idle;
    while (pulled == Pulled::Idle || pulled == Pulled::Data) {
        std::string bytes;
        pulled = call.context->exchange.pull(bytes, clockNow() + hangUpCheckEvery);
        body += bytes;
    }
    if (pulled == Pulled::Broken) {
        refuse(response, call, Reason::EndpointFailed, Run::Unknown, explainReason(Reason::EndpointFailed));
        return;
    }
    response.set_header("Galenafold-Run", "yes");
    response.set_content(body, head.contentType.empty() ? "application/json" : head.contentType);
    settleKey(call, {head.status, head.contentType, body, true}, Run::Yes);
    finish(call, Reason::None, Run::Yes);
}

void Front::answerStream(httplib::Response &response, const std::shared_ptr<Exchanged> &call, const AnswerHead &head)
{
    const auto provider = [this, call](std::size_t, httplib::DataSink &sink) {
        std::string bytes;
        switch (call->context->exchange.pull(bytes, clockNow() + hangUpCheckEvery)) {
        case Pulled::Data:
            return sink.write(bytes.data(), bytes.size());
        case Pulled::Idle:
            return sink.is_writable();
        case Pulled::Whole:
            finish(*call, Reason::None, Run::Yes);
            sink.done();
            return true;
        case Pulled::Broken:
            finish(*call, Reason::EndpointFailed, Run::Unknown);
            return false; // the connection closes without the last chunk, which the caller sees
        }
        return false;
    };
    const auto release = [this, call](bool) {
        if (call->isFinished) {
            return;
        }
        call->context->exchange.abandon();
        m_core.onCallerGone(call->call.key);
        finish(*call, Reason::CallerGone, Run::Unknown);
    };
    response.set_chunked_content_provider(head.contentType, provider, release);
}

// Operators

void Front::status(const httplib::Request &request, httplib::Response &response)
{
    (void)request;
    const auto snapshot = m_core.snapshot();
    Json contracts = Json::object();
    for (const auto &[customer, contract] : snapshot->contracts->contracts) {
        contracts[customer.text] = contract.version;
    }
    Json endpoints = Json::array();
    for (const VmRecord &endpoint : snapshot->endpoints) {
        endpoints.push_back(endpoint.id.text);
    }
    const Json body{{"name", m_settings.name.text},
                    {"data_centre", m_settings.dataCentre.text},
                    {"ready", m_hooks.isReady()},
                    {"draining", m_hooks.isDraining()},
                    {"contracts_offset", snapshot->contracts->upTo},
                    {"contracts_whole", snapshot->isWhole},
                    {"contracts", contracts},
                    {"endpoints", endpoints},
                    {"calls_in_progress", callsInProgress()}};
    response.set_content(body.dump(), "application/json");
}

void Front::trace(const httplib::Request &request, httplib::Response &response)
{
    const std::string lines = m_tracer.find(request.get_param_value("request"));
    response.status = lines.empty() ? 404 : 200;
    response.set_content(lines.empty() ? "this VM kept no such trace\n" : lines, "application/x-ndjson");
}

} // namespace galenafold
