// The world of one router.
#include "tests/world.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int outputTokens = 6;
constexpr auto attemptTimeout = std::chrono::milliseconds(2500);
constexpr auto runFor = std::chrono::milliseconds(6000);
constexpr auto tickEvery = std::chrono::milliseconds(20);

World::World(const WorldPlan &plan)
    : m_plan(plan)
    , m_router(plan.settings)
    , m_random(plan.seed)
{
    m_contract.customer = {"kedai"};
    m_contract.rate = 1e6;
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

int World::draw(int most)
{
    return boost::random::uniform_int_distribution<int>(0, most)(m_random);
}

bool World::chance(double probability)
{
    return boost::random::uniform_01<double>()(m_random) < probability;
}

void World::at(Duration after, std::function<void()> act)
{
    m_events.push({m_now + after, ++m_order, std::move(act)});
}

void World::post(const std::shared_ptr<Flight> &flight, std::function<void()> act)
{
    const int late = chance(0.1) ? draw(120) : draw(4); // now and then the control thread is busy
    const Instant when = std::max(flight->lastPost, m_now + std::chrono::milliseconds(late));
    flight->lastPost = when;
    m_events.push({when, ++m_order, std::move(act)});
}

void World::run()
{
    for (int i = 0; i < m_plan.calls; ++i) {
        at(std::chrono::milliseconds(draw(800)), [this, i] { addCall(i + 1); });
    }
    for (Duration when = tickEvery; when < runFor; when += tickEvery) {
        at(when, [this] {
            Actions actions;
            m_router.onTick(m_now, actions);
            carryOut(actions);
        });
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.act();
    }
}

void World::addCall(int number)
{
    const auto key = static_cast<CallKey>(number);
    auto caller = std::make_unique<CallerView>();
    Call &call = caller->call;
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
    CallerView &view = *caller;
    m_callers[key] = std::move(caller);
    if (m_router.admit(m_now, m_contract) != Reason::None) {
        view.finals = 1;
        view.isRefused = true;
        return;
    }
    Actions actions;
    m_router.submit(m_now, view.call, 1, actions);
    carryOut(actions);
    if (chance(0.1)) {
        at(std::chrono::milliseconds(draw(600)), [this, key, &view] {
            if (view.finals > 0) {
                return;
            }
            view.isGone = true;
            ++view.finals;
            view.race.close();
            Actions gone;
            m_router.onCallerDisconnected(m_now, key, gone);
            carryOut(gone);
        });
    }
}

void World::carryOut(const Actions &actions)
{
    for (const Refusal &refusal : actions.refusals) {
        CallerView &caller = *m_callers.at(refusal.call);
        caller.finals += caller.race.hasWinner() ? 1 : 0; // refused while an attempt answers: two outcomes
        caller.race.close();
        if (!caller.isGone) {
            ++caller.finals;
            caller.isRefused = true;
            caller.refusal = refusal;
        }
    }
    for (const StartAttempt &start : actions.starts) {
        begin(start);
    }
    for (const CancelAttempt &cancel : actions.cancels) {
        const auto flight = m_flights.find({cancel.call, cancel.attempt});
        if (flight != m_flights.end()) {
            at(std::chrono::milliseconds(draw(5)),
               [this, held = flight->second] { end(held, ExchangeResult::Broken, true); });
        }
    }
}

Fate World::drawFate()
{
    if (!chance(m_plan.faultChance)) {
        return Fate::Whole;
    }
    if (m_plan.onlyFault != Fate::Count) {
        return m_plan.onlyFault;
    }
    return static_cast<Fate>(draw(static_cast<int>(Fate::Count) - 1));
}

void World::begin(const StartAttempt &start)
{
    auto flight = std::make_shared<Flight>();
    flight->start = start;
    CallerView &caller = *m_callers.at(start.call);
    flight->fate = drawFate();
    ResponseReaderParams plan;
    plan.call = start.call;
    plan.attempt = start.attempt;
    plan.request = caller.call.request;
    plan.endpoint = {start.endpoint.id, start.endpoint.incarnation};
    plan.resumeFrom = start.resumeFrom;
    plan.expectedOutput = outputTokens;
    plan.isStream = caller.isStream;
    plan.isModel = caller.call.pool.text == "tea";
    RelayHooks hooks;
    hooks.win = [this, &caller, weak = std::weak_ptr<Flight>(flight)](const CallerResponseHead &) {
        const auto held = weak.lock();
        const bool hasWon = caller.race.tryWin(held->start.attempt, held->start.resumeFrom);
        if (hasWon) {
            post(held, [this, held] {
                Actions actions;
                m_router.onFirstByte(m_now, held->start.call, held->start.attempt, 0, actions);
                carryOut(actions);
            });
        }
        return hasWon;
    };
    const int attempt = start.attempt;
    hooks.push = [&caller, attempt](const std::string &bytes, Tokens relayed) {
        const bool isTaken = caller.race.relay(attempt, relayed);
        caller.received += isTaken ? bytes : std::string();
        return isTaken;
    };
    hooks.finishResponse = [&caller, attempt] {
        const bool wasWhole = caller.race.isWhole();
        if (caller.race.finishResponse(attempt) && !wasWhole) {
            caller.isWhole = true;
            ++caller.finals;
        }
    };
    hooks.onAttemptFailed = [&caller, attempt] { caller.race.onAttemptFailed(attempt); };
    hooks.onLoad = [](const LoadReport &) {};
    flight->reader = std::make_shared<ResponseReader>(plan, hooks);
    m_flights[{start.call, start.attempt}] = flight;
    const Duration delay = std::chrono::milliseconds(1 + draw(30));
    at(delay, [this, flight] { execute(flight); });
    at(attemptTimeout, [this, flight] { end(flight, ExchangeResult::Broken, false); });
}

void World::execute(const std::shared_ptr<Flight> &flight)
{
    if (flight->isEnded) {
        return;
    }
    CallerView &caller = callerOf(*flight);
    switch (flight->fate) {
    case Fate::NoConnection:
        end(flight, ExchangeResult::NotSent, false);
        return;
    case Fate::RequestLost:
        at(std::chrono::milliseconds(draw(100)), [this, flight] { end(flight, ExchangeResult::Broken, false); });
        return;
    case Fate::RefusedNotRun:
        head(flight);
        return;
    default:
        break;
    }
    ++caller.executions;
    ++m_executions;
    if (flight->fate == Fate::Hang) {
        return;
    }
    const int slowness = chance(0.2) ? 400 : 60;
    if (flight->fate == Fate::AnswerLost) {
        at(std::chrono::milliseconds(draw(slowness)), [this, flight] { end(flight, ExchangeResult::Broken, false); });
        return;
    }
    at(std::chrono::milliseconds(draw(slowness)), [this, flight] { head(flight); });
}

std::string World::otherRequest(const CallerView &caller) const
{
    for (const auto &[key, other] : m_callers) {
        if (other->call.request != caller.call.request) {
            return other->call.request.text;
        }
    }
    return "stranger";
}

void World::head(const std::shared_ptr<Flight> &flight)
{
    if (flight->isEnded) {
        return;
    }
    const CallerView &caller = callerOf(*flight);
    const bool isCrossed = flight->fate == Fate::CrossedRefusal || flight->fate == Fate::CrossedHead;
    const bool isRefusal = flight->fate == Fate::CrossedRefusal || flight->fate == Fate::RefusedNotRun;
    EndpointResponseHead answer;
    answer.status = isRefusal ? 503 : 200;
    answer.run = isRefusal ? "no" : "";
    answer.contentType = "text/event-stream";
    answer.isFramed = true;
    answer.echoedRequest = isCrossed ? otherRequest(caller) : caller.call.request.text;
    if (!flight->reader->onHead(answer)) {
        end(flight, ExchangeResult::Broken, false);
        return;
    }
    if (caller.isStream) {
        nextToken(flight, static_cast<int>(flight->start.resumeFrom) + 1);
    } else {
        wholeBody(flight);
    }
}

static std::string chunkOf(const std::string &id, int token)
{
    return "data: " + Json{{"id", id}, {"token", token}}.dump() + "\n\n";
}

void World::nextToken(const std::shared_ptr<Flight> &flight, int token)
{
    if (flight->isEnded) {
        return;
    }
    const CallerView &caller = callerOf(*flight);
    const std::string id = caller.call.request.text;
    const Fate fate = flight->fate;
    std::string bytes = chunkOf(id, token);
    const bool isMiddle = token > outputTokens / 2;
    ExchangeResult ending = ExchangeResult::Whole;
    bool isLast = false;
    if (token > outputTokens) {
        bytes = fate == Fate::EarlyEnd ? "" : "data: [DONE]\n\n";
        bytes += fate == Fate::TwoAnswers ? chunkOf(otherRequest(caller), 1) + "data: [DONE]\n\n" : "";
        isLast = true;
    } else if (fate == Fate::Cut && isMiddle) {
        bytes = bytes.substr(0, bytes.size() / 2);
        ending = ExchangeResult::Broken;
        isLast = true;
    } else if (fate == Fate::CrossedChunk && isMiddle) {
        bytes = chunkOf(otherRequest(caller), token);
    } else if (fate == Fate::Rubbish && isMiddle) {
        bytes = "\x01\x02\n\n";
    }
    const bool goesOn = bytes.empty() || flight->reader->onData(bytes.data(), bytes.size());
    if (!goesOn || isLast) {
        end(flight, goesOn ? ending : ExchangeResult::Broken, false);
        return;
    }
    at(std::chrono::milliseconds(1 + draw(20)), [this, flight, token] { nextToken(flight, token + 1); });
}

void World::wholeBody(const std::shared_ptr<Flight> &flight)
{
    const CallerView &caller = callerOf(*flight);
    const bool isModel = caller.call.pool.text == "tea";
    std::string body = Json{{"id", caller.call.request.text}, {"whole", true}}.dump();
    ExchangeResult result = ExchangeResult::Whole;
    if (flight->fate == Fate::Cut || (!isModel && flight->fate == Fate::EarlyEnd)) {
        body = body.substr(0, body.size() / 2);
        result = ExchangeResult::Broken;
    } else if (isModel && (flight->fate == Fate::TwoAnswers || flight->fate == Fate::EarlyEnd)) {
        body += body;
    } else if (isModel && (flight->fate == Fate::Rubbish || flight->fate == Fate::CrossedChunk)) {
        body = Json{{"id", otherRequest(caller)}}.dump();
    }
    const bool goesOn = flight->reader->onData(body.data(), body.size());
    end(flight, goesOn ? result : ExchangeResult::Broken, false);
}

void World::end(const std::shared_ptr<Flight> &flight, ExchangeResult result, bool isCancelled)
{
    if (flight->isEnded) {
        return;
    }
    flight->isEnded = true;
    const AttemptReport report = flight->reader->finish(result, isCancelled);
    post(flight, [this, report] {
        Actions actions;
        m_router.onAttemptEnded(m_now, report, actions);
        carryOut(actions);
    });
}

static std::string wantedBody(const CallerView &caller)
{
    const std::string id = caller.call.request.text;
    if (!caller.isStream) {
        return Json{{"id", id}, {"whole", true}}.dump();
    }
    std::string wanted;
    for (int token = 1; token <= outputTokens; ++token) {
        wanted += chunkOf(id, token);
    }
    return wanted + "data: [DONE]\n\n";
}

std::string World::check() const
{
    for (const auto &[key, caller] : m_callers) {
        const std::string who = "seed " + std::to_string(m_plan.seed) + ", " + caller->call.request.text + ": ";
        if (caller->finals != 1) {
            return who + std::to_string(caller->finals) + " final outcomes";
        }
        const std::string wanted = wantedBody(*caller);
        if (caller->isWhole && caller->received != wanted) {
            return who + "told whole, but got: " + caller->received;
        }
        if (wanted.compare(0, caller->received.size(), caller->received) != 0) {
            return who + "part of an answer that is not its own: " + caller->received;
        }
        if (caller->isRefused && caller->refusal.run == ExecutionStatus::No && caller->executions > 0) {
            return who + "told not run, executed " + std::to_string(caller->executions) + " times";
        }
        if (!caller->call.isIdempotent && caller->executions > 1) {
            return who + "not idempotent, executed " + std::to_string(caller->executions) + " times";
        }
    }
    if (m_router.callsInProgress() != 0) {
        return "seed " + std::to_string(m_plan.seed) + ": the router still holds calls";
    }
    for (std::size_t i = 0; i < m_router.loads().size(); ++i) {
        if (m_router.loads().at(static_cast<EndpointIndex>(i)).own.total != 0) {
            return "seed " + std::to_string(m_plan.seed) + ": an endpoint's own load is not zero at rest";
        }
    }
    return {};
}

} // namespace galenafold
