// Polls the platform from background threads: the contract stream, the list of VMs, and the load and cache evictions
// of engines.
#pragma once

#include "clients/http.h"
#include "clients/log.h"
#include "runtime/controlthread.h"

namespace galenafold
{

/// Passes everything that it reads to the control thread.
class PlatformPoller
{
public:
    /// @param control must outlive this object
    PlatformPoller(const Settings &settings, ControlThread &control);
    ~PlatformPoller();
    void start();
    void stop(); ///< Ends all threads and waits for them.

    /// Appends a contract snapshot to the log. Returns at once: a pool thread makes the call, without a retry.
    void appendContractSnapshot(const std::string &record);

private:
    bool waitFor(std::chrono::milliseconds time); ///< @return false once `stop` was called
    void pollContracts();
    void pollVmList();
    void probeEndpoints();
    std::vector<VmRecord> assignedEndpoints(const ControlSnapshot &snapshot) const;
    void probe(const VmRecord &endpoint, bool withCacheEvents);

    Settings m_settings;
    ControlThread &m_control;
    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    bool m_isStopping = false;
    std::map<std::string, std::int64_t> m_cacheOffsets; // next cache event, by endpoint/incarnation; under m_mutex
    std::vector<std::thread> m_threads;
    DynamicThreadPool m_pool;
};

} // namespace galenafold
