// Processing of one request on the users' platform: route, API key, attempts at replicas, response.
#pragma once

#include "control/queryofdeath.h"
#include "filters/eventsplitter.h"
#include "traffic/processcheck.h"
#include "traffic/trafficthread.h"

namespace galenafold
{

/// Why a request ended without a replica's complete response, or why an attempt was retried.
enum class EndReason : std::uint8_t {
    NoDesiredState,     // no desired state was received yet
    NoRoute,            // no route matches host and path
    UnknownApiKey,      // the API key belongs to no client account
    StaleKeys,          // the desired state was not confirmed recently enough to accept API keys
    NoReplica,          // the service has no replica
    ReplicaLimits,      // the replicas already get as many requests as they take
    ReplicasTurnAway,   // the replicas named times for which they want no requests
    UnknownOrigin,      // the caller takes up a stream, and it is not known which version of the software began it
    NoReplicaOfVersion, // no replica is left of the version of the software that began the stream
    Evacuated,          // the operator evacuates the data centres of all replicas that are left
    NoAllowedRegion,    // the service has replicas, but none in a region that route and account allow
    NoRoom,             // no replica has room, and the request cannot be expected to start in time
    NoRoomInTime,       // no replica had room until the request could no longer start in time
    QueryOfDeath,       // prompts like this one crash replicas
    Expired,            // the request's deadline has passed
    AllRefused,         // the last attempt was refused by its replica
    Unreachable,        // the last attempt did not reach its replica
    BrokenResponse,     // the response to an attempt that may have run is lost or invalid
    AttemptTimeout,     // an attempt timed out without progress
    ReplicaError,       // the replica responded with a server error
    ResponseTooLarge,   // the response holds more memory than a response, or an event of a stream, may
    CallerDisconnected, // the caller disconnected
    Stopping,           // this router stops before the response may be complete
};

const char *text(EndReason reason); ///< @return the reason's name in logs and metrics

/// One request. Used on the traffic thread; kept alive by its callbacks and timer until it is finished.
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(TrafficState &state, std::shared_ptr<CallerConnection> caller, CallerRequest &&request);
    ~RequestHandler();
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    void begin(); ///< Starts processing. Called again when the startup gate no longer holds the request.

    // While the request waits for room at a replica. @see WaitingRequests

    ReplicaChoice chooseReplica(Instant now);                   ///< @return the replica for the next attempt
    void onAdmitted(Instant now, const ReplicaChoice &choice);  ///< Sends the attempt that waited.
    void onNotAdmitted(EndReason reason, AdmissionRefusal why); ///< The request waits no longer, and has not started.
    void onDesiredState();                                      ///< Waits again, if the new desired state lets it.
    void onStoppingAt(Instant stopsAt);                         ///< Ends if its response may not be complete by then.

private:
    // Routing.

    void watchCaller();
    void waitForStart();
    bool findRoute(Instant now);
    bool checkApiKey(Instant now);
    bool route(Instant now);
    void dispatch(Instant now);
    void start(Instant now, const ReplicaChoice &choice);

    // Taking up a stream.

    void findOrigin(Instant now);
    void onOrigin(const OriginAnswer &answer);
    void fixVersion(VersionHash version);
    bool mayReturn(Instant now) const;
    void noteOrigin(Instant now);

    // Waiting for room.

    bool waitForRoom(Instant now);
    AdmissionRequest admissionRequest(Instant now) const;
    ServiceWork work(bool hasShared) const;
    Duration expectedResponseTime() const;
    Instant latestStart(Instant now) const;
    void logWait(const AdmissionDecision &decision, const AdmissionRequest &request) const;
    void logAdmitted(Instant now) const;

    // Attempts.

    void attempt(Instant now, const ReplicaChoice &choice);
    std::string encodeRequest(Instant now, const EndpointState &endpoint) const;
    void expectTimes(Instant now, const ReplicaChoice &choice);
    void noteFirstEvent(Instant now);
    void noteTimes(Instant now, bool isError);
    void logSent(Instant now, const ReplicaChoice &choice, bool isNewConnection) const;
    void armTimer();
    void onTimer();
    /// @return true once the current attempt has delivered an event
    bool hasReceivedEvents() const { return m_lastEventAt >= m_sentAt; }
    Instant progressDeadline() const;
    Instant nextStallCheck() const;
    void checkForStall(Instant now);
    void noteRun();
    void abandonAttempt(AttemptOutcome end);
    ReplicaChoice takeRetry(Instant now);
    bool takeFromBudget(Instant now);
    void logRetry(EndReason reason) const;
    void logBroken() const;
    void logCutOff(std::string_view why) const;
    bool isBlocked(Instant now);
    void reportIfCrashed() const;
    std::function<void(ProcessState)> crashReport(bool isResponseComplete) const;
    EndedConnection endedConnection() const;
    void addBudget(LogLine &line, Instant now) const;
    void onHead(ResponseHead &head, const ResponseFields &fields);
    void noteRateLimit();
    void noteLeaving();
    void noteTurnedAway();
    Duration retryAfter(EndReason reason) const;
    void onBody(std::string &body);
    void noteHeldBytes();
    void dropResponse();
    void onResponseGivenUp();
    void onDone();
    void onFailed(RequestProgress progress);
    void endAttempt(AttemptOutcome end);
    void afterFailure(EndReason reason);
    bool retry(Instant now, EndReason reason);
    bool isEventStream() const;
    bool hasEventStreamType() const;
    bool isResponseComplete() const;
    std::string_view cutOffReason() const;
    void onComplete(Instant endedAt);
    void onCutOff(std::string_view why);
    void withholdEnd();
    void onProcessChecked(int attempt, Instant endedAt, const ProcessCheckResult &result);
    void logWithheldEnd(Instant endedAt, const ProcessCheckResult &result);

    // Responding.

    void noteEvents(Instant now);
    void relayEvents(std::string &body);
    void forwardResponse();
    void refuse(int status, EndReason reason);
    void giveUp(EndReason reason);
    void abortResponse(EndReason reason);
    void onCallerDisconnected();
    void onStopping();
    void finish(std::string_view outcome, int status, EndReason const *reason);
    void logEnd(Instant now, std::string_view outcome, int status, EndReason const *reason);
    void recordMetrics(Instant now, std::string_view outcome, EndReason const *reason);

    TrafficState &m_state;
    std::shared_ptr<CallerConnection> m_caller;
    CallerRequest m_request;
    RequestFields m_fields; // decoded from the request head
    std::shared_ptr<const RouteTable> m_table;
    const Route *m_route = nullptr;
    const ClientAccount *m_account = nullptr;
    SelectionRequest m_selection;
    SuspectKeys m_suspect;                // what of the request can be blamed for a crash
    std::set<EndpointId> m_refusedBy;     // replicas that answered that they did not run the request
    std::optional<VersionHash> m_version; // of the software that began the stream; nothing: no event of it is known
    ServiceId m_versionOf;                // service with that version
    Instant m_deadline{};                 // for the whole response
    Instant m_turnedAwayUntil{};          // shortest time that replicas named, if no other replica was left
    Instant m_noRetryBefore{};            // an attempt without progress is not retried before this time
    WaitKey m_waitKey{};                  // while it waits for room
    bool m_isWaiting = false;             // for room at a replica
    Instant m_waitingSince{};             // start of that wait
    bool m_isOverShare = false;           // its account was over its share when the attempt was sent
    Duration m_roomExpectedIn{};          // Retry-After of a refusal for lack of room
    DeadlineTimer m_timer;
    AttemptHistory m_attempts;

    // Current attempt.

    std::shared_ptr<EndpointConnection> m_connection;
    EndpointId m_endpoint;
    asio::ip::tcp::endpoint m_address; // of the replica
    std::uint32_t m_incarnation = 0;   // hash of the replica's id and start time
    VersionHash m_replicaVersion{};    // of its software
    Instant m_sentAt{};
    Instant m_lastEventAt{};      // when the last bytes of a stream were received, from any attempt
    Instant m_stallCheckedAt{};   // last check whether the replica is stalled
    AttemptTrial m_trial;         // of the request at this replica
    ServiceWork m_work;           // at this replica, as expected
    ReplicaOccupancy m_occupancy; // of the replica when the request was sent
    ServiceTime m_expected;       // since `m_sentAt`
    Instant m_firstEventAt{};     // from this attempt; earlier than `m_sentAt`: none yet
    bool m_isEndWithheld = false; // the response has ended with its connection; its replica is being checked
    bool m_hasHead = false;       // the head of the replica's response was received
    ResponseHead m_head;
    ResponseFields m_responseFields; // decoded from `m_head`
    std::string m_body;              // response body, unless it is relayed as a stream
    MemoryShare m_held;              // `m_body` and the incomplete event

    EventSplitter m_events;
    int m_sentStatus = 0;       // of the stream to the caller, once it has begun
    bool m_hasSentType = false; // the head that the caller was sent has the type of a stream
    Instant m_firstByteAt{};    // when the response to the caller began
    Duration m_longestGap{};    // between events of the stream
    bool m_isFinished = false;
};

} // namespace galenafold
