// Structured log lines on standard output, one JSON object each. Never blocks: a bounded ring drops and counts.
//
// Sections of this file: Line, Log.
//
// The fields of each event are listed in docs/OPERATIONS.md.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <mutex>
#include <string_view>

namespace galenafold
{

// Line

/// One line under construction.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &text(std::string_view name, std::string_view value);
    LogLine &number(std::string_view name, std::int64_t value);
    LogLine &millis(std::string_view name, Duration value); ///< Named with "_ms" at the end.
    LogLine &flag(std::string_view name, bool value);

    std::string take(); ///< @return the whole line, its end included

private:
    void name(std::string_view name);

    std::string m_line;
};

// Log

enum class LogPriority : std::uint8_t {
    Routine, // successes: the first to be left out
    Notable, // failures, and changes of what the process believes
};

struct EventLogSettings {
    std::size_t maxBufferBytes = 256 << 10; // waiting to be written
    double routineShare = 0.5;              // of that, for routine lines
    int fd = 1;                             // -1: lines are dropped unseen
};

class EventLog
{
public:
    explicit EventLog(const EventLogSettings &settings = EventLogSettings());

    /// Takes a line. Any thread.
    void write(LogLine &line, LogPriority weight);

    /// Writes what the descriptor takes without blocking. @return true if lines are left
    bool flush();

    std::int64_t dropped() const; ///< @return lines left out since the start

    std::function<void()> onBufferNonEmpty; // a line came into the empty ring; called on the writer's thread

private:
    EventLogSettings m_settings;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::size_t m_frontUsed = 0; // bytes of the first line already written
    std::int64_t m_dropped = 0;
    std::int64_t m_droppedTold = 0;
};

} // namespace galenafold
