// Clients of the platform's append-only log service and of its list of VMs.
//
// Protocol: POST /streams/NAME/records {"value": "..."} returns {"offset": N};
// GET /streams/NAME/records?from=N&wait_ms=W returns {"first", "end", "records": [{"offset", "time_ms", "value"}]}.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

enum class AppendState : std::uint8_t {
    Appended,    // the record is stored at `offset`
    NotAppended, // the log is unavailable or could not be reached
    Unknown,     // no valid response: the record may be stored or not
};

struct AppendResult {
    AppendState state = AppendState::Unknown;
    LogOffset offset = -1; // of the record; -1: unknown
};

/// A record read from the log.
struct StoredRecord {
    LogOffset offset = 0;
    UnixMillis time{}; // when the log stored it, by the platform's clock
    std::string value;
};

struct ReadResult {
    bool isOk = false;           // false: the read failed
    LogOffset firstRetained = 0; // oldest offset that the log still has
    LogOffset end = 0;           // offset after the last record of the stream
    std::vector<StoredRecord> records;
};

/// Interface of the log service, so that tests can replace it.
class LogClient
{
public:
    virtual ~LogClient() = default;

    /// Appends a record to a stream. Blocks.
    virtual AppendResult append(const std::string &stream, const std::string &value) = 0;

    /// Reads records from offset `from` on. Blocks.
    /// @param wait long-poll timeout: how long the log may delay the response until there is a record to read
    virtual ReadResult read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait) = 0;
};

/// Makes an HTTP client with a keep-alive connection. @param address HOST:PORT of the log service
std::unique_ptr<LogClient> makeHttpLogClient(const std::string &address);

enum class VmListStatus : std::uint8_t { Changed, NotModified, Failed };

/// Fetches the list of VMs: GET /vms, conditional on the ETag of the last response. Blocks.
/// @param address HOST:PORT
/// @param etag of the last response, "" for none; updated together with `list`
/// @param list set only if the result is Changed
VmListStatus fetchVmList(const std::string &address, std::string &etag, std::vector<VmRecord> &list);

} // namespace galenafold
