// Router daemon for galenafold's own interface: connects its components, and starts, drains and stops them.
//
// Three threads own state: the control thread makes the decisions, the traffic thread handles caller connections and
// attempts, the peers' thread runs Cap'n Proto RPC. The platform poller and the claim workers have threads of their
// own, which block on calls to the platform and to engines.
#include "runtime/httpfrontend.h"
#include "runtime/platformpoller.h"

#include <asio/executor_work_guard.hpp>
#include <glog/logging.h>

namespace galenafold
{

constexpr auto pollInterval = std::chrono::milliseconds(5);        // of readiness and drain state
constexpr auto drainQuietPeriod = std::chrono::milliseconds(1000); // without new calls: the load balancer has noticed
constexpr auto drainReportInterval = std::chrono::seconds(30);
constexpr auto sendingCheckInterval = std::chrono::milliseconds(50); // while responses are on their way to callers
constexpr auto outcomeFlushTimeout = std::chrono::seconds(30); // for outcomes of idempotent calls to reach the log
constexpr auto logFlushDelay = std::chrono::milliseconds(200);

static EventLogSettings eventLogSettings(const Settings &settings)
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
    void finishSending();
    void finishDrain();

    Settings settings;
    Metrics metrics;
    Tracer tracer;
    EventLog log;
    asio::io_context io{1}; // event loop of the traffic thread
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    DeadlineTimer flushTimer;
    ControlThread control;
    ClaimWorkers claimWorkers;
    PeerRpc peerRpc;
    IdempotencyClient idempotency;
    PlatformPoller platformPoller;
    HttpFrontEnd frontEnd;
    std::thread trafficThread;
    std::atomic<bool> isDraining{false};

    bool isReady() const;

private:
    ControlHooks controlHooks();
    PeerHooks peerHooks();
    FrontEndHooks frontEndHooks();
    void scheduleFlush();
};

Daemon::Impl::Impl(const Settings &theSettings)
    : settings(theSettings)
    , tracer(settings)
    , log(eventLogSettings(settings))
    , workGuard(asio::make_work_guard(io))
    , flushTimer(io)
    , control(settings, controlHooks(), metrics)
    , claimWorkers([this] { return makeHttpLogClient(settings.logAddress); })
    , peerRpc(settings.name, peerHooks())
    , idempotency(io, settings, control, peerRpc, claimWorkers)
    , platformPoller(settings, control)
    , frontEnd(io, settings, control, idempotency, metrics, tracer, log, frontEndHooks())
{
    log.onBufferNonEmpty = [this] { asio::post(io, [this] { scheduleFlush(); }); };
}

Daemon::Impl::~Impl()
{
    isDraining = true;
    platformPoller.stop();
    claimWorkers.stop();
    peerRpc.stop();
    control.stop();
    io.stop();
    if (trafficThread.joinable()) {
        trafficThread.join();
    }
    log.onBufferNonEmpty = nullptr;
    log.flush();
}

void Daemon::Impl::scheduleFlush()
{
    flushTimer.expires_at(clockNow() + logFlushDelay);
    flushTimer.async_wait([this](const asio::error_code &error) {
        if (!error && log.flush()) {
            scheduleFlush();
        }
    });
}

ControlHooks Daemon::Impl::controlHooks()
{
    ControlHooks hooks;
    hooks.executeActions = [this](const Actions &actions) { frontEnd.executeActions(actions); };
    hooks.gossip = [this](const PeerAddress &peer, const GossipMessage &message) { peerRpc.gossip(peer, message); };
    hooks.pull = [this](const PeerAddress &peer, LogOffset offset) { peerRpc.pull(peer, offset); };
    hooks.appendContractSnapshot = [this](const std::string &record) { platformPoller.appendContractSnapshot(record); };
    hooks.controlBytes = [this] { return peerRpc.bytesSent() + control.beaconBytesSent(); };
    hooks.refusedPeerMessages = [this] { return peerRpc.refusedMessages(); };
    return hooks;
}

PeerHooks Daemon::Impl::peerHooks()
{
    PeerHooks hooks;
    hooks.isKnown = [this](const VmId &vm) { return control.snapshot()->knownEntryVms.count(vm) > 0; };
    hooks.onGossip = [this](const GossipMessage &message) { return control.onGossip(message); };
    hooks.onPull = [this](LogOffset offset, std::function<void(const PulledContracts &)> callback) {
        control.contractsSince(offset, std::move(callback));
    };
    hooks.onClaim = [this](const ClaimItem &item, Instant answerBy, ClaimCallback callback) {
        claimWorkers.claim(item, answerBy, std::move(callback));
    };
    hooks.onSettle = [this](const ClaimItem &item, std::function<void()> onSettled) {
        claimWorkers.settle(item, std::move(onSettled));
    };
    hooks.onSettled = [this](const ClaimItem &item, bool isInLog) { idempotency.onSettled(item, isInLog); };
    hooks.onPulled = [this](const PulledContracts &pulled) { control.onPulled(pulled); };
    hooks.onPeerOffset = [this](const VmId &vm, LogOffset upTo) { control.onPeerOffset(vm, upTo); };
    return hooks;
}

FrontEndHooks Daemon::Impl::frontEndHooks()
{
    FrontEndHooks hooks;
    hooks.isReady = [this] { return isReady(); };
    hooks.isDraining = [this] { return isDraining.load(); };
    return hooks;
}

bool Daemon::Impl::isReady() const
{
    const auto snapshot = control.snapshot();
    return !isDraining && snapshot->hasContracts && snapshot->hasVmList;
}

bool Daemon::Impl::start()
{
    if (!peerRpc.start(settings.address, settings.peerPort)) {
        return false;
    }
    if (!frontEnd.start()) {
        LOG(ERROR) << "front end: cannot listen on " << settings.address << ':' << settings.httpPort;
        return false;
    }
    if (!control.start(peerRpc.port())) {
        return false;
    }
    trafficThread = std::thread([this] { io.run(); });
    platformPoller.start();
    LogLine line("start");
    line.text("name", settings.name.text).number("port", frontEnd.port()).text("version", GALENAFOLD_VERSION);
    log.write(line, LogPriority::Notable);
    LOG(INFO) << "daemon: '" << settings.name.text << "' listens on port " << frontEnd.port();
    return true;
}

/// Waits until callers on slow links have taken their responses. A caller that takes nothing is given up by its
/// connection.
void Daemon::Impl::finishSending()
{
    do {
        frontEnd.stopAccepting(); // each time: closes the connections that are idle by now
        std::this_thread::sleep_for(sendingCheckInterval);
    } while (frontEnd.openConnections() > 0);
}

/// Keeps serving new calls until none has come for `drainQuietPeriod`, because the load balancer may take a while to
/// notice. Then waits for the calls in progress; there is no time limit and none is aborted.
void Daemon::Impl::finishDrain()
{
    isDraining = true;
    const Instant begin = clockNow();
    Instant reportAt = begin + drainReportInterval;
    while (true) {
        const Instant now = clockNow();
        const bool isQuiet = now > std::max(frontEnd.lastArrival(), begin) + drainQuietPeriod;
        if (isQuiet && frontEnd.callsInProgress() == 0) {
            break;
        }
        if (now >= reportAt) {
            LOG(WARNING) << "drain: still " << frontEnd.callsInProgress() << " calls in progress";
            reportAt = now + drainReportInterval;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    finishSending();
    LOG_IF(ERROR, !idempotency.flush(clockNow() + outcomeFlushTimeout))
        << "drain: the log did not confirm some idempotency-key outcomes in time; exiting without them";
    LOG(INFO) << "drain: '" << settings.name.text << "' has finished all calls";
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
    return m_impl->frontEnd.port();
}

int Daemon::peerPort() const
{
    return m_impl->peerRpc.port();
}

bool Daemon::isReady() const
{
    return m_impl->isReady();
}

bool Daemon::waitReady(Instant deadline) const
{
    while (!isReady() && clockNow() < deadline) {
        std::this_thread::sleep_for(pollInterval);
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
    return m_impl->peerRpc.bytesSent() + m_impl->control.beaconBytesSent();
}

} // namespace galenafold
