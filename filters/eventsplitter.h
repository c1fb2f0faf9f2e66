// Splits a server-sent event stream into complete events, so that the caller never receives part of an event when a
// replica fails in the middle of a stream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace galenafold
{

/// Buffers the incomplete event at the end of the bytes received so far.
class EventSplitter
{
public:
    /// Takes bytes of a stream. Events whose id is not above the last one are dropped as duplicates.
    /// @return complete events, to be relayed
    std::string feed(std::string_view bytes);

    /// Another replica continues the stream: drops the incomplete event of the previous one.
    void dropPartialEvent() { m_partialEvent.clear(); }

    /// Drops events up to this id, which the caller already has.
    void skipUpTo(std::optional<std::int64_t> id) { m_lastId = id; }

    std::optional<std::int64_t> lastId() const { return m_lastId; }  ///< @return id of the last complete event
    bool hasPartialEvent() const { return !m_partialEvent.empty(); } ///< @return true if an event is incomplete
    bool hasGap() const { return m_hasGap; }                         ///< @return true if an event id was skipped
    std::int64_t count() const { return m_count; } ///< @return complete events so far, also duplicates

private:
    std::string m_partialEvent;
    std::optional<std::int64_t> m_lastId;
    bool m_hasGap = false;
    std::int64_t m_count = 0;
};

} // namespace galenafold
