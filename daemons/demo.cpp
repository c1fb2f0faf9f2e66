// galenafold-demo: the living manual. Three daemons and the stand-ins in one process, on loopback.
//
// Read it top to bottom: each step is a function that prints what it does and what came of it.
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

static const char *const teaKey = "tea-demo-key";
static const char *const thatchKey = "thatch-demo-key";
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
    std::cout << "1. Two contracts are published on the log, before any daemon starts.\n";
    check(fleet.publish("kedai", sampleContract("kedai", teaKey, 200, 100), 0) == 0, "kedai: record 0");
    check(fleet.publish("akwaaba", sampleContract("akwaaba", thatchKey, 200, 100), 0) == 1, "akwaaba: record 1");
}

static void holdChat(Fleet &fleet)
{
    std::cout << "2. A chat returns three times, each time through another daemon. Its hint leads it home.\n";
    std::string hint;
    std::string firstHint;
    const std::string catalogue(4000, 'c');
    for (std::size_t turn = 0; turn < 3; ++turn) {
        httplib::Headers headers = headersFor(teaKey, "");
        headers.emplace("Galenafold-Chat", "chest-42");
        if (!hint.empty()) {
            headers.emplace("Galenafold-Hint", hint);
        }
        httplib::Client client = clientOf(fleet, turn);
        const auto response =
            client.Post("/v1/chat/completions", headers, chatBody(catalogue, 8, true), "application/json");
        const bool isWhole = response && response->body.find("[DONE]") != std::string::npos;
        check(isWhole, "turn " + std::to_string(turn + 1) + " through " + fleet.daemonId(turn).text + ": whole");
        if (!response) {
            return;
        }
        hint = response->get_header_value("Galenafold-Hint");
        firstHint = turn == 0 ? hint : firstHint;
        std::cout << "    served by " << hint << ", prompt tokens reused "
                  << response->get_header_value("Galenafold-Prompt-Reused") << '\n';
        check(hint == firstHint, "the same engine as before");
        printTrace(fleet, turn, response->get_header_value("X-Request-Id"));
    }
}

static void reserveTwice(Fleet &fleet)
{
    std::cout << "3. A reservation is made twice with one key, through two daemons. It runs once.\n";
    const std::string key = makeUuidV7(wallClock(), 1);
    std::string first;
    for (std::size_t i = 0; i < 2; ++i) {
        httplib::Headers headers = headersFor(teaKey, "");
        headers.emplace("Idempotency-Key", key);
        httplib::Client client = clientOf(fleet, i);
        const auto response = client.Post("/v1/services/ledger/reserve", headers, "{\"chest\":42}", "application/json");
        check(response && response->status == 200,
              "answer " + std::to_string(i + 1) + ": " + (response ? response->body : "none"));
        first = i == 0 && response ? response->body : first;
        check(response && response->body == first, "the same answer");
        std::this_thread::sleep_for(std::chrono::milliseconds(300)); // until the outcome is in the log
    }
    check(fleet.service(0).executionsByKey()[key] == 1, "executed once");
}

static void amendLive(Fleet &fleet)
{
    std::cout << "4. A contract is amended while the fleet runs; a racing amendment from the same version loses.\n";
    const Instant begin = clockNow();
    fleet.publish("akwaaba", sampleContract("akwaaba", thatchKey, 0, 0), 1);
    fleet.publish("akwaaba", sampleContract("akwaaba", thatchKey, 500, 500), 1);
    check(fleet.waitVersion("akwaaba", 2, begin + std::chrono::seconds(10)), "version 2 is in force on all daemons");
    std::cout << "    after " << std::chrono::duration<double, std::milli>(clockNow() - begin).count() << " ms\n";
    const auto response = clientOf(fleet, 0).Post("/v1/chat/completions", headersFor(thatchKey, ""),
                                                  chatBody("quote", 4, false), "application/json");
    check(response && response->status == 429, "a call over the new limit: " + (response ? response->body : "none"));
}

static void drainEngine(Fleet &fleet)
{
    std::cout << "5. An engine leaves. It finishes what it has and gets nothing new.\n";
    fleet.engine(0).setLeaving(true);
    fleet.markLeaving(fleet.engineId(0));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const std::int64_t before = fleet.engine(0).figures().started;
    int whole = 0;
    for (int i = 0; i < 30; ++i) {
        const auto response = clientOf(fleet, static_cast<std::size_t>(i % 3))
                                  .Post("/v1/chat/completions", headersFor(teaKey, "condition-tag"),
                                        chatBody("tag " + std::to_string(i), 4, false), "application/json");
        whole += response && response->status == 200 ? 1 : 0;
    }
    check(whole == 30, "30 calls answered whole");
    check(fleet.engine(0).figures().started == before, "none at " + fleet.engineId(0).text);
}

static void drainDaemon(Fleet &fleet)
{
    std::cout << "6. A daemon drains with a stream open. The stream ends whole.\n";
    bool isWhole = false;
    std::thread caller([&] {
        httplib::Client client = clientOf(fleet, 2);
        const auto response = client.Post("/v1/chat/completions", headersFor(teaKey, "appraisal"),
                                          chatBody("appraise", 60, true), "application/json");
        isWhole = response && response->body.find("[DONE]") != std::string::npos;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.drainDaemon(2);
    caller.join();
    check(isWhole, "the stream came whole through the draining daemon");
}

static int run()
{
    FleetPlan plan;
    plan.engine.decodeTokensPerSecond = 100;
    plan.settings.traceFraction = 1;
    Fleet fleet(plan);
    publishContracts(fleet);
    check(fleet.start(), "three daemons are ready");
    holdChat(fleet);
    reserveTwice(fleet);
    amendLive(fleet);
    drainEngine(fleet);
    drainDaemon(fleet);
    std::cout << (failures == 0 ? "demo: all steps as described\n" : "demo: some steps FAILED\n");
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
