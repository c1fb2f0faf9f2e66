// What galenafold-load sends, read from an INI file: a fleet, customers, classes of calls, and events.
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
    double weight = 1;
    double rate = 10000;        // contract, calls a second
    double concurrency = 10000; // contract
    int chats = 100;            // returning chats
    double zipf = 0.9;          // skew of the chats
};

// Classes

struct LoadClass {
    std::string name;
    std::string customer; // empty: shared out evenly over all customers
    std::string lane = "short";
    std::string service; // empty: a chat completion
    double rate = 1;     // arrivals a second
    double promptTokens = 50;
    double promptSpread = 0; // prompts vary up to this factor, fixed for a chat
    int output = 8;          // tokens
    bool isStream = true;
    bool isChat = false;  // returns to the customer's chats
    bool hasHint = true;  // callers return the hint of their last answer
    bool isKeyed = false; // with an idempotency key
    Duration patience = std::chrono::seconds(30);
    double surgeFactor = 1; // of the rate
    Duration surgeAt{};
    Duration surgeFor{};
};

// Events

struct LoadEvent {
    std::string kind = "slow"; // slow, replace, flap, kill
    Duration at{};
    Duration lasts{};
    int index = 0;      // of the engine, or of the daemon for kill
    double factor = 10; // of slow
};

// Plan

struct LoadPlan {
    FleetPlan fleet;
    double seconds = 10;
    double warmup = 2; // seconds, not counted
    int seed = 1;
    std::vector<std::string> routers; // HOST:PORT of a running fleet; empty: one of our own
    std::vector<std::string> keys;    // API keys for a running fleet, by order of customers
    std::vector<LoadCustomer> customers;
    std::vector<LoadClass> classes;
    std::vector<LoadEvent> events;
};

/// Reads a plan. Faults are added to `faults`.
LoadPlan parseLoadPlan(const std::string &file, const std::string &text, std::vector<IniError> &errors);

/// Sets every part's policy, for comparisons.
void setPolicy(Settings &settings, Policy policy);

/// @return the contract that a customer of the plan gets in our own fleet
std::string contractFor(const LoadPlan &plan, const LoadCustomer &customer);

/// @return the API key of a customer in our own fleet
std::string keyOf(const LoadCustomer &customer);

} // namespace galenafold
