// Tests contracts, membership and gossip: the log's order decides between amendments, state never moves to a lower
// offset, a VM that leaves gets no new work in that incarnation, and gossip keeps its byte budget.
#include "control/contracts.h"
#include "control/gossip.h"
#include "control/membership.h"
#include "fakes/fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace galenafold;

TEST_GROUP(Contracts)
{
    std::vector<LogRecord> log;

    std::string contractText(const std::string &customer, int rate)
    {
        return sampleContract(customer, customer, rate, 10);
    }
    void append(const std::string &value)
    {
        log.push_back({static_cast<LogOffset>(log.size()), value});
    }
    void appendContract(const std::string &customer, std::int64_t base, int rate)
    {
        append(
            encodeContractRecord({{customer}, base, "n" + std::to_string(log.size()), contractText(customer, rate)}));
    }
    ApplyResult applyAll(ContractStateMachine & contracts, LogOffset from, LogOffset firstRetained)
    {
        ApplyResult last = ApplyResult::AlreadySeen;
        for (const LogRecord &record : log) {
            if (record.offset >= from) {
                last = contracts.apply(record, firstRetained);
            }
        }
        return last;
    }
    double rateOf(const ContractStateMachine &contracts, const std::string &customer)
    {
        const auto entry = contracts.state().entries.find({customer});
        return entry == contracts.state().entries.end() ? -1 : entry->second.contract.rate;
    }
};

TEST(Contracts, everyReaderAcceptsTheSameOneOfTwoConcurrentAmendments)
{
    ContractStateMachine first;
    ContractStateMachine second;
    appendContract("a", 0, 1);
    appendContract("a", 1, 2);
    CHECK(applyAll(first, 0, 0) == ApplyResult::Accepted);
    appendContract("a", 1, 3);
    CHECK(first.apply(log.back(), 0) == ApplyResult::StaleBase);
    applyAll(second, 0, 0);
    DOUBLES_EQUAL(2, rateOf(first, "a"), 0);
    DOUBLES_EQUAL(2, rateOf(second, "a"), 0);
    LONGS_EQUAL(2, first.state().entries.at({"a"}).contract.version);
}

TEST(Contracts, malformedAndFutureFormatRecordsChangeNothing)
{
    ContractStateMachine contracts;
    appendContract("a", 0, 1);
    applyAll(contracts, 0, 0);
    append("{");
    CHECK(contracts.apply(log.back(), 0) == ApplyResult::Malformed);
    append("{\"format\":99,\"kind\":\"contract\",\"customer\":\"a\",\"base\":1}");
    CHECK(contracts.apply(log.back(), 0) == ApplyResult::FutureFormat);
    append("{\"format\":\"x\",\"kind\":3}");
    CHECK(contracts.apply(log.back(), 0) == ApplyResult::Malformed);
    append(encodeContractRecord({{"a"}, 1, "n", "[contract]\nrate = much\n"}));
    CHECK(contracts.apply(log.back(), 0) == ApplyResult::Malformed);
    DOUBLES_EQUAL(1, rateOf(contracts, "a"), 0);
    LONGS_EQUAL(5, contracts.upTo());
}

TEST(Contracts, stateNeverMovesToALowerOffset)
{
    ContractStateMachine contracts;
    appendContract("a", 0, 1);
    applyAll(contracts, 0, 0);
    const ContractSnapshot old = contracts.state();
    appendContract("a", 1, 2);
    contracts.apply(log.back(), 0);
    CHECK(!contracts.installSnapshot(old));
    CHECK(contracts.apply(log.front(), 0) == ApplyResult::AlreadySeen);
    DOUBLES_EQUAL(2, rateOf(contracts, "a"), 0);
}

TEST(Contracts, aNewReaderNeedsASnapshotWhenRetentionRemovedEarlierRecords)
{
    ContractStateMachine old;
    appendContract("a", 0, 1);
    appendContract("b", 0, 5);
    appendContract("a", 1, 2);
    applyAll(old, 0, 0);
    ContractStateMachine fresh;
    CHECK(fresh.apply(log[2], 2) == ApplyResult::Deferred); // the record of its base, version 1, was deleted
    CHECK(!fresh.isComplete());
    const std::string snapshot = encodeContractSnapshot(old.state());
    appendContract("b", 1, 6);
    append(snapshot); // of the state before the last amendment
    fresh.apply(log[3], 2);
    fresh.apply(log[4], 2);
    CHECK(fresh.isComplete());
    DOUBLES_EQUAL(2, rateOf(fresh, "a"), 0);
    DOUBLES_EQUAL(6, rateOf(fresh, "b"), 0); // the deferred record was applied after the snapshot
    LONGS_EQUAL(5, fresh.upTo());
}

TEST(Contracts, aReaderThatLagsBehindRetentionServesOldStateUntilASnapshot)
{
    ContractStateMachine current;
    ContractStateMachine lagging;
    appendContract("a", 0, 1);
    applyAll(current, 0, 0);
    applyAll(lagging, 0, 0);
    appendContract("a", 1, 2);
    appendContract("a", 2, 3);
    applyAll(current, 1, 0);
    append(encodeContractSnapshot(current.state()));
    CHECK(lagging.apply(log[2], 2) == ApplyResult::Deferred);
    DOUBLES_EQUAL(1, rateOf(lagging, "a"), 0);
    lagging.apply(log[3], 2);
    DOUBLES_EQUAL(3, rateOf(lagging, "a"), 0);
    CHECK(lagging.isComplete());
}

TEST(Contracts, peersGetRecentRecordsOrASnapshot)
{
    ContractStateMachine contracts;
    appendContract("a", 0, 1);
    appendContract("a", 1, 2);
    applyAll(contracts, 0, 0);
    LONGS_EQUAL(1, contracts.recordsFrom(1).size());
    ContractStateMachine fresh;
    CHECK(fresh.installEncodedSnapshot(encodeContractSnapshot(contracts.state())));
    DOUBLES_EQUAL(2, rateOf(fresh, "a"), 0);
    CHECK(!fresh.installEncodedSnapshot("{\"up_to\":9}"));
    CHECK(!fresh.installEncodedSnapshot("rubbish"));
}

TEST_GROUP(MembershipChanges)
{
    Membership members;

    VmRecord vm(const std::string &id, int incarnation, VmKind kind = VmKind::Engine)
    {
        VmRecord record;
        record.id = {id};
        record.kind = kind;
        record.incarnation = Incarnation(static_cast<std::uint64_t>(incarnation));
        record.pools = {{"tea"}};
        return record;
    }
};

TEST(MembershipChanges, oneLeavingMarkStopsNewWorkDespiteOutdatedLists)
{
    members.onVmList({vm("e1", 1), vm("e2", 1)});
    LONGS_EQUAL(2, members.routable().size());
    CHECK(members.onLeaving({{"e1"}, Incarnation(1)}));
    LONGS_EQUAL(1, members.routable().size());
    members.onVmList({vm("e1", 1), vm("e2", 1)}); // an outdated list in which e1 is still live
    LONGS_EQUAL(1, members.routable().size());
    CHECK(!members.onLeaving({{"e1"}, Incarnation(1)}));
}

TEST(MembershipChanges, aNewIncarnationIsRoutableAndAnOlderOneIsNot)
{
    members.onVmList({vm("e1", 1)});
    members.onLeaving({{"e1"}, Incarnation(1)});
    members.onVmList({vm("e1", 2)});
    LONGS_EQUAL(1, members.routable().size());
    members.onVmList({vm("e1", 1)}); // an older list
    LONGS_EQUAL(0, members.routable().size());
}

TEST(MembershipChanges, aLeavingEntryVmIsNoPeerButStillKnown)
{
    VmRecord leaving = vm("entry-1", 1, VmKind::Entry);
    leaving.state = VmState::Leaving;
    members.onVmList({leaving, vm("entry-2", 1, VmKind::Entry)});
    LONGS_EQUAL(1, members.entryVms().size());
    CHECK(members.isKnownEntry({"entry-1"}));
    CHECK(!members.isKnownEntry({"stranger"}));
}

TEST_GROUP(Gossip){};

TEST(Gossip, byteBudgetHoldsForAnyNumberOfPeers)
{
    for (const int peers : {19, 199, 1499}) {
        GossipSettings settings;
        GossipBudget budget(settings);
        Instant now{};
        std::int64_t sentBytes = 0;
        constexpr int messageBytes = 900;
        for (int round = 0; round < 500; ++round) {
            now += settings.round;
            sentBytes += static_cast<std::int64_t>(budget.take(now, messageBytes, peers)) * messageBytes;
        }
        const double seconds = 500 * std::chrono::duration<double>(settings.round).count();
        CHECK(static_cast<double>(sentBytes) / seconds <= settings.bytesPerSecond * 1.01);
        CHECK(sentBytes > 0);
    }
}

TEST(Gossip, everyPeerIsPickedBeforeOneIsPickedTwice)
{
    PeerPicker picker(1);
    std::vector<VmId> peers;
    for (int i = 0; i < 20; ++i) {
        peers.push_back({"p" + std::to_string(i)});
    }
    std::set<VmId> picked;
    for (int round = 0; round < 5; ++round) {
        for (const VmId &peer : picker.pick(peers, 4)) {
            CHECK(picked.insert(peer).second);
        }
    }
    LONGS_EQUAL(20, picked.size());
}
