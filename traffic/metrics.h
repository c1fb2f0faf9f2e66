// Metrics of the traffic thread in Prometheus text format: completed requests by kind, outcome, reason and client
// account, latencies, and denied retries.
//
// Sections of this file: Histogram, Metrics.
//
// Not thread-safe: owned by the traffic thread, from which other threads request the text. The number of series by
// account is bounded.
#pragma once

#include "control/routes.h"

#include <boost/histogram.hpp>
#include <map>

namespace galenafold
{

// Histogram

/// Cumulative histogram of durations with fixed buckets from 5 ms to 20 s.
class DurationHistogram
{
public:
    DurationHistogram();
    void add(Duration time);

    /// Appends the series NAME_bucket, NAME_sum and NAME_count, in seconds. @param labels without braces; "" for none
    void write(std::string &out, const std::string &name, const std::string &labels) const;

private:
    boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<>>> m_histogram;
    double m_sumSeconds = 0;
    std::int64_t m_count = 0;
};

// Metrics

/// Result of one request, as its caller saw it.
struct CompletedRequest {
    std::optional<RequestKind> kind;         // nothing: no route matched
    AccountId account;                       // empty: none
    std::string_view outcome;                // served, refused, failed, broken, gone
    std::string_view reason;                 // name of the EndReason; "" if served
    Duration duration{};                     // from the request's first byte to the end of the response
    std::optional<Duration> timeToFirstByte; // nothing: no replica's response was relayed
    std::optional<Duration> longestGap;      // between events of a stream; nothing: none was relayed
    bool isCloseDelimited = false;           // only the end of its connection told that the stream is complete
    int attempts = 0;                        // attempts sent to replicas
};

/// Counters and histograms of the traffic thread.
class TrafficMetrics
{
public:
    void onCompleted(const CompletedRequest &request);
    void onRetryDenied(const ServiceId &service) { ++m_retriesDenied[service]; }

    /// The end of a response was withheld until its replica's process had been checked.
    /// @param state of the process @param connects connection attempts that the check has made
    void onEndWithheld(const std::string &state, int connects);

    std::string text() const; ///< @return all series in Prometheus text format

private:
    struct KindMetrics {
        DurationHistogram duration; // from the request's first byte to the end of the response
        DurationHistogram timeToFirstByte;
        DurationHistogram longestGap; // between events of a stream
        std::int64_t attempts = 0;
    };

    std::map<std::string, KindMetrics> m_kinds;      // by request kind
    std::map<std::string, std::int64_t> m_completed; // by labels: kind, outcome, reason
    std::map<std::string, std::int64_t> m_accounts;  // by labels: account, outcome
    std::map<ServiceId, std::int64_t> m_retriesDenied;
    std::int64_t m_framedStreams = 0;                   // served, with a length or chunks
    std::int64_t m_closeDelimitedStreams = 0;           // served, with neither
    std::map<std::string, std::int64_t> m_endsWithheld; // by state of the replica's process
    std::int64_t m_endsWithheldConnects = 0;
};

/// Appends one line "galenafold_NAME{LABELS} VALUE". @param labels without braces; "" for none
void writeMetric(std::string &out, std::string_view name, std::string_view labels, double value);

/// @return NAME="VALUE" with quotes and backslashes escaped as Prometheus requires; line feeds become spaces
std::string label(std::string_view name, std::string_view value);

const char *text(RequestKind kind); ///< @return the kind's name in metrics

} // namespace galenafold
