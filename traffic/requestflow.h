// One request on its way: from a caller's whole request to the caller's whole answer, over one attempt or more.
#pragma once

#include "filters/eventsplitter.h"
#include "traffic/traffic.h"

namespace galenafold
{

/// Why the router itself ends a request.
enum class EndReason : std::uint8_t {
    NoDesiredState, // nothing is known yet
    NoRoute,        // no host and path prefix fits
    UnknownKey,     // no client account holds the key
    StaleKeys,      // the desired state is not proved young enough to honour keys
    NoReplica,      // nobody serves the service
    Expired,        // the request's time is over
    AllRefused,     // every replica that was asked did not run it
    Unreachable,    // no replica could be reached
    BrokenAnswer,   // an attempt may have run, and its answer is lost or wrong
    Silent,         // an attempt made no progress
    ReplicaError,   // the replica answered with an error of its own
    CallerGone,     // the caller left
};

const char *text(EndReason reason);

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(TrafficState &state, std::shared_ptr<CallerConnection> caller, CallerRequest &&request);
    ~RequestFlow();
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    void begin(); ///< Once more after it has waited at the gate.

private:
    // Deciding.

    void waitAtGate();
    bool findRoute(Instant now);
    bool checkKey(Instant now);
    const ServiceId &drawService() const;
    void place(Instant now);

    // Attempting.

    void attempt(Instant now, const ReplicaChoice &choice);
    std::string encodeRequest(Instant now, const EndpointState &endpoint) const;
    void logSent(Instant now, const ReplicaChoice &choice, bool isNewConnection) const;
    void armTimer();
    void onTimer();
    bool isFlowing() const { return m_lastEventAt >= m_sentAt; } ///< @return true once this attempt brought an event
    Instant progressBy() const;
    Instant lookAt() const;
    void lookForSilence(Instant now);
    void abandonAttempt(AttemptOutcome end);
    bool takeRetry(Instant now);
    void logRetry(EndReason reason) const;
    void onHead(ResponseHead &head, const ResponseFields &answer);
    void onBody(std::string &body);
    void onDone();
    void onFailed(RequestProgress how);
    void endAttempt(AttemptOutcome end);
    void afterFailure(EndReason reason);
    bool isWholeStream() const;

    // Answering.

    void relayEvents(std::string &body);
    void forwardAnswer();
    void refuse(int status, EndReason reason, Duration retryAfter);
    void giveUp(EndReason reason);
    void abortResponse(EndReason reason);
    void onCallerGone();
    void finish(std::string_view outcome, int status, EndReason const *reason);
    void count(Instant now, std::string_view outcome, EndReason const *reason);

    TrafficState &m_state;
    std::shared_ptr<CallerConnection> m_caller;
    CallerRequest m_request;
    RequestFields m_fields;
    std::shared_ptr<const RouteTable> m_table;
    const Route *m_route = nullptr;
    const ClientAccount *m_account = nullptr;
    SelectionRequest m_place;
    Instant m_end{};          // final answer at the latest
    Instant m_patientUntil{}; // no retry for silence before
    DeadlineTimer m_timer;
    AttemptHistory m_attempts;

    // The attempt at hand.

    std::shared_ptr<EndpointConnection> m_link;
    EndpointId m_endpoint;
    Instant m_sentAt{};
    Instant m_lastEventAt{}; // bytes of a stream, from any attempt
    Instant m_lookedAt{};    // whether the attempt's replica is silent
    bool m_hasHead = false;
    ResponseHead m_head;
    ResponseFields m_answer;
    std::string m_body;

    EventSplitter m_events;
    Instant m_firstAt{};     // first bytes to the caller
    Duration m_longestGap{}; // between events that went to the caller
    bool m_isEnded = false;
};

} // namespace galenafold
