// Traces: a span a hop and filter, with the reasons of each decision. OTLP/JSON, one line a span.
//
// Faults are always kept, other calls by a fraction. A bounded ring of kept traces serves `galenafold explain`.
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
    std::string name; // of the filter or hop
    Instant begin{};
    Instant end{};
    std::vector<SpanAttribute> attributes; // why it was decided so
};

/// All spans of one call; lives on the traffic thread.
class CallTrace
{
public:
    /// @param traceparent of the caller; a new trace begins when it is missing or malformed
    CallTrace(const RequestId &request, const std::string &traceparent, std::uint64_t seed);

    void add(const SpanRecord &span);
    void markFault();

    std::string traceparent() const; ///< @return for the next hop
    const RequestId &request() const { return m_request; }
    const std::string &traceId() const { return m_traceId; }
    bool hasFault() const { return m_hasFault; }
    const std::vector<SpanRecord> &spans() const { return m_spans; }

private:
    RequestId m_request;
    std::string m_traceId;
    std::string m_parentId;
    std::string m_spanId;
    std::vector<SpanRecord> m_spans;
    bool m_hasFault = false;
};

class Tracer
{
public:
    Tracer(const Settings &settings);
    void keep(const CallTrace &trace, bool isSampled);

    /// @return OTLP/JSON lines of a kept trace; empty when it is not at hand
    std::string find(const std::string &request) const;

private:
    struct Kept {
        std::string request;
        std::string lines;
    };

    std::string m_daemon;
    mutable std::mutex m_mutex;
    std::deque<Kept> m_kept;
    std::ofstream m_file;
};

} // namespace galenafold
