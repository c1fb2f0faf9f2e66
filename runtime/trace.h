// Traces of calls: one span per hop and filter, with the reasons for each decision. Written as OTLP/JSON, one span a
// line.
//
// Tail sampling: traces marked with an error are always kept, others with the configured probability. The most recent
// traces stay in memory for `galenafold explain`.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <fstream>
#include <mutex>

namespace galenafold
{

/// One attribute of a span.
struct SpanAttribute {
    std::string name;
    std::string value;
};

struct SpanRecord {
    std::string name; // filter or hop
    Instant begin{};
    Instant end{};
    std::vector<SpanAttribute> attributes; // reasons for the decision
};

/// All spans of one call. Used on the traffic thread only.
class CallTrace
{
public:
    /// @param traceparent the caller's W3C trace context; if it is missing or malformed, a new trace begins
    /// @param seed of the daemon, mixed into the generated ids
    CallTrace(const RequestId &request, const std::string &traceparent, std::uint64_t seed);

    void add(const SpanRecord &span);
    void markError(); ///< The trace is kept whether it is sampled or not.

    std::string traceparent() const; ///< @return header value for the next hop
    const RequestId &request() const { return m_request; }
    const std::string &traceId() const { return m_traceId; }
    bool hasError() const { return m_hasError; }
    const std::vector<SpanRecord> &spans() const { return m_spans; }

private:
    RequestId m_request;
    std::string m_traceId;
    std::string m_parentId;
    std::string m_spanId;
    std::vector<SpanRecord> m_spans;
    bool m_hasError = false;
};

/// Stores finished traces in memory and in the trace file. Thread-safe.
class Tracer
{
public:
    Tracer(const Settings &settings);

    /// Stores a trace if it is sampled or has an error.
    void store(const CallTrace &trace, bool isSampled);

    /// @return OTLP/JSON lines of a stored trace; empty if the request has none
    std::string find(const std::string &request) const;

private:
    struct StoredTrace {
        std::string request;
        std::string lines;
    };

    std::string m_daemon;
    mutable std::mutex m_mutex;
    std::deque<StoredTrace> m_traces; // oldest first
    std::ofstream m_file;
};

} // namespace galenafold
