// Checks whether a replica still accepts connections.
#include "traffic/connectprobe.h"

#include <memory>

namespace galenafold
{

/// A connection that is being opened. Kept alive by its callbacks.
struct PendingConnect {
    explicit PendingConnect(asio::io_context &io)
        : socket(io)
        , timer(io)
    {
    }
    asio::ip::tcp::socket socket;
    DeadlineTimer timer;
};

void probeConnect(asio::io_context &io, const asio::ip::tcp::endpoint &address, Duration timeout,
                  std::function<void(bool)> onResult)
{
    const auto pending = std::make_shared<PendingConnect>(io);
    pending->socket.async_connect(address, [pending, onResult = std::move(onResult)](const asio::error_code &error) {
        pending->timer.cancel();
        asio::error_code ignored; // nothing was sent
        pending->socket.close(ignored);
        onResult(!error);
    });
    pending->timer.expires_at(clockNow() + timeout);
    pending->timer.async_wait([pending](const asio::error_code &error) {
        if (!error) {
            asio::error_code ignored; // the pending connect then completes with an error
            pending->socket.close(ignored);
        }
    });
}

} // namespace galenafold
