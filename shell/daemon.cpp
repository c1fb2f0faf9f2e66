// One daemon on our own interface: its parts, wired together; start, drain, stop.
//
// Three threads own state: the control thread decides, the traffic thread carries callers and attempts, the peers'
// thread runs Cap'n Proto. Followers and claim desks have threads of their own, which block on the log.
#include "shell/followers.h"
#include "shell/front.h"

#include <asio/executor_work_guard.hpp>
#include <glog/logging.h>

namespace galenafold
{

constexpr auto readyPoll = std::chrono::milliseconds(5);
constexpr auto quietBeforeStop = std::chrono::milliseconds(1000); // no new call for this long: the balancer noticed
constexpr auto reportDrainEvery = std::chrono::seconds(30);
constexpr auto flushWithin = std::chrono::seconds(30);
constexpr auto logFlushAfter = std::chrono::milliseconds(200);

static EventLogSettings logSettings(const Settings &settings)
{
    EventLogSettings log;
    log.fd = settings.logDescriptor;
    return log;
}

class Daemon::Impl
{
public:
    explicit Impl(const Settings &theSettings);
    ~Impl();

    bool start();
    void finishDrain();

    Settings settings;
    Metrics metrics;
    Tracer tracer;
    EventLog log;
    asio::io_context io{1}; // of the traffic thread
    asio::executor_work_guard<asio::io_context::executor_type> work;
    DeadlineTimer flushTimer;
    Core core;
    Desks desks;
    Peers peers;
    KeyedCalls keyed;
    Followers followers;
    Front front;
    std::thread traffic;
    std::atomic<bool> isDraining{false};

    bool isReady() const;

private:
    CoreHooks coreHooks();
    PeerHooks peerHooks();
    FrontHooks frontHooks();
    void scheduleFlush();
};

Daemon::Impl::Impl(const Settings &theSettings)
    : settings(theSettings)
    , tracer(settings)
    , log(logSettings(settings))
    , work(asio::make_work_guard(io))
    , flushTimer(io)
    , core(settings, coreHooks(), metrics)
    , desks([this] { return makeHttpLogClient(settings.logAddress); })
    , peers(settings.name, peerHooks())
    , keyed(io, settings, core, peers, desks)
    , followers(settings, core)
    , front(io, settings, core, keyed, metrics, tracer, log, frontHooks())
{
    log.onBufferNonEmpty = [this] { asio::post(io, [this] { scheduleFlush(); }); };
}

Daemon::Impl::~Impl()
{
    isDraining = true;
    followers.stop();
    desks.stop();
    peers.stop();
    core.stop();
    io.stop();
    if (traffic.joinable()) {
        traffic.join();
    }
    log.onBufferNonEmpty = nullptr;
    log.flush();
}

void Daemon::Impl::scheduleFlush()
{
    flushTimer.expires_at(clockNow() + logFlushAfter);
    flushTimer.async_wait([this](const asio::error_code &error) {
        if (!error && log.flush()) {
            scheduleFlush();
        }
    });
}

CoreHooks Daemon::Impl::coreHooks()
{
    CoreHooks hooks;
    hooks.carryOut = [this](const Actions &actions) { front.carryOut(actions); };
    hooks.gossip = [this](const PeerAddress &peer, const GossipMessage &message) { peers.gossip(peer, message); };
    hooks.pull = [this](const PeerAddress &peer, LogOffset offset) { peers.pull(peer, offset); };
    hooks.appendSnapshot = [this](const std::string &record) { followers.appendSnapshot(record); };
    hooks.controlBytes = [this] { return peers.bytesSent() + core.beaconBytes(); };
    hooks.peersRefused = [this] { return peers.refused(); };
    return hooks;
}

PeerHooks Daemon::Impl::peerHooks()
{
    PeerHooks hooks;
    hooks.isKnown = [this](const VmId &vm) { return core.snapshot()->knownEntries.count(vm) > 0; };
    hooks.onGossip = [this](const GossipMessage &message) { return core.onGossip(message); };
    hooks.onPull = [this](LogOffset offset, std::function<void(const PulledContracts &)> callback) {
        core.recordsFor(offset, std::move(callback));
    };
    hooks.onClaim = [this](const ClaimItem &item, Instant answerBy, ClaimCallback callback) {
        desks.claim(item, answerBy, std::move(callback));
    };
    hooks.onSettle = [this](const ClaimItem &item, std::function<void()> onSettled) {
        desks.settle(item, std::move(onSettled));
    };
    hooks.onSettled = [this](const ClaimItem &item, bool isInLog) { keyed.onSettled(item, isInLog); };
    hooks.onPulled = [this](const PulledContracts &pulled) { core.onPulled(pulled); };
    hooks.onPeerOffset = [this](const VmId &vm, LogOffset upTo) { core.onPeerOffset(vm, upTo); };
    return hooks;
}

FrontHooks Daemon::Impl::frontHooks()
{
    FrontHooks hooks;
    hooks.isReady = [this] { return isReady(); };
    hooks.isDraining = [this] { return isDraining.load(); };
    return hooks;
}

bool Daemon::Impl::isReady() const
{
    const auto snapshot = core.snapshot();
    return !isDraining && snapshot->hasContracts && snapshot->hasVmList;
}

bool Daemon::Impl::start()
{
    if (!peers.start(settings.address, settings.peerPort)) {
        return false;
    }
    if (!front.start()) {
        LOG(ERROR) << "front: cannot listen on " << settings.address << ':' << settings.httpPort;
        return false;
    }
    if (!core.start(peers.port())) {
        return false;
    }
    traffic = std::thread([this] { io.run(); });
    followers.start();
    LogLine line("start");
    line.text("name", settings.name.text).number("port", front.port()).text("version", GALENAFOLD_VERSION);
    log.write(line, LogPriority::Notable);
    LOG(INFO) << "daemon: '" << settings.name.text << "' listens on port " << front.port();
    return true;
}

/// Late calls are still served: the balancer may be slow to notice. Nothing is cut off, however long it takes.
void Daemon::Impl::finishDrain()
{
    isDraining = true;
    const Instant begin = clockNow();
    Instant reportAt = begin + reportDrainEvery;
    while (true) {
        const Instant now = clockNow();
        const bool isQuiet = now > std::max(front.lastArrival(), begin) + quietBeforeStop;
        if (isQuiet && front.callsInProgress() == 0) {
            break;
        }
        if (now >= reportAt) {
            LOG(WARNING) << "drain: still " << front.callsInProgress() << " calls in progress";
            reportAt = now + reportDrainEvery;
        }
        std::this_thread::sleep_for(readyPoll);
    }
    front.stopAccepting();
    LOG_IF(ERROR, !keyed.flush(clockNow() + flushWithin)) << "drain: some outcomes are not in the log";
    LOG(INFO) << "drain: '" << settings.name.text << "' has ended all calls";
}

// Public

Daemon::Daemon(Settings settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Daemon::~Daemon() = default;

bool Daemon::start()
{
    return m_impl->start();
}

int Daemon::httpPort() const
{
    return m_impl->front.port();
}

int Daemon::peerPort() const
{
    return m_impl->peers.port();
}

bool Daemon::isReady() const
{
    return m_impl->isReady();
}

bool Daemon::waitReady(Instant deadline) const
{
    while (!isReady() && clockNow() < deadline) {
        std::this_thread::sleep_for(readyPoll);
    }
    return isReady();
}

void Daemon::beginDrain()
{
    m_impl->isDraining = true;
}

void Daemon::finishDrain()
{
    m_impl->finishDrain();
}

std::int64_t Daemon::controlBytesSent() const
{
    return m_impl->peers.bytesSent() + m_impl->core.beaconBytes();
}

} // namespace galenafold
