// A small stand-in for a plain service whose operations may not be repeated: it counts executions.
#pragma once

#include "clients/http.h"

#include <atomic>
#include <map>

namespace galenafold
{

enum class ServiceFault : std::uint8_t {
    None,
    RefuseNotRun, // 503 and "not run"
    LoseAnswer,   // executes, and closes without a whole answer
};

using ServiceFaultHook = std::function<ServiceFault(const RequestId &request)>;

class FakeService
{
public:
    FakeService(const VmId &id, Incarnation incarnation, std::chrono::milliseconds time);
    ~FakeService();

    bool start(const std::string &address = "127.0.0.1");
    void stop();
    VmRecord record(const std::vector<PoolId> &pools, const DataCentreId &dataCentre) const;
    void setFaultHook(ServiceFaultHook hook);
    void setSlowFactor(double factor) { m_slowFactor = factor; }

    std::map<std::string, int> executionsByKey() const;     ///< @return by idempotency key
    std::map<std::string, int> executionsByRequest() const; ///< @return by request id

private:
    void operate(const httplib::Request &request, httplib::Response &response);

    const VmId m_id;
    const Incarnation m_incarnation;
    const std::chrono::milliseconds m_time;
    std::atomic<double> m_slowFactor{1};
    HttpServer m_server;
    mutable std::mutex m_mutex;
    ServiceFaultHook m_faultHook;
    std::map<std::string, int> m_byKey;
    std::map<std::string, int> m_byRequest;
    int m_executions = 0;
};

} // namespace galenafold
