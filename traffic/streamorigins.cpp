// Where streams began: what this router knows, and what it finds out when a caller takes a stream up again.
#include "traffic/streamorigins.h"

#include "traffic/metrics.h"

namespace galenafold
{

StreamOrigins::StreamOrigins(asio::io_context &io, int partitions)
    : m_exchange(partitions)
    , m_timer(io)
{
}

void StreamOrigins::start(std::uint32_t ownAddress)
{
    m_exchange.onSave = onSave;
    m_exchange.onLoad = onLoad;
    m_exchange.onSend = onSend;
    m_exchange.borrow = borrow;
    m_exchange.setOwnAddress(ownAddress);
}

void StreamOrigins::note(Instant now, const ServiceId &service, const RequestId &request, VersionHash version)
{
    m_exchange.note(now, service, {streamKey(service, request), version});
    armTimer();
}

void StreamOrigins::find(Instant now, const ServiceId &service, const RequestId &request,
                         const OriginExchange::Answer &onAnswer)
{
    m_exchange.setRouters(now, routers()); // shortly after a start more are heard each moment
    m_exchange.find(now, streamKey(service, request), onAnswer);
    armTimer();
}

void StreamOrigins::update(Instant now, const SoftwareVersions &versions)
{
    m_exchange.setRouters(now, routers());
    m_exchange.setUncertain(now, versions.uncertain(now));
    armTimer();
}

void StreamOrigins::onStarted(Instant now, std::uint32_t router)
{
    m_exchange.onStarted(now, router);
    armTimer();
}

void StreamOrigins::onMessage(Instant now, std::uint32_t from, const OriginMessage &message)
{
    m_exchange.onMessage(now, from, message);
    armTimer();
}

void StreamOrigins::setStored(Instant now, int partition, const std::optional<std::vector<StreamOrigin>> &origins)
{
    m_exchange.setStored(now, partition, origins);
    armTimer();
}

/// Sets the timer for what is due next, unless it is set for an earlier time.
void StreamOrigins::armTimer()
{
    const auto next = m_exchange.nextTickAt();
    if (!next || (m_wakesAt && *m_wakesAt <= *next)) {
        return;
    }
    m_wakesAt = next;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return; // set anew
        }
        m_wakesAt.reset();
        m_exchange.tick(clockNow());
        armTimer();
    });
}

void StreamOrigins::addMetrics(std::string &out) const
{
    const OriginStats &stats = m_exchange.stats();
    writeMetric(out, "origins_told_total", "", static_cast<double>(stats.told));
    writeMetric(out, "origins_asked_total", "", static_cast<double>(stats.asked));
    writeMetric(out, "origins_found_total", "", static_cast<double>(stats.found));
    writeMetric(out, "origins_not_found_total", "", static_cast<double>(stats.notFound));
}

const char *text(OriginSource source)
{
    switch (source) {
    case OriginSource::Own:
        return "own";
    case OriginSource::Peer:
        return "peer";
    case OriginSource::Store:
        return "store";
    }
    return "unknown";
}

} // namespace galenafold
