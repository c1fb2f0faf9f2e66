// The traffic thread.
#include "traffic/trafficthread.h"

#include "galenafold/hex.h"
#include "traffic/requesthandler.h"

#include <asio/post.hpp>

namespace galenafold
{

constexpr auto savePlacesDelay = std::chrono::seconds(9); // engines present at the start have places by then
constexpr auto sweepInterval = std::chrono::seconds(1);   // periodic maintenance
constexpr std::size_t bodyCopies = 2; // of a request's body: its own, and what is not sent to its replica yet
constexpr auto peersLogInterval = std::chrono::seconds(5);

TrafficState::TrafficState(asio::io_context &theIo, const TrafficSettings &theSettings, HeaderCodec theHeaderCodec,
                           EventLog &theLog)
    : io(theIo)
    , settings(theSettings)
    , headerCodec(std::move(theHeaderCodec))
    , log(theLog)
    , proof(theSettings.maxRevocationDelay)
    , loadBalancer(theSettings.loadBalancer, theSettings.dataCentre, theSettings.seed)
    , origins(theIo, theSettings.storePartitions)
    , queryOfDeath(QueryOfDeathSettings(), theSettings.seed)
    , budget(theSettings.retry, clockNow())
    , memory(std::make_shared<CallerMemory>(theSettings.memory))
    , connectionPool(theIo, headerCodec)
    , waitingForRoom(theIo, theSettings.admission, theSettings.seed)
{
}

TrafficThread::TrafficThread(const TrafficSettings &settings, HeaderCodec headerCodec, EventLog &log)
    : m_settings(settings)
    , m_io(1)
    , m_workGuard(asio::make_work_guard(m_io))
    , m_state(m_io, settings, std::move(headerCodec), log)
    , m_peers(m_io, settings.peers, m_state.loadBalancer, m_state.queryOfDeath)
    , m_listener(m_io)
    , m_refusals(log, "callers")
    , m_sweepTimer(m_io)
    , m_gateTimer(m_io)
{
    m_peers.onNewerPlaces = [this] {
        if (onNewerPlaces) {
            onNewerPlaces();
        }
    };
    m_peers.onDataCentreChanged = [this](const DataCentreRouter &self, const std::vector<DataCentreRouter> &others) {
        if (onDataCentreChanged) {
            onDataCentreChanged(self, others);
        }
    };
    m_peers.onListReceived = [this] {
        m_state.gate.onBlocksKnown();
        releaseWaiting();
    };
    m_peers.onStateVersionTold = [this](DesiredStateVersion version) { onStateVersionTold(version); };
    m_peers.accountWork = [this](Instant now) { return m_state.waitingForRoom.admission().workToTell(now); };
    m_peers.onAccountWork = [this](Instant now, std::uint32_t peer, const std::vector<AccountWork> &work,
                                   Duration lifetime) {
        m_state.waitingForRoom.admission().use().onPeerWork(now, peer, work, lifetime);
    };
    m_state.onPeerNews = [this] { m_peers.requestBeacon(); };
    setOriginHooks();
    m_state.queryOfDeath.onVerdict = [this](const SuspectVerdict &verdict) { logVerdict(verdict); };
    CallerConnectionHooks &hooks = m_listener.hooks;
    hooks.memory = m_state.memory;
    hooks.bodyCopies = bodyCopies;
    hooks.receiveBytes = settings.receiveBytes;
    m_listener.maxWithUnused = settings.maxCallers;
    m_listener.makeRoom = [this] { return makeRoom(); };
    hooks.onRefused = [this](const CallerRefusal &refusal) { m_refusals.onRefused(clockNow(), refusal); };
    hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request) {
        onRequest(caller, std::move(request));
    };
    hooks.onRejected = [this](int status, const char *why) { m_refusals.onRejected(clockNow(), status, why); };
    hooks.limits = [this] { return m_state.table ? m_state.table->limits : CallerLimits(); };
    hooks.isDraining = [this] { return m_state.isDraining; };
    m_listener.onCountChanged = [this] { m_state.counts.callers = static_cast<int>(m_listener.count()); };
}

void TrafficThread::setOriginHooks()
{
    m_state.origins.onSend = [this](std::uint32_t to, const OriginMessage &message) {
        m_peers.sendOrigins(to, message);
    };
    m_state.origins.borrow = [this](Instant now, int bytes) { return m_peers.lend(now, bytes); };
    m_state.origins.routers = [this] { return m_peers.heardPeers(); };
    m_peers.onOriginMessage = [this](std::uint32_t from, const OriginMessage &message) {
        m_state.origins.onMessage(clockNow(), from, message);
    };
    m_peers.onPeerStarted = [this](std::uint32_t router) { m_state.origins.onStarted(clockNow(), router); };
}

TrafficThread::~TrafficThread()
{
    stop();
}

bool TrafficThread::start()
{
    if (!m_listener.start(m_settings.listenAddress) || !m_peers.start()) {
        return false;
    }
    m_startedAt = clockNow();
    m_state.origins.onSave = onOriginsToSave;
    m_state.origins.onLoad = onOriginsToLoad;
    m_state.origins.start(m_peers.ownAddress());
    if (!m_peers.hasPeers()) {
        m_state.gate.onBlocksKnown();
    }
    m_state.gate.onStart(m_startedAt + m_settings.startupWait, m_startedAt + m_settings.startupWaitForPeers);
    armGateTimer();
    sweep();
    m_thread = std::thread([this] { m_io.run(); });
    return true;
}

void TrafficThread::stop()
{
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

/// Load pattern: connections that callers open and keep would leave none to replicas, and then no request is served.
/// @return true if one more connection, from a caller or to a replica, may be opened; unused ones are closed for it
bool TrafficThread::makeRoom()
{
    if (m_listener.count() + m_state.connectionPool.open() < m_settings.maxConnections) {
        return true;
    }
    return m_state.connectionPool.closeOneIdle() || m_listener.closeUnused();
}

void TrafficThread::onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request)
{
    if (!makeRoom()) {
        caller->refuse("descriptors");
        return;
    }
    const auto flow = std::make_shared<RequestHandler>(m_state, caller, std::move(request));
    flow->begin();
}

void TrafficThread::armGateTimer()
{
    const Instant deadline = m_state.gate.nextDeadline(clockNow());
    m_gateTimer.expires_at(deadline);
    m_gateTimer.async_wait([this, deadline](const asio::error_code &error) {
        if (error) {
            return;
        }
        releaseWaiting();
        if (m_state.gate.nextDeadline(clockNow()) > deadline) {
            armGateTimer();
        }
    });
}

/// Resumes the waiting requests if the gate no longer holds them.
void TrafficThread::releaseWaiting()
{
    if (m_state.gate.verdict(clockNow()) == StartupGate::Verdict::Wait) {
        return;
    }
    const auto waiting = std::move(m_state.waiting);
    m_state.waiting.clear();
    for (const auto &flow : waiting) {
        flow->begin();
    }
}

void TrafficThread::sweep()
{
    m_state.connectionPool.closeExpired(clockNow());
    m_state.queryOfDeath.expire(clockNow());
    m_state.loadBalancer.rateLimits().expire(clockNow());
    m_state.loadBalancer.holds().expire(clockNow());
    if (m_peers.isLeader()) {
        m_state.loadBalancer.assignPlaces(clockNow());
    }
    m_state.counts.peers = m_peers.maxPeersHeard();
    m_state.counts.peerBytes = m_peers.stats().bytesSent;
    logPeers(clockNow());
    m_state.budget.setRouters(m_peers.fleetSize());
    m_state.origins.update(clockNow(), m_state.softwareVersions);
    savePlaces(clockNow());
    saveBlocks(clockNow());
    saveVersions(clockNow());
    m_sweepTimer.expires_at(clockNow() + sweepInterval);
    m_sweepTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sweep();
        }
    });
}

void TrafficThread::logVerdict(const SuspectVerdict &verdict)
{
    LogLine line(verdict.isBlocked ? "prompt_blocked" : "prompt_released");
    line.text("key", toHex(verdict.key)).number("replicas", verdict.replicas).number("prompts", verdict.prompts);
    m_state.log.write(line, LogPriority::Notable);
}

void TrafficThread::logPeers(Instant now)
{
    if (now < m_nextPeersLogAt) {
        return;
    }
    m_nextPeersLogAt = now + peersLogInterval;
    const PeerExchangeStats stats = m_peers.stats();
    LogLine line("peers");
    line.number("known", stats.known).number("heard", stats.heard).number("fleet", m_peers.fleetSize());
    line.number("beacons_sent", stats.beaconsSent);
    line.number("beacons_received", stats.beaconsReceived).number("bytes_sent", stats.bytesSent);
    line.number("broadcast_bytes", stats.broadcastBytes).millis("start_delay_ms", stats.startDelay);
    m_state.log.write(line, LogPriority::Notable);
}

void TrafficThread::savePlaces(Instant now) const
{
    const bool isDue = onPlacesToSave && m_agreedPlaces && now >= m_startedAt + savePlacesDelay && m_peers.isLeader();
    if (!isDue) {
        return;
    }
    std::vector<PlaceRecord> differences = m_state.loadBalancer.placeDifferences(*m_agreedPlaces);
    if (!differences.empty()) {
        onPlacesToSave(std::move(differences));
    }
}

void TrafficThread::saveBlocks(Instant now) const
{
    if (!onBlocksToSave || !m_peers.isLeader()) {
        return;
    }
    BlockChanges changes = m_state.queryOfDeath.unsavedChanges(now);
    if (!changes.isEmpty()) {
        onBlocksToSave(std::move(changes));
    }
}

void TrafficThread::saveVersions(Instant now) const
{
    if (!onVersionsToSave || !m_peers.isLeader()) {
        return;
    }
    VersionChanges changes = m_state.softwareVersions.differences(now);
    if (!changes.isEmpty()) {
        onVersionsToSave(std::move(changes));
    }
}

std::string TrafficThread::metricsText()
{
    const Instant now = clockNow();
    std::string out = m_state.metrics.text();
    const PeerExchangeStats peers = m_peers.stats();
    writeMetric(out, "peers_known", "", peers.known);
    writeMetric(out, "fleet_size", "", m_peers.fleetSize());
    writeMetric(out, "beacons_sent_total", "", static_cast<double>(peers.beaconsSent));
    writeMetric(out, "beacons_received_total", "", static_cast<double>(peers.beaconsReceived));
    m_state.origins.addMetrics(out);
    writeMetric(out, "origin_bytes_total", "", static_cast<double>(m_peers.originBytes()));
    writeMetric(out, "response_bytes", "", static_cast<double>(m_state.memory->responseBytes()));
    writeMetric(out, "response_bytes_peak", "", static_cast<double>(m_state.memory->peakResponseBytes()));
    writeMetric(out, "caller_bytes", "", static_cast<double>(m_state.memory->bytes()));
    writeMetric(out, "caller_bytes_peak", "", static_cast<double>(m_state.memory->peakBytes()));
    out += m_refusals.metrics();
    writeMetric(out, "prompts_blocked", "", m_state.queryOfDeath.blocks(now));
    writeMetric(out, "beacon_delay_seconds", "", std::chrono::duration<double>(peers.startDelay).count());
    for (const DataCentreId &dataCentre : m_state.loadBalancer.holds().evacuated()) {
        writeMetric(out, "data_centre_evacuated", label("data_centre", dataCentre.text), 1);
    }
    m_state.waitingForRoom.addMetrics(out, now);
    for (const auto &[service, model] : m_state.serviceTimes) {
        const std::string name = label("service", service.text);
        writeMetric(out, "estimates_total", name, static_cast<double>(model.error().count));
        writeMetric(out, "estimate_bias_seconds", name, model.error().meanSeconds);
        writeMetric(out, "estimate_error_seconds", name, model.error().meanAbsoluteSeconds);
    }
    for (const ServiceStats &service : m_state.loadBalancer.serviceStats(now)) {
        const std::string name = label("service", service.id.text);
        writeMetric(out, "load_mean", name, service.meanLoad);
        writeMetric(out, "load_bound", name, service.bound);
        writeMetric(out, "free_slots", name, m_state.loadBalancer.freeSlots(now, service.id));
        writeMetric(out, "retries_left", name, m_state.budget.remaining(now, service.id));
        const SoftwareVersions &versions = m_state.softwareVersions;
        writeMetric(out, "software_versions", name, static_cast<double>(versions.recent(now, service.id).size()));
        writeMetric(out, "software_versions_complete", name, versions.isComplete(now, service.id) ? 1 : 0);
        for (const EndpointState *state : service.endpoints) {
            const std::string labels = name + ',' + label("replica", state->record.id.text);
            writeMetric(out, "replica_load", labels, m_state.loadBalancer.load(now, *state));
            writeMetric(out, "replica_room", labels, m_state.loadBalancer.roomAt(now, *state));
            writeMetric(out, "replica_slowdown", labels, LoadBalancer::slowdown(now, *state));
            if (const std::optional<double> pace = state->pace.limit(now)) {
                writeMetric(out, "replica_pace", labels, *pace);
            }
            writeMetric(out, "replica_avoided", labels, now < state->avoidUntil ? 1 : 0);
            const ReplicaHolds &holds = m_state.loadBalancer.holds();
            writeMetric(out, "replica_leaving", labels, holds.isLeaving(state->incarnation) ? 1 : 0);
            const bool isWarmingUp = m_state.loadBalancer.rateLimits().isWarmingUp(now, state->nameHash);
            writeMetric(out, "replica_warming_up", labels, isWarmingUp ? 1 : 0);
            writeMetric(out, "replica_turns_away", labels, holds.turnedAwayUntil(now, state->incarnation) ? 1 : 0);
        }
    }
    return out;
}

// From the control thread

void TrafficThread::requestMetrics(std::function<void(std::string)> callback)
{
    asio::post(m_io, [this, callback = std::move(callback)] { callback(metricsText()); });
}

static PlacesProgress placesProgress(const TopicPosition &upTo)
{
    return {static_cast<std::uint32_t>(upTo.offset) + 1, static_cast<std::uint8_t>(upTo.era.value_or(0))};
}

void TrafficThread::setPlaces(std::vector<PlaceRecord> agreed, const TopicPosition &upTo)
{
    asio::post(m_io, [this, agreed = std::move(agreed), upTo] {
        m_state.loadBalancer.setAgreedPlaces(agreed);
        m_agreedPlaces = agreed;
        m_peers.setPlaces(placesProgress(upTo));
    });
}

void TrafficThread::setStoredPlaces(std::vector<PlaceRecord> stored, const TopicPosition &upTo)
{
    asio::post(m_io, [this, stored = std::move(stored), upTo] {
        m_agreedPlaces = stored;
        m_peers.setPlaces(placesProgress(upTo));
    });
}

void TrafficThread::setStoredBlocks(std::vector<SuspectBlock> blocks)
{
    asio::post(m_io, [this, blocks = std::move(blocks)] {
        m_state.queryOfDeath.onStored(clockNow(), blocks);
        m_state.gate.onBlocksKnown();
        releaseWaiting();
    });
}

void TrafficThread::setStoredOrigins(int partition, std::optional<std::vector<StreamOrigin>> origins)
{
    asio::post(m_io, [this, partition, origins = std::move(origins)] {
        m_state.origins.setStored(clockNow(), partition, origins);
    });
}

void TrafficThread::setStoreLost()
{
    asio::post(m_io, [this] {
        m_agreedPlaces.reset();
        m_peers.setPlaces({});
        m_state.gate.onStoreLost();
        releaseWaiting();
    });
}

void TrafficThread::setRouteTable(std::shared_ptr<const RouteTable> table)
{
    asio::post(m_io, [this, table = std::move(table)] {
        m_state.table = table;
        m_peers.setStateVersion(table ? table->version : -1);
        if (table) {
            m_state.loadBalancer.setServices(clockNow(), table->services);
            m_state.gate.onDesiredState();
            releaseWaiting();
        }
        m_state.waitingForRoom.onDesiredState();
    });
}

void TrafficThread::setEvacuated(std::set<DataCentreId> dataCentres)
{
    asio::post(m_io, [this, dataCentres = std::move(dataCentres)] {
        m_state.loadBalancer.setEvacuated(clockNow(), dataCentres);
    });
}

void TrafficThread::setReplicas(std::vector<ReplicaRecord> replicas, std::vector<ReplicaRecord> draining)
{
    asio::post(m_io, [this, replicas = std::move(replicas), draining = std::move(draining)] {
        for (const EndpointId &id : m_state.loadBalancer.updateReplicas(clockNow(), replicas, draining)) {
            m_state.connectionPool.closeIdle(id);
        }
        m_state.counts.replicas = static_cast<int>(replicas.size());
        m_state.gate.onReplicas();
        releaseWaiting();
        m_state.waitingForRoom.drainSoon();
    });
}

void TrafficThread::setSoftwareVersions(SoftwareVersions versions)
{
    asio::post(m_io, [this, versions = std::move(versions)]() mutable {
        m_state.softwareVersions = std::move(versions);
        m_state.origins.update(clockNow(), m_state.softwareVersions);
    });
}

void TrafficThread::setProof(Instant provedAt)
{
    asio::post(m_io, [this, provedAt] { m_state.proof.renew(provedAt); });
}

void TrafficThread::beginDrain()
{
    asio::post(m_io, [this] { m_state.isDraining = true; });
}

void TrafficThread::stopAccepting(Instant stopsAt)
{
    asio::post(m_io, [this, stopsAt] {
        m_state.stopsAt = stopsAt;
        m_state.waitingForRoom.onStopping(stopsAt);
        m_listener.stopAccepting();
    });
}

void TrafficThread::endRequests()
{
    asio::post(m_io, [this] { m_listener.endRequests(); });
}

} // namespace galenafold
