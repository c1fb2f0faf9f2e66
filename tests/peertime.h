// Time for load exchanges that share one event loop: it passes only when the test says so, and what was sent is
// received before it goes on. So nothing depends on how much of the machine the test gets.
#pragma once

#include "traffic/peerloadexchange.h"

#include <algorithm>
#include <vector>

namespace galenafold
{

class PeerTime
{
public:
    explicit PeerTime(asio::io_context &io)
        : m_io(io)
    {
    }
    Instant now() const { return m_now; }

    /// @return the time of one exchange
    PeerExchangeTime forExchange()
    {
        const std::size_t index = m_wakes.size();
        m_wakes.push_back({Instant::max(), nullptr});
        PeerExchangeTime time;
        time.now = [this] { return m_now; };
        time.wakeAt = [this, index](Instant when, std::function<void()> wake) {
            m_wakes[index] = {when, std::move(wake)};
        };
        return time;
    }

    /// Runs all that is due until a time, one after the other.
    void runUntil(Instant end)
    {
        receive();
        for (Wake *next = earliest(); next && next->at <= end; next = earliest()) {
            m_now = std::max(m_now, next->at);
            const auto wake = std::move(next->function);
            next->at = Instant::max();
            wake();
            receive();
        }
        m_now = end;
    }

private:
    struct Wake {
        Instant at;
        std::function<void()> function;
    };

    Wake *earliest()
    {
        const auto found = std::min_element(m_wakes.begin(), m_wakes.end(),
                                            [](const Wake &left, const Wake &right) { return left.at < right.at; });
        return found == m_wakes.end() ? nullptr : &*found;
    }

    void receive()
    {
        while (m_io.poll() > 0) { }
    }

    asio::io_context &m_io;
    Instant m_now = clockNow();
    std::vector<Wake> m_wakes;
};

} // namespace galenafold
