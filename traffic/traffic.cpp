// The traffic thread.
#include "traffic/traffic.h"

#include "traffic/requestflow.h"

#include <asio/post.hpp>

namespace galenafold
{

constexpr auto countPeersAfter = std::chrono::seconds(5); // by then beacons have named every router
constexpr auto sweepEvery = std::chrono::seconds(1);

TrafficState::TrafficState(asio::io_context &theIo, const TrafficSettings &theSettings, Dialect theDialect,
                           EventLog &theLog)
    : io(theIo)
    , settings(theSettings)
    , dialect(std::move(theDialect))
    , log(theLog)
    , proof(theSettings.revokeWithin)
    , board(theSettings.board, theSettings.dataCentre, theSettings.seed)
    , budget(theSettings.retry)
    , links(theIo, dialect)
{
}

Traffic::Traffic(const TrafficSettings &settings, Dialect dialect, EventLog &log)
    : m_settings(settings)
    , m_io(1)
    , m_work(asio::make_work_guard(m_io))
    , m_state(m_io, settings, std::move(dialect), log)
    , m_peers(m_io, settings.peers, m_state.board)
    , m_acceptor(m_io)
    , m_sweepTimer(m_io)
{
    m_state.onStart = [this] { m_peers.tellStart(); };
    m_callerHooks.onRequest = [this](const std::shared_ptr<Caller> &caller, CallerRequest &&request) {
        onRequest(caller, std::move(request));
    };
    m_callerHooks.onClosed = [this](const std::shared_ptr<Caller> &caller) {
        m_callers.erase(caller);
        m_state.counts.callers = static_cast<int>(m_callers.size());
    };
    m_callerHooks.onRejected = [this](int status, const char *why) {
        LogLine line("rejected");
        line.number("status", status).text("why", why);
        m_state.log.write(line, LogWeight::Notable);
    };
    m_callerHooks.limits = [this] { return m_state.table ? m_state.table->limits : CallerLimits(); };
    m_callerHooks.isDraining = [this] { return m_state.isDraining; };
}

Traffic::~Traffic()
{
    stop();
}

bool Traffic::start()
{
    if (!listenOn(m_acceptor, m_settings.listenAddress) || !m_peers.start()) {
        return false;
    }
    m_port = m_acceptor.local_endpoint().port();
    m_startedAt = clockNow();
    accept();
    sweep();
    m_thread = std::thread([this] { m_io.run(); });
    return true;
}

void Traffic::stop()
{
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Traffic::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            const auto caller = std::make_shared<Caller>(m_io, std::move(socket), m_callerHooks);
            m_callers.insert(caller);
            m_state.counts.callers = static_cast<int>(m_callers.size());
            caller->start();
        }
        accept();
    });
}

void Traffic::onRequest(const std::shared_ptr<Caller> &caller, CallerRequest &&request)
{
    const auto flow = std::make_shared<RequestFlow>(m_state, caller, std::move(request));
    flow->begin();
}

void Traffic::sweep()
{
    m_state.links.closeOld(clockNow());
    m_state.board.settle(clockNow());
    m_state.counts.peers = m_peers.mostHeard();
    m_state.counts.peerBytes = m_peers.bytesSent();
    if (clockNow() >= m_startedAt + countPeersAfter) {
        m_state.budget.setRouters(std::min(m_settings.retry.routers, m_peers.mostHeard() + 1));
    }
    m_sweepTimer.expires_at(clockNow() + sweepEvery);
    m_sweepTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sweep();
        }
    });
}

// From the control thread

void Traffic::setTable(std::shared_ptr<const RouteTable> table)
{
    asio::post(m_io, [this, table = std::move(table)] { m_state.table = table; });
}

void Traffic::setReplicas(std::vector<ReplicaRecord> replicas)
{
    asio::post(m_io, [this, replicas = std::move(replicas)] {
        for (const EndpointId &id : m_state.board.setRecords(clockNow(), replicas)) {
            m_state.links.drop(id);
        }
        m_state.counts.replicas = static_cast<int>(replicas.size());
    });
}

void Traffic::setProof(Instant provedAt)
{
    asio::post(m_io, [this, provedAt] { m_state.proof.renew(provedAt); });
}

void Traffic::beginDrain()
{
    asio::post(m_io, [this] { m_state.isDraining = true; });
}

void Traffic::stopTaking()
{
    asio::post(m_io, [this] {
        asio::error_code ignored; // closed at an earlier step
        m_acceptor.close(ignored);
        const auto callers = m_callers; // closing changes the set
        for (const auto &caller : callers) {
            caller->closeIfIdle();
        }
    });
}

} // namespace galenafold
