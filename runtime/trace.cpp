// Collects spans and writes them as OTLP/JSON.
#include "runtime/trace.h"

#include "control/loadview.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace galenafold
{

using Json = nlohmann::json;

constexpr std::size_t maxStoredTraces = 2000;

// W3C trace context: "00-" trace id "-" parent span id "-" flags, in hexadecimal.
constexpr std::size_t traceIdLength = 32;
constexpr std::size_t spanIdLength = 16;
constexpr std::size_t traceparentLength = 55;

static std::string hex(std::uint64_t number)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << number;
    return out.str();
}

CallTrace::CallTrace(const RequestId &request, const std::string &traceparent, std::uint64_t seed)
    : m_request(request)
    , m_spanId(hex(hashName(request.text) ^ seed))
{
    const bool isWellFormed = traceparent.size() == traceparentLength && traceparent.compare(0, 3, "00-") == 0
        && traceparent.find_first_not_of("0123456789abcdef-") == std::string::npos;
    if (isWellFormed) {
        m_traceId = traceparent.substr(3, traceIdLength);
        m_parentId = traceparent.substr(3 + traceIdLength + 1, spanIdLength);
    } else {
        m_traceId = hex(hashName(request.text + "/trace")) + hex(seed ^ hashName(request.text));
    }
}

void CallTrace::add(const SpanRecord &span)
{
    m_spans.push_back(span);
}

void CallTrace::markError()
{
    m_hasError = true;
}

std::string CallTrace::traceparent() const
{
    return "00-" + m_traceId + '-' + m_spanId + "-01";
}

Tracer::Tracer(const Settings &settings)
    : m_daemon(settings.name.text)
{
    if (!settings.tracePath.empty()) {
        m_file.open(settings.tracePath, std::ios::app);
    }
}

/// Converts a time on the clock of `clockNow()` to wall-clock time. @return nanoseconds since the Unix epoch
static std::string unixNanos(Instant moment)
{
    const auto age = clockNow() - moment;
    const auto wall = std::chrono::system_clock::now() - std::chrono::duration_cast<std::chrono::nanoseconds>(age);
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(wall.time_since_epoch()).count());
}

static Json encodeSpan(const CallTrace &trace, const SpanRecord &span, std::size_t index, const std::string &daemon)
{
    Json attributes = Json::array();
    attributes.push_back({{"key", "request.id"}, {"value", {{"stringValue", trace.request().text}}}});
    attributes.push_back({{"key", "service.instance.id"}, {"value", {{"stringValue", daemon}}}});
    for (const SpanAttribute &attribute : span.attributes) {
        attributes.push_back({{"key", attribute.name}, {"value", {{"stringValue", attribute.value}}}});
    }
    const std::string parent = trace.traceparent().substr(3 + traceIdLength + 1, spanIdLength);
    const Json json{{"traceId", trace.traceId()},
                    {"spanId", hex(hashName(trace.traceparent() + std::to_string(index)))},
                    {"parentSpanId", parent},
                    {"name", span.name},
                    {"startTimeUnixNano", unixNanos(span.begin)},
                    {"endTimeUnixNano", unixNanos(span.end)},
                    {"attributes", attributes}};
    return json;
}

void Tracer::store(const CallTrace &trace, bool isSampled)
{
    if (!isSampled && !trace.hasError()) {
        return;
    }
    std::string lines;
    std::size_t index = 0;
    for (const SpanRecord &span : trace.spans()) {
        lines += encodeSpan(trace, span, index++, m_daemon).dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_traces.push_back({trace.request().text, lines});
    if (m_traces.size() > maxStoredTraces) {
        m_traces.pop_front();
    }
    if (m_file.is_open()) {
        m_file << lines << std::flush;
    }
}

std::string Tracer::find(const std::string &request) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const StoredTrace &trace : m_traces) {
        if (trace.request == request) {
            return trace.lines;
        }
    }
    return {};
}

} // namespace galenafold
