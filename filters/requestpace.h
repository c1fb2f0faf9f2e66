// Limits the rate of requests that one router sends to a replica that tells no load.
//
// Load pattern: a few replicas with a few slots each get more requests than they can run, from a hundred routers. Their
// queues fill, and nearly every answer is late. No router sees the queues, and counts told between the routers are
// older than the requests last. What tells of a queue are refusals and answers that take longer than usual. While it
// sees these, each router lowers its rate by a factor, at most once for the requests of one rate; otherwise it raises
// the rate, ever faster, until its own requests no longer need it (additive increase, multiplicative decrease, as in
// TCP). So the sum over the routers follows what the replica can run, with a short queue. A router of a large fleet
// sends a request a second or less, and would double its rate before it hears what that did: it raises the rate more
// slowly.
//
// Until a replica is found congested there is no limit.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>

namespace galenafold
{

/// Not thread-safe: used on the traffic thread.
class RequestPace
{
public:
    bool mayStart(Instant now) const; ///< @return true if a request may be sent now
    void onStarted(Instant now);      ///< A request is sent.

    /// An answer was received. @param took time since the request was sent
    /// @param objective time within which the answer is of full use; 0: none
    /// @param minRate requests per second that are sent in any case
    void onAnswered(Instant now, Duration took, Duration objective, double minRate);

    void onRefused(Instant now, double minRate); ///< The replica refused a request. @param minRate as above

    /// @return requests per second that may be sent; nothing if there is no limit
    std::optional<double> limit(Instant now) const;

private:
    void slowDown(Instant now, Duration took, double minRate);
    void noteUsual(Instant now, double seconds);
    double rateAt(Instant now) const;
    double tokensAt(Instant now) const;

    double m_sendRate = 0;     // requests per second that were sent, smoothed
    Instant m_lastStart{};     // of a request
    bool m_isLimited = false;  // the replica was found congested
    double m_minRate = 0;      // requests per second that are sent in any case
    double m_rate = 0;         // limit at `m_slowedAt`, in requests per second
    Instant m_slowedAt{};      // when the limit was last lowered
    double m_tokens = 0;       // requests that may be sent at `m_lastStart`
    double m_usualSeconds = 0; // shortest time of recent answers; 0: none yet
    Instant m_usualUntil{};    // a longer time replaces `m_usualSeconds` from then on
};

} // namespace galenafold
