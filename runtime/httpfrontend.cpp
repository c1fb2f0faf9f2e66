// The HTTP interface: routes requests by path, starts calls and serves the operators' paths.
//
// Sections of this file: Set-up, Requests, Operators, Actions.
#include "runtime/httpfrontend.h"

#include "net/status.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto idleTimeout = std::chrono::seconds(20);  // of a caller connection
constexpr auto headTimeout = std::chrono::seconds(10);  // for a complete request head
constexpr int receiveBytes = 32768;                     // of the kernel's buffer of each caller's connection
constexpr std::size_t bodyCopies = 4;                   // of a request's body: its own, parsed, and sent on
constexpr auto sweepInterval = std::chrono::seconds(1); // of the connection pool
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view modelsPath = "/v1/models";
constexpr std::string_view servicesPath = "/v1/services/";

// Set-up

/// Leaves the request id undecoded, so that the connection skips no response: `ResponseReader` compares the id that an
/// endpoint returns with the request's own.
static HeaderCodec endpointHeaderCodec()
{
    HeaderCodec headerCodec;
    headerCodec.decodeResponse = [](const ResponseHead &head) {
        ResponseFields fields;
        fields.keepAliveTimeout = keepAliveTimeout(head.fields);
        return fields;
    };
    return headerCodec;
}

static std::string makeRequestIdPrefix(const VmId &name)
{
    std::random_device device; // makes request ids unique across restarts
    return name.text + '-' + std::to_string(device()) + '-';
}

HttpFrontEnd::HttpFrontEnd(asio::io_context &io, const Settings &settings, ControlThread &control,
                           IdempotencyClient &idempotency, Metrics &metrics, Tracer &tracer, EventLog &log,
                           FrontEndHooks hooks)
    : m_io(io)
    , m_settings(settings)
    , m_control(control)
    , m_hooks(std::move(hooks))
    , m_headerCodec(endpointHeaderCodec())
    , m_connectionPool(io, m_headerCodec)
    , m_context{io,      m_settings,  m_connectionPool,
                control, idempotency, metrics,
                tracer,  log,         std::make_shared<CallCounters>(),
                nullptr}
    , m_listener(io)
    , m_refusals(log, "callers")
    , m_sweepTimer(io)
    , m_requestIdPrefix(makeRequestIdPrefix(settings.name))
{
    m_context.onEnded = [this](CallKey key) { m_calls.erase(key); };
    limitCallers();
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
    m_listener.onCountChanged = [this] { m_openConnections = static_cast<int>(m_listener.count()); };
    m_listener.hooks.isDraining = [this] { return m_hooks.isDraining(); };
    m_listener.hooks.describeRejection = [](int status, HttpFields &fields) {
        const Reason reason = status == statusContentTooLarge ? Reason::TooLarge
            : status == statusUnavailable                     ? Reason::QueueFull
                                                              : Reason::BadRequest;
        fields = {{"Galenafold-Run", text(ExecutionStatus::No)}, {"Content-Type", "application/json"}};
        return errorBody(reason, ExecutionStatus::No,
                         status == statusUnavailable ? "no room for the request"
                                                     : "the request is malformed, too large or too slow");
    };
}

/// Half of the memory is for callers' connections, and three quarters of the descriptors that are not for files.
void HttpFrontEnd::limitCallers()
{
    constexpr double defaultMegabytes = 512; // if the settings do not tell
    constexpr double callersPart = 0.5;
    constexpr double bytesPerMegabyte = 1e6;
    constexpr int fileDescriptors = 200;
    constexpr double callersDescriptors = 0.75;
    CallerMemorySettings memory;
    const double megabytes = m_settings.memoryMegabytes > 0 ? m_settings.memoryMegabytes : defaultMegabytes;
    memory.maxBytes = static_cast<std::size_t>(megabytes * bytesPerMegabyte * callersPart);
    m_listener.hooks.memory = std::make_shared<CallerMemory>(memory);
    m_listener.hooks.bodyCopies = bodyCopies;
    m_listener.hooks.receiveBytes = receiveBytes;
    m_listener.hooks.onRefused = [this](const CallerRefusal &refusal) { m_refusals.onRefused(clockNow(), refusal); };
    m_listener.hooks.onRejected = [this](int status, const char *why) {
        m_refusals.onRejected(clockNow(), status, why);
    };
    m_listener.maxCallers = static_cast<std::size_t>(m_settings.maxConnections);
    if (m_settings.maxDescriptors > fileDescriptors) {
        const double share = (m_settings.maxDescriptors - fileDescriptors) * callersDescriptors;
        m_listener.maxWithUnused = static_cast<std::size_t>(share);
    }
}

bool HttpFrontEnd::start()
{
    if (!m_listener.start(m_settings.address + ':' + std::to_string(m_settings.httpPort))) {
        return false;
    }
    sweep();
    return true;
}

void HttpFrontEnd::stopAccepting()
{
    asio::post(m_io, [this] { m_listener.stopAccepting(); });
}

void HttpFrontEnd::sweep()
{
    m_connectionPool.closeExpired(clockNow());
    m_sweepTimer.expires_at(clockNow() + sweepInterval);
    m_sweepTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sweep();
        }
    });
}

// Requests

static bool isPathSegment(std::string_view text)
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

/// Parses "/v1/services/POOL/OPERATION". @return nothing for any other path
static std::optional<ServicePath> servicePath(std::string_view path)
{
    if (path.substr(0, servicesPath.size()) != servicesPath) {
        return std::nullopt;
    }
    path.remove_prefix(servicesPath.size());
    const std::size_t slash = path.find('/');
    const std::string_view pool = path.substr(0, slash);
    const std::string_view operation = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    if (!isPathSegment(pool) || !isPathSegment(operation)) {
        return std::nullopt;
    }
    return ServicePath{pool, operation};
}

static void sendNotFound(const std::shared_ptr<CallerConnection> &caller)
{
    const HttpFields fields{{"Galenafold-Run", text(ExecutionStatus::No)}, {"Content-Type", "application/json"}};
    caller->sendResponse(statusNotFound, fields, errorBody(Reason::BadRequest, ExecutionStatus::No, "no such path"));
}

void HttpFrontEnd::onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request)
{
    const std::string_view path = pathOf(request);
    const bool isPost = request.head.method == "POST";
    const bool isGet = request.head.method == "GET";
    const bool isCall = isPost && (path == chatPath || servicePath(path));
    if (isCall || (isGet && path == modelsPath)) {
        beginCall(caller, std::move(request));
    } else if (!isGet || !handleAdminRequest(caller, request)) {
        sendNotFound(caller);
    }
}

void HttpFrontEnd::beginCall(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request)
{
    const auto key = static_cast<CallKey>(m_nextCallKey);
    const RequestId id{m_requestIdPrefix + std::to_string(m_nextCallKey)};
    ++m_nextCallKey;
    const std::string path(pathOf(request));
    const auto service = servicePath(path);
    const auto call = std::make_shared<ContractCall>(m_context, key, id, caller, std::move(request));
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

bool HttpFrontEnd::handleAdminRequest(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request)
{
    const HttpFields plain{{"Content-Type", "text/plain"}};
    const std::string_view path = pathOf(request);
    if (path == "/livez") {
        caller->sendResponse(statusOk, plain, "ok\n");
    } else if (path == "/readyz") {
        const bool isReady = m_hooks.isReady();
        caller->sendResponse(isReady ? statusOk : statusUnavailable, plain, isReady ? "ok\n" : "not ready\n");
    } else if (path == "/metrics") {
        caller->sendResponse(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                             m_context.metrics.text() + m_refusals.metrics());
    } else if (path == "/status") {
        caller->sendResponse(statusOk, {{"Content-Type", "application/json"}}, status());
    } else if (path == "/trace") {
        sendTrace(caller, std::string_view(request.head.target).substr(path.size()));
    } else {
        return false;
    }
    return true;
}

std::string HttpFrontEnd::status() const
{
    const auto snapshot = m_control.snapshot();
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

/// Sends the stored trace of a request. @param query "?request=ID"
void HttpFrontEnd::sendTrace(const std::shared_ptr<CallerConnection> &caller, std::string_view query)
{
    constexpr std::string_view key = "?request=";
    const bool hasKey = query.substr(0, key.size()) == key;
    const std::string lines = hasKey ? m_context.tracer.find(std::string(query.substr(key.size()))) : std::string();
    if (lines.empty()) {
        caller->sendResponse(statusNotFound, {{"Content-Type", "text/plain"}}, "this VM kept no such trace\n");
        return;
    }
    caller->sendResponse(statusOk, {{"Content-Type", "application/x-ndjson"}}, lines);
}

// Actions

void HttpFrontEnd::executeActions(const Actions &actions)
{
    asio::post(m_io, [this, actions] { executeActionsOnLoop(actions); });
}

std::shared_ptr<ContractCall> HttpFrontEnd::find(CallKey key) const
{
    const auto found = m_calls.find(key);
    return found == m_calls.end() ? nullptr : found->second;
}

/// Ignores actions for calls that have ended: the control thread has been notified of the end, or will be.
void HttpFrontEnd::executeActionsOnLoop(const Actions &actions)
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
            call->refuse(refusal.reason, refusal.executionStatus);
        }
    }
}

} // namespace galenafold
