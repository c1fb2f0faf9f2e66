// Carries attempts out: one blocking HTTP request on a pump thread each, its answer checked and piped to the caller.
#pragma once

#include "clients/endpoint.h"
#include "clients/http.h"
#include "control/router.h"
#include "shell/exchange.h"
#include "shell/trace.h"

namespace galenafold
{

/// Everything about one call that threads share while it lives.
struct CallContext {
    CallContext(const Call &theCall, const std::string &traceparent, std::uint64_t seed)
        : call(theCall)
        , trace(theCall.request, traceparent, seed)
    {
    }

    const Call call;
    std::string path; // at the endpoint
    std::string body;
    std::string operationKey; // idempotency key, passed on
    bool isModel = false;
    bool isStream = false;
    bool mayReuse = true; // a kept connection may carry it
    Exchange exchange;
    CallTrace trace;
    std::mutex tokensMutex;
    std::map<int, std::shared_ptr<CancelToken>> tokens; // by attempt
};

/// What the runner tells the control thread.
struct RunnerHooks {
    std::function<void(CallKey, int attempt, Tokens reused)> onFirstByte;
    std::function<void(const AttemptReport &)> onEnded;
    std::function<void(const LoadReport &)> onLoad;
};

class AttemptRunner
{
public:
    AttemptRunner(std::size_t threads, RunnerHooks hooks);
    void start(const StartAttempt &start, const std::shared_ptr<CallContext> &context);
    static void cancel(CallContext &context, int attempt);
    void stop(); ///< Waits for all attempts.

private:
    void run(const StartAttempt &start, CallContext &context, CancelToken &token);
    RelayHooks relayHooks(const StartAttempt &start, CallContext &context) const;

    RunnerHooks m_hooks;
    EndpointClient m_client;
    GrowingPool m_pool;
};

} // namespace galenafold
