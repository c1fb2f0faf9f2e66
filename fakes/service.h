// Fake of a plain service whose operations must not be executed twice: it counts the executions, so that tests can
// check this.
#pragma once

#include "clients/http.h"

#include <atomic>
#include <map>

namespace galenafold
{

enum class ServiceFault : std::uint8_t {
    None,
    RefuseNotExecuted, // responds 503 and states that the operation was not executed
    DropResponse,      // executes the operation, then closes the connection without a complete response
};

/// Selects the fault of one request. Called on the service's server threads.
using ServiceFaultHook = std::function<ServiceFault(const RequestId &request)>;

/// HTTP server of one fake service.
class FakeService
{
public:
    /// @param serviceTime duration of one execution
    FakeService(const VmId &id, Incarnation incarnation, std::chrono::milliseconds serviceTime);
    ~FakeService();

    /// Listens on a free port of an IP address. @return false if that fails
    bool start(const std::string &address = "127.0.0.1");

    void stop();

    /// @return the service's entry in the list of VMs
    VmRecord record(const std::vector<PoolId> &pools, const DataCentreId &dataCentre) const;

    void setFaultHook(ServiceFaultHook hook);
    void setSlowFactor(double factor) { m_slowFactor = factor; } ///< Multiplies the execution time; default 1.
    void setPadding(std::size_t bytes) { m_padding = bytes; }    ///< Lengthens each response; default 0.

    std::map<std::string, int> executionsByKey() const;     ///< @return executions by idempotency key
    std::map<std::string, int> executionsByRequest() const; ///< @return executions by request id

private:
    void handleOperation(const httplib::Request &request, httplib::Response &response);

    const VmId m_id;
    const Incarnation m_incarnation;
    const std::chrono::milliseconds m_serviceTime;
    std::atomic<double> m_slowFactor{1};
    std::atomic<std::size_t> m_padding{0};
    HttpServer m_server;
    mutable std::mutex m_mutex;
    ServiceFaultHook m_faultHook;
    std::map<std::string, int> m_executionsByKey;
    std::map<std::string, int> m_executionsByRequest;
    int m_executionCount = 0;
};

} // namespace galenafold
