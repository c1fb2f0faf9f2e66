// Processing of one request, from a client's complete request to its response, with one or more attempts at replicas.
#pragma once

#include "filters/eventsplitter.h"
#include "traffic/traffic.h"

namespace galenafold
{

/// Why a request ended without a replica's response, or why an attempt was retried.
enum class EndReason : std::uint8_t {
    NoDesiredState, // no desired state was received yet
    NoRoute,        // no route matches host and path
    UnknownKey,     // the API key belongs to no client account
    StaleKeys,      // the desired state is not confirmed recently enough to accept API keys
    NoReplica,      // no replica serves the service
    Expired,        // the request's deadline has passed
    AllRefused,     // every replica that was tried refused to run it
    Unreachable,    // no replica could be reached
    BrokenAnswer,   // an attempt may have run; its response is lost or invalid
    Silent,         // an attempt timed out without progress
    ReplicaError,   // the replica responded with a server error
    CallerGone,     // the client disconnected
};

const char *text(EndReason reason); ///< @return the reason's name in logs and metrics

/// One request. Used on the traffic thread; kept alive by its callbacks and timer until it is finished.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(TrafficState &state, std::shared_ptr<CallerConnection> client, CallerRequest &&request);
    ~RequestFlow();
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    void begin(); ///< Starts processing. Called again after the start gate has held the request.

private:
    // Routing.

    void waitForStart();
    bool findRoute(Instant now);
    bool checkApiKey(Instant now);
    const ServiceId &selectService() const;
    void dispatch(Instant now);

    // Attempts.

    void attempt(Instant now, const ReplicaChoice &choice);
    std::string encodeRequest(Instant now, const EndpointState &endpoint) const;
    void logSent(Instant now, const ReplicaChoice &choice, bool isNewConnection) const;
    void armTimer();
    void onTimer();
    /// @return true once this attempt delivered an event
    bool hasReceivedEvents() const { return m_lastEventAt >= m_sentAt; }
    Instant progressDeadline() const;
    Instant nextSilenceCheck() const;
    void checkForSilence(Instant now);
    void abandonAttempt(AttemptOutcome end);
    bool takeRetry(Instant now);
    void logRetry(EndReason reason) const;
    void onHead(ResponseHead &head, const ResponseFields &answer);
    void onBody(std::string &body);
    void onDone();
    void onFailed(RequestProgress progress);
    void endAttempt(AttemptOutcome end);
    void afterFailure(EndReason reason);
    bool isStreamComplete() const;

    // Responding.

    void relayEvents(std::string &body);
    void forwardResponse();
    void refuse(int status, EndReason reason, Duration retryAfter);
    void giveUp(EndReason reason);
    void abortResponse(EndReason reason);
    void onCallerDisconnected();
    void finish(std::string_view outcome, int status, EndReason const *reason);
    void recordMetrics(Instant now, std::string_view outcome, EndReason const *reason);

    TrafficState &m_state;
    std::shared_ptr<CallerConnection> m_client;
    CallerRequest m_request;
    RequestFields m_fields; // decoded from the request head
    std::shared_ptr<const RouteTable> m_table;
    const Route *m_route = nullptr;
    const ClientAccount *m_account = nullptr;
    SelectionRequest m_placement;
    Instant m_deadline{};      // for the whole response
    Instant m_noRetryBefore{}; // no retry of a silent attempt before this time
    DeadlineTimer m_timer;
    AttemptHistory m_attempts;

    // Current attempt.

    std::shared_ptr<EndpointConnection> m_link;
    EndpointId m_endpoint;
    Instant m_sentAt{};
    Instant m_lastEventAt{};      // last bytes of a stream, from any attempt
    Instant m_silenceCheckedAt{}; // last check whether the replica is silent
    bool m_hasHead = false;       // of the replica's response
    ResponseHead m_head;
    ResponseFields m_answer; // decoded from `m_head`
    std::string m_body;      // response body, unless it is relayed as a stream

    EventSplitter m_events;
    Instant m_firstByteAt{}; // when the response to the client began
    Duration m_longestGap{}; // between events sent to the client
    bool m_isFinished = false;
};

} // namespace galenafold
