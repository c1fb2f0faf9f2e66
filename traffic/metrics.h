// What the traffic thread counts, as Prometheus text: ended calls by kind, client account and reason, latencies,
// retries.
//
// Sections of this file: Histogram, Figures.
//
// Lives on the traffic thread; other threads ask it for the text. Series are bounded in number.
#pragma once

#include "control/routes.h"

#include <boost/histogram.hpp>
#include <map>

namespace galenafold
{

// Histogram

/// Times in fixed buckets that only grow, 5 ms to 20 s.
class TimeBuckets
{
public:
    TimeBuckets();
    void add(Duration time);

    /// Adds the series NAME_bucket, NAME_sum and NAME_count. @param labels without braces; "" for none
    void write(std::string &out, const std::string &name, const std::string &labels) const;

private:
    boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<>>> m_histogram;
    double m_sumSeconds = 0;
    std::int64_t m_count = 0;
};

// Figures

/// One request, as it ended for its caller.
struct EndedCall {
    std::optional<CallKind> kind; // nothing: no route was found
    AccountId account;            // empty: none
    std::string_view outcome;     // served, refused, failed, broken, gone
    std::string_view reason;      // "" for served
    Duration took{};
    std::optional<Duration> first;      // to the first bytes
    std::optional<Duration> longestGap; // between events of a stream
    int sent = 0;                       // attempts
};

class TrafficFigures
{
public:
    void onEnded(const EndedCall &call);
    void onRetryDenied(const ServiceId &service) { ++m_retriesDenied[service]; }

    std::string text() const; ///< @return Prometheus text exposition

private:
    struct KindFigures {
        TimeBuckets took;
        TimeBuckets first;
        TimeBuckets gap;
        std::int64_t attempts = 0;
    };

    std::map<std::string, KindFigures> m_kinds;     // by kind
    std::map<std::string, std::int64_t> m_ended;    // by labels: kind, outcome, reason
    std::map<std::string, std::int64_t> m_accounts; // by labels: account, outcome
    std::map<ServiceId, std::int64_t> m_retriesDenied;
};

/// Adds one line "galenafold_NAME{LABELS} VALUE". @param labels without braces; "" for none
void writeMetric(std::string &out, std::string_view name, std::string_view labels, double value);

/// @return NAME="VALUE", with what Prometheus wants escaped
std::string label(std::string_view name, std::string_view value);

const char *text(CallKind kind); ///< @return the kind, as metrics name it

} // namespace galenafold
