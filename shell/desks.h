// Runs claim desks: a thread for each partition in use, which talks to the log.
#pragma once

#include "clients/log.h"
#include "control/claims.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace galenafold
{

using LogClientMaker = std::function<std::unique_ptr<LogClient>()>;

class Desks
{
public:
    explicit Desks(LogClientMaker makeLog);
    ~Desks();

    /// Claims a key; the answer comes on another thread, at the latest soon after `answerBy`.
    void claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback);

    /// Keeps a void or an outcome until it is seen in the log. @param onSettled called then; may be empty.
    void settle(const ClaimItem &item, std::function<void()> onSettled);

    void stop();

private:
    struct Runner;

    Runner &runnerFor(const std::string &key);

    LogClientMaker m_makeLog;
    std::mutex m_mutex;
    std::map<int, std::unique_ptr<Runner>> m_runners;
};

} // namespace galenafold
