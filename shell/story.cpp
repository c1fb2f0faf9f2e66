// Tells what happened to one request, from the daemons' log lines.
#include "shell/story.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int usualPercent = 100;

static std::string text(const Json &line, const char *field)
{
    const auto found = line.find(field);
    if (found == line.end()) {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

static std::string sentOut(const Json &line)
{
    std::string sentence = "sent to replica " + text(line, "replica");
    if (line.contains("service")) {
        sentence += " of " + text(line, "service");
    }
    sentence += ", try " + text(line, "try") + ", with " + text(line, "left_ms") + " ms left; it held about "
        + text(line, "load") + " requests";
    if (line.value("slow_pct", usualPercent) != usualPercent) {
        sentence += " and worked at " + text(line, "slow_pct") + "% of its usual time";
    }
    if (line.value("passed_full", 0) > 0) {
        sentence += ", " + text(line, "passed_full") + " before it in the prompt's rank were full";
    }
    if (line.value("passed_avoided", 0) > 0) {
        sentence += ", " + text(line, "passed_avoided") + " were failing or asked already";
    }
    sentence += line.value("new_connection", false) ? ", over a new connection" : ", over a kept connection";
    return sentence;
}

static std::string ended(const Json &line)
{
    std::string sentence = text(line, "event");
    if (line.value("status", 0) != 0) {
        sentence += " with " + text(line, "status");
    }
    sentence += " after " + text(line, "took_ms") + " ms";
    if (line.contains("first_ms")) {
        sentence += " (first bytes after " + text(line, "first_ms") + " ms)";
    }
    if (line.contains("reason")) {
        sentence += ", because " + text(line, "reason");
    }
    if (line.contains("may_have_run")) {
        sentence += line.value("may_have_run", false) ? "; a replica may have run it" : "; no replica ran it";
    }
    if (line.contains("run")) {
        sentence += "; executed: " + text(line, "run");
    }
    if (line.contains("gap_ms")) {
        sentence += "; longest pause " + text(line, "gap_ms") + " ms";
    }
    sentence += "; " + text(line, "sent") + " tries";
    sentence += line.contains("ran") ? ", " + text(line, "ran") + " that may have run" : "";
    if (line.contains("version")) {
        sentence +=
            "; desired state " + text(line, "version") + ", proved " + text(line, "proof_age_ms") + " ms before";
    }
    return sentence;
}

static std::string sentenceOf(const Json &line)
{
    const std::string event = text(line, "event");
    if (event == "sent") {
        return sentOut(line);
    }
    if (event == "retried") {
        return "replica " + text(line, "replica") + " did not serve it (" + text(line, "reason")
            + "); another try follows";
    }
    if (event == "queued") {
        return "waits: the process has just started and awaits the store's first answers";
    }
    if (event == "retry_denied") {
        return "no other try: the retry budget of " + text(line, "service") + " is spent";
    }
    if (event == "replica_silent") {
        return "replica " + text(line, "replica") + " is taken for silent: no stream there had an event for "
            + text(line, "paused_ms") + " ms";
    }
    if (event == "attempt_failed") {
        return "try " + text(line, "try") + " at replica " + text(line, "replica") + " failed (" + text(line, "state")
            + "): " + text(line, "why");
    }
    return ended(line);
}

/// @return true for the line that ends a request
static bool isEnd(const std::string &event)
{
    static constexpr const char *ends[] = {"served", "refused", "failed", "broken", "gone"};
    return std::any_of(std::begin(ends), std::end(ends), [&event](const char *end) { return event == end; });
}

/// A request without an end was cut off with its process, which tells of its next start.
static void explainMissingEnd(std::vector<StoryLine> &story, const std::vector<StoryLine> &starts)
{
    if (story.empty() || isEnd(story.back().event)) {
        return;
    }
    const StoryLine &last = story.back();
    const auto isNext = [&last](const StoryLine &start) {
        return start.daemon == last.daemon && start.time > last.time;
    };
    const auto next = std::find_if(starts.begin(), starts.end(), isNext);
    const std::string sentence = next == starts.end()
        ? "no end is told: it is in progress, the process has ended, or the line was left out"
        : "the process ended before the request did, and started again "
            + std::to_string((next->time - last.time).count()) + " ms after this line";
    story.push_back({last.time, last.daemon, "no_end", sentence});
}

std::vector<StoryLine> storyOf(const RequestId &request, std::istream &logs)
{
    std::vector<StoryLine> story;
    std::vector<StoryLine> starts; // of processes
    std::string line;
    while (std::getline(logs, line)) {
        const std::size_t begin = line.find('{');
        const bool mayMatter =
            line.find(request.text) != std::string::npos || line.find("\"start\"") != std::string::npos;
        if (begin == std::string::npos || !mayMatter) {
            continue;
        }
        const Json json = Json::parse(line.substr(begin), nullptr, false);
        if (!json.is_object() || !json.contains("event")) {
            continue;
        }
        std::string daemon = line.substr(0, begin);
        daemon.erase(daemon.find_last_not_of(' ') + 1);
        daemon.erase(0, daemon.find_last_of(' ') + 1);
        const StoryLine told{UnixMillis(json.value("t", std::int64_t{0})), daemon, text(json, "event"),
                             sentenceOf(json)};
        if (json.value("request", "") == request.text) {
            story.push_back(told);
        } else if (told.event == "start") {
            starts.push_back(told);
        }
    }
    const auto isEarlier = [](const StoryLine &a, const StoryLine &b) { return a.time < b.time; };
    std::stable_sort(story.begin(), story.end(), isEarlier);
    std::stable_sort(starts.begin(), starts.end(), isEarlier);
    explainMissingEnd(story, starts);
    return story;
}

} // namespace galenafold
