// Checks whether a replica's process has outlived a connection to it that has ended.
//
// Another connection to the same process that is still open a moment later tells that it lives, and costs nothing. Only
// where there is none, a connection is opened, which carries the next request if the replica takes it. What cannot be
// told: a process that accepts connections again under the same address by then.
#pragma once

#include "filters/processevidence.h"
#include "traffic/endpointconnection.h"

namespace galenafold
{

/// What has ended.
struct EndedConnection {
    EndpointId endpoint;
    asio::ip::tcp::endpoint address;
    Instant lastReceivedAt{};    // when the replica was last heard on it
    bool mayOpenForReuse = true; // false: the replica wants no more requests
};

/// What was found of the replica's process.
struct ProcessCheckResult {
    ProcessState state = ProcessState::Unknown;
    int connects = 0; // connection attempts that were made; 0: another connection told it
};

/// @param onResult called once on the event loop, later than this call
void checkProcess(asio::io_context &io, ConnectionPool &pool, const EndedConnection &ended,
                  std::function<void(const ProcessCheckResult &)> onResult);

} // namespace galenafold
