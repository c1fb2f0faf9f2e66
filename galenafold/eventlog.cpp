// Structured log: JSON encoding of lines, and their non-blocking output. Sections of this file: Line, Log.
#include "galenafold/eventlog.h"

#include <cerrno>
#include <climits>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace galenafold
{

// Line

static void appendEscaped(std::string &out, std::string_view text)
{
    out += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < ' ' || byte > '~') {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", byte);
            out += escaped;
        } else {
            out += c;
        }
    }
    out += '"';
}

LogLine::LogLine(std::string_view event)
{
    m_line = "{\"t\":" + std::to_string(unixNow().count());
    text("event", event);
}

void LogLine::appendKey(std::string_view key)
{
    m_line += ",\"";
    m_line += key;
    m_line += "\":";
}

LogLine &LogLine::text(std::string_view key, std::string_view value)
{
    appendKey(key);
    appendEscaped(m_line, value);
    return *this;
}

LogLine &LogLine::number(std::string_view key, std::int64_t value)
{
    appendKey(key);
    m_line += std::to_string(value);
    return *this;
}

LogLine &LogLine::millis(std::string_view key, Duration value)
{
    return number(key, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

LogLine &LogLine::flag(std::string_view key, bool value)
{
    appendKey(key);
    m_line += value ? "true" : "false";
    return *this;
}

std::string LogLine::take()
{
    m_line += "}\n";
    return std::move(m_line);
}

// Log

EventLog::EventLog(const EventLogSettings &settings)
    : m_settings(settings)
{
}

void EventLog::write(LogLine &line, LogPriority priority)
{
    if (m_settings.fd < 0) {
        return;
    }
    std::string bytes = line.take();
    bool isFirst = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const double fraction = priority == LogPriority::Routine ? m_settings.routineFraction : 1;
        const bool hasRoom =
            static_cast<double>(m_bytes + bytes.size()) <= fraction * static_cast<double>(m_settings.maxBufferBytes);
        if (!hasRoom) {
            ++m_dropped;
            return;
        }
        isFirst = m_lines.empty();
        m_bytes += bytes.size();
        m_lines.push_back(std::move(bytes));
    }
    if (isFirst && onBufferNonEmpty) {
        onBufferNonEmpty();
    }
}

/// @return true if a write of PIPE_BUF bytes does not block, which POSIX guarantees for a pipe that is writable
static bool isWritable(int fd)
{
    pollfd entry{fd, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

bool EventLog::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_dropped != m_droppedReported) {
        LogLine line("lines_left_out");
        line.number("lines", m_dropped - m_droppedReported);
        m_droppedReported = m_dropped;
        m_lines.push_back(line.take());
        m_bytes += m_lines.back().size();
    }
    while (!m_lines.empty() && isWritable(m_settings.fd)) {
        std::string batch = m_lines.front().substr(m_frontWritten, PIPE_BUF);
        for (std::size_t i = 1; i < m_lines.size() && batch.size() + m_lines[i].size() <= PIPE_BUF; ++i) {
            batch += m_lines[i];
        }
        const ssize_t written = ::write(m_settings.fd, batch.data(), batch.size());
        if (written <= 0) {
            if (written < 0 && errno == EINTR) {
                continue;
            }
            break; // the descriptor is full or closed; the lines stay queued
        }
        auto left = static_cast<std::size_t>(written);
        while (left > 0) {
            const std::size_t rest = m_lines.front().size() - m_frontWritten;
            if (left < rest) {
                m_frontWritten += left;
                break;
            }
            left -= rest;
            m_bytes -= m_lines.front().size();
            m_lines.pop_front();
            m_frontWritten = 0;
        }
    }
    return !m_lines.empty();
}

std::int64_t EventLog::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

} // namespace galenafold
