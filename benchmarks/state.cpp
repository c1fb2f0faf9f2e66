// Memory of one router's control state, and the time that updates of it take, at increasing fleet sizes.
// docs/CAPACITY.md derives its cost slopes from the results.
#include "control/claims.h"
#include "control/contracts.h"
#include "control/router.h"
#include "fakes/fleet.h"

#include <cstdio>
#include <fstream>

namespace galenafold
{

static double residentKilobytes()
{
    std::ifstream in("/proc/self/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.compare(0, 6, "VmRSS:") == 0) {
            return std::atof(line.c_str() + 6);
        }
    }
    return 0;
}

static std::vector<VmRecord> makeVmList(int entries, int endpoints)
{
    std::vector<VmRecord> list;
    for (int i = 0; i < entries + endpoints; ++i) {
        VmRecord record;
        const bool isEntry = i < entries;
        record.id = {(isEntry ? "entry-" : "engine-") + std::to_string(i)};
        record.kind = isEntry ? VmKind::Entry : VmKind::Engine;
        record.incarnation = Incarnation(1);
        record.address = "10.0.0.1";
        record.port = 8000;
        record.dataCentre = {"dc-1"};
        record.pools = isEntry ? std::vector<PoolId>{} : std::vector<PoolId>{{"model-" + std::to_string(i % 10)}};
        list.push_back(record);
    }
    return list;
}

/// @return mean duration of `operation` over `runs` calls of it, in microseconds
template<typename Operation>
static double meanMicros(int runs, Operation operation)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < runs; ++i) {
        operation(i);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / runs;
}

static GossipMessage makeGossip(int peer)
{
    GossipMessage message;
    message.from = {"entry-" + std::to_string(peer)};
    for (std::uint32_t i = 0; i < 32; ++i) {
        message.demand.push_back({i, 1, 1});
    }
    return message;
}

/// @param entries routers @param endpoints engines that the routers know
static void measureRouter(int entries, int endpoints)
{
    const double before = residentKilobytes();
    Settings settings;
    settings.name = {"entry-0"};
    Router router(settings);
    const std::vector<VmRecord> list = makeVmList(entries, endpoints);
    const Instant now(std::chrono::seconds(100));
    const double firstListMicros = meanMicros(1, [&](int) { router.onVmList(now, list); });
    const double unchangedListMicros = meanMicros(5, [&](int) { router.onVmList(now, list); });
    for (int i = 1; i < entries; ++i) {
        router.onGossip(now, makeGossip(i));
    }
    const double composeMicros = meanMicros(100, [&](int) { router.gossip(now); });
    const double receiveMicros =
        meanMicros(100, [&](int i) { router.onGossip(now, makeGossip(1 + i % (entries - 1))); });
    const double tickMicros = meanMicros(1000, [&](int i) {
        Actions actions;
        router.onTick(now + std::chrono::milliseconds(10 * i), actions);
    });
    std::printf("%5d entries %6d endpoints: %7.0f KB, first list %8.0f us, unchanged list %7.0f us, tick %6.1f us, "
                "compose gossip %6.1f us, receive gossip %5.1f us\n",
                entries, endpoints, residentKilobytes() - before, firstListMicros, unchangedListMicros, tickMicros,
                composeMicros, receiveMicros);
}

static void measureChats(int chats)
{
    const double before = residentKilobytes();
    RecentChats recent(chats);
    for (int i = 0; i < chats; ++i) {
        recent.put(hashName(std::to_string(i)), EndpointIndex{});
    }
    std::printf("%6d recent chats: %.0f KB\n", chats, residentKilobytes() - before);
}

static void measureContracts(int customers)
{
    const double before = residentKilobytes();
    ContractStateMachine stateMachine;
    for (int i = 0; i < customers; ++i) {
        const std::string name = "customer-" + std::to_string(i);
        stateMachine.apply({i, encodeContractRecord({{name}, 0, name, sampleContract(name, name, 1, 1)})}, 0);
    }
    const auto table = stateMachine.table();
    std::printf("%6d contracts: %.0f KB with one table\n", customers, residentKilobytes() - before);
}

static void measureClaims(int keys)
{
    const double before = residentKilobytes();
    ClaimTable table;
    const UnixMillis time(1700000000000);
    for (int i = 0; i < keys; ++i) {
        ClaimItem claim;
        claim.key = "kedai/ledger/" + makeUuidV7(time, static_cast<std::uint64_t>(i));
        claim.nonce = "entry-1-1234567890-" + std::to_string(i);
        claim.fingerprint = std::string(32, 'f');
        ClaimItem outcome = claim;
        outcome.kind = ClaimKind::Outcome;
        outcome.outcome = {200, "application/json", std::string(60, 'o'), true};
        table.applyRecord({i, time, encodeClaims({claim, outcome})});
    }
    std::printf("%6d keys with outcomes: %.0f KB\n", keys, residentKilobytes() - before);
}

} // namespace galenafold

int main()
{
    galenafold::measureChats(1024);
    galenafold::measureChats(65536);
    galenafold::measureClaims(1000);
    galenafold::measureClaims(10000);
    galenafold::measureClaims(100000);
    galenafold::measureContracts(10);
    galenafold::measureContracts(100);
    galenafold::measureContracts(640);
    galenafold::measureRouter(20, 20);
    galenafold::measureRouter(200, 1000);
    galenafold::measureRouter(1500, 10000);
    return 0;
}
