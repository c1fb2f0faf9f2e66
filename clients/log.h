// The platform's append-only log service: the interface that the control code sees, and its HTTP client.
//
// Protocol: POST /streams/NAME/records {"value": "..."} answers {"offset": N};
// GET /streams/NAME/records?from=N&wait_ms=W answers {"first", "end", "records": [{"offset", "time_ms", "value"}]}.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

enum class AppendState : std::uint8_t {
    Appended,    // `offset` is the record's
    NotAppended, // the log refused it, or could not be reached
    Unknown,     // the answer was lost: the record may be there all the same
};

struct AppendResult {
    AppendState state = AppendState::Unknown;
    LogOffset offset = -1;
};

/// A record as the log keeps it.
struct StoredRecord {
    LogOffset offset = 0;
    UnixMillis time{};
    std::string value;
};

struct ReadResult {
    bool isGood = false;
    LogOffset firstRetained = 0;
    LogOffset end = 0; // offset after the last record
    std::vector<StoredRecord> records;
};

/// Mocked in tests.
class LogClient
{
public:
    virtual ~LogClient() = default;
    virtual AppendResult append(const std::string &stream, const std::string &value) = 0;

    /// @param wait how long the log may hold the answer back until there is something to read.
    virtual ReadResult read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait) = 0;
};

std::unique_ptr<LogClient> makeHttpLogClient(const std::string &address);

enum class VmListStatus : std::uint8_t { Changed, NotModified, Failed };

/// Reads the list of VMs: GET /vms, with the last answer's ETag.
/// @param etag of the last answer, "" for none; moves on. @param list changes only when the answer is Changed.
VmListStatus fetchVmList(const std::string &address, std::string &etag, std::vector<VmRecord> &list);

} // namespace galenafold
