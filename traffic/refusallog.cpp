// Log lines and counters of callers that met a limit of this process, or sent no valid request.
#include "traffic/refusallog.h"

#include "traffic/metrics.h"

namespace galenafold
{

constexpr std::int64_t maxLinesPerSecond = 10; // of one listener; tells who the callers are, and bounds the log

RefusalLog::RefusalLog(EventLog &log, const char *listener)
    : m_log(log)
    , m_listener(listener)
{
}

void RefusalLog::beginSecond(Instant now)
{
    m_secondEnds = now + std::chrono::seconds(1);
    m_linesInSecond = 0;
    if (m_leftOut > 0) {
        LogLine line("callers_refused");
        line.text("listener", m_listener).number("left_out", m_leftOut);
        for (const auto &[bound, count] : m_counts) {
            line.number(bound, count);
        }
        for (const auto &[status, count] : m_rejected) {
            line.number("rejected_" + std::to_string(status), count);
        }
        m_log.write(line, LogPriority::Notable);
        m_leftOut = 0;
    }
}

/// @return false if there were enough lines in this second
bool RefusalLog::takeLine(Instant now)
{
    if (now >= m_secondEnds) {
        beginSecond(now);
    }
    if (m_linesInSecond >= maxLinesPerSecond) {
        ++m_leftOut;
        return false;
    }
    ++m_linesInSecond;
    return true;
}

void RefusalLog::onRejected(Instant now, int status, const char *why)
{
    ++m_rejected[status];
    if (!takeLine(now)) {
        return;
    }
    LogLine line("rejected");
    line.text("listener", m_listener).number("status", status).text("why", why);
    m_log.write(line, LogPriority::Notable);
}

void RefusalLog::onRefused(Instant now, const CallerRefusal &refusal)
{
    ++m_counts[refusal.bound];
    if (!takeLine(now)) {
        return;
    }
    LogLine line("caller_refused");
    line.text("listener", m_listener).text("bound", refusal.bound).number("status", refusal.status);
    line.text("from", refusal.from).number("held_bytes", static_cast<std::int64_t>(refusal.bytes));
    m_log.write(line, LogPriority::Notable);
}

std::string RefusalLog::metrics() const
{
    std::string out;
    for (const auto &[bound, count] : m_counts) {
        writeMetric(out, "callers_refused_total", label("listener", m_listener) + ',' + label("bound", bound),
                    static_cast<double>(count));
    }
    for (const auto &[status, count] : m_rejected) {
        writeMetric(out, "callers_rejected_total",
                    label("listener", m_listener) + ',' + label("status", std::to_string(status)),
                    static_cast<double>(count));
    }
    return out;
}

} // namespace galenafold
