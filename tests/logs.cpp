// Structured log lines: what they look like, what is left out under load, that they never block, and the story they
// tell.
#include "galenafold/eventlog.h"
#include "runtime/requesttimeline.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace galenafold;
using Json = nlohmann::json;

TEST_GROUP(EventLogs)
{
    int ends[2] = {-1, -1};
    void setup() override
    {
        CHECK(pipe(ends) == 0);
    }
    void teardown() override
    {
        close(ends[0]);
        close(ends[1]);
    }
    EventLogSettings settings() const
    {
        EventLogSettings settings;
        settings.fd = ends[1];
        settings.maxBufferBytes = 4000;
        return settings;
    }
    std::string written() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string all;
        char bytes[65536];
        for (ssize_t size = read(ends[0], bytes, sizeof bytes); size > 0; size = read(ends[0], bytes, sizeof bytes)) {
            all.append(bytes, static_cast<std::size_t>(size));
        }
        return all;
    }
    static void add(EventLog & log, int number, LogPriority weight)
    {
        LogLine line("sent");
        line.number("number", number).text("more", std::string(80, 'x'));
        log.write(line, weight);
    }
};

TEST(EventLogs, EachLineIsOneObjectWhateverTheCallerSent)
{
    EventLog log(settings());
    LogLine line("sent");
    line.text("request", "a\"b\\c\n\x01\xff{}").flag("is", true).millis("took_ms", std::chrono::milliseconds(12));
    log.write(line, LogPriority::Notable);
    CHECK(!log.flush());
    const std::string all = written();
    LONGS_EQUAL(1, std::count(all.begin(), all.end(), '\n'));
    const Json json = Json::parse(all);
    LONGS_EQUAL(12, json["took_ms"].get<int>());
    STRCMP_EQUAL("sent", json["event"].get<std::string>().c_str());
}

TEST(EventLogs, UnderLoadRoutineLinesGoFirstAndTheCountIsTold)
{
    EventLog log(settings());
    for (int i = 0; i < 100; ++i) {
        add(log, i, LogPriority::Routine);
    }
    for (int i = 0; i < 10; ++i) {
        add(log, 1000 + i, LogPriority::Notable);
    }
    CHECK(log.dropped() > 50);
    log.flush();
    const std::string all = written();
    CHECK(all.find("\"number\":1009") != std::string::npos); // there was room left for what matters
    CHECK(all.find("\"lines\":" + std::to_string(log.dropped())) != std::string::npos);
}

TEST(EventLogs, AFullPipeNeverBlocksAndNothingIsTorn)
{
    fcntl(ends[1], F_SETPIPE_SZ, 4096);
    EventLogSettings large = settings();
    large.maxBufferBytes = 100000;
    EventLog log(large);
    for (int i = 0; i < 200; ++i) {
        add(log, i, LogPriority::Notable);
    }
    CHECK(log.flush()); // returns, with lines left
    std::string all = written();
    while (log.flush()) {
        all += written();
    }
    all += written();
    std::istringstream lines(all);
    std::string line;
    int count = 0;
    while (std::getline(lines, line)) {
        LONGS_EQUAL(count, Json::parse(line)["number"].get<int>());
        ++count;
    }
    LONGS_EQUAL(200, count);
}

TEST_GROUP(Stories){};

TEST(Stories, TellsOneRequestInOrderAcrossDaemons)
{
    std::istringstream logs(
        "  3.1 front-2 {\"t\":30,\"event\":\"failed\",\"request\":\"r1\",\"status\":502,\"reason\":\"broken_answer\","
        "\"may_have_run\":true,\"took_ms\":9,\"sent\":1,\"ran\":1}\n"
        "noise about r1 {\n"
        "  2.0 front-2 {\"t\":20,\"event\":\"sent\",\"request\":\"r1\",\"replica\":\"i-1\",\"service\":\"s\",\"try\":1,"
        "\"left_ms\":100,\"load\":3,\"new_connection\":true}\n"
        "  2.0 front-3 {\"t\":21,\"event\":\"sent\",\"request\":\"r10\"}\n");
    const auto story = requestTimeline({"r1"}, logs);
    LONGS_EQUAL(2, story.size());
    STRCMP_EQUAL("sent", story[0].event.c_str());
    STRCMP_EQUAL("front-2", story[1].daemon.c_str());
    CHECK(story[1].description.find("a replica may have run it") != std::string::npos);
    CHECK(story[1].description.find("broken_answer") != std::string::npos);
}

TEST(Stories, TellsOfAProcessThatEndedBeforeTheRequestDid)
{
    const std::string sent =
        " 2.0 front-2 "
        "{\"t\":20,\"event\":\"sent\",\"request\":\"r1\",\"replica\":\"i-1\",\"try\":1,\"left_ms\":9,\"load\":3}\n";
    const std::string starts =
        " 0.1 front-2 {\"t\":1,\"event\":\"start\"}\n 2.2 front-3 {\"t\":22,\"event\":\"start\"}\n";
    std::istringstream killed(starts + sent + " 9.9 front-2 {\"t\":520,\"event\":\"start\"}\n");
    const auto story = requestTimeline({"r1"}, killed);
    LONGS_EQUAL(2, story.size());
    CHECK(story[1].description.find("started again 500 ms after") != std::string::npos);
    std::istringstream open(starts + sent);
    CHECK(requestTimeline({"r1"}, open).back().description.find("no end is logged") != std::string::npos);
    std::istringstream other(starts + sent);
    CHECK(requestTimeline({"r2"}, other).empty());
}
