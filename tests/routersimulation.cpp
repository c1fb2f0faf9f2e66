// Simulation of one router: callers, endpoints with faults, and the check of the outcome.
#include "tests/routersimulation.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int outputTokens = 6;                                  // of each response
constexpr auto attemptTimeout = std::chrono::milliseconds(2500); // after which an attempt ends as broken
constexpr auto runDuration = std::chrono::milliseconds(6000);    // virtual time during which the router gets ticks
constexpr auto tickInterval = std::chrono::milliseconds(20);

RouterSimulation::RouterSimulation(const SimulationPlan &plan)
    : m_plan(plan)
    , m_router(plan.settings)
    , m_random(plan.seed)
{
    m_contract.customer = {"kedai"};
    m_contract.rate = 1e6; // these limits are never reached
    m_contract.concurrency = 1e6;
    std::vector<VmRecord> list;
    for (int i = 0; i < 5; ++i) {
        VmRecord record;
        record.id = {"vm-" + std::to_string(i)};
        record.kind = i < 3 ? VmKind::Engine : VmKind::Service;
        record.incarnation = Incarnation(1);
        record.pools = {{i < 3 ? "tea" : "ledger"}};
        list.push_back(record);
    }
    m_now += std::chrono::seconds(100);
    m_router.onVmList(m_now, list);
}

int RouterSimulation::draw(int maxValue)
{
    return boost::random::uniform_int_distribution<int>(0, maxValue)(m_random);
}

bool RouterSimulation::chance(double probability)
{
    return boost::random::uniform_01<double>()(m_random) < probability;
}

void RouterSimulation::schedule(Duration after, std::function<void()> action)
{
    m_events.push({m_now + after, ++m_order, std::move(action)});
}

void RouterSimulation::postToRouter(const std::shared_ptr<AttemptInFlight> &attempt, std::function<void()> action)
{
    const int delayMs = chance(0.1) ? draw(120) : draw(4); // the control thread is busy at times
    const Instant when = std::max(attempt->lastPosted, m_now + std::chrono::milliseconds(delayMs));
    attempt->lastPosted = when;
    m_events.push({when, ++m_order, std::move(action)});
}

void RouterSimulation::run()
{
    for (int i = 0; i < m_plan.calls; ++i) {
        schedule(std::chrono::milliseconds(draw(800)), [this, i] { addCall(i + 1); });
    }
    for (Duration when = tickInterval; when < runDuration; when += tickInterval) {
        schedule(when, [this] {
            Actions actions;
            m_router.onTick(m_now, actions);
            executeActions(actions);
        });
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.action();
    }
}

void RouterSimulation::addCall(int number)
{
    const auto key = static_cast<CallKey>(number);
    auto caller = std::make_unique<CallerRecord>();
    Call &call = caller->call;
    // 0: stream in the long lane, 1: stream of a chat, 2: model call without a stream, 3: call to a service
    const int kind = draw(3);
    call.key = key;
    call.request = {"r" + std::to_string(number)};
    call.customer = m_contract.customer;
    call.taskClass = "class-" + std::to_string(kind);
    call.pool = {kind == 3 ? "ledger" : "tea"};
    call.lane = kind == 0 ? Lane::Long : Lane::Short;
    call.isIdempotent = kind != 3;
    call.isResumable = kind < 2;
    call.output = outputTokens;
    call.chat = {kind == 1 ? "chat" + std::to_string(draw(3)) : ""};
    call.arrival = m_now;
    call.deadline = m_now + std::chrono::milliseconds(3000);
    caller->isStream = kind < 2;
    CallerRecord &record = *caller;
    m_callers[key] = std::move(caller);
    if (m_router.admit(m_now, m_contract) != Reason::None) {
        record.outcomes = 1;
        record.isRefused = true;
        return;
    }
    Actions actions;
    m_router.submit(m_now, record.call, 1, actions);
    executeActions(actions);
    if (chance(0.1)) {
        schedule(std::chrono::milliseconds(draw(600)), [this, key, &record] {
            if (record.outcomes > 0) {
                return;
            }
            record.isDisconnected = true;
            ++record.outcomes;
            record.arbiter.close();
            Actions disconnectActions;
            m_router.onCallerDisconnected(m_now, key, disconnectActions);
            executeActions(disconnectActions);
        });
    }
}

void RouterSimulation::executeActions(const Actions &actions)
{
    for (const Refusal &refusal : actions.refusals) {
        CallerRecord &caller = *m_callers.at(refusal.call);
        caller.outcomes += caller.arbiter.hasWinner() ? 1 : 0; // refused while an attempt answers: two outcomes
        caller.arbiter.close();
        if (!caller.isDisconnected) {
            ++caller.outcomes;
            caller.isRefused = true;
            caller.refusal = refusal;
        }
    }
    for (const StartAttempt &start : actions.starts) {
        startAttempt(start);
    }
    for (const CancelAttempt &cancel : actions.cancels) {
        const auto found = m_attempts.find({cancel.call, cancel.attempt});
        if (found != m_attempts.end()) {
            schedule(std::chrono::milliseconds(draw(5)),
                     [this, attempt = found->second] { endAttempt(attempt, ExchangeResult::Broken, true); });
        }
    }
}

AttemptFault RouterSimulation::drawFault()
{
    if (!chance(m_plan.faultChance)) {
        return AttemptFault::None;
    }
    if (m_plan.onlyFault != AttemptFault::Count) {
        return m_plan.onlyFault;
    }
    return static_cast<AttemptFault>(draw(static_cast<int>(AttemptFault::Count) - 1));
}

void RouterSimulation::startAttempt(const StartAttempt &start)
{
    auto attempt = std::make_shared<AttemptInFlight>();
    attempt->start = start;
    CallerRecord &caller = *m_callers.at(start.call);
    attempt->fault = drawFault();
    ResponseReaderParams params;
    params.call = start.call;
    params.attempt = start.attempt;
    params.request = caller.call.request;
    params.endpoint = {start.endpoint.id, start.endpoint.incarnation};
    params.resumeFrom = start.resumeFrom;
    params.expectedOutput = outputTokens;
    params.isStream = caller.isStream;
    params.isModel = caller.call.pool.text == "tea";
    RelayHooks hooks;
    hooks.win = [this, &caller, weak = std::weak_ptr<AttemptInFlight>(attempt)](const CallerResponseHead &) {
        const auto locked = weak.lock();
        const bool hasWon = caller.arbiter.tryWin(locked->start.attempt, locked->start.resumeFrom);
        if (hasWon) {
            postToRouter(locked, [this, locked] {
                Actions actions;
                m_router.onFirstByte(m_now, locked->start.call, locked->start.attempt, 0, actions);
                executeActions(actions);
            });
        }
        return hasWon;
    };
    const int number = start.attempt;
    hooks.push = [&caller, number](const std::string &bytes, Tokens relayed) {
        const bool isAccepted = caller.arbiter.relay(number, relayed);
        caller.received += isAccepted ? bytes : std::string();
        return isAccepted;
    };
    hooks.finishResponse = [&caller, number] {
        const bool wasComplete = caller.arbiter.isComplete();
        if (caller.arbiter.finishResponse(number) && !wasComplete) {
            caller.isComplete = true;
            ++caller.outcomes;
        }
    };
    hooks.onAttemptFailed = [&caller, number] { caller.arbiter.onAttemptFailed(number); };
    hooks.onLoad = [](const LoadReport &) {};
    attempt->reader = std::make_shared<ResponseReader>(params, hooks);
    m_attempts[{start.call, start.attempt}] = attempt;
    const Duration delay = std::chrono::milliseconds(1 + draw(30));
    schedule(delay, [this, attempt] { deliverRequest(attempt); });
    schedule(attemptTimeout, [this, attempt] { endAttempt(attempt, ExchangeResult::Broken, false); });
}

void RouterSimulation::deliverRequest(const std::shared_ptr<AttemptInFlight> &attempt)
{
    if (attempt->isEnded) {
        return;
    }
    CallerRecord &caller = callerOf(*attempt);
    switch (attempt->fault) {
    case AttemptFault::ConnectFailed:
        endAttempt(attempt, ExchangeResult::NotSent, false);
        return;
    case AttemptFault::RequestLost:
        schedule(std::chrono::milliseconds(draw(100)),
                 [this, attempt] { endAttempt(attempt, ExchangeResult::Broken, false); });
        return;
    case AttemptFault::RefusedNotExecuted:
        deliverHead(attempt);
        return;
    default:
        break;
    }
    ++caller.executions;
    ++m_executions;
    if (attempt->fault == AttemptFault::NoResponse) {
        return;
    }
    const int maxDelayMs = chance(0.2) ? 400 : 60;
    if (attempt->fault == AttemptFault::ResponseLost) {
        schedule(std::chrono::milliseconds(draw(maxDelayMs)),
                 [this, attempt] { endAttempt(attempt, ExchangeResult::Broken, false); });
        return;
    }
    schedule(std::chrono::milliseconds(draw(maxDelayMs)), [this, attempt] { deliverHead(attempt); });
}

std::string RouterSimulation::otherRequestId(const CallerRecord &caller) const
{
    for (const auto &[key, other] : m_callers) {
        if (other->call.request != caller.call.request) {
            return other->call.request.text;
        }
    }
    return "stranger";
}

void RouterSimulation::deliverHead(const std::shared_ptr<AttemptInFlight> &attempt)
{
    if (attempt->isEnded) {
        return;
    }
    const CallerRecord &caller = callerOf(*attempt);
    const bool isWrongRequest =
        attempt->fault == AttemptFault::WrongRequestRefusal || attempt->fault == AttemptFault::WrongRequestHead;
    const bool isRefusal =
        attempt->fault == AttemptFault::WrongRequestRefusal || attempt->fault == AttemptFault::RefusedNotExecuted;
    EndpointResponseHead response;
    response.status = isRefusal ? 503 : 200;
    response.run = isRefusal ? "no" : "";
    response.contentType = "text/event-stream";
    response.isFramed = true;
    response.echoedRequest = isWrongRequest ? otherRequestId(caller) : caller.call.request.text;
    if (!attempt->reader->onHead(response)) {
        endAttempt(attempt, ExchangeResult::Broken, false);
        return;
    }
    if (caller.isStream) {
        deliverToken(attempt, static_cast<int>(attempt->start.resumeFrom) + 1);
    } else {
        deliverBody(attempt);
    }
}

static std::string encodeEvent(const std::string &id, int token)
{
    return "data: " + Json{{"id", id}, {"token", token}}.dump() + "\n\n";
}

void RouterSimulation::deliverToken(const std::shared_ptr<AttemptInFlight> &attempt, int token)
{
    if (attempt->isEnded) {
        return;
    }
    const CallerRecord &caller = callerOf(*attempt);
    const std::string id = caller.call.request.text;
    const AttemptFault fault = attempt->fault;
    std::string bytes = encodeEvent(id, token);
    const bool isSecondHalf = token > outputTokens / 2;
    ExchangeResult result = ExchangeResult::Complete;
    bool isLast = false;
    if (token > outputTokens) {
        bytes = fault == AttemptFault::MissingFinalEvent ? "" : "data: [DONE]\n\n";
        bytes +=
            fault == AttemptFault::DuplicateResponse ? encodeEvent(otherRequestId(caller), 1) + "data: [DONE]\n\n" : "";
        isLast = true;
    } else if (fault == AttemptFault::TruncatedBody && isSecondHalf) {
        bytes = bytes.substr(0, bytes.size() / 2);
        result = ExchangeResult::Broken;
        isLast = true;
    } else if (fault == AttemptFault::WrongRequestEvent && isSecondHalf) {
        bytes = encodeEvent(otherRequestId(caller), token);
    } else if (fault == AttemptFault::MalformedResponse && isSecondHalf) {
        bytes = "\x01\x02\n\n";
    }
    const bool isAccepted = bytes.empty() || attempt->reader->onData(bytes.data(), bytes.size());
    if (!isAccepted || isLast) {
        endAttempt(attempt, isAccepted ? result : ExchangeResult::Broken, false);
        return;
    }
    schedule(std::chrono::milliseconds(1 + draw(20)), [this, attempt, token] { deliverToken(attempt, token + 1); });
}

void RouterSimulation::deliverBody(const std::shared_ptr<AttemptInFlight> &attempt)
{
    const CallerRecord &caller = callerOf(*attempt);
    const bool isModel = caller.call.pool.text == "tea";
    // A body has no events, so the faults of events become duplicated, truncated or mismatched bodies. The body of a
    // service is opaque to the router, which can detect only that it is truncated.
    std::string body = Json{{"id", caller.call.request.text}, {"whole", true}}.dump();
    ExchangeResult result = ExchangeResult::Complete;
    if (attempt->fault == AttemptFault::TruncatedBody
        || (!isModel && attempt->fault == AttemptFault::MissingFinalEvent)) {
        body = body.substr(0, body.size() / 2);
        result = ExchangeResult::Broken;
    } else if (isModel
               && (attempt->fault == AttemptFault::DuplicateResponse
                   || attempt->fault == AttemptFault::MissingFinalEvent)) {
        body += body;
    } else if (isModel
               && (attempt->fault == AttemptFault::MalformedResponse
                   || attempt->fault == AttemptFault::WrongRequestEvent)) {
        body = Json{{"id", otherRequestId(caller)}}.dump();
    }
    const bool isAccepted = attempt->reader->onData(body.data(), body.size());
    endAttempt(attempt, isAccepted ? result : ExchangeResult::Broken, false);
}

void RouterSimulation::endAttempt(const std::shared_ptr<AttemptInFlight> &attempt, ExchangeResult result,
                                  bool isCancelled)
{
    if (attempt->isEnded) {
        return;
    }
    attempt->isEnded = true;
    const AttemptReport report = attempt->reader->finish(result, isCancelled);
    postToRouter(attempt, [this, report] {
        Actions actions;
        m_router.onAttemptEnded(m_now, report, actions);
        executeActions(actions);
    });
}

static std::string expectedBody(const CallerRecord &caller)
{
    const std::string id = caller.call.request.text;
    if (!caller.isStream) {
        return Json{{"id", id}, {"whole", true}}.dump();
    }
    std::string expected;
    for (int token = 1; token <= outputTokens; ++token) {
        expected += encodeEvent(id, token);
    }
    return expected + "data: [DONE]\n\n";
}

std::string RouterSimulation::check() const
{
    for (const auto &[key, caller] : m_callers) {
        const std::string label = "seed " + std::to_string(m_plan.seed) + ", " + caller->call.request.text + ": ";
        if (caller->outcomes != 1) {
            return label + std::to_string(caller->outcomes) + " final outcomes instead of 1";
        }
        const std::string expected = expectedBody(*caller);
        if (caller->isComplete && caller->received != expected) {
            return label + "reported as whole, but received: " + caller->received;
        }
        if (expected.compare(0, caller->received.size(), caller->received) != 0) {
            return label + "received part of another answer: " + caller->received;
        }
        if (caller->isRefused && caller->refusal.executionStatus == ExecutionStatus::No && caller->executions > 0) {
            return label + "reported as not run, but executed " + std::to_string(caller->executions) + " times";
        }
        if (!caller->call.isIdempotent && caller->executions > 1) {
            return label + "not idempotent, executed " + std::to_string(caller->executions) + " times";
        }
    }
    if (m_router.callsInProgress() != 0) {
        return "seed " + std::to_string(m_plan.seed) + ": the router still has calls in progress";
    }
    for (std::size_t i = 0; i < m_router.loads().size(); ++i) {
        if (m_router.loads().at(static_cast<EndpointIndex>(i)).own.total != 0) {
            return "seed " + std::to_string(m_plan.seed) + ": own load at an endpoint is not zero when idle";
        }
    }
    return {};
}

} // namespace galenafold
