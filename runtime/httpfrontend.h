// The HTTP interface for callers, the platform's load balancer and operators. Runs on one event loop, the traffic
// thread.
//
// Request bodies and error bodies are handled in callerapi.h, the processing of one call in contractcall.h.
#pragma once

#include "runtime/contractcall.h"
#include "traffic/listener.h"
#include "traffic/refusallog.h"

#include <atomic>
#include <thread>

namespace galenafold
{

/// State of the daemon, queried on the traffic thread.
struct FrontEndHooks {
    std::function<bool()> isReady;
    std::function<bool()> isDraining;
};

/// All public functions may be called from other threads; the rest runs on the event loop.
class HttpFrontEnd
{
public:
    HttpFrontEnd(asio::io_context &io, const Settings &settings, ControlThread &control, IdempotencyClient &idempotency,
                 Metrics &metrics, Tracer &tracer, EventLog &log, FrontEndHooks hooks);

    bool start();         ///< Starts listening; called before the loop runs. @return false if the address is in use
    void stopAccepting(); ///< Stops listening and closes the caller connections that are idle now.
    void executeActions(const Actions &actions); ///< Executes the control thread's decisions on the event loop.

    int port() const { return m_listener.port(); }
    int callsInProgress() const { return m_context.counters->inProgress; }
    int openConnections() const { return m_openConnections; } ///< @return callers' connections

    /// @return when the latest call arrived
    Instant lastArrival() const { return Instant(Duration(m_context.counters->lastArrival)); }

private:
    void onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    void beginCall(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    bool handleAdminRequest(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request);
    void sendTrace(const std::shared_ptr<CallerConnection> &caller, std::string_view query);
    std::string status() const;
    void sweep();
    void limitCallers();
    void executeActionsOnLoop(const Actions &actions);
    std::shared_ptr<ContractCall> find(CallKey key) const;

    asio::io_context &m_io;
    Settings m_settings;
    ControlThread &m_control;
    FrontEndHooks m_hooks;
    HeaderCodec m_headerCodec;
    ConnectionPool m_connectionPool;
    ContractCallContext m_context;
    CallerListener m_listener;
    RefusalLog m_refusals;
    DeadlineTimer m_sweepTimer;
    std::map<CallKey, std::shared_ptr<ContractCall>> m_calls; // in progress
    std::uint64_t m_nextCallKey = 1;
    std::atomic<int> m_openConnections{0};
    std::string m_requestIdPrefix;
};

} // namespace galenafold
