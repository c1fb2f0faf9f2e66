// Open-loop load.
//
// Sections of this file: Callers, Sampling, Events, Run.
#include "daemons/loadrun.h"

#include "daemons/arrivals.h"

#include "clients/endpoint.h"
#include "control/loadview.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr double bytesPerToken = 4;
constexpr std::size_t mostCallers = 4000;
constexpr auto sampleEvery = std::chrono::milliseconds(20);
constexpr auto answerWithin = std::chrono::seconds(120);

double quantileOf(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

// Callers

/// Where calls go: the routers that a balancer would know.
class Targets
{
public:
    void set(const std::vector<HostPort> &routers)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_routers = routers;
    }
    HostPort pick(double draw) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto index = static_cast<std::size_t>(draw * static_cast<double>(m_routers.size()));
        return m_routers[std::min(index, m_routers.size() - 1)];
    }

private:
    mutable std::mutex m_mutex;
    std::vector<HostPort> m_routers;
};

class Callers
{
public:
    Callers(const LoadPlan &plan, const Targets &targets)
        : m_plan(plan)
        , m_targets(targets)
        , m_pool(mostCallers)
    {
        for (const LoadClass &entry : plan.classes) {
            ClassFigures figures;
            figures.name = entry.name;
            m_figures.push_back(figures);
        }
    }

    void call(const Arrival &arrival, bool isCounted, Tokens ideal, std::uint64_t serial)
    {
        m_pool.enqueue([this, arrival, isCounted, ideal, serial] { run(arrival, isCounted, ideal, serial); });
    }
    void finish() { m_pool.shutdown(); }
    std::vector<ClassFigures> figures() const { return m_figures; }
    std::vector<std::string> refusedRequests() const { return m_refused; }

private:
    struct Seen {
        Instant begin{};
        Instant firstByte{};
        Instant lastByte{};
        std::int64_t bytes = 0;
        std::string tail;
        std::vector<double> late;
    };

    std::shared_ptr<httplib::Client> take(const HostPort &router)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        auto &idle = m_idle[router.port];
        if (!idle.empty()) {
            auto client = idle.back();
            idle.pop_back();
            return client;
        }
        auto client = std::make_shared<httplib::Client>(router.host, router.port);
        client->set_keep_alive(true);
        configureClient(*client, std::chrono::seconds(5), answerWithin);
        return client;
    }
    void giveBack(const HostPort &router, const std::shared_ptr<httplib::Client> &client)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_idle[router.port].push_back(client);
    }

    std::string apiKey(std::size_t customer) const
    {
        return customer < m_plan.keys.size() ? m_plan.keys[customer] : keyOf(m_plan.customers[customer]);
    }

    std::string chatName(const Arrival &arrival) const
    {
        return arrival.chat < 0 ? ""
                                : m_plan.customers[arrival.customer].name + "-chat-" + std::to_string(arrival.chat);
    }

    httplib::Request requestFor(const Arrival &arrival, std::uint64_t serial)
    {
        const LoadClass &entry = m_plan.classes[arrival.classIndex];
        const std::string prompt(static_cast<std::size_t>(arrival.prompt * bytesPerToken), 'p');
        httplib::Request request;
        request.method = "POST";
        request.headers = {{"Authorization", "Bearer " + apiKey(arrival.customer)},
                           {"Galenafold-Task", entry.name},
                           {"Content-Type", "application/json"}};
        if (!entry.service.empty()) {
            request.path = "/v1/services/" + entry.service + "/" + entry.name;
            request.body = "{}";
            if (entry.isKeyed) {
                request.headers.emplace("Idempotency-Key", makeUuidV7(wallClock(), serial));
            }
            return request;
        }
        request.path = "/v1/chat/completions";
        const Json message{{"role", "user"}, {"content", prompt}};
        request.body = Json{{"model", "tea-large"},
                            {"messages", Json::array({message})},
                            {"max_tokens", entry.output},
                            {"stream", entry.isStream}}
                           .dump();
        const std::string chat = chatName(arrival);
        if (!chat.empty()) {
            request.headers.emplace("Galenafold-Chat", chat);
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto hint = m_hints.find(chat);
            if (entry.hasHint && hint != m_hints.end()) {
                request.headers.emplace("Galenafold-Hint", hint->second);
            }
        } else {
            request.headers.emplace("Galenafold-Chat", "single-" + std::to_string(serial));
        }
        return request;
    }

    void run(const Arrival &arrival, bool isCounted, Tokens ideal, std::uint64_t serial)
    {
        const LoadClass &entry = m_plan.classes[arrival.classIndex];
        const HostPort router = m_targets.pick(arrival.router);
        const auto client = take(router);
        httplib::Request request = requestFor(arrival, serial);
        Seen seen;
        httplib::Response head;
        const Duration tokenStep(static_cast<Duration::rep>(1e6 / m_plan.fleet.engine.decodeTokensPerSecond));
        request.response_handler = [&head](const httplib::Response &response) {
            head.status = response.status;
            head.headers = response.headers;
            return true;
        };
        request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
            const Instant now = clockNow();
            if (seen.bytes == 0) {
                seen.firstByte = now;
            } else if (entry.isStream) {
                seen.late.push_back(std::chrono::duration<double>(now - seen.lastByte - tokenStep).count());
            }
            seen.lastByte = now;
            seen.bytes += static_cast<std::int64_t>(size);
            seen.tail.append(data, size);
            if (seen.tail.size() > 64) {
                seen.tail.erase(0, seen.tail.size() - 64);
            }
            return true;
        };
        seen.begin = clockNow();
        const httplib::Result result = client->send(request);
        const bool isStream = entry.isStream && entry.service.empty();
        const bool hasEnd = !isStream || seen.tail.find("[DONE]") != std::string::npos;
        const bool isWhole = result && head.status == 200 && hasEnd;
        if (result && !head.has_header("Connection")) {
            giveBack(router, client);
        }
        note(arrival, isCounted, ideal, head, seen, isWhole);
    }

    void note(const Arrival &arrival, bool isCounted, Tokens ideal, const httplib::Response &head, const Seen &seen,
              bool isWhole)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string chat = chatName(arrival);
        const std::string run = head.get_header_value("Galenafold-Run");
        if (!chat.empty() && head.has_header("Galenafold-Hint")) {
            m_hints[chat] = head.get_header_value("Galenafold-Hint");
        }
        if (!isWhole && run == "no") {
            m_refused.push_back(head.get_header_value("X-Request-Id"));
        }
        if (!isCounted) {
            return;
        }
        ClassFigures &figures = m_figures[arrival.classIndex];
        ++figures.sent;
        if (!isWhole) {
            figures.refused += run == "no" ? 1 : 0;
            figures.unknown += run == "unknown" ? 1 : 0;
            figures.failed += run != "no" && run != "unknown" ? 1 : 0;
            return;
        }
        ++figures.whole;
        figures.firstByte.push_back(std::chrono::duration<double>(seen.firstByte - seen.begin).count());
        figures.total.push_back(std::chrono::duration<double>(clockNow() - seen.begin).count());
        figures.late.insert(figures.late.end(), seen.late.begin(), seen.late.end());
        if (arrival.chat >= 0) {
            figures.promptTokens += arrival.prompt;
            figures.reusedTokens += std::atof(head.get_header_value("Galenafold-Prompt-Reused").c_str());
            figures.ideallyReused += ideal;
        }
    }

    const LoadPlan &m_plan;
    const Targets &m_targets;
    std::mutex m_mutex;
    std::vector<ClassFigures> m_figures;
    std::map<std::string, std::string> m_hints;
    std::vector<std::string> m_refused;
    std::map<int, std::vector<std::shared_ptr<httplib::Client>>> m_idle; // by port
    DynamicThreadPool m_pool;
};

// Sampling

/// Watches the engines' true load.
class LoadSampler
{
public:
    explicit LoadSampler(double bound)
        : m_bound(bound)
    {
    }

    void sample(Fleet &fleet)
    {
        double sum = 0;
        double most = 0;
        const std::size_t engines = fleet.engines();
        for (std::size_t i = 0; i < engines; ++i) {
            const double load = fleet.engine(i).inFlight();
            sum += load;
            most = std::max(most, load);
        }
        if (engines == 0) {
            return;
        }
        const double mean = sum / static_cast<double>(engines);
        m_sum += mean;
        ++m_samples;
        m_worstExcess = std::max(m_worstExcess, most - m_bound * mean);
        m_worstRatio = mean >= 1 ? std::max(m_worstRatio, most / mean) : m_worstRatio;
    }
    void fill(LoadFigures &figures) const
    {
        figures.meanLoad = m_samples == 0 ? 0 : m_sum / m_samples;
        figures.worstRatio = m_worstRatio;
        figures.worstExcess = m_worstExcess;
    }

private:
    double m_bound;
    double m_sum = 0;
    double m_samples = 0;
    double m_worstRatio = 0;
    double m_worstExcess = 0;
};

// Events

/// Brings about what the plan says, when it is due.
class EventRunner
{
public:
    EventRunner(const LoadPlan &plan, Fleet &fleet, Targets &targets, IdealCache &ideal)
        : m_plan(plan)
        , m_fleet(fleet)
        , m_targets(targets)
        , m_ideal(ideal)
        , m_state(plan.events.size(), 0)
    {
    }

    void step(double now)
    {
        for (std::size_t i = 0; i < m_plan.events.size(); ++i) {
            const LoadEvent &event = m_plan.events[i];
            const double begin = std::chrono::duration<double>(event.at).count();
            const double end = begin + std::chrono::duration<double>(event.lasts).count();
            if (m_state[i] == 0 && now >= begin) {
                m_state[i] = 1;
                start(event);
            }
            if (m_state[i] == 1 && now >= end) {
                m_state[i] = 2;
                stop(event);
            }
        }
    }

private:
    void start(const LoadEvent &event)
    {
        const auto index = static_cast<std::size_t>(event.index);
        if (event.kind == "slow") {
            m_fleet.engine(index).setSlowFactor(event.factor);
        } else if (event.kind == "replace") {
            m_ideal.lose(index);
            m_fleet.replaceEngine(index);
        } else if (event.kind == "flap") {
            m_fleet.hideEngine(index, true);
        } else if (event.kind == "kill") {
            m_fleet.killDaemon(index);
            m_fleet.addDaemon();
            setTargets();
        }
    }
    void stop(const LoadEvent &event)
    {
        const auto index = static_cast<std::size_t>(event.index);
        if (event.kind == "slow") {
            m_fleet.engine(index).setSlowFactor(1);
        } else if (event.kind == "flap") {
            m_fleet.hideEngine(index, false);
        }
    }

public:
    void setTargets()
    {
        std::vector<HostPort> routers;
        for (std::size_t i = 0; i < m_fleet.daemons(); ++i) {
            routers.push_back({"127.0.0.1", m_fleet.daemon(i).httpPort()});
        }
        m_targets.set(routers);
    }

private:
    const LoadPlan &m_plan;
    Fleet &m_fleet;
    Targets &m_targets;
    IdealCache &m_ideal;
    std::vector<int> m_state;
};

// Run

static void fillFleetFigures(Fleet &fleet, const Callers &callers, LoadFigures &figures)
{
    std::set<std::string> executed;
    for (std::size_t i = 0; i < fleet.engines(); ++i) {
        const EngineFigures engine = fleet.engine(i).figures();
        figures.engineStarts += engine.started;
        figures.engineTokens += engine.generatedTokens;
        figures.mostLong = std::max(figures.mostLong, engine.mostLong);
        const std::set<std::string> ids = fleet.engine(i).executed();
        executed.insert(ids.begin(), ids.end());
    }
    for (std::size_t i = 0; i < fleet.services(); ++i) {
        for (const auto &[request, count] : fleet.service(i).executionsByRequest()) {
            executed.insert(request);
            figures.doubleExecutions += count > 1 ? 1 : 0;
        }
    }
    std::map<std::string, int> byKey;
    for (std::size_t i = 0; i < fleet.services(); ++i) {
        for (const auto &[key, count] : fleet.service(i).executionsByKey()) {
            byKey[key] += count;
        }
    }
    for (const auto &[key, count] : byKey) {
        figures.doubleExecutions += count > 1 ? 1 : 0;
    }
    for (const std::string &request : callers.refusedRequests()) {
        figures.untrueRefusals += executed.count(request) > 0 ? 1 : 0;
    }
    figures.logAppends = fleet.log().appends();
}

LoadFigures runLoad(const LoadPlan &plan)
{
    LoadFigures figures;
    Targets targets;
    Fleet fleet(plan.fleet);
    IdealCache ideal(plan.fleet.engines, plan.fleet.engine.cacheTokens);
    EventRunner events(plan, fleet, targets, ideal);
    const bool isOwn = plan.routers.empty();
    if (isOwn) {
        for (const LoadCustomer &customer : plan.customers) {
            fleet.publish(customer.name, contractFor(plan, customer), 0);
        }
        fleet.start();
        events.setTargets();
    } else {
        std::vector<HostPort> routers;
        for (const std::string &router : plan.routers) {
            routers.push_back(parseHostPort(router));
        }
        targets.set(routers);
    }
    const std::vector<Arrival> arrivals = ArrivalMaker(plan).make();
    Callers callers(plan, targets);
    LoadSampler sampler(plan.fleet.settings.placement.loadBound);
    std::atomic<bool> isDone{false};
    std::mutex fleetMutex; // events change the fleet; the sampler reads it
    const Instant begin = clockNow();
    const auto elapsed = [begin] { return std::chrono::duration<double>(clockNow() - begin).count(); };
    std::thread watcher([&] {
        while (!isDone && isOwn) {
            {
                const std::lock_guard<std::mutex> lock(fleetMutex);
                events.step(elapsed());
                if (elapsed() > plan.warmup && elapsed() < plan.seconds) {
                    sampler.sample(fleet);
                }
            }
            std::this_thread::sleep_for(sampleEvery);
        }
    });
    std::uint64_t serial = static_cast<std::uint64_t>(plan.seed) << 32;
    for (const Arrival &arrival : arrivals) {
        const std::chrono::duration<double> offset(arrival.at);
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<Duration>(offset));
        Tokens reused = 0;
        if (arrival.chat >= 0) {
            const std::lock_guard<std::mutex> lock(fleetMutex);
            const std::string chat = std::to_string(arrival.customer) + '/' + std::to_string(arrival.chat);
            reused = ideal.serve(chat, arrival.prompt, plan.classes[arrival.classIndex].output);
        }
        callers.call(arrival, arrival.at >= plan.warmup, reused, ++serial);
    }
    std::int64_t mostBytes = 0;
    if (isOwn) {
        const std::lock_guard<std::mutex> lock(fleetMutex);
        for (std::size_t i = 0; i < fleet.daemons(); ++i) {
            mostBytes = std::max(mostBytes, fleet.daemon(i).controlBytesSent());
        }
    }
    figures.controlBytesPerSecond = static_cast<double>(mostBytes) / elapsed();
    callers.finish();
    isDone = true;
    watcher.join();
    figures.seconds = plan.seconds - plan.warmup;
    figures.classes = callers.figures();
    sampler.fill(figures);
    if (isOwn) {
        fillFleetFigures(fleet, callers, figures);
    }
    return figures;
}

} // namespace galenafold
