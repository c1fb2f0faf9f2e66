// The control thread: event handlers, periodic work, and the exchange of contracts and load with peers.
//
// Sections of this file: Snapshot, Calls, State of other VMs, Periodic work.
#include "runtime/controlthread.h"

#include <asio/post.hpp>
#include <glog/logging.h>

namespace galenafold
{

constexpr auto tickInterval = std::chrono::milliseconds(10);
constexpr auto maxBeaconInterval = std::chrono::seconds(2); // at a lower rate peers would take this router for silent
constexpr auto metricsInterval = std::chrono::milliseconds(500);
constexpr auto minPullInterval = std::chrono::milliseconds(200);
constexpr auto minContractSnapshotInterval = std::chrono::seconds(30); // the log must retain records for much longer
constexpr std::size_t maxContractSnapshotBytesPerSecond = 500;
constexpr LogOffset minRecordsForContractSnapshot = 1; // repeated even if unchanged: the log deletes old records

/// @return time between contract snapshots. Every daemon reads every one, so larger ones are written less often.
static Duration contractSnapshotInterval(std::size_t bytes)
{
    const auto byBytes = std::chrono::seconds(static_cast<std::int64_t>(bytes / maxContractSnapshotBytesPerSecond));
    return std::max<Duration>(minContractSnapshotInterval, byBytes);
}

ControlThread::ControlThread(const Settings &settings, ControlHooks hooks, Metrics &metrics)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_router(settings)
    , m_gossipBudget(settings.gossip)
    , m_peerPicker(settings.seed ^ hashName(settings.name.text))
    , m_beaconBudget(settings.gossip)
    , m_workGuard(asio::make_work_guard(m_io))
    , m_timer(m_io)
    , m_beacons(m_io, [this](const LoadBeacon &beacon, const auto &) { m_router.onBeacon(clockNow(), beacon); })
{
    publishSnapshot();
}

ControlThread::~ControlThread()
{
    stop();
}

bool ControlThread::start(int peerPort)
{
    if (!m_beacons.open(m_settings.address, peerPort)) {
        LOG(ERROR) << "peers: cannot open the UDP socket for beacons on port " << peerPort;
        return false;
    }
    m_contractSnapshotDue = clockNow() + minContractSnapshotInterval;
    m_thread = std::thread([this] { m_io.run(); });
    asio::post(m_io, [this] { tick(); });
    return true;
}

void ControlThread::stop()
{
    m_isStopping = true;
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ControlThread::post(std::function<void(Instant)> job)
{
    asio::post(m_io, [job = std::move(job)] { job(clockNow()); });
}

std::shared_ptr<const ControlSnapshot> ControlThread::snapshot() const
{
    return std::atomic_load(&m_snapshot);
}

void ControlThread::publishSnapshot()
{
    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->contracts = m_contracts.table();
    snapshot->entryVms = m_router.membership().entryVms();
    snapshot->knownEntryVms = m_router.membership().knownEntryVms();
    snapshot->endpoints = m_router.membership().routable();
    snapshot->membershipVersion = m_membershipVersion;
    snapshot->hasContracts = m_contracts.upTo() > 0;
    snapshot->hasVmList = m_hasVmList;
    snapshot->isComplete = m_contracts.isComplete();
    std::atomic_store(&m_snapshot, std::shared_ptr<const ControlSnapshot>(snapshot));
    m_contractsUpTo = m_contracts.upTo();
    m_nextReadOffset = m_contracts.nextReadOffset();
}

// Calls

void ControlThread::admit(const Contract &contract, std::function<void(Reason)> answer)
{
    post([this, contract, answer = std::move(answer)](Instant now) { answer(m_router.admit(now, contract)); });
}

void ControlThread::cancelAdmission(const CustomerId &customer)
{
    post([this, customer](Instant) { m_router.cancelAdmission(customer); });
}

void ControlThread::submit(const Call &call, double weight)
{
    post([this, call, weight](Instant now) {
        Actions actions;
        m_router.submit(now, call, weight, actions);
        executeActions(now, actions);
    });
}

void ControlThread::onFirstByte(CallKey call, int attempt, Tokens reused)
{
    post([this, call, attempt, reused](Instant now) {
        Actions actions;
        m_router.onFirstByte(now, call, attempt, reused, actions);
        executeActions(now, actions);
    });
}

void ControlThread::onAttemptEnded(const AttemptReport &report)
{
    post([this, report](Instant now) {
        Actions actions;
        m_router.onAttemptEnded(now, report, actions);
        executeActions(now, actions);
    });
}

void ControlThread::onCallerDisconnected(CallKey call)
{
    post([this, call](Instant now) {
        Actions actions;
        m_router.onCallerDisconnected(now, call, actions);
        executeActions(now, actions);
    });
}

void ControlThread::executeActions(Instant now, const Actions &actions)
{
    const bool isEmpty = actions.starts.empty() && actions.cancels.empty() && actions.refusals.empty();
    if (!isEmpty) {
        m_hooks.executeActions(actions);
    }
    sendBeacon(now);
}

/// Sends this VM's load to all peers within the byte budget: a notice for each started call at once, and a beacon with
/// all counts on a change or as a heartbeat.
void ControlThread::sendBeacon(Instant now)
{
    const int peers = static_cast<int>(m_router.peers().size());
    const std::vector<LoadBeacon> starts = m_router.takeStartNotices();
    if (peers == 0) {
        return;
    }
    for (const LoadBeacon &start : starts) {
        const std::string payload = encodeBeacon(start);
        if (m_beaconBudget.takeStartNotice(now, peers * datagramBytes(payload))) {
            sendToPeers(payload);
        }
    }
    const int bytes = peers * m_lastBeaconBytes;
    if (m_beaconBudget.interval(bytes) > maxBeaconInterval) {
        return;
    }
    if (m_beaconBudget.take(now, bytes, m_router.hasLoadChanged())) {
        const std::string payload = encodeBeacon(m_router.beacon());
        m_lastBeaconBytes = datagramBytes(payload);
        sendToPeers(payload);
    }
}

void ControlThread::sendToPeers(const std::string &payload)
{
    for (const VmRecord &vm : m_router.membership().entryVms()) {
        if (vm.id != m_settings.name) {
            m_beacons.send(payload, vm.address, vm.peerPort);
        }
    }
    m_beaconBytes = m_beacons.bytesSent();
}

// State of other VMs

void ControlThread::onVmList(const std::vector<VmRecord> &list)
{
    post([this, list](Instant now) {
        m_router.onVmList(now, list);
        ++m_membershipVersion;
        // A list without routable endpoints does not make this VM ready.
        m_hasVmList = m_hasVmList || !m_router.membership().routable().empty();
        publishSnapshot();
    });
}

void ControlThread::onLoadReport(const LoadReport &report)
{
    post([this, report](Instant now) {
        m_router.onLoadReport(now, report);
        if (report.isLeaving) {
            publishSnapshot();
        }
    });
}

void ControlThread::onPrefixEvicted(const VmId &endpoint, const std::vector<ChatId> &chats)
{
    post([this, endpoint, chats](Instant) {
        for (const ChatId &chat : chats) {
            m_router.onPrefixEvicted(chat, endpoint);
        }
    });
}

void ControlThread::applyContractRecord(const LogRecord &record, LogOffset firstRetained)
{
    const ApplyResult applied = m_contracts.apply(record, firstRetained);
    const bool isSnapshot = record.value.find("\"kind\":\"snapshot\"") != std::string::npos;
    if (isSnapshot) {
        m_contractSnapshotDue = clockNow() + contractSnapshotInterval(record.value.size());
    }
    switch (applied) {
    case ApplyResult::Accepted:
        LOG(INFO) << "contracts: record " << record.offset << " is in force";
        break;
    case ApplyResult::StaleBase:
        ++m_refusedRecords;
        LOG(WARNING) << "contracts: record " << record.offset << " has a stale base; it is ignored";
        break;
    case ApplyResult::Malformed:
        ++m_refusedRecords;
        LOG(WARNING) << "contracts: record " << record.offset << " cannot be parsed; it is ignored";
        break;
    case ApplyResult::FutureFormat:
        ++m_refusedRecords;
        LOG(WARNING) << "contracts: record " << record.offset << " is from a later release; it is ignored";
        break;
    default:
        break;
    }
}

void ControlThread::onContractRecords(const std::vector<LogRecord> &records, LogOffset firstRetained, LogOffset end)
{
    post([this, records, firstRetained, end](Instant) {
        const LogOffset before = m_contracts.upTo();
        const bool wasComplete = m_contracts.isComplete();
        m_contracts.onLogRange(firstRetained, end);
        for (const LogRecord &record : records) {
            applyContractRecord(record, firstRetained);
        }
        if (m_contracts.upTo() != before || m_contracts.isComplete() != wasComplete) {
            publishSnapshot();
        }
        m_nextReadOffset = m_contracts.nextReadOffset();
    });
}

LogOffset ControlThread::onGossip(const GossipMessage &message)
{
    post([this, message](Instant now) {
        m_router.onGossip(now, message);
        if (!message.leaving.empty()) {
            publishSnapshot();
        }
    });
    onPeerOffset(message.from, message.contractsUpTo);
    return m_contractsUpTo;
}

void ControlThread::onPeerOffset(const VmId &peer, LogOffset upTo)
{
    if (upTo <= m_contractsUpTo) {
        return;
    }
    post([this, peer, upTo](Instant now) {
        PeerAddress address;
        const bool isBehind = upTo > m_contracts.upTo() && now >= m_nextPull;
        if (isBehind && peerAddress(peer, address)) {
            m_nextPull = now + minPullInterval;
            m_hooks.pull(address, m_contracts.isComplete() ? m_contracts.upTo() : 0);
        }
    });
}

void ControlThread::onPulled(const PulledContracts &pulled)
{
    post([this, pulled](Instant) {
        if (!pulled.snapshot.empty()) {
            m_contracts.installEncodedSnapshot(pulled.snapshot);
        }
        for (const LogRecord &record : pulled.records) {
            if (m_contracts.isComplete() && record.offset == m_contracts.upTo()) {
                applyContractRecord(record, 0);
            }
        }
        publishSnapshot();
    });
}

void ControlThread::contractsSince(LogOffset offset, std::function<void(const PulledContracts &)> callback)
{
    post([this, offset, callback = std::move(callback)](Instant) {
        PulledContracts pulled;
        if (offset > 0) {
            pulled.records = m_contracts.recordsFrom(offset);
        }
        if (pulled.records.empty()) {
            pulled.snapshot = encodeContractSnapshot(m_contracts.state());
        }
        callback(pulled);
    });
}

bool ControlThread::peerAddress(const VmId &vm, PeerAddress &address) const
{
    for (const VmRecord &record : m_router.membership().entryVms()) {
        if (record.id == vm) {
            address = {vm, record.address, record.peerPort};
            return true;
        }
    }
    return false;
}

// Periodic work

void ControlThread::tick()
{
    if (m_isStopping) {
        return;
    }
    const Instant now = clockNow();
    Actions actions;
    m_router.onTick(now, actions);
    executeActions(now, actions);
    if (now >= m_nextGossip) {
        m_nextGossip = now + m_settings.gossip.round;
        gossipRound(now);
    }
    if (now >= m_nextMetrics) {
        m_nextMetrics = now + metricsInterval;
        publishMetrics();
        appendContractSnapshotIfDue(now);
    }
    m_timer.expires_at(now + tickInterval);
    m_timer.async_wait([this](const std::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void ControlThread::gossipRound(Instant now)
{
    const std::vector<VmId> peers = m_router.peers();
    if (peers.empty()) {
        return;
    }
    GossipMessage message = m_router.gossip(now);
    message.contractsUpTo = m_contracts.isComplete() ? m_contracts.upTo() : 0;
    const int count = m_gossipBudget.take(now, PeerRpc::wireSize(message), static_cast<int>(peers.size()));
    for (const VmId &peer : m_peerPicker.pick(peers, count)) {
        PeerAddress address;
        if (peerAddress(peer, address)) {
            m_hooks.gossip(address, message);
        }
    }
}

/// Appends a contract snapshot to the log when it is due. VMs are ranked by rendezvous hashing and each rank waits 2 s
/// longer, so that the next VM takes over if one fails. Duplicate snapshots are harmless.
void ControlThread::appendContractSnapshotIfDue(Instant now)
{
    if (!m_contracts.isComplete() || m_contracts.upTo() < minRecordsForContractSnapshot) {
        return;
    }
    const std::uint64_t own = rendezvousScore(hashName("snapshot"), hashName(m_settings.name.text));
    int rank = 0;
    for (const VmId &peer : m_router.peers()) {
        rank += rendezvousScore(hashName("snapshot"), hashName(peer.text)) > own ? 1 : 0;
    }
    if (now < m_contractSnapshotDue + rank * std::chrono::seconds(2)) {
        return;
    }
    const std::string record = encodeContractSnapshot(m_contracts.state());
    m_contractSnapshotDue = now + contractSnapshotInterval(record.size());
    m_hooks.appendContractSnapshot(record);
}

void ControlThread::publishMetrics()
{
    ControlStats stats;
    stats.counts = m_router.counts();
    stats.callsInProgress = m_router.callsInProgress();
    stats.queuedShort = m_router.queued(Lane::Short);
    stats.queuedLong = m_router.queued(Lane::Long);
    stats.contractsUpTo = m_contracts.upTo();
    stats.controlBytes = m_hooks.controlBytes();
    stats.refusedPeerMessages = m_hooks.refusedPeerMessages();
    stats.refusedRecords = m_refusedRecords;
    const LoadView &loads = m_router.loads();
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const EndpointLoad &endpoint = loads.at(static_cast<EndpointIndex>(i));
        if (endpoint.isRoutable) {
            stats.loads.emplace_back(endpoint.vm.id.text, endpoint.total());
        }
    }
    m_metrics.setControlStats(stats);
}

} // namespace galenafold
