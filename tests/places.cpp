// Places of engines, their positions for rendezvous hashing, while engines leave and return under the same name.
#include "control/loadview.h"
#include "filters/placetable.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

// clang-format takes a group that begins with a function for an initializer list.
// clang-format off
TEST_GROUP(EnginePlaces)
{
    static Instant at(double seconds)
    {
        return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds + 1000)));
    }
    /// @return the entries of engines of one service
    static std::vector<ReplicaRecord> engines(const std::vector<std::string> &ids)
    {
        std::vector<ReplicaRecord> records;
        for (const std::string &id : ids) {
            ReplicaRecord record;
            record.id.text = id;
            record.service.text = "llm";
            records.push_back(record);
        }
        return records;
    }
    PlaceTable places;
};
// clang-format on

/// An engine that returned after another one had taken its place, and got a place as the engines were busy, got the
/// same one: both had one place, so one of them was no prompt's home, and the leader wrote that place to the store each
/// second.
TEST(EnginePlaces, AnEngineThatReturnsDoesNotShareThePlaceOfItsSuccessor)
{
    places.update(at(0), engines({"a", "b"}));
    places.update(at(10), engines({"a", "b", "c"})); // waits
    places.update(at(11), engines({"a", "c"}));      // takes the place of b
    CHECK(places.place({"c"}) == std::optional<std::uint64_t>(hashName("b")));
    places.update(at(12), engines({"a", "b", "c"}));
    CHECK(!places.place({"b"}));
    PlaceDemand demand;
    demand.meanLoad = 10;
    demand.slots = 10;
    places.assignPlaces({"llm"}, demand);
    CHECK(places.place({"b"}).has_value());
    CHECK(places.place({"b"}) != places.place({"c"}));
    std::vector<PlaceRecord> agreed = places.differences({});
    LONGS_EQUAL(3, agreed.size());
    LONGS_EQUAL(0, places.differences(agreed).size()); // nothing is left to write
}
