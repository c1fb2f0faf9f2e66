// The HTTP front: what callers, the balancer and operators speak to.
//
// Parsing of requests and the shape of errors are in parse.h.
#pragma once

#include "filters/classify.h"
#include "shell/core.h"
#include "shell/keyed.h"
#include "shell/metrics.h"
#include "shell/parse.h"
#include "shell/trace.h"

namespace galenafold
{

// Front

struct FrontHooks {
    std::function<bool()> isReady;
    std::function<bool()> isDraining;
};

class Front
{
public:
    Front(const Settings &settings, Core &core, KeyedCalls &keyed, Metrics &metrics, Tracer &tracer, FrontHooks hooks);

    void addRoutes(httplib::Server &server);
    int callsInProgress() const { return m_inProgress; }
    Instant lastArrival() const { return Instant(Span(m_lastArrival)); }

private:
    struct Exchanged; // one request on its way

    void chat(const httplib::Request &request, httplib::Response &response);
    void service(const httplib::Request &request, httplib::Response &response);
    void models(const httplib::Request &request, httplib::Response &response);
    void status(const httplib::Request &request, httplib::Response &response);
    void trace(const httplib::Request &request, httplib::Response &response);
    void onLibraryError(httplib::Response &response);

    bool open(const httplib::Request &request, httplib::Response &response, Exchanged &call);
    bool classifyAndAdmit(const httplib::Request &request, httplib::Response &response, const CallShape &shape,
                          Exchanged &call);
    void answer(httplib::Response &response, const std::shared_ptr<Exchanged> &call);
    void answerWhole(httplib::Response &response, Exchanged &call, const AnswerHead &head);
    void answerStream(httplib::Response &response, const std::shared_ptr<Exchanged> &call, const AnswerHead &head);
    bool claimKey(const httplib::Request &request, httplib::Response &response, Exchanged &call);
    void settleKey(const Exchanged &call, const ClaimOutcome &outcome, Run run);
    void refuse(httplib::Response &response, Exchanged &call, Reason reason, Run run, const std::string &message);
    void finish(Exchanged &call, Reason reason, Run run);
    void keepTrace(Exchanged &call, Reason reason, Run run);

    Settings m_settings;
    Core &m_core;
    KeyedCalls &m_keyed;
    Metrics &m_metrics;
    Tracer &m_tracer;
    FrontHooks m_hooks;
    std::atomic<std::uint64_t> m_nextKey{1};
    std::atomic<int> m_inProgress{0};
    std::atomic<std::int64_t> m_lastArrival{0};
    std::string m_requestPrefix;
};

} // namespace galenafold
