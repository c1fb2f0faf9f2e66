// Load beacons between routers: small UDP datagrams in Cap'n Proto's packed encoding.
//
// They are not sent over Cap'n Proto RPC: they need no response, may be lost, and only the newest one counts.
#pragma once

#include "control/gossip.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

namespace galenafold
{

constexpr std::size_t maxListedPeers = 128; // per beacon

/// Serialises a beacon in Cap'n Proto's packed encoding. Only the first 256 loads and `maxListedPeers` peers are
/// included.
std::string encodeBeacon(const LoadBeacon &beacon);

/// Parses a received datagram, which is untrusted input.
/// @param beacon must be empty; its contents are unspecified on failure
/// @return false if the bytes are not a valid beacon
bool decodeBeacon(const std::string &bytes, LoadBeacon &beacon);

/// @return size in bytes of a datagram with its IPv4 and UDP headers
int datagramBytes(const std::string &payload);

/// Called for each valid beacon with its source address. @see BeaconSocket
using BeaconHandler = std::function<void(const LoadBeacon &, const asio::ip::udp::endpoint &)>;

/// Called for each datagram on the beacons' port that is no beacon but marked as another message.
using DatagramHandler = std::function<void(const std::string &, const asio::ip::udp::endpoint &)>;

/// UDP socket that sends and receives beacons on one port. Not thread-safe: used on the thread of its event loop.
class BeaconSocket
{
public:
    /// @param onBeacon called on the event loop for each valid beacon
    BeaconSocket(asio::io_context &io, BeaconHandler onBeacon);

    /// Binds the socket and starts to receive.
    /// @param address local IP address
    /// @return false if the address is invalid or the port is in use
    bool open(const std::string &address, int port);

    /// Sends one datagram. Errors are ignored: beacons may be lost.
    /// @param address IP address of the receiver
    void send(const std::string &payload, const std::string &address, int port);

    std::function<bool(const std::string &)> isOther; // tells what is for `onOther`; null: all are beacons
    DatagramHandler onOther;

    /// @return bytes sent since the start, with IPv4 and UDP headers
    std::int64_t bytesSent() const { return m_bytesSent; }

private:
    void receive();
    void onDatagram(const std::string &bytes);

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;  // of the datagram in `m_buffer`
    std::array<char, 4096> m_buffer{}; // receive buffer
    BeaconHandler m_onBeacon;
    std::int64_t m_bytesSent = 0;
};

} // namespace galenafold
