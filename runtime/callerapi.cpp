// Parsing of request bodies and hints, and error bodies.
//
// Sections of this file: Parsing, Errors.
#include "runtime/callerapi.h"

#include "control/loadview.h"

#include <nlohmann/json.hpp>

namespace galenafold
{

using Json = nlohmann::json;

// Parsing

static std::string messageText(const Json &message)
{
    const Json content = message.value("content", Json());
    return content.is_string() ? content.get<std::string>() : content.dump();
}

/// @return the stable prefix of a conversation: all messages up to the first one of the user
static std::string conversationPrefix(const Json &messages)
{
    std::string prefix;
    for (const Json &message : messages) {
        prefix += message.value("role", std::string()) + '\n' + messageText(message) + '\n';
        if (message.value("role", std::string()) == "user") {
            break;
        }
    }
    return prefix;
}

static std::string validateChat(const Json &json)
{
    if (!json.is_object()) {
        return "the body is not a JSON object";
    }
    if (!json.contains("model") || !json["model"].is_string()) {
        return "field 'model' must be a text";
    }
    if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty()) {
        return "field 'messages' must be a list that is not empty";
    }
    for (const Json &message : json["messages"]) {
        const bool isMessage = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content");
        if (!isMessage) {
            return "each of 'messages' must have a 'role' and a 'content'";
        }
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
        return "field 'stream' must be true or false";
    }
    const Json maxTokens = json.value("max_tokens", Json(1));
    if (!maxTokens.is_number_integer() || maxTokens.get<std::int64_t>() < 1) {
        return "field 'max_tokens' must be a whole number from 1";
    }
    return {};
}

ParsedChat parseChat(const std::string &body, const std::string &chat)
{
    ParsedChat parsed;
    const Json json = Json::parse(body, nullptr, false);
    parsed.error = validateChat(json);
    if (!parsed.error.empty()) {
        return parsed;
    }
    double bytes = 0;
    for (const Json &message : json["messages"]) {
        bytes += static_cast<double>(messageText(message).size());
    }
    RequestTraits &traits = parsed.traits;
    traits.pool = {json["model"].get<std::string>()};
    traits.isStream = json.value("stream", false);
    traits.prompt = bytes / bytesPerToken;
    traits.maxOutput = static_cast<double>(json.value("max_tokens", std::int64_t(0)));
    traits.chat = {chat.empty() ? std::to_string(hashName(conversationPrefix(json["messages"]))) : chat};
    parsed.isValid = true;
    return parsed;
}

AffinityHint parseHint(const std::string &text)
{
    const std::size_t slash = text.rfind('/');
    const std::string digits = slash == std::string::npos ? std::string() : text.substr(slash + 1);
    const bool isNumber =
        !digits.empty() && digits.size() < 19 && digits.find_first_not_of("0123456789") == std::string::npos;
    if (!isNumber) {
        return {};
    }
    return {{text.substr(0, slash)}, Incarnation(std::stoull(digits))};
}

std::string encodeHint(const AffinityHint &hint)
{
    return hint.endpoint.text + '/' + std::to_string(static_cast<std::uint64_t>(hint.incarnation));
}

// Errors

int httpStatusOf(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return 200;
    case Reason::BadRequest:
        return 400;
    case Reason::UnknownApiKey:
        return 401;
    case Reason::NotAllowed:
        return 404;
    case Reason::KeyExpired:
    case Reason::KeyInProgress:
        return 409;
    case Reason::TooLarge:
        return 413;
    case Reason::KeyMismatch:
        return 422;
    case Reason::OverRate:
    case Reason::OverConcurrency:
    case Reason::QueueFull:
        return 429;
    case Reason::EndpointFailed:
        return 502;
    case Reason::NotReady:
    case Reason::WouldMissDeadline:
    case Reason::NoEndpoint:
    case Reason::EndpointRefused:
    case Reason::RetryBudget:
    case Reason::LogUnavailable:
    case Reason::CallerDisconnected:
        return 503;
    }
    return 503;
}

std::string errorBody(Reason reason, ExecutionStatus executionStatus, const std::string &message)
{
    const Json error{
        {"message", message}, {"type", text(reason)}, {"code", text(reason)}, {"run", text(executionStatus)}};
    return Json{{"error", error}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string explainReason(Reason reason)
{
    switch (reason) {
    case Reason::NotReady:
        return "this router does not take calls now";
    case Reason::UnknownApiKey:
        return "no contract holds this API key";
    case Reason::NotAllowed:
        return "the contract does not name this model or service";
    case Reason::OverRate:
        return "the contract's rate is used up";
    case Reason::OverConcurrency:
        return "the contract's concurrency is used up";
    case Reason::QueueFull:
        return "too many calls wait in this lane";
    case Reason::WouldMissDeadline:
        return "the call could not end within the patience of its task class";
    case Reason::NoEndpoint:
        return "no live endpoint serves this model or service";
    case Reason::EndpointRefused:
        return "the endpoint did not run the call";
    case Reason::EndpointFailed:
        return "the endpoint's answer was broken or did not come";
    case Reason::RetryBudget:
        return "the budget for retries is spent";
    case Reason::KeyExpired:
        return "the idempotency key's age does not lie in the contract's window";
    case Reason::KeyInProgress:
        return "another call with this key has begun and its outcome is not known; it is not repeated";
    case Reason::KeyMismatch:
        return "this idempotency key came with another operation or body";
    case Reason::LogUnavailable:
        return "the key could not be claimed; nothing was sent";
    default:
        return text(reason);
    }
}

} // namespace galenafold
