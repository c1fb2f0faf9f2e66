// Callers that do not behave, against the built daemon in a process of its own: it lives, its memory and its open
// descriptors stay under a bound, and an ordinary request is answered afterwards. Neither times nor shares of served
// requests are checked. CTest runs this group apart from other load.
//
// Sections of this file: Set-up, Crowds, Router, Own interface.
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

static int statusOf(int port, const std::string &request)
{
    RawCaller caller(port);
    caller.send(request);
    return caller.read() ? caller.status() : 0;
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

/// Connections that all send the same.
struct CrowdKind {
    int connections = 0;
    std::function<CrowdInput(const Door &)> input; // what a connection sends to an address
};

/// Sends the crowd to each address, and checks the daemon while it stays.
static void play(DaemonProcess &process, const std::vector<Door> &doors, const std::function<bool()> &isServed,
                 const CrowdKind &kind)
{
    std::set<int> ports;
    for (const Door &door : doors) {
        ports.insert(door.port);
    }
    for (const Door &door : doors) {
        Crowd crowd(door.port, kind.input(door), kind.connections);
        crowd.send();
        checkDaemon(process, ports, door.name, isServed);
    }
}

// Crowds

constexpr int bodyCrowd = 24;   // connections, each with a body of up to 4 MiB
constexpr int fieldCrowd = 140; // connections, each with thousands of fields
constexpr int slowCrowd = 60;
constexpr const char *chunkedHead = "Transfer-Encoding: chunked\r\n\r\n";

static CrowdKind bodiesThatStopShort(std::size_t pieceBytes = SIZE_MAX)
{
    const auto body = sharedText(std::string(maxBodyBytes - 1, 'x'));
    return {bodyCrowd, [=](const Door &door) {
                return CrowdInput{door.lines + length(maxBodyBytes), body, 1, pieceBytes};
            }};
}

static CrowdKind wholeBodies()
{
    const auto body = sharedText(std::string(maxBodyBytes, 'x'));
    return {bodyCrowd, [=](const Door &door) { return CrowdInput{door.lines + length(maxBodyBytes), body}; }};
}

static CrowdKind bodiesFarOverTheLimit()
{
    const auto body = sharedText(std::string(1U << 20U, 'x'));
    return {bodyCrowd, [=](const Door &door) { return CrowdInput{door.lines + length(1U << 30U), body, 1000}; }};
}

/// @param bytes of each chunk @param chunks in all
static CrowdKind chunks(std::size_t bytes, int chunks)
{
    std::string chunk;
    appendChunk(chunk, std::string(bytes, 'x'));
    const auto body = sharedText(std::move(chunk));
    return {bodyCrowd, [=](const Door &door) { return CrowdInput{door.lines + chunkedHead, body, chunks}; }};
}

/// @param rest what follows the fields
static CrowdKind headsOfManyFields(const std::string &rest)
{
    const auto fields = sharedText(manyFields() + rest);
    return {fieldCrowd, [=](const Door &door) { return CrowdInput{door.lines, fields}; }};
}

static CrowdKind trailersOfManyFields()
{
    return headsOfManyFields(chunkedHead + std::string("1\r\nx\r\n0\r\n") + manyFields());
}

static CrowdKind requestsSentAhead()
{
    constexpr int connections = 30;
    constexpr int requests = 5000;
    return {connections, [](const Door &door) {
                return CrowdInput{door.lines + length(0), sharedText(door.lines + length(0)), requests};
            }};
}

static CrowdKind bodiesSentAhead()
{
    constexpr int requests = 100;
    return {bodyCrowd, [](const Door &door) {
                const std::string request = door.lines + length(100000) + std::string(100000, 'x');
                return CrowdInput{request, sharedText(request), requests};
            }};
}

static CrowdKind headsInSingleBytes()
{
    return {slowCrowd, [](const Door &door) { return CrowdInput{"", sharedText(door.lines + length(2)), 1, 1}; }};
}

static CrowdKind bodiesInSingleBytesAfterHalf()
{
    const std::string half(maxBodyBytes / 2, 'x');
    const auto rest = sharedText(half);
    return {slowCrowd, [=](const Door &door) {
                return CrowdInput{door.lines + length(maxBodyBytes) + half, rest, 1, 1};
            }};
}

static CrowdKind connectionsThatNeverSpeak()
{
    constexpr int connections = 390;
    return {connections, [](const Door &) { return CrowdInput{"", nullptr, 0}; }};
}

/// Chunks of one byte, each with an extension of nearly the size of a head.
static CrowdKind chunksWithLongExtensions()
{
    const auto chunk = sharedText("1;a=" + std::string(maxHeadBytes - 100, 'e') + "\r\nx\r\n");
    return {bodyCrowd, [=](const Door &door) { return CrowdInput{door.lines + chunkedHead, chunk, 1000}; }};
}

static CrowdKind chunkSizeThatDoesNotEnd()
{
    const auto zeros = sharedText(std::string(1U << 16U, '0'));
    return {bodyCrowd, [=](const Door &door) { return CrowdInput{door.lines + chunkedHead, zeros, 1000}; }};
}

static CrowdKind fieldThatDoesNotEnd()
{
    const auto value = sharedText(std::string(1U << 16U, 'v'));
    return {bodyCrowd, [=](const Door &door) { return CrowdInput{door.lines + "a: ", value, 1000}; }};
}

static CrowdKind expectationsWithoutABody()
{
    const std::string expect = "Expect: 100-continue\r\n" + length(maxBodyBytes);
    return {fieldCrowd, [=](const Door &door) { return CrowdInput{door.lines + expect, nullptr, 0}; }};
}

/// @return the lines with another method, version and further fields
static std::string changed(const Door &door, const std::string &method, const std::string &version,
                           const std::string &fields)
{
    std::string lines = method + door.lines.substr(door.lines.find(' '));
    lines.replace(lines.find("HTTP/1.1"), version.size(), version);
    return lines + fields;
}

static CrowdKind upgradesSentAhead(const std::string &method)
{
    return {slowCrowd, [=](const Door &door) {
                const std::string request =
                    changed(door, method, "HTTP/1.1", "Connection: Upgrade\r\nUpgrade: websocket\r\n" + length(0));
                return CrowdInput{request, sharedText(request + std::string(1000, 'x')), 1000};
            }};
}

static CrowdKind oldRequestsSentAhead()
{
    return {slowCrowd, [](const Door &door) {
                const std::string method = door.lines.substr(0, door.lines.find(' '));
                const std::string request = changed(door, method, "HTTP/1.0", "Connection: keep-alive\r\n" + length(0));
                return CrowdInput{request, sharedText(request), 1000};
            }};
}

/// Callers that send all they have to say, end their sending half and read nothing.
static CrowdKind endedSenders()
{
    return {fieldCrowd, [](const Door &door) {
                CrowdInput input{door.lines + length(0), sharedText(door.lines + length(0)), 20};
                input.endsSending = true;
                return input;
            }};
}

/// Callers that ask for many answers and read a byte of them now and then.
static CrowdKind slowReaders()
{
    return {slowCrowd, [](const Door &door) {
                CrowdInput input{door.lines + length(0), sharedText(door.lines + length(0)), 2000};
                input.readsBytes = true;
                return input;
            }};
}

// Router

/// The daemon as a router, with a store and one replica.
struct RouterUnderCrowds {
    void start()
    {
        store.start();
        replica.start();
        store.put("keyed.servers", replica.id(), replica.entry());
        auto state = nlohmann::json::parse(sampleDesiredState(1, {{"once", "non_idempotent"}}, {"k1"}));
        state["limits"] = {{"maxHeaderBytes", maxHeadBytes},
                           {"maxBodyBytes", maxBodyBytes},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}};
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
                {"no key", port, "POST /once/x HTTP/1.1\r\nHost: app.example\r\n"},
                {"readiness", adminPort, "GET /-/readiness HTTP/1.1\r\nHost: h\r\n"},
                {"metrics", adminPort, "GET /metrics HTTP/1.1\r\nHost: h\r\n"}};
    }
    void play(const CrowdKind &kind)
    {
        ::play(
            *process, doors(), [this] { return isServed(); }, kind);
    }

    const ReservedPort reservedPort;
    const ReservedPort reservedAdminPort;
    const int port = reservedPort.number();
    const int adminPort = reservedAdminPort.number();
    int requests = 0;
    FakeTopicStore store;
    FakeReplica replica{"a", "svc", respondOk};
    std::unique_ptr<DaemonProcess> process;
};

TEST_GROUP(MisbehavingCallers)
{
    RouterUnderCrowds daemon;

    void setup() override
    {
        daemon.start();
    }
};

TEST(MisbehavingCallers, BodiesThatStopShortOfTheirEnd)
{
    daemon.play(bodiesThatStopShort());
}

TEST(MisbehavingCallers, BodiesInSmallPieces)
{
    daemon.play(bodiesThatStopShort(8000));
}

TEST(MisbehavingCallers, BodiesInChunksWithoutTheLast)
{
    daemon.play(chunks(1000, maxBodyBytes / 1000));
}

/// The route's replica returns the body, which nobody reads.
TEST(MisbehavingCallers, WholeBodiesWithAnswersThatNobodyReads)
{
    daemon.play(wholeBodies());
}

TEST(MisbehavingCallers, BodiesFarOverTheLimit)
{
    daemon.play(bodiesFarOverTheLimit());
}

TEST(MisbehavingCallers, ChunksFarOverTheLimit)
{
    daemon.play(chunks(1U << 20U, 1000));
}

TEST(MisbehavingCallers, HeadsOfManyFieldsThatDoNotEnd)
{
    daemon.play(headsOfManyFields(""));
}

TEST(MisbehavingCallers, HeadsOfManyFieldsBeforeABodyThatDoesNotEnd)
{
    daemon.play(headsOfManyFields(length(2) + "x"));
}

TEST(MisbehavingCallers, WholeRequestsOfManyFields)
{
    daemon.play(headsOfManyFields(length(0)));
}

TEST(MisbehavingCallers, TrailersOfManyFields)
{
    daemon.play(trailersOfManyFields());
}

TEST(MisbehavingCallers, RequestsSentAheadWithoutReadingTheAnswers)
{
    daemon.play(requestsSentAhead());
}

TEST(MisbehavingCallers, BodiesSentAheadWithoutReadingTheAnswers)
{
    daemon.play(bodiesSentAhead());
}

TEST(MisbehavingCallers, HeadsInSingleBytes)
{
    daemon.play(headsInSingleBytes());
}

TEST(MisbehavingCallers, BodiesInSingleBytesAfterHalf)
{
    daemon.play(bodiesInSingleBytesAfterHalf());
}

TEST(MisbehavingCallers, ConnectionsThatNeverSpeak)
{
    daemon.play(connectionsThatNeverSpeak());
}

/// Input that is odd, though most of it is legal.
TEST_GROUP(MisbehavingCallersOfHttp)
{
    RouterUnderCrowds daemon;

    void setup() override
    {
        daemon.start();
    }
};

TEST(MisbehavingCallersOfHttp, ChunksOfOneByte)
{
    daemon.play(chunks(1, 100000));
}

TEST(MisbehavingCallersOfHttp, ChunksWithLongExtensions)
{
    daemon.play(chunksWithLongExtensions());
}

TEST(MisbehavingCallersOfHttp, ChunkSizesThatDoNotEnd)
{
    daemon.play(chunkSizeThatDoesNotEnd());
}

TEST(MisbehavingCallersOfHttp, FieldsThatDoNotEnd)
{
    daemon.play(fieldThatDoesNotEnd());
}

TEST(MisbehavingCallersOfHttp, ExpectationsWithoutABody)
{
    daemon.play(expectationsWithoutABody());
}

TEST(MisbehavingCallersOfHttp, UpgradesSentAhead)
{
    daemon.play(upgradesSentAhead("GET"));
}

TEST(MisbehavingCallersOfHttp, TunnelsSentAhead)
{
    daemon.play(upgradesSentAhead("CONNECT"));
}

TEST(MisbehavingCallersOfHttp, OldRequestsSentAhead)
{
    daemon.play(oldRequestsSentAhead());
}

TEST(MisbehavingCallersOfHttp, CallersThatEndTheirSendingHalf)
{
    daemon.play(endedSenders());
}

TEST(MisbehavingCallersOfHttp, CallersThatReadAByteAtATime)
{
    daemon.play(slowReaders());
}

// Own interface

/// The daemon with its own interface.
struct ContractUnderCrowds {
    void start()
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
    void play(const CrowdKind &kind)
    {
        ::play(
            *process, doors(), [this] { return isServed(); }, kind);
    }

    const std::string memory = "memory_mb = " + std::to_string(memoryMegabytes) + '\n';
    const ReservedPort reservedPort;
    const int port = reservedPort.number();
    FakeLog log;
    FakeVmList vmList;
    std::unique_ptr<DaemonProcess> process;
};

TEST_GROUP(MisbehavingCallersOfAContract)
{
    ContractUnderCrowds daemon;

    void setup() override
    {
        daemon.start();
    }
};

TEST(MisbehavingCallersOfAContract, BodiesThatStopShortOfTheirEnd)
{
    daemon.play(bodiesThatStopShort());
}

TEST(MisbehavingCallersOfAContract, BodiesInSmallPieces)
{
    daemon.play(bodiesThatStopShort(8000));
}

TEST(MisbehavingCallersOfAContract, BodiesInChunksWithoutTheLast)
{
    daemon.play(chunks(1000, maxBodyBytes / 1000));
}

TEST(MisbehavingCallersOfAContract, WholeBodiesWithAnswersThatNobodyReads)
{
    daemon.play(wholeBodies());
}

TEST(MisbehavingCallersOfAContract, BodiesFarOverTheLimit)
{
    daemon.play(bodiesFarOverTheLimit());
}

TEST(MisbehavingCallersOfAContract, ChunksFarOverTheLimit)
{
    daemon.play(chunks(1U << 20U, 1000));
}

TEST(MisbehavingCallersOfAContract, HeadsOfManyFieldsThatDoNotEnd)
{
    daemon.play(headsOfManyFields(""));
}

TEST(MisbehavingCallersOfAContract, HeadsOfManyFieldsBeforeABodyThatDoesNotEnd)
{
    daemon.play(headsOfManyFields(length(2) + "x"));
}

TEST(MisbehavingCallersOfAContract, WholeRequestsOfManyFields)
{
    daemon.play(headsOfManyFields(length(0)));
}

TEST(MisbehavingCallersOfAContract, TrailersOfManyFields)
{
    daemon.play(trailersOfManyFields());
}

TEST(MisbehavingCallersOfAContract, RequestsSentAheadWithoutReadingTheAnswers)
{
    daemon.play(requestsSentAhead());
}

TEST(MisbehavingCallersOfAContract, BodiesSentAheadWithoutReadingTheAnswers)
{
    daemon.play(bodiesSentAhead());
}

TEST(MisbehavingCallersOfAContract, HeadsInSingleBytes)
{
    daemon.play(headsInSingleBytes());
}

TEST(MisbehavingCallersOfAContract, BodiesInSingleBytesAfterHalf)
{
    daemon.play(bodiesInSingleBytesAfterHalf());
}

TEST(MisbehavingCallersOfAContract, ConnectionsThatNeverSpeak)
{
    daemon.play(connectionsThatNeverSpeak());
}

/// Input that is odd, though most of it is legal.
TEST_GROUP(MisbehavingCallersOfAContractsHttp)
{
    ContractUnderCrowds daemon;

    void setup() override
    {
        daemon.start();
    }
};

TEST(MisbehavingCallersOfAContractsHttp, ChunksOfOneByte)
{
    daemon.play(chunks(1, 100000));
}

TEST(MisbehavingCallersOfAContractsHttp, ChunksWithLongExtensions)
{
    daemon.play(chunksWithLongExtensions());
}

TEST(MisbehavingCallersOfAContractsHttp, ChunkSizesThatDoNotEnd)
{
    daemon.play(chunkSizeThatDoesNotEnd());
}

TEST(MisbehavingCallersOfAContractsHttp, FieldsThatDoNotEnd)
{
    daemon.play(fieldThatDoesNotEnd());
}

TEST(MisbehavingCallersOfAContractsHttp, ExpectationsWithoutABody)
{
    daemon.play(expectationsWithoutABody());
}

TEST(MisbehavingCallersOfAContractsHttp, UpgradesSentAhead)
{
    daemon.play(upgradesSentAhead("GET"));
}

TEST(MisbehavingCallersOfAContractsHttp, TunnelsSentAhead)
{
    daemon.play(upgradesSentAhead("CONNECT"));
}

TEST(MisbehavingCallersOfAContractsHttp, OldRequestsSentAhead)
{
    daemon.play(oldRequestsSentAhead());
}

TEST(MisbehavingCallersOfAContractsHttp, CallersThatEndTheirSendingHalf)
{
    daemon.play(endedSenders());
}

TEST(MisbehavingCallersOfAContractsHttp, CallersThatReadAByteAtATime)
{
    daemon.play(slowReaders());
}
