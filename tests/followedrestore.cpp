// Tests of a store that comes back from a copy some seconds old, for routers that follow another one in place of it.
#include "tests/datacentrefleet.h"

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(FollowedRestore)
{
    /// @return false if some router does not have it in force before then
    bool isInForceBy(int version, Instant deadline)
    {
        while (clockNow() < deadline) {
            if (fleet.everywhere(
                    [&](int router) { return fleet.metric(router, "desired_state_version") == version; })) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }
    /// @return the entries of all replicas, as they write them again
    std::vector<std::array<std::string, 3>> entries() const
    {
        std::vector<std::array<std::string, 3>> records;
        for (std::size_t i = 0; i < fleet.replicas.size(); ++i) {
            records.push_back({"keyed.servers", "e" + std::to_string(i), fleet.replicas[i]->entry()});
        }
        return records;
    }
    void writeHeartbeats(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            for (const auto &[topic, key, value] : entries()) {
                fleet.store.put(topic, key, value);
            }
        }
    }

    DataCentreFleet fleet;
};

/// Followers were told the records from before the restore as those of the restored store, read on from their end, and
/// never saw the state that took a key away.
TEST(FollowedRestore, AKeyThatIsTakenAwayAfterARestoreIsRefusedByFollowersInTime)
{
    fleet.startAndWaitUntilFollowing();
    fleet.store.backUp();
    fleet.store.put("keyed.op", "config", fleet.state(2, "k1"));
    fleet.store.put("keyed.op", "config", fleet.state(3, "k1"));
    CHECK(isInForceBy(3, clockNow() + eventTimeout));
    fleet.store.restore({{"keyed.op", "config", fleet.state(3, "k1")}});
    std::this_thread::sleep_for(milliseconds(100));              // the operator's next change
    fleet.store.put("keyed.op", "config", fleet.state(4, "k2")); // the topic ends where it did before the restore
    CHECK(isInForceBy(4, clockNow() + seconds(5)));              // the delay for keys
    CHECK(fleet.everywhere([this](int router) { return fleet.call(router, "f1:512,a1:900,1:10") == 401; }));
}

/// Followers took over entries at offsets from before the restore, and ignored removals below them.
TEST(FollowedRestore, AReplicaThatIsRemovedAfterARestoreIsDroppedByFollowersInTime)
{
    fleet.startAndWaitUntilFollowing();
    fleet.store.backUp();
    writeHeartbeats(8); // their offsets will not be reached again for long
    std::this_thread::sleep_for(seconds(2));
    fleet.store.restore(entries());
    std::this_thread::sleep_for(seconds(4)); // beyond the time for those that lapsed
    fleet.store.put("keyed.servers", "e0", "");
    const Instant deadline = clockNow() + seconds(4); // the drain delay
    const auto isDropped = [this] {
        return fleet.everywhere([this](int router) { return fleet.metric(router, "replicas_usable") == 3; });
    };
    while (!isDropped() && clockNow() < deadline) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(isDropped());
}
