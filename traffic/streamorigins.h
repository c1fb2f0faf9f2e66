// Where streams began: what this router knows, and what it finds out when a caller takes a stream up again.
#pragma once

#include "control/originexchange.h"
#include "net/timer.h"

#include <asio/io_context.hpp>

namespace galenafold
{

/// Runs an `OriginExchange` on the traffic thread's event loop, with the clock there. Used on that thread only.
class StreamOrigins
{
public:
    /// @param partitions of the store's topics, by which streams are divided among routers
    StreamOrigins(asio::io_context &io, int partitions);

    void start(std::uint32_t ownAddress); ///< Takes the hooks over. @param ownAddress IPv4; 0: there are no peers

    /// The first event of a stream was passed on.
    void note(Instant now, const ServiceId &service, const RequestId &request, VersionHash version);

    /// Finds out at which version a stream began.
    /// @param request that brought its first event
    /// @param onAnswer called once, maybe at once
    void find(Instant now, const ServiceId &service, const RequestId &request, const OriginExchange::Answer &onAnswer);

    /// Looks which routers are there and at which services streams began at several versions. Called once a second.
    void update(Instant now, const SoftwareVersions &versions);

    void onStarted(Instant now, std::uint32_t router); ///< A router is heard that has started.
    void onMessage(Instant now, std::uint32_t from, const OriginMessage &message);

    /// @param origins what the store holds of a partition; nothing: it could not be read
    void setStored(Instant now, int partition, const std::optional<std::vector<StreamOrigin>> &origins);

    void addMetrics(std::string &out) const; ///< Appends them in Prometheus text format.

    // Hooks, set before `start`.

    /// @return IPv4 addresses of the other routers that are heard lately
    std::function<std::vector<std::uint32_t>()> routers = [] { return std::vector<std::uint32_t>(); };

    /// Hands a partition's origins to the store that were not handed to it before: five times a second at most.
    std::function<void(int partition, std::vector<StreamOrigin>)> onSave;

    /// Asks for what the store holds of a partition; `setStored` answers. Unset: there is no store.
    std::function<void(int partition)> onLoad;

    std::function<void(std::uint32_t to, const OriginMessage &)> onSend = [](std::uint32_t, const OriginMessage &) {};

    /// Asks for bytes that the router's other messages do not need now. @return true if they may be sent
    std::function<bool(Instant, int bytes)> borrow = [](Instant, int) { return false; };

private:
    void armTimer();

    OriginExchange m_exchange;
    DeadlineTimer m_timer;
    std::optional<Instant> m_wakesAt; // nothing: the timer is not set
};

const char *text(OriginSource source); ///< @return the source's name in log lines

} // namespace galenafold
