// A real daemon against stand-ins of the platform's store and of replicas: what callers are told, and what replicas
// see.
#include "tests/site.h"

using namespace galenafold;
using std::chrono::milliseconds;

static const ReplicaScript answersWell = [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
    reply->answer(got, 200, "done:" + got.body);
};

static std::string notRun(const ReplicaRequest &got)
{
    return "HTTP/1.1 503 Busy\r\nX-Galenafold-Not-Executed: 1\r\nX-Galenafold-Attempt-Id: "
        + got.field("X-Galenafold-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
}

// Path

TEST_GROUP(NodePath)
{
    Site site;
};

TEST(NodePath, CarriesARequestAndReplacesWhatIsOursToSet)
{
    FakeReplica &replica = site.add("a", answersWell);
    site.startReady();
    const auto caller = site.send(encodeCallerRequest(
        "/once/x?q=1", "id-1", "k1", 5000,
        "X-Galenafold-Tenant: forged\r\nX-Galenafold-Hold: 7\r\nKv-From: 1.2.3.4:1/2\r\n"
        "X-Galenafold-Pin-Ms: 9\r\nX-Galenafold-Kv-Backup: 1.2.3.4:1\r\nKv-Fetch: 1.2.3.4:1\r\nX-Own: kept\r\n"));
    CHECK(caller->read());
    LONGS_EQUAL(200, caller->status());
    STRCMP_EQUAL("done:hello", caller->body().c_str());
    STRCMP_EQUAL("sealed", caller->field("X-Galenafold-Response-Seal").c_str());
    const ReplicaRequest got = replica.requests().at(0);
    STRCMP_EQUAL("/once/x?q=1", got.head.target.c_str());
    STRCMP_EQUAL("acme", got.field("X-Galenafold-Tenant").c_str());
    STRCMP_EQUAL("a", got.field("X-Galenafold-Expect-Instance").c_str());
    STRCMP_EQUAL("kept", got.field("X-Own").c_str());
    CHECK(std::stoi(got.field("X-Galenafold-Deadline-Ms")) <= 5000);
    for (const char *name :
         {"X-Api-Key", "X-Galenafold-Hold", "Kv-From", "X-Galenafold-Pin-Ms", "X-Galenafold-Kv-Backup"}) {
        STRCMP_EQUAL("", got.field(name).c_str());
    }
}

TEST(NodePath, RefusesBadInputAndNothingReachesAReplica)
{
    FakeReplica &replica = site.add("a", answersWell);
    site.startReady();
    const std::string head = "POST /once/ HTTP/1.1\r\nHost: app.example\r\nX-Api-Key: k1\r\n";
    const std::pair<std::string, int> cases[] = {
        {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {head + "Host: other\r\nContent-Length: 0\r\n\r\n", 400},
        {head + "Content-Length: 10001\r\n\r\n", 413},
        {head + "A: " + std::string(3000, 'x') + "\r\n\r\n", 431},
        {head + "A: unfinished", 408},
        {encodeCallerRequest("/once/x", "i", "nobody"), 401},
        {encodeCallerRequest("/nowhere/x", "i"), 404},
    };
    for (const auto &[bytes, status] : cases) {
        const auto caller = site.send(bytes);
        CHECK(caller->read());
        LONGS_EQUAL(status, caller->status());
    }
    LONGS_EQUAL(0, replica.requests().size());
}

TEST(NodePath, MetricsTellHowRequestsOfEachKindAndAccountEnded)
{
    site.add("a", [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        if (got.head.target == "/live/x") {
            reply->beginStream(got);
            reply->event(0, "x");
            reply->endStream();
        } else {
            reply->answer(got, 200, "done");
        }
    });
    site.startReady();
    for (const char *path : {"/any/x", "/any/y", "/live/x", "/nowhere/x"}) {
        CHECK(site.send(encodeCallerRequest(path, path))->read());
    }
    CHECK(site.send(encodeCallerRequest("/any/x", "stranger", "nobody"))->read());
    CHECK(waitFor([this] { return site.metric("calls_in_progress") == 0; }));
    LONGS_EQUAL(2, site.metric("calls_total{kind=\"idempotent\",outcome=\"served\",reason=\"\"}"));
    LONGS_EQUAL(1, site.metric("calls_total{kind=\"stream\",outcome=\"served\",reason=\"\"}"));
    LONGS_EQUAL(1, site.metric("calls_total{kind=\"none\",outcome=\"refused\",reason=\"no_route\"}"));
    LONGS_EQUAL(1, site.metric("calls_total{kind=\"idempotent\",outcome=\"refused\",reason=\"unknown_key\"}"));
    LONGS_EQUAL(3, site.metric("account_calls_total{account=\"acme\",outcome=\"served\"}"));
    LONGS_EQUAL(3, site.metric("call_seconds_count{kind=\"idempotent\"}"));
    LONGS_EQUAL(3, site.metric("call_seconds_bucket{kind=\"idempotent\",le=\"+Inf\"}"));
    LONGS_EQUAL(1, site.metric("first_bytes_seconds_count{kind=\"stream\"}"));
    LONGS_EQUAL(1, site.metric("longest_gap_seconds_count{kind=\"stream\"}"));
    LONGS_EQUAL(0, site.metric("replica_load{service=\"svc\",replica=\"a\"}"));
    LONGS_EQUAL(3, site.metric("load_bound{service=\"svc\"}"));
    CHECK(site.metric("retries_left{service=\"svc\"}") > 0);
    CHECK(site.metric("store_calls_total{topic=\"registry\"}") > 0);
    CHECK(site.metric("peak_memory_bytes") > 0);
}

TEST(NodePath, AnswersManyRequestsOfOneConnectionInOrder)
{
    site.add("a", answersWell);
    site.startReady();
    std::string bytes;
    for (int i = 0; i < 20; ++i) {
        bytes += encodeCallerRequest("/any/x", "id-" + std::to_string(i), "k1", 20000, "", "b" + std::to_string(i));
    }
    const auto caller = site.send(bytes);
    for (int i = 0; i < 20; ++i) {
        CHECK(caller->read());
        STRCMP_EQUAL(("done:b" + std::to_string(i)).c_str(), caller->body().c_str());
    }
}

TEST(NodePath, WithoutAStoreItSaysNotReadyAndRefusesAtOnce)
{
    site.store.setFault(StoreFault::NoResponse);
    site.start();
    LONGS_EQUAL(503, site.readiness());
    const auto caller = site.send(encodeCallerRequest("/once/x", "i"));
    CHECK(caller->read());
    LONGS_EQUAL(503, caller->status());
    CHECK(!caller->field("Retry-After").empty());
    site.store.setFault(StoreFault::None);
}

/// All routers start at once and callers are back before the store has answered.
TEST(NodePath, ARequestThatComesBeforeTheStoresFirstAnswerWaitsForIt)
{
    site.add("a", answersWell);
    site.store.put("keyed.op", "config", desiredState(1));
    site.store.setFault(StoreFault::Delayed);
    site.settings.startupWait = sitePatience;
    site.start();
    const auto caller = site.send(encodeCallerRequest("/once/x", "early"));
    CHECK(waitFor([this] { return site.metric("calls_in_progress") == 1; }));
    site.store.setFault(StoreFault::None);
    CHECK(caller->read());
    LONGS_EQUAL(200, caller->status());
}

TEST(NodePath, NothingWaitsOnceTheStoreHasFailed)
{
    site.store.setFault(StoreFault::Unavailable);
    site.settings.startupWait = sitePatience * 10; // a caller that waited would get no answer in time
    site.start();
    const auto caller = site.send(encodeCallerRequest("/once/x", "early"));
    CHECK(caller->read());
    LONGS_EQUAL(503, caller->status());
    CHECK(!caller->field("Retry-After").empty());
}

// Trap 5: what "not run" means

TEST_GROUP(NodeNotRun)
{
    Site site;
};

TEST(NodeNotRun, ARequestThatMayHaveRunIsNotSentTwiceNorCalledNotRun)
{
    FakeReplica &a = site.add("a", [](const auto &, const auto &reply) { reply->reset(); });
    FakeReplica &b = site.add("b", [](const auto &, const auto &reply) { reply->reset(); });
    site.startReady();
    const auto caller = site.send(encodeCallerRequest("/once/x", "i"));
    CHECK(caller->read());
    LONGS_EQUAL(502, caller->status());
    LONGS_EQUAL(1, a.requests().size() + b.requests().size());
}

TEST(NodeNotRun, ARefusalByTheReplicaMayGoToAnother)
{
    site.add("a", [](const ReplicaRequest &got, const auto &reply) { reply->send(notRun(got)); });
    site.add("b", answersWell);
    site.startReady();
    for (int i = 0; i < 8; ++i) {
        const auto caller = site.send(encodeCallerRequest("/once/x", "i" + std::to_string(i)));
        CHECK(caller->read());
        LONGS_EQUAL(200, caller->status());
    }
}

TEST(NodeNotRun, WhereAllRefuseTheCallerIsToldSoTruly)
{
    site.add("a", [](const ReplicaRequest &got, const auto &reply) { reply->send(notRun(got)); });
    site.startReady();
    const auto caller = site.send(encodeCallerRequest("/once/x", "i"));
    CHECK(caller->read());
    LONGS_EQUAL(503, caller->status());
    CHECK(!caller->field("Retry-After").empty());
}

TEST(NodeNotRun, ARepeatableOneGoesElsewhere)
{
    site.add("a", [](const auto &, const auto &reply) { reply->reset(); });
    site.add("b", answersWell);
    site.startReady();
    for (int i = 0; i < 6; ++i) {
        const auto caller = site.send(encodeCallerRequest("/any/x", "i" + std::to_string(i)));
        CHECK(caller->read());
        LONGS_EQUAL(200, caller->status());
    }
}

TEST(NodeNotRun, AKeptConnectionThatHasEndedIsNotUsedForWorkThatRunsOnce)
{
    FakeReplica &replica = site.add("a", [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        reply->answer(got, 200, "x");
        reply->end(); // without having said so
    });
    site.startReady();
    for (int i = 0; i < 5; ++i) {
        const auto caller = site.send(encodeCallerRequest("/once/x", "i" + std::to_string(i)));
        CHECK(caller->read());
        LONGS_EQUAL(200, caller->status());
    }
    LONGS_EQUAL(5, replica.connections());
}

// Trap 6: whole, or visibly broken

TEST_GROUP(NodeWhole)
{
    Site site;

    /// @return the status that a caller of a once-only route gets for a scripted answer; 0: none that is whole
    int statusFor(const ReplicaScript &script)
    {
        site.add("a", script);
        site.startReady();
        const auto caller = site.send(encodeCallerRequest("/once/x", "id-1"));
        return caller->read() ? caller->status() : 0;
    }
};

TEST(NodeWhole, ASuccessWithoutItsChecksumIsNoSuccess)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const auto &reply) {
                    reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nContent-Length: 2\r\n\r\nhi");
                }));
}

TEST(NodeWhole, ACutBodyIsNoSuccess)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const auto &reply) {
                    reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nX-Galenafold-Response-Seal: s\r\n"
                                "Content-Length: 20\r\n\r\nhi");
                    reply->end();
                }));
}

TEST(NodeWhole, ABodyWithoutLengthThatIsResetIsNoSuccess)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const std::shared_ptr<ReplicaReply> &reply) {
                    reply->send(
                        "HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: id-1\r\nX-Galenafold-Response-Seal: s\r\n\r\nhi");
                    reply->after(milliseconds(50), [reply] { reply->reset(); });
                }));
}

TEST(NodeWhole, BytesThatAreNoAnswerAreNotPassedOn)
{
    LONGS_EQUAL(502, statusFor([](const auto &, const auto &reply) { reply->send("rubbish\r\n\r\n"); }));
}

TEST(NodeWhole, AnotherRequestsLateAnswerIsSkippedAndTheOwnOneFollows)
{
    LONGS_EQUAL(201, statusFor([](const ReplicaRequest &got, const auto &reply) {
                    reply->send("HTTP/1.1 200 OK\r\nX-Galenafold-Attempt-Id: other\r\nX-Galenafold-Response-Seal: s\r\n"
                                "Content-Length: 3\r\n\r\nbad");
                    reply->answer(got, 201, "good");
                }));
}

TEST(NodeWhole, AfterExtraBytesTheConnectionIsNotUsedAgain)
{
    FakeReplica &replica = site.add("a", [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        reply->answer(got, 200, got.body);
        reply->answer(got, 200, "again");
    });
    site.startReady();
    for (int i = 0; i < 4; ++i) {
        const std::string body = "b" + std::to_string(i);
        const auto caller = site.send(encodeCallerRequest("/any/x", "same-id", "k1", 20000, "", body));
        CHECK(caller->read());
        STRCMP_EQUAL(body.c_str(), caller->body().c_str());
    }
    LONGS_EQUAL(4, replica.connections());
}

TEST(NodeWhole, AFailureOfTheReplicaIsPassedOnAsItIs)
{
    LONGS_EQUAL(500, statusFor([](const ReplicaRequest &got, const auto &reply) { reply->answer(got, 500, "why"); }));
}

// Trap 7: streams

TEST_GROUP(NodeStreams)
{
    Site site;
};

TEST(NodeStreams, GoesOnElsewhereAfterABreakWithoutGapOrRepeat)
{
    const ReplicaScript script = [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        const std::string last = got.field("Last-Event-Id");
        const int first = last.empty() ? 0 : std::stoi(last) + 1;
        reply->beginStream(got);
        if (last.empty()) {
            reply->event(0, "a");
            reply->event(1, "b");
            reply->send("c\r\nid: 2\ndata: \r\n"); // half an event
            reply->after(milliseconds(30), [reply] { reply->reset(); });
            return;
        }
        for (int i = first; i < 5; ++i) {
            reply->event(i, std::string(1, static_cast<char>('a' + i)));
        }
        reply->endStream();
    };
    site.add("a", script);
    site.add("b", script);
    site.startReady();
    const auto caller = site.send(encodeCallerRequest("/live/x", "i"));
    CHECK(caller->read());
    std::string expected;
    for (int i = 0; i < 5; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: " + std::string(1, static_cast<char>('a' + i)) + "\n\n";
    }
    STRCMP_EQUAL(expected.c_str(), caller->body().c_str());
}

TEST(NodeStreams, GoesOnElsewhereWhenItStandsStill)
{
    const ReplicaScript script = [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        const bool isResumed = !got.field("Last-Event-Id").empty();
        reply->beginStream(got);
        reply->event(isResumed ? 1 : 0, "x");
        if (isResumed) {
            reply->endStream();
        }
    };
    FakeReplica &a = site.add("a", script);
    FakeReplica &b = site.add("b", script);
    site.startReady();
    const auto caller = site.send(encodeCallerRequest("/live/x", "i"));
    CHECK(caller->read());
    STRCMP_EQUAL("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", caller->body().c_str());
    CHECK(waitFor([&] { return a.abortedRequests() + b.abortedRequests() == 1; })); // never two at work for long
}

TEST(NodeStreams, WhatWaitsAtAReplicaWhoseStreamsStandStillGoesElsewhereLongBeforeItsObjective)
{
    FakeReplica &mute = site.add("a", [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        if (got.field("X-Galenafold-Attempt-Id") == "first") {
            reply->beginStream(got);
            reply->event(0, "x");
        }
    });
    site.startReady();
    const auto first = site.send(encodeCallerRequest("/frail/x", "first")); // may not be resumed: it stands still
    CHECK(waitFor([this] { return site.metric("calls_streaming") == 1; }));
    const auto second = site.send(encodeCallerRequest("/live/x", "second"));
    CHECK(waitFor([&mute] { return mute.requests().size() == 2; }));
    site.add("b", [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        reply->beginStream(got);
        reply->event(0, "y");
        reply->endStream();
    });
    CHECK(second->read()); // the objective is 20 s, as is the caller's patience
    STRCMP_EQUAL("id: 0\ndata: y\n\n", second->body().c_str());
}

TEST(NodeStreams, OneThatMayNotBeResumedIsBrokenVisibly)
{
    const ReplicaScript script = [](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        reply->beginStream(got);
        reply->event(0, "a");
        reply->after(milliseconds(30), [reply] { reply->reset(); });
    };
    FakeReplica &a = site.add("a", script);
    FakeReplica &b = site.add("b", script);
    site.startReady();
    const auto caller = site.send(encodeCallerRequest("/frail/x", "i"));
    CHECK(!caller->read());
    LONGS_EQUAL(200, caller->status());
    LONGS_EQUAL(1, a.requests().size() + b.requests().size());
}

TEST(NodeStreams, EventsArePassedOnAsTheyCome)
{
    std::atomic<bool> mayGoOn{false};
    site.add("a", [&mayGoOn](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        reply->beginStream(got);
        reply->event(0, "a");
        const auto poll = std::make_shared<std::function<void()>>();
        *poll = [poll, reply, &mayGoOn] {
            if (!mayGoOn) {
                reply->after(milliseconds(5), *poll);
                return;
            }
            reply->event(1, "b");
            reply->endStream();
        };
        (*poll)();
    });
    site.startReady();
    RawCaller caller(site.node->callerPort());
    caller.send(encodeCallerRequest("/live/x", "i"));
    CHECK(waitFor([this] { return site.metric("calls_streaming") == 1; })); // the first event went out alone
    mayGoOn = true;
    CHECK(caller.read());
}

TEST(NodeStreams, ASlowReaderBlocksOnlyItself)
{
    constexpr int events = 2000;
    constexpr std::size_t eventBytes = 16384;
    std::atomic<std::size_t> unsentBytes{0};
    std::atomic<int> steady{0}; // looks in a row that found as many bytes as before
    site.add("a", [&unsentBytes, &steady](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
        if (got.field("X-Galenafold-Attempt-Id") != "slow") {
            reply->answer(got, 200, "done");
            return;
        }
        reply->beginStream(got);
        for (int id = 0; id < events; ++id) {
            reply->event(id, std::string(eventBytes, 'x'));
        }
        const auto look = std::make_shared<std::function<void()>>();
        *look = [look, reply, &unsentBytes, &steady] {
            steady = unsentBytes == reply->unsentBytes() ? steady + 1 : 0;
            unsentBytes = reply->unsentBytes();
            reply->after(milliseconds(5), *look);
        };
        (*look)();
    });
    site.startReady();
    RawCaller slow(site.node->callerPort());
    slow.send(encodeCallerRequest("/live/x", "slow"));
    CHECK(waitFor([this] { return site.metric("calls_streaming") == 1; }));
    for (int i = 0; i < 50; ++i) {
        const auto other = site.send(encodeCallerRequest("/any/x", "id-" + std::to_string(i)));
        CHECK(other->read());
        LONGS_EQUAL(200, other->status());
    }
    CHECK(waitFor([&steady] { return steady >= 40; }));
    CHECK(unsentBytes > events * eventBytes / 2); // it waits at the replica, not in the router
}

// Trap 8: the caller leaves, time runs out

TEST_GROUP(NodeTime)
{
    Site site;
};

TEST(NodeTime, ACallerThatLeavesEndsTheWork)
{
    FakeReplica &replica = site.add("a", [](const auto &, const auto &) {});
    site.startReady();
    const auto caller = site.send(encodeCallerRequest("/any/x", "i"));
    CHECK(waitFor([&] { return replica.requests().size() == 1; }));
    caller->close();
    CHECK(waitFor([&] { return replica.abortedRequests() == 1; }));
    CHECK(waitFor([&] { return site.metric("calls_in_progress") == 0; }));
}

TEST(NodeTime, TheRoutesTimeoutEndsTheWaitAndTheWork)
{
    FakeReplica &replica = site.add("a", [](const auto &, const auto &) {});
    site.startReady();
    const auto caller = site.send(encodeCallerRequest("/brief/x", "i"));
    CHECK(caller->read());
    LONGS_EQUAL(504, caller->status());
    CHECK(waitFor([&] { return replica.abortedRequests() == 1; }));
    CHECK(std::stoi(replica.requests()[0].field("X-Galenafold-Deadline-Ms")) <= 300);
}

// Keys

TEST_GROUP(NodeKeys){};

TEST(NodeKeys, ATakenKeyIsRefusedOnceTheNewVersionIsRead)
{
    Site site;
    site.add("a", answersWell);
    site.startReady();
    site.store.put("keyed.op", "config", desiredState(7, {"k2"}));
    site.store.put("keyed.op", "config", desiredState(6, {"k1"})); // late: versions never go back
    CHECK(waitFor([&] {
        const auto caller = site.send(encodeCallerRequest("/once/x", "i", "k1"));
        return caller->read() && caller->status() == 401;
    }));
    CHECK(waitFor([&] { return site.metric("store_records_total") >= 3; }));
    const auto caller = site.send(encodeCallerRequest("/once/x", "i", "k1"));
    CHECK(caller->read());
    LONGS_EQUAL(401, caller->status());
}

TEST(NodeKeys, WithoutAYoungProofKeysAreRefusedAsNotRunAndServedAgainAfterwards)
{
    Site site(milliseconds(1200));
    FakeReplica &replica = site.add("a", answersWell);
    site.startReady();
    site.store.setFault(StoreFault::NoResponse);
    CHECK(waitFor([&] {
        const auto caller = site.send(encodeCallerRequest("/once/x", "i"));
        return caller->read() && caller->status() == 503;
    }));
    const std::size_t reached = replica.requests().size();
    CHECK(waitFor([&] { return site.readiness() == 503; })); // new callers go elsewhere
    site.store.put("keyed.op", "config", desiredState(2, {"k2"}));
    const auto caller = site.send(encodeCallerRequest("/once/x", "i"));
    CHECK(caller->read());
    LONGS_EQUAL(503, caller->status());
    LONGS_EQUAL(reached, replica.requests().size());
    const auto unknown = site.send(encodeCallerRequest("/perhaps-new/x", "i"));
    CHECK(unknown->read());
    LONGS_EQUAL(503, unknown->status()); // the route may have been added meanwhile
    site.store.setFault(StoreFault::None);
    CHECK(waitFor([&] {
        const auto again = site.send(encodeCallerRequest("/once/x", "i", "k2"));
        return again->read() && again->status() == 200;
    }));
    const auto taken = site.send(encodeCallerRequest("/once/x", "i", "k1"));
    CHECK(taken->read());
    LONGS_EQUAL(401, taken->status());
}

TEST(NodeKeys, FollowsOnAfterTheHistoryIsCut)
{
    Site site;
    site.store.setPageSize(1);
    site.add("a", answersWell);
    site.add("b", answersWell);
    site.startReady();
    site.store.setFault(StoreFault::Unavailable);
    CHECK(waitFor([&] { return site.metric("store_lost") > 0; }));
    site.store.put("keyed.op", "config", desiredState(2, {"k2"}));
    site.store.truncateHistory("keyed.op");
    site.store.truncateHistory("keyed.servers");
    site.store.setFault(StoreFault::None);
    CHECK(waitFor([&] {
        const auto caller = site.send(encodeCallerRequest("/once/x", "i", "k2"));
        return caller->read() && caller->status() == 200;
    }));
}

// Leaving

TEST_GROUP(NodeLeaving)
{
    Site site;
};

TEST(NodeLeaving, ALeavingReplicaGetsNoNewWork)
{
    FakeReplica &a = site.add("a", answersWell);
    FakeReplica &b = site.add("b", answersWell);
    site.startReady();
    site.store.put("keyed.servers", "a", a.entry("draining"));
    CHECK(waitFor([&] { return site.metric("replicas_usable") == 1; }));
    const std::size_t before = a.requests().size();
    for (int i = 0; i < 10; ++i) {
        const auto caller = site.send(encodeCallerRequest("/once/x", "i" + std::to_string(i)));
        CHECK(caller->read());
        LONGS_EQUAL(200, caller->status());
    }
    LONGS_EQUAL(before, a.requests().size());
    CHECK(b.requests().size() >= 10);
}

TEST(NodeLeaving, ADrainEndsWhatIsInProgressAndTakesNothingLate)
{
    std::atomic<bool> mayAnswer{false};
    FakeReplica &replica =
        site.add("a", [&mayAnswer](const ReplicaRequest &got, const std::shared_ptr<ReplicaReply> &reply) {
            const auto poll = std::make_shared<std::function<void()>>();
            *poll = [poll, got, reply, &mayAnswer] {
                if (mayAnswer) {
                    reply->answer(got, 200, "late");
                } else {
                    reply->after(milliseconds(5), *poll);
                }
            };
            (*poll)();
        });
    site.startReady();
    const auto idle = site.send("");
    const auto busy = site.send(encodeCallerRequest("/once/x", "i"));
    CHECK(waitFor([&] { return replica.requests().size() == 1; }));
    site.node->beginDrain();
    CHECK(waitFor([&] { return site.readiness() == 503; }));
    CHECK(!idle->read()); // closed once the balancer has noticed, though work is in progress
    mayAnswer = true;
    CHECK(busy->read());
    STRCMP_EQUAL("late", busy->body().c_str());
    STRCMP_EQUAL("close", busy->field("Connection").c_str());
    site.thread.join();
    LONGS_EQUAL(1, replica.requests().size());
}
