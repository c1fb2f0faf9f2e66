// At which version of the software streams began, for those that may be taken up again.
#include "control/origintable.h"

#include "control/loadview.h"

namespace galenafold
{

// Streams

StreamKey streamKey(const ServiceId &service, const RequestId &request)
{
    return static_cast<StreamKey>(rendezvousScore(hashName(service.text), hashName(request.text)));
}

// Table

static bool isRecent(Instant now, const KnownOrigin &known)
{
    return now < known.beganAt + streamMemory;
}

StreamOriginTable::StreamOriginTable(std::size_t maxStreams)
    : m_maxStreams(maxStreams)
{
}

bool StreamOriginTable::add(Instant now, const KnownOrigin &known)
{
    while (!m_order.empty() && (m_order.size() >= m_maxStreams || !isRecent(now, m_origins.at(m_order.front())))) {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
    const bool isNew = m_origins.try_emplace(known.origin.stream, known).second;
    if (isNew) {
        m_order.push_back(known.origin.stream);
    }
    return isNew;
}

const KnownOrigin *StreamOriginTable::find(Instant now, StreamKey stream) const
{
    const auto found = m_origins.find(stream);
    return found != m_origins.end() && isRecent(now, found->second) ? &found->second : nullptr;
}

std::vector<StreamKey> StreamOriginTable::select(Instant now,
                                                 const std::function<bool(const KnownOrigin &)> &condition) const
{
    std::vector<StreamKey> streams;
    for (auto stream = m_order.rbegin(); stream != m_order.rend(); ++stream) {
        const KnownOrigin &known = m_origins.at(*stream);
        if (isRecent(now, known) && condition(known)) {
            streams.push_back(*stream);
        }
    }
    return streams;
}

} // namespace galenafold
