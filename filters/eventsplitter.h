// Cuts a stream into whole events, so that a break never leaves half an event with the caller.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace galenafold
{

class EventSplitter
{
public:
    /// Takes bytes of a stream. @param after events up to this id are left out @return whole events, to be passed on
    std::string take(std::string_view bytes);

    /// A new replica goes on with the stream: drops half an event of the old one.
    void dropPartialEvent() { m_rest.clear(); }

    void skipUpTo(std::optional<std::int64_t> id) { m_lastId = id; }

    std::optional<std::int64_t> lastId() const { return m_lastId; } ///< @return id of the last whole event
    bool hasPartialEvent() const { return !m_rest.empty(); }        ///< @return true within an event
    bool hasGap() const { return m_hasGap; }                        ///< @return true if an id was skipped or repeated

private:
    std::string m_rest;
    std::optional<std::int64_t> m_lastId;
    bool m_hasGap = false;
};

} // namespace galenafold
