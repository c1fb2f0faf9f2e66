// Splits a server-sent event stream into complete events.
#include "filters/eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace galenafold
{

constexpr std::size_t maxSeparatorBytes = 4; // CR LF CR LF

/// @return end of the first event that ends behind `from`, including its blank line; npos while it is incomplete
static std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t lf = text.find("\n\n", from);
    const std::size_t crLf = text.find("\r\n\r\n", from);
    if (crLf < lf) {
        return crLf + 4;
    }
    return lf == std::string_view::npos ? lf : lf + 2;
}

/// @return value of the first numeric `id:` line
static std::optional<std::int64_t> eventId(std::string_view event)
{
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        const std::size_t end = std::min(event.find('\n', lineStart), event.size());
        std::string_view line = event.substr(lineStart, end - lineStart);
        lineStart = end + 1;
        if (line.substr(0, 3) != "id:") {
            continue;
        }
        line.remove_prefix(3);
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::int64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

void EventSplitter::beginAttempt()
{
    m_partialEvent = std::string();
    m_searchedBytes = 0;
    m_hasGap = false;
    m_hasNewEvents = false;
}

bool EventSplitter::isComplete(BodyFraming framing) const
{
    if (hasPartialEvent() || m_hasGap) {
        return false;
    }
    return framing == BodyFraming::Explicit || m_hasNewEvents;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    std::string complete;
    std::size_t from = 0;
    for (std::size_t end = endOfEvent(m_partialEvent, m_searchedBytes); end != std::string::npos;
         end = endOfEvent(m_partialEvent, from)) {
        const std::string_view event = std::string_view(m_partialEvent).substr(from, end - from);
        from = end;
        ++m_count;
        if (isNext(eventId(event))) {
            complete.append(event);
        }
    }
    m_partialEvent.erase(0, from);
    m_searchedBytes = m_partialEvent.size() - std::min(m_partialEvent.size(), maxSeparatorBytes - 1);
    return complete;
}

/// Notes the id of an event. @return true if the event continues the stream; false for a duplicate and behind a gap
bool EventSplitter::isNext(std::optional<std::int64_t> id)
{
    if (id && m_lastId && *id <= *m_lastId) {
        return false; // the caller already has it
    }
    m_hasGap = m_hasGap || (id && m_lastId && *id != *m_lastId + 1);
    if (m_hasGap) {
        return false;
    }
    m_lastId = id ? id : m_lastId;
    m_hasNewEvents = true;
    return true;
}

} // namespace galenafold
