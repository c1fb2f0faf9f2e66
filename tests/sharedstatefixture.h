// Test fixture: what routers share in the platform's store, as one router has it, on a fake of the store.
#pragma once

#include "runtime/sharedstate.h"
#include "tests/nodefixture.h"

namespace galenafold
{

struct SharedStateFixture {
    /// Runs the router's side until the condition is true or `eventTimeout` has passed. @return true if it is true
    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant deadline = clockNow() + eventTimeout;
        while (!condition() && clockNow() < deadline) {
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }
    static EventLogSettings withoutOutput()
    {
        EventLogSettings settings;
        settings.fd = -1;
        return settings;
    }

    struct StartedStore : FakeTopicStore {
        StartedStore() { start(); }
    };

    StartedStore store;
    asio::io_context io;
    EventLog log{withoutOutput()};
    SharedState state{io, store.address(), 0, log, 1};
};

} // namespace galenafold
