// Tests the logic of the event-loop data path without I/O: parsing of HTTP messages, splitting of event streams,
// routes, the replica directory, topic consumption, retries.
//
// Sections of this file: Messages, Event streams, Routes, Replica directory, Topic consumption, Retries.
#include "control/replicadirectory.h"
#include "control/storetopics.h"
#include "filters/eventsplitter.h"
#include "filters/retry.h"
#include "net/message.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @param value seconds since the start of the test
static Instant at(double value)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value + 1000)));
}

// Messages

static ParseFault parseFaultOf(const std::string &text)
{
    MessageParser parser(MessageParser::Kind::Request, ParseLimits());
    parser.feed(text);
    return parser.fault();
}

TEST_GROUP(MessageParsing){};

TEST(MessageParsing, TheResultDoesNotDependOnHowTheInputIsSplit)
{
    const std::string text = "POST /a/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\nGET";
    for (std::size_t cut = 1; cut + 3 < text.size(); ++cut) {
        MessageParser parser(MessageParser::Kind::Request, ParseLimits());
        const std::size_t first = parser.feed(std::string_view(text).substr(0, cut));
        LONGS_EQUAL(cut, first);
        const std::size_t second = parser.feed(std::string_view(text).substr(cut));
        CHECK(parser.isDone());
        LONGS_EQUAL(text.size() - 3, first + second); // the bytes of the next request are not consumed
        STRCMP_EQUAL("abc0123456789abcdef", parser.body().c_str());
    }
}

TEST(MessageParsing, RejectsAmbiguousFraming)
{
    const char *const heads[] = {
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\n",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: 3 \n\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "A: b\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    };
    for (const char *head : heads) {
        const ParseFault fault = parseFaultOf(std::string("POST / HTTP/1.1\r\nHost: h\r\n") + head);
        CHECK_TEXT(fault == ParseFault::Malformed, head);
    }
}

TEST(MessageParsing, DistinguishesATooLargeHeadFromATooLargeBody)
{
    ParseLimits limits;
    limits.headBytes = 100;
    limits.bodyBytes = 10;
    MessageParser head(MessageParser::Kind::Request, limits);
    head.feed("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(200, 'x') + "\r\n\r\n");
    CHECK(head.fault() == ParseFault::HeadTooLarge);
    MessageParser body(MessageParser::Kind::Request, limits);
    body.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    CHECK(body.fault() == ParseFault::BodyTooLarge);
}

TEST(MessageParsing, AResponseWithoutLengthEndsWithTheConnection)
{
    MessageParser parser(MessageParser::Kind::Response, ParseLimits());
    parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(parser.response().isCloseDelimited);
    CHECK(!parser.isDone());
    parser.feedEof();
    CHECK(parser.isDone());
}

TEST(MessageParsing, HopByHopFieldsAreRecognised)
{
    const HttpFields fields{{"Connection", "close, X-Secret"}, {"X-Secret", "1"}, {"X-Other", "2"}};
    CHECK(isHopByHopField(fields, "x-secret"));
    CHECK(isHopByHopField(fields, "Transfer-Encoding"));
    CHECK(!isHopByHopField(fields, "X-Other"));
}

// Event streams

TEST_GROUP(StreamEvents){};

TEST(StreamEvents, ForwardsOnlyCompleteEvents)
{
    EventSplitter splitter;
    STRCMP_EQUAL("", splitter.feed("id: 0\ndata: a").c_str());
    STRCMP_EQUAL("id: 0\ndata: ab\n\n", splitter.feed("b\n\nid: 1\nda").c_str());
    CHECK(splitter.hasPartialEvent());
    LONGS_EQUAL(0, *splitter.lastId());
}

TEST(StreamEvents, AResumedStreamDropsRepeatedEventsAndDetectsGaps)
{
    EventSplitter splitter;
    splitter.feed("id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\nda");
    splitter.beginAttempt();
    STRCMP_EQUAL("id: 6\ndata: c\n\n", splitter.feed("id: 5\ndata: b\n\nid: 6\ndata: c\n\n").c_str());
    CHECK(!splitter.hasGap());
    splitter.feed("id: 9\ndata: x\n\n");
    CHECK(splitter.hasGap());
}

// Routes

TEST_GROUP(Routes){};

TEST(Routes, TheLongestPrefixOfTheHostWins)
{
    RouteTable table;
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        Route route;
        route.id.text = prefix;
        route.host = "One.example";
        route.prefix = prefix;
        table.addRoute(route);
    }
    STRCMP_EQUAL("/a/b/", table.find("one.example", "/a/b/c")->id.text.c_str());
    STRCMP_EQUAL("/a/", table.find("ONE.EXAMPLE", "/a/bc")->id.text.c_str());
    STRCMP_EQUAL("/", table.find("one.example", "/a")->id.text.c_str());
    POINTERS_EQUAL(nullptr, table.find("two.example", "/a/"));
}

// Replica directory

static RegistryUpdate ready(const std::string &id, LogOffset offset, std::int64_t started = 1)
{
    ReplicaRecord record;
    record.id.text = id;
    record.service.text = "s";
    record.address = "10.0.0.1:80";
    record.started = UnixMillis(started);
    return {record.id, {offset}, record};
}

static RegistryUpdate draining(const std::string &id, LogOffset offset)
{
    RegistryUpdate update = ready(id, offset);
    update.record->isDraining = true;
    return update;
}

static RegistryUpdate heartbeat(const std::string &id, LogOffset offset, std::int64_t started, std::int64_t heartbeats)
{
    RegistryUpdate update = ready(id, offset, started);
    update.record->heartbeatCount = heartbeats;
    return update;
}

static RegistryUpdate removed(const std::string &id, LogOffset offset)
{
    return {{id}, {offset}, std::nullopt};
}

TEST_GROUP(RegistryDirectory)
{
    ReplicaDirectory directory{seconds(2)};
};

TEST(RegistryDirectory, ADrainingReplicaDoesNotReturnInTheSameIncarnation)
{
    CHECK(directory.apply(at(0), ready("a", 0)));
    CHECK(directory.apply(at(1), draining("a", 1)));
    CHECK(!directory.apply(at(2), ready("a", 2)));
    LONGS_EQUAL(0, directory.usable().size());
    CHECK(directory.apply(at(3), ready("a", 3, 2))); // restarted under the same name
    LONGS_EQUAL(1, directory.usable().size());
    CHECK(!directory.apply(at(4), ready("a", 4, 1))); // a late record of the earlier incarnation
    LONGS_EQUAL(2, directory.usable()[0].started.count());
}

TEST(RegistryDirectory, AnOutdatedPageDoesNotRestoreARemovedReplica)
{
    directory.apply(at(0), ready("a", 5));
    directory.apply(at(1), removed("a", 6));
    CHECK(!directory.apply(at(2), ready("a", 5)));
    LONGS_EQUAL(0, directory.usable().size());
}

TEST(RegistryDirectory, AListingRemovesReplicasThatItDoesNotContain)
{
    directory.apply(at(0), ready("a", 5));
    directory.apply(at(0), ready("b", 6));
    directory.apply(at(0), ready("c", 12)); // newer than the listing
    directory.applyListing(at(1), {ready("b", 6)}, {10});
    LONGS_EQUAL(2, directory.usable().size());
    STRCMP_EQUAL("b", directory.usable()[0].id.text.c_str());
    STRCMP_EQUAL("c", directory.usable()[1].id.text.c_str());
}

TEST(RegistryDirectory, ReplicasThatExpiredDuringAStoreOutageAreKeptForAGracePeriod)
{
    directory.apply(at(0), ready("a", 0));
    directory.apply(at(0), ready("b", 1));
    directory.onStoreLost();
    directory.onStoreRegained(at(10));
    directory.apply(at(10), removed("a", 2));
    LONGS_EQUAL(2, directory.usable().size());
    CHECK(directory.nextExpiry() == std::optional<Instant>(at(12)));
    directory.apply(at(11), removed("b", 3)); // expires after the store's return; nextExpiry() must include it
    CHECK(directory.nextExpiry() == std::optional<Instant>(at(12)));
    directory.apply(at(11.5), ready("b", 4));
    CHECK(!directory.expire(at(11.9)));
    CHECK(directory.expire(at(12)));
    LONGS_EQUAL(1, directory.usable().size());
    STRCMP_EQUAL("b", directory.usable()[0].id.text.c_str());
    CHECK(directory.apply(at(20), removed("b", 5))); // without an outage, a removal takes effect at once
    LONGS_EQUAL(0, directory.usable().size());
}

/// The grace period went on while the store was away again, and all replicas were dropped two seconds after its return.
TEST(RegistryDirectory, TheGracePeriodCountsOnlyWhileTheStoreIsThere)
{
    directory.apply(at(0), ready("a", 0));
    directory.apply(at(0), ready("b", 1));
    directory.onStoreLost();
    directory.onStoreRegained(at(10));
    directory.apply(at(10), removed("a", 2));
    directory.onStoreLost();
    CHECK(!directory.nextExpiry());
    CHECK(!directory.expire(at(15)));
    LONGS_EQUAL(2, directory.usable().size());
    directory.onStoreRegained(at(20));
    CHECK(directory.nextExpiry() == std::optional<Instant>(at(22)));
    CHECK(!directory.expire(at(21.9)));
    CHECK(directory.expire(at(22)));
    LONGS_EQUAL(1, directory.usable().size());
}

/// A heartbeat that the store carried out late brought a replica back that had left, and it got requests until it
/// exited.
TEST(RegistryDirectory, ALateHeartbeatDoesNotBringBackAReplicaThatHasLeft)
{
    directory.apply(at(0), heartbeat("a", 0, 1, 4));
    directory.apply(at(1), heartbeat("a", 1, 1, 6));
    directory.apply(at(2), removed("a", 2));
    CHECK(!directory.apply(at(3), heartbeat("a", 3, 1, 5)));
    CHECK(!directory.apply(at(3), heartbeat("a", 4, 1, 6)));
    LONGS_EQUAL(0, directory.usable().size());
    directory.applyListing(at(4), {heartbeat("a", 4, 1, 6)}, {9}); // as a listing names it from then on
    LONGS_EQUAL(0, directory.usable().size());
}

/// What a replica says of itself is ordered by its start, then by its heartbeats, whatever its entry went through.
TEST(RegistryDirectory, ARecordOfAnEarlierStartChangesNothing)
{
    directory.apply(at(0), heartbeat("a", 0, 1, 90));
    directory.apply(at(1), heartbeat("a", 1, 2, 1)); // restarted under the same name
    CHECK(!directory.apply(at(2), heartbeat("a", 2, 1, 91)));
    CHECK(!directory.apply(at(2), draining("a", 3)));
    LONGS_EQUAL(1, directory.usable().size());
    directory.apply(at(3), removed("a", 4));
    CHECK(!directory.apply(at(4), heartbeat("a", 5, 1, 92)));
    LONGS_EQUAL(0, directory.usable().size());
    CHECK(directory.apply(at(5), heartbeat("a", 6, 3, 1)));
    LONGS_EQUAL(1, directory.usable().size());
}

/// A replica that drains does so until its process ends, also if the store carries the report out late.
TEST(RegistryDirectory, ALateReportOfDrainingCounts)
{
    directory.apply(at(0), heartbeat("a", 0, 1, 6));
    RegistryUpdate late = heartbeat("a", 1, 1, 5);
    late.record->isDraining = true;
    CHECK(directory.apply(at(1), late));
    LONGS_EQUAL(1, directory.draining().size());
    CHECK(!directory.apply(at(2), heartbeat("a", 2, 1, 7)));
    LONGS_EQUAL(0, directory.usable().size());
}

TEST(RegistryDirectory, AReplicaThatLapsedReturnsWithItsNextHeartbeat)
{
    directory.apply(at(0), heartbeat("a", 0, 1, 6));
    directory.onStoreLost();
    directory.onStoreRegained(at(10));
    directory.apply(at(10), removed("a", 1));
    CHECK(directory.expire(at(12)));
    LONGS_EQUAL(0, directory.usable().size());
    CHECK(directory.apply(at(13), heartbeat("a", 2, 1, 7))); // it was only slow to write again
    LONGS_EQUAL(1, directory.usable().size());
}

/// Each replica that was ever replaced was remembered for as long as the router ran.
TEST(RegistryDirectory, ReplicasThatHaveLeftAreForgottenInTheEnd)
{
    constexpr int replaced = 3500;
    constexpr int perHour = 150; // about that many a day
    for (int i = 0; i < replaced; ++i) {
        const double now = 3600.0 * i / perHour;
        const std::string id = "a" + std::to_string(i);
        directory.apply(at(now), heartbeat(id, 2 * i, 1, 6));
        directory.apply(at(now), removed(id, 2 * i + 1));
        directory.expire(at(now));
        CHECK(!directory.apply(at(now + 6), heartbeat(id, 2 * i + 2, 1, 5))); // as late as the store carries it out
    }
    CHECK(directory.size() > 1);
    CHECK_TEXT(directory.size() <= 2 * perHour, std::to_string(directory.size()).c_str());
}

// Topic consumption

/// A topic consumer whose callbacks record the topic's state and the time as of which it is caught up.
struct ConsumedTopic {
    explicit ConsumedTopic(bool hasLargeRecords = false)
    {
        TopicSettings settings;
        settings.longPollTimeout = seconds(2);
        settings.hasLargeRecords = hasLargeRecords;
        TopicHooks hooks;
        hooks.onRecord = [this](const KeyedRecord &record) {
            state[record.key] = record.value;
            ++records;
        };
        hooks.onListed = [this](const std::vector<KeyedRecord> &records, const TopicPosition &) {
            state.clear();
            for (const KeyedRecord &record : records) {
                state[record.key] = record.value;
            }
        };
        hooks.onCaughtUp = [this](Instant asOf) { caughtUpAt = asOf; };
        topic = std::make_unique<TopicConsumer>(settings, hooks, 1);
    }
    std::map<std::string, std::string> state; // newest value of each key
    int records = 0;                          // delivered from reads
    std::optional<Instant> caughtUpAt;
    std::unique_ptr<TopicConsumer> topic;
};

TEST_GROUP(TopicConsumption)
{
    ConsumedTopic consumed;
};

TEST(TopicConsumption, ReadsFromTheOffsetOfTheFirstPage)
{
    TopicConsumer &topic = *consumed.topic;
    topic.onPage(at(0), at(0.1), {{{"a", "1", 3}}, true, 10});
    STRCMP_EQUAL("a", topic.next(at(0.1)).after.c_str());
    CHECK(!consumed.caughtUpAt);
    topic.onPage(at(0.2), at(0.3), {{{"b", "1", 12}}, false, 14}); // records were written between the two pages
    CHECK(consumed.caughtUpAt == std::optional<Instant>(at(0)));
    CHECK(topic.next(at(0.3)).kind == TopicRequestKind::Read);
    LONGS_EQUAL(10, topic.next(at(0.3)).from);
}

TEST(TopicConsumption, IsCaughtUpAsOfTheRequestAndOnlyWithAllRecords)
{
    TopicConsumer &topic = *consumed.topic;
    topic.onPage(at(0), at(0), {{}, false, 0});
    topic.onRead(at(1), at(3), {{{"a", "1", 0}}, 2}); // the record at offset 1 is still missing
    CHECK(consumed.caughtUpAt == std::optional<Instant>(at(0)));
    topic.onRead(at(4), at(6), {{{"a", "2", 1}}, 2});
    CHECK(consumed.caughtUpAt == std::optional<Instant>(at(4)));
    STRCMP_EQUAL("2", consumed.state["a"].c_str());
}

TEST(TopicConsumption, AfterAFailureItBacksOffWithJitterAndDoesNotLongPoll)
{
    TopicConsumer &topic = *consumed.topic;
    topic.onPage(at(0), at(0), {{}, false, 0});
    CHECK(topic.next(at(0)).longPollTimeout == seconds(2));
    Duration longestDelay{};
    for (int i = 0; i < 10; ++i) {
        topic.onFailure(at(1));
        const TopicRequest request = topic.next(at(1));
        CHECK(request.longPollTimeout == Duration{});
        CHECK(request.notBefore > at(1));
        longestDelay = std::max(longestDelay, request.notBefore - at(1));
    }
    CHECK(longestDelay <= TopicSettings().maxBackoff);
    topic.onRead(at(5), at(5), {{}, 0});
    CHECK(topic.next(at(5)).longPollTimeout == seconds(2));
}

TEST(TopicConsumption, ListsAgainAfterTheHistoryWasTruncated)
{
    TopicConsumer &topic = *consumed.topic;
    topic.onPage(at(0), at(0), {{{"gone", "1", 1}}, false, 2});
    topic.onOffsetOutOfRange();
    CHECK(topic.next(at(1)).kind == TopicRequestKind::Listing);
    topic.onPage(at(1), at(1), {{{"new", "1", 8}}, false, 9});
    LONGS_EQUAL(1, consumed.state.size());
    LONGS_EQUAL(9, topic.next(at(1)).from);
}

TEST_GROUP(TopicOfLargeRecords)
{
    void setup() override
    {
        consumed.topic->onPage(at(0), at(0), {{{"a", "1", 0}, {"b", "1", 1}}, false, 2});
    }
    ConsumedTopic consumed{true};
    TopicConsumer &topic = *consumed.topic;
};

TEST(TopicOfLargeRecords, AfterAFailureItFirstAsksForTheEnd)
{
    topic.onFailure(at(1));
    CHECK(topic.next(at(2)).kind == TopicRequestKind::End);
    topic.onEnd(at(2), at(2.1), 2);
    CHECK(consumed.caughtUpAt == std::optional<Instant>(at(2)));
    CHECK(topic.next(at(2.1)).longPollTimeout == seconds(2));
}

/// The last record of a key may be an older version that was written late.
TEST(TopicOfLargeRecords, ItReadsAllRecordsThatItMissed)
{
    topic.onFailure(at(1));
    topic.onEnd(at(2), at(2), 6); // four are missing
    CHECK(topic.next(at(2)).kind == TopicRequestKind::Read);
    LONGS_EQUAL(2, topic.next(at(2)).from);
    topic.onRead(at(3), at(3), {{{"a", "7", 2}, {"a", "6", 3}}, 6});
    LONGS_EQUAL(2, consumed.records);
    CHECK(topic.next(at(3)).kind == TopicRequestKind::Read);
    LONGS_EQUAL(4, topic.next(at(3)).from);
    CHECK(consumed.caughtUpAt == std::optional<Instant>(at(0)));
}

TEST(TopicOfLargeRecords, AReadThatBeginsLateIsGivenLongerWhileTheStoreTellsTheEnd)
{
    topic.onFailure(at(1));
    Duration before{};
    for (int i = 0; i < 4; ++i) {
        LONGS_EQUAL(TopicSettings().responseTimeout.count(), topic.next(at(2)).responseTimeout.count());
        topic.onEnd(at(2), at(2), 9);
        const TopicRequest request = topic.next(at(2));
        CHECK(request.kind == TopicRequestKind::Read);
        CHECK(request.responseTimeout > before);
        before = request.responseTimeout;
        topic.onNoResponse(at(3));
    }
    topic.onNoResponse(at(4)); // not even the end is told
    topic.onEnd(at(5), at(5), 9);
    CHECK(topic.next(at(5)).responseTimeout <= TopicSettings().maxResponseTimeout);
    topic.onRead(at(6), at(6), {{{"a", "9", 8}}, 9});
    CHECK(topic.next(at(6)).responseTimeout == TopicSettings().responseTimeout);
}

/// The end was lower than what had been read.
TEST(TopicOfLargeRecords, ItListsTheTopicIfRecordsHaveGone)
{
    topic.onFailure(at(1));
    topic.onEnd(at(2), at(2), 1);
    CHECK(topic.next(at(2)).kind == TopicRequestKind::Listing);
}

/// After a pause of three quarters of the delay there was no time for a second read.
TEST(RegistryDirectory, ALostReadAndTheNextOneFitIntoTheDrainDelay)
{
    for (const Duration delay : {seconds(2), seconds(3)}) {
        RouterSettings settings;
        settings.maxDrainDelay = delay;
        const TopicSettings topic = registryTopic(settings);
        CHECK(topic.pollInterval + topic.responseTimeout + topic.initialBackoff < delay);
    }
}

/// What another router tells says nothing of the store: a long poll of a silent one would only end after seconds.
TEST(TopicConsumption, WhatAnotherRouterTellsLeavesTheNextCallToTheStoreAsItWas)
{
    TopicHooks hooks;
    hooks.onListed = [](const std::vector<KeyedRecord> &, const TopicPosition &) {};
    hooks.onCaughtUp = [](Instant) {};
    TopicConsumer topic(desiredStateTopic(RouterSettings()), hooks, 1);
    topic.onPage(at(0), at(0.1), {{}, false, 5});
    topic.onFailure(at(1));
    const TopicRequest before = topic.next(at(1));
    CHECK(topic.onFollowed(at(1), at(1.01), {{}, 9}));
    CHECK(topic.next(at(1.02)).longPollTimeout == Duration{});
    CHECK(topic.next(at(1.02)).notBefore == before.notBefore);
    CHECK(topic.next(at(9)).kind == TopicRequestKind::End);
    LONGS_EQUAL(9, topic.position().offset);
    CHECK(!topic.onFollowed(at(1), at(1.01), {{}, 8})); // it knows less
}

/// Hundreds of routers that start at once list thousands of replicas: the store begins its answers seconds late, and
/// what was given up and asked for again delayed them further, without end.
TEST(RegistryDirectory, AListingThatBeginsLateIsGivenMuchLonger)
{
    TopicHooks hooks;
    hooks.onListed = [](const std::vector<KeyedRecord> &, const TopicPosition &) {};
    hooks.onCaughtUp = [](Instant) {};
    const TopicSettings settings = registryTopic(RouterSettings());
    TopicConsumer topic(settings, hooks, 1);
    for (int i = 0; i < 5; ++i) {
        topic.onNoResponse(at(i));
    }
    CHECK(topic.next(at(9)).kind == TopicRequestKind::Listing);
    CHECK(topic.next(at(9)).responseTimeout >= seconds(4)); // a megabyte each for 300 routers, of 80 MB a second
    topic.onPage(at(9), at(12), {{}, false, 0});
    CHECK(topic.next(at(12)).responseTimeout == settings.maxResponseTimeout); // the drain delay counts again
}

/// A store that is slower than the short time of the first read is not lost for good, nor lost again at each read.
TEST(RegistryDirectory, ASlowStoreIsGivenLongerUntilItIsQuickAgain)
{
    TopicHooks hooks;
    hooks.onRecord = [](const KeyedRecord &) {};
    hooks.onListed = [](const std::vector<KeyedRecord> &, const TopicPosition &) {};
    hooks.onCaughtUp = [](Instant) {};
    const TopicSettings settings = registryTopic(RouterSettings());
    TopicConsumer topic(settings, hooks, 1);
    topic.onPage(at(0), at(0.01), {{}, false, 0});
    for (int i = 0; i < 3; ++i) {
        topic.onNoResponse(at(1));
        CHECK(topic.next(at(1)).responseTimeout == settings.maxResponseTimeout);
    }
    topic.onRead(at(2), at(2.4), {{}, 0});
    CHECK(topic.next(at(3)).responseTimeout == settings.maxResponseTimeout);
    topic.onRead(at(4), at(4.01), {{}, 0});
    CHECK(topic.next(at(5)).responseTimeout == settings.responseTimeout);
}

// Retries

TEST_GROUP(RetryRules){};

TEST(RetryRules, NothingThatMayHaveRunIsRetriedUnlessItsRouteAllowsIt)
{
    boost::random::mt19937_64 random(3);
    const auto draw = [&random](int maxValue) {
        return boost::random::uniform_int_distribution<int>(0, maxValue)(random);
    };
    for (int i = 0; i < 10000; ++i) {
        AttemptHistory attempts;
        attempts.isRetryable = draw(1) == 1;
        attempts.isStreaming = draw(1) == 1;
        attempts.isResumable = draw(1) == 1;
        attempts.sent = 1 + draw(4);
        attempts.possibleRuns = draw(attempts.sent);
        attempts.mayHaveRun = attempts.possibleRuns > 0;
        attempts.maxAttempts = 1 + draw(2);
        bool isBudgetAsked = false;
        const RetryDecision decision = decideRetry(attempts, [&isBudgetAsked] {
            isBudgetAsked = true;
            return true;
        });
        const bool isForbidden = (attempts.mayHaveRun && !attempts.isRetryable)
            || (attempts.isStreaming && !attempts.isResumable) || attempts.possibleRuns >= attempts.maxAttempts;
        CHECK(!isForbidden || (decision == RetryDecision::Fail && !isBudgetAsked));
        CHECK(decideRetry(attempts, [] { return false; }) == RetryDecision::Fail);
    }
}

TEST(RetryRules, TheFleetKeepsItsRetryBudgetInEveryWindow)
{
    constexpr int routers = 20;
    RetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.minRetries = 100;
    std::vector<RetryBudget> fleet(routers, RetryBudget(settings, at(-10)));
    for (RetryBudget &budget : fleet) {
        budget.setRouters(routers);
    }
    const ServiceId service{"s"};
    boost::random::mt19937_64 random(5);
    std::deque<double> firstAttempts; // times in the window of 10 s
    std::deque<double> retries;       // likewise
    for (double now = 0; now < 60; now += 0.01) {
        const auto router = boost::random::uniform_int_distribution<std::size_t>(0, routers - 1)(random);
        fleet[router].onFirstAttempt(at(now), service);
        firstAttempts.push_back(now);
        while (fleet[router].take(at(now), service)) {
            retries.push_back(now);
        }
        while (!firstAttempts.empty() && firstAttempts.front() < now - 10) {
            firstAttempts.pop_front();
        }
        while (!retries.empty() && retries.front() < now - 10) {
            retries.pop_front();
        }
        CHECK(static_cast<double>(retries.size()) <= 0.2 * static_cast<double>(firstAttempts.size()) + 100);
    }
}
