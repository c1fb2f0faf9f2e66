// Tests how the routers of a data centre get the news of a topic: the records that one keeps for the others, whom a
// router asks, the messages between them, and a data centre of router nodes on a fake of the store.
//
// Sections of this file: Records, Sources, Outages, Messages, Data centre.
#include "control/storeoutage.h"
#include "control/storetopics.h"
#include "net/topicmessages.h"
#include "platform/documents.h"
#include "tests/datacentrefleet.h"

#include <boost/random/uniform_int_distribution.hpp>

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

static Instant at(double value)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value + 1000)));
}

// Records

TEST_GROUP(FollowedRecords)
{
    static std::string entry(int heartbeats, const std::string &state = "ready")
    {
        return "{\"service\":\"svc\",\"state\":\"" + state + "\",\"seqNo\":" + std::to_string(heartbeats)
            + ",\"slots\":4}";
    }
    static std::string keysOf(const std::vector<KeyedRecord> &records)
    {
        std::string keys;
        for (const KeyedRecord &record : records) {
            keys += record.key + (record.value.empty() ? "- " : " ");
        }
        return keys;
    }
    static TopicCacheSettings registry()
    {
        TopicCacheSettings settings;
        settings.isSameMeaning = isOnlyHeartbeat;
        return settings;
    }
    TopicCache cache{registry()};
};

TEST(FollowedRecords, HeartbeatsAreToldToNobody)
{
    cache.setListing({{"a", entry(1), 3}, {"b", entry(1), 4}}, {5});
    for (int i = 0; i < 100; ++i) {
        cache.add({i % 2 == 0 ? "a" : "b", entry(2 + i / 2), 5 + i});
    }
    LONGS_EQUAL(105, cache.end().offset);
    CHECK(!cache.hasChangesSince({5}));
    LONGS_EQUAL(0, cache.changesSince({5})->size());
    cache.add({"a", entry(52, "draining"), 105});
    STRCMP_EQUAL("a ", keysOf(*cache.changesSince({5})).c_str());
    STRCMP_EQUAL("a ", keysOf(*cache.changesSince({105})).c_str());
    LONGS_EQUAL(0, cache.changesSince({106})->size());
    LONGS_EQUAL(2, cache.all().size());
}

/// After a restore of the store, a replica that has left is told from one that writes again by its last heartbeat.
TEST(FollowedRecords, ADeletionBringsTheLastHeartbeat)
{
    cache.setListing({{"a", entry(1), 3}}, {4});
    cache.add({"a", entry(9), 4});
    cache.add({"a", "", 5});
    const auto changes = *cache.changesSince({5});
    STRCMP_EQUAL("a a- ", keysOf(changes).c_str());
    STRCMP_EQUAL(entry(9).c_str(), changes[0].value.c_str());
    LONGS_EQUAL(0, cache.all().size());
    cache.add({"a", entry(1), 6}); // it is back
    STRCMP_EQUAL("a ", keysOf(*cache.changesSince({4})).c_str());
}

TEST(FollowedRecords, WhoWasAwayForTooLongGetsAllRecords)
{
    cache.setListing({{"a", entry(1), 3}, {"b", entry(1), 4}}, {50});
    CHECK(!cache.changesSince({49}).has_value());
    CHECK(cache.changesSince({50}).has_value());
    CHECK(cache.hasChangesSince({49}));
}

/// The deletion of each replica that was ever replaced was kept until the next listing, which may be never.
TEST(FollowedRecords, DeletionsAreForgottenInTheEnd)
{
    cache.setListing({{"live", entry(1), 0}}, {1});
    for (int i = 0; i < 5000; ++i) {
        const std::string id = "gone" + std::to_string(i);
        cache.add({id, entry(1), 2 * i + 1});
        cache.add({id, "", 2 * i + 2});
    }
    LONGS_EQUAL(1, cache.all().size());
    CHECK(!cache.changesSince({1}).has_value()); // who was away since then gets all
    const auto lately = cache.changesSince({2 * 4500 + 1});
    LONGS_EQUAL(2 * 500, lately->size()); // each with the record before it
    cache.add({"gone4999", entry(2), 10001});
    LONGS_EQUAL(2, cache.all().size());
}

/// A listing of several pages holds records from after its beginning, though not all of them. Told as changes they
/// moved the end of those who were told beyond records that they did not know, and told others in their turn.
TEST(FollowedRecords, ARecordBeyondTheEndIsToldOnceAllBeforeItAreKnown)
{
    cache.setListing({{"a", entry(1), 3}, {"b", entry(1), 20}}, {5});
    CHECK(!cache.hasChangesSince({5}));
    LONGS_EQUAL(0, cache.changesSince({5})->size());
    cache.add({"c", entry(1), 5}); // read on from where the listing began
    STRCMP_EQUAL("c ", keysOf(*cache.changesSince({5})).c_str());
    LONGS_EQUAL(6, cache.end().offset);
    cache.setEnd(21);
    STRCMP_EQUAL("c b ", keysOf(*cache.changesSince({5})).c_str());
}

/// The last record of a key may be an older version that was written late.
/// Of a replica that lapsed and returned between two words of its source a router was told the return alone, which
/// means the same as what it knew. Others who knew of the lapse asked it, and were never told of the return.
TEST(FollowedRecords, AReturnIsToldOnByThoseWhoWereNotToldOfTheRemoval)
{
    cache.setListing({{"a", entry(1), 3}, {"b", entry(1), 4}}, {5});
    cache.addChange({"a", entry(9), 11}); // as told; it was deleted at 7
    cache.setEnd(15);
    STRCMP_EQUAL("a ", keysOf(*cache.changesSince({8})).c_str());
    cache.add({"a", entry(10), 15}); // a heartbeat, as read
    CHECK(!cache.hasChangesSince({15}));
    STRCMP_EQUAL("a ", keysOf(*cache.changesSince({8})).c_str());
}

TEST(FollowedRecords, AllVersionsAreToldUpToABound)
{
    TopicCacheSettings settings;
    settings.keepsVersions = true;
    settings.versionBytes = 30;
    TopicCache versions(settings);
    versions.setListing({}, {0});
    for (const int version : {1, 2, 9, 7}) {
        versions.add({"config", "version" + std::to_string(version) + "__", versions.end().offset}); // ten bytes
    }
    CHECK(!versions.changesSince({0}).has_value());
    LONGS_EQUAL(3, versions.changesSince({1})->size());
    LONGS_EQUAL(3, versions.all().size());
    versions.add({"config", std::string(1000, 'x'), 4}); // larger than the bound: it is kept all the same
    LONGS_EQUAL(1, versions.changesSince({4})->size());
}

/// A follower took an older version of a key for its newest record.
TEST(FollowedRecords, ADeletedKeyIsNotListedByAnOlderVersion)
{
    TopicCacheSettings settings;
    settings.keepsVersions = true;
    TopicCache versions(settings);
    versions.setListing({{"config", "1", 0}}, {1});
    versions.add({"evacuate/a", "{}", 1});
    versions.add({"evacuate/a", "", 2});
    versions.add({"evacuate/b", "{}", 3});
    STRCMP_EQUAL("config evacuate/b ", keysOf(versions.all()).c_str());
    STRCMP_EQUAL("evacuate/a evacuate/a- evacuate/b ", keysOf(*versions.changesSince({1})).c_str());
    versions.add({"evacuate/a", "{}", 4});
    STRCMP_EQUAL("config evacuate/a evacuate/b evacuate/a ", keysOf(versions.all()).c_str());
}

TEST(FollowedRecords, OnlyTheHeartbeatCounterMayDiffer)
{
    CHECK(isOnlyHeartbeat(entry(1), entry(1234567)));
    CHECK(!isOnlyHeartbeat(entry(1), entry(1, "draining")));
    CHECK(!isOnlyHeartbeat(R"({"seqNo":1,"born":5})", R"({"seqNo":2,"born":6})"));
    CHECK(!isOnlyHeartbeat(R"({"service":"\"seqNo\":1"})", R"({"service":"\"seqNo\":2"})"));
    CHECK(!isOnlyHeartbeat("", entry(1)));
    CHECK(!isOnlyHeartbeat(R"({"seqNo":1)", R"({"seqNo":1})"));
}

// Sources

TEST_GROUP(FollowedSources){
    /// @return the sources of each of `count` routers that all hear each other; the first `wide` have wide links
    static std::vector<TopicSources> dataCentre(std::uint32_t count,
                                                std::uint32_t wide){std::vector<DataCentreRouter> all;
for (std::uint32_t i = 0; i < count; ++i) {
    all.push_back({i + 1, i < wide ? 7 : 4});
}
std::vector<TopicSources> routers;
for (std::uint32_t i = 0; i < count; ++i) {
    std::vector<DataCentreRouter> others = all;
    others.erase(others.begin() + i);
    routers.emplace_back("registry", i);
    routers.back().setRouters(all[i], others);
}
return routers;
}
/// @return number of routers whose preferred source is the store
static std::size_t readers(const std::vector<TopicSources> &routers)
{
    return static_cast<std::size_t>(std::count_if(
        routers.begin(), routers.end(), [](const TopicSources &router) { return router.next(at(0)).isStore(); }));
}
}
;

TEST(FollowedSources, OneRouterOfADataCentreReadsWhateverItsSize)
{
    for (const std::uint32_t count : {8U, 40U, 150U}) {
        const auto routers = dataCentre(count, 3);
        LONGS_EQUAL(1, readers(routers));
        for (const TopicSources &router : routers) {
            const TopicSource source = router.next(at(0));
            CHECK(source.isStore() || *source.router <= 3); // it has a wide link
        }
    }
}

TEST(FollowedSources, InASmallDataCentreEachRouterReads)
{
    LONGS_EQUAL(7, readers(dataCentre(7, 3)));
    TopicSources alone("registry", 1);
    CHECK(alone.next(at(0)).isStore());
}

TEST(FollowedSources, TheNextRouterTakesOverFromOneThatFails)
{
    auto routers = dataCentre(40, 0);
    const auto reader = std::find_if(routers.begin(), routers.end(),
                                     [](const TopicSources &router) { return router.next(at(0)).isStore(); });
    std::map<std::uint32_t, int> followed;
    for (auto router = routers.begin(); router != routers.end(); ++router) {
        if (router == reader) {
            continue;
        }
        const TopicSource source = router->next(at(0));
        CHECK(!source.isStore());
        router->onUseless(at(0), source);
        const TopicSource next = router->next(at(0));
        CHECK(next.router != source.router);
        ++followed[next.router.value_or(0)];
    }
    LONGS_EQUAL(2, followed.size()); // the second reads the store, the others ask it
    LONGS_EQUAL(1, followed[0]);
}

TEST(FollowedSources, WhoNobodyTellsAnythingReadsTheStoreAndThenWaits)
{
    auto router = dataCentre(40, 0).back();
    int asked = 0;
    for (TopicSource source = router.next(at(0)); !source.isStore(); source = router.next(at(0))) {
        router.onUseless(at(0), source);
        ++asked;
    }
    CHECK(asked == 1 || asked == 2);
    router.onStoreFailed(at(0.4));
    while (router.next(at(0)).notBefore <= at(0)) {
        router.onUseless(at(0), router.next(at(0)));
        ++asked;
    }
    LONGS_EQUAL(4, asked);
    CHECK(router.next(at(0)).isStore());
    CHECK(router.next(at(0)).notBefore == at(0.4));
    router.onStoreRegained();
    CHECK(!router.next(at(0)).isStore());
}

/// A router that fails is asked more and more rarely, and as before once it is useful again.
TEST(FollowedSources, PausesGrowAndEnd)
{
    auto router = dataCentre(40, 0).back();
    const TopicSource source = router.next(at(0));
    double now = 0;
    for (const double pause : {0.75, 1.5, 3.0, 3.0, 3.0}) { // a quarter less by chance
        now += 10;
        CHECK(router.next(at(now)).router == source.router);
        router.onUseless(at(now), source);
        CHECK(router.next(at(now + pause - 0.01)).router != source.router);
    }
    router.onUseful(source);
    CHECK(router.next(at(now)).router == source.router);
}

// Outages

TEST_GROUP(StoreOutages)
{
    static TopicSettings registry()
    {
        RouterSettings settings;
        settings.maxDrainDelay = seconds(3);
        return registryTopic(settings); // the store is read every 2.25 s, a follower is told every 0.75 s
    }
    StoreOutage outage{registry()};
};

/// A replica that had left got requests for over three seconds: neighbours that the store did not answer told of its
/// return.
TEST(StoreOutages, ARouterThatReadsTheStoreKnowsThatItWasThere)
{
    for (const double sentAt : {1.0, 3.25, 5.5}) {
        outage.onProof(at(sentAt));
        CHECK(!outage.hasMissed(at(sentAt + 2.3), at(sentAt + 1)));
    }
}

TEST(StoreOutages, ARouterThatHeardNothingForLongBelievesInTheReturnOnce)
{
    outage.onProof(at(1));
    outage.onProof(at(0.5)); // what an answer tells may be older
    CHECK(outage.hasMissed(at(9), at(8)));
    CHECK(outage.onLost());
    CHECK(!outage.onLost());
    outage.onRegained(at(8));
    CHECK(!outage.isLost());
    CHECK(!outage.hasMissed(at(9), at(8.2))); // another router's word on the same return
    CHECK(outage.hasMissed(at(9), at(8.8)));
}

/// A router that read the store every 2.25 s waited for nearly a second for news of another one before each further
/// read, and sent requests to replicas that had left over three seconds before.
TEST(StoreOutages, AReadThatIsDueDoesNotWaitForNewsOfAnotherRouter)
{
    const Duration usual = milliseconds(950);
    const TopicHooks hooks{[](const KeyedRecord &) {}, [](const std::vector<KeyedRecord> &, const TopicPosition &) {},
                           [](Instant) {}};
    TopicConsumer consumer(registry(), hooks, 1);
    CHECK(consumer.followingWait(at(9), Instant{}) == usual); // until a listing is known
    consumer.onPage(at(1), at(1), {});
    CHECK(consumer.followingWait(at(2), at(1)) == usual);
    CHECK(consumer.followingWait(at(3), at(1)) == milliseconds(250));
    CHECK(consumer.followingWait(at(3.3), at(1)) == Duration{});
    TopicSettings desiredState;
    desiredState.sharedInterval = milliseconds(750); // it is read by long polls
    CHECK(TopicConsumer(desiredState, {}, 1).followingWait(at(9), at(1)) == usual);
}

// Messages

TEST_GROUP(FollowedMessages){};

TEST(FollowedMessages, AreReadAsTheyWereWritten)
{
    const auto question = decodeTopicQuestion(encodeTopicQuestion({StoreTopic::Registry, 7, 12, milliseconds(700)}));
    CHECK(question && question->topic == StoreTopic::Registry && question->era == 7 && question->from == 12);
    CHECK(question->wait == milliseconds(700));
    CHECK(!decodeTopicQuestion(encodeTopicQuestion({}))->from.has_value());
    TopicAnswer answer;
    answer.isKnown = true;
    answer.isListing = true;
    answer.end = 99;
    answer.provedAfter = milliseconds(-250);
    answer.sinceReturned = std::chrono::hours(5);
    answer.records = {{"a", std::string("\0x", 2), 98}, {"", "", 97}};
    const auto read = decodeTopicAnswer(encodeTopicAnswer(answer));
    CHECK(read && read->isKnown && read->isListing && !read->isStoreLost && !read->era && read->end == 99);
    CHECK(read->provedAfter == milliseconds(-250));
    CHECK(read->sinceReturned == longestReturn);
    LONGS_EQUAL(2, read->records.size());
    CHECK(read->records[0].value == std::string("\0x", 2) && read->records[0].position.offset == 98);
}

/// Anyone on the network of the routers may send them.
TEST(FollowedMessages, MalformedOnesAreRefused)
{
    TopicAnswer answer;
    answer.records = {{"a", std::string(300, 'x'), 98}, {"b", "y", 97}};
    const std::string valid[] = {encodeTopicQuestion({StoreTopic::Places, 7, 12, milliseconds(700)}),
                                 encodeTopicAnswer(answer)};
    boost::random::mt19937_64 random(1);
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = valid[i % 2];
        for (int change = 0; change < 1 + i % 4; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(i % 5 == 0 ? random() % bytes.size() : bytes.size());
        refused += decodeTopicQuestion(bytes) ? 0 : 1;
        refused += decodeTopicAnswer(bytes) ? 0 : 1;
    }
    CHECK(refused > 0);
    CHECK(!decodeTopicQuestion("") && !decodeTopicAnswer(""));
}

// Data centre

TEST_GROUP(DataCentre)
{
    DataCentreFleet fleet;
};

TEST_GROUP(DataCentreOutages)
{
    DataCentreFleet fleet;
};

/// Each router called the store on its own: eleven calls a second for ten routers.
TEST(DataCentre, OneRouterReadsTheStoreForTheOthers)
{
    fleet.startAndWaitUntilFollowing();
    CHECK(fleet.readerOf("desired_state") < 2 && fleet.readerOf("registry") < 2); // those with wide links
    const std::int64_t before = fleet.store.requestCount();
    const Instant begin = clockNow();
    std::this_thread::sleep_for(seconds(4));
    const double span = std::chrono::duration<double>(clockNow() - begin).count();
    const auto callsPerSecond = static_cast<double>(fleet.store.requestCount() - before) / span;
    CHECK_TEXT(callsPerSecond < 5, std::to_string(callsPerSecond).c_str()); // two and one by the intervals
    CHECK(fleet.everywhere([this](int router) {
        return fleet.metric(router, "proof_age_ms") < 2000; // of 4700 in which keys may be used
    }));
}

TEST(DataCentre, NewVersionsAndLeavingReplicasReachFollowers)
{
    fleet.startAndWaitUntilFollowing();
    fleet.store.put("keyed.op", "config", fleet.state(2, "k2"));
    fleet.store.put("keyed.servers", "e0", fleet.replicas[0]->entry("draining"));
    const Instant published = clockNow();
    CHECK(waitFor([this] {
        return fleet.everywhere([this](int router) {
            return fleet.metric(router, "desired_state_version") == 2 && fleet.metric(router, "replicas_usable") == 3;
        });
    }));
    CHECK(clockNow() < published + seconds(4)); // within the drain delay, which is the shorter bound
    fleet.store.put("keyed.servers", "e1", "");
    CHECK(waitFor([this] {
        return fleet.everywhere([this](int router) { return fleet.metric(router, "replicas_usable") == 2; });
    }));
}

/// One that starts afterwards hears only from its neighbours what is still evacuated.
TEST(DataCentre, EvacuationsReachFollowersAndRoutersThatStart)
{
    fleet.startAndWaitUntilFollowing();
    fleet.store.put("keyed.op", "evacuate/first", "{}");
    fleet.store.put("keyed.op", "evacuate/second", "{}");
    CHECK(waitFor([this] {
        return fleet.everywhere([this](int router) {
            return fleet.isEvacuatedFor(router, "first") && fleet.isEvacuatedFor(router, "second");
        });
    }));
    fleet.store.put("keyed.op", "evacuate/first", "");
    CHECK(waitFor(
        [this] { return fleet.everywhere([this](int router) { return !fleet.isEvacuatedFor(router, "first"); }); }));
    const int last = fleet.routerCount - 1;
    fleet.restart(last);
    CHECK(waitFor([&] { return fleet.metric(last, "topic_follows_router{topic=\"desired_state\"}") == 1; }));
    CHECK(waitFor([&] { return fleet.isEvacuatedFor(last, "second"); }));
    CHECK(!fleet.isEvacuatedFor(last, "first"));
}

/// Its callers got 503 for want of a proof that their keys are still valid, although its neighbours could have told.
TEST(DataCentreOutages, ARouterThatTheStoreTurnsAwayServesByWhatItsNeighboursTell)
{
    fleet.turnedAway = {3, 4, 5};
    fleet.startAndWaitUntilFollowing();
    fleet.otherStore.setFault(StoreFault::Unavailable);
    const Instant end = clockNow() + seconds(7); // longer than a proof is valid
    while (clockNow() < end) {
        for (const int router : fleet.turnedAway) {
            LONGS_EQUAL(200, fleet.call(router, "f1:512,a1:900,1:10"));
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    fleet.store.put("keyed.op", "config", fleet.state(2, "k2"));
    CHECK(waitFor([this] {
        return fleet.everywhere([this](int router) { return fleet.call(router, "f1:512,a1:900,1:10") == 401; });
    }));
}

/// The routers that the others follow lost the store and heard of its return again and again, and told so. To the
/// others the replicas might have expired: they used those that had left for another grace period.
TEST(DataCentreOutages, ReplicasThatLeaveAreDroppedInTimeWhileTheStoreIsSilentForTheReaders)
{
    fleet.turnedAway = {0, 1};
    fleet.startAndWaitUntilFollowing();
    fleet.otherStore.setFault(StoreFault::NoResponse);
    std::this_thread::sleep_for(seconds(5)); // until the others read the store
    for (int left = 1; left <= 3; ++left) {
        fleet.store.put("keyed.servers", "e" + std::to_string(left), "");
        const Instant removed = clockNow();
        CHECK(waitFor([&] {
            return fleet.everywhere([&](int router) {
                return fleet.turnedAway.count(router) > 0 || fleet.metric(router, "replicas_usable") == 4 - left;
            });
        }));
        const double took = std::chrono::duration<double>(clockNow() - removed).count();
        CHECK_TEXT(took < 4, std::to_string(took).c_str()); // the drain delay
    }
}

/// Each asks the others while the store is silent. What they tell then is old: it must not keep a router from noticing
/// that the store is back, and a router that is asked must go on reading.
TEST(DataCentreOutages, AFewRoutersThatAskEachOtherNoticeTheStoresReturn)
{
    fleet.routerCount = 4;
    fleet.startStores();
    fleet.start();
    std::this_thread::sleep_for(seconds(2)); // hears where its peers run
    for (int version = 2; version <= 3; ++version) {
        fleet.store.setFault(StoreFault::NoResponse);
        std::this_thread::sleep_for(seconds(15)); // they ask each other more and more rarely
        fleet.store.setFault(StoreFault::None);
        fleet.store.put("keyed.op", "config", fleet.state(version, "k1"));
        CHECK(waitFor([&] {
            return fleet.everywhere(
                [&](int router) { return fleet.metric(router, "desired_state_version") == version; });
        }));
    }
}

/// Sent by a router with a narrow link to all others, it would be in force too late. Its routes have little in common,
/// so that it is large also when it is packed.
TEST(DataCentre, ALargeDesiredStateIsReadFromTheStoreByEach)
{
    const double served = fleet.timesServed([](int i) {
        std::string name;
        for (int part = 0; part < 4; ++part) {
            name += std::to_string(hashName(std::to_string(i * 4 + part)));
        }
        return name;
    });
    CHECK_TEXT(served >= 10 && served <= 12, std::to_string(served).c_str()); // once by each of ten routers
}

TEST(DataCentre, ALargeDesiredStateThatIsSmallWhenPackedIsReadFromTheStoreOnce)
{
    const double served = fleet.timesServed([](int i) { return std::to_string(i); });
    CHECK_TEXT(served >= 1 && served <= 2, std::to_string(served).c_str());
}

/// In a data centre of four each router reads the store itself, and asks the others only when that fails.
TEST(DataCentreOutages, AlsoAFewRoutersHelpOneThatTheStoreTurnsAway)
{
    fleet.routerCount = 4;
    fleet.turnedAway = {3};
    fleet.startStores();
    fleet.start();
    CHECK(waitFor([this] { return fleet.metric(3, "peers_heard") == 3; }));
    std::this_thread::sleep_for(seconds(1)); // hears where its peers run
    LONGS_EQUAL(0, fleet.followers("desired_state"));
    fleet.otherStore.setFault(StoreFault::Unavailable);
    const Instant end = clockNow() + seconds(8);
    int refused = 0;
    while (clockNow() < end) {
        refused += fleet.call(3, "f1:512,a1:900,1:10") == 200 ? 0 : 1;
        std::this_thread::sleep_for(milliseconds(50));
    }
    LONGS_EQUAL(0, refused);
}

/// The reader of a topic stops: the others go on with the next one, and a key that is taken away then is refused in
/// time.
TEST(DataCentreOutages, TheOthersGoOnWhenTheReaderStops)
{
    fleet.startAndWaitUntilFollowing();
    const int reader = fleet.readerOf("desired_state");
    fleet.routers[static_cast<std::size_t>(reader)]->stop();
    fleet.store.put("keyed.op", "config", fleet.state(2, "k2"));
    const Instant revoked = clockNow();
    int served = 0;
    while (clockNow() < revoked + seconds(8)) {
        for (int router = 0; router < fleet.routerCount; ++router) {
            if (router == reader) {
                continue;
            }
            const Instant sent = clockNow();
            const int status = fleet.call(router, "f1:512,a1:900,1:10");
            CHECK(status == 200 || status == 401);
            CHECK(status == 401 || sent < revoked + seconds(5));
            served += status == 200 ? 1 : 0;
        }
    }
    CHECK(waitFor([&] {
        return fleet.everywhere(
            [&](int router) { return router == reader || fleet.metric(router, "desired_state_version") == 2; });
    }));
    fleet.routers[static_cast<std::size_t>(reader)]->start();
}

/// While the store is silent no key may be used for longer than the bound, whoever tells what.
TEST(DataCentreOutages, NobodyProlongsAProofWhileTheStoreIsSilent)
{
    fleet.startAndWaitUntilFollowing();
    fleet.store.setFault(StoreFault::NoResponse);
    const Instant silent = clockNow();
    while (clockNow() < silent + seconds(9)) {
        for (int router = 0; router < fleet.routerCount; ++router) {
            const Instant sent = clockNow();
            const int status = fleet.call(router, "f1:512,a1:900,1:10");
            CHECK(status == 200 || status == 503);
            CHECK(status == 503 || sent < silent + seconds(5));
        }
    }
    fleet.store.setFault(StoreFault::None);
    CHECK(waitFor([this] { return fleet.allServe(); }));
    CHECK(waitFor([this] { return fleet.followers("desired_state") == 9; }));
}

TEST(DataCentre, ARestoredStoreIsReadAnewByAll)
{
    fleet.startAndWaitUntilFollowing();
    fleet.store.backUp(); // as it is now
    fleet.store.put("keyed.op", "other", "x");
    fleet.store.put("keyed.op", "other", "y");
    fleet.store.restore({{"keyed.op", "config", fleet.state(5, "k2")}});
    CHECK(waitFor([this] {
        return fleet.everywhere([this](int router) { return fleet.metric(router, "desired_state_version") == 5; });
    }));
}
