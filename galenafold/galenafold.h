// galenafold: a fleet of request routers for model engines and plain services, with session affinity for returning
// chats. This header declares the core types; read it top to bottom.
//
// Index of this file
//   [SECTION] Ids              strongly typed identifiers
//   [SECTION] Units            time, tokens, counts
//   [SECTION] Contracts        what an operator declares for one customer
//   [SECTION] Endpoints        VMs that serve calls, and their load
//   [SECTION] Calls            one caller's request, as the filters see it
//   [SECTION] Outcomes         results and failure reasons reported to callers
//   [SECTION] Settings         parameters that a router reads from its INI file
//   [SECTION] Daemon           starts and drains one router that serves under contracts
//
// Terms
//   caller     sends requests to a router
//   call       one request of a caller, also when it takes several attempts at endpoints
//   endpoint   serves requests: a model engine or a plain service
//   replica    an endpoint that the service registry of the users' platform lists
//   router     one instance of the daemon; the other routers of its fleet are its peers
//
// A router has one of two interfaces, which its settings file selects. `Daemon` with `Settings` serves customers under
// contracts; its platform has an append-only log and a list of VMs. `RouterNode` in runtime/ with `RouterSettings`
// serves the client accounts of the users' platform, which has a store of keyed records: the desired state (routes,
// services, accounts) and the service registry.
//
// The decision logic (filters/, control/) is plain state and functions of (now, event, seeded random source). It owns
// no clock, socket, thread or lock, so that a test can run hundreds of routers in one process. net/, traffic/,
// clients/, platform/, runtime/ and daemons/ connect it to the network, the platform and the operating system.
//
// Known limitations: an affinity hint is advisory, and a forged one gains nothing; a load report may be seconds old;
// two routers may disagree on which VMs are live; the platform's log may hold a record although the response to the
// append was lost.
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

/// String identifier. The tag makes each kind of identifier a distinct type.
template<typename Tag>
struct Id {
    std::string text; // empty: none

    bool isEmpty() const { return text.empty(); }
    friend bool operator==(const Id &a, const Id &b) { return a.text == b.text; }
    friend bool operator!=(const Id &a, const Id &b) { return a.text != b.text; }
    friend bool operator<(const Id &a, const Id &b) { return a.text < b.text; }
};

using CustomerId = Id<struct CustomerTag>;     // party that is billed for calls; has exactly one contract
using PoolId = Id<struct PoolTag>;             // model or plain service that a call names
using ChatId = Id<struct ChatTag>;             // conversation of several calls, whose context an engine may have cached
using RequestId = Id<struct RequestTag>;       // one call, echoed by the endpoint
using VmId = Id<struct VmTag>;                 // VM that runs a router or an endpoint
using DataCentreId = Id<struct DataCentreTag>; // data centre that hosts a VM
using RegionId = Id<struct RegionTag>;         // region that data centres belong to

/// Identifies one run of an endpoint's process. A restarted endpoint has a new incarnation and an empty cache.
enum class Incarnation : std::uint64_t {};

/// Position of a record in one stream of the platform's append-only log.
using LogOffset = std::int64_t;

// [SECTION] Units ----------------------------------------------------------------------------------------------------

using Duration = std::chrono::microseconds; // length of time; a deadline is an Instant

/// Monotonic clock for all deadlines. It also advances while the VM is suspended: with a clock that stops then, an
/// expired lease or freshness proof would still look valid after the resume. Timers do stop while the VM is suspended,
/// so compare a deadline with the current time before relying on it.
struct BootTimeClock {
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<BootTimeClock, Duration>;
    static constexpr bool is_steady = true;
    static time_point now(); ///< @return time since boot, including suspension
};

using Instant = BootTimeClock::time_point;    // time of a deadline or event; meaningful on this VM only
using UnixMillis = std::chrono::milliseconds; // wall clock since the Unix epoch; for stored records and logs only
using Tokens = double;                        // number of prompt or generated tokens

/// @return the current time of the clock that all deadlines use
inline Instant clockNow()
{
    return BootTimeClock::now();
}

/// @return the current wall-clock time of this VM, which may jump
inline UnixMillis unixNow()
{
    return std::chrono::duration_cast<UnixMillis>(std::chrono::system_clock::now().time_since_epoch());
}

// [SECTION] Contracts ------------------------------------------------------------------------------------------------

enum class Lane : std::uint8_t {
    Short, // brief calls: condition tags, stock lookups, calls to plain services
    Long,  // calls that take long: appraisals, catalogue-wide quotes
};

/// Class of a customer's calls: its match conditions, and how its calls are scheduled. The first class of the contract
/// that matches a call applies.
struct TaskClass {
    std::string name;                         // unique within the contract
    std::string task;                         // required value of the header Galenafold-Task; "" matches any
    std::string operation;                    // required operation of a plain service; "" matches any
    Tokens minPromptTokens = 0;               // minimum size of the prompt
    Lane lane = Lane::Short;                  // lane in which the call queues and runs
    Tokens expectedOutput = 128;              // estimate of generated tokens, until lengths have been observed
    std::chrono::milliseconds timeout{30000}; // from a call's arrival to its deadline
    bool isIdempotent = true;                 // false: runs at most once; no retry once a byte may have been sent
};

/// A customer's permissions, limits and task classes. Published on the platform's log; all routers apply a new version
/// within seconds.
struct Contract {
    CustomerId customer;
    std::int64_t version = 0;              // assigned from the log's order: 1 for the first accepted record
    double weight = 1;                     // share of a saturated fleet, relative to other customers' weights
    int priority = 5;                      // forwarded to engines; 0 is highest, 9 is lowest
    double rate = 10;                      // limit on calls per second, over all routers
    double concurrency = 10;               // limit on calls in progress, over all routers
    std::chrono::seconds keyWindow{600};   // how long after its creation an idempotency key is valid
    std::vector<PoolId> models;            // models that calls may name
    std::vector<PoolId> services;          // plain services that calls may name
    std::vector<std::string> apiKeyHashes; // SHA-256 of API keys, lower-case hex
    std::vector<TaskClass> classes;        // in matching order
};

// [SECTION] Endpoints ------------------------------------------------------------------------------------------------

enum class VmKind : std::uint8_t {
    Entry,  // runs a router
    Engine, // runs a model engine
    Service // runs a plain service
};

enum class VmState : std::uint8_t {
    Live,
    Leaving // gets no new calls
};

/// One entry of the platform's list of VMs. The list may be out of date.
struct VmRecord {
    VmId id;
    VmKind kind = VmKind::Engine;
    VmState state = VmState::Live;
    Incarnation incarnation{};
    std::string address; // IP address
    int port = 0;        // for HTTP
    int peerPort = 0;    // TCP for RPC and UDP for load beacons between routers; entry VMs only
    DataCentreId dataCentre;
    std::vector<PoolId> pools; // models or services that it serves
};

/// Load that an endpoint reports.
struct LoadReport {
    VmId endpoint;
    Incarnation incarnation{};
    Instant measuredAt{};   // by the receiver's clock: time of receipt less the reported age
    int slots = 0;          // requests that the endpoint can run concurrently
    int inFlight = 0;       // requests running or queued there
    int longInFlight = 0;   // part of `inFlight` that belongs to the long lane
    bool isLeaving = false; // gets no new calls
};

/// Affinity hint that a caller repeats from its last response: the endpoint whose cache holds the chat's context.
struct AffinityHint {
    VmId endpoint;
    Incarnation incarnation{};
};

// [SECTION] Calls ----------------------------------------------------------------------------------------------------

enum class CallKey : std::uint64_t {}; // identifies a call within one run of a router

/// One caller's request after the filters `authenticate` and `classify`.
struct Call {
    CallKey key{};
    RequestId request;
    CustomerId customer;
    PoolId pool;           // model or plain service that the call names
    ChatId chat;           // empty: no session affinity
    AffinityHint hint;     // empty endpoint: none
    std::string taskClass; // name of the matching TaskClass
    Lane lane = Lane::Short;
    int priority = 5;         // 0 is highest, 9 is lowest
    bool isIdempotent = true; // may run more than once
    bool isResumable = false; // another engine can continue the stream from a token offset
    bool isStream = false;    // the response is streamed
    Tokens prompt = 0;        // size of the prompt
    Tokens output = 0;        // expected number of generated tokens
    Instant arrival{};
    Instant deadline{}; // for the first byte of the response
};

// [SECTION] Outcomes -------------------------------------------------------------------------------------------------

/// Whether an endpoint executed the call. Every error response states it in the header `Galenafold-Run` and in the
/// body.
enum class ExecutionStatus : std::uint8_t { No, Yes, Unknown };

/// Why a call was not served.
enum class Reason : std::uint8_t {
    None,
    NotReady,           // this router has no contracts yet, or is draining
    BadRequest,         // malformed body, header fields or idempotency key
    UnknownApiKey,      // no contract lists the API key
    NotAllowed,         // the contract does not list the model or service
    TooLarge,           // body exceeds the size limit
    OverRate,           // the customer's limit on calls per second is reached
    OverConcurrency,    // the customer's limit on concurrent calls is reached
    QueueFull,          // the lane's queue is full
    WouldMissDeadline,  // the call could not start before its deadline
    NoEndpoint,         // no live endpoint serves the pool
    EndpointRefused,    // the endpoint reported that it did not execute the call
    EndpointFailed,     // the endpoint's response was truncated, missing or invalid
    RetryBudget,        // the retry budget is exhausted
    KeyExpired,         // the idempotency key was created outside the accepted window
    KeyInProgress,      // another call with the same idempotency key has not finished
    KeyMismatch,        // the idempotency key was already used with another body
    LogUnavailable,     // the idempotency key's claim could not be recorded in the platform's log
    CallerDisconnected, // the caller disconnected
};

const char *text(ExecutionStatus status); ///< @return the name used in responses, logs and metrics
const char *text(Reason reason);          ///< @return the name used in responses, logs and metrics

// [SECTION] Settings -------------------------------------------------------------------------------------------------

enum class Policy : std::uint8_t { Galenafold, Naive }; // Naive is the baseline for differential tests and benchmarks

struct PlacementSettings {
    Policy policy = Policy::Galenafold;
    double loadBound = 1.5;               // maximum load per endpoint, as a multiple of the mean load
    double spillStart = 0.8;              // fraction of the bound from which calls begin to spill over
    int candidates = 4;                   // endpoints considered per call, in the chat's order of preference
    int recentChats = 65536;              // number of chats whose endpoint is remembered, for calls without a hint
    double prefillTokensPerSecond = 8000; // speed at which an engine computes a context that it has not cached
    double decodeTokensPerSecond = 50;    // generation speed of one stream
    Duration maxReportAge = std::chrono::seconds(5); // older load reports are ignored
};

struct QueueSettings {
    Policy policy = Policy::Galenafold;
    int capacity = 512;          // maximum number of queued calls per lane
    double reservedSlots = 0.25; // fraction of an endpoint's slots reserved for the short lane; at least one slot
    double backlog = 0.25;       // calls sent beyond an endpoint's slots, as a fraction of the slots
    Tokens quantum = 64;         // deficit round robin: expected tokens per turn for a customer of weight 1
};

struct LimitSettings {
    Policy policy = Policy::Galenafold;
    double floor = 0.2;                                         // fraction of a limit that is split evenly between
                                                                // routers, regardless of demand
    double burstSeconds = 0.25;                                 // capacity of the token bucket, in seconds of the rate
    Duration peerTimeout = std::chrono::milliseconds(2500);     // a peer silent for longer counts as the busiest one
    Duration shareGrowthDelay = std::chrono::milliseconds(600); // before a share grows, so that peers learn of it first
};

struct OutlierDetectionSettings {
    Policy policy = Policy::Galenafold;
    double ejectRatio = 2.5;                                  // ratio of latency to the pool's median above which an
                                                              // endpoint is ejected
    double maxEjectedFraction = 0.25;                         // maximum fraction of a pool ejected at the same time
    Duration probeInterval = std::chrono::milliseconds(1000); // between the fleet's probes of an ejected endpoint
    double hedgeBudget = 0.05;                                // maximum fraction of first attempts that are hedged
    double hedgePercentile = 0.95;                            // quantile of the class's time to first byte; slower
                                                              // calls are hedged
};

struct RetrySettings {
    Policy policy = Policy::Galenafold;
    double budget = 0.1; // retries earned per first attempt
    double burst = 5;    // most retries that can be saved up; also available at the start
    int maxAttempts = 4; // maximum number of attempts per call, including the first
};

struct GossipSettings {
    int bytesPerSecond = 7000;                       // limit on control traffic that this router sends
    Duration round = std::chrono::milliseconds(200); // interval between gossip rounds
    int fanout = 3;                                  // peers contacted per round
    int bytesPerMessage = 1200;                      // maximum size of a message
};

/// Settings of a router that serves under contracts, read from its INI file by `parseSettings` in settings.h.
struct Settings {
    VmId name;                          // of the VM that it runs on
    std::string address = "127.0.0.1";  // IP address to listen on
    DataCentreId dataCentre;            // in which that VM runs
    int httpPort = 0;                   // for callers and operators; 0: any free port
    int peerPort = 0;                   // TCP and UDP, for peers; 0: any free port
    int maxConnections = 10000;         // maximum number of concurrent caller connections
    int logDescriptor = 1;              // file descriptor of the structured log; -1: disabled
    std::size_t maxBodyBytes = 4 << 20; // maximum size of a request body
    double memoryMegabytes = 0;         // of the VM, in MB; 0: not known, taken for 512
    int maxDescriptors = 0;             // open in this process; 0: as many as the system allows
    std::string logAddress;             // HOST:PORT of the platform's log
    std::string vmListAddress;          // HOST:PORT of the platform's list of VMs
    std::string tracePath;              // file for OTLP/JSON spans, one per line; "": disabled
    double traceFraction = 0.01;        // fraction of successful calls that is traced; failed calls always are
    std::uint64_t seed = 1;             // of random choices
    PlacementSettings placement;
    QueueSettings queue;
    LimitSettings limits;
    OutlierDetectionSettings outlierDetection;
    RetrySettings retry;
    GossipSettings gossip;
};

/// Settings of a router on the users' platform, read from its INI file by `parseRouterSettings` in settings.h.
struct RouterSettings {
    VmId name;                                                // identifies this router in log lines
    DataCentreId dataCentre;                                  // in which this router runs
    std::map<DataCentreId, RegionId> regions;                 // of all data centres; none needed where nothing is
                                                              // limited to regions
    std::string callers;                                      // IP:PORT to listen on for callers
    std::string admin;                                        // IP:PORT to listen on for readiness and metrics
    std::string store;                                        // IP:PORT of the platform's store
    bool isFirstStart = false;                                // the whole fleet starts for the first time
    int storePartitions = 12;                                 // of each topic of the store, the same on all routers
    std::string peers;                                        // IP:PORT, UDP and TCP, for the other routers; "": none
    std::vector<std::string> seeds;                           // IP:PORT of the routers that get the first beacons
    double linkMegabits = 0;                                  // rate of the VM's link in Mbit/s; 0: not known. Routers
                                                              // with wide links read the store for others
    double memoryMegabytes = 0;                               // of the VM, in MB; 0: not known, taken for 512. What
                                                              // callers and responses hold is bounded by parts of it
    int maxDescriptors = 0;                                   // open in this process; 0: as many as the system allows
    Duration maxRevocationDelay{};                            // limit on a revoked API key's acceptance; 0: unlimited
    Duration maxDrainDelay = std::chrono::milliseconds(2000); // until a draining replica gets no more requests
    Duration maxRecoveryTime = std::chrono::milliseconds(3000); // until all guarantees hold again after a VM fault
    Duration drainTimeout = std::chrono::seconds(8);            // from SIGTERM to exit; open requests are then aborted
    Duration startupWait = std::chrono::milliseconds(300);      // limit on the wait of requests for the store at start
    Duration reregistrationTimeout = std::chrono::seconds(2);   // for replicas to register again after a store outage
    double retryRatio = 0.2;                                    // extra attempts per first attempt, in a window
    double minRetries = 0;                                      // extra attempts of the fleet per window, besides the
                                                                // ratio; divided among the routers
    Duration retryWindow = std::chrono::seconds(10);            // sliding window of the retry budget
    double loadBound = 2;                                       // maximum load per engine, as multiple of the mean load
};

// [SECTION] Daemon ---------------------------------------------------------------------------------------------------

/// A router that serves under contracts. Several may run in one process, each on its own ports.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon(); ///< Stops all threads.
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    bool start();         ///< Binds the ports and starts the threads. @return false if a port cannot be bound
    int httpPort() const; ///< @return the bound HTTP port
    int peerPort() const; ///< @return the bound port for peers
    bool isReady() const; ///< @return true while contracts and VMs are known and it does not drain
    bool waitReady(Instant deadline) const; ///< Waits until ready. @return false on timeout
    void beginDrain();                      ///< Reports the router as not ready. Calls are still accepted and served.
    void finishDrain(); ///< Waits until no more calls arrive and all are finished, then stops accepting.
    std::int64_t controlBytesSent() const; ///< @return bytes sent to peers since the start

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace galenafold

/// Hash of an Id, for unordered containers.
template<typename Tag>
struct std::hash<galenafold::Id<Tag>> {
    std::size_t operator()(const galenafold::Id<Tag> &id) const { return std::hash<std::string>()(id.text); }
};
