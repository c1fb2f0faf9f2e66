// Claims of idempotency keys at the platform's log: one worker thread for each partition in use.
#pragma once

#include "clients/log.h"
#include "control/claims.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace galenafold
{

using LogClientFactory = std::function<std::unique_ptr<LogClient>()>;

/// Starts a worker for a partition when its first item arrives. Thread-safe.
class ClaimWorkers
{
public:
    explicit ClaimWorkers(LogClientFactory logFactory); ///< @param logFactory makes the log client of each worker
    ~ClaimWorkers();

    /// Claims a key. @param callback called on the worker's thread, shortly after `answerBy` at the latest
    void claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback);

    /// Writes a void or an outcome, retrying until it is read back from the log.
    /// @param onSettled called then on the worker's thread; may be empty
    void settle(const ClaimItem &item, std::function<void()> onSettled);

    void stop(); ///< Stops and joins all workers. Items that are not in the log yet are dropped.

private:
    struct Worker;

    Worker &workerFor(const std::string &key);

    LogClientFactory m_logFactory;
    std::mutex m_mutex;
    std::map<int, std::unique_ptr<Worker>> m_workers;
};

} // namespace galenafold
