// Counts and latencies of the traffic thread.
#include "traffic/metrics.h"

#include <cstdio>

namespace galenafold
{

constexpr std::size_t mostAccountSeries = 2048; // above it accounts are counted as "other"
constexpr int figureDigits = 32;

// Histogram

TimeBuckets::TimeBuckets()
    : m_histogram(boost::histogram::make_histogram(boost::histogram::axis::variable<>{
        0.0, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0, 10.0, 20.0}))
{
}

void TimeBuckets::add(Duration time)
{
    const double seconds = std::chrono::duration<double>(time).count();
    m_histogram(seconds);
    m_sumSeconds += seconds;
    ++m_count;
}

static std::string joined(const std::string &labels, const std::string &more)
{
    return labels.empty() ? more : labels + ',' + more;
}

static std::string number(double value)
{
    char digits[figureDigits];
    std::snprintf(digits, sizeof digits, "%.12g", value);
    return digits;
}

void TimeBuckets::write(std::string &out, const std::string &name, const std::string &labels) const
{
    double below = 0;
    for (auto &&bucket : boost::histogram::indexed(m_histogram)) {
        below += *bucket;
        writeMetric(out, name + "_bucket", joined(labels, label("le", number(bucket.bin().upper()))), below);
    }
    writeMetric(out, name + "_bucket", joined(labels, label("le", "+Inf")), static_cast<double>(m_count));
    writeMetric(out, name + "_sum", labels, m_sumSeconds);
    writeMetric(out, name + "_count", labels, static_cast<double>(m_count));
}

// Figures

const char *text(CallKind kind)
{
    switch (kind) {
    case CallKind::Idempotent:
        return "idempotent";
    case CallKind::NonIdempotent:
        return "non_idempotent";
    case CallKind::Stream:
        return "stream";
    }
    return "unknown";
}

std::string label(std::string_view name, std::string_view value)
{
    std::string escaped(name);
    escaped += "=\"";
    for (const char letter : value) {
        if (letter == '"' || letter == '\\') {
            escaped += '\\';
        }
        escaped += letter == '\n' ? ' ' : letter;
    }
    return escaped + '"';
}

void writeMetric(std::string &out, std::string_view name, std::string_view labels, double value)
{
    out += "galenafold_";
    out += name;
    if (!labels.empty()) {
        out += '{';
        out += labels;
        out += '}';
    }
    out += ' ' + number(value) + '\n';
}

void TrafficFigures::onEnded(const EndedCall &call)
{
    const std::string kind = call.kind ? galenafold::text(*call.kind) : "none";
    ++m_ended[label("kind", kind) + ',' + label("outcome", call.outcome) + ',' + label("reason", call.reason)];
    std::string account = label("account", call.account.text) + ',' + label("outcome", call.outcome);
    if (m_accounts.size() >= mostAccountSeries && m_accounts.count(account) == 0) {
        account = label("account", "other") + ',' + label("outcome", call.outcome);
    }
    ++m_accounts[account];
    KindFigures &figures = m_kinds[kind];
    figures.attempts += call.sent;
    figures.took.add(call.took);
    if (call.first) {
        figures.first.add(*call.first);
    }
    if (call.longestGap) {
        figures.gap.add(*call.longestGap);
    }
}

std::string TrafficFigures::text() const
{
    std::string out;
    for (const auto &[labels, count] : m_ended) {
        writeMetric(out, "calls_total", labels, static_cast<double>(count));
    }
    for (const auto &[labels, count] : m_accounts) {
        writeMetric(out, "account_calls_total", labels, static_cast<double>(count));
    }
    for (const auto &[kind, figures] : m_kinds) {
        const std::string labels = label("kind", kind);
        writeMetric(out, "attempts_total", labels, static_cast<double>(figures.attempts));
        figures.took.write(out, "call_seconds", labels);
        figures.first.write(out, "first_bytes_seconds", labels);
        figures.gap.write(out, "longest_gap_seconds", labels);
    }
    for (const auto &[service, count] : m_retriesDenied) {
        writeMetric(out, "retries_denied_total", label("service", service.text), static_cast<double>(count));
    }
    return out;
}

} // namespace galenafold
