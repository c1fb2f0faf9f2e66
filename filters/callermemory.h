// One account of the memory that callers make a router hold, and the decision which of them loses it when it runs out.
//
// Load pattern: callers that nobody controls send bodies of legal size and stop short of their end, heads of thousands
// of fields, requests ahead of the answers, or read nothing; replicas answer with bytes that never become a response.
// Each stays below the limits on a single one, but hundreds at a time use up the VM's memory and end the requests of
// everybody. Here each connection and each response that waits has a share of one budget. A large request asks for its
// share before its body is read, and is refused if it finds no room. When the budget is used up, the share that holds
// most and has not moved lately is taken away first, so ordinary callers beside it, which hold little, go on.
//
// Progress is counted in rounds, not in time: a VM that was suspended takes nobody for a caller that has stopped.
//
// Sections of this file: Settings, Share, Account.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace galenafold
{

// Settings

struct CallerMemorySettings {
    std::size_t maxBytes = 256U << 20U;         // that all shares together may hold
    std::size_t maxResponseBytes = 128U << 20U; // of these, responses of replicas that cannot be passed on yet
    double largePart = 0.75;                    // of `maxBytes`: limit for requests that are not small
    std::size_t smallBytes = 65536;             // a share that holds no more is small: a head or two of the usual size
    int patientRounds = 2;                      // rounds without progress, until a share counts as stalled
};

/// What a share's bytes are, and so who has to act next: the caller or this process.
enum class MemoryUse : std::uint8_t {
    AwaitsCaller, // part of a request, or a response that the caller has not taken
    InProgress,   // a complete request; never taken away
    Response,     // a replica's response that cannot be passed on yet
};

/// @return settings without limits: for listeners that only trusted peers reach
CallerMemorySettings unlimitedMemory();

// Share

class CallerMemory;

/// What one connection holds, or one request of its replica's response.
class MemoryShare
{
public:
    MemoryShare(std::shared_ptr<CallerMemory> memory, MemoryUse use);
    ~MemoryShare() { resize(0); }
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Asks for room in advance. Shares that are stalled are taken away for it.
    /// @return false if there is none; the share then stays as it is
    bool tryResize(std::size_t bytes);

    /// Tells how much is held now. While the limits are exceeded shares are taken away, which may include this one.
    void resize(std::size_t bytes);

    void setUse(MemoryUse use);      ///< Who has to act next; `Response` is for the whole life of a share.
    void onMoved(std::size_t bytes); ///< Bytes were read from the caller, or taken by it.

    std::size_t bytes() const { return m_bytes; }
    MemoryUse use() const { return m_use; }

    /// The share is taken away: its bytes must be freed, and no longer count. Called within `resize` and `tryResize` of
    /// any share.
    std::function<void()> onGivenUp = [] {};

private:
    friend class CallerMemory;

    std::shared_ptr<CallerMemory> m_memory;
    std::size_t m_bytes = 0;
    std::size_t m_moved = 0;    // bytes since `m_movedIn` was set
    std::size_t m_index = 0;    // in the account's list, while bytes are held
    std::int64_t m_movedIn = 0; // round of the last progress
    MemoryUse m_use;
};

// Account

/// Memory of all shares of one event loop. Not thread-safe.
class CallerMemory
{
public:
    explicit CallerMemory(const CallerMemorySettings &settings = CallerMemorySettings());

    void nextRound() { ++m_round; } ///< Call about once a second.

    std::size_t bytes() const { return m_bytes; }                 ///< @return held by all shares
    std::size_t peakBytes() const { return m_peakBytes; }         ///< @return highest value of `bytes` so far
    std::size_t responseBytes() const { return m_responseBytes; } ///< @return of these, in responses
    std::size_t peakResponseBytes() const { return m_peakResponseBytes; }
    std::int64_t refusals() const { return m_refusals; } ///< @return requests for room that were refused
    std::int64_t givenUp() const { return m_givenUp; }   ///< @return shares that were taken away

private:
    friend class MemoryShare;

    void set(MemoryShare &share, std::size_t bytes);
    void notePeaks();
    bool isStalled(const MemoryShare &share) const;
    bool hasRoom(std::size_t bytes, bool isSmall) const;
    MemoryShare *largest(const std::function<bool(const MemoryShare &)> &isCandidate) const;
    void giveUp(MemoryShare &share);

    CallerMemorySettings m_settings;
    std::vector<MemoryShare *> m_shares; // those that hold bytes, in no order
    std::size_t m_bytes = 0;
    std::size_t m_peakBytes = 0;
    std::size_t m_responseBytes = 0;
    std::size_t m_peakResponseBytes = 0;
    std::int64_t m_round = 0;
    std::int64_t m_refusals = 0;
    std::int64_t m_givenUp = 0;
};

} // namespace galenafold
