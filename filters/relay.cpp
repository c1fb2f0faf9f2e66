// Checks of answers.
#include "filters/relay.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr std::size_t maxEventBytes = 1 << 20;

StreamGuard::StreamGuard(const RequestId &request, Tokens relayed)
    : m_request(request)
    , m_relayed(relayed)
{
}

void StreamGuard::breakStream(const std::string &fault)
{
    m_state = StreamState::Broken;
    m_fault = fault;
}

std::string StreamGuard::feed(const char *data, std::size_t size)
{
    std::string out;
    m_pending.append(data, size);
    while (m_state == StreamState::Open) {
        const std::size_t end = m_pending.find("\n\n");
        if (end == std::string::npos) {
            break;
        }
        const std::string event = m_pending.substr(0, end + 2);
        m_pending.erase(0, end + 2);
        out += takeEvent(event);
    }
    if (m_state == StreamState::Open && m_pending.size() > maxEventBytes) {
        breakStream("event of request '" + m_request.text + "' is too long");
    }
    return out;
}

std::string StreamGuard::takeEvent(const std::string &event)
{
    static const std::string prefix = "data: ";
    if (event.compare(0, prefix.size(), prefix) != 0) {
        breakStream("event without data in the answer to '" + m_request.text + "'");
        return {};
    }
    const std::string data = event.substr(prefix.size(), event.size() - prefix.size() - 2);
    if (data == "[DONE]") {
        m_state = StreamState::Done;
        return event;
    }
    const Json json = Json::parse(data, nullptr, false);
    const bool isChunk = json.is_object() && json.contains("id") && json["id"].is_string() && json.contains("token")
        && json["token"].is_number();
    if (!isChunk) {
        breakStream("event that is no chunk in the answer to '" + m_request.text + "'");
        return {};
    }
    if (json["id"] != m_request.text) {
        breakStream("answer to '" + json["id"].get<std::string>() + "' came for '" + m_request.text + "'");
        return {};
    }
    const Tokens token = json["token"].get<double>();
    if (token <= m_relayed) {
        return {};
    }
    if (token != m_relayed + 1) {
        breakStream("gap before token " + std::to_string(static_cast<long>(token)) + " of '" + m_request.text + "'");
        return {};
    }
    m_relayed = token;
    return event;
}

std::string checkWholeAnswer(const WholeAnswer &answer, const RequestId &request)
{
    if (answer.echoedRequest != request.text) {
        return "answer to '" + answer.echoedRequest + "' came for '" + request.text + "'";
    }
    if (!answer.isModel) {
        return {};
    }
    const Json json = Json::parse(answer.body, nullptr, false);
    if (!json.is_object() || json.value("id", Json()) != Json(request.text)) {
        return "body does not name request '" + request.text + "'";
    }
    return {};
}

} // namespace galenafold
