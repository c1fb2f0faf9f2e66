// Splits a server-sent event stream into complete events, so that the caller never receives part of an event when a
// replica fails in the middle of a stream, and decides whether a stream that has ended is complete.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace galenafold
{

/// What tells where the body of a response ends.
enum class BodyFraming : std::uint8_t {
    Explicit,       // a length or chunks
    CloseDelimited, // the end of the connection, which may also be that of a replica's process
};

/// Buffers the incomplete event at the end of the bytes received so far.
class EventSplitter
{
public:
    /// Takes bytes of a stream. Events that the caller already has, by their ids, are dropped; so are those that follow
    /// a gap, and those of an attempt that goes on with a stream and does not tell by an id that they fit. What is no
    /// event, such as a comment, is passed on and counts for nothing. Where the second id jumps, that event is held
    /// until the next id tells whether there is a gap.
    /// @return complete events, to be relayed
    std::string feed(std::string_view bytes);

    /// Another attempt begins or continues the stream: drops what the previous one has left incomplete.
    void beginAttempt();

    /// Decides whether the stream is complete when the response of the current attempt has ended in good order. Where
    /// only the end of the connection says so, an attempt that brought nothing new may have been cut off at any point.
    /// An attempt that ends before the event after which it was to go on ends another stream than the caller's.
    /// @return false if the stream was cut off
    bool isComplete(BodyFraming framing) const;

    /// Drops events up to this id, which the caller already has. Called before the first attempt begins.
    void skipUpTo(std::optional<std::int64_t> id) { m_lastId = id; }

    /// @return true if another attempt can be asked to go on behind the last event that was passed on
    bool canResume() const { return m_canResume; }

    std::optional<std::int64_t> lastId() const { return m_lastId; }  ///< @return id of the last event passed on
    bool hasPartialEvent() const { return !m_partialEvent.empty(); } ///< @return true if an event is incomplete

    /// @return bytes of the incomplete event, and of events that are held
    std::size_t heldBytes() const { return m_partialEvent.size() + m_held.size(); }

    /// @return true if the current attempt has skipped an event id, or it is not yet known whether it has
    bool hasGap() const { return m_hasGap || m_heldId; }
    std::int64_t count() const { return m_count; } ///< @return complete events so far, also duplicates

private:
    /// How the ids of a stream rise.
    enum class Numbering : std::uint8_t { Unknown, ByOne, Otherwise };

    /// What becomes of an event.
    enum class Verdict : std::uint8_t { PassOn, Hold, Drop };

    void takeEvent(std::optional<std::int64_t> id, std::string_view text, std::string &passed);
    Verdict judge(std::optional<std::int64_t> id);
    Verdict judgeFit(std::optional<std::int64_t> id);
    void settleHeld(std::int64_t next, std::string &passed);
    void notePassedOn(std::optional<std::int64_t> id);

    std::string m_partialEvent;
    std::size_t m_searchedBytes = 0; // of `m_partialEvent`, in which no event ends
    std::optional<std::int64_t> m_lastId;
    Numbering m_numbering = Numbering::Unknown;
    std::string m_held;                   // events from a jump of the ids on, until the next id tells
    std::optional<std::int64_t> m_heldId; // of the first of these
    bool m_hasPassedOn = false;           // an event, from any attempt
    bool m_canResume = true;              // the last event that was passed on had an id, or none was
    bool m_fits = true;          // the current attempt begins the stream, or has told by an id where it goes on
    bool m_hasGap = false;       // in the current attempt, or it cannot be told
    bool m_hasEvents = false;    // from the current attempt
    bool m_hasNewEvents = false; // of these, some were passed on
    std::int64_t m_count = 0;
};

} // namespace galenafold
