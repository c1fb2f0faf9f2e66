// Tests that all routers know what a store holds that was restored from copies, in any order of drills, reads and words
// between routers: seeded schedules in a clock of their own.
#include "control/storetopics.h"
#include "tests/restoremodel.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>

using namespace galenafold;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto troubledTime = seconds(20); // in which drills and other disturbances come
constexpr auto listingTime = seconds(7);   // after it, in which all list the topic anew; it has many pages here
constexpr auto knownTime = seconds(5);     // after that, in which all must know what is written: the delay for keys
constexpr auto lapseTime = seconds(3);     // after which the store removes the entry of a replica that is silent

/// The operator and the replicas, who write again what the store has lost, and the store's drills.
class RestoreSchedule
{
public:
    RestoreSchedule(std::uint64_t seed, const TopicSettings &reading, const TopicCacheSettings &told)
        : fleet(seed, reading, told, 5)
        , m_padding(fleet.draw(3) == 0 ? 2000 : 0, 'x') // answers large enough to be packed
    {
        for (int i = 0; i < 6; ++i) {
            join();
        }
        writeOperators();
    }
    /// @return what failed; "" if nothing did
    std::string run()
    {
        const Instant begin = fleet.time.now();
        const int drills = 1 + fleet.draw(3);
        for (int i = 0; i < drills; ++i) {
            fleet.time.after(fleet.drawMillis(17000), [this] { fleet.store.backUp(); });
            fleet.time.after(seconds(2) + fleet.drawMillis(17000), [this] { drill(); });
        }
        tick(begin + troubledTime);
        fleet.time.runUntil(begin + troubledTime);
        fleet.setTurnedAway(false);
        fleet.time.after(listingTime, [this] { endEvacuationsAgain(); });
        fleet.time.runUntil(begin + troubledTime + listingTime + knownTime);
        return fleet.failure.empty() ? difference() : fleet.failure;
    }

    ModelFleet fleet;

private:
    struct Replica {
        int heartbeats = 0;
        bool isAlive = true;
    };

    void join()
    {
        const std::string id = "e" + std::to_string(m_replicas.size());
        m_replicas[id] = {};
        beat(id);
    }
    void beat(const std::string &id)
    {
        Replica &replica = m_replicas[id];
        if (!replica.isAlive) {
            return;
        }
        if (!fleet.store.isAway) {
            fleet.store.put(
                id,
                "{\"service\":\"svc\",\"address\":\"127.0.0.1:80\",\"state\":\"ready\",\"slots\":4,\"seqNo\":"
                    + std::to_string(++replica.heartbeats) + ",\"born\":1,\"note\":\"" + m_padding + "\"}");
        }
        fleet.time.after(milliseconds(300) + fleet.drawMillis(500), [this, id] { beat(id); });
    }
    void leave()
    {
        const std::string id = "e" + std::to_string(fleet.draw(static_cast<int>(m_replicas.size()) - 1));
        m_replicas[id].isAlive = false;
        lapse(id);
    }
    /// The entry of a replica that is gone is removed, also if the store has lost the removal or is away.
    void lapse(const std::string &id)
    {
        if (fleet.store.isAway) {
            fleet.time.after(milliseconds(100), [this, id] { lapse(id); });
            return;
        }
        if (!m_replicas[id].isAlive && !stored(id).empty()) {
            fleet.store.put(id, "");
        }
    }
    std::string stored(const std::string &key)
    {
        const auto newest = fleet.store.life().newest(static_cast<LogOffset>(fleet.store.life().log.size()));
        const auto found = newest.find(key);
        return found == newest.end() ? "" : found->second;
    }
    void writeOperators()
    {
        if (fleet.store.isAway) {
            return;
        }
        if (stored("config") != std::to_string(m_version)) {
            fleet.store.put("config", std::to_string(m_version));
        }
        for (const auto &[zone, isEvacuated] : m_evacuated) {
            const std::string key = "evacuate/" + zone;
            if (stored(key).empty() == isEvacuated) {
                fleet.store.put(key, isEvacuated ? "{}" : "");
            }
        }
    }
    /// No listing tells of an evacuation whose beginning and end the store has lost: the operator writes both again.
    void endEvacuationsAgain()
    {
        for (const auto &[zone, isEvacuated] : m_evacuated) {
            if (!isEvacuated) {
                fleet.store.put("evacuate/" + zone, "{}");
                fleet.store.put("evacuate/" + zone, "");
            }
        }
    }
    void tick(Instant end)
    {
        if (fleet.time.now() >= end) {
            return;
        }
        const int event = fleet.draw(60);
        if (event < 2 && !fleet.store.isAway) {
            ++m_version;
            writeOperators();
        } else if (event < 4 && !fleet.store.isAway) {
            bool &isEvacuated = m_evacuated[event == 2 ? "north" : "south"];
            isEvacuated = !isEvacuated;
            writeOperators();
        } else if (event == 5) {
            leave();
        } else if (event == 6) {
            join();
        } else if (event < 9) {
            fleet.setTurnedAway(event == 7);
        } else if (event == 9) {
            fleet.changeReader();
        }
        fleet.time.after(milliseconds(100), [this, end] { tick(end); });
    }
    void drill()
    {
        if (fleet.store.isAway) {
            return;
        }
        fleet.store.isAway = fleet.draw(2) > 0; // else calls are answered at once, as if they had waited
        const Duration away = fleet.store.isAway ? fleet.drawMillis(1500) : Duration{};
        fleet.time.after(away, [this] {
            fleet.store.restore(1 + fleet.draw(2));
            fleet.store.isAway = false;
            fleet.time.after(fleet.drawMillis(1500), [this] { writeOperators(); });
            for (const auto &[id, replica] : m_replicas) {
                fleet.time.after(lapseTime, [this, id = id] { lapse(id); });
            }
        });
    }
    /// @return how what a router knows differs from what was written
    std::string difference()
    {
        std::set<std::string> alive;
        for (const auto &[id, replica] : m_replicas) {
            if (replica.isAlive) {
                alive.insert(id);
            }
        }
        std::set<std::string> evacuated;
        for (const auto &[zone, isEvacuated] : m_evacuated) {
            if (isEvacuated) {
                evacuated.insert(zone);
            }
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const ModelView &view = fleet.view(i);
            const std::string router = " at router " + std::to_string(i);
            if (view.version != m_version) {
                return "version " + std::to_string(view.version) + " of " + std::to_string(m_version) + router;
            }
            if (view.usable() != alive) {
                return "other replicas" + router;
            }
            if (view.evacuated() != evacuated) {
                return "other evacuations" + router;
            }
        }
        return "";
    }

    std::string m_padding;
    int m_version = 1;
    std::map<std::string, bool> m_evacuated;
    std::map<std::string, Replica> m_replicas;
};

TEST_GROUP(RestoreSchedules)
{
    static RouterSettings settings()
    {
        RouterSettings settings;
        settings.maxRevocationDelay = seconds(5);
        settings.maxDrainDelay = seconds(2);
        return settings;
    }
    /// Plays schedules one after the other; each has its own seed, which a failure names.
    static void run(const TopicSettings &reading, const TopicCacheSettings &told)
    {
        const char *wanted = std::getenv("GALENAFOLD_TRIALS");
        const std::uint64_t schedules = wanted ? std::strtoull(wanted, nullptr, 10) : usualSchedules;
        int listings = 0;
        int packed = 0;
        int caughtUp = 0;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            RestoreSchedule schedule(seed, reading, told);
            const std::string failure = schedule.run();
            CHECK_TEXT(failure.empty(), ("seed " + std::to_string(seed) + ": " + failure).c_str());
            listings += schedule.fleet.listings;
            packed += schedule.fleet.packed;
            caughtUp += schedule.fleet.caughtUp;
        }
        CHECK(listings > static_cast<int>(schedules)); // routers were told all records by others, after a drill or two
        CHECK(packed > 0);
        CHECK(caughtUp > 100 * static_cast<int>(schedules));
    }
    static constexpr std::uint64_t usualSchedules = 400; // of each topic
};

TEST(RestoreSchedules, OfTheDesiredState)
{
    TopicCacheSettings told;
    told.keepsVersions = true;
    run(desiredStateTopic(settings()), told);
}

TEST(RestoreSchedules, OfTheRegistry)
{
    TopicCacheSettings told;
    told.isSameMeaning = isOnlyHeartbeat;
    run(registryTopic(settings()), told);
}

/// Like places: polled rarely, and routers answer without a wait.
TEST(RestoreSchedules, OfATopicThatIsReadRarely)
{
    TopicSettings reading;
    reading.pollInterval = seconds(1);
    run(reading, {});
}
