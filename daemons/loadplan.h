// The load plan of galenafold-load, read from an INI file: a fleet, customers, classes of calls, and timed events.
//
// Sections of this file: Customers, Classes, Events, Plan.
#pragma once

#include "fakes/fleet.h"
#include "galenafold/ini.h"

namespace galenafold
{

// Customers

struct LoadCustomer {
    std::string name;
    double weight = 1;          // share in the contract, relative to other customers
    double rate = 10000;        // rate limit in the contract, calls/s
    double concurrency = 10000; // concurrency limit in the contract, calls
    int chats = 100;            // number of chats that the customer's calls belong to
    double zipfExponent = 0.9;  // skew of the calls over the chats; 0 is uniform
};

// Classes

struct LoadClass {
    std::string name;
    std::string customer;       // empty: spread uniformly over all customers
    std::string lane = "short"; // short or long
    std::string service;        // empty: chat completions
    double rate = 1;            // arrivals/s
    double promptTokens = 50;   // tokens of the smallest prompt
    double promptSpread = 0;    // prompts have up to (1 + this) * promptTokens; fixed for a chat
    int outputTokens = 8;       // max_tokens, and the expected output in the contract
    bool isStream = true;
    bool isChat = false;                         // calls belong to the customer's chats
    bool sendsHint = true;                       // sends the affinity hint of the chat's last response
    bool hasIdempotencyKey = false;              // sends an idempotency key; service calls only
    Duration timeout = std::chrono::seconds(30); // from arrival to deadline, in the contract
    double surgeFactor = 1;                      // multiplies the rate during the surge
    Duration surgeStart{};                       // from the start of the run
    Duration surgeDuration{};
};

// Events

struct LoadEvent {
    /// slow: an engine works more slowly; replace: a new engine replaces one; flap: the VM list leaves out a running
    /// engine; kill: a daemon is killed and a new one started
    std::string kind = "slow";
    Duration at{};       // from the start of the run
    Duration duration{}; // of slow and flap
    int index = 0;       // of the engine; kill: of the daemon
    double factor = 10;  // slow: multiplies the duration of the engine's work
};

// Plan

struct LoadPlan {
    FleetPlan fleet;
    double seconds = 10; // duration of the run, including the warm-up
    double warmup = 2;   // s, excluded from the statistics
    int seed = 1;
    std::vector<std::string> routers; // HOST:PORT of a running fleet; empty: start a fleet in this process
    std::vector<std::string> apiKeys; // for a running fleet, in the order of `customers`
    std::vector<LoadCustomer> customers;
    std::vector<LoadClass> classes;
    std::vector<LoadEvent> events;
};

/// Parses a plan. @param file name for error messages @param text of the file
/// @param errors errors found are appended
LoadPlan parseLoadPlan(const std::string &file, const std::string &text, std::vector<IniError> &errors);

/// Sets one policy for placement, queue, limits, outlier detection and retries, to compare whole policies.
void setPolicy(Settings &settings, Policy policy);

/// @return the contract of a customer, as INI text, for a fleet that this process starts
std::string contractFor(const LoadPlan &plan, const LoadCustomer &customer);

/// @return the API key of a customer in a fleet that this process starts
std::string apiKeyFor(const LoadCustomer &customer);

} // namespace galenafold
