// Router daemon for the users' platform.
//
// Sections of this file: Settings, Admin, Logs, Drain.
#include "runtime/routernode.h"

#include "control/loadview.h"
#include "control/storetopics.h"
#include "net/status.h"
#include "platform/documents.h"
#include "platform/headers.h"

#include <algorithm>
#include <asio/post.hpp>
#include <sys/resource.h>

namespace galenafold
{

constexpr auto logFlushDelay = std::chrono::milliseconds(200);
constexpr auto drainCheckInterval = std::chrono::milliseconds(100);
constexpr auto balancerNoticeTime = std::chrono::milliseconds(2500); // two failed probes at 1 s intervals, and a margin
constexpr auto drainMargin = std::chrono::milliseconds(400); // requests are ended so long before the process is killed
constexpr auto stopMargin = std::chrono::milliseconds(150); // the process ends so long before; answers are sent by then

// Settings

constexpr double bytesPerMegabyte = 1e6;
constexpr double defaultMemoryMegabytes = 512; // if the settings do not tell
constexpr double callersPart = 0.375;          // of the VM's memory, for callers' requests and the responses to them
constexpr double responsesPart = 0.25;         // the same, within `callersPart`: responses not yet passed on
constexpr double adminPart = 0.125;            // the same, for requests to the admin address

static CallerMemorySettings memorySettings(const RouterSettings &settings, double part)
{
    const double megabytes = settings.memoryMegabytes > 0 ? settings.memoryMegabytes : defaultMemoryMegabytes;
    CallerMemorySettings memory;
    memory.maxBytes = static_cast<std::size_t>(megabytes * bytesPerMegabyte * part);
    memory.maxResponseBytes = static_cast<std::size_t>(megabytes * bytesPerMegabyte * responsesPart);
    return memory;
}

/// Received bytes that are not read yet count as memory of the process. With the system's default, one connection may
/// have megabytes of them. @return buffer of one connection: some 2,000 callers that fill theirs take half the memory
static int receiveBytes(const RouterSettings &settings)
{
    constexpr double connections = 4096;
    const double megabytes = settings.memoryMegabytes > 0 ? settings.memoryMegabytes : defaultMemoryMegabytes;
    return static_cast<int>(megabytes * bytesPerMegabyte / connections);
}

/// How the descriptors of the process are divided.
struct Descriptors {
    std::size_t callers = SIZE_MAX;     // callers' connections
    std::size_t connections = SIZE_MAX; // these, and those to replicas
    std::size_t admin = 64;             // connections to the admin address
};

static Descriptors divideDescriptors(const RouterSettings &settings)
{
    constexpr int files = 200;
    constexpr int others = 256; // the store, the peers and the admin address
    constexpr double callersPart = 0.75;
    Descriptors descriptors;
    if (settings.maxDescriptors <= 0) {
        return descriptors;
    }
    const int sockets = std::max(settings.maxDescriptors - files, settings.maxDescriptors / 2);
    const int reserved = std::min(others, sockets / 4);
    descriptors.connections = static_cast<std::size_t>(sockets - reserved);
    descriptors.callers = static_cast<std::size_t>((sockets - reserved) * callersPart);
    descriptors.admin = std::min(descriptors.admin, static_cast<std::size_t>(reserved / 2));
    return descriptors;
}

static TrafficSettings trafficSettings(const RouterSettings &settings)
{
    TrafficSettings traffic;
    traffic.listenAddress = settings.callers;
    traffic.dataCentre = settings.dataCentre;
    traffic.regions = settings.regions;
    traffic.maxRevocationDelay = settings.maxRevocationDelay;
    traffic.memory = memorySettings(settings, callersPart);
    traffic.receiveBytes = receiveBytes(settings);
    traffic.maxCallers = divideDescriptors(settings).callers;
    traffic.maxConnections = divideDescriptors(settings).connections;
    traffic.startupWait = settings.startupWait;
    traffic.loadBalancer.loadBound = settings.loadBound;
    traffic.retry.ratio = settings.retryRatio;
    traffic.retry.minRetries = settings.minRetries;
    traffic.retry.window = settings.retryWindow;
    traffic.storePartitions = settings.storePartitions;
    traffic.peers.address = settings.peers;
    traffic.peers.seeds = settings.seeds;
    traffic.peers.site = makeRouterSite(settings.dataCentre, static_cast<int>(settings.linkMegabits));
    traffic.seed = hashName(settings.name.text) ^ static_cast<std::uint64_t>(clockNow().time_since_epoch().count());
    return traffic;
}

/// @return TCP port on which routers of a data centre ask each other, the same on all; 0: they do not
static int peerPort(const RouterSettings &settings)
{
    const auto address = parseAddress(settings.peers);
    return address ? address->port() : 0;
}

RouterNode::RouterNode(const RouterSettings &settings, const EventLogSettings &log)
    : m_settings(settings)
    , m_log(log)
    , m_io(1)
    , m_workGuard(asio::make_work_guard(m_io))
    , m_traffic(trafficSettings(settings), platformHeaderCodec(), m_log)
    , m_directory(settings.reregistrationTimeout)
    , m_softwareVersions(settings.isFirstStart)
    , m_proof(settings.maxRevocationDelay)
    , m_desiredState(m_io, subscriptionSettings(StoreTopic::DesiredState), desiredStateHooks(), m_log)
    , m_registry(m_io, subscriptionSettings(StoreTopic::Registry), registryHooks(), m_log)
    , m_sharedState(m_io, settings.store, peerPort(settings), m_log, hashName(settings.name.text) + 2)
    , m_originStore(m_io, settings.store, m_log)
    , m_relay(
          m_io, [this](StoreTopic topic) -> FollowedTopic & { return subscription(topic); }, m_log)
    , m_admin(m_io)
    , m_adminRefusals(m_log, "admin")
    , m_flushTimer(m_io)
    , m_expiryTimer(m_io)
    , m_drainTimer(m_io)
    , m_versionTimer(m_io)
    , m_newestVersion(settings.maxRecoveryTime)
{
    m_sharedState.onRead = [this](const std::vector<PlaceRecord> &places, const std::vector<SuspectBlock> &blocks,
                                  const TopicPosition &end) {
        LogLine line("places");
        line.number("known", static_cast<std::int64_t>(places.size())).number("up_to", end.offset);
        m_log.write(line, LogPriority::Notable);
        m_traffic.setPlaces(places, end);
        m_traffic.setStoredBlocks(blocks);
    };
    m_sharedState.onRestored = [this](const std::vector<PlaceRecord> &places, const std::vector<SuspectBlock> &blocks,
                                      const TopicPosition &end) {
        LogLine line("places_restored");
        line.number("known", static_cast<std::int64_t>(places.size())).number("up_to", end.offset);
        m_log.write(line, LogPriority::Notable);
        m_traffic.setStoredPlaces(places, end);
        m_traffic.setStoredBlocks(blocks);
    };
    m_sharedState.onVersionsRead = [this](const std::vector<VersionRecord> &versions) { onVersionsRead(versions); };
    m_traffic.onVersionsToSave = [this](VersionChanges changes) {
        asio::post(m_io, [this, changes = std::move(changes)] { m_sharedState.saveVersions(changes); });
    };
    m_traffic.onOriginsToSave = [this](int partition, std::vector<StreamOrigin> origins) {
        asio::post(m_io, [this, partition, origins = std::move(origins)] { m_originStore.save(partition, origins); });
    };
    m_traffic.onOriginsToLoad = [this](int partition) {
        asio::post(m_io, [this, partition] {
            m_originStore.load(partition, [this, partition](const std::optional<std::vector<StreamOrigin>> &origins) {
                m_traffic.setStoredOrigins(partition, origins);
            });
        });
    };
    m_traffic.onDataCentreChanged = [this](const DataCentreRouter &self, const std::vector<DataCentreRouter> &others) {
        asio::post(m_io, [this, self, others] { setDataCentre(self, others); });
    };
    for (const StoreTopic relayed : {StoreTopic::DesiredState, StoreTopic::Registry, StoreTopic::Places}) {
        subscription(relayed).onProgress = [this, relayed] {
            startAfter(relayed);
            m_relay.onProgress(relayed);
        };
    }
    m_traffic.onStateVersionTold = [this](DesiredStateVersion version) {
        asio::post(m_io, [this, version] { onVersionTold(version); });
    };
    m_traffic.onNewerPlaces = [this] { asio::post(m_io, [this] { m_sharedState.readNow(); }); };
    m_traffic.onPlacesToSave = [this](std::vector<PlaceRecord> places) {
        asio::post(m_io, [this, places = std::move(places)] { m_sharedState.savePlaces(places); });
    };
    m_traffic.onBlocksToSave = [this](BlockChanges changes) {
        asio::post(m_io, [this, changes = std::move(changes)] { m_sharedState.saveBlocks(changes); });
    };
    m_log.onBufferNonEmpty = [this] { asio::post(m_io, [this] { scheduleFlush(); }); };
}

RouterNode::~RouterNode()
{
    m_traffic.stop();
    m_log.onBufferNonEmpty = nullptr;
    m_log.flush();
}

TopicSubscriptionSettings RouterNode::subscriptionSettings(StoreTopic topic) const
{
    const bool isRegistry = topic == StoreTopic::Registry;
    TopicSubscriptionSettings subscription;
    subscription.topic = topic;
    subscription.store = m_settings.store;
    subscription.peerPort = peerPort(m_settings);
    subscription.reading = isRegistry ? registryTopic(m_settings) : desiredStateTopic(m_settings);
    subscription.seed = hashName(m_settings.name.text) + static_cast<std::uint64_t>(topic);
    if (isRegistry) {
        subscription.cache.isSameMeaning = isOnlyHeartbeat;
    } else {
        subscription.cache.keepsVersions = true;
    }
    return subscription;
}

// Admin

bool RouterNode::isReady() const
{
    const bool isKnown = m_version >= 0 && !isOutdated() && m_registryProvedAt != Instant{};
    return isKnown && m_proof.isValid(clockNow()) && !m_isDraining;
}

bool RouterNode::start()
{
    m_admin.hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request) {
        onAdminRequest(caller, request);
    };
    m_admin.maxWithUnused = divideDescriptors(m_settings).admin;
    m_admin.hooks.receiveBytes = receiveBytes(m_settings);
    m_admin.hooks.memory = std::make_shared<CallerMemory>(memorySettings(m_settings, adminPart));
    m_admin.hooks.onRejected = [this](int status, const char *why) {
        m_adminRefusals.onRejected(clockNow(), status, why);
    };
    m_admin.hooks.onRefused = [this](const CallerRefusal &refusal) { m_adminRefusals.onRefused(clockNow(), refusal); };
    const bool listensToPeers = peerPort(m_settings) == 0 || m_relay.start(m_settings.peers);
    if (!m_admin.start(m_settings.admin) || !listensToPeers || !m_traffic.start()) {
        return false;
    }
    LogLine line("start");
    line.text("name", m_settings.name.text).text("callers", m_settings.callers).text("version", GALENAFOLD_VERSION);
    m_log.write(line, LogPriority::Notable);
    m_desiredState.start(); // the others follow
    return true;
}

void RouterNode::onAdminRequest(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request)
{
    if (request.head.target == readinessPath) {
        caller->sendResponse(isReady() ? statusOk : statusUnavailable, {}, "");
    } else if (request.head.target == "/metrics") {
        answerMetrics(caller);
    } else {
        caller->sendResponse(statusNotFound, {}, "");
    }
}

/// Responds once the traffic thread has written its metrics. `caller` handles a disconnect in the meantime itself.
void RouterNode::answerMetrics(const std::shared_ptr<CallerConnection> &caller)
{
    m_traffic.requestMetrics([this, caller](std::string trafficMetrics) {
        asio::post(m_io, [this, caller, trafficMetrics = std::move(trafficMetrics)] {
            caller->sendResponse(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                                 metricsText() + trafficMetrics);
        });
    });
}

static std::int64_t peakMemoryBytes()
{
    constexpr std::int64_t kilobyte = 1024; // unit of ru_maxrss
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss * kilobyte;
}

std::string RouterNode::metricsText() const
{
    const TrafficCounts &counts = m_traffic.counts();
    std::string out;
    const auto add = [&out](const char *name, std::int64_t value, const std::string &labels = "") {
        writeMetric(out, name, labels, static_cast<double>(value));
    };
    add("callers", counts.callers);
    add("calls_in_progress", counts.inProgress);
    add("calls_served_total", counts.served);
    add("calls_refused_total", counts.refused);
    add("calls_failed_total", counts.failed);
    add("calls_streaming", counts.streaming);
    const auto addTopic = [&add](StoreTopic topic, const TopicSubscriptionStats &stats) {
        const std::string labels = label("topic", text(topic));
        const auto proofAge = std::chrono::duration_cast<std::chrono::milliseconds>(clockNow() - stats.provedAt);
        add("store_calls_total", stats.calls, labels);
        add("store_failures_total", stats.failures, labels);
        add("store_bytes_total", stats.bytes, labels);
        add("store_abandoned_bytes_total", stats.abandonedBytes, labels);
        add("topic_questions_total", stats.questions, labels);
        add("topic_useless_answers_total", stats.uselessAnswers, labels);
        add("topic_packings_total", stats.packings, labels);
        add("topic_follows_router", stats.followsRouter ? 1 : 0, labels);
        add("topic_proof_age_ms", proofAge.count(), labels);
    };
    addTopic(StoreTopic::DesiredState, m_desiredState.stats());
    addTopic(StoreTopic::Registry, m_registry.stats());
    addTopic(StoreTopic::Places, m_sharedState.stats());
    const StreamOriginStats origins = m_originStore.stats();
    const std::string originLabels = label("topic", text(StoreTopic::Origins));
    add("store_calls_total", origins.calls, originLabels);
    add("store_failures_total", origins.failures, originLabels);
    add("origins_saved_total", origins.saved);
    add("origins_given_up_total", origins.givenUp);
    add("origin_loads_total", origins.loads);
    add("topic_answers_total", m_relay.answers());
    add("topic_answer_bytes_total", m_relay.answerBytes());
    add("store_records_total", m_storeRecords);
    add("store_restored_total", m_storeRestores);
    add("store_lost", (m_isDesiredStateLost ? 1 : 0) + (m_isRegistryLost ? 1 : 0));
    add("replicas_usable", counts.replicas);
    add("peers_heard", counts.peers);
    add("peer_bytes_total", counts.peerBytes);
    add("desired_state_version", m_version);
    add("desired_state_outdated", isOutdated() ? 1 : 0);
    add("proof_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(clockNow() - m_proof.provedAt()).count());
    add("log_lines_left_out_total", m_log.dropped());
    add("peak_memory_bytes", peakMemoryBytes());
    return out + m_adminRefusals.metrics();
}

// Logs

void RouterNode::scheduleFlush()
{
    m_flushTimer.expires_at(clockNow() + logFlushDelay);
    m_flushTimer.async_wait([this](const asio::error_code &error) {
        if (!error && m_log.flush()) {
            scheduleFlush();
        }
    });
}

// Drain

void RouterNode::run()
{
    m_io.run();
}

void RouterNode::stop()
{
    m_io.stop();
}

void RouterNode::beginDrain()
{
    asio::post(m_io, [this] {
        if (m_isDraining) {
            return;
        }
        m_isDraining = true;
        m_drainBegan = clockNow();
        LogLine line("drain");
        line.number("in_progress", m_traffic.counts().inProgress);
        m_log.write(line, LogPriority::Notable);
        m_traffic.beginDrain();
        checkDrain();
    });
}

/// New connections are accepted until the load balancer has noticed the drain. From then on only requests are taken
/// whose deadline is before the end of the drain. What is still in progress then is answered before the process ends.
void RouterNode::checkDrain()
{
    const Instant now = clockNow();
    const Instant killedAt = m_drainBegan + m_settings.drainTimeout;
    const bool hasBalancerNoticed = now >= m_drainBegan + balancerNoticeTime;
    if (hasBalancerNoticed) {
        m_traffic.stopAccepting(killedAt - drainMargin); // at each check: closes the connections that are idle by now
    }
    if (now >= killedAt - drainMargin) {
        m_traffic.endRequests();
    }
    const bool isQuiet = hasBalancerNoticed && m_traffic.counts().callers == 0;
    if (isQuiet || now >= killedAt - stopMargin) {
        LogLine line("stop");
        line.number("in_progress", m_traffic.counts().inProgress);
        m_log.write(line, LogPriority::Notable);
        m_io.stop();
        return;
    }
    m_drainTimer.expires_at(now + drainCheckInterval);
    m_drainTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            checkDrain();
        }
    });
}

void RouterNode::reload(const RouterSettings &settings)
{
    asio::post(m_io, [this, settings] {
        m_settings.drainTimeout = settings.drainTimeout;
        LogLine line("reload");
        line.text("name", settings.name.text);
        m_log.write(line, LogPriority::Notable);
    });
}

} // namespace galenafold
