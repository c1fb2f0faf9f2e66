// Processes one call under a contract on the traffic thread: from a complete request to a complete response.
//
// Sections of this file: Context, Call.
//
// The control thread decides on limits, queueing, placement and retries; its decisions arrive as calls of `start`,
// `cancel` and `refuse`. All other work runs on the traffic thread's event loop, so no locks are needed.
#pragma once

#include "clients/endpoint.h"
#include "filters/attemptarbiter.h"
#include "galenafold/eventlog.h"
#include "runtime/callerapi.h"
#include "runtime/controlthread.h"
#include "runtime/idempotencyclient.h"
#include "runtime/trace.h"
#include "traffic/callerconnection.h"
#include "traffic/endpointconnection.h"

namespace galenafold
{

// Context

/// Counters that any thread may read. Each call shares ownership, so they outlive the calls.
struct CallCounters {
    std::atomic<int> inProgress{0};
    std::atomic<std::int64_t> lastArrival{0}; // microseconds on the clock of `clockNow()`
};

/// Objects shared by all calls of one event loop.
struct ContractCallContext {
    asio::io_context &io;
    const Settings &settings;
    ConnectionPool &connectionPool;
    ControlThread &control;
    IdempotencyClient &idempotency;
    Metrics &metrics;
    Tracer &tracer;
    EventLog &log;
    std::shared_ptr<CallCounters> counters;
    std::function<void(CallKey)> onEnded; // the call accepts no more actions
};

// Call

/// One call. Lives on the event loop of its context; kept alive by its owner and by pending operations.
class ContractCall : public std::enable_shared_from_this<ContractCall>
{
public:
    ContractCall(ContractCallContext &context, CallKey key, const RequestId &id,
                 const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    ~ContractCall();
    ContractCall(const ContractCall &) = delete;
    ContractCall &operator=(const ContractCall &) = delete;

    // Operations. Exactly one of them is called, once.

    void beginChat(); ///< Parses the body as a chat completion and submits it.

    /// Submits an operation of a service. An `Idempotency-Key` field in the request is claimed first.
    void beginService(const PoolId &pool, const std::string &operation);

    void listModels(); ///< Responds with the models in the caller's contract. Not queued; not in the call metrics.

    // Decisions of the control thread.

    void start(const StartAttempt &start); ///< Sends an attempt to an endpoint.
    void cancel(int attempt);              ///< @param attempt number, from 1

    /// Ends the call; a response stream in progress is aborted.
    void refuse(Reason reason, ExecutionStatus executionStatus);

private:
    struct Attempt {
        StartAttempt start;
        std::shared_ptr<EndpointConnection> connection;
        std::unique_ptr<ResponseReader> reader;
        std::string poolKey; // key in the connection pool: VM#INCARNATION
        Instant startTime{};
    };

    // Filters.

    bool findContract();
    bool classifyCall(const RequestTraits &traits);
    void admit();
    void onAdmitted(Reason reason);
    void claimKey();
    void onClaimed(const ClaimAnswer &answer, Instant startTime);
    void submit();

    // Attempts.

    std::string encode(const Attempt &attempt) const;
    ResponseReaderParams readerParams(const StartAttempt &start) const;
    RelayHooks relayHooks(const StartAttempt &start);
    EndpointRequestHooks requestHooks(int attempt);
    void onHead(int attempt, const ResponseHead &head);
    void onBody(int attempt, std::string &body);
    void endAttempt(int attempt, ExchangeResult result, bool isCancelled);
    void recordAttempt(const Attempt &attempt, const AttemptReport &report);
    void startResponseTimer(Instant deadline);

    // Responses.

    bool win(int attempt, const CallerResponseHead &head, Tokens resumeFrom);
    bool relay(int attempt, const std::string &bytes, Tokens relayed);
    void finishResponse(int attempt);
    void refuseWith(Reason reason, ExecutionStatus executionStatus, const std::string &message);
    void replay(const ClaimOutcome &outcome);
    void settleKey(const ClaimOutcome &outcome, ExecutionStatus executionStatus);
    void onCallerDisconnected();
    void finish(Reason reason, ExecutionStatus executionStatus);
    void saveTrace(Reason reason, ExecutionStatus executionStatus);
    void logOutcome(Reason reason, ExecutionStatus executionStatus) const;
    std::string field(std::string_view name) const;
    HttpFields responseFields(ExecutionStatus executionStatus) const;

    ContractCallContext &m_context;
    std::shared_ptr<CallCounters> m_counters;
    std::shared_ptr<CallerConnection> m_caller; // null after the caller disconnected or the call ended
    CallerRequest m_request;
    Instant m_arrival{};
    std::shared_ptr<const ContractTable> m_table; // owns the contract
    const Contract *m_contract = nullptr;
    Call m_call;
    CallTrace m_trace;
    std::string m_path;     // request path at the endpoint
    bool m_isModel = false; // a model engine, not a plain service
    bool m_isStream = false;
    std::string m_idempotencyKey; // UUID as sent by the caller; forwarded to the endpoint
    ClaimItem m_claim;            // empty key: call without idempotency key

    std::map<int, Attempt> m_attempts; // in progress
    DeadlineTimer m_responseTimer;     // restarted by each attempt; ends all attempts
    AttemptArbiter m_arbiter;
    std::optional<CallerResponseHead> m_responseHead; // of the winning response
    std::string m_responseBody;                       // buffered, if not a stream
    AffinityHint m_servedBy;
    Duration m_firstByte{}; // from the arrival
    int m_attemptsMade = 0;
    bool m_isAdmitted = false;
    bool m_isSubmitted = false;
    bool m_isFinished = false;
};

} // namespace galenafold
