// Threads that work claim desks.
#include "shell/desks.h"

#include "clients/endpoint.h"

#include <glog/logging.h>

namespace galenafold
{

constexpr auto busyTick = std::chrono::milliseconds(10);
constexpr auto idleTick = std::chrono::milliseconds(1000);

/// One partition's desk with its thread and its connection to the log.
struct Desks::Runner {
    explicit Runner(int partition, std::unique_ptr<LogClient> client)
        : stream(claimStream(partition))
        , log(std::move(client))
        , thread([this] { work(); })
    {
    }
    ~Runner()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            isStopping = true;
        }
        wake.notify_all();
        thread.join();
    }

    void put(const ClaimItem &item, Instant answerBy, ClaimCallback callback);
    bool isBusy() const { return desk.unsettled() > 0 || desk.waiting() > 0; }
    void work();
    void append(std::unique_lock<std::mutex> &lock, const std::vector<ClaimItem> &items);
    void read(std::unique_lock<std::mutex> &lock);
    void give(std::unique_lock<std::mutex> &lock, const ClaimActions &actions);

    const std::string stream;
    const std::unique_ptr<LogClient> log;
    std::mutex mutex;
    std::condition_variable wake;
    ClaimBatcher desk;
    std::map<std::string, ClaimCallback> callbacks; // by nonce
    bool isStopping = false;
    std::thread thread; // last: it uses all of the above
};

void Desks::Runner::put(const ClaimItem &item, Instant answerBy, ClaimCallback callback)
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (callback) {
        callbacks[item.nonce] = std::move(callback);
    }
    desk.onItem(clockNow(), item, answerBy);
    wake.notify_all();
}

void Desks::Runner::work()
{
    std::unique_lock<std::mutex> lock(mutex);
    while (!isStopping) {
        const ClaimActions actions = desk.onTick(clockNow());
        give(lock, actions);
        if (!actions.append.empty()) {
            append(lock, actions.append);
        } else if (actions.mustRead) {
            read(lock);
        } else {
            wake.wait_for(lock, isBusy() ? busyTick : idleTick);
        }
    }
}

void Desks::Runner::give(std::unique_lock<std::mutex> &lock, const ClaimActions &actions)
{
    std::vector<std::pair<std::string, ClaimAnswer>> answers = actions.answers;
    for (const std::string &nonce : actions.settled) {
        answers.emplace_back(nonce, ClaimAnswer{});
    }
    for (const auto &[nonce, answer] : answers) {
        const auto found = callbacks.find(nonce);
        if (found == callbacks.end()) {
            continue;
        }
        const ClaimCallback callback = std::move(found->second);
        callbacks.erase(found);
        lock.unlock();
        callback(answer);
        lock.lock();
    }
}

void Desks::Runner::append(std::unique_lock<std::mutex> &lock, const std::vector<ClaimItem> &items)
{
    const std::string value = encodeClaims(items);
    lock.unlock();
    const AppendResult result = log->append(stream, value);
    lock.lock();
    LOG_IF(WARNING, result.state != AppendState::Appended) << "claims: append to '" << stream << "' was not confirmed";
    desk.onAppendEnded(clockNow(), result.state == AppendState::Appended);
}

void Desks::Runner::read(std::unique_lock<std::mutex> &lock)
{
    const LogOffset from = desk.readFrom();
    lock.unlock();
    const ReadResult result = log->read(stream, from, std::chrono::milliseconds(0));
    lock.lock();
    if (!result.isGood) {
        wake.wait_for(lock, busyTick * 5);
        return;
    }
    std::vector<ClaimRecord> records;
    for (const StoredRecord &record : result.records) {
        records.push_back({record.offset, record.time, record.value});
    }
    desk.onRecords(clockNow(), records, result.firstRetained, result.end);
}

Desks::Desks(LogClientMaker makeLog)
    : m_makeLog(std::move(makeLog))
{
}

Desks::~Desks()
{
    stop();
}

Desks::Runner &Desks::runnerFor(const std::string &key)
{
    const int partition = claimPartitionOf(key);
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Runner> &runner = m_runners[partition];
    if (!runner) {
        runner = std::make_unique<Runner>(partition, m_makeLog());
    }
    return *runner;
}

void Desks::claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback)
{
    runnerFor(item.key).put(item, answerBy, std::move(callback));
}

void Desks::settle(const ClaimItem &item, std::function<void()> onSettled)
{
    ClaimCallback callback;
    if (onSettled) {
        callback = [onSettled](const ClaimAnswer &) { onSettled(); };
    }
    runnerFor(item.key).put(item, Instant::max(), std::move(callback));
}

void Desks::stop()
{
    std::map<int, std::unique_ptr<Runner>> runners;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        runners.swap(m_runners);
    }
}

} // namespace galenafold
