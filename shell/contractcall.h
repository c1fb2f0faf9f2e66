// One call under a contract, on the traffic loop: from a caller's whole request to its whole answer.
//
// Sections of this file: Services, Call.
//
// The control thread decides on limits, queueing, placement and retries; what it decided comes back as `start`,
// `cancel` and `refuse`. All else happens here, on one thread, so nothing is locked.
#pragma once

#include "clients/endpoint.h"
#include "filters/attemptarbiter.h"
#include "galenafold/eventlog.h"
#include "shell/core.h"
#include "shell/keyed.h"
#include "shell/parse.h"
#include "shell/trace.h"
#include "traffic/callerconnection.h"
#include "traffic/endpointconnection.h"

namespace galenafold
{

// Services

/// Counts that other threads may read; they outlive the calls.
struct CallCounts {
    std::atomic<int> inProgress{0};
    std::atomic<std::int64_t> lastArrival{0}; // on the deadlines' clock
};

/// What the calls of one loop share.
struct CallServices {
    asio::io_context &io;
    const Settings &settings;
    ConnectionPool &links;
    Core &core;
    KeyedCalls &keyed;
    Metrics &metrics;
    Tracer &tracer;
    EventLog &log;
    std::shared_ptr<CallCounts> counts;
    std::function<void(CallKey)> onEnded; // the call needs no more actions
};

// Call

class ContractCall : public std::enable_shared_from_this<ContractCall>
{
public:
    ContractCall(CallServices &services, CallKey key, const RequestId &id,
                 const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    ~ContractCall();
    ContractCall(const ContractCall &) = delete;
    ContractCall &operator=(const ContractCall &) = delete;

    // What the caller asks for. One of them, once.

    void beginChat();
    void beginService(const PoolId &pool, const std::string &operation);
    void listModels();

    // What the control thread has decided.

    void start(const StartAttempt &start);
    void cancel(int attempt);
    void refuse(Reason reason, ExecutionStatus run);

private:
    struct Attempt {
        StartAttempt start;
        std::shared_ptr<EndpointConnection> link;
        std::unique_ptr<ResponseReader> reader;
        std::string connection; // its pool's name
        Instant begun{};
    };

    // Filters.

    bool open();
    bool classifyCall(const RequestTraits &shape);
    void admit();
    void onAdmitted(Reason reason);
    void claimKey();
    void onClaimed(const ClaimAnswer &answer, Instant begun);
    void submit();

    // Attempts.

    std::string encode(const Attempt &attempt) const;
    ResponseReaderParams readerPlan(const StartAttempt &start) const;
    RelayHooks relayHooks(const StartAttempt &start);
    EndpointRequestHooks linkHooks(int attempt);
    void onHead(int attempt, const ResponseHead &head);
    void onBody(int attempt, std::string &body);
    void endAttempt(int attempt, ExchangeResult result, bool isCancelled);
    void noteAttempt(const Attempt &attempt, const AttemptReport &report);
    void armTimer(Instant deadline);

    // Answers.

    bool win(int attempt, const CallerResponseHead &head, Tokens resumeFrom);
    bool relay(int attempt, const std::string &bytes, Tokens relayed);
    void finishResponse(int attempt);
    void refuseWith(Reason reason, ExecutionStatus run, const std::string &message);
    void replay(const ClaimOutcome &outcome);
    void settleKey(const ClaimOutcome &outcome, ExecutionStatus run);
    void onCallerGone();
    void finish(Reason reason, ExecutionStatus run);
    void keepTrace(Reason reason, ExecutionStatus run);
    void logEnd(Reason reason, ExecutionStatus run) const;
    std::string field(std::string_view name) const;
    HttpFields answerFields(ExecutionStatus run) const;

    CallServices &m_services;
    std::shared_ptr<CallCounts> m_counts;
    std::shared_ptr<CallerConnection> m_caller; // none once it has left
    CallerRequest m_request;
    Instant m_arrival{};
    std::shared_ptr<const ContractTable> m_table; // keeps the contract alive
    const Contract *m_contract = nullptr;
    Call m_call;
    CallTrace m_trace;
    std::string m_path; // at the endpoint
    bool m_isModel = false;
    bool m_isStream = false;
    std::string m_operationKey; // idempotency key, passed on
    ClaimItem m_claim;          // empty key: none

    std::map<int, Attempt> m_attempts; // in progress
    DeadlineTimer m_timer;             // of the newest attempt
    AttemptArbiter m_race;
    std::optional<CallerResponseHead> m_head; // of the answer that the caller gets
    std::string m_body;                       // gathered, where it is not a stream
    AffinityHint m_servedBy;
    Duration m_firstByte{};
    int m_attemptsMade = 0;
    bool m_isAdmitted = false;
    bool m_isSubmitted = false;
    bool m_isFinished = false;
};

} // namespace galenafold
