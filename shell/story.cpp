// Tells what happened to one request, from the daemons' log lines.
#include "shell/story.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

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
    std::string sentence = "sent to replica " + text(line, "replica") + " of " + text(line, "service") + ", try "
        + text(line, "try") + ", with " + text(line, "left_ms") + " ms left; it held about " + text(line, "load")
        + " requests";
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
        sentence += line.value("may_have_run", false) ? "; a replica may have run it" : "; no replica ran it";
    }
    sentence += "; " + text(line, "sent") + " tries, " + text(line, "ran") + " that may have run";
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
    return ended(line);
}

std::vector<StoryLine> storyOf(const RequestId &request, std::istream &logs)
{
    std::vector<StoryLine> story;
    std::string line;
    while (std::getline(logs, line)) {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos || line.find(request.text) == std::string::npos) {
            continue;
        }
        const Json json = Json::parse(line.substr(begin), nullptr, false);
        const bool isOurs = json.is_object() && json.contains("event") && json.value("request", "") == request.text;
        if (!isOurs) {
            continue;
        }
        std::string daemon = line.substr(0, begin);
        daemon.erase(daemon.find_last_not_of(' ') + 1);
        daemon.erase(0, daemon.find_last_of(' ') + 1);
        story.push_back({UnixMillis(json.value("t", std::int64_t{0})), daemon, text(json, "event"), sentenceOf(json)});
    }
    std::stable_sort(story.begin(), story.end(),
                     [](const StoryLine &a, const StoryLine &b) { return a.time < b.time; });
    return story;
}

} // namespace galenafold
