// The control thread.
#include "shell/core.h"

#include <asio/post.hpp>
#include <glog/logging.h>

namespace galenafold
{

constexpr auto tickEvery = std::chrono::milliseconds(10);
constexpr auto figuresEvery = std::chrono::milliseconds(500);
constexpr auto pullEvery = std::chrono::milliseconds(200);
constexpr auto snapshotEvery = std::chrono::seconds(30); // the log must keep contract records for much longer
constexpr std::size_t snapshotBytesPerSecond = 500;
constexpr LogOffset recordsBeforeSnapshot = 1; // an unchanged stream needs its snapshot repeated too

/// Every daemon reads every snapshot, so large ones come less often.
static Duration snapshotPace(std::size_t bytes)
{
    const auto byBytes = std::chrono::seconds(static_cast<std::int64_t>(bytes / snapshotBytesPerSecond));
    return std::max<Duration>(snapshotEvery, byBytes);
}

Core::Core(const Settings &settings, CoreHooks hooks, Metrics &metrics)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_router(settings)
    , m_gossipBudget(settings.gossip)
    , m_picker(settings.seed ^ hashName(settings.name.text))
    , m_beaconPacer(settings.gossip)
    , m_work(asio::make_work_guard(m_io))
    , m_timer(m_io)
    , m_beacons(m_io, [this](const LoadBeacon &beacon, const auto &) { m_router.onBeacon(clockNow(), beacon); })
{
    publish();
}

Core::~Core()
{
    stop();
}

bool Core::start(int peerPort)
{
    if (!m_beacons.open(m_settings.address, peerPort)) {
        LOG(ERROR) << "peers: cannot listen for datagrams on port " << peerPort;
        return false;
    }
    m_snapshotDue = clockNow() + snapshotEvery;
    m_thread = std::thread([this] { m_io.run(); });
    asio::post(m_io, [this] { tick(); });
    return true;
}

void Core::stop()
{
    m_isStopping = true;
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Core::post(std::function<void(Instant)> job)
{
    asio::post(m_io, [job = std::move(job)] { job(clockNow()); });
}

std::shared_ptr<const ControlSnapshot> Core::snapshot() const
{
    return std::atomic_load(&m_snapshot);
}

void Core::publish()
{
    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->contracts = m_book.table();
    snapshot->entryVms = m_router.membership().entryVms();
    snapshot->knownEntries = m_router.membership().knownEntries();
    snapshot->endpoints = m_router.membership().routable();
    snapshot->membersVersion = m_membersVersion;
    snapshot->hasContracts = m_book.upTo() > 0;
    snapshot->hasVmList = m_hasVmList;
    snapshot->isComplete = m_book.isComplete();
    std::atomic_store(&m_snapshot, std::shared_ptr<const ControlSnapshot>(snapshot));
    m_contractsUpTo = m_book.upTo();
    m_nextToRead = m_book.nextReadOffset();
}

// Calls

void Core::admit(const Contract &contract, std::function<void(Reason)> answer)
{
    post([this, contract, answer = std::move(answer)](Instant now) { answer(m_router.admit(now, contract)); });
}

void Core::cancelAdmission(const CustomerId &customer)
{
    post([this, customer](Instant) { m_router.cancelAdmission(customer); });
}

void Core::submit(const Call &call, double weight)
{
    post([this, call, weight](Instant now) {
        Actions actions;
        m_router.submit(now, call, weight, actions);
        carryOut(now, actions);
    });
}

void Core::onFirstByte(CallKey call, int attempt, Tokens reused)
{
    post([this, call, attempt, reused](Instant now) {
        Actions actions;
        m_router.onFirstByte(now, call, attempt, reused, actions);
        carryOut(now, actions);
    });
}

void Core::onAttemptEnded(const AttemptReport &report)
{
    post([this, report](Instant now) {
        Actions actions;
        m_router.onAttemptEnded(now, report, actions);
        carryOut(now, actions);
    });
}

void Core::onCallerGone(CallKey call)
{
    post([this, call](Instant now) {
        Actions actions;
        m_router.onCallerGone(now, call, actions);
        carryOut(now, actions);
    });
}

void Core::carryOut(Instant now, const Actions &actions)
{
    const bool isEmpty = actions.starts.empty() && actions.cancels.empty() && actions.refusals.empty();
    if (!isEmpty) {
        m_hooks.carryOut(actions);
    }
    sendBeacon(now);
}

/// Tells all peers of own calls: each start at once, the whole count now and then, as often as bytes allow.
void Core::sendBeacon(Instant now)
{
    const int peers = static_cast<int>(m_router.peers().size());
    const std::vector<LoadBeacon> starts = m_router.takeStartNotices();
    if (peers == 0) {
        return;
    }
    for (const LoadBeacon &start : starts) {
        const std::string payload = encodeBeacon(start);
        if (m_beaconPacer.takeStartNotice(now, peers * datagramBytes(payload))) {
            sendToPeers(payload);
        }
    }
    if (m_beaconPacer.take(now, peers * m_beaconSize, m_router.hasLoadChanged())) {
        const std::string payload = encodeBeacon(m_router.beacon());
        m_beaconSize = datagramBytes(payload);
        sendToPeers(payload);
    }
}

void Core::sendToPeers(const std::string &payload)
{
    for (const VmRecord &vm : m_router.membership().entryVms()) {
        if (vm.id != m_settings.name) {
            m_beacons.send(payload, vm.address, vm.peerPort);
        }
    }
    m_beaconBytes = m_beacons.bytesSent();
}

// What is known of others

void Core::onVmList(const std::vector<VmRecord> &list)
{
    post([this, list](Instant now) {
        m_router.onVmList(now, list);
        ++m_membersVersion;
        m_hasVmList = m_hasVmList || !m_router.membership().routable().empty(); // an empty list is no news
        publish();
    });
}

void Core::onLoadReport(const LoadReport &report)
{
    post([this, report](Instant now) {
        m_router.onLoadReport(now, report);
        if (report.isLeaving) {
            publish();
        }
    });
}

void Core::onContextEvicted(const VmId &endpoint, const std::vector<ChatId> &chats)
{
    post([this, endpoint, chats](Instant) {
        for (const ChatId &chat : chats) {
            m_router.onContextEvicted(chat, endpoint);
        }
    });
}

void Core::takeRecord(const LogRecord &record, LogOffset firstRetained)
{
    const ApplyResult applied = m_book.apply(record, firstRetained);
    const bool isSnapshot = record.value.find("\"kind\":\"snapshot\"") != std::string::npos;
    if (isSnapshot) {
        m_snapshotDue = clockNow() + snapshotPace(record.value.size());
    }
    switch (applied) {
    case ApplyResult::Accepted:
        LOG(INFO) << "contracts: record " << record.offset << " is in force";
        break;
    case ApplyResult::StaleBase:
        ++m_recordsRefused;
        LOG(WARNING) << "contracts: record " << record.offset << " has a stale base";
        break;
    case ApplyResult::Malformed:
        ++m_recordsRefused;
        LOG(WARNING) << "contracts: record " << record.offset << " does not parse";
        break;
    case ApplyResult::FutureFormat:
        ++m_recordsRefused;
        LOG(WARNING) << "contracts: record " << record.offset << " is from a later release";
        break;
    default:
        break;
    }
}

void Core::onContractRecords(const std::vector<LogRecord> &records, LogOffset firstRetained, LogOffset end)
{
    post([this, records, firstRetained, end](Instant) {
        const LogOffset before = m_book.upTo();
        const bool wasWhole = m_book.isComplete();
        m_book.onLogRange(firstRetained, end);
        for (const LogRecord &record : records) {
            takeRecord(record, firstRetained);
        }
        if (m_book.upTo() != before || m_book.isComplete() != wasWhole) {
            publish();
        }
        m_nextToRead = m_book.nextReadOffset();
    });
}

LogOffset Core::onGossip(const GossipMessage &message)
{
    post([this, message](Instant now) {
        m_router.onGossip(now, message);
        if (!message.leaving.empty()) {
            publish();
        }
    });
    onPeerOffset(message.from, message.contractsUpTo);
    return m_contractsUpTo;
}

void Core::onPeerOffset(const VmId &peer, LogOffset upTo)
{
    if (upTo <= m_contractsUpTo) {
        return;
    }
    post([this, peer, upTo](Instant now) {
        PeerAddress address;
        const bool isBehind = upTo > m_book.upTo() && now >= m_nextPull;
        if (isBehind && peerAddress(peer, address)) {
            m_nextPull = now + pullEvery;
            m_hooks.pull(address, m_book.isComplete() ? m_book.upTo() : 0);
        }
    });
}

void Core::onPulled(const PulledContracts &pulled)
{
    post([this, pulled](Instant) {
        if (!pulled.snapshot.empty()) {
            m_book.installEncodedSnapshot(pulled.snapshot);
        }
        for (const LogRecord &record : pulled.records) {
            if (m_book.isComplete() && record.offset == m_book.upTo()) {
                takeRecord(record, 0);
            }
        }
        publish();
    });
}

void Core::recordsFor(LogOffset offset, std::function<void(const PulledContracts &)> callback)
{
    post([this, offset, callback = std::move(callback)](Instant) {
        PulledContracts pulled;
        if (offset > 0) {
            pulled.records = m_book.recordsFrom(offset);
        }
        if (pulled.records.empty()) {
            pulled.snapshot = encodeContractSnapshot(m_book.state());
        }
        callback(pulled);
    });
}

bool Core::peerAddress(const VmId &vm, PeerAddress &address) const
{
    for (const VmRecord &record : m_router.membership().entryVms()) {
        if (record.id == vm) {
            address = {vm, record.address, record.peerPort};
            return true;
        }
    }
    return false;
}

// Rounds

void Core::tick()
{
    if (m_isStopping) {
        return;
    }
    const Instant now = clockNow();
    Actions actions;
    m_router.onTick(now, actions);
    carryOut(now, actions);
    if (now >= m_nextGossip) {
        m_nextGossip = now + m_settings.gossip.round;
        gossipRound(now);
    }
    if (now >= m_nextFigures) {
        m_nextFigures = now + figuresEvery;
        publishFigures();
        keepSnapshot(now);
    }
    m_timer.expires_at(now + tickEvery);
    m_timer.async_wait([this](const std::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void Core::gossipRound(Instant now)
{
    const std::vector<VmId> peers = m_router.peers();
    if (peers.empty()) {
        return;
    }
    GossipMessage message = m_router.gossip(now);
    message.contractsUpTo = m_book.isComplete() ? m_book.upTo() : 0;
    const int count = m_gossipBudget.take(now, Peers::sizeOf(message), static_cast<int>(peers.size()));
    for (const VmId &peer : m_picker.pick(peers, count)) {
        PeerAddress address;
        if (peerAddress(peer, address)) {
            m_hooks.gossip(address, message);
        }
    }
}

/// Appends a snapshot when its time has come. Each VM has its place in line, so that one that failed is followed by the
/// next; two snapshots at once do no harm.
void Core::keepSnapshot(Instant now)
{
    if (!m_book.isComplete() || m_book.upTo() < recordsBeforeSnapshot) {
        return;
    }
    const std::uint64_t own = rendezvousScore(hashName("snapshot"), hashName(m_settings.name.text));
    int place = 0;
    for (const VmId &peer : m_router.peers()) {
        place += rendezvousScore(hashName("snapshot"), hashName(peer.text)) > own ? 1 : 0;
    }
    if (now < m_snapshotDue + place * std::chrono::seconds(2)) {
        return;
    }
    const std::string record = encodeContractSnapshot(m_book.state());
    m_snapshotDue = now + snapshotPace(record.size());
    m_hooks.appendSnapshot(record);
}

void Core::publishFigures()
{
    ControlFigures figures;
    figures.counts = m_router.counts();
    figures.callsInProgress = m_router.callsInProgress();
    figures.queuedShort = m_router.queued(Lane::Short);
    figures.queuedLong = m_router.queued(Lane::Long);
    figures.contractsUpTo = m_book.upTo();
    figures.controlBytes = m_hooks.controlBytes();
    figures.peersRefused = m_hooks.peersRefused();
    figures.recordsRefused = m_recordsRefused;
    const LoadView &loads = m_router.loads();
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const EndpointLoad &endpoint = loads.at(static_cast<EndpointIndex>(i));
        if (endpoint.isRoutable) {
            figures.loads.emplace_back(endpoint.vm.id.text, endpoint.total());
        }
    }
    m_metrics.set(figures);
}

} // namespace galenafold
