// Cuts a stream into whole events.
#include "filters/eventsplitter.h"

#include <charconv>
#include <string_view>

namespace galenafold
{

/// @return where the event that begins at `from` ends, its blank line included; npos while it is not whole
static std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t plain = text.find("\n\n", from);
    const std::size_t withReturns = text.find("\r\n\r\n", from);
    if (withReturns < plain) {
        return withReturns + 4;
    }
    return plain == std::string_view::npos ? plain : plain + 2;
}

static std::optional<std::int64_t> idOf(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
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

std::string EventSplitter::take(std::string_view bytes)
{
    m_rest.append(bytes);
    std::string whole;
    std::size_t from = 0;
    for (std::size_t end = endOfEvent(m_rest, from); end != std::string::npos; end = endOfEvent(m_rest, from)) {
        const std::string_view event = std::string_view(m_rest).substr(from, end - from);
        from = end;
        const auto id = idOf(event);
        if (id && m_lastId) {
            if (*id <= *m_lastId) {
                continue; // the caller has it already
            }
            m_hasGap = m_hasGap || *id != *m_lastId + 1;
        }
        if (id) {
            m_lastId = id;
        }
        whole.append(event);
    }
    m_rest.erase(0, from);
    return whole;
}

} // namespace galenafold
