// Validation and relaying of responses.
#include "filters/relay.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

constexpr std::size_t maxEventBytes = 1 << 20; // of one incomplete event
constexpr std::size_t maxBodyBytes = 16 << 20; // of a response that is not streamed
constexpr int firstServerErrorStatus = 500;    // HTTP 5xx

StreamValidator::StreamValidator(const RequestId &request, Tokens relayed)
    : m_request(request)
    , m_relayed(relayed)
{
}

void StreamValidator::breakStream(const std::string &fault)
{
    m_state = StreamState::Broken;
    m_fault = fault;
}

std::string StreamValidator::feed(const char *data, std::size_t size)
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
        out += validateEvent(event);
    }
    if (m_state == StreamState::Open && m_pending.size() > maxEventBytes) {
        breakStream("stream event for request '" + m_request.text + "' exceeds the maximum size");
    }
    return out;
}

std::string StreamValidator::validateEvent(const std::string &event)
{
    static const std::string prefix = "data: ";
    if (event.compare(0, prefix.size(), prefix) != 0) {
        breakStream("stream event without a data field in the response to '" + m_request.text + "'");
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
        breakStream("stream event that is not a valid chunk in the response to '" + m_request.text + "'");
        return {};
    }
    if (json["id"] != m_request.text) {
        breakStream("response to '" + json["id"].get<std::string>() + "' received for '" + m_request.text + "'");
        return {};
    }
    const Tokens token = json["token"].get<double>();
    if (token <= m_relayed) {
        return {};
    }
    if (token != m_relayed + 1) {
        breakStream("tokens missing before token " + std::to_string(static_cast<long>(token)) + " of '" + m_request.text
                    + "'");
        return {};
    }
    m_relayed = token;
    return event;
}

std::string validateResponse(const BufferedResponse &response, const RequestId &request)
{
    if (response.echoedRequest != request.text) {
        return "response to '" + response.echoedRequest + "' received for '" + request.text + "'";
    }
    if (!response.isModel) {
        return {};
    }
    const Json json = Json::parse(response.body, nullptr, false);
    if (!json.is_object() || json.value("id", Json()) != Json(request.text)) {
        return "response body does not identify request '" + request.text + "'";
    }
    return {};
}

// Reader

ResponseReader::ResponseReader(const ResponseReaderParams &params, RelayHooks hooks)
    : m_params(params)
    , m_hooks(std::move(hooks))
    , m_validator(params.request, params.resumeFrom)
{
}

bool ResponseReader::onHead(const EndpointResponseHead &head)
{
    m_head = head;
    m_hasHead = true;
    if (head.hasLoad) {
        m_hooks.onLoad(head.load);
    }
    if (head.echoedRequest != m_params.request.text) {
        m_fault = "response to '" + head.echoedRequest + "' received for '" + m_params.request.text + "'";
        return false;
    }
    if (head.run == "no") {
        // Valid only because the id was checked first: this is not the refusal of another request.
        m_reportsNotRun = true;
        m_fault = "endpoint '" + m_params.endpoint.endpoint.text + "' reported that it did not execute the request";
        return false;
    }
    if (head.status >= firstServerErrorStatus || !head.isFramed) {
        m_fault = "endpoint '" + m_params.endpoint.endpoint.text + "' returned a 5xx or undelimited response, status "
            + std::to_string(head.status);
        return false;
    }
    m_isStreaming = m_params.isStream && head.status == 200;
    return true;
}

bool ResponseReader::win()
{
    if (m_hasWon) {
        return true;
    }
    CallerResponseHead head;
    head.status = m_head.status;
    head.contentType = m_head.contentType;
    head.servedBy = m_params.endpoint;
    head.reusedPrompt = m_head.reusedPrompt;
    head.isStream = m_isStreaming;
    m_hasWon = m_hooks.win(head);
    return m_hasWon;
}

bool ResponseReader::relay(const std::string &bytes)
{
    const bool isAccepted = bytes.empty() || (win() && m_hooks.push(bytes, m_validator.relayed()));
    m_isUnwanted = m_isUnwanted || !isAccepted;
    return isAccepted;
}

bool ResponseReader::onData(const char *data, std::size_t size)
{
    if (!m_isStreaming) {
        m_body.append(data, size);
        return m_body.size() <= maxBodyBytes;
    }
    const std::string bytes = m_validator.feed(data, size);
    const bool isRelayed = relay(bytes);
    if (m_validator.state() == StreamState::Broken) {
        m_fault = m_validator.fault();
    }
    return isRelayed && m_validator.state() != StreamState::Broken;
}

void ResponseReader::finishBuffered(AttemptReport &report)
{
    const bool isModel = m_params.isModel && m_head.status == 200;
    const std::string fault = validateResponse({m_head.echoedRequest, m_body, isModel}, m_params.request);
    if (!fault.empty()) {
        m_fault = fault;
        report.state = AttemptState::MaybeSent;
        return;
    }
    if (!relay(m_body.empty() ? "\n" : m_body)) {
        report.isCancelled = true;
        return;
    }
    report.state = AttemptState::Complete;
    report.generated = m_params.expectedOutput;
    m_hooks.finishResponse();
}

void ResponseReader::finishStream(ExchangeResult result, AttemptReport &report)
{
    report.relayed = m_validator.relayed();
    report.generated = m_validator.relayed();
    if (m_isUnwanted) {
        report.isCancelled = true; // another attempt won, or the caller disconnected
        report.relayed = m_params.resumeFrom;
        m_hooks.onAttemptFailed();
        return;
    }
    if (m_validator.state() == StreamState::Done) {
        report.state = AttemptState::Complete;
        m_hooks.finishResponse();
        return;
    }
    if (m_fault.empty()) {
        m_fault =
            result == ExchangeResult::Complete ? "stream ended without its final event" : "stream was interrupted";
    }
    report.state =
        m_validator.relayed() > m_params.resumeFrom || m_hasWon ? AttemptState::Streaming : AttemptState::Head;
    m_hooks.onAttemptFailed();
}

AttemptReport ResponseReader::finish(ExchangeResult result, bool isCancelled)
{
    AttemptReport report;
    report.call = m_params.call;
    report.attempt = m_params.attempt;
    report.isCancelled = isCancelled;
    report.reportsNotRun = m_reportsNotRun;
    report.reportsLeaving = m_hasHead && m_head.hasLoad && m_head.load.isLeaving;
    report.state = result == ExchangeResult::NotSent ? AttemptState::NotSent : AttemptState::MaybeSent;
    report.relayed = m_params.resumeFrom;
    if (m_isStreaming) {
        finishStream(result, report);
    } else if (result == ExchangeResult::Complete && m_fault.empty()) {
        finishBuffered(report);
    } else if (m_fault.empty()) {
        m_fault = result == ExchangeResult::NotSent ? "no connection was made" : "response missing or incomplete";
    }
    return report;
}

} // namespace galenafold
