// At which version of the software streams began, for those that may be taken up again.
//
// Sections of this file: Streams, Table.
#pragma once

#include "control/softwareversions.h"

#include <deque>
#include <functional>

namespace galenafold
{

// Streams

/// Identifies a stream: a hash of its service and of the request that brought its first event.
enum class StreamKey : std::uint64_t {};

StreamKey streamKey(const ServiceId &service, const RequestId &request); ///< @return the same on all routers

struct StreamOrigin {
    StreamKey stream{};
    VersionHash version{};
};

/// How a router got to know an origin.
enum class OriginSource : std::uint8_t {
    Own,   // it passed on the stream's first event
    Peer,  // another router told it
    Store, // a keeper before it wrote it there
};

// Table

/// An origin with what this router knows of it besides.
struct KnownOrigin {
    StreamOrigin origin;
    Instant beganAt{};
    OriginSource source = OriginSource::Own;
    std::uint64_t service = 0; // hash of its id; 0: not known, as another router told the origin
};

/// Origins of the streams that began within `streamMemory`, at most as many as it is made for: the oldest are
/// forgotten.
class StreamOriginTable
{
public:
    explicit StreamOriginTable(std::size_t maxStreams = defaultMaxStreams);

    /// The first origin that is added for a stream stays: a stream never changes its version.
    /// @return true if the stream was not known
    bool add(Instant now, const KnownOrigin &known);

    const KnownOrigin *find(Instant now, StreamKey stream) const; ///< @return nullptr if it is not known

    /// @return the streams whose origins fulfil the condition, newest first
    std::vector<StreamKey> select(Instant now, const std::function<bool(const KnownOrigin &)> &condition) const;

    std::size_t size() const { return m_origins.size(); }

private:
    static constexpr std::size_t defaultMaxStreams = 20000; // a router of the size to come begins 2,000 in that time

    std::size_t m_maxStreams;
    std::map<StreamKey, KnownOrigin> m_origins;
    std::deque<StreamKey> m_order; // in the order in which they were added
};

} // namespace galenafold
