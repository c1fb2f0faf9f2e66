// Google Benchmark suite for the CPU time of single operations: placement with 12 to 10,000 endpoints, limits with up
// to 640 customers, limit shares with up to 1500 routers, load beacons, log lines, and replay of contract and claim
// records; and the sizes of beacons, gossip messages and records. The output names each benchmark by its function.
// docs/CAPACITY.md derives its cost slopes from the results.
#include "control/claims.h"
#include "control/contracts.h"
#include "control/gossip.h"
#include "fakes/fleet.h"
#include "filters/limiter.h"
#include "filters/placement.h"
#include "galenafold/eventlog.h"
#include "net/beacons.h"
#include "runtime/peerrpc.h"

#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

namespace galenafold
{

static std::vector<VmRecord> makeEndpoints(int count)
{
    std::vector<VmRecord> list;
    for (int i = 0; i < count; ++i) {
        VmRecord record;
        record.id = {"engine-" + std::to_string(i)};
        record.incarnation = Incarnation(1);
        record.pools = {{"tea"}};
        list.push_back(record);
    }
    return list;
}

static Call makeCall(int number, bool hasHint)
{
    Call call;
    call.pool = {"tea"};
    call.chat = {"chat-" + std::to_string(number)};
    call.prompt = 4000;
    call.output = 100;
    if (hasHint) {
        call.hint = {{"engine-" + std::to_string(number % 12)}, Incarnation(1)};
    }
    return call;
}

static void measurePlacement(benchmark::State &state, bool hasHint)
{
    const Instant now(std::chrono::seconds(100));
    LoadView view({});
    view.setRoutable(makeEndpoints(static_cast<int>(state.range(0))));
    PlacementSettings settings;
    settings.recentChats = 0; // worst case: no placement is taken from the table of recent chats
    Placer placer(settings, {}, 1);
    int number = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(placer.choose(now, makeCall(++number % 997, hasHint), view, {}));
    }
}

static void placeWithHint(benchmark::State &state)
{
    measurePlacement(state, true);
}
static void placeWithoutHint(benchmark::State &state)
{
    measurePlacement(state, false);
}
BENCHMARK(placeWithHint)->Arg(12)->Arg(100)->Arg(1000)->Arg(10000);
BENCHMARK(placeWithoutHint)->Arg(12)->Arg(100)->Arg(1000)->Arg(10000);

/// Admits and releases one call.
static void limit(benchmark::State &state)
{
    const auto customers = static_cast<int>(state.range(0));
    LimitShares shares({});
    shares.setRouters({"a"}, {{"a"}, {"b"}});
    Limiter limiter({});
    std::vector<Contract> contracts;
    for (int i = 0; i < customers; ++i) {
        contracts.emplace_back();
        contracts.back().customer = {"customer-" + std::to_string(i)};
        contracts.back().rate = 1e9;
        contracts.back().concurrency = 1e9;
    }
    Instant now(std::chrono::seconds(100));
    std::size_t number = 0;
    for (auto _ : state) {
        now += Duration(10);
        const Contract &contract = contracts[++number % contracts.size()];
        shares.onArrival(now, contract.customer);
        benchmark::DoNotOptimize(limiter.admit(now, contract, shares));
        limiter.release(contract.customer);
    }
}
BENCHMARK(limit)->Arg(10)->Arg(100)->Arg(640);

/// Recomputes the shares of all customers. A router does so every 100 ms, or less often in a large fleet.
static void shareTick(benchmark::State &state)
{
    const auto routers = static_cast<int>(state.range(0));
    constexpr int customers = 32;
    LimitShares shares({});
    std::vector<VmId> routerIds;
    std::vector<CustomerDemand> demand;
    for (int i = 0; i < customers; ++i) {
        demand.push_back({customerHash({"customer-" + std::to_string(i)}), 1.0f, 1});
    }
    Instant now(std::chrono::seconds(100));
    for (int i = 0; i < routers; ++i) {
        routerIds.push_back({"entry-" + std::to_string(i)});
    }
    shares.setRouters({"entry-0"}, routerIds);
    for (const VmId &routerId : routerIds) {
        shares.onPeerDemand(now, routerId, demand);
    }
    for (int i = 0; i < customers; ++i) {
        shares.onArrival(now, {"customer-" + std::to_string(i)});
    }
    for (auto _ : state) {
        now += Duration(1);
        shares.onTick(now);
    }
}
BENCHMARK(shareTick)->Arg(20)->Arg(200)->Arg(1500);

static LoadBeacon makeBeacon(int loads)
{
    LoadBeacon beacon;
    beacon.from = 7;
    for (int i = 0; i < loads; ++i) {
        beacon.loads.push_back({static_cast<std::uint32_t>(i * 7919 + 1), 3, 1, 0});
    }
    return beacon;
}

/// Encodes and decodes a beacon. The argument is the number of loads in it.
static void beaconRoundTrip(benchmark::State &state)
{
    const LoadBeacon beacon = makeBeacon(static_cast<int>(state.range(0)));
    std::string bytes;
    for (auto _ : state) {
        bytes = encodeBeacon(beacon);
        LoadBeacon decoded;
        benchmark::DoNotOptimize(decodeBeacon(bytes, decoded));
    }
    state.counters["datagram_bytes"] = datagramBytes(bytes);
}
BENCHMARK(beaconRoundTrip)->Arg(0)->Arg(5)->Arg(50)->Arg(250);

/// Encodes and decodes a beacon with a start notice only.
static void startNotice(benchmark::State &state)
{
    LoadBeacon beacon;
    beacon.from = 0x12345678;
    beacon.number = 0x12345;
    beacon.isStartNotice = true;
    beacon.start = {0x89abcdef, 170, false};
    std::string bytes;
    for (auto _ : state) {
        bytes = encodeBeacon(beacon);
        LoadBeacon decoded;
        benchmark::DoNotOptimize(decodeBeacon(bytes, decoded));
    }
    state.counters["datagram_bytes"] = datagramBytes(bytes);
}
BENCHMARK(startNotice);

/// Computes the wire size of a message. The argument is the number of customers in it.
static void gossipSize(benchmark::State &state)
{
    GossipMessage message;
    message.from = {"entry-1"};
    for (int i = 0; i < state.range(0); ++i) {
        message.demand.push_back({static_cast<std::uint32_t>(i), 1.0f, 1});
        if (i < 16) {
            message.reports.push_back({static_cast<std::uint32_t>(i), 1, 1, 1, 1});
        }
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(PeerRpc::wireSize(message));
    }
    state.counters["bytes"] = PeerRpc::wireSize(message);
}
BENCHMARK(gossipSize)->Arg(0)->Arg(10)->Arg(32);

/// Writes the two log lines of a served request, including their share of a flush. The argument is the number of
/// requests per flush: a router flushes the lines of the last 200 ms together.
static void logServed(benchmark::State &state)
{
    EventLogSettings settings;
    settings.fd = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    EventLog log(settings);
    std::int64_t requests = 0;
    for (auto run : state) {
        (void)run;
        LogLine sent("sent");
        sent.text("request", "9c41d07be2a35f68").text("replica", "i-b57d3edc19").text("service", "xafi53a");
        sent.number("try", 1).millis("left_ms", std::chrono::milliseconds(11647)).number("load", 7);
        sent.number("slow_pct", 100).number("passed_full", 0).number("passed_avoided", 0);
        sent.flag("new_connection", false).number("version", 17).millis("proof_age_ms", std::chrono::milliseconds(430));
        log.write(sent, LogPriority::Routine);
        LogLine served("served");
        served.text("request", "9c41d07be2a35f68").number("status", 200).text("route", "r-yfdyuw2");
        served.text("service", "xafi53a").text("replica", "i-b57d3edc19").number("sent", 1).number("ran", 1);
        served.number("prompt", 345678).millis("took_ms", std::chrono::milliseconds(1200));
        served.millis("first_ms", std::chrono::milliseconds(41)).millis("gap_ms", std::chrono::milliseconds(60));
        served.number("version", 17).millis("proof_age_ms", std::chrono::milliseconds(430));
        log.write(served, LogPriority::Routine);
        ++requests;
        if (requests % state.range(0) == 0) {
            log.flush();
        }
    }
    ::close(settings.fd);
}
BENCHMARK(logServed)->Arg(1)->Arg(5)->Arg(50);

/// Applies one contract amendment and builds the new table. The argument is the number of customers.
static void foldContract(benchmark::State &state)
{
    ContractStateMachine stateMachine;
    LogOffset offset = 0;
    const int customers = static_cast<int>(state.range(0));
    for (int i = 0; i < customers; ++i) {
        const std::string name = "customer-" + std::to_string(i);
        stateMachine.apply({offset, encodeContractRecord({{name}, 0, name, sampleContract(name, name, 1, 1)})}, 0);
        ++offset;
    }
    std::int64_t version = 1;
    const std::string ini = sampleContract("customer-0", "customer-0", 1, 1);
    for (auto _ : state) {
        stateMachine.apply({offset, encodeContractRecord({{"customer-0"}, version, "n", ini})}, 0);
        ++offset;
        ++version;
        benchmark::DoNotOptimize(stateMachine.table());
    }
    state.counters["snapshot_bytes"] = static_cast<double>(encodeContractSnapshot(stateMachine.state()).size());
}
BENCHMARK(foldContract)->Arg(10)->Arg(100)->Arg(640)->Unit(benchmark::kMicrosecond);

/// Encodes and applies one record of claims. The argument is the number of claims in it.
static void foldClaims(benchmark::State &state)
{
    const int batch = static_cast<int>(state.range(0));
    ClaimTable table;
    LogOffset offset = 0;
    std::uint64_t serial = 0;
    const UnixMillis time(1700000000000);
    std::size_t bytes = 0;
    for (auto _ : state) {
        std::vector<ClaimItem> items;
        for (int i = 0; i < batch; ++i) {
            ClaimItem item;
            item.key = "kedai/ledger/" + makeUuidV7(time, ++serial);
            item.nonce = "entry-1-1234567890-" + std::to_string(serial);
            item.fingerprint = std::string(32, 'f');
            items.push_back(item);
        }
        const std::string value = encodeClaims(items);
        bytes = value.size();
        table.applyRecord({offset++, time, value});
    }
    state.counters["bytes_an_item"] = static_cast<double>(bytes) / batch;
    state.SetItemsProcessed(state.iterations() * batch);
}
BENCHMARK(foldClaims)->Arg(1)->Arg(20)->Arg(200)->Iterations(200);

} // namespace galenafold

BENCHMARK_MAIN();
