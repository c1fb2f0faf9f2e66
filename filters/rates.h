// Smoothed rates and times that decisions under load are based on. Sections of this file: Sum, Response time.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

// Sum

/// Sum that decays exponentially: what was added lately counts most.
class DecayingSum
{
public:
    explicit DecayingSum(Duration window)
        : m_window(window)
    {
    }
    void add(Instant now, double amount);
    double sum(Instant now) const; ///< @return the amounts added, each weighted by its age

    /// @return amount per second, over the window or over the time since the first amount if that is shorter; 0 if
    /// nothing was added lately
    double perSecond(Instant now) const;

private:
    Duration m_window;
    double m_sum = 0; // at `m_updatedAt`
    Instant m_startedAt{};
    Instant m_updatedAt{};
};

// Response time

/// Time from the start of an attempt to the first bytes of its response: smoothed mean and mean deviation, from which
/// follows a time that few attempts exceed, as TCP sets its retransmission timer.
class ResponseTimeEstimate
{
public:
    void add(Duration time);
    Duration expected() const; ///< @return time that few attempts exceed; 0: not known

private:
    double m_mean = 0;      // seconds
    double m_deviation = 0; // seconds
    bool m_isKnown = false;
};

} // namespace galenafold
