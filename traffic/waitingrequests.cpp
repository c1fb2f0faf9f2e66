// Requests that wait for room at replicas.
#include "traffic/waitingrequests.h"

#include "traffic/requesthandler.h"

#include <asio/post.hpp>

namespace galenafold
{

constexpr std::size_t maxHeavyAccounts = 16;                  // of a service, in metrics
constexpr auto retryInterval = std::chrono::milliseconds(20); // between looks for room while requests wait

WaitingRequests::WaitingRequests(asio::io_context &io, const AdmissionSettings &settings, std::uint64_t seed)
    : m_io(io)
    , m_admission(settings, seed)
    , m_timer(io)
{
}

WaitingRequests::~WaitingRequests() = default;

AdmissionDecision WaitingRequests::add(Instant now, const std::shared_ptr<RequestHandler> &handler,
                                       const ServiceId &service, AdmissionRequest &request)
{
    request.key = static_cast<WaitKey>(++m_lastKey);
    const bool wasEmpty = m_handlers.empty();
    AdmissionDecision decision = m_admission.push(now, service, request);
    m_metrics.try_emplace(service);
    if (decision.waits) {
        m_handlers[request.key] = handler;
    }
    for (const WaitKey key : decision.evicted) {
        if (const auto evicted = take(key)) {
            evicted->onNotAdmitted(EndReason::NoRoom, AdmissionRefusal::Full);
        }
    }
    if (wasEmpty && !m_handlers.empty()) {
        armTimer();
    }
    drainSoon();
    return decision;
}

void WaitingRequests::remove(WaitKey key)
{
    m_admission.remove(key);
    m_handlers.erase(key);
}

std::shared_ptr<RequestHandler> WaitingRequests::take(WaitKey key)
{
    const auto found = m_handlers.find(key);
    if (found == m_handlers.end()) {
        return nullptr;
    }
    std::shared_ptr<RequestHandler> handler = std::move(found->second);
    m_handlers.erase(found);
    return handler;
}

void WaitingRequests::drainSoon()
{
    if (m_handlers.empty() || m_isDrainPosted) {
        return;
    }
    m_isDrainPosted = true;
    asio::post(m_io, [this] {
        m_isDrainPosted = false;
        drain();
    });
}

void WaitingRequests::drain()
{
    const Instant now = clockNow();
    for (const ServiceId &service : m_admission.servicesWaiting()) {
        while (startNext(now, service)) { }
    }
    expire(clockNow());
}

/// The attempt is sent when the order has been settled, as it may end other requests.
bool WaitingRequests::startNext(Instant now, const ServiceId &service)
{
    WaitKey key{};
    ReplicaChoice choice;
    const bool isStarted = m_admission.startNext(service, [&](WaitKey first) {
        key = first;
        choice = m_handlers.at(first)->chooseReplica(now);
        return choice || choice.skippedBusy == 0; // without a replica that could ever have room, it ends
    });
    if (isStarted) {
        take(key)->onAdmitted(now, choice);
    }
    return isStarted;
}

void WaitingRequests::expire(Instant now)
{
    for (const WaitKey key : m_admission.expire(now)) {
        if (const auto expired = take(key)) {
            expired->onNotAdmitted(EndReason::NoRoomInTime, AdmissionRefusal::TooLate);
        }
    }
}

void WaitingRequests::armTimer()
{
    const Instant now = clockNow();
    m_timer.expires_at(std::min<Instant>(now + retryInterval, m_admission.nextExpiry().value_or(Instant::max())));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        drain();
        if (!m_handlers.empty()) {
            armTimer();
        }
    });
}

void WaitingRequests::onDesiredState()
{
    const auto handlers = std::move(m_handlers);
    m_handlers.clear();
    for (const auto &[key, handler] : handlers) {
        m_admission.remove(key);
    }
    for (const auto &[key, handler] : handlers) {
        handler->onDesiredState();
    }
}

void WaitingRequests::onStopping(Instant stopsAt)
{
    const auto handlers = m_handlers;
    for (const auto &[key, handler] : handlers) {
        handler->onStoppingAt(stopsAt);
    }
}

void WaitingRequests::onStarted(const ServiceId &service, Duration waited)
{
    ServiceMetrics &metrics = m_metrics[service];
    metrics.waited.add(waited);
    ++metrics.started;
}

void WaitingRequests::onRefused(const ServiceId &service, const char *why)
{
    ++m_metrics[service].refused[why];
}

void WaitingRequests::addMetrics(std::string &out, Instant now) const
{
    for (const auto &[service, metrics] : m_metrics) {
        const std::string name = label("service", service.text);
        writeMetric(out, "requests_waiting", name, static_cast<double>(m_admission.waiting(service)));
        writeMetric(out, "start_rate", name, m_admission.startRate(now, service));
        writeMetric(out, "start_window", name, m_admission.window(service));
        for (const auto &[account, multiple] : m_admission.use().heaviest(now, service, maxHeavyAccounts)) {
            writeMetric(out, "account_over_share", name + ',' + label("account", account.text), multiple);
        }
        writeMetric(out, "admitted_total", name, static_cast<double>(metrics.started));
        metrics.waited.write(out, "waited_seconds", name);
        for (const auto &[why, count] : metrics.refused) {
            writeMetric(out, "not_admitted_total", name + ',' + label("reason", why), static_cast<double>(count));
        }
    }
}

} // namespace galenafold
