// Checks whether a replica still accepts connections.
#pragma once

#include "net/timer.h"

#include <asio/ip/tcp.hpp>
#include <functional>

namespace galenafold
{

/// Opens a connection and closes it at once.
/// @param timeout after which the address counts as not reachable
/// @param onResult called once on the event loop, with true if the connection was established
void probeConnect(asio::io_context &io, const asio::ip::tcp::endpoint &address, Duration timeout,
                  std::function<void(bool isReachable)> onResult);

} // namespace galenafold
