// Checks whether a replica's process has outlived a connection to it that has ended.
#include "traffic/processcheck.h"

#include "traffic/connectprobe.h"

#include <algorithm>

namespace galenafold
{

constexpr auto answerTimeout = std::chrono::milliseconds(300); // round trips between data centres take a few ms
constexpr auto closingTime = std::chrono::milliseconds(20);    // in which the kernel closes all sockets of a process
constexpr auto reuseTime = std::chrono::seconds(1);            // of a connection on which nothing was sent yet

/// One check. Kept alive by its callbacks.
struct ProcessCheck : std::enable_shared_from_this<ProcessCheck> {
    ProcessCheck(asio::io_context &theIo, ConnectionPool &thePool)
        : io(theIo)
        , pool(thePool)
        , timer(theIo)
    {
    }
    void start();
    void onOthersWatched();
    void connect();
    void onConnect(ConnectOutcome outcome, asio::ip::tcp::socket &connection);
    void report(ProcessState state);

    asio::io_context &io;
    ConnectionPool &pool;
    DeadlineTimer timer;
    EndedConnection ended;
    std::vector<std::weak_ptr<EndpointConnection>> others; // to the same process
    ProcessEvidence evidence;
    int connects = 0;
    std::function<void(const ProcessCheckResult &)> onResult;
};

/// The other connections were established before the last bytes came on the one that has ended, so they were the same
/// process's. After a suspension of this VM, bytes may have waited while the replica was started again, so one that was
/// established just before they were read tells nothing.
void ProcessCheck::start()
{
    others = pool.establishedBy(ended.lastReceivedAt - closingTime, ended.endpoint);
    if (others.empty()) {
        connect();
        return;
    }
    timer.expires_at(clockNow() + closingTime);
    timer.async_wait([self = shared_from_this()](const asio::error_code &) { self->onOthersWatched(); });
}

void ProcessCheck::onOthersWatched()
{
    const auto isOpen = [](const std::weak_ptr<EndpointConnection> &entry) {
        const auto connection = entry.lock();
        return connection && connection->isPeerOpen();
    };
    if (std::any_of(others.begin(), others.end(), isOpen)) {
        report(ProcessState::Lives);
    } else {
        connect();
    }
}

void ProcessCheck::connect()
{
    ++connects;
    probeConnect(io, ended.address, answerTimeout, closingTime,
                 [self = shared_from_this()](ConnectOutcome outcome, asio::ip::tcp::socket &connection) {
                     self->onConnect(outcome, connection);
                 });
}

void ProcessCheck::onConnect(ConnectOutcome outcome, asio::ip::tcp::socket &connection)
{
    const std::optional<ProcessState> state = evidence.onConnect(outcome);
    if (!state) {
        connect();
        return;
    }
    if (outcome == ConnectOutcome::Kept && ended.mayOpenForReuse) {
        pool.adopt(ended.endpoint, std::move(connection), clockNow() + reuseTime);
    }
    report(*state);
}

void ProcessCheck::report(ProcessState state)
{
    onResult({state, connects});
}

void checkProcess(asio::io_context &io, ConnectionPool &pool, const EndedConnection &ended,
                  std::function<void(const ProcessCheckResult &)> onResult)
{
    const auto check = std::make_shared<ProcessCheck>(io, pool);
    check->ended = ended;
    check->onResult = std::move(onResult);
    check->start();
}

} // namespace galenafold
