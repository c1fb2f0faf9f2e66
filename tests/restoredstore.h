// Model of one topic of a store that is restored from copies, in a clock of its own. Keeps what the topic held in each
// era and when it was written, so that what routers know and tell can be checked against it.
#pragma once

#include "control/topicposition.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace galenafold
{

/// Runs functions at their times, those of one time in the order in which they were asked for.
class ModelTime
{
public:
    Instant now() const { return m_now; }
    void at(Instant when, std::function<void()> function) { m_due.emplace(std::max(when, m_now), std::move(function)); }
    void after(Duration delay, std::function<void()> function) { at(m_now + delay, std::move(function)); }
    void runUntil(Instant end)
    {
        while (!m_due.empty() && m_due.begin()->first <= end) {
            const auto next = m_due.begin();
            m_now = next->first;
            const auto function = std::move(next->second);
            m_due.erase(next);
            function();
        }
        m_now = end;
    }

private:
    Instant m_now{std::chrono::seconds(1000)};
    std::multimap<Instant, std::function<void()>> m_due;
};

struct ModelRecord {
    std::string key;
    std::string value; // empty: a tombstone
    Instant writtenAt{};
};

/// The store from one restore to the next.
struct ModelLife {
    Instant begin{};
    Instant end = Instant::max();
    std::vector<ModelRecord> log;

    /// @return end of the topic at that time
    LogOffset endAt(Instant when) const
    {
        return std::count_if(log.begin(), log.end(), [when](const auto &record) { return record.writtenAt <= when; });
    }
    /// @return true if there is a record of that key from an offset on: a listing may name it already
    bool isWrittenFrom(LogOffset from, const std::string &key) const
    {
        return std::any_of(log.begin() + std::min<LogOffset>(from, static_cast<LogOffset>(log.size())), log.end(),
                           [&key](const auto &record) { return record.key == key && !record.value.empty(); });
    }
    /// @return the newest record of each key before an offset
    std::map<std::string, std::string> newest(LogOffset end) const
    {
        std::map<std::string, std::string> records;
        for (LogOffset i = 0; i < std::min<LogOffset>(end, static_cast<LogOffset>(log.size())); ++i) {
            records[log[static_cast<std::size_t>(i)].key] = log[static_cast<std::size_t>(i)].value;
        }
        return records;
    }
};

/// One topic of the store.
struct ModelStore {
    explicit ModelStore(ModelTime &theTime)
        : time(theTime)
    {
        lives[era].begin = time.now();
    }
    void put(const std::string &key, const std::string &value) { life().log.push_back({key, value, time.now()}); }
    void backUp() { copy = life().log; }
    void restore(int eras)
    {
        life().end = time.now();
        era += eras;
        lives[era].begin = time.now();
        lives[era].log = copy;
    }
    ModelLife &life() { return lives[era]; }

    ModelTime &time;
    StoreEra era = 1;
    std::map<StoreEra, ModelLife> lives;
    std::vector<ModelRecord> copy;
    bool isAway = false;
};

} // namespace galenafold
