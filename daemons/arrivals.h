// When and what the load tool sends, drawn from a seed, and the yardstick for prompt reuse.
//
// Sections of this file: Arrivals, Ideal cache.
#pragma once

#include "control/loadview.h"
#include "daemons/loadplan.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace galenafold
{

// Arrivals

/// One call to come.
struct Arrival {
    double at = 0; // seconds from the start
    std::size_t classIndex = 0;
    std::size_t customer = 0;
    int chat = -1;
    Tokens prompt = 0;
    double router = 0; // 0 to 1, picks the router
};

class ArrivalMaker
{
public:
    explicit ArrivalMaker(const LoadPlan &plan)
        : m_plan(plan)
        , m_random(static_cast<std::uint64_t>(plan.seed))
    {
        for (const LoadCustomer &customer : plan.customers) {
            m_zipf.push_back(zipfTable(customer));
        }
    }

    std::vector<Arrival> make()
    {
        std::vector<Arrival> arrivals;
        for (std::size_t i = 0; i < m_plan.classes.size(); ++i) {
            addClass(i, arrivals);
        }
        const auto isEarlier = [](const Arrival &a, const Arrival &b) { return a.at < b.at; };
        std::sort(arrivals.begin(), arrivals.end(), isEarlier);
        return arrivals;
    }

private:
    double uniform() { return boost::random::uniform_01<double>()(m_random); }

    static std::vector<double> zipfTable(const LoadCustomer &customer)
    {
        std::vector<double> table;
        double sum = 0;
        for (int i = 1; i <= customer.chats; ++i) {
            sum += 1 / std::pow(i, customer.zipf);
            table.push_back(sum);
        }
        return table;
    }

    int drawChat(std::size_t customer)
    {
        const std::vector<double> &table = m_zipf[customer];
        const double draw = uniform() * table.back();
        return static_cast<int>(std::lower_bound(table.begin(), table.end(), draw) - table.begin());
    }

    double rateAt(const LoadClass &entry, double at) const
    {
        const double begin = std::chrono::duration<double>(entry.surgeAt).count();
        const double lasts = std::chrono::duration<double>(entry.surgeFor).count();
        const bool isSurge = at >= begin && at < begin + lasts;
        return entry.rate * (isSurge ? entry.surgeFactor : 1);
    }

    std::size_t drawCustomer(const LoadClass &entry)
    {
        for (std::size_t i = 0; i < m_plan.customers.size(); ++i) {
            if (m_plan.customers[i].name == entry.customer) {
                return i;
            }
        }
        return static_cast<std::size_t>(uniform() * static_cast<double>(m_plan.customers.size()));
    }

    void addClass(std::size_t index, std::vector<Arrival> &arrivals)
    {
        const LoadClass &entry = m_plan.classes[index];
        const double most = entry.rate * std::max(1.0, entry.surgeFactor);
        if (most <= 0) {
            return;
        }
        double at = 0;
        while (true) {
            at += boost::random::exponential_distribution<double>(most)(m_random);
            if (at >= m_plan.seconds) {
                return;
            }
            if (uniform() * most > rateAt(entry, at)) {
                continue; // thinned outside the surge
            }
            Arrival arrival;
            arrival.at = at;
            arrival.classIndex = index;
            arrival.customer = drawCustomer(entry);
            arrival.chat = entry.isChat ? drawChat(arrival.customer) : -1;
            arrival.router = uniform();
            const double spread = entry.isChat ? chatSpread(arrival) : uniform();
            arrival.prompt = entry.promptTokens * (1 + entry.promptSpread * spread);
            arrivals.push_back(arrival);
        }
    }

    /// A chat's own size, the same for all its calls.
    static double chatSpread(const Arrival &arrival)
    {
        const std::string name = std::to_string(arrival.customer) + '/' + std::to_string(arrival.chat);
        return static_cast<double>(hashName(name) % 1000) / 1000;
    }

    const LoadPlan &m_plan;
    boost::random::mt19937_64 m_random;
    std::vector<std::vector<double>> m_zipf;
};

// Ideal cache

/// What a placement that knows every cache reuses: each chat stays on the engine with most room until that engine goes;
/// engines forget the least recently used. The yardstick for reuse.
class IdealCache
{
public:
    IdealCache(int engines, Tokens capacity)
        : m_engines(static_cast<std::size_t>(std::max(1, engines)))
        , m_capacity(capacity)
    {
    }

    Tokens serve(const std::string &chat, Tokens prompt, Tokens output)
    {
        auto place = m_places.find(chat);
        Tokens reused = 0;
        if (place == m_places.end()) {
            place = m_places.emplace(chat, emptiest()).first;
        }
        Engine &engine = m_engines[place->second];
        Tokens &held = engine.chats[chat].tokens;
        reused = std::min(prompt, held);
        const Tokens grown = std::max(held, prompt + output);
        engine.used += grown - held;
        held = grown;
        engine.chats[chat].used = ++m_clock;
        shrink(engine);
        return reused;
    }

    void lose(std::size_t index)
    {
        for (auto it = m_places.begin(); it != m_places.end();) {
            it = it->second == index ? m_places.erase(it) : std::next(it);
        }
        m_engines[index] = {};
    }

private:
    struct Chat {
        Tokens tokens = 0;
        std::int64_t used = 0;
    };
    struct Engine {
        std::map<std::string, Chat> chats;
        Tokens used = 0;
    };

    std::size_t emptiest() const
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < m_engines.size(); ++i) {
            best = m_engines[i].used < m_engines[best].used ? i : best;
        }
        return best;
    }

    void shrink(Engine &engine)
    {
        while (engine.used > m_capacity && engine.chats.size() > 1) {
            auto oldest = engine.chats.begin();
            for (auto it = engine.chats.begin(); it != engine.chats.end(); ++it) {
                oldest = it->second.used < oldest->second.used ? it : oldest;
            }
            engine.used -= oldest->second.tokens;
            m_places.erase(oldest->first);
            engine.chats.erase(oldest);
        }
    }

    std::vector<Engine> m_engines;
    Tokens m_capacity;
    std::map<std::string, std::size_t> m_places;
    std::int64_t m_clock = 0;
};

} // namespace galenafold
