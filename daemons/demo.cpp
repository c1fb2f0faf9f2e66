// galenafold-demo: a walkthrough of the main features, with three daemons, fake engines and services and a fake
// platform in one process, on loopback.
//
// Each step is a function that prints what it does and the result. The steps run in the order of this file.
//
// Sections of this file: Helpers, Steps.
#include "clients/endpoint.h"
#include "fakes/fleet.h"

#include <glog/logging.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

// Helpers

static const char *const kedaiKey = "tea-demo-key";
static const char *const akwaabaKey = "thatch-demo-key";
static int failures = 0;

static void check(bool isTrue, const std::string &what)
{
    std::cout << (isTrue ? "  ok      " : "  FAILED  ") << what << '\n';
    failures += isTrue ? 0 : 1;
}

static httplib::Headers headersFor(const std::string &key, const std::string &task)
{
    return {{"Authorization", "Bearer " + key}, {"Galenafold-Task", task}};
}

static std::string chatBody(const std::string &prompt, int tokens, bool isStream)
{
    const Json message{{"role", "user"}, {"content", prompt}};
    return Json{
        {"model", "tea-large"}, {"messages", Json::array({message})}, {"max_tokens", tokens}, {"stream", isStream}}
        .dump();
}

static httplib::Client clientOf(Fleet &fleet, std::size_t daemon)
{
    httplib::Client client("127.0.0.1", fleet.daemon(daemon).httpPort());
    client.set_read_timeout(30);
    return client;
}

static void printTrace(Fleet &fleet, std::size_t daemon, const std::string &request)
{
    const auto response = clientOf(fleet, daemon).Get("/trace?request=" + request);
    std::istringstream lines(response ? response->body : std::string());
    std::string line;
    while (std::getline(lines, line)) {
        const Json span = Json::parse(line, nullptr, false);
        std::cout << "    " << span.value("name", std::string("?"));
        for (const Json &attribute : span.value("attributes", Json::array())) {
            const std::string name = attribute["key"];
            if (name != "request.id" && name != "service.instance.id") {
                std::cout << "  " << name << '=' << attribute["value"]["stringValue"].get<std::string>();
            }
        }
        std::cout << '\n';
    }
}

// Steps

static void publishContracts(Fleet &fleet)
{
    std::cout << "1. Two contracts are published on the log before any daemon starts.\n";
    check(fleet.publish("kedai", sampleContract("kedai", kedaiKey, 200, 100), 0) == 0, "kedai: appended as record 0");
    check(fleet.publish("akwaaba", sampleContract("akwaaba", akwaabaKey, 200, 100), 0) == 1,
          "akwaaba: appended as record 1");
}

static void continueChat(Fleet &fleet)
{
    std::cout << "2. A chat has three turns, each through another daemon. Its affinity hint keeps it on the same "
                 "engine.\n";
    std::string hint;
    std::string firstHint;
    const std::string prompt(4000, 'c');
    for (std::size_t turn = 0; turn < 3; ++turn) {
        httplib::Headers headers = headersFor(kedaiKey, "");
        headers.emplace("Galenafold-Chat", "chest-42");
        if (!hint.empty()) {
            headers.emplace("Galenafold-Hint", hint);
        }
        httplib::Client client = clientOf(fleet, turn);
        const auto response =
            client.Post("/v1/chat/completions", headers, chatBody(prompt, 8, true), "application/json");
        const bool isComplete = response && response->body.find("[DONE]") != std::string::npos;
        check(isComplete,
              "turn " + std::to_string(turn + 1) + " through " + fleet.daemonId(turn).text
                  + ": complete response received");
        if (!response) {
            return;
        }
        hint = response->get_header_value("Galenafold-Hint");
        firstHint = turn == 0 ? hint : firstHint;
        std::cout << "    served by " << hint << ", prompt tokens reused "
                  << response->get_header_value("Galenafold-Prompt-Reused") << '\n';
        check(hint == firstHint, "same engine as on the first turn");
        printTrace(fleet, turn, response->get_header_value("X-Request-Id"));
    }
}

static void repeatReservation(Fleet &fleet)
{
    std::cout
        << "3. A reservation is requested twice with one idempotency key, through two daemons. It is executed once.\n";
    const std::string key = makeUuidV7(unixNow(), 1);
    std::string first;
    for (std::size_t i = 0; i < 2; ++i) {
        httplib::Headers headers = headersFor(kedaiKey, "");
        headers.emplace("Idempotency-Key", key);
        httplib::Client client = clientOf(fleet, i);
        const auto response = client.Post("/v1/services/ledger/reserve", headers, "{\"chest\":42}", "application/json");
        check(response && response->status == 200,
              "response " + std::to_string(i + 1) + ": " + (response ? response->body : "none"));
        first = i == 0 && response ? response->body : first;
        check(response && response->body == first, "identical to the first response");
        std::this_thread::sleep_for(std::chrono::milliseconds(300)); // long enough for the outcome to reach the log
    }
    check(fleet.service(0).executionsByKey()[key] == 1, "the reservation was executed once");
}

static void amendContract(Fleet &fleet)
{
    std::cout << "4. A contract is amended while the fleet runs; a concurrent amendment from the same version fails.\n";
    const Instant begin = clockNow();
    fleet.publish("akwaaba", sampleContract("akwaaba", akwaabaKey, 0, 0), 1);
    fleet.publish("akwaaba", sampleContract("akwaaba", akwaabaKey, 500, 500), 1);
    check(fleet.waitForVersion("akwaaba", 2, begin + std::chrono::seconds(10)), "version 2 is in force on all daemons");
    std::cout << "    after " << std::chrono::duration<double, std::milli>(clockNow() - begin).count() << " ms\n";
    const auto response = clientOf(fleet, 0).Post("/v1/chat/completions", headersFor(akwaabaKey, ""),
                                                  chatBody("quote", 4, false), "application/json");
    check(response && response->status == 429,
          "a call over the new limit gets 429: " + (response ? response->body : "none"));
}

static void drainEngine(Fleet &fleet)
{
    std::cout << "5. An engine drains: it finishes its calls and accepts no more.\n";
    fleet.engine(0).setLeaving(true);
    fleet.markLeaving(fleet.engineId(0));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const std::int64_t before = fleet.engine(0).stats().started;
    int completed = 0;
    for (int i = 0; i < 30; ++i) {
        const auto response = clientOf(fleet, static_cast<std::size_t>(i % 3))
                                  .Post("/v1/chat/completions", headersFor(kedaiKey, "condition-tag"),
                                        chatBody("tag " + std::to_string(i), 4, false), "application/json");
        completed += response && response->status == 200 ? 1 : 0;
    }
    check(completed == 30, "30 complete responses");
    check(fleet.engine(0).stats().started == before, "none started on " + fleet.engineId(0).text);
}

static void drainDaemon(Fleet &fleet)
{
    std::cout << "6. A daemon drains while it relays a stream. The caller receives it complete.\n";
    bool isComplete = false;
    std::thread caller([&] {
        httplib::Client client = clientOf(fleet, 2);
        const auto response = client.Post("/v1/chat/completions", headersFor(kedaiKey, "appraisal"),
                                          chatBody("appraise", 60, true), "application/json");
        isComplete = response && response->body.find("[DONE]") != std::string::npos;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.drainDaemon(2);
    caller.join();
    check(isComplete, "the draining daemon relayed the complete stream");
}

static int run()
{
    FleetPlan plan;
    plan.engine.decodeTokensPerSecond = 100;
    plan.settings.traceFraction = 1;
    Fleet fleet(plan);
    publishContracts(fleet);
    check(fleet.start(), "three daemons are ready");
    continueChat(fleet);
    repeatReservation(fleet);
    amendContract(fleet);
    drainEngine(fleet);
    drainDaemon(fleet);
    std::cout << (failures == 0 ? "demo: all steps passed\n" : "demo: some steps FAILED\n");
    return failures == 0 ? 0 : 1;
}

} // namespace galenafold

int main(int, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    return galenafold::run();
}
