// Callers that do not behave, against the built daemon in a process of its own: it lives, its memory and its open
// descriptors stay under a bound, and an ordinary request is answered afterwards. Neither times nor shares of served
// requests are checked. CTest runs this group apart from other load.
//
// Sections of this file: Set-up, Bodies, Fields, Requests sent ahead, Slow and silent, Own interface.
#include "fakes/fleet.h"
#include "tests/daemonprocess.h"

#include <nlohmann/json.hpp>

using namespace galenafold;

// Set-up

constexpr int memoryMegabytes = 48;                   // of the daemon's settings, and the bound on its memory
constexpr int maxDescriptors = 400;                   // of the daemon
constexpr int descriptorBound = maxDescriptors - 200; // those for files stay free
constexpr std::size_t maxBodyBytes = 4U << 20U;       // the default limits
constexpr std::size_t maxHeadBytes = 16384;
constexpr int shortFields = 3800;
#ifdef __SANITIZE_ADDRESS__
constexpr int memoryFactor = 8; // shadow memory, red zones and what is kept back from reuse
#else
constexpr int memoryFactor = 1;
#endif

/// An address and the first lines of a request, up to the fields that describe its body.
struct Door {
    std::string name;
    int port;
    std::string lines;
};

static std::string callerLines(const std::string &path, const std::string &key)
{
    return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Galenafold-Attempt-Id: crowd\r\nX-Api-Key: " + key
        + "\r\n";
}

static std::string length(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

static std::shared_ptr<const std::string> sharedText(std::string content)
{
    return std::make_shared<const std::string>(std::move(content));
}

/// @return lines of two or three bytes each and their ends, as many as a head may have beside the other lines
static std::string manyFields()
{
    std::string lines;
    for (int i = 0; i < shortFields && lines.size() < maxHeadBytes - 300; ++i) {
        lines += "a:\r\n";
    }
    return lines;
}

/// The checks that all crowds share.
static void checkDaemon(DaemonProcess &process, const std::set<int> &ports, const std::string &crowd,
                        const std::function<bool()> &isServed)
{
    const std::int64_t bound = std::int64_t(memoryMegabytes) * 1000000 * memoryFactor;
    CHECK_TEXT(process.isAlive(), (crowd + ": the process has ended").c_str());
    const std::int64_t peak = process.peakBytes() + DaemonProcess::unreadBytes(ports);
    const int descriptors = process.descriptors();
    CHECK_TEXT(peak <= bound, (crowd + ": resident at most, and unread, " + std::to_string(peak)).c_str());
    CHECK_TEXT(descriptors <= descriptorBound, (crowd + ": descriptors " + std::to_string(descriptors)).c_str());
    CHECK_TEXT(waitFor(isServed), (crowd + ": an ordinary request is not served").c_str());
    CHECK_TEXT(process.isAlive(), (crowd + ": the process has ended since").c_str());
}

static int statusOf(int port, const std::string &request)
{
    RawCaller caller(port);
    caller.send(request);
    return caller.read() ? caller.status() : 0;
}

// clang-format takes a group that begins with a function for an initializer list.
// clang-format off
TEST_GROUP(MisbehavingCallers)
{
    void setup() override
    {
        store.start();
        replica.start();
        store.put("keyed.servers", replica.id(), replica.entry());
        auto state = nlohmann::json::parse(sampleDesiredState(1, {{"once", "non_idempotent"}}, {"k1"}));
        state["limits"] = {{"maxHeaderBytes", maxHeadBytes}, {"maxBodyBytes", maxBodyBytes},
                           {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
        store.put("keyed.op", "config", state.dump());
        const std::string settings = "[router]\nname = r1\ndata_centre = here\nmemory_mb = "
            + std::to_string(memoryMegabytes) + "\n[listen]\ncallers = 127.0.0.1:" + std::to_string(port)
            + "\nadmin = 127.0.0.1:" + std::to_string(adminPort) + "\n[store]\naddress = " + store.address() + '\n';
        process = std::make_unique<DaemonProcess>(settings, maxDescriptors);
        CHECK(waitFor([this] { return isServed(); }));
    }
    bool isServed()
    {
        try {
            return statusOf(adminPort, "GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n") == 200
                && statusOf(port, encodeCallerRequest("/once/ok", "id-" + std::to_string(++requests))) == 200;
        } catch (const std::exception &) { // it does not listen yet
            return false;
        }
    }
    std::vector<Door> doors() const
    {
        return {{"route", port, callerLines("/once/x", "k1")},
                {"no route", port, callerLines("/nowhere/x", "k1")},
                {"unknown key", port, callerLines("/once/x", "none")},
                {"readiness", adminPort, "GET /-/readiness HTTP/1.1\r\nHost: h\r\n"},
                {"metrics", adminPort, "GET /metrics HTTP/1.1\r\nHost: h\r\n"}};
    }
    /// Sends the same crowd to each address. @param input what a connection sends there
    void play(int connections, const std::function<CrowdInput(const Door &)> &input)
    {
        for (const Door &door : doors()) {
            Crowd crowd(door.port, input(door), connections);
            crowd.send();
            checkDaemon(*process, {port, adminPort}, door.name, [this] { return isServed(); });
        }
    }

    int port = freePort();
    int adminPort = freePort();
    int requests = 0;
    FakeTopicStore store;
    FakeReplica replica{"a", "svc", respondOk};
    std::unique_ptr<DaemonProcess> process;
};
// clang-format on

// Bodies

constexpr int bodyCrowd = 24; // connections, each with a body of up to 4 MiB

TEST(MisbehavingCallers, BodiesThatStopShortOfTheirEnd)
{
    const auto body = sharedText(std::string(maxBodyBytes - 1, 'x'));
    play(bodyCrowd, [&](const Door &door) { return CrowdInput{door.lines + length(maxBodyBytes), body}; });
}

TEST(MisbehavingCallers, BodiesInSmallPieces)
{
    const auto body = sharedText(std::string(maxBodyBytes - 1, 'x'));
    play(bodyCrowd, [&](const Door &door) { return CrowdInput{door.lines + length(maxBodyBytes), body, 1, 8000}; });
}

TEST(MisbehavingCallers, BodiesInChunksWithoutTheLast)
{
    std::string chunk;
    appendChunk(chunk, std::string(1000, 'x'));
    const auto body = sharedText(std::move(chunk));
    play(bodyCrowd, [&](const Door &door) {
        return CrowdInput{door.lines + "Transfer-Encoding: chunked\r\n\r\n", body, maxBodyBytes / 1000};
    });
}

/// The route's replica returns the body, which nobody reads.
TEST(MisbehavingCallers, WholeBodiesWithAnswersThatNobodyReads)
{
    const auto body = sharedText(std::string(maxBodyBytes, 'x'));
    play(bodyCrowd, [&](const Door &door) { return CrowdInput{door.lines + length(maxBodyBytes), body}; });
}

TEST(MisbehavingCallers, BodiesFarOverTheLimit)
{
    const auto body = sharedText(std::string(1U << 20U, 'x'));
    play(bodyCrowd, [&](const Door &door) { return CrowdInput{door.lines + length(1U << 30U), body, 1000}; });
}

TEST(MisbehavingCallers, ChunksFarOverTheLimit)
{
    std::string chunk;
    appendChunk(chunk, std::string(1U << 20U, 'x'));
    const auto body = sharedText(std::move(chunk));
    play(bodyCrowd, [&](const Door &door) {
        return CrowdInput{door.lines + "Transfer-Encoding: chunked\r\n\r\n", body, 1000};
    });
}

// Fields

constexpr int fieldCrowd = 140; // connections, each with thousands of fields

TEST(MisbehavingCallers, HeadsOfManyFieldsThatDoNotEnd)
{
    const auto fields = sharedText(manyFields());
    play(fieldCrowd, [&](const Door &door) { return CrowdInput{door.lines, fields}; });
}

TEST(MisbehavingCallers, HeadsOfManyFieldsBeforeABodyThatDoesNotEnd)
{
    const auto rest = sharedText(manyFields() + length(2) + "x");
    play(fieldCrowd, [&](const Door &door) { return CrowdInput{door.lines, rest}; });
}

TEST(MisbehavingCallers, WholeRequestsOfManyFields)
{
    const auto rest = sharedText(manyFields() + length(0));
    play(fieldCrowd, [&](const Door &door) { return CrowdInput{door.lines, rest}; });
}

TEST(MisbehavingCallers, TrailersOfManyFields)
{
    const auto rest = sharedText(manyFields() + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + manyFields());
    play(fieldCrowd, [&](const Door &door) { return CrowdInput{door.lines, rest}; });
}

// Requests sent ahead

TEST(MisbehavingCallers, RequestsSentAheadWithoutReadingTheAnswers)
{
    constexpr int connections = 30;
    constexpr int requests = 5000;
    play(connections, [&](const Door &door) {
        return CrowdInput{door.lines + length(0), sharedText(door.lines + length(0)), requests};
    });
}

TEST(MisbehavingCallers, BodiesSentAheadWithoutReadingTheAnswers)
{
    constexpr int requests = 100;
    play(bodyCrowd, [&](const Door &door) {
        const std::string request = door.lines + length(100000) + std::string(100000, 'x');
        return CrowdInput{request, sharedText(request), requests};
    });
}

// Slow and silent

constexpr int slowCrowd = 60;

TEST(MisbehavingCallers, HeadsInSingleBytes)
{
    play(slowCrowd, [&](const Door &door) { return CrowdInput{"", sharedText(door.lines + length(2)), 1, 1}; });
}

TEST(MisbehavingCallers, BodiesInSingleBytesAfterHalf)
{
    const std::string half(maxBodyBytes / 2, 'x');
    const auto rest = sharedText(half);
    play(slowCrowd, [&](const Door &door) { return CrowdInput{door.lines + length(maxBodyBytes) + half, rest, 1, 1}; });
}

TEST(MisbehavingCallers, ConnectionsThatNeverSpeak)
{
    constexpr int connections = 390;
    play(connections, [](const Door &) { return CrowdInput{"", nullptr, 0}; });
}

// Own interface

// clang-format off
TEST_GROUP(MisbehavingCallersOfAContract)
{
    void setup() override
    {
        log.start();
        vmList.start();
        const std::string settings = "[daemon]\nname = entry-1\naddress = 127.0.0.1\ndata_centre = dc-1\nhttp_port = "
            + std::to_string(port) + "\npeer_port = 0\n" + memory + "[platform]\nlog = " + log.address()
            + "\nvm_list = " + vmList.address() + '\n';
        process = std::make_unique<DaemonProcess>(settings, maxDescriptors);
        CHECK(waitFor([this] { return isServed(); }));
    }
    bool isServed() const
    {
        try {
            return statusOf(port, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n") == 200;
        } catch (const std::exception &) { // it does not listen yet
            return false;
        }
    }
    std::vector<Door> doors() const
    {
        const std::string rest = " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer none\r\n";
        return {{"chat", port, "POST /v1/chat/completions" + rest},
                {"no path", port, "POST /nowhere" + rest},
                {"readiness", port, "GET /readyz" + rest},
                {"metrics", port, "GET /metrics" + rest}};
    }
    void play(int connections, const std::function<CrowdInput(const Door &)> &input)
    {
        for (const Door &door : doors()) {
            Crowd crowd(door.port, input(door), connections);
            crowd.send();
            checkDaemon(*process, {port}, door.name, [this] { return isServed(); });
        }
    }

    const std::string memory = "memory_mb = " + std::to_string(memoryMegabytes) + '\n';
    int port = freePort();
    FakeLog log;
    FakeVmList vmList;
    std::unique_ptr<DaemonProcess> process;
};
// clang-format on

TEST(MisbehavingCallersOfAContract, BodiesThatStopShortOfTheirEnd)
{
    const auto body = sharedText(std::string(maxBodyBytes - 1, 'x'));
    play(bodyCrowd, [&](const Door &door) { return CrowdInput{door.lines + length(maxBodyBytes), body}; });
}

TEST(MisbehavingCallersOfAContract, BodiesInChunksWithoutTheLast)
{
    std::string chunk;
    appendChunk(chunk, std::string(1000, 'x'));
    const auto body = sharedText(std::move(chunk));
    play(bodyCrowd, [&](const Door &door) {
        return CrowdInput{door.lines + "Transfer-Encoding: chunked\r\n\r\n", body, maxBodyBytes / 1000};
    });
}

TEST(MisbehavingCallersOfAContract, TrailersOfManyFields)
{
    const auto rest = sharedText(manyFields() + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + manyFields());
    play(fieldCrowd, [&](const Door &door) { return CrowdInput{door.lines, rest}; });
}

TEST(MisbehavingCallersOfAContract, RequestsSentAheadWithoutReadingTheAnswers)
{
    constexpr int connections = 30;
    constexpr int requests = 5000;
    play(connections, [&](const Door &door) {
        return CrowdInput{door.lines + length(0), sharedText(door.lines + length(0)), requests};
    });
}

TEST(MisbehavingCallersOfAContract, ConnectionsThatNeverSpeak)
{
    constexpr int connections = 390;
    play(connections, [](const Door &) { return CrowdInput{"", nullptr, 0}; });
}
