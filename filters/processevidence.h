// Decides whether a replica's process has outlived one of its connections, from what connection attempts tell.
//
// Load pattern: processes of replicas crash, or are stopped, while they write responses with neither a length nor
// chunks. The kernel closes a process's connections in good order, so the end of such a response does not tell the end
// of the response from that of the process. A process that has ended refuses connections; but while the kernel closes
// its sockets one by one, its listener may still take some, which are reset a moment later. So does a replica at its
// limit of connections, which lives: only a second attempt, a moment later, tells the two apart.
#pragma once

#include <cstdint>
#include <optional>

namespace galenafold
{

enum class ProcessState : std::uint8_t {
    Lives,   // it has outlived the connection
    Ended,   // it has ended with the connection, or shortly afterwards
    Unknown, // the replica answers nothing
};

const char *text(ProcessState state); ///< @return the state's name in logs and metrics

/// How a connection attempt at a replica ended.
enum class ConnectOutcome : std::uint8_t {
    Kept,     // established, and still open a moment later
    Dropped,  // established, and closed or reset within that moment
    Refused,  // nothing listens at the address
    NoAnswer, // neither accepted nor refused in time, or the network told an error
};

/// What the connection attempts after the end of one connection tell.
class ProcessEvidence
{
public:
    /// Takes the outcome of an attempt. @return nothing if another one must be made
    std::optional<ProcessState> onConnect(ConnectOutcome outcome);

private:
    bool m_wasDropped = false; // an earlier attempt was
};

} // namespace galenafold
