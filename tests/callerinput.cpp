// What a caller sends is parsed in the order in which it came, wherever it is cut and whenever responses end: requests
// sent ahead, bodies that look like requests, chunked bodies, `Expect`.
#include "tests/onecaller.h"

#include <random>

using namespace galenafold;

TEST_GROUP(CallerInput){};

static const std::string host = "Host: h\r\n";
static const std::string inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"; // in a body, it is no request

static std::string getRequest(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\n" + host + "\r\n";
}

static std::string postRequest(const std::string &target, const std::string &body, const std::string &lines = "")
{
    return "POST " + target + " HTTP/1.1\r\n" + host + lines + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// @param sizes of the chunks, the rest comes in one more
static std::string chunkedRequest(const std::string &target, const std::string &body,
                                  const std::vector<std::size_t> &sizes, const std::string &trailer = "")
{
    std::string bytes = "POST " + target + " HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n";
    std::size_t at = 0;
    for (const std::size_t size : sizes) {
        if (size > 0 && at + size < body.size()) {
            appendChunk(bytes, std::string_view(body).substr(at, size));
            at += size;
        }
    }
    if (at < body.size()) {
        appendChunk(bytes, std::string_view(body).substr(at));
    }
    return bytes + "0\r\n" + trailer + "\r\n";
}

/// Sends all at once, and responds to each request as it is read.
static void runAhead(OneCaller &one, const std::string &bytes, std::size_t requests)
{
    one.send(bytes);
    std::size_t responses = 0;
    CHECK(waitFor([&] {
        one.poll();
        if (responses < one.targets.size()) {
            ++responses;
            one.connection->sendResponse(200, {}, "");
        }
        return responses == requests;
    }));
    one.poll();
    LONGS_EQUAL(requests, one.targets.size());
    CHECK(one.rejected.empty());
}

TEST(CallerInput, RequestsSentAheadAreRunInTheirOrder)
{
    for (const std::size_t count : {2, 3, 500}) {
        OneCaller one;
        std::string bytes;
        for (std::size_t i = 0; i < count; ++i) {
            bytes += i % 2 == 0 ? getRequest("/" + std::to_string(i)) : postRequest("/" + std::to_string(i), inner);
        }
        runAhead(one, bytes, count);
        for (std::size_t i = 0; i < count; ++i) {
            STRCMP_EQUAL(("/" + std::to_string(i)).c_str(), one.targets[i].c_str());
            STRCMP_EQUAL(i % 2 == 0 ? "" : inner.c_str(), one.bodies[i].c_str());
        }
    }
}

TEST(CallerInput, ABodyThatLooksLikeARequestIsABody)
{
    for (const std::string &request : {postRequest("/b", inner), chunkedRequest("/b", inner, {1, 5}),
                                       chunkedRequest("/b", inner, {inner.size() - 1}, "X-Trailer: t\r\n")}) {
        OneCaller one;
        runAhead(one, getRequest("/a") + request + getRequest("/c"), 3);
        STRCMP_EQUAL("/b", one.targets[1].c_str());
        STRCMP_EQUAL(inner.c_str(), one.bodies[1].c_str());
        STRCMP_EQUAL("/c", one.targets[2].c_str());
    }
}

/// @return all that the connection has sent to the caller so far
static std::string received(OneCaller &one)
{
    one.poll();
    one.caller.non_blocking(true);
    std::string bytes(65536, '\0');
    asio::error_code error;
    bytes.resize(one.caller.read_some(asio::buffer(bytes), error));
    return bytes;
}

/// The caller waits for the interim response before it sends the body, also if its request was sent ahead.
TEST(CallerInput, AnExpectationIsAnsweredWhenTheRequestHasItsTurn)
{
    const std::string request = postRequest("/second", inner, "Expect: 100-continue\r\n");
    const std::size_t bodyAt = request.size() - inner.size();
    OneCaller one;
    one.send(getRequest("/first") + request.substr(0, bodyAt));
    STRCMP_EQUAL("", received(one).c_str()); // the first response has to come first
    LONGS_EQUAL(1, one.targets.size());
    one.connection->sendResponse(200, {}, "");
    const std::string responses = received(one);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK_TEXT(responses.size() > interim.size(), responses.c_str());
    STRCMP_EQUAL(interim.c_str(), responses.substr(responses.size() - interim.size()).c_str());
    one.send(request.substr(bodyAt));
    one.poll();
    LONGS_EQUAL(2, one.targets.size());
    STRCMP_EQUAL(inner.c_str(), one.bodies[1].c_str());
}

// Seeded runs

/// What a connection has to read from a caller, drawn from a seed.
struct Conversation {
    std::string bytes;
    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    bool endsBroken = false; // the input behind the last request is no request
};

using Random = std::mt19937;

static std::size_t draw(Random &random, std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
}

static std::string drawBody(Random &random)
{
    constexpr std::size_t longBody = 80000; // more than is read ahead
    switch (draw(random, 8)) {
    case 0:
        return inner;
    case 1:
        return "0\r\n\r\n" + inner;
    case 2:
        return inner + inner + "\r\n\r\n";
    case 3:
        return draw(random, 20) == 0 ? std::string(longBody, 'G') : "G";
    default:
        return std::string(1 + draw(random, 40), '\n');
    }
}

static Conversation drawConversation(Random &random)
{
    Conversation conversation;
    const std::size_t count = 1 + draw(random, 6);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string target = "/" + std::to_string(i);
        const std::size_t kind = draw(random, 5);
        const std::string body = kind == 0 ? "" : drawBody(random);
        conversation.targets.push_back(target);
        conversation.bodies.push_back(body);
        conversation.bytes += draw(random, 6) == 0 ? "\r\n" : "";
        if (kind == 0) {
            conversation.bytes += getRequest(target);
        } else if (kind < 3) {
            conversation.bytes += postRequest(target, body, draw(random, 3) == 0 ? "Expect: 100-continue\r\n" : "");
        } else {
            const std::vector<std::size_t> sizes{draw(random, 9), draw(random, 9), draw(random, 70)};
            conversation.bytes += chunkedRequest(target, body, sizes, kind == 4 ? "X-Trailer: t\r\n" : "");
        }
    }
    conversation.endsBroken = draw(random, 4) == 0;
    if (conversation.endsBroken) {
        conversation.bytes += "no request\r\n\r\n" + inner;
    }
    return conversation;
}

/// The connection and one way in which responses end: during the request's own input, with later input, or before it.
struct Trial {
    explicit Trial(Random &source)
        : random(source)
    {
        one.hooks.onRequest = [this](const std::shared_ptr<CallerConnection> &, CallerRequest &&request) {
            one.targets.push_back(request.head.target);
            one.bodies.push_back(request.body);
            if (draw(random, 3) == 0) {
                respond(); // while the input is being parsed
            }
        };
    }
    void respond()
    {
        if (responses < one.targets.size()) {
            ++responses;
            one.connection->sendResponse(200, {}, "");
        }
    }
    void step()
    {
        switch (draw(random, 4)) {
        case 0:
            one.poll();
            break;
        case 1:
            asio::post(one.io, [this] { respond(); }); // ready in the same turn as the input that comes next
            break;
        case 2:
            respond(); // what was sent ahead waits for its turn, and more input arrives before that
            break;
        default:
            break;
        }
    }
    void send(const std::string &bytes)
    {
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t longest = draw(random, 3) == 0 ? bytes.size() : 60;
            const std::size_t size = std::min(bytes.size() - at, 1 + draw(random, longest));
            one.send(bytes.substr(at, size));
            at += size;
            step();
        }
    }

    Random &random;
    std::size_t responses = 0;
    OneCaller one;
};

/// Input is cut anywhere, and responses end at any time: always the same requests, with the same bodies, are run.
TEST(CallerInput, CutsAndResponseTimesDoNotChangeWhatIsRun)
{
    const char *wanted = std::getenv("GALENAFOLD_TRIALS");
    const unsigned trials = wanted ? static_cast<unsigned>(std::atoi(wanted)) : 1000;
    for (unsigned seed = 1; seed <= trials; ++seed) {
        Random random(seed);
        const Conversation conversation = drawConversation(random);
        Trial trial(random);
        OneCaller &one = trial.one;
        const std::string label = "seed " + std::to_string(seed);
        trial.send(conversation.bytes);
        const auto isDone = [&] {
            one.poll();
            trial.respond();
            return trial.responses == conversation.targets.size() && one.rejected.empty() != conversation.endsBroken;
        };
        CHECK_TEXT(waitFor(isDone), label.c_str());
        one.poll();
        LONGS_EQUAL_TEXT(conversation.targets.size(), one.targets.size(), label.c_str());
        for (std::size_t i = 0; i < conversation.targets.size(); ++i) {
            STRCMP_EQUAL_TEXT(conversation.targets[i].c_str(), one.targets[i].c_str(), label.c_str());
            STRCMP_EQUAL_TEXT(conversation.bodies[i].c_str(), one.bodies[i].c_str(), label.c_str());
        }
    }
}
