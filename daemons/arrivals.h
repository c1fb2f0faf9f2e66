// Generates the calls of a load run from a seed, and simulates prompt reuse with ideal placement for comparison.
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

/// One call that the load tool will send.
struct Arrival {
    double at = 0;              // s, from the start of the run
    std::size_t classIndex = 0; // index in LoadPlan::classes
    std::size_t customer = 0;   // index in LoadPlan::customers
    int chat = -1;              // -1: not part of a chat
    Tokens prompt = 0;          // length of the prompt
    double routerDraw = 0;      // uniform in [0, 1), selects the router
};

/// Generates Poisson arrivals for every class of a plan. The same plan and seed give the same arrivals.
class ArrivalGenerator
{
public:
    explicit ArrivalGenerator(const LoadPlan &plan)
        : m_plan(plan)
        , m_random(static_cast<std::uint64_t>(plan.seed))
    {
        for (const LoadCustomer &customer : plan.customers) {
            m_zipfWeights.push_back(cumulativeZipfWeights(customer));
        }
    }

    /// @return the arrivals of all classes, ordered by time
    std::vector<Arrival> generate()
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

    /// @return the running sum of the Zipf weights of a customer's chats
    static std::vector<double> cumulativeZipfWeights(const LoadCustomer &customer)
    {
        std::vector<double> weights;
        double sum = 0;
        for (int i = 1; i <= customer.chats; ++i) {
            sum += 1 / std::pow(i, customer.zipfExponent);
            weights.push_back(sum);
        }
        return weights;
    }

    int drawChat(std::size_t customer)
    {
        const std::vector<double> &weights = m_zipfWeights[customer];
        const double draw = uniform() * weights.back();
        return static_cast<int>(std::lower_bound(weights.begin(), weights.end(), draw) - weights.begin());
    }

    double rateAt(const LoadClass &loadClass, double at) const
    {
        const double begin = std::chrono::duration<double>(loadClass.surgeStart).count();
        const double length = std::chrono::duration<double>(loadClass.surgeDuration).count();
        const bool isInSurge = at >= begin && at < begin + length;
        return loadClass.rate * (isInSurge ? loadClass.surgeFactor : 1);
    }

    std::size_t drawCustomer(const LoadClass &loadClass)
    {
        for (std::size_t i = 0; i < m_plan.customers.size(); ++i) {
            if (m_plan.customers[i].name == loadClass.customer) {
                return i;
            }
        }
        return static_cast<std::size_t>(uniform() * static_cast<double>(m_plan.customers.size()));
    }

    /// Draws arrivals at the class's highest rate and thins them down to the rate at each moment.
    void addClass(std::size_t index, std::vector<Arrival> &arrivals)
    {
        const LoadClass &loadClass = m_plan.classes[index];
        const double maxRate = loadClass.rate * std::max(1.0, loadClass.surgeFactor);
        if (maxRate <= 0) {
            return;
        }
        double at = 0;
        while (true) {
            at += boost::random::exponential_distribution<double>(maxRate)(m_random);
            if (at >= m_plan.seconds) {
                return;
            }
            if (uniform() * maxRate > rateAt(loadClass, at)) {
                continue; // thinning: the rate at this time is below the highest one
            }
            Arrival arrival;
            arrival.at = at;
            arrival.classIndex = index;
            arrival.customer = drawCustomer(loadClass);
            arrival.chat = loadClass.isChat ? drawChat(arrival.customer) : -1;
            arrival.routerDraw = uniform();
            const double variation = loadClass.isChat ? chatVariation(arrival) : uniform();
            arrival.prompt = loadClass.promptTokens * (1 + loadClass.promptSpread * variation);
            arrivals.push_back(arrival);
        }
    }

    /// @return where the chat's prompt size lies within the class's spread, in [0, 1); the same for all its calls
    static double chatVariation(const Arrival &arrival)
    {
        const std::string name = std::to_string(arrival.customer) + '/' + std::to_string(arrival.chat);
        return static_cast<double>(hashName(name) % 1000) / 1000;
    }

    const LoadPlan &m_plan;
    boost::random::mt19937_64 m_random;
    std::vector<std::vector<double>> m_zipfWeights;
};

// Ideal cache

/// Simulates the prompt reuse of a placement that knows the content of every prefix cache. Each chat is assigned to the
/// engine that holds the fewest tokens and stays there until that engine is removed; engines evict the least recently
/// used chats. Observed reuse is reported relative to this reference.
class IdealPrefixCache
{
public:
    /// @param capacity tokens that each engine can cache
    IdealPrefixCache(int engines, Tokens capacity)
        : m_engines(static_cast<std::size_t>(std::max(1, engines)))
        , m_capacity(capacity)
    {
    }

    /// Records one call of a chat. @return prompt tokens that the cache would have reused
    Tokens recordCall(const std::string &chat, Tokens prompt, Tokens output)
    {
        auto assignment = m_engineOfChat.find(chat);
        Tokens reused = 0;
        if (assignment == m_engineOfChat.end()) {
            assignment = m_engineOfChat.emplace(chat, leastFilledEngine()).first;
        }
        Engine &engine = m_engines[assignment->second];
        Tokens &cached = engine.chats[chat].tokens;
        reused = std::min(prompt, cached);
        const Tokens newSize = std::max(cached, prompt + output);
        engine.usedTokens += newSize - cached;
        cached = newSize;
        engine.chats[chat].lastUse = ++m_useCounter;
        evict(engine);
        return reused;
    }

    /// Empties an engine's cache and removes the assignments of its chats, as when the engine is replaced.
    void removeEngine(std::size_t index)
    {
        for (auto it = m_engineOfChat.begin(); it != m_engineOfChat.end();) {
            it = it->second == index ? m_engineOfChat.erase(it) : std::next(it);
        }
        m_engines[index] = {};
    }

private:
    struct Chat {
        Tokens tokens = 0;
        std::int64_t lastUse = 0; // value of m_useCounter
    };
    struct Engine {
        std::map<std::string, Chat> chats;
        Tokens usedTokens = 0;
    };

    /// @return the engine that holds the fewest tokens
    std::size_t leastFilledEngine() const
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < m_engines.size(); ++i) {
            best = m_engines[i].usedTokens < m_engines[best].usedTokens ? i : best;
        }
        return best;
    }

    /// Evicts the least recently used chats down to the capacity; the last chat stays even if it is larger.
    void evict(Engine &engine)
    {
        while (engine.usedTokens > m_capacity && engine.chats.size() > 1) {
            auto oldest = engine.chats.begin();
            for (auto it = engine.chats.begin(); it != engine.chats.end(); ++it) {
                oldest = it->second.lastUse < oldest->second.lastUse ? it : oldest;
            }
            engine.usedTokens -= oldest->second.tokens;
            m_engineOfChat.erase(oldest->first);
            engine.chats.erase(oldest);
        }
    }

    std::vector<Engine> m_engines;
    Tokens m_capacity;
    std::map<std::string, std::size_t> m_engineOfChat;
    std::int64_t m_useCounter = 0;
};

} // namespace galenafold
