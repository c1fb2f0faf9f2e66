// Splits a server-sent event stream into complete events.
#include "filters/eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace galenafold
{

constexpr std::size_t maxSeparatorBytes = 4; // CR LF CR LF

/// @return length of the line end at this position, which may be CR LF, LF or CR; 0 if there is none
static std::size_t lineEndAt(std::string_view text, std::size_t at)
{
    if (at >= text.size() || (text[at] != '\n' && text[at] != '\r')) {
        return 0;
    }
    return text.substr(at, 2) == "\r\n" ? 2 : 1;
}

/// @return end of the first event that ends behind `from`, including its blank line; npos while it is incomplete
static std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    while ((from = text.find_first_of("\r\n", from)) != std::string_view::npos) {
        const std::size_t blankLine = from + lineEndAt(text, from);
        const std::size_t size = lineEndAt(text, blankLine);
        const bool maySplitCrLf =
            blankLine + 1 == text.size() && text[blankLine] == '\r' && text[blankLine - 1] == '\n';
        if (size > 0) {
            return maySplitCrLf ? std::string_view::npos : blankLine + size;
        }
        from = blankLine;
    }
    return std::string_view::npos;
}

/// A blank line that ends no event stands for itself, so that nothing waits for what follows it.
/// @return end of the block that begins at `begin`, in which nothing ends before `searchFrom`; npos while it is
/// incomplete
static std::size_t endOfBlock(std::string_view text, std::size_t begin, std::size_t searchFrom)
{
    const std::size_t blankLine = lineEndAt(text, begin);
    return blankLine > 0 ? begin + blankLine : endOfEvent(text, std::max(begin, searchFrom));
}

/// What is needed of one block of a stream.
struct Block {
    bool isEvent = false; // it has an id or data; others are comments, blank lines, or fields for the caller's reader
    std::optional<std::int64_t> id;
};

/// @return the id if all of the text is a number: ids that only begin alike are not the same
static std::optional<std::int64_t> parseId(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    text = text.substr(0, text.find_last_not_of(' ') + 1);
    std::int64_t id = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), id);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isWhole ? std::optional<std::int64_t>(id) : std::nullopt;
}

static Block parseBlock(std::string_view text)
{
    Block block;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find_first_of("\r\n"), text.size());
        std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::string_view name = line.substr(0, line.find(':'));
        block.isEvent = block.isEvent || name == "id" || name == "data";
        if (name == "id") {
            block.id = parseId(line.substr(std::min(name.size() + 1, line.size()))); // the last one counts
        }
    }
    return block;
}

void EventSplitter::beginAttempt()
{
    m_partialEvent = std::string();
    m_searchedBytes = 0;
    m_held = std::string();
    m_heldId.reset();
    m_hasGap = false;
    m_hasEvents = false;
    m_hasNewEvents = false;
    m_fits = !m_lastId && m_canResume;
}

bool EventSplitter::isComplete(BodyFraming framing) const
{
    if (hasPartialEvent() || hasGap()) {
        return false;
    }
    const bool fellShort = m_hasEvents && !m_fits; // of what the caller has: it is another stream's end
    return framing == BodyFraming::Explicit ? !fellShort : m_hasNewEvents;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    std::string complete;
    std::size_t from = 0;
    for (std::size_t end = endOfBlock(m_partialEvent, 0, m_searchedBytes); end != std::string::npos;
         end = endOfBlock(m_partialEvent, from, from)) {
        const std::string_view text = std::string_view(m_partialEvent).substr(from, end - from);
        from = end;
        const Block block = parseBlock(text);
        m_count += block.isEvent ? 1 : 0;
        if (block.isEvent) {
            takeEvent(block.id, text, complete);
        } else if (m_fits || !m_hasPassedOn) {
            complete.append(text);
        }
    }
    m_partialEvent.erase(0, from);
    m_searchedBytes = m_partialEvent.size() - std::min(m_partialEvent.size(), maxSeparatorBytes - 1);
    return complete;
}

/// @return true if an id is the next one after another
static bool follows(std::int64_t id, std::int64_t previous)
{
    return id > previous && id - 1 == previous;
}

/// @param passed appended to: the event, and what it tells to be in order
void EventSplitter::takeEvent(std::optional<std::int64_t> id, std::string_view text, std::string &passed)
{
    if (m_heldId && id) {
        settleHeld(*id, passed);
    }
    switch (m_heldId ? Verdict::Hold : judge(id)) {
    case Verdict::PassOn:
        notePassedOn(id);
        passed.append(text);
        break;
    case Verdict::Hold:
        m_heldId = m_heldId ? m_heldId : id;
        m_held.append(text);
        break;
    case Verdict::Drop:
        break;
    }
    m_hasEvents = true;
}

void EventSplitter::notePassedOn(std::optional<std::int64_t> id)
{
    m_lastId = id ? id : m_lastId;
    m_hasNewEvents = true;
    m_hasPassedOn = true;
    m_canResume = id && m_numbering != Numbering::Otherwise;
}

/// The id after a jump tells whether events are missing there, or the replica's ids don't rise by one.
void EventSplitter::settleHeld(std::int64_t next, std::string &passed)
{
    const std::string held = std::exchange(m_held, std::string());
    const std::int64_t heldId = *std::exchange(m_heldId, std::nullopt);
    if (follows(next, heldId)) {
        m_numbering = Numbering::ByOne;
        m_hasGap = heldId != *m_lastId; // the same one is a repetition
        return;
    }
    m_numbering = Numbering::Otherwise;
    notePassedOn(heldId);
    passed.append(held);
}

EventSplitter::Verdict EventSplitter::judge(std::optional<std::int64_t> id)
{
    if (m_hasGap) {
        return Verdict::Drop;
    }
    if (!m_fits) {
        return judgeFit(id);
    }
    if (!id || !m_lastId || m_numbering == Numbering::Otherwise) {
        return Verdict::PassOn;
    }
    if (follows(*id, *m_lastId)) {
        m_numbering = Numbering::ByOne;
        return Verdict::PassOn;
    }
    if (m_numbering == Numbering::Unknown) {
        return Verdict::Hold;
    }
    m_hasGap = *id > *m_lastId;
    return Verdict::Drop; // a duplicate, or behind a gap
}

/// Judges the events of an attempt that goes on with a stream, until one tells by its id that it fits.
EventSplitter::Verdict EventSplitter::judgeFit(std::optional<std::int64_t> id)
{
    const bool isDuplicate = id && m_lastId && *id <= *m_lastId;
    const bool isNext = id && m_lastId && follows(*id, *m_lastId);
    const bool isFirst = !m_hasEvents && !m_hasPassedOn; // the caller goes on: the ids it has may not rise by one
    const bool isCallersJump = isFirst && id && !isDuplicate && !isNext;
    m_fits = isNext || isCallersJump || (isDuplicate && *id == *m_lastId);
    m_hasGap = !m_fits && !isDuplicate;
    m_numbering = isNext ? Numbering::ByOne : m_numbering;
    return isNext ? Verdict::PassOn : isCallersJump ? Verdict::Hold : Verdict::Drop;
}

} // namespace galenafold
