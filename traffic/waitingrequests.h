// Requests that wait at this router because no replica has room for them. `Admission` decides which of them starts,
// waits or is refused; here they are kept, and tried again when a request of this router has ended and every few
// milliseconds while any waits, as news of peers, of the registry and of load arrive all the time.
#pragma once

#include "filters/admission.h"
#include "net/timer.h"
#include "traffic/metrics.h"

namespace galenafold
{

class RequestHandler;

/// Not thread-safe: used on the traffic thread.
class WaitingRequests
{
public:
    WaitingRequests(asio::io_context &io, const AdmissionSettings &settings, std::uint64_t seed);
    ~WaitingRequests();
    WaitingRequests(const WaitingRequests &) = delete;
    WaitingRequests &operator=(const WaitingRequests &) = delete;

    Admission &admission() { return m_admission; }
    const Admission &admission() const { return m_admission; }

    /// Lets a request wait if it can start in time, and refuses those that it takes the place of.
    /// @param request its key is set
    AdmissionDecision add(Instant now, const std::shared_ptr<RequestHandler> &handler, const ServiceId &service,
                          AdmissionRequest &request);

    void remove(WaitKey key); ///< The request has ended.
    void drainSoon();         ///< There may be room: tries the waiting requests from the event loop.

    /// Routes and checks all waiting requests again, by a new desired state.
    void onDesiredState();

    /// Refuses those whose responses may not be complete when this router stops.
    void onStopping(Instant stopsAt);

    void addMetrics(std::string &out, Instant now) const; ///< Appends the metrics of all services.

    /// A request of the service started after a wait.
    void onStarted(const ServiceId &service, Duration waited);

    /// A request of the service did not wait, or waited in vain.
    void onRefused(const ServiceId &service, const char *why);

private:
    struct ServiceMetrics {
        DurationHistogram waited; // of the requests that started
        std::int64_t started = 0;
        std::map<std::string, std::int64_t> refused; // by reason
    };

    void drain();
    bool startNext(Instant now, const ServiceId &service);
    void expire(Instant now);
    std::shared_ptr<RequestHandler> take(WaitKey key); ///< @return null if it has ended meanwhile
    void armTimer();

    asio::io_context &m_io;
    Admission m_admission;
    std::map<WaitKey, std::shared_ptr<RequestHandler>> m_handlers; // in order of arrival
    std::uint64_t m_lastKey = 0;
    bool m_isDrainPosted = false;
    DeadlineTimer m_timer;
    std::map<ServiceId, ServiceMetrics> m_metrics;
};

} // namespace galenafold
