// Following the platform.
#include "shell/followers.h"

#include "clients/endpoint.h"

#include <algorithm>
#include <glog/logging.h>

namespace galenafold
{

constexpr auto contractWait = std::chrono::milliseconds(1000); // the log holds an empty answer back this long
constexpr auto retryAfter = std::chrono::milliseconds(200);
constexpr auto vmListEvery = std::chrono::milliseconds(500);
constexpr auto probeInterval = std::chrono::milliseconds(500);
constexpr std::ptrdiff_t probersOfEndpoint = 2;
constexpr std::size_t probesInRound = 2;
constexpr std::size_t roundsBetweenEvents = 4; // cache events only refine
constexpr std::size_t probeThreads = 16;

Followers::Followers(const Settings &settings, Core &core)
    : m_settings(settings)
    , m_core(core)
    , m_pool(probeThreads)
{
}

Followers::~Followers()
{
    stop();
}

void Followers::start()
{
    m_threads.emplace_back([this] { followContracts(); });
    m_threads.emplace_back([this] { followVmList(); });
    m_threads.emplace_back([this] { probeEndpoints(); });
}

void Followers::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    m_pool.shutdown();
}

bool Followers::waitFor(std::chrono::milliseconds time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_wake.wait_for(lock, time, [this] { return m_isStopping; });
    return !m_isStopping;
}

void Followers::followContracts()
{
    const std::unique_ptr<LogClient> log = makeHttpLogClient(m_settings.logAddress);
    LogOffset next = 0;
    bool wasGood = true;
    while (waitFor(std::chrono::milliseconds(0))) {
        next = std::max(next, m_core.nextContractOffset());
        const ReadResult result = log->read("contracts", next, contractWait);
        LOG_IF(WARNING, wasGood && !result.isGood) << "contracts: the log does not answer";
        wasGood = result.isGood;
        if (!result.isGood) {
            waitFor(retryAfter);
            continue;
        }
        std::vector<LogRecord> records;
        for (const StoredRecord &record : result.records) {
            records.push_back({record.offset, record.value});
            next = std::max(next, record.offset + 1);
        }
        m_core.onContractRecords(records, result.firstRetained, result.end);
    }
}

void Followers::followVmList()
{
    bool wasGood = true;
    std::string etag;
    do {
        std::vector<VmRecord> list;
        const VmListStatus result = fetchVmList(m_settings.vmListAddress, etag, list);
        const bool isGood = result != VmListStatus::Failed;
        LOG_IF(WARNING, wasGood && !isGood) << "members: the VM list does not answer";
        wasGood = isGood;
        if (result == VmListStatus::Changed) {
            m_core.onVmList(list);
        }
    } while (waitFor(vmListEvery));
}

/// @return endpoints that this VM probes: it is among the first few in the endpoint's rendezvous order of entry VMs
std::vector<VmRecord> Followers::duties(const ControlSnapshot &snapshot) const
{
    std::vector<std::uint64_t> others;
    for (const VmRecord &vm : snapshot.entryVms) {
        if (vm.id != m_settings.name) {
            others.push_back(hashName(vm.id.text));
        }
    }
    std::vector<VmRecord> result;
    const std::uint64_t self = hashName(m_settings.name.text);
    for (const VmRecord &endpoint : snapshot.endpoints) {
        const std::uint64_t hash = hashName(endpoint.id.text);
        const std::uint64_t own = rendezvousScore(hash, self);
        const auto isBefore = [&](std::uint64_t other) { return rendezvousScore(hash, other) > own; };
        const auto before = std::count_if(others.begin(), others.end(), isBefore);
        if (before < probersOfEndpoint && endpoint.kind == VmKind::Engine) {
            result.push_back(endpoint);
        }
    }
    return result;
}

void Followers::probe(const VmRecord &endpoint, bool withEvents)
{
    LoadReport report;
    if (!fetchLoad(endpoint, report)) {
        return;
    }
    m_core.onLoadReport(report);
    if (!withEvents) {
        return;
    }
    const std::string key = endpoint.id.text + '/' + std::to_string(static_cast<std::uint64_t>(endpoint.incarnation));
    std::int64_t from = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        from = m_cacheOffsets[key];
    }
    std::vector<ChatId> dropped;
    if (fetchCacheEvents(endpoint, from, dropped)) {
        m_core.onContextEvicted(endpoint.id, dropped);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_cacheOffsets[key] = from;
    }
}

/// A few probes a round, in turn: where there are many endpoints, what their answers to calls say must do.
void Followers::probeEndpoints()
{
    std::vector<VmRecord> mine;
    std::uint64_t version = 0;
    std::size_t turn = 0;
    do {
        const auto snapshot = m_core.snapshot();
        if (snapshot->membersVersion != version) {
            version = snapshot->membersVersion;
            mine = duties(*snapshot);
        }
        for (std::size_t i = 0; i < std::min(mine.size(), probesInRound); ++i) {
            const VmRecord endpoint = mine[turn % mine.size()];
            const bool withEvents = (turn / mine.size()) % roundsBetweenEvents == 0;
            ++turn;
            m_pool.enqueue([this, endpoint, withEvents] { probe(endpoint, withEvents); });
        }
    } while (waitFor(probeInterval));
}

void Followers::appendSnapshot(const std::string &record)
{
    m_pool.enqueue([this, record] {
        const AppendResult result = makeHttpLogClient(m_settings.logAddress)->append("contracts", record);
        LOG_IF(WARNING, result.state != AppendState::Appended) << "contracts: snapshot was not confirmed";
    });
}

} // namespace galenafold
