// One HTTP request to an endpoint, with what can be known of its fate.
//
// Sections of this file: Request, Events, Client.
//
// A connection is reused only after a whole, clean answer, and never for work that may not be repeated: on a fresh
// connection a failed connect proves that nothing was sent.
#pragma once

#include "filters/relay.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace httplib
{
class Client;
}

namespace galenafold
{

// Request

struct EndpointRequest {
    VmRecord endpoint;
    RequestId request;
    int attempt = 1;
    std::string path;
    std::string body;
    std::string traceparent;
    std::string chat;         // tells the engine which context to keep; "" for none
    std::string operationKey; // idempotency key, passed on
    int priority = 5;
    bool isLong = false;
    bool mayReuse = true; // false: a fresh connection
    Tokens resumeFrom = 0;
    Instant deadline{}; // for the whole answer
};

// Events

/// Called on the thread of `EndpointClient::send`.
struct EndpointEvents {
    std::function<bool(const EndpointHead &)> onHead;               // false: give up
    std::function<bool(const char *data, std::size_t size)> onData; // false: give up
};

/// Reads the header Engine-Load, "age_ms=.. slots=.. in_flight=.. long=.. leaving=..".
bool parseLoad(const std::string &text, Instant now, LoadReport &report);

// Client

/// Lets another thread end a request. Safe at any moment of the request's life.
class CancelToken
{
public:
    void cancel();
    bool isCancelled() const { return m_isCancelled; }

private:
    friend class EndpointClient;
    void attach(const std::shared_ptr<httplib::Client> &client);

    std::atomic<bool> m_isCancelled{false};
    std::mutex m_mutex;
    std::shared_ptr<httplib::Client> m_client;
};

class EndpointClient
{
public:
    /// Sends and reads; blocks until the end.
    SendResult send(const EndpointRequest &request, const EndpointEvents &events, CancelToken &token);

    /// Asks an endpoint for its load. @return false when it did not answer.
    static bool readLoad(const VmRecord &endpoint, LoadReport &report);

    /// Reads chats whose context an engine dropped. @param from moves on. @return false when it did not answer.
    static bool readCacheEvents(const VmRecord &endpoint, std::int64_t &from, std::vector<ChatId> &dropped);

private:
    struct Idle {
        std::shared_ptr<httplib::Client> client;
        Instant useBy{};
    };

    std::shared_ptr<httplib::Client> take(const EndpointRequest &request);
    void giveBack(const EndpointRequest &request, const std::shared_ptr<httplib::Client> &client);

    std::mutex m_mutex;
    std::map<std::string, std::vector<Idle>> m_idle; // by address and port
};

} // namespace galenafold
