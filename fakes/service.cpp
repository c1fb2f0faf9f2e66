// Implements the fake service.
#include "fakes/service.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

FakeService::FakeService(const VmId &id, Incarnation incarnation, std::chrono::milliseconds serviceTime)
    : m_id(id)
    , m_incarnation(incarnation)
    , m_serviceTime(serviceTime)
    , m_server(ServerLimits{})
{
    m_server.http().Post(R"(/operations/(.+))", [this](const httplib::Request &request, httplib::Response &response) {
        handleOperation(request, response);
    });
}

FakeService::~FakeService()
{
    stop();
}

bool FakeService::start(const std::string &address)
{
    return m_server.start(address, 0);
}

void FakeService::stop()
{
    m_server.stop();
}

VmRecord FakeService::record(const std::vector<PoolId> &pools, const DataCentreId &dataCentre) const
{
    VmRecord record;
    record.id = m_id;
    record.kind = VmKind::Service;
    record.incarnation = m_incarnation;
    record.address = "127.0.0.1";
    record.port = m_server.port();
    record.dataCentre = dataCentre;
    record.pools = pools;
    return record;
}

void FakeService::setFaultHook(ServiceFaultHook hook)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faultHook = std::move(hook);
}

std::map<std::string, int> FakeService::executionsByKey() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_executionsByKey;
}

std::map<std::string, int> FakeService::executionsByRequest() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_executionsByRequest;
}

void FakeService::handleOperation(const httplib::Request &request, httplib::Response &response)
{
    const RequestId id{request.get_header_value("X-Request-Id")};
    ServiceFaultHook hook;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hook = m_faultHook;
    }
    const ServiceFault fault = hook ? hook(id) : ServiceFault::None;
    response.set_header("X-Request-Id", id.text);
    if (fault == ServiceFault::RefuseNotExecuted) {
        response.status = 503;
        response.set_header("X-Request-Run", "no");
        response.set_content("{}", "application/json");
        return;
    }
    int execution = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        execution = ++m_executionCount;
        ++m_executionsByRequest[id.text];
        if (request.has_header("Idempotency-Key")) {
            ++m_executionsByKey[request.get_header_value("Idempotency-Key")];
        }
    }
    std::this_thread::sleep_for(m_serviceTime * m_slowFactor.load());
    if (fault == ServiceFault::DropResponse) {
        // A content provider that fails makes the server close the connection during the response.
        response.set_content_provider(10, "application/json",
                                      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        return;
    }
    Json json{{"operation", request.matches[1].str()}, {"execution", execution}, {"vm", m_id.text}};
    if (m_padding > 0) {
        json["padding"] = std::string(m_padding, 'x');
    }
    response.set_content(json.dump(), "application/json");
}

} // namespace galenafold
