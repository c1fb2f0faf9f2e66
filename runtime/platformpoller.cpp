// Polls the contract stream, the list of VMs, and the load and cache evictions of engines.
#include "runtime/platformpoller.h"

#include "clients/endpoint.h"

#include <algorithm>
#include <glog/logging.h>

namespace galenafold
{

constexpr auto contractLongPoll = std::chrono::milliseconds(1000); // the log delays an empty reply this long
constexpr auto logRetryDelay = std::chrono::milliseconds(200);
constexpr auto vmListInterval = std::chrono::milliseconds(500);
constexpr auto probeRoundInterval = std::chrono::milliseconds(500);
constexpr std::ptrdiff_t probersPerEndpoint = 2; // entry VMs that probe the same endpoint
constexpr std::size_t probesPerRound = 2;
constexpr std::size_t cyclesPerEventRead = 4; // every engine is probed once a cycle; cache events only refine placement
constexpr std::size_t probeThreads = 16;      // limit; they also append snapshots

PlatformPoller::PlatformPoller(const Settings &settings, ControlThread &control)
    : m_settings(settings)
    , m_control(control)
    , m_pool(probeThreads)
{
}

PlatformPoller::~PlatformPoller()
{
    stop();
}

void PlatformPoller::start()
{
    m_threads.emplace_back([this] { pollContracts(); });
    m_threads.emplace_back([this] { pollVmList(); });
    m_threads.emplace_back([this] { probeEndpoints(); });
}

void PlatformPoller::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_stopSignal.notify_all();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    m_pool.shutdown();
}

bool PlatformPoller::waitFor(std::chrono::milliseconds time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_stopSignal.wait_for(lock, time, [this] { return m_isStopping; });
    return !m_isStopping;
}

void PlatformPoller::pollContracts()
{
    const std::unique_ptr<LogClient> log = makeHttpLogClient(m_settings.logAddress);
    LogOffset next = 0;
    bool wasReachable = true;
    while (waitFor(std::chrono::milliseconds(0))) {
        next = std::max(next, m_control.nextContractOffset());
        const ReadResult result = log->read("contracts", next, contractLongPoll);
        LOG_IF(WARNING, wasReachable && !result.isOk)
            << "contracts: the log did not answer; retrying, those in force stay unchanged";
        wasReachable = result.isOk;
        if (!result.isOk) {
            waitFor(logRetryDelay);
            continue;
        }
        std::vector<LogRecord> records;
        for (const StoredRecord &record : result.records) {
            records.push_back({record.offset, record.value});
            next = std::max(next, record.offset + 1);
        }
        m_control.onContractRecords(records, result.firstRetained, result.end);
    }
}

void PlatformPoller::pollVmList()
{
    bool wasReachable = true;
    std::string etag;
    do {
        std::vector<VmRecord> list;
        const VmListStatus result = fetchVmList(m_settings.vmListAddress, etag, list);
        const bool isGood = result != VmListStatus::Failed;
        LOG_IF(WARNING, wasReachable && !isGood)
            << "members: the VM list did not answer; retrying, membership stays unchanged";
        wasReachable = isGood;
        if (result == VmListStatus::Changed) {
            m_control.onVmList(list);
        }
    } while (waitFor(vmListInterval));
}

/// @return engines that this VM probes: those whose rendezvous hashing ranks it among the first `probersPerEndpoint`
/// entry VMs
std::vector<VmRecord> PlatformPoller::assignedEndpoints(const ControlSnapshot &snapshot) const
{
    std::vector<std::uint64_t> otherHashes;
    for (const VmRecord &vm : snapshot.entryVms) {
        if (vm.id != m_settings.name) {
            otherHashes.push_back(hashName(vm.id.text));
        }
    }
    std::vector<VmRecord> result;
    const std::uint64_t selfHash = hashName(m_settings.name.text);
    for (const VmRecord &endpoint : snapshot.endpoints) {
        const std::uint64_t hash = hashName(endpoint.id.text);
        const std::uint64_t own = rendezvousScore(hash, selfHash);
        const auto ranksHigher = [&](std::uint64_t other) { return rendezvousScore(hash, other) > own; };
        const auto higherCount = std::count_if(otherHashes.begin(), otherHashes.end(), ranksHigher);
        if (higherCount < probersPerEndpoint && endpoint.kind == VmKind::Engine) {
            result.push_back(endpoint);
        }
    }
    return result;
}

void PlatformPoller::probe(const VmRecord &endpoint, bool withCacheEvents)
{
    LoadReport report;
    if (!fetchLoad(endpoint, report)) {
        return;
    }
    m_control.onLoadReport(report);
    if (!withCacheEvents) {
        return;
    }
    const std::string key = endpoint.id.text + '/' + std::to_string(static_cast<std::uint64_t>(endpoint.incarnation));
    std::int64_t from = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        from = m_cacheOffsets[key];
    }
    std::vector<ChatId> evicted;
    if (fetchCacheEvents(endpoint, from, evicted)) {
        m_control.onPrefixEvicted(endpoint.id, evicted);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_cacheOffsets[key] = from;
    }
}

/// Probes the assigned engines round-robin, `probesPerRound` in each round, so the cost does not grow with their
/// number. With many engines each is probed rarely, and the load figures in their responses to calls have to suffice.
void PlatformPoller::probeEndpoints()
{
    std::vector<VmRecord> assigned;
    std::uint64_t version = 0;
    std::size_t probeCount = 0;
    do {
        const auto snapshot = m_control.snapshot();
        if (snapshot->membershipVersion != version) {
            version = snapshot->membershipVersion;
            assigned = assignedEndpoints(*snapshot);
        }
        for (std::size_t i = 0; i < std::min(assigned.size(), probesPerRound); ++i) {
            const VmRecord endpoint = assigned[probeCount % assigned.size()];
            const bool withCacheEvents = (probeCount / assigned.size()) % cyclesPerEventRead == 0;
            ++probeCount;
            m_pool.enqueue([this, endpoint, withCacheEvents] { probe(endpoint, withCacheEvents); });
        }
    } while (waitFor(probeRoundInterval));
}

void PlatformPoller::appendContractSnapshot(const std::string &record)
{
    m_pool.enqueue([this, record] {
        const AppendResult result = makeHttpLogClient(m_settings.logAddress)->append("contracts", record);
        LOG_IF(WARNING, result.state != AppendState::Appended)
            << "contracts: the log did not acknowledge a snapshot, which may not have been written";
    });
}

} // namespace galenafold
