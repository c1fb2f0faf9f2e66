// Accepts callers.
#include "traffic/listener.h"

namespace galenafold
{

constexpr auto retryAccept = std::chrono::milliseconds(20); // out of descriptors: some are freed meanwhile

CallerListener::CallerListener(asio::io_context &io)
    : m_io(io)
    , m_acceptor(io)
    , m_retryTimer(io)
{
    hooks.onClosed = [this](const std::shared_ptr<CallerConnection> &caller) {
        m_callers.erase(caller);
        if (onCount) {
            onCount();
        }
    };
    hooks.onRejected = [](int, const char *) {};
    hooks.limits = [] { return CallerLimits(); };
    hooks.isDraining = [] { return false; };
}

CallerListener::~CallerListener()
{
    onCount = nullptr;
    const auto callers = m_callers; // closing changes the set
    for (const auto &caller : callers) {
        caller->abortResponse();
    }
}

bool CallerListener::start(const std::string &address)
{
    if (!listenOn(m_acceptor, address)) {
        return false;
    }
    m_port = m_acceptor.local_endpoint().port();
    accept();
    return true;
}

void CallerListener::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            acceptLater();
            return;
        }
        take(std::move(socket));
        accept();
    });
}

/// At once, an error that stays would keep the loop busy.
void CallerListener::acceptLater()
{
    m_retryTimer.expires_at(clockNow() + retryAccept);
    m_retryTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            accept();
        }
    });
}

void CallerListener::take(asio::ip::tcp::socket socket)
{
    if (m_callers.size() >= maxCallers) {
        return; // the socket closes
    }
    const auto caller = std::make_shared<CallerConnection>(m_io, std::move(socket), hooks);
    m_callers.insert(caller);
    if (onCount) {
        onCount();
    }
    caller->start();
}

void CallerListener::stopAccepting()
{
    asio::error_code ignored; // closed at an earlier step
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
    const auto callers = m_callers; // closing changes the set
    for (const auto &caller : callers) {
        caller->closeIfIdle();
    }
}

} // namespace galenafold
