// Threads that follow the platform: the contract stream, the list of VMs, endpoints' loads and cache events.
#pragma once

#include "clients/http.h"
#include "clients/log.h"
#include "shell/core.h"

namespace galenafold
{

class Followers
{
public:
    Followers(const Settings &settings, Core &core);
    ~Followers();
    void start();
    void stop();
    void appendSnapshot(const std::string &record); ///< Handed to a thread of its own.

private:
    bool waitFor(std::chrono::milliseconds time); ///< @return false when stopping
    void followContracts();
    void followVmList();
    void probeEndpoints();
    std::vector<VmRecord> duties(const ControlSnapshot &snapshot) const;
    void probe(const VmRecord &endpoint, bool withEvents);

    Settings m_settings;
    Core &m_core;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::map<std::string, std::int64_t> m_cacheOffsets; // by endpoint and incarnation; under the mutex
    std::vector<std::thread> m_threads;
    DynamicThreadPool m_pool;
};

} // namespace galenafold
