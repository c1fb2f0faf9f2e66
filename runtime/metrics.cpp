// Collects the metrics and writes them as Prometheus text.
#include "runtime/metrics.h"

#include <sstream>

namespace galenafold
{

constexpr std::size_t maxSeries = 2048; // pairs of customer and class; the rest is counted under "other"

void Metrics::count(const CallRecord &record)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::pair<std::string, std::string> key{record.customer.text, record.taskClass};
    if (m_series.size() >= maxSeries && m_series.count(key) == 0) {
        key = {"other", "other"};
    }
    Series &series = m_series[key];
    ++series.ended[std::string("reason=\"") + galenafold::text(record.reason) + "\",run=\""
                   + galenafold::text(record.executionStatus) + '"'];
    if (record.reason != Reason::None) {
        return;
    }
    series.firstByte.add(record.firstByte);
    series.total.add(record.total);
    series.prompt += record.prompt;
    series.reused += record.reusedPrompt;
}

void Metrics::setControlStats(const ControlStats &stats)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_control = stats;
}

static double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

static void writeQuantiles(std::ostream &out, const std::string &name, const std::string &labels,
                           const LatencyHistogram &histogram)
{
    for (const double fraction : {0.5, 0.95, 0.99}) {
        out << name << '{' << labels << ",quantile=\"" << fraction << "\"} " << seconds(histogram.quantile(fraction))
            << '\n';
    }
}

static void writeControl(std::ostream &out, const ControlStats &control)
{
    const RouterCounts &counts = control.counts;
    out << "galenafold_arrivals_total " << counts.arrivals << '\n';
    out << "galenafold_first_attempts_total " << counts.firstAttempts << '\n';
    out << "galenafold_retries_total " << counts.retries << '\n';
    out << "galenafold_hedges_total " << counts.hedges << '\n';
    out << "galenafold_probes_total " << counts.probes << '\n';
    for (const auto &[reason, count] : counts.refusals) {
        out << "galenafold_refusals_total{reason=\"" << text(reason) << "\"} " << count << '\n';
    }
    for (const auto &[by, count] : counts.placements) {
        out << "galenafold_placements_total{by=\"" << text(by) << "\"} " << count << '\n';
    }
    for (const auto &[endpoint, load] : control.loads) {
        out << "galenafold_endpoint_load{endpoint=\"" << endpoint << "\"} " << load << '\n';
    }
    out << "galenafold_calls_in_progress " << control.callsInProgress << '\n';
    out << "galenafold_queued{lane=\"short\"} " << control.queuedShort << '\n';
    out << "galenafold_queued{lane=\"long\"} " << control.queuedLong << '\n';
    out << "galenafold_contracts_offset " << control.contractsUpTo << '\n';
    out << "galenafold_control_bytes_total " << control.controlBytes << '\n';
    out << "galenafold_records_refused_total " << control.refusedRecords << '\n';
    out << "galenafold_peers_refused_total " << control.refusedPeerMessages << '\n';
}

std::string Metrics::text() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::ostringstream out;
    for (const auto &[key, series] : m_series) {
        const std::string labels = "customer=\"" + key.first + "\",class=\"" + key.second + '"';
        for (const auto &[endLabels, count] : series.ended) {
            out << "galenafold_calls_total{" << labels << ',' << endLabels << "} " << count << '\n';
        }
        writeQuantiles(out, "galenafold_first_byte_seconds", labels, series.firstByte);
        writeQuantiles(out, "galenafold_call_seconds", labels, series.total);
        out << "galenafold_prompt_tokens_total{" << labels << "} " << series.prompt << '\n';
        out << "galenafold_prompt_tokens_reused_total{" << labels << "} " << series.reused << '\n';
    }
    writeControl(out, m_control);
    return out.str();
}

} // namespace galenafold
