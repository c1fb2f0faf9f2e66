// The desired state as the data path uses it: hosts, routes, services, client accounts, limits. Immutable once built.
//
// Sections of this file: Routes, Services, Accounts, Table.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace galenafold
{

using ServiceId = Id<struct ServiceTag>;   // what a route sends its requests to
using RouteId = Id<struct RouteTag>;       // a route's name
using AccountId = Id<struct AccountTag>;   // a client account
using EndpointId = Id<struct EndpointTag>; // a replica, as it names itself
using DesiredStateVersion = std::int64_t;  // of the desired state; grows, not in even steps

// Routes

enum class CallKind : std::uint8_t {
    Idempotent,    // may run any number of times
    NonIdempotent, // runs once at most
    Stream,        // a series of events; idempotent only where it may be resumed
};

/// One service that a route may use, and how much of the route's requests go there.
struct RouteTarget {
    ServiceId service;
    double weight = 1; // against the route's other targets
};

struct Route {
    RouteId id;
    std::string host;
    std::string prefix; // begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    Span timeout = std::chrono::seconds(30);         // longest that a caller is kept waiting
    Span latencyObjective = std::chrono::seconds(1); // an answer (of a stream: its first event) is on time within this
    Span eventGapObjective{};                        // longest pause between events of a stream that is still on time
    int priority = 5;                                // 0 first
    int maxAttempts = 1;                             // most replicas to which one request may be sent
    bool isPublic = false;                           // no API key needed
    bool hasPrefixAffinity = false;                  // requests name their prompt's parts
    bool isResumable = false;                        // a stream may go on at another replica
    std::vector<RouteTarget> targets;

    /// @return true if a request may run more than once
    bool isRetryable() const { return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable); }
};

// Services

struct ServiceSpec {
    ServiceId id;
    std::string healthPath;
    int maxConnections = 0; // that one replica takes, from all callers; 0: not said
    int slots = 0;          // requests that an engine runs at once; 0: a plain service
    Tokens cacheTokens = 0; // prompt memory of one engine
    bool isEngine = false;
};

// Accounts

struct ClientAccount {
    AccountId id;
    std::optional<int> priority; // goes before the route's
};

/// Bounds on what a caller may send, and how long it may take.
struct CallerLimits {
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
    Span headTimeout = std::chrono::seconds(3);  // from a request's first byte to the end of its head
    Span idleTimeout = std::chrono::seconds(15); // without a byte, between requests and inside a body
};

// Table

class RouteTable
{
public:
    /// Takes a route in. A later one for the same host and prefix replaces an earlier one.
    void addRoute(Route route);

    /// @return the route with the longest prefix that begins the path, or nothing
    const Route *find(std::string_view host, std::string_view path) const;

    /// @return the account that holds an API key, or nothing
    const ClientAccount *account(const std::string &apiKey) const;

    DesiredStateVersion version = 0;
    CallerLimits limits;
    std::unordered_map<ServiceId, ServiceSpec> services;
    std::vector<ClientAccount> accounts;
    std::unordered_map<std::string, std::size_t> accountIndexByKey; // index into `accounts`
    bool requiresApiKeys = false; // false: no account is declared, every call is public

private:
    std::unordered_map<std::string, std::vector<Route>> m_hosts; // by lower-case host; longest prefix first
};

} // namespace galenafold
