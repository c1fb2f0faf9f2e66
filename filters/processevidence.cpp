// Decides whether a replica's process has outlived one of its connections.
#include "filters/processevidence.h"

namespace galenafold
{

const char *text(ProcessState state)
{
    switch (state) {
    case ProcessState::Lives:
        return "lives";
    case ProcessState::Ended:
        return "ended";
    case ProcessState::Unknown:
        break;
    }
    return "unknown";
}

std::optional<ProcessState> ProcessEvidence::onConnect(ConnectOutcome outcome)
{
    switch (outcome) {
    case ConnectOutcome::Kept:
        return ProcessState::Lives;
    case ConnectOutcome::Refused:
        return ProcessState::Ended;
    case ConnectOutcome::NoAnswer:
        return ProcessState::Unknown;
    case ConnectOutcome::Dropped:
        break;
    }
    if (m_wasDropped) {
        return ProcessState::Lives; // its listener has outlived the connection by more than the kernel takes
    }
    m_wasDropped = true;
    return std::nullopt;
}

} // namespace galenafold
