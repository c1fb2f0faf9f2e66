// Limits the memory that responses of all requests hold until they can be passed on, and decides which of them is given
// up when it is exceeded.
//
// Load pattern: one faulty replica, or many, answer with bytes that never become a response. Each answer stays below
// the limit on a single one, but hundreds at a time would use up the VM's memory and end the requests of everybody. The
// response that holds most is given up, so the sound ones beside it, which are small, go on.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace galenafold
{

/// Memory of all responses of one router. Not thread-safe.
class ResponseMemory
{
public:
    /// What one request holds of its response.
    class Share
    {
    public:
        explicit Share(std::shared_ptr<ResponseMemory> memory);
        ~Share() { resize(0); }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Tells how much the request holds now. While all shares together exceed the limit, the largest ones are given
        /// up, which may include this one.
        void resize(std::size_t bytes);

        std::size_t bytes() const { return m_bytes; }

        /// The response is given up: its bytes must be freed, and no longer count. Called within `resize` of any share.
        std::function<void()> onGivenUp = [] {};

    private:
        friend class ResponseMemory;

        std::shared_ptr<ResponseMemory> m_memory;
        std::size_t m_bytes = 0;
    };

    explicit ResponseMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    std::size_t bytes() const { return m_bytes; }         ///< @return held by all shares
    std::size_t peakBytes() const { return m_peakBytes; } ///< @return highest value of `bytes` so far

private:
    void giveUpLargest();

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::size_t m_peakBytes = 0;
    std::set<Share *> m_shares; // those that hold bytes
};

} // namespace galenafold
