// What callers, the balancer and operators speak to, on our own interface: one event loop, the traffic thread.
//
// Reading of bodies and the shape of errors are in parse.h, one call's way in contractcall.h.
#pragma once

#include "shell/contractcall.h"
#include "traffic/listener.h"

#include <thread>

namespace galenafold
{

struct FrontHooks {
    std::function<bool()> isReady;
    std::function<bool()> isDraining;
};

/// Other threads use `start`, `stop`, `stopAccepting`, `carryOut` and the counts; all else runs on the loop.
class Front
{
public:
    Front(asio::io_context &io, const Settings &settings, Core &core, KeyedCalls &keyed, Metrics &metrics,
          Tracer &tracer, EventLog &log, FrontHooks hooks);

    bool start();                          ///< Listens, before the loop runs. @return false: the address is taken
    void stopAccepting();                  ///< Takes no new callers, and closes those that have no call in progress.
    void carryOut(const Actions &actions); ///< What the control thread has decided.

    int port() const { return m_listener.port(); }
    int callsInProgress() const { return m_services.counts->inProgress; }
    Instant lastArrival() const { return Instant(Duration(m_services.counts->lastArrival)); }

private:
    void onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    void beginCall(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    bool answerOperator(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request);
    void answerTrace(const std::shared_ptr<CallerConnection> &caller, std::string_view query);
    std::string status() const;
    void sweep();
    void carryOutHere(const Actions &actions);
    std::shared_ptr<ContractCall> find(CallKey key) const;

    asio::io_context &m_io;
    Settings m_settings;
    Core &m_core;
    FrontHooks m_hooks;
    HeaderCodec m_headerCodec;
    ConnectionPool m_links;
    CallServices m_services;
    CallerListener m_listener;
    DeadlineTimer m_sweepTimer;
    std::map<CallKey, std::shared_ptr<ContractCall>> m_calls; // in progress
    std::uint64_t m_nextKey = 1;
    std::string m_requestPrefix;
};

} // namespace galenafold
