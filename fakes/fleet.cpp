// Implements the in-process fleet and its sample data.
#include "fakes/fleet.h"

#include "clients/endpoint.h"
#include "filters/authenticate.h"

#include <cstdio>
#include <sstream>

namespace galenafold
{

constexpr auto startTimeout = std::chrono::seconds(20);
constexpr auto pollInterval = std::chrono::milliseconds(5);

std::string makeUuidV7(UnixMillis time, std::uint64_t serial)
{
    char text[40];
    const auto millis = static_cast<unsigned long long>(time.count());
    std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-8%03llx-%012llx", (millis >> 16) & 0xffffffffULL,
                  millis & 0xffffULL, static_cast<unsigned long long>(serial & 0xfff),
                  static_cast<unsigned long long>((serial >> 12) & 0xfff),
                  static_cast<unsigned long long>(serial >> 24));
    return text;
}

std::string sampleContract(const std::string &customer, const std::string &key, double rate, double concurrency)
{
    std::ostringstream out;
    out << "[contract]\ncustomer = " << customer << "\nweight = 1\npriority = 5\nrate = " << rate
        << "\nconcurrency = " << concurrency << "\nmodels = tea-large\nservices = ledger\nkey_window_seconds = 600\n"
        << "[key.main]\nsha256 = " << hashApiKey(key) << '\n'
        << "[class.condition-tag]\ntask = condition-tag\nlane = short\nexpected_output = 8\npatience_ms = 10000\n"
        << "[class.stock-lookup]\ntask = stock-lookup\nlane = short\nexpected_output = 8\npatience_ms = 10000\n"
        << "[class.reservation]\noperation = reserve\nlane = short\nexpected_output = 1\npatience_ms = 10000\n"
        << "idempotent = no\n"
        << "[class.appraisal]\ntask = appraisal\nlane = long\nexpected_output = 200\npatience_ms = 60000\n"
        << "[class.chat]\nlane = short\nexpected_output = 32\npatience_ms = 30000\n";
    return out.str();
}

Fleet::Fleet(const FleetPlan &plan)
    : m_plan(plan)
{
    m_log.start();
    m_vmList.start();
    m_secondVmList.start();
}

Fleet::~Fleet()
{
    std::vector<std::thread> stopThreads; // in parallel, as each daemon waits for its long polls to end
    for (DaemonEntry &entry : m_daemons) {
        stopThreads.emplace_back([&entry] { entry.daemon.reset(); });
    }
    for (std::thread &stopThread : stopThreads) {
        stopThread.join();
    }
    for (std::thread &stopThread : m_stopThreads) {
        stopThread.join();
    }
    for (EngineEntry &entry : m_engines) {
        entry.engine->stop();
    }
}

bool Fleet::start()
{
    for (int i = 0; i < m_plan.engines; ++i) {
        addEngine();
    }
    for (int i = 0; i < m_plan.services; ++i) {
        const VmId id{"service-" + std::to_string(i + 1)};
        m_services.push_back(std::make_unique<FakeService>(id, Incarnation(m_nextIncarnation++), m_plan.serviceTime));
        m_services.back()->start();
    }
    for (int i = 0; i < m_plan.daemons; ++i) {
        if (!startDaemon()) {
            return false;
        }
    }
    publishList();
    bool isReady = true;
    const Instant deadline = clockNow() + startTimeout;
    for (DaemonEntry &entry : m_daemons) {
        isReady = isReady && (!waitsForReadiness || entry.daemon->waitReady(deadline));
    }
    return isReady;
}

bool Fleet::startDaemon()
{
    Settings settings = m_plan.settings;
    settings.name = {"entry-" + std::to_string(m_nextDaemon)};
    settings.dataCentre = {"dc-" + std::to_string(m_nextDaemon % 3 + 1)};
    settings.seed = m_plan.settings.seed + static_cast<std::uint64_t>(m_nextDaemon);
    settings.logAddress = m_log.address();
    settings.logDescriptor = -1;
    settings.vmListAddress = m_nextDaemon % 2 == 0 ? m_secondVmList.address() : m_vmList.address();
    ++m_nextDaemon;
    m_daemons.push_back({settings.name, std::make_unique<Daemon>(settings)});
    return m_daemons.back().daemon->start();
}

void Fleet::addDaemon()
{
    startDaemon();
    publishList();
}

void Fleet::drainDaemon(std::size_t index)
{
    DaemonEntry entry = std::move(m_daemons[index]);
    m_daemons.erase(m_daemons.begin() + static_cast<std::ptrdiff_t>(index));
    entry.daemon->beginDrain();
    publishList();
    entry.daemon->finishDrain();
}

void Fleet::killDaemon(std::size_t index)
{
    m_daemons.erase(m_daemons.begin() + static_cast<std::ptrdiff_t>(index));
    publishList();
}

FakeEngine &Fleet::addEngine()
{
    const VmId id{"engine-" + std::to_string(m_nextEngine++)};
    m_engines.push_back({id, std::make_unique<FakeEngine>(id, Incarnation(m_nextIncarnation++), m_plan.engine), false});
    m_engines.back().engine->start();
    return *m_engines.back().engine;
}

void Fleet::removeEngine(std::size_t index)
{
    EngineEntry entry = std::move(m_engines[index]);
    m_engines.erase(m_engines.begin() + static_cast<std::ptrdiff_t>(index));
    publishList();
    entry.engine->stop();
}

void Fleet::replaceEngine(std::size_t index)
{
    addEngine();
    std::swap(m_engines[index], m_engines.back());
    std::shared_ptr<FakeEngine> removed = std::move(m_engines.back().engine);
    m_engines.pop_back();
    publishList();
    m_stopThreads.emplace_back([removed] { removed->stop(); });
}

void Fleet::setEngineHidden(std::size_t index, bool isHidden)
{
    m_engines[index].isHidden = isHidden;
    publishList();
}

void Fleet::markLeaving(const VmId &vm)
{
    m_leaving.insert(vm);
    publishList();
}

void Fleet::publishList()
{
    std::vector<VmRecord> list;
    for (const DaemonEntry &entry : m_daemons) {
        VmRecord record;
        record.id = entry.id;
        record.kind = VmKind::Entry;
        record.incarnation = Incarnation(1);
        record.address = "127.0.0.1";
        record.port = entry.daemon->httpPort();
        record.peerPort = entry.daemon->peerPort();
        list.push_back(record);
    }
    for (const EngineEntry &entry : m_engines) {
        if (!entry.isHidden) {
            list.push_back(entry.engine->record(m_plan.models, {"dc-1"}));
        }
    }
    for (const auto &service : m_services) {
        list.push_back(service->record(m_plan.serviceNames, {"dc-1"}));
    }
    for (VmRecord &record : list) {
        record.state = m_leaving.count(record.id) > 0 ? VmState::Leaving : VmState::Live;
    }
    m_vmList.set(list);
    if (!m_isSecondListFrozen) {
        m_secondVmList.set(list);
    }
}

void Fleet::freezeSecondVmList()
{
    m_isSecondListFrozen = true;
}

LogOffset Fleet::publish(const std::string &customer, const std::string &ini, std::int64_t base)
{
    ContractRecord record;
    record.customer = {customer};
    record.base = base;
    record.nonce = customer + '-' + std::to_string(base);
    record.ini = ini;
    return makeHttpLogClient(m_log.address())->append("contracts", encodeContractRecord(record)).offset;
}

bool Fleet::waitForVersion(const std::string &customer, std::int64_t version, Instant deadline)
{
    const std::string expected = '"' + customer + "\":" + std::to_string(version);
    for (DaemonEntry &entry : m_daemons) {
        while (true) {
            httplib::Client client("127.0.0.1", entry.daemon->httpPort());
            const auto response = client.Get("/status");
            if (response && response->body.find(expected) != std::string::npos) {
                break;
            }
            if (clockNow() >= deadline) {
                return false;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

} // namespace galenafold
