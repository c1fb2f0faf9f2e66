// Worker threads that run the claim batchers of the partitions.
#include "runtime/claimworkers.h"

#include "clients/endpoint.h"

#include <glog/logging.h>

namespace galenafold
{

constexpr auto busyPollInterval = std::chrono::milliseconds(10); // while items or claims are pending
constexpr auto idlePollInterval = std::chrono::milliseconds(1000);

/// Batcher, thread and log client of one partition.
struct ClaimWorkers::Worker {
    explicit Worker(int partition, std::unique_ptr<LogClient> client)
        : stream(claimStream(partition))
        , log(std::move(client))
        , thread([this] { run(); })
    {
    }
    ~Worker()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            isStopping = true;
        }
        wakeUp.notify_all();
        thread.join();
    }

    void enqueue(const ClaimItem &item, Instant answerBy, ClaimCallback callback);
    bool isBusy() const { return batcher.unsettled() > 0 || batcher.waiting() > 0; }
    void run();
    void append(std::unique_lock<std::mutex> &lock, const std::vector<ClaimItem> &items);
    void read(std::unique_lock<std::mutex> &lock);
    void deliverAnswers(std::unique_lock<std::mutex> &lock, const ClaimActions &actions);

    const std::string stream;
    const std::unique_ptr<LogClient> log;
    std::mutex mutex;
    std::condition_variable wakeUp;
    ClaimBatcher batcher;
    std::map<std::string, ClaimCallback> callbacks; // by nonce
    bool isStopping = false;
    std::thread thread; // last: it uses all members above
};

void ClaimWorkers::Worker::enqueue(const ClaimItem &item, Instant answerBy, ClaimCallback callback)
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (callback) {
        callbacks[item.nonce] = std::move(callback);
    }
    batcher.onItem(clockNow(), item, answerBy);
    wakeUp.notify_all();
}

void ClaimWorkers::Worker::run()
{
    std::unique_lock<std::mutex> lock(mutex);
    while (!isStopping) {
        const ClaimActions actions = batcher.onTick(clockNow());
        deliverAnswers(lock, actions);
        if (!actions.append.empty()) {
            append(lock, actions.append);
        } else if (actions.mustRead) {
            read(lock);
        } else {
            wakeUp.wait_for(lock, isBusy() ? busyPollInterval : idlePollInterval);
        }
    }
}

void ClaimWorkers::Worker::deliverAnswers(std::unique_lock<std::mutex> &lock, const ClaimActions &actions)
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

void ClaimWorkers::Worker::append(std::unique_lock<std::mutex> &lock, const std::vector<ClaimItem> &items)
{
    const std::string value = encodeClaims(items);
    lock.unlock();
    const AppendResult result = log->append(stream, value);
    lock.lock();
    LOG_IF(WARNING, result.state != AppendState::Appended)
        << "claims: append to '" << stream << "' was not acknowledged; pending claims missing there are appended again";
    batcher.onAppendEnded(clockNow(), result.state == AppendState::Appended);
}

void ClaimWorkers::Worker::read(std::unique_lock<std::mutex> &lock)
{
    const LogOffset from = batcher.readFrom();
    lock.unlock();
    const ReadResult result = log->read(stream, from, std::chrono::milliseconds(0));
    lock.lock();
    if (!result.isOk) {
        wakeUp.wait_for(lock, busyPollInterval * 5);
        return;
    }
    std::vector<ClaimRecord> records;
    for (const StoredRecord &record : result.records) {
        records.push_back({record.offset, record.time, record.value});
    }
    batcher.onRecords(clockNow(), records, result.firstRetained, result.end);
}

ClaimWorkers::ClaimWorkers(LogClientFactory logFactory)
    : m_logFactory(std::move(logFactory))
{
}

ClaimWorkers::~ClaimWorkers()
{
    stop();
}

ClaimWorkers::Worker &ClaimWorkers::workerFor(const std::string &key)
{
    const int partition = claimPartitionOf(key);
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Worker> &worker = m_workers[partition];
    if (!worker) {
        worker = std::make_unique<Worker>(partition, m_logFactory());
    }
    return *worker;
}

void ClaimWorkers::claim(const ClaimItem &item, Instant answerBy, ClaimCallback callback)
{
    workerFor(item.key).enqueue(item, answerBy, std::move(callback));
}

void ClaimWorkers::settle(const ClaimItem &item, std::function<void()> onSettled)
{
    ClaimCallback callback;
    if (onSettled) {
        callback = [onSettled](const ClaimAnswer &) { onSettled(); };
    }
    workerFor(item.key).enqueue(item, Instant::max(), std::move(callback));
}

void ClaimWorkers::stop()
{
    std::map<int, std::unique_ptr<Worker>> workers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        workers.swap(m_workers);
    }
}

} // namespace galenafold
