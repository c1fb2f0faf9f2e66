// Structured log: one JSON object per line, on standard output by default. Writers never block: lines are queued in a
// bounded buffer, and those that do not fit are dropped and counted.
//
// Sections of this file: Line, Log.
//
// docs/OPERATIONS.md lists the fields of each event.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <mutex>
#include <string_view>

namespace galenafold
{

// Line

/// Builds one log line.
class LogLine
{
public:
    explicit LogLine(std::string_view event); ///< Starts a line with the current wall-clock time and the event's name.

    LogLine &text(std::string_view key, std::string_view value); ///< @param value bytes outside ASCII are escaped
    LogLine &number(std::string_view key, std::int64_t value);
    LogLine &millis(std::string_view key, Duration value); ///< @param key ends in "_ms" by convention
    LogLine &flag(std::string_view key, bool value);

    std::string take(); ///< @return the complete line, including the newline

private:
    void appendKey(std::string_view key);

    std::string m_line;
};

// Log

enum class LogPriority : std::uint8_t {
    Routine, // successes; dropped first when the buffer fills
    Notable, // failures and state changes
};

struct EventLogSettings {
    std::size_t maxBufferBytes = 256 << 10; // maximum size of the queued lines
    double routineFraction = 0.5;           // fraction of the buffer above which routine lines are dropped
    int fd = 1;                             // file descriptor; -1: lines are discarded and not counted
};

/// Buffered, non-blocking writer of log lines.
class EventLog
{
public:
    explicit EventLog(const EventLogSettings &settings = EventLogSettings());

    /// Queues a line, or drops it when the buffer is full. Thread-safe. @param line is consumed
    void write(LogLine &line, LogPriority priority);

    /// Writes as much as the descriptor accepts without blocking. @return true if lines remain queued
    bool flush();

    std::int64_t dropped() const; ///< @return number of lines dropped since the start

    std::function<void()> onBufferNonEmpty; // a line was queued in the empty buffer; runs on the writer's thread

private:
    EventLogSettings m_settings;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::size_t m_frontWritten = 0; // bytes of the first line already written
    std::int64_t m_dropped = 0;
    std::int64_t m_droppedReported = 0; // part of `m_dropped` already reported in lines_left_out events
};

} // namespace galenafold
