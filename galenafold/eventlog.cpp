// Structured log lines on standard output.
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
    m_line = "{\"t\":"
        + std::to_string(
                 std::chrono::duration_cast<UnixMillis>(std::chrono::system_clock::now().time_since_epoch()).count());
    text("event", event);
}

void LogLine::name(std::string_view name)
{
    m_line += ",\"";
    m_line += name;
    m_line += "\":";
}

LogLine &LogLine::text(std::string_view key, std::string_view value)
{
    name(key);
    appendEscaped(m_line, value);
    return *this;
}

LogLine &LogLine::number(std::string_view key, std::int64_t value)
{
    name(key);
    m_line += std::to_string(value);
    return *this;
}

LogLine &LogLine::millis(std::string_view key, Duration value)
{
    return number(key, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

LogLine &LogLine::flag(std::string_view key, bool value)
{
    name(key);
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

void EventLog::write(LogLine &line, LogPriority weight)
{
    if (m_settings.fd < 0) {
        return;
    }
    std::string bytes = line.take();
    bool isFirst = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const double share = weight == LogPriority::Routine ? m_settings.routineShare : 1;
        const bool hasRoom =
            static_cast<double>(m_bytes + bytes.size()) <= share * static_cast<double>(m_settings.maxBufferBytes);
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

/// A pipe that `poll` calls writable takes PIPE_BUF bytes without blocking.
static bool takesMore(int fd)
{
    pollfd entry{fd, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

bool EventLog::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_dropped != m_droppedTold) {
        LogLine line("lines_left_out");
        line.number("lines", m_dropped - m_droppedTold);
        m_droppedTold = m_dropped;
        m_lines.push_back(line.take());
        m_bytes += m_lines.back().size();
    }
    while (!m_lines.empty() && takesMore(m_settings.fd)) {
        std::string batch = m_lines.front().substr(m_frontUsed, PIPE_BUF);
        for (std::size_t i = 1; i < m_lines.size() && batch.size() + m_lines[i].size() <= PIPE_BUF; ++i) {
            batch += m_lines[i];
        }
        const ssize_t written = ::write(m_settings.fd, batch.data(), batch.size());
        if (written <= 0) {
            if (written < 0 && errno == EINTR) {
                continue;
            }
            break; // full or gone: what stays is written or dropped later
        }
        auto left = static_cast<std::size_t>(written);
        while (left > 0) {
            const std::size_t rest = m_lines.front().size() - m_frontUsed;
            if (left < rest) {
                m_frontUsed += left;
                break;
            }
            left -= rest;
            m_bytes -= m_lines.front().size();
            m_lines.pop_front();
            m_frontUsed = 0;
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
