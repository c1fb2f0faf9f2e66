// Tests of replicas that turn requests away and name the time for which they want none.
//
// Sections of this file: Decisions, Router.
#include "control/replicaholds.h"

#include "platform/headers.h"
#include "tests/nodefixture.h"

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Decisions

constexpr Instant start{seconds(100)};
constexpr std::uint32_t replica = 7;

TEST_GROUP(ReplicaHolding)
{
    ReplicaHolds holds{1};
    bool mayGetOne(Instant now, int ownInFlight = 0)
    {
        return holds.hold(now, replica, ownInFlight) == ReplicaHold::None;
    }
};

TEST(ReplicaHolding, AReplicaGetsNothingUntilTheNamedTimeIsOver)
{
    CHECK(holds.onTurnedAway(start, replica, seconds(2)));
    CHECK(!mayGetOne(start));
    CHECK(!mayGetOne(start + milliseconds(1999)));
    CHECK(mayGetOne(start + milliseconds(2500)));
    CHECK(holds.hold(start, replica + 1, 0) == ReplicaHold::None);
}

/// An answer to a request that was sent earlier may come later and name less.
TEST(ReplicaHolding, AShorterTimeDoesNotEndALongerOne)
{
    CHECK(holds.onTurnedAway(start, replica, seconds(4)));
    CHECK(!holds.onTurnedAway(start + seconds(1), replica, milliseconds(500)));
    CHECK(!mayGetOne(start + seconds(3)));
}

TEST(ReplicaHolding, AReplicaComesBackInSteps)
{
    holds.onTurnedAway(start, replica, seconds(1));
    const Instant back = start + milliseconds(1250);
    int inFlight = 0;
    int steps = 0;
    while (holds.turnedAwayUntil(start, replica)) {
        const int before = inFlight;
        while (mayGetOne(back, inFlight) && inFlight < 100) {
            ++inFlight;
        }
        if (inFlight == 100) {
            break;
        }
        CHECK(inFlight <= std::max(1, 2 * before));
        holds.onServed(back, replica);
        ++steps;
    }
    CHECK(steps >= 4);
}

/// What was sent before the replica turned others away is answered meanwhile.
TEST(ReplicaHolding, AGoodAnswerDoesNotShortenTheTime)
{
    holds.onTurnedAway(start, replica, seconds(2));
    for (int i = 0; i < 10; ++i) {
        holds.onServed(start + milliseconds(100), replica);
    }
    CHECK(!mayGetOne(start + seconds(1)));
}

TEST(ReplicaHolding, ManyThatNamedTheSameTimeDoNotComeBackAtOnce)
{
    constexpr int replicas = 100;
    for (std::uint32_t i = 0; i < replicas; ++i) {
        holds.onTurnedAway(start, i, seconds(2));
    }
    const auto back = [&](milliseconds after) {
        int count = 0;
        for (std::uint32_t i = 0; i < replicas; ++i) {
            count += holds.hold(start + after, i, 0) == ReplicaHold::None ? 1 : 0;
        }
        return count;
    };
    LONGS_EQUAL(0, back(milliseconds(1999)));
    CHECK(back(milliseconds(2100)) < replicas / 2);
    LONGS_EQUAL(replicas, back(milliseconds(2500)));
}

TEST(ReplicaHolding, IsForgottenWhenItIsOver)
{
    holds.onTurnedAway(start, replica, seconds(1));
    holds.expire(start + seconds(2));
    CHECK(!mayGetOne(start + seconds(2), 5));
    holds.expire(start + seconds(20));
    CHECK(mayGetOne(start + seconds(20), 5));
}

/// @return the time that a refusal names with these header lines
static std::optional<Duration> namedTime(const HttpFields &fields, int status = 503)
{
    ResponseHead head;
    head.status = status;
    head.fields = fields;
    return platformHeaderCodec().decodeResponse(head).retryAfter;
}

TEST(ReplicaHolding, OddTimesAreReadAsStated)
{
    const std::string name = "Retry-After";
    CHECK(namedTime({{name, "2"}}) == std::optional<Duration>(seconds(2)));
    CHECK(namedTime({{name, "0.25"}}) == std::optional<Duration>(milliseconds(250)));
    for (const char *none : {"", "0", "-5", "soon", "nan", "2 s", "Sat, 05 Dec 2026 10:00:00 GMT", "1e9"}) {
        CHECK_TEXT(!namedTime({{name, none}}), none);
    }
    for (const char *longest : {"3600", "7200", "1000000000000", "inf", "99999999999999999999999999"}) {
        CHECK_TEXT(namedTime({{name, longest}}) == std::optional<Duration>(seconds(3600)), longest);
    }
    CHECK(namedTime({{name, "1"}, {"retry-after", "3"}, {name, "x"}}) == std::optional<Duration>(seconds(3)));
    CHECK(!namedTime({}));
    CHECK(!namedTime({{name, "2"}}, 200));
}

// Router

TEST_GROUP(ReplicaThatTurnsAway)
{
    /// Refuses each request and names a time while it is set.
    ReplicaScript script(std::atomic<const char *> & time)
    {
        return [&time](const ReplicaRequest &request, const std::shared_ptr<ReplicaReply> &reply) {
            if (!time) {
                reply->sendResponse(request, 200, "done");
                return;
            }
            std::string refusal = notExecutedResponse(request);
            const std::string header = "Retry-After: " + std::string(time) + "\r\n";
            reply->send(refusal.insert(refusal.find("Content-Length"), header));
        };
    }
    std::unique_ptr<RawCaller> call()
    {
        auto caller = fixture.send(encodeCallerRequest("/any/x", "id" + std::to_string(++calls)));
        CHECK(caller->read());
        return caller;
    }
    NodeFixture fixture;
    std::atomic<const char *> aTime{nullptr};
    std::atomic<const char *> bTime{nullptr};
    int calls = 0;
};

/// It got the next request 50 ms later.
TEST(ReplicaThatTurnsAway, GetsNothingForTheNamedTime)
{
    aTime = "3600";
    FakeReplica &a = fixture.addReplica("a", script(aTime));
    fixture.addReplica("b", script(bTime));
    fixture.startAndWaitReady();
    CHECK(waitFor([&] {
        LONGS_EQUAL(200, call()->status()); // refused by a, then served by b
        return a.requests().size() == 1;
    }));
    std::this_thread::sleep_for(milliseconds(100));
    for (int i = 0; i < 20; ++i) {
        LONGS_EQUAL(200, call()->status());
    }
    LONGS_EQUAL(1, a.requests().size());
}

TEST(ReplicaThatTurnsAway, GetsRequestsAgainAfterThat)
{
    aTime = "0.2";
    FakeReplica &a = fixture.addReplica("a", script(aTime));
    fixture.startAndWaitReady();
    LONGS_EQUAL(503, call()->status());
    aTime = nullptr;
    bool isServed = false;
    CHECK(waitFor([&] {
        isServed = isServed || call()->status() == 200;
        return isServed;
    }));
    LONGS_EQUAL(2, a.requests().size());
}

TEST(ReplicaThatTurnsAway, IfAllDoCallersAreToldTheShortestTimeAtOnce)
{
    aTime = "3600";
    bTime = "30";
    FakeReplica &a = fixture.addReplica("a", script(aTime));
    FakeReplica &b = fixture.addReplica("b", script(bTime));
    fixture.startAndWaitReady();
    LONGS_EQUAL(503, call()->status()); // two attempts
    const auto caller = call();
    LONGS_EQUAL(503, caller->status());
    const double told = std::stod(caller->field("Retry-After"));
    CHECK(told > 5 && told <= 30);
    LONGS_EQUAL(1, a.requests().size());
    LONGS_EQUAL(1, b.requests().size());
}
