// Connection attempts that ask whether a replica still accepts connections.
#include "traffic/connectprobe.h"

#include "net/stream.h"

#include <memory>

namespace galenafold
{

/// A connection that is being opened, or watched. Kept alive by its callbacks.
struct ConnectProbe : std::enable_shared_from_this<ConnectProbe> {
    explicit ConnectProbe(asio::io_context &io)
        : socket(io)
        , timer(io)
    {
    }
    void connect(const asio::ip::tcp::endpoint &address, Instant answerBy);
    void onConnected(const asio::error_code &error);
    void report(ConnectOutcome outcome);

    asio::ip::tcp::socket socket;
    DeadlineTimer timer;
    Duration keepTime{};
    ConnectProbeHook onResult;
};

void ConnectProbe::connect(const asio::ip::tcp::endpoint &address, Instant answerBy)
{
    const auto self = shared_from_this();
    socket.async_connect(address, [self](const asio::error_code &error) { self->onConnected(error); });
    timer.expires_at(answerBy);
    timer.async_wait([self](const asio::error_code &error) {
        if (!error) {
            asio::error_code ignored; // the pending connect then completes with an error
            self->socket.close(ignored);
        }
    });
}

void ConnectProbe::onConnected(const asio::error_code &error)
{
    timer.cancel();
    // The replica may have dropped the connection before this thread was told that it is established.
    const bool wasDropped = error == asio::error::connection_reset || error == asio::error::broken_pipe;
    if (error && !wasDropped) {
        report(error == asio::error::connection_refused ? ConnectOutcome::Refused : ConnectOutcome::NoAnswer);
        return;
    }
    timer.expires_at(clockNow() + keepTime);
    timer.async_wait([self = shared_from_this()](const asio::error_code &) {
        self->report(isPeerOpen(self->socket) ? ConnectOutcome::Kept : ConnectOutcome::Dropped);
    });
}

void ConnectProbe::report(ConnectOutcome outcome)
{
    onResult(outcome, socket);
    asio::error_code ignored; // nothing was sent
    socket.close(ignored);
}

void probeConnect(asio::io_context &io, const asio::ip::tcp::endpoint &address, Duration answerTimeout,
                  Duration keepTime, ConnectProbeHook onResult)
{
    const auto probe = std::make_shared<ConnectProbe>(io);
    probe->keepTime = keepTime;
    probe->onResult = std::move(onResult);
    probe->connect(address, clockNow() + answerTimeout);
}

} // namespace galenafold
