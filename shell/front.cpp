// The HTTP front.
//
// Sections of this file: Parsing, Errors, Routes, Row of filters, Keys, Answers, Operators.
#include "shell/front.h"

#include "filters/authenticate.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <random>

namespace galenafold
{

using Json = nlohmann::json;

constexpr double bytesPerToken = 4; // rough, for prompts
constexpr auto hangUpCheckEvery = std::chrono::milliseconds(50);
constexpr auto claimWithin = std::chrono::milliseconds(4000);
constexpr std::size_t longestKey = 128;

// Parsing

static std::string messageText(const Json &message)
{
    const Json content = message.value("content", Json());
    return content.is_string() ? content.get<std::string>() : content.dump();
}

/// The stable head of a conversation: everything up to the first user message.
static std::string conversationHead(const Json &messages)
{
    std::string head;
    for (const Json &message : messages) {
        head += message.value("role", std::string()) + '\n' + messageText(message) + '\n';
        if (message.value("role", std::string()) == "user") {
            break;
        }
    }
    return head;
}

static std::string chatFault(const Json &json)
{
    if (!json.is_object()) {
        return "the body is not a JSON object";
    }
    if (!json.contains("model") || !json["model"].is_string()) {
        return "field 'model' must be a text";
    }
    if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty()) {
        return "field 'messages' must be a list that is not empty";
    }
    for (const Json &message : json["messages"]) {
        const bool isMessage = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content");
        if (!isMessage) {
            return "each of 'messages' must have a 'role' and a 'content'";
        }
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
        return "field 'stream' must be true or false";
    }
    const Json most = json.value("max_tokens", Json(1));
    if (!most.is_number_integer() || most.get<std::int64_t>() < 1) {
        return "field 'max_tokens' must be a whole number from 1";
    }
    return {};
}

ParsedChat parseChat(const std::string &body, const std::string &chat)
{
    ParsedChat parsed;
    const Json json = Json::parse(body, nullptr, false);
    parsed.fault = chatFault(json);
    if (!parsed.fault.empty()) {
        return parsed;
    }
    double bytes = 0;
    for (const Json &message : json["messages"]) {
        bytes += static_cast<double>(messageText(message).size());
    }
    CallShape &shape = parsed.shape;
    shape.pool = {json["model"].get<std::string>()};
    shape.isStream = json.value("stream", false);
    shape.prompt = bytes / bytesPerToken;
    shape.mostOutput = static_cast<double>(json.value("max_tokens", std::int64_t(0)));
    shape.chat = {chat.empty() ? std::to_string(hashName(conversationHead(json["messages"]))) : chat};
    parsed.isGood = true;
    return parsed;
}

EndpointHint parseHint(const std::string &text)
{
    const std::size_t slash = text.rfind('/');
    const std::string digits = slash == std::string::npos ? std::string() : text.substr(slash + 1);
    const bool isNumber =
        !digits.empty() && digits.size() < 19 && digits.find_first_not_of("0123456789") == std::string::npos;
    if (!isNumber) {
        return {};
    }
    return {{text.substr(0, slash)}, Incarnation(std::stoull(digits))};
}

std::string encodeHint(const EndpointHint &hint)
{
    return hint.endpoint.text + '/' + std::to_string(static_cast<std::uint64_t>(hint.incarnation));
}

// Errors

int statusOf(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return 200;
    case Reason::BadRequest:
        return 400;
    case Reason::BadKey:
        return 401;
    case Reason::NotAllowed:
        return 404;
    case Reason::KeyExpired:
    case Reason::KeyInProgress:
        return 409;
    case Reason::TooLarge:
        return 413;
    case Reason::KeyMismatch:
        return 422;
    case Reason::OverRate:
    case Reason::OverConcurrency:
    case Reason::QueueFull:
        return 429;
    case Reason::EndpointFailed:
        return 502;
    case Reason::NotReady:
    case Reason::WouldMissDeadline:
    case Reason::NoEndpoint:
    case Reason::EndpointRefused:
    case Reason::RetryBudget:
    case Reason::LogUnavailable:
    case Reason::CallerGone:
        return 503;
    }
    return 503;
}

std::string errorBody(Reason reason, Run run, const std::string &message)
{
    const Json error{{"message", message}, {"type", text(reason)}, {"code", text(reason)}, {"run", text(run)}};
    return Json{{"error", error}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static void setError(httplib::Response &response, Reason reason, Run run, const std::string &message)
{
    response.status = statusOf(reason);
    response.set_header("Galenafold-Run", text(run));
    response.set_content(errorBody(reason, run, message), "application/json");
}

static std::string explain(Reason reason)
{
    switch (reason) {
    case Reason::NotReady:
        return "this router does not take calls now";
    case Reason::BadKey:
        return "no contract holds this API key";
    case Reason::NotAllowed:
        return "the contract does not name this model or service";
    case Reason::OverRate:
        return "the contract's rate is used up";
    case Reason::OverConcurrency:
        return "the contract's concurrency is used up";
    case Reason::QueueFull:
        return "too many calls wait in this lane";
    case Reason::WouldMissDeadline:
        return "the call could not end within the patience of its task class";
    case Reason::NoEndpoint:
        return "no live endpoint serves this model or service";
    case Reason::EndpointRefused:
        return "the endpoint did not run the call";
    case Reason::EndpointFailed:
        return "the endpoint's answer was broken or did not come";
    case Reason::RetryBudget:
        return "the budget for retries is spent";
    case Reason::KeyExpired:
        return "the idempotency key's age does not lie in the contract's window";
    case Reason::KeyInProgress:
        return "another call with this key has begun and its outcome is not known; it is not repeated";
    case Reason::KeyMismatch:
        return "this idempotency key came with another operation or body";
    case Reason::LogUnavailable:
        return "the key could not be claimed; nothing was sent";
    default:
        return text(reason);
    }
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

RequestId Front::newRequestId()
{
    return {m_requestPrefix + std::to_string(m_nextKey)};
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
        refuse(response, call, Reason::NotReady, Run::No, explain(Reason::NotReady));
        return false;
    }
    call.table = snapshot->contracts;
    const Authenticated caller = authenticate(*call.table, request.get_header_value("Authorization"));
    call.early.push_back({"authenticate", call.arrival, clockNow(), {{"outcome", text(caller.reason)}}});
    if (!caller.contract) {
        refuse(response, call, caller.reason, Run::No, explain(caller.reason));
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
        refuse(response, call, classified.reason, Run::No, explain(classified.reason));
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
        refuse(response, call, reason, Run::No, explain(reason));
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
    refuse(response, call, reason, isLostOutcome ? Run::Unknown : runOf(answer.result), explain(reason));
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
    if (call.context) {
        const std::uint64_t draw = hashName(call.call.request.text) % 10000;
        const bool isSampled = static_cast<double>(draw) < m_settings.traceFraction * 10000;
        call.context->trace.add({"call", call.arrival, clockNow(), {{"outcome", text(reason)}, {"run", text(run)}}});
        m_tracer.keep(call.context->trace, isSampled);
    }
}

void Front::answer(httplib::Response &response, const std::shared_ptr<Exchanged> &call)
{
    CallRefusal refusal;
    const std::optional<AnswerHead> head = call->context->exchange.waitHead(refusal);
    if (!head) {
        refuse(response, *call, refusal.reason, refusal.run, explain(refusal.reason));
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
        refuse(response, call, Reason::EndpointFailed, Run::Unknown, explain(Reason::EndpointFailed));
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
