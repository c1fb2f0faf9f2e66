// Beacons between daemons: small datagrams. Where Cap'n Proto RPC does not fit (one-way, lossy,
// the newest counts), its packed messages still do.
#pragma once

#include "control/gossip.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

namespace galenafold
{

/// @return a beacon's packed form
std::string encodeBeacon(const LoadBeacon &beacon);

/// Untrusted input. @return false when it is no beacon.
bool decodeBeacon(const std::string &bytes, LoadBeacon &beacon);

/// @return bytes that a datagram takes on the wire
int datagramBytes(const std::string &payload);

/// @see BeaconSocket
using BeaconHook = std::function<void(const LoadBeacon &, const asio::ip::udp::endpoint &)>;

/// Sends and receives on one port. All on one thread.
class BeaconSocket
{
public:
    /// @param onBeacon the beacon, and the address that it came from
    BeaconSocket(asio::io_context &io, BeaconHook onBeacon);

    bool open(const std::string &address, int port); ///< @return false: the port is taken
    void send(const std::string &payload, const std::string &address, int port);
    std::int64_t bytesSent() const { return m_bytesSent; }

private:
    void receive();

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
    std::array<char, 2048> m_buffer{};
    BeaconHook m_onBeacon;
    std::int64_t m_bytesSent = 0;
};

} // namespace galenafold
