// HTTP clients of the platform's log service and list of VMs.
#include "clients/log.h"

#include "clients/http.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr auto connectTimeout = std::chrono::milliseconds(500);
constexpr auto responseTimeout = std::chrono::milliseconds(2000);

class HttpLogClient : public LogClient
{
public:
    explicit HttpLogClient(const HostPort &address)
        : m_client(address.host, address.port)
    {
        m_client.set_keep_alive(true);
    }

    AppendResult append(const std::string &stream, const std::string &value) override;
    ReadResult read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait) override;

private:
    httplib::Client m_client;
};

std::unique_ptr<LogClient> makeHttpLogClient(const std::string &address)
{
    return std::make_unique<HttpLogClient>(parseHostPort(address));
}

AppendResult HttpLogClient::append(const std::string &stream, const std::string &value)
{
    configureClient(m_client, connectTimeout, responseTimeout);
    const std::string body = Json{{"value", value}}.dump(-1, ' ', false, Json::error_handler_t::replace);
    const auto response = m_client.Post("/streams/" + stream + "/records", body, "application/json");
    if (!response) {
        const bool isUnsent =
            response.error() == httplib::Error::Connection || response.error() == httplib::Error::ConnectionTimeout;
        return {isUnsent ? AppendState::NotAppended : AppendState::Unknown, -1};
    }
    if (response->status == 503) {
        return {AppendState::NotAppended, -1};
    }
    const Json json = Json::parse(response->body, nullptr, false);
    if (response->status != 200 || !json.is_object() || !json.value("offset", Json()).is_number_integer()) {
        return {AppendState::Unknown, -1};
    }
    return {AppendState::Appended, json["offset"].get<LogOffset>()};
}

static ReadResult decodeRead(const Json &json)
{
    ReadResult result;
    result.firstRetained = json.at("first").get<LogOffset>();
    result.end = json.at("end").get<LogOffset>();
    for (const Json &item : json.at("records")) {
        StoredRecord record;
        record.offset = item.at("offset").get<LogOffset>();
        record.time = UnixMillis(item.at("time_ms").get<std::int64_t>());
        record.value = item.at("value").get<std::string>();
        result.records.push_back(record);
    }
    result.isOk = true;
    return result;
}

ReadResult HttpLogClient::read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait)
{
    configureClient(m_client, connectTimeout, responseTimeout + wait);
    const std::string path =
        "/streams/" + stream + "/records?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(wait.count());
    const auto response = m_client.Get(path);
    if (!response || response->status != 200) {
        return {};
    }
    const Json json = Json::parse(response->body, nullptr, false);
    try {
        return json.is_object() ? decodeRead(json) : ReadResult{};
    } catch (const Json::exception &) {
        return {};
    }
}

static VmRecord decodeVm(const Json &json)
{
    VmRecord record;
    const std::string kind = json.at("kind").get<std::string>();
    record.id = {json.at("id").get<std::string>()};
    record.kind = kind == "entry" ? VmKind::Entry : kind == "service" ? VmKind::Service : VmKind::Engine;
    record.state = json.at("state") == "leaving" ? VmState::Leaving : VmState::Live;
    record.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
    record.address = json.at("address").get<std::string>();
    record.port = json.at("port").get<int>();
    record.peerPort = json.value("peer_port", 0);
    record.dataCentre = {json.value("data_centre", std::string())};
    for (const Json &pool : json.value("pools", Json::array())) {
        record.pools.push_back({pool.get<std::string>()});
    }
    return record;
}

VmListStatus fetchVmList(const std::string &address, std::string &etag, std::vector<VmRecord> &list)
{
    const HostPort host = parseHostPort(address);
    httplib::Client client(host.host, host.port);
    configureClient(client, connectTimeout, responseTimeout);
    const httplib::Headers headers = etag.empty() ? httplib::Headers{} : httplib::Headers{{"If-None-Match", etag}};
    const auto response = client.Get("/vms", headers);
    if (response && response->status == 304) {
        return VmListStatus::NotModified;
    }
    if (!response || response->status != 200) {
        return VmListStatus::Failed;
    }
    const Json json = Json::parse(response->body, nullptr, false);
    std::vector<VmRecord> vms;
    try {
        for (const Json &vm : json.at("vms")) {
            vms.push_back(decodeVm(vm));
        }
    } catch (const Json::exception &) {
        return VmListStatus::Failed;
    }
    list = vms;
    etag = response->get_header_value("ETag");
    return VmListStatus::Changed;
}

} // namespace galenafold
