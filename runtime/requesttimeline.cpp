// Builds the timeline of one request from the daemons' log lines.
#include "runtime/requesttimeline.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int normalPercent = 100; // `slow_pct` of a replica at its normal speed

/// @return a field as text; "?" if it is missing
static std::string fieldText(const Json &line, const char *field)
{
    const auto found = line.find(field);
    if (found == line.end()) {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

static std::string describeAttempt(const Json &line)
{
    std::string description = "sent to replica " + fieldText(line, "replica");
    if (line.contains("service")) {
        description += " of " + fieldText(line, "service");
    }
    description += ", try " + fieldText(line, "try") + ", with " + fieldText(line, "left_ms")
        + " ms left; it held about " + fieldText(line, "load") + " requests";
    if (line.value("slow_pct", normalPercent) != normalPercent) {
        description += " and was at " + fieldText(line, "slow_pct") + "% of its normal processing time";
    }
    if (line.value("passed_full", 0) > 0) {
        description += ", " + fieldText(line, "passed_full") + " replicas ranked higher for the prompt were full";
    }
    if (line.value("passed_avoided", 0) > 0) {
        description += ", " + fieldText(line, "passed_avoided") + " replicas were skipped as avoided or already tried";
    }
    description += line.value("new_connection", false) ? ", over a new connection" : ", over a reused connection";
    return description;
}

static std::string describeEnd(const Json &line)
{
    std::string description = fieldText(line, "event");
    if (line.value("status", 0) != 0) {
        description += " with " + fieldText(line, "status");
    }
    description += " after " + fieldText(line, "took_ms") + " ms";
    if (line.contains("first_ms")) {
        description += " (first bytes after " + fieldText(line, "first_ms") + " ms)";
    }
    if (line.contains("reason")) {
        description += ", because " + fieldText(line, "reason");
    }
    if (line.contains("may_have_run")) {
        description += line.value("may_have_run", false) ? "; a replica may have run it" : "; no replica ran it";
    }
    if (line.contains("run")) {
        description += "; executed: " + fieldText(line, "run");
    }
    if (line.contains("gap_ms")) {
        description += "; longest pause between events " + fieldText(line, "gap_ms") + " ms";
    }
    if (line.value("is_close_delimited", false)) {
        description += "; only the end of the replica's connection told that it is complete";
    }
    description += "; " + fieldText(line, "sent") + " tries";
    description += line.contains("ran") ? ", " + fieldText(line, "ran") + " that may have run" : "";
    if (line.contains("version")) {
        description += "; desired state " + fieldText(line, "version") + ", confirmed "
            + fieldText(line, "proof_age_ms") + " ms before";
    }
    return description;
}

/// Describes a request that found no replica with room: it waits, or is refused.
static std::string describeWait(const Json &line)
{
    const std::string what = line.value("event", "") == "request_waits"
        ? "waits, as no replica of "
        : "does not wait (" + fieldText(line, "why") + "), as no replica of ";
    return what + fieldText(line, "service") + " has room: " + fieldText(line, "waiting") + " wait here; at priority "
        + fieldText(line, "priority") + " its turn is expected in " + fieldText(line, "expected_wait_ms")
        + " ms, and it has to start within " + fieldText(line, "start_within_ms") + " ms";
}

static std::string describe(const Json &line)
{
    const std::string event = fieldText(line, "event");
    if (event == "sent") {
        return describeAttempt(line);
    }
    if (event == "retried") {
        return "replica " + fieldText(line, "replica") + " did not serve it (" + fieldText(line, "reason")
            + "); another try follows";
    }
    if (event == "request_waits" || event == "not_admitted") {
        return describeWait(line);
    }
    if (event == "admitted") {
        return "starts after a wait of " + fieldText(line, "waited_ms") + " ms for room";
    }
    if (event == "queued") {
        return "waiting for the store's first responses: the process has just started";
    }
    if (event == "retry_denied") {
        return "no further try: the retry budget of " + fieldText(line, "service") + " is exhausted";
    }
    if (event == "replica_silent") {
        return "replica " + fieldText(line, "replica") + " is considered silent: no stream on it had an event for "
            + fieldText(line, "paused_ms") + " ms";
    }
    if (event == "attempt_failed") {
        return "try " + fieldText(line, "try") + " at replica " + fieldText(line, "replica") + " failed ("
            + fieldText(line, "state") + "): " + fieldText(line, "why");
    }
    return describeEnd(line);
}

/// @return true if the event ends a request
static bool isEnd(const std::string &event)
{
    static constexpr const char *ends[] = {"served", "refused", "failed", "broken", "gone"};
    return std::any_of(std::begin(ends), std::end(ends), [&event](const char *end) { return event == end; });
}

/// Adds an explanation to a timeline without an end. If the process has started again later, it ended before the
/// request.
/// @param starts the start events of all processes
static void addMissingEnd(std::vector<TimelineEntry> &timeline, const std::vector<TimelineEntry> &starts)
{
    if (timeline.empty() || isEnd(timeline.back().event)) {
        return;
    }
    const TimelineEntry &last = timeline.back();
    const auto isNext = [&last](const TimelineEntry &start) {
        return start.daemon == last.daemon && start.time > last.time;
    };
    const auto next = std::find_if(starts.begin(), starts.end(), isNext);
    const std::string description = next == starts.end()
        ? "no end is logged: the request is in progress, the process has ended, or the line was left out"
        : "the process ended before the request did and started again "
            + std::to_string((next->time - last.time).count()) + " ms after this line";
    timeline.push_back({last.time, last.daemon, "no_end", description});
}

std::vector<TimelineEntry> requestTimeline(const RequestId &request, std::istream &logs)
{
    std::vector<TimelineEntry> timeline;
    std::vector<TimelineEntry> starts; // of all processes
    std::string line;
    while (std::getline(logs, line)) {
        const std::size_t begin = line.find('{');
        const bool isCandidate =
            line.find(request.text) != std::string::npos || line.find("\"start\"") != std::string::npos;
        if (begin == std::string::npos || !isCandidate) {
            continue;
        }
        const Json json = Json::parse(line.substr(begin), nullptr, false);
        if (!json.is_object() || !json.contains("event")) {
            continue;
        }
        std::string daemon = line.substr(0, begin);
        daemon.erase(daemon.find_last_not_of(' ') + 1);
        daemon.erase(0, daemon.find_last_of(' ') + 1);
        const TimelineEntry entry{UnixMillis(json.value("t", std::int64_t{0})), daemon, fieldText(json, "event"),
                                  describe(json)};
        if (json.value("request", "") == request.text) {
            timeline.push_back(entry);
        } else if (entry.event == "start") {
            starts.push_back(entry);
        }
    }
    const auto isEarlier = [](const TimelineEntry &a, const TimelineEntry &b) { return a.time < b.time; };
    std::stable_sort(timeline.begin(), timeline.end(), isEarlier);
    std::stable_sort(starts.begin(), starts.end(), isEarlier);
    addMissingEnd(timeline, starts);
    return timeline;
}

} // namespace galenafold
