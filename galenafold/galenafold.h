// galenafold: a router fleet for very many returning chats. This header is the manual: read it top to bottom.
//
// Index of this file
//   [SECTION] Ids              strong types for names
//   [SECTION] Units            time, tokens, counts
//   [SECTION] Contracts        what an operator declares for one customer
//   [SECTION] Endpoints        what callers' work is sent to
//   [SECTION] Calls            one caller's request, as the filters see it
//   [SECTION] Outcomes         what a caller is told, and why
//   [SECTION] Settings         what one daemon reads from its INI file
//   [SECTION] Daemon           start one, drain one
//
// The decisions (filters/, control/) are plain state and functions of (now, event, seeded random source). They own no
// clock, socket, thread or lock, so that a test can drive hundreds of them in one process. daemons/ and platform/ are
// the thin shell round them.
//
// Limits and traps, frankly: a hint is advice and gains nothing when forged; a load report may be seconds old; two
// routers may disagree on who is live; the log may have taken a record whose answer was lost.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenafold
{

// [SECTION] Ids ------------------------------------------------------------------------------------------------------

/// A name that cannot be mixed up with a name of another kind.
template<typename Tag>
struct Id {
    std::string text; // as given; empty means "none"

    bool isEmpty() const { return text.empty(); }
    friend bool operator==(const Id &a, const Id &b) { return a.text == b.text; }
    friend bool operator!=(const Id &a, const Id &b) { return a.text != b.text; }
    friend bool operator<(const Id &a, const Id &b) { return a.text < b.text; }
};

using CustomerId = Id<struct CustomerTag>;     // who pays; one contract each
using PoolId = Id<struct PoolTag>;             // a model, or a plain service: what a call names
using ChatId = Id<struct ChatTag>;             // a returning conversation
using RequestId = Id<struct RequestTag>;       // one call, echoed by the endpoint
using VmId = Id<struct VmTag>;                 // a VM of the fleet or of an endpoint
using DataCentreId = Id<struct DataCentreTag>; // where a VM stands

/// One life of an endpoint's process. A restarted endpoint has another incarnation and an empty cache.
enum class Incarnation : std::uint64_t {};

/// Position of a record in one stream of the platform's log.
using LogOffset = std::int64_t;

// [SECTION] Units ----------------------------------------------------------------------------------------------------

using Duration = std::chrono::microseconds; // a length of time; never stored as a limit

/// The clock behind every deadline. It goes on counting while the VM is suspended: a lease or a proof that is aged by a
/// clock which stands still looks young after the wake-up. Timers do stand still, so check a deadline before relying on
/// it.
struct BootTimeClock {
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<BootTimeClock, Duration>;
    static constexpr bool is_steady = true;
    static time_point now(); ///< @return now, suspension included
};

using Instant = BootTimeClock::time_point;    // a deadline or event on this VM's clock
using UnixMillis = std::chrono::milliseconds; // wall clock, only from records of the platform
using Tokens = double;                        // prompt or generated tokens

/// @return now, on the clock that all deadlines are on
inline Instant clockNow()
{
    return BootTimeClock::now();
}

// [SECTION] Contracts ------------------------------------------------------------------------------------------------

enum class Lane : std::uint8_t {
    Short, // condition tags, stock lookups, calls of plain services
    Long,  // appraisals, catalogue-wide quotes
};

/// A kind of work that a customer sends, and how it is recognised. The first class that matches wins.
struct TaskClass {
    std::string name;                         // unique within the contract
    std::string task;                         // header Galenafold-Task must equal this; "" matches any
    std::string operation;                    // operation of a plain service must equal this; "" matches any
    Tokens minPromptTokens = 0;               // prompt must have this many tokens
    Lane lane = Lane::Short;                  // which lane it waits and runs in
    Tokens expectedOutput = 128;              // tokens generated, until lengths have been learnt
    std::chrono::milliseconds timeout{30000}; // a call's deadline is its arrival plus this
    bool isIdempotent = true;                 // false: runs at most once, never repeated after a byte may have left
};

/// Everything that a customer may do. Published on the log; in force on all routers within seconds.
struct Contract {
    CustomerId customer;
    std::int64_t version = 0;              // counted by the log: 1 for the first accepted record
    double weight = 1;                     // share of a full fleet, against other customers
    int priority = 5;                      // sent to engines; 0 first, 9 last
    double rate = 10;                      // calls a second, whole fleet
    double concurrency = 10;               // calls in progress, whole fleet
    std::chrono::seconds keyWindow{600};   // an idempotency key is honoured this long after its creation
    std::vector<PoolId> models;            // models that may be named
    std::vector<PoolId> services;          // plain services that may be named
    std::vector<std::string> apiKeyHashes; // SHA-256 of API keys, lower-case hex
    std::vector<TaskClass> classes;        // in order of matching
};

// [SECTION] Endpoints ------------------------------------------------------------------------------------------------

enum class VmKind : std::uint8_t { Entry, Engine, Service };
enum class VmState : std::uint8_t { Live, Leaving };

/// One row of the platform's list of VMs. The list lags behind reality.
struct VmRecord {
    VmId id;
    VmKind kind = VmKind::Engine;
    VmState state = VmState::Live;
    Incarnation incarnation{};
    std::string address; // IP number
    int port = 0;        // HTTP
    int peerPort = 0;    // entry VMs only: Cap'n Proto RPC between daemons
    DataCentreId dataCentre;
    std::vector<PoolId> pools; // models or services that it runs
};

/// What an engine says about its load. `measured` is on the reader's clock, after taking off the stated age.
struct LoadReport {
    VmId endpoint;
    Incarnation incarnation{};
    Instant measuredAt{};
    int slots = 0;        // requests that can run at once
    int inFlight = 0;     // running and waiting
    int longInFlight = 0; // of these, in the long lane
    bool isLeaving = false;
};

/// Advice that a caller carries from its last answer: who holds the context.
struct AffinityHint {
    VmId endpoint;
    Incarnation incarnation{};
};

// [SECTION] Calls ----------------------------------------------------------------------------------------------------

enum class CallKey : std::uint64_t {}; // a call within one router's life

/// One caller's request, past `authenticate` and `classify`.
struct Call {
    CallKey key{};
    RequestId request;
    CustomerId customer;
    PoolId pool;
    ChatId chat;       // empty: no context to return to
    AffinityHint hint; // empty endpoint: none
    std::string taskClass;
    Lane lane = Lane::Short;
    int priority = 5;
    bool isIdempotent = true;
    bool isResumable = false; // a stream that an engine can continue from a token offset
    bool isStream = false;    // its first byte comes before the rest
    Tokens prompt = 0;
    Tokens output = 0; // expected
    Instant arrival{};
    Instant deadline{}; // for the first byte
};

// [SECTION] Outcomes -------------------------------------------------------------------------------------------------

/// Whether an endpoint executed the call. Told to the caller in every error, in `Galenafold-Run` and in the body.
enum class ExecutionStatus : std::uint8_t { No, Yes, Unknown };

/// Why a call was not served.
enum class Reason : std::uint8_t {
    None,
    NotReady,          // this daemon has no contracts yet, or is draining
    BadRequest,        // malformed body, head or key
    BadKey,            // no contract holds the API key
    NotAllowed,        // the contract does not name the model or service
    TooLarge,          // body over the limit
    OverRate,          // the customer's calls a second
    OverConcurrency,   // the customer's calls in progress
    QueueFull,         // the lane's queue has no room
    WouldMissDeadline, // could not start in time
    NoEndpoint,        // nobody live serves the pool
    EndpointRefused,   // the endpoint said that it did not run
    EndpointFailed,    // broken, silent or wrong answer
    RetryBudget,       // the fleet-wide budget for retries is spent
    KeyExpired,        // the idempotency key's age does not lie in the window
    KeyInProgress,     // another call with the same key has the claim and no outcome yet
    KeyMismatch,       // the same key came with another body
    LogUnavailable,    // a claim could not be agreed
    CallerGone,
};

const char *text(ExecutionStatus run);
const char *text(Reason reason);

// [SECTION] Settings -------------------------------------------------------------------------------------------------

enum class Policy : std::uint8_t { Galenafold, Naive }; // Naive is kept for differential tests and comparisons

struct PlacementSettings {
    Policy policy = Policy::Galenafold;
    double loadBound = 1.5;                          // no endpoint carries more than this multiple of the mean load
    double spillStart = 0.8;                         // fraction of the bound from which calls begin to spill
    int candidates = 4;                              // endpoints of a chat's own order that are tried
    int recentChats = 65536;                         // chats remembered without a hint
    double prefillTokensPerSecond = 8000;            // cost of recomputing a lost context
    double decodeTokensPerSecond = 50;               // of one stream
    Duration maxReportAge = std::chrono::seconds(5); // an older load report counts for nothing
};

struct QueueSettings {
    Policy policy = Policy::Galenafold;
    int capacity = 512;          // calls waiting, each lane
    double reservedSlots = 0.25; // fraction of an endpoint's slots kept for short work, at least one
    double backlog = 0.25;       // work beyond an endpoint's slots, as a fraction of them
    Tokens quantum = 64;         // deficit round robin: expected tokens a turn for weight 1
};

struct LimitSettings {
    Policy policy = Policy::Galenafold;
    double floor = 0.2;                                         // fraction of a limit split evenly, whatever the demand
    double burstSeconds = 0.25;                                 // depth of the rate bucket
    Duration peerTimeout = std::chrono::milliseconds(2500);     // a peer not heard for this long counts as a full one
    Duration shareGrowthDelay = std::chrono::milliseconds(600); // a share grows only after peers could hear of it
};

struct OutlierDetectionSettings {
    Policy policy = Policy::Galenafold;
    double ejectRatio = 2.5;          // slower than the median of its peers by this factor: weight falls
    double maxEjectedFraction = 0.25; // at most this part of a pool is ejected
    Duration probeInterval =
        std::chrono::milliseconds(1000); // an ejected endpoint gets one short call in this time, of all routers
    double hedgeBudget = 0.05;           // hedges as a fraction of first attempts
    double hedgePercentile = 0.95;       // of the class's time to first byte
};

struct RetrySettings {
    Policy policy = Policy::Galenafold;
    double budget = 0.1; // retries as a fraction of first attempts
    double burst = 5;    // retries allowed from rest
    int maxAttempts = 4; // for one call, the first included
};

struct GossipSettings {
    int bytesPerSecond = 7000; // control traffic that this daemon may send
    Duration round = std::chrono::milliseconds(200);
    int fanout = 3; // peers in a round
    int bytesPerMessage = 1200;
};

/// What one daemon reads from its INI file. `loadSettings` in settings.h checks it whole.
struct Settings {
    VmId name;
    std::string address = "127.0.0.1";
    DataCentreId dataCentre;
    int httpPort = 0;           // 0: any free port
    int peerPort = 0;           // 0: any free port
    int maxConnections = 10000; // most callers that are connected at once
    int logDescriptor = 1;      // file descriptor of the structured log; -1: none is written
    std::size_t maxBodyBytes = 4 << 20;
    std::string logAddress;      // HOST:PORT of the platform's log
    std::string vmListAddress;   // HOST:PORT of the platform's list of VMs
    std::string tracePath;       // file for OTLP/JSON spans, one a line; "" writes none
    double traceFraction = 0.01; // of calls without fault; faults are always traced
    std::uint64_t seed = 1;
    PlacementSettings placement;
    QueueSettings queue;
    LimitSettings limits;
    OutlierDetectionSettings outlierDetection;
    RetrySettings retry;
    GossipSettings gossip;
};

/// What a daemon on the users' platform reads from its INI file. `loadRouterSettings` in settings.h checks it whole.
struct RouterSettings {
    VmId name;
    DataCentreId dataCentre;
    std::string callers;            // IP:PORT for callers
    std::string admin;              // IP:PORT for readiness and metrics
    std::string store;              // IP:PORT of the platform's store
    std::string peers;              // IP:PORT for beacons between routers; "" none
    std::vector<std::string> seeds; // IP:PORT of a few routers, for beacons
    Duration maxRevocationDelay{};  // a key may serve this long after it was taken away; 0: not bounded
    Duration maxDrainDelay = std::chrono::milliseconds(2000);   // a leaving endpoint gets no new work
    Duration maxRecoveryTime = std::chrono::milliseconds(3000); // after a fault of the VM, promises hold again
    Duration drainTimeout = std::chrono::seconds(8);            // from SIGTERM to the end
    Duration startupWait = std::chrono::milliseconds(300); // requests wait for the store's first answers after a start
    Duration reregistrationTimeout =
        std::chrono::seconds(2); // lapsed registry entries are back after the store's return
    double retryRatio = 0.2;     // extra attempts of the fleet, per first attempt
    double minRetries = 0;       // and besides, in a window
    Duration retryWindow = std::chrono::seconds(10);
    int assumedFleetSize = 64; // routers among which the floor is divided
    double loadBound = 2;      // no engine carries more than this multiple of the mean
};

// [SECTION] Daemon ---------------------------------------------------------------------------------------------------

/// One router daemon in this process. Several may run side by side, each on ports of its own.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    bool start();                           ///< Binds and begins to follow the platform. @return false: port taken.
    int httpPort() const;                   ///< @return the bound port
    int peerPort() const;                   ///< @return the bound port for peers
    bool isReady() const;                   ///< @return true once contracts and endpoints are known
    bool waitReady(Instant deadline) const; ///< Waits until ready. @return false at the deadline.
    void beginDrain();                      ///< Not ready from now on; calls in progress and late ones are finished.
    void finishDrain();                     ///< Waits for every call in progress, then stops all threads.
    std::int64_t controlBytesSent() const;  ///< @return bytes sent to peers since the start

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace galenafold

/// Hashes an Id, for unordered containers.
template<typename Tag>
struct std::hash<galenafold::Id<Tag>> {
    std::size_t operator()(const galenafold::Id<Tag> &id) const { return std::hash<std::string>()(id.text); }
};
