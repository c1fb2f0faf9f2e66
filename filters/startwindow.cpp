// Additive increase and proportional decrease of the requests in progress.
#include "filters/startwindow.h"

#include <algorithm>

namespace galenafold
{

constexpr double crowdedWaitingShare = 0.15; // of the slots: replicas have no room, and routers do not know
constexpr double targetWaitingShare = 0.05;  // of the slots: enough to start as others end, and hardly a delay
constexpr double idleWaitingShare = 0.01;    // of the slots: below it, replicas have room for much more
constexpr double reportWeight = 0.1;         // of the newest report; one busy replica does not make a service busy
constexpr int minReports = 8;                // that tell of the last decrease, before the next
constexpr double margin = 0.97;              // factor of a decrease, beyond what the reports ask for
constexpr double maxDecrease = 0.5;          // factor; a few replicas' reports may tell too much
constexpr double minIncrease = 0.25;         // requests, for as many responses as the window holds
constexpr double increase = 0.03;            // of the window, for as many responses as it holds
constexpr double idleFactor = 4;             // on the increase while hardly anything waits at replicas
constexpr double unusedFactor = 2; // a window that is larger by this factor than what is in use limits nothing
constexpr double minWindow = 1;
constexpr auto decreaseInterval = std::chrono::milliseconds(300); // about the time from a start to its response

bool StartWindow::mayStart(bool isOverShare) const
{
    return !m_isLimited || m_inProgress - (isOverShare ? 0 : m_inProgressOverShare) < m_window;
}

void StartWindow::onSent(bool isOverShare)
{
    ++m_inProgress;
    m_inProgressOverShare += isOverShare ? 1 : 0;
}

void StartWindow::onEnded(bool isOverShare)
{
    m_inProgress = std::max(0, m_inProgress - 1);
    m_inProgressOverShare = std::max(0, m_inProgressOverShare - (isOverShare ? 1 : 0));
}

void StartWindow::onReport(Instant now, int waiting, int slots)
{
    if (slots <= 0) {
        return;
    }
    ++m_reports;
    m_waitingShare += reportWeight * (static_cast<double>(waiting) / slots - m_waitingShare);
    if (m_waitingShare > (m_isLimited ? targetWaitingShare : crowdedWaitingShare)) {
        narrow(now);
    } else if (m_isLimited) {
        const double factor = m_waitingShare < idleWaitingShare ? idleFactor : 1;
        m_window += factor * std::max(minIncrease / m_window, increase);
        m_isLimited = m_window < unusedFactor * std::max(minWindow, static_cast<double>(m_inProgress));
    }
}

/// Replicas hold 1 + the waiting share, in multiples of their slots. If each router takes as much less as that is too
/// much, the target is met.
void StartWindow::narrow(Instant now)
{
    if (now < m_nextDecreaseAt || m_reports < minReports) {
        return;
    }
    const double used = m_isLimited ? std::min<double>(m_window, m_inProgress) : m_inProgress;
    const double factor = margin * (1 + targetWaitingShare) / (1 + m_waitingShare);
    m_window = std::max(minWindow, std::max(maxDecrease, factor) * used);
    m_isLimited = true;
    m_waitingShare = targetWaitingShare;
    m_nextDecreaseAt = now + decreaseInterval;
    m_reports = 0;
}

} // namespace galenafold
