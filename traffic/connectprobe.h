// Connection attempts that ask whether a replica still accepts connections.
#pragma once

#include "filters/processevidence.h"
#include "net/timer.h"

#include <asio/ip/tcp.hpp>
#include <functional>

namespace galenafold
{

/// Called once on the event loop. The connection is open if the outcome is `Kept`, and closed afterwards unless it is
/// moved from.
using ConnectProbeHook = std::function<void(ConnectOutcome outcome, asio::ip::tcp::socket &connection)>;

/// Opens a connection and sees whether it stays open.
/// @param answerTimeout after which the address counts as not answering
/// @param keepTime for which the connection must stay open
void probeConnect(asio::io_context &io, const asio::ip::tcp::endpoint &address, Duration answerTimeout,
                  Duration keepTime, ConnectProbeHook onResult);

} // namespace galenafold
