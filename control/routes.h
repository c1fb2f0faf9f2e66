// The desired state in the form that the data path reads: hosts, routes, services, client accounts, limits. Immutable
// once built.
//
// Sections of this file: Routes, Services, Accounts, Table.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace galenafold
{

using ServiceId = Id<struct ServiceTag>;   // a group of replicas that routes send requests to
using RouteId = Id<struct RouteTag>;       // a route's name
using AccountId = Id<struct AccountTag>;   // a client account
using EndpointId = Id<struct EndpointTag>; // an endpoint (replica), by the name that it registers
using DesiredStateVersion = std::int64_t;  // of the desired state; increases, but not always by one

// Routes

enum class RequestKind : std::uint8_t {
    Idempotent,    // safe to run more than once
    NonIdempotent, // must run at most once
    Stream,        // a stream of events; may run more than once only if resumable
};

/// One service of a route and its share of the route's requests (weighted traffic split).
struct RouteTarget {
    ServiceId service;
    double weight = 1; // relative to the route's other targets
};

struct Route {
    RouteId id;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(30);         // maximum time that a caller waits for a response
    Duration latencyObjective = std::chrono::seconds(1); // latency target of the response, or of a stream's first event
    Duration eventGapObjective{};                        // target for the gap between a stream's events
    int priority = 5;                                    // 0: highest
    int maxAttempts = 1;                                 // maximum number of replicas that a request is sent to
    bool isPublic = false;                               // needs no API key
    bool hasPrefixAffinity = false;       // requests name their prompt's parts, for prefix-affinity routing
    bool isResumable = false;             // a stream may continue on another replica
    std::vector<RegionId> allowedRegions; // of replicas that its requests may reach; empty: any
    std::vector<RouteTarget> targets;

    /// @return true if a request may run more than once
    bool isRetryable() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable); }
};

/// Weighted choice by the hash of the request id, so that a request stays with the same service, also in its retries
/// inside the router. @param route has a target at least
const ServiceId &selectService(const Route &route, const RequestId &request);

// Services

/// What replicas take while they warm up.
struct WarmUpSpec {
    Duration duration{};  // after a replica's start
    double perSecond = 0; // requests that a replica takes from all routers together meanwhile; 0: any number
};

struct ServiceSpec {
    ServiceId id;
    std::string healthPath;
    int maxConnections = 0; // accepted by one replica in total; 0: unspecified
    int slots = 0;          // requests that an engine runs concurrently; 0: a plain service
    Tokens cacheTokens = 0; // prefix cache capacity of one engine
    bool isEngine = false;
    WarmUpSpec warmUp;
};

// Accounts

struct ClientAccount {
    AccountId id;
    std::optional<int> priority;          // overrides the route's priority
    std::vector<RegionId> allowedRegions; // like a route's; both bind
};

/// Limits on the size of a caller's requests and on the time to send them.
struct CallerLimits {
    std::uint32_t headBytes = 16384;                 // request line and header fields
    std::uint64_t bodyBytes = 4U << 20U;             // request body
    Duration headTimeout = std::chrono::seconds(3);  // from the first byte of a request to the end of its head
    Duration idleTimeout = std::chrono::seconds(15); // without data, between requests or within a body
};

// Table

/// Finds the route of a request and the account of an API key.
class RouteTable
{
public:
    /// Adds a route. It replaces an earlier one with the same host and prefix.
    void addRoute(Route route);

    /// @return the route of the host with the longest prefix of the path, or null
    const Route *find(std::string_view host, std::string_view path) const;

    /// @return the account that an API key belongs to, or null
    const ClientAccount *account(const std::string &apiKey) const;

    DesiredStateVersion version = 0;
    CallerLimits limits;
    std::unordered_map<ServiceId, ServiceSpec> services;
    std::vector<ClientAccount> accounts;
    std::unordered_map<std::string, std::size_t> accountIndexByKey; // by API key; index into `accounts`
    bool requiresApiKeys = false; // false: no accounts declared, all routes are public

private:
    std::unordered_map<std::string, std::vector<Route>> m_hosts; // by lower-case host; longest prefix first
};

} // namespace galenafold
