// The front of our own interface. Sections of this file: Set-up, Requests, Operators, Decisions.
#include "shell/front.h"

#include "net/status.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto idleTimeout = std::chrono::seconds(20); // of a caller's connection
constexpr auto headTimeout = std::chrono::seconds(10);
constexpr auto sweepEvery = std::chrono::seconds(1);
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view modelsPath = "/v1/models";
constexpr std::string_view servicesPath = "/v1/services/";

// Set-up

/// Endpoints name the request in their answers; the reader of the answer compares it, so no answer is skipped here.
static HeaderCodec endpointHeaderCodec()
{
    HeaderCodec headerCodec;
    headerCodec.decodeAnswer = [](const ResponseHead &head) {
        ResponseFields answer;
        answer.idleLifetime = idleLifetime(head.fields);
        return answer;
    };
    return headerCodec;
}

static std::string newRequestPrefix(const VmId &name)
{
    std::random_device device; // request ids must not repeat after a restart
    return name.text + '-' + std::to_string(device()) + '-';
}

Front::Front(asio::io_context &io, const Settings &settings, Core &core, KeyedCalls &keyed, Metrics &metrics,
             Tracer &tracer, EventLog &log, FrontHooks hooks)
    : m_io(io)
    , m_settings(settings)
    , m_core(core)
    , m_hooks(std::move(hooks))
    , m_headerCodec(endpointHeaderCodec())
    , m_links(io, m_headerCodec)
    , m_services{io, m_settings, m_links, core, keyed, metrics, tracer, log, std::make_shared<CallCounts>(), nullptr}
    , m_listener(io)
    , m_sweepTimer(io)
    , m_requestPrefix(newRequestPrefix(settings.name))
{
    m_services.onEnded = [this](CallKey key) { m_calls.erase(key); };
    m_listener.maxCallers = static_cast<std::size_t>(settings.maxConnections);
    m_listener.hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request) {
        onRequest(caller, std::move(request));
    };
    m_listener.hooks.limits = [this] {
        CallerLimits limits;
        limits.bodyBytes = m_settings.maxBodyBytes;
        limits.headTimeout = headTimeout;
        limits.idleTimeout = idleTimeout;
        return limits;
    };
    m_listener.hooks.isDraining = [this] { return m_hooks.isDraining(); };
    m_listener.hooks.describeRejection = [](int status, HttpFields &fields) {
        const Reason reason = status == statusContentTooLarge ? Reason::TooLarge : Reason::BadRequest;
        fields = {{"Galenafold-Run", text(ExecutionStatus::No)}, {"Content-Type", "application/json"}};
        return errorBody(reason, ExecutionStatus::No, "the request is malformed, too large or too slow");
    };
}

bool Front::start()
{
    if (!m_listener.start(m_settings.address + ':' + std::to_string(m_settings.httpPort))) {
        return false;
    }
    sweep();
    return true;
}

void Front::stopAccepting()
{
    asio::post(m_io, [this] { m_listener.stopAccepting(); });
}

void Front::sweep()
{
    m_links.closeExpired(clockNow());
    m_sweepTimer.expires_at(clockNow() + sweepEvery);
    m_sweepTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sweep();
        }
    });
}

// Requests

static bool isName(std::string_view text)
{
    const auto isAllowed = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '_' || letter == '.' || letter == '-';
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isAllowed);
}

static std::string_view pathOf(const CallerRequest &request)
{
    const std::string &target = request.head.target;
    return std::string_view(target).substr(0, target.find('?'));
}

struct ServicePath {
    std::string_view pool;
    std::string_view operation;
};

/// Reads "/v1/services/POOL/OPERATION".
static std::optional<ServicePath> servicePath(std::string_view path)
{
    if (path.substr(0, servicesPath.size()) != servicesPath) {
        return std::nullopt;
    }
    path.remove_prefix(servicesPath.size());
    const std::size_t slash = path.find('/');
    const std::string_view pool = path.substr(0, slash);
    const std::string_view operation = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    if (!isName(pool) || !isName(operation)) {
        return std::nullopt;
    }
    return ServicePath{pool, operation};
}

static void answerNoSuchPath(const std::shared_ptr<CallerConnection> &caller)
{
    const HttpFields fields{{"Galenafold-Run", text(ExecutionStatus::No)}, {"Content-Type", "application/json"}};
    caller->answer(statusNotFound, fields, errorBody(Reason::BadRequest, ExecutionStatus::No, "no such path"));
}

void Front::onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request)
{
    const std::string_view path = pathOf(request);
    const bool isPost = request.head.method == "POST";
    const bool isGet = request.head.method == "GET";
    const bool isCall = isPost && (path == chatPath || servicePath(path));
    if (isCall || (isGet && path == modelsPath)) {
        beginCall(caller, std::move(request));
    } else if (!isGet || !answerOperator(caller, request)) {
        answerNoSuchPath(caller);
    }
}

void Front::beginCall(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request)
{
    const auto key = static_cast<CallKey>(m_nextKey);
    const RequestId id{m_requestPrefix + std::to_string(m_nextKey)};
    ++m_nextKey;
    const std::string path(pathOf(request));
    const auto service = servicePath(path);
    const auto call = std::make_shared<ContractCall>(m_services, key, id, caller, std::move(request));
    if (path == modelsPath) {
        call->listModels();
        return;
    }
    m_calls[key] = call;
    if (service) {
        call->beginService({std::string(service->pool)}, std::string(service->operation));
    } else {
        call->beginChat();
    }
}

// Operators

bool Front::answerOperator(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request)
{
    const HttpFields plain{{"Content-Type", "text/plain"}};
    const std::string_view path = pathOf(request);
    if (path == "/livez") {
        caller->answer(statusOk, plain, "ok\n");
    } else if (path == "/readyz") {
        const bool isReady = m_hooks.isReady();
        caller->answer(isReady ? statusOk : statusUnavailable, plain, isReady ? "ok\n" : "not ready\n");
    } else if (path == "/metrics") {
        caller->answer(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, m_services.metrics.text());
    } else if (path == "/status") {
        caller->answer(statusOk, {{"Content-Type", "application/json"}}, status());
    } else if (path == "/trace") {
        answerTrace(caller, std::string_view(request.head.target).substr(path.size()));
    } else {
        return false;
    }
    return true;
}

std::string Front::status() const
{
    const auto snapshot = m_core.snapshot();
    Json contracts = Json::object();
    for (const auto &[customer, contract] : snapshot->contracts->contracts) {
        contracts[customer.text] = contract.version;
    }
    Json endpoints = Json::array();
    for (const VmRecord &endpoint : snapshot->endpoints) {
        endpoints.push_back(endpoint.id.text);
    }
    return Json{{"name", m_settings.name.text},
                {"data_centre", m_settings.dataCentre.text},
                {"ready", m_hooks.isReady()},
                {"draining", m_hooks.isDraining()},
                {"contracts_offset", snapshot->contracts->upTo},
                {"contracts_whole", snapshot->isComplete},
                {"contracts", contracts},
                {"endpoints", endpoints},
                {"calls_in_progress", callsInProgress()}}
        .dump();
}

/// @param query "?request=ID"
void Front::answerTrace(const std::shared_ptr<CallerConnection> &caller, std::string_view query)
{
    constexpr std::string_view key = "?request=";
    const bool hasKey = query.substr(0, key.size()) == key;
    const std::string lines = hasKey ? m_services.tracer.find(std::string(query.substr(key.size()))) : std::string();
    if (lines.empty()) {
        caller->answer(statusNotFound, {{"Content-Type", "text/plain"}}, "this VM kept no such trace\n");
        return;
    }
    caller->answer(statusOk, {{"Content-Type", "application/x-ndjson"}}, lines);
}

// Decisions

void Front::carryOut(const Actions &actions)
{
    asio::post(m_io, [this, actions] { carryOutHere(actions); });
}

std::shared_ptr<ContractCall> Front::find(CallKey key) const
{
    const auto found = m_calls.find(key);
    return found == m_calls.end() ? nullptr : found->second;
}

/// A call that has ended meanwhile needs nothing: the control thread was told, or is about to be.
void Front::carryOutHere(const Actions &actions)
{
    for (const StartAttempt &start : actions.starts) {
        if (const auto call = find(start.call)) {
            call->start(start);
        }
    }
    for (const CancelAttempt &cancel : actions.cancels) {
        if (const auto call = find(cancel.call)) {
            call->cancel(cancel.attempt);
        }
    }
    for (const Refusal &refusal : actions.refusals) {
        if (const auto call = find(refusal.call)) {
            call->refuse(refusal.reason, refusal.run);
        }
    }
}

} // namespace galenafold
