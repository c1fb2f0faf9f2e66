// Structured log lines: valid JSON, which lines are dropped when the buffer is full, writes that never block, and the
// timeline of a request that is built from them.
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
    int pipeFds[2] = {-1, -1};
    void setup() override
    {
        CHECK(pipe(pipeFds) == 0);
    }
    void teardown() override
    {
        close(pipeFds[0]);
        close(pipeFds[1]);
    }
    EventLogSettings settings() const
    {
        EventLogSettings settings;
        settings.fd = pipeFds[1];
        settings.maxBufferBytes = 4000;
        return settings;
    }
    std::string readPipe() const
    {
        fcntl(pipeFds[0], F_SETFL, O_NONBLOCK);
        std::string output;
        char bytes[65536];
        for (ssize_t size = read(pipeFds[0], bytes, sizeof bytes); size > 0;
             size = read(pipeFds[0], bytes, sizeof bytes)) {
            output.append(bytes, static_cast<std::size_t>(size));
        }
        return output;
    }
    static void writeLine(EventLog & log, int number, LogPriority priority)
    {
        LogLine line("sent");
        line.number("number", number).text("more", std::string(80, 'x'));
        log.write(line, priority);
    }
};

TEST(EventLogs, EachLineIsOneJsonObjectForAnyInput)
{
    EventLog log(settings());
    LogLine line("sent");
    line.text("request", "a\"b\\c\n\x01\xff{}").flag("is", true).millis("took_ms", std::chrono::milliseconds(12));
    log.write(line, LogPriority::Notable);
    CHECK(!log.flush());
    const std::string output = readPipe();
    LONGS_EQUAL(1, std::count(output.begin(), output.end(), '\n'));
    const Json json = Json::parse(output);
    LONGS_EQUAL(12, json["took_ms"].get<int>());
    STRCMP_EQUAL("sent", json["event"].get<std::string>().c_str());
}

TEST(EventLogs, AFullBufferDropsRoutineLinesFirstAndReportsTheCount)
{
    EventLog log(settings());
    for (int i = 0; i < 100; ++i) {
        writeLine(log, i, LogPriority::Routine);
    }
    for (int i = 0; i < 10; ++i) {
        writeLine(log, 1000 + i, LogPriority::Notable);
    }
    CHECK(log.dropped() > 50);
    log.flush();
    const std::string output = readPipe();
    CHECK(output.find("\"number\":1009") != std::string::npos); // notable lines still had room
    CHECK(output.find("\"lines\":" + std::to_string(log.dropped())) != std::string::npos);
}

TEST(EventLogs, AFullPipeNeverBlocksAndLinesStayWhole)
{
    fcntl(pipeFds[1], F_SETPIPE_SZ, 4096);
    EventLogSettings largeBuffer = settings();
    largeBuffer.maxBufferBytes = 100000;
    EventLog log(largeBuffer);
    for (int i = 0; i < 200; ++i) {
        writeLine(log, i, LogPriority::Notable);
    }
    CHECK(log.flush()); // does not block; lines remain queued
    std::string output = readPipe();
    while (log.flush()) {
        output += readPipe();
    }
    output += readPipe();
    std::istringstream lines(output);
    std::string line;
    int count = 0;
    while (std::getline(lines, line)) {
        LONGS_EQUAL(count, Json::parse(line)["number"].get<int>());
        ++count;
    }
    LONGS_EQUAL(200, count);
}

TEST_GROUP(RequestTimelines){};

TEST(RequestTimelines, OrdersTheEventsOfOneRequestAcrossDaemons)
{
    std::istringstream logs(
        "  3.1 front-2 {\"t\":30,\"event\":\"failed\",\"request\":\"r1\",\"status\":502,\"reason\":\"broken_answer\","
        "\"may_have_run\":true,\"took_ms\":9,\"sent\":1,\"ran\":1}\n"
        "noise about r1 {\n"
        "  2.0 front-2 {\"t\":20,\"event\":\"sent\",\"request\":\"r1\",\"replica\":\"i-1\",\"service\":\"s\",\"try\":1,"
        "\"left_ms\":100,\"load\":3,\"new_connection\":true}\n"
        "  2.0 front-3 {\"t\":21,\"event\":\"sent\",\"request\":\"r10\"}\n");
    const auto timeline = requestTimeline({"r1"}, logs);
    LONGS_EQUAL(2, timeline.size());
    STRCMP_EQUAL("sent", timeline[0].event.c_str());
    STRCMP_EQUAL("front-2", timeline[1].daemon.c_str());
    CHECK(timeline[1].description.find("a replica may have run it") != std::string::npos);
    CHECK(timeline[1].description.find("broken_answer") != std::string::npos);
}

TEST(RequestTimelines, ReportsAProcessThatEndedBeforeTheRequest)
{
    const std::string sent =
        " 2.0 front-2 "
        "{\"t\":20,\"event\":\"sent\",\"request\":\"r1\",\"replica\":\"i-1\",\"try\":1,\"left_ms\":9,\"load\":3}\n";
    const std::string starts =
        " 0.1 front-2 {\"t\":1,\"event\":\"start\"}\n 2.2 front-3 {\"t\":22,\"event\":\"start\"}\n";
    std::istringstream restartedLogs(starts + sent + " 9.9 front-2 {\"t\":520,\"event\":\"start\"}\n");
    const auto timeline = requestTimeline({"r1"}, restartedLogs);
    LONGS_EQUAL(2, timeline.size());
    CHECK(timeline[1].description.find("started again 500 ms after") != std::string::npos);
    std::istringstream unfinishedLogs(starts + sent);
    CHECK(requestTimeline({"r1"}, unfinishedLogs).back().description.find("no end is logged") != std::string::npos);
    std::istringstream otherLogs(starts + sent);
    CHECK(requestTimeline({"r2"}, otherLogs).empty());
}

TEST(RequestTimelines, TellsWhyARequestWasNotAdmitted)
{
    std::istringstream logs(
        " 2.0 front-2 {\"t\":20,\"event\":\"not_admitted\",\"request\":\"r1\",\"service\":\"s\",\"why\":\"too_late\","
        "\"priority\":3,\"waiting\":7,\"expected_wait_ms\":900,\"start_within_ms\":300}\n"
        " 2.0 front-2 {\"t\":20,\"event\":\"refused\",\"request\":\"r1\",\"status\":503,\"reason\":\"no_room\","
        "\"may_have_run\":false,\"took_ms\":1,\"sent\":0,\"ran\":0}\n");
    const auto timeline = requestTimeline({"r1"}, logs);
    LONGS_EQUAL(2, timeline.size());
    CHECK(timeline[0].description.find("too_late") != std::string::npos);
    CHECK(timeline[0].description.find("expected in 900 ms") != std::string::npos);
    CHECK(timeline[1].description.find("no_room") != std::string::npos);
}
