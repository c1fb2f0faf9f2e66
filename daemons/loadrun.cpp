// Runs a load plan: sends the calls, samples the engines' load, and triggers the plan's events.
//
// Sections of this file: Calls, Sampling, Events, Run.
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

constexpr double bytesPerToken = 4;              // of generated prompts
constexpr std::size_t maxConcurrentCalls = 4000; // threads, one for each call in progress
constexpr auto sampleInterval = std::chrono::milliseconds(20);
constexpr auto responseTimeout = std::chrono::seconds(120);

double quantileOf(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

// Calls

/// The routers that calls are spread over, as a load balancer in front of the fleet would know them.
class RouterList
{
public:
    void set(const std::vector<HostPort> &routers)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_routers = routers;
    }
    /// @param draw in [0, 1)
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

/// Sends calls on a thread pool and collects their results.
class LoadGenerator
{
public:
    LoadGenerator(const LoadPlan &plan, const RouterList &routerList)
        : m_plan(plan)
        , m_routerList(routerList)
        , m_pool(maxConcurrentCalls)
    {
        for (const LoadClass &loadClass : plan.classes) {
            ClassStats stats;
            stats.name = loadClass.name;
            m_stats.push_back(stats);
        }
    }

    /// @param isCounted false: the call is left out of the statistics @param idealReuse prompt tokens that an ideal
    /// placement would reuse @param serial unique number of the call
    void submit(const Arrival &arrival, bool isCounted, Tokens idealReuse, std::uint64_t serial)
    {
        m_pool.enqueue(
            [this, arrival, isCounted, idealReuse, serial] { sendCall(arrival, isCounted, idealReuse, serial); });
    }
    /// Waits until all calls have ended.
    void finish() { m_pool.shutdown(); }
    std::vector<ClassStats> stats() const { return m_stats; }
    /// @return the ids of the requests whose response says that they were not executed
    std::vector<std::string> refusedRequests() const { return m_refusedRequests; }

private:
    /// A response while it arrives.
    struct ResponseProgress {
        Instant begin{};
        Instant firstByte{};
        Instant lastChunk{};
        std::int64_t bytes = 0;
        std::string tail;                // last 64 bytes of the body
        std::vector<double> tokenDelays; // s
    };

    /// @return an idle client for the router, or a new one
    std::shared_ptr<httplib::Client> acquireClient(const HostPort &router)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        auto &idleClients = m_idleClients[router.port];
        if (!idleClients.empty()) {
            auto client = idleClients.back();
            idleClients.pop_back();
            return client;
        }
        auto client = std::make_shared<httplib::Client>(router.host, router.port);
        client->set_keep_alive(true);
        configureClient(*client, std::chrono::seconds(5), responseTimeout);
        return client;
    }
    void releaseClient(const HostPort &router, const std::shared_ptr<httplib::Client> &client)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_idleClients[router.port].push_back(client);
    }

    std::string apiKey(std::size_t customer) const
    {
        return customer < m_plan.apiKeys.size() ? m_plan.apiKeys[customer] : apiKeyFor(m_plan.customers[customer]);
    }

    /// @return empty if the call does not belong to a chat
    std::string chatName(const Arrival &arrival) const
    {
        return arrival.chat < 0 ? ""
                                : m_plan.customers[arrival.customer].name + "-chat-" + std::to_string(arrival.chat);
    }

    httplib::Request requestFor(const Arrival &arrival, std::uint64_t serial)
    {
        const LoadClass &loadClass = m_plan.classes[arrival.classIndex];
        const std::string prompt(static_cast<std::size_t>(arrival.prompt * bytesPerToken), 'p');
        httplib::Request request;
        request.method = "POST";
        request.headers = {{"Authorization", "Bearer " + apiKey(arrival.customer)},
                           {"Galenafold-Task", loadClass.name},
                           {"Content-Type", "application/json"}};
        if (!loadClass.service.empty()) {
            request.path = "/v1/services/" + loadClass.service + "/" + loadClass.name;
            request.body = "{}";
            if (loadClass.hasIdempotencyKey) {
                request.headers.emplace("Idempotency-Key", makeUuidV7(unixNow(), serial));
            }
            return request;
        }
        request.path = "/v1/chat/completions";
        const Json message{{"role", "user"}, {"content", prompt}};
        request.body = Json{{"model", "tea-large"},
                            {"messages", Json::array({message})},
                            {"max_tokens", loadClass.outputTokens},
                            {"stream", loadClass.isStream}}
                           .dump();
        const std::string chat = chatName(arrival);
        if (!chat.empty()) {
            request.headers.emplace("Galenafold-Chat", chat);
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto hint = m_hints.find(chat);
            if (loadClass.sendsHint && hint != m_hints.end()) {
                request.headers.emplace("Galenafold-Hint", hint->second);
            }
        } else {
            request.headers.emplace("Galenafold-Chat", "single-" + std::to_string(serial));
        }
        return request;
    }

    void sendCall(const Arrival &arrival, bool isCounted, Tokens idealReuse, std::uint64_t serial)
    {
        const LoadClass &loadClass = m_plan.classes[arrival.classIndex];
        const HostPort router = m_routerList.pick(arrival.routerDraw);
        const auto client = acquireClient(router);
        httplib::Request request = requestFor(arrival, serial);
        ResponseProgress progress;
        httplib::Response head;
        const Duration tokenInterval(static_cast<Duration::rep>(1e6 / m_plan.fleet.engine.decodeTokensPerSecond));
        request.response_handler = [&head](const httplib::Response &response) {
            head.status = response.status;
            head.headers = response.headers;
            return true;
        };
        request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
            const Instant now = clockNow();
            if (progress.bytes == 0) {
                progress.firstByte = now;
            } else if (loadClass.isStream) {
                progress.tokenDelays.push_back(
                    std::chrono::duration<double>(now - progress.lastChunk - tokenInterval).count());
            }
            progress.lastChunk = now;
            progress.bytes += static_cast<std::int64_t>(size);
            progress.tail.append(data, size);
            if (progress.tail.size() > 64) {
                progress.tail.erase(0, progress.tail.size() - 64);
            }
            return true;
        };
        progress.begin = clockNow();
        const httplib::Result result = client->send(request);
        const bool isStream = loadClass.isStream && loadClass.service.empty();
        const bool hasEndMarker = !isStream || progress.tail.find("[DONE]") != std::string::npos;
        const bool isComplete = result && head.status == 200 && hasEndMarker;
        if (result && !head.has_header("Connection")) {
            releaseClient(router, client);
        }
        recordResult(arrival, isCounted, idealReuse, head, progress, isComplete);
    }

    void recordResult(const Arrival &arrival, bool isCounted, Tokens idealReuse, const httplib::Response &head,
                      const ResponseProgress &progress, bool isComplete)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string chat = chatName(arrival);
        const std::string executionStatus = head.get_header_value("Galenafold-Run");
        if (!chat.empty() && head.has_header("Galenafold-Hint")) {
            m_hints[chat] = head.get_header_value("Galenafold-Hint");
        }
        if (!isComplete && executionStatus == "no") {
            m_refusedRequests.push_back(head.get_header_value("X-Request-Id"));
        }
        if (!isCounted) {
            return;
        }
        ClassStats &stats = m_stats[arrival.classIndex];
        ++stats.sent;
        if (!isComplete) {
            stats.refused += executionStatus == "no" ? 1 : 0;
            stats.unknown += executionStatus == "unknown" ? 1 : 0;
            stats.failed += executionStatus != "no" && executionStatus != "unknown" ? 1 : 0;
            return;
        }
        ++stats.completed;
        stats.firstByteSeconds.push_back(std::chrono::duration<double>(progress.firstByte - progress.begin).count());
        stats.totalSeconds.push_back(std::chrono::duration<double>(clockNow() - progress.begin).count());
        stats.tokenDelays.insert(stats.tokenDelays.end(), progress.tokenDelays.begin(), progress.tokenDelays.end());
        if (arrival.chat >= 0) {
            stats.promptTokens += arrival.prompt;
            stats.reusedTokens += std::atof(head.get_header_value("Galenafold-Prompt-Reused").c_str());
            stats.idealReusedTokens += idealReuse;
        }
    }

    const LoadPlan &m_plan;
    const RouterList &m_routerList;
    std::mutex m_mutex;
    std::vector<ClassStats> m_stats;
    std::map<std::string, std::string> m_hints; // affinity hint of the last response, by chat
    std::vector<std::string> m_refusedRequests;
    std::map<int, std::vector<std::shared_ptr<httplib::Client>>> m_idleClients; // by the router's port
    DynamicThreadPool m_pool;
};

// Sampling

/// Samples the engines' actual load, as opposed to the routers' estimates.
class LoadSampler
{
public:
    /// @param loadBound largest load of an engine that placement allows, as a multiple of the mean
    explicit LoadSampler(double loadBound)
        : m_loadBound(loadBound)
    {
    }

    void sample(Fleet &fleet)
    {
        double sum = 0;
        double maxLoad = 0;
        const std::size_t engines = fleet.engines();
        for (std::size_t i = 0; i < engines; ++i) {
            const double load = fleet.engine(i).inFlight();
            sum += load;
            maxLoad = std::max(maxLoad, load);
        }
        if (engines == 0) {
            return;
        }
        const double mean = sum / static_cast<double>(engines);
        m_sum += mean;
        ++m_samples;
        m_maxExcess = std::max(m_maxExcess, maxLoad - m_loadBound * mean);
        m_maxRatio = mean >= 1 ? std::max(m_maxRatio, maxLoad / mean) : m_maxRatio;
    }
    void fill(LoadStats &stats) const
    {
        stats.meanLoad = m_samples == 0 ? 0 : m_sum / m_samples;
        stats.maxLoadRatio = m_maxRatio;
        stats.maxLoadExcess = m_maxExcess;
    }

private:
    double m_loadBound;
    double m_sum = 0;
    double m_samples = 0;
    double m_maxRatio = 0;
    double m_maxExcess = 0;
};

// Events

/// Starts and ends the plan's events when they are due.
class EventRunner
{
public:
    EventRunner(const LoadPlan &plan, Fleet &fleet, RouterList &routerList, IdealPrefixCache &idealCache)
        : m_plan(plan)
        , m_fleet(fleet)
        , m_routerList(routerList)
        , m_idealCache(idealCache)
        , m_states(plan.events.size(), 0)
    {
    }

    /// @param now seconds from the start of the run
    void step(double now)
    {
        for (std::size_t i = 0; i < m_plan.events.size(); ++i) {
            const LoadEvent &event = m_plan.events[i];
            const double begin = std::chrono::duration<double>(event.at).count();
            const double end = begin + std::chrono::duration<double>(event.duration).count();
            if (m_states[i] == 0 && now >= begin) {
                m_states[i] = 1;
                start(event);
            }
            if (m_states[i] == 1 && now >= end) {
                m_states[i] = 2;
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
            m_idealCache.removeEngine(index);
            m_fleet.replaceEngine(index);
        } else if (event.kind == "flap") {
            m_fleet.setEngineHidden(index, true);
        } else if (event.kind == "kill") {
            m_fleet.killDaemon(index);
            m_fleet.addDaemon();
            updateRouters();
        }
    }
    void stop(const LoadEvent &event)
    {
        const auto index = static_cast<std::size_t>(event.index);
        if (event.kind == "slow") {
            m_fleet.engine(index).setSlowFactor(1);
        } else if (event.kind == "flap") {
            m_fleet.setEngineHidden(index, false);
        }
    }

public:
    /// Makes further calls go to the daemons that the fleet has now.
    void updateRouters()
    {
        std::vector<HostPort> routers;
        for (std::size_t i = 0; i < m_fleet.daemons(); ++i) {
            routers.push_back({"127.0.0.1", m_fleet.daemon(i).httpPort()});
        }
        m_routerList.set(routers);
    }

private:
    const LoadPlan &m_plan;
    Fleet &m_fleet;
    RouterList &m_routerList;
    IdealPrefixCache &m_idealCache;
    std::vector<int> m_states; // by event: 0 not started, 1 active, 2 ended
};

// Run

/// Adds the statistics that are available only if the fleet runs in this process.
static void collectFleetStats(Fleet &fleet, const LoadGenerator &generator, LoadStats &stats)
{
    std::set<std::string> executed;
    for (std::size_t i = 0; i < fleet.engines(); ++i) {
        const EngineStats engine = fleet.engine(i).stats();
        stats.engineAttempts += engine.started;
        stats.engineTokens += engine.generatedTokens;
        stats.maxLongInFlight = std::max(stats.maxLongInFlight, engine.maxLongInFlight);
        const std::set<std::string> ids = fleet.engine(i).executedRequests();
        executed.insert(ids.begin(), ids.end());
    }
    for (std::size_t i = 0; i < fleet.services(); ++i) {
        for (const auto &[request, count] : fleet.service(i).executionsByRequest()) {
            executed.insert(request);
            stats.duplicateExecutions += count > 1 ? 1 : 0;
        }
    }
    std::map<std::string, int> byKey;
    for (std::size_t i = 0; i < fleet.services(); ++i) {
        for (const auto &[key, count] : fleet.service(i).executionsByKey()) {
            byKey[key] += count;
        }
    }
    for (const auto &[key, count] : byKey) {
        stats.duplicateExecutions += count > 1 ? 1 : 0;
    }
    for (const std::string &request : generator.refusedRequests()) {
        stats.falseRefusals += executed.count(request) > 0 ? 1 : 0;
    }
    stats.logAppends = fleet.log().appends();
}

LoadStats runLoad(const LoadPlan &plan)
{
    LoadStats stats;
    RouterList routerList;
    Fleet fleet(plan.fleet);
    IdealPrefixCache idealCache(plan.fleet.engines, plan.fleet.engine.cacheTokens);
    EventRunner events(plan, fleet, routerList, idealCache);
    const bool isOwnFleet = plan.routers.empty();
    if (isOwnFleet) {
        for (const LoadCustomer &customer : plan.customers) {
            fleet.publish(customer.name, contractFor(plan, customer), 0);
        }
        fleet.start();
        events.updateRouters();
    } else {
        std::vector<HostPort> routers;
        for (const std::string &router : plan.routers) {
            routers.push_back(parseHostPort(router));
        }
        routerList.set(routers);
    }
    const std::vector<Arrival> arrivals = ArrivalGenerator(plan).generate();
    LoadGenerator generator(plan, routerList);
    LoadSampler sampler(plan.fleet.settings.placement.loadBound);
    std::atomic<bool> isDone{false};
    std::mutex fleetMutex; // guards `fleet` and `idealCache`, which events change
    const Instant begin = clockNow();
    const auto elapsed = [begin] { return std::chrono::duration<double>(clockNow() - begin).count(); };
    std::thread monitor([&] {
        while (!isDone && isOwnFleet) {
            {
                const std::lock_guard<std::mutex> lock(fleetMutex);
                events.step(elapsed());
                if (elapsed() > plan.warmup && elapsed() < plan.seconds) {
                    sampler.sample(fleet);
                }
            }
            std::this_thread::sleep_for(sampleInterval);
        }
    });
    std::uint64_t serial = static_cast<std::uint64_t>(plan.seed) << 32;
    for (const Arrival &arrival : arrivals) {
        const std::chrono::duration<double> offset(arrival.at);
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<Duration>(offset));
        Tokens idealReuse = 0;
        if (arrival.chat >= 0) {
            const std::lock_guard<std::mutex> lock(fleetMutex);
            const std::string chat = std::to_string(arrival.customer) + '/' + std::to_string(arrival.chat);
            idealReuse = idealCache.recordCall(chat, arrival.prompt, plan.classes[arrival.classIndex].outputTokens);
        }
        generator.submit(arrival, arrival.at >= plan.warmup, idealReuse, ++serial);
    }
    std::int64_t maxBytes = 0;
    if (isOwnFleet) {
        const std::lock_guard<std::mutex> lock(fleetMutex);
        for (std::size_t i = 0; i < fleet.daemons(); ++i) {
            maxBytes = std::max(maxBytes, fleet.daemon(i).controlBytesSent());
        }
    }
    stats.controlBytesPerSecond = static_cast<double>(maxBytes) / elapsed();
    generator.finish();
    isDone = true;
    monitor.join();
    stats.seconds = plan.seconds - plan.warmup;
    stats.classes = generator.stats();
    sampler.fill(stats);
    if (isOwnFleet) {
        collectFleetStats(fleet, generator, stats);
    }
    return stats;
}

} // namespace galenafold
