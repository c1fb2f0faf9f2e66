// Metrics of the traffic thread.
#include "traffic/metrics.h"

#include <cstdio>

namespace galenafold
{

constexpr std::size_t maxAccountSeries = 2048; // series by account and outcome; beyond it, counted as "other"
constexpr int numberBufferBytes = 32;          // for one formatted number

// Histogram

DurationHistogram::DurationHistogram()
    : m_histogram(boost::histogram::make_histogram(boost::histogram::axis::variable<>{
        0.0, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0, 10.0, 20.0}))
{
}

void DurationHistogram::add(Duration time)
{
    const double seconds = std::chrono::duration<double>(time).count();
    m_histogram(seconds);
    m_sumSeconds += seconds;
    ++m_count;
}

static std::string joinLabels(const std::string &labels, const std::string &more)
{
    return labels.empty() ? more : labels + ',' + more;
}

static std::string formatNumber(double value)
{
    char digits[numberBufferBytes];
    std::snprintf(digits, sizeof digits, "%.12g", value);
    return digits;
}

void DurationHistogram::write(std::string &out, const std::string &name, const std::string &labels) const
{
    double cumulative = 0;
    for (auto &&bucket : boost::histogram::indexed(m_histogram)) {
        cumulative += *bucket;
        writeMetric(out, name + "_bucket", joinLabels(labels, label("le", formatNumber(bucket.bin().upper()))),
                    cumulative);
    }
    writeMetric(out, name + "_bucket", joinLabels(labels, label("le", "+Inf")), static_cast<double>(m_count));
    writeMetric(out, name + "_sum", labels, m_sumSeconds);
    writeMetric(out, name + "_count", labels, static_cast<double>(m_count));
}

// Metrics

const char *text(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non_idempotent";
    case RequestKind::Stream:
        return "stream";
    }
    return "unknown";
}

std::string label(std::string_view name, std::string_view value)
{
    std::string escaped(name);
    escaped += "=\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character == '\n' ? ' ' : character;
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
    out += ' ' + formatNumber(value) + '\n';
}

void TrafficMetrics::onCompleted(const CompletedRequest &request)
{
    const std::string kind = request.kind ? galenafold::text(*request.kind) : "none";
    ++m_completed[label("kind", kind) + ',' + label("outcome", request.outcome) + ','
                  + label("reason", request.reason)];
    std::string account = label("account", request.account.text) + ',' + label("outcome", request.outcome);
    if (m_accounts.size() >= maxAccountSeries && m_accounts.count(account) == 0) {
        account = label("account", "other") + ',' + label("outcome", request.outcome);
    }
    ++m_accounts[account];
    KindMetrics &metrics = m_kinds[kind];
    metrics.attempts += request.attempts;
    metrics.duration.add(request.duration);
    if (request.timeToFirstByte) {
        metrics.timeToFirstByte.add(*request.timeToFirstByte);
    }
    if (request.longestGap) {
        metrics.longestGap.add(*request.longestGap);
    }
    if (request.longestGap && request.outcome == "served") {
        ++(request.isCloseDelimited ? m_closeDelimitedStreams : m_framedStreams);
    }
}

void TrafficMetrics::onEndWithheld(const std::string &state, int connects)
{
    ++m_endsWithheld[state];
    m_endsWithheldConnects += connects;
}

std::string TrafficMetrics::text() const
{
    std::string out;
    for (const auto &[labels, count] : m_completed) {
        writeMetric(out, "calls_total", labels, static_cast<double>(count));
    }
    for (const auto &[labels, count] : m_accounts) {
        writeMetric(out, "account_calls_total", labels, static_cast<double>(count));
    }
    for (const auto &[kind, metrics] : m_kinds) {
        const std::string labels = label("kind", kind);
        writeMetric(out, "attempts_total", labels, static_cast<double>(metrics.attempts));
        metrics.duration.write(out, "call_seconds", labels);
        metrics.timeToFirstByte.write(out, "first_bytes_seconds", labels);
        metrics.longestGap.write(out, "longest_gap_seconds", labels);
    }
    for (const auto &[service, count] : m_retriesDenied) {
        writeMetric(out, "retries_denied_total", label("service", service.text), static_cast<double>(count));
    }
    writeMetric(out, "streams_served_total", label("end", "framing"), static_cast<double>(m_framedStreams));
    writeMetric(out, "streams_served_total", label("end", "connection"), static_cast<double>(m_closeDelimitedStreams));
    for (const auto &[state, count] : m_endsWithheld) {
        writeMetric(out, "ends_withheld_total", label("process", state), static_cast<double>(count));
    }
    writeMetric(out, "ends_withheld_connects_total", "", static_cast<double>(m_endsWithheldConnects));
    return out;
}

} // namespace galenafold
