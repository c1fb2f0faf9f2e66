// Implements the fake replica: its connections and scripted responses.
//
// Sections of this file: Reply, Replica.
#include "fakes/replica.h"

#include "net/timer.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace galenafold
{

std::string ReplicaRequest::field(const std::string &name) const
{
    const std::string *found = findField(head.fields, name);
    return found ? *found : "";
}

std::string encodeCallerRequest(const std::string &path, const std::string &id, const std::string &key, int timeoutMs,
                                const std::string &extraHeaders, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Galenafold-Attempt-Id: " + id + "\r\nX-Api-Key: " + key
        + "\r\nX-Galenafold-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n" + extraHeaders
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reply

ReplicaReply::ReplicaReply(std::shared_ptr<TcpStream> stream, asio::io_context &io)
    : m_stream(std::move(stream))
    , m_io(io)
{
}

void ReplicaReply::send(const std::string &bytes)
{
    m_stream->write(bytes);
}

static std::string responseHead(const ReplicaRequest &request, int status)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    appendField(head, "X-Galenafold-Attempt-Id", request.field("X-Galenafold-Attempt-Id"));
    appendField(head, "X-Galenafold-Response-Seal", "sealed");
    return head;
}

void ReplicaReply::sendResponse(const ReplicaRequest &request, int status, const std::string &body,
                                const std::string &extraHeaders)
{
    std::string bytes = responseHead(request, status) + extraHeaders;
    appendField(bytes, "Content-Length", std::to_string(body.size()));
    send(bytes + "\r\n" + body);
    m_isFinished = true;
}

void ReplicaReply::beginStream(const ReplicaRequest &request)
{
    std::string bytes = responseHead(request, 200);
    appendField(bytes, "Content-Type", "text/event-stream");
    appendField(bytes, "Transfer-Encoding", "chunked");
    send(bytes + "\r\n");
}

void ReplicaReply::beginUnframed(const ReplicaRequest &request, const std::string &type,
                                 const std::string &extraHeaders)
{
    std::string bytes = responseHead(request, 200) + extraHeaders;
    appendField(bytes, "Content-Type", type);
    appendField(bytes, "Connection", "close");
    send(bytes + "\r\n");
}

void ReplicaReply::sendEvent(int id, const std::string &data)
{
    std::string bytes;
    appendChunk(bytes, "id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
    send(bytes);
}

void ReplicaReply::endStream()
{
    send(std::string(lastChunk));
    m_isFinished = true;
}

void ReplicaReply::closeGracefully()
{
    m_stream->closeWhenDrained();
}

void ReplicaReply::reset()
{
    m_stream->reset();
}

void ReplicaReply::runAfter(std::chrono::milliseconds delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<DeadlineTimer>(m_io);
    timer->expires_at(clockNow() + delay);
    timer->async_wait([timer, callback = std::move(callback)](const asio::error_code &error) {
        if (!error) {
            callback();
        }
    });
}

// Replica

/// One accepted connection. Parses its requests one after the other and passes each to the script.
struct FakeReplica::Connection : std::enable_shared_from_this<Connection> {
    FakeReplica *replica = nullptr;
    std::shared_ptr<TcpStream> stream;
    std::unique_ptr<MessageParser> parser;
    int number = 0;
    std::shared_ptr<ReplicaReply> reply; // to the latest request

    void start()
    {
        TcpStream::Hooks hooks;
        hooks.onBytes = [self = shared_from_this()](std::string_view bytes) { self->onBytes(bytes); };
        hooks.onEnd = [self = shared_from_this()](StreamEnd) { self->onEnd(); };
        stream->start(std::move(hooks));
    }

    void onEnd()
    {
        if (reply && !reply->isFinished()) {
            ++replica->m_abortedRequests;
        }
    }

    void onBytes(std::string_view bytes)
    {
        while (!bytes.empty() && stream->isOpen()) {
            if (!parser) {
                parser = std::make_unique<MessageParser>(MessageParser::Kind::Request, ParseLimits());
            }
            bytes.remove_prefix(parser->feed(bytes));
            if (!parser->isDone()) {
                return;
            }
            ReplicaRequest request{std::move(parser->request()), std::move(parser->body()), number};
            parser.reset();
            reply = std::make_shared<ReplicaReply>(stream, replica->m_io);
            {
                const std::lock_guard<std::mutex> lock(replica->m_mutex);
                replica->m_requests.push_back(request);
            }
            replica->m_script(request, reply);
        }
    }
};

FakeReplica::FakeReplica(std::string id, std::string service, ReplicaScript script, std::string dataCentre)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_dataCentre(std::move(dataCentre))
    , m_script(std::move(script))
    , m_workGuard(asio::make_work_guard(m_io))
    , m_portHolder(m_io)
    , m_acceptor(m_io)
{
}

FakeReplica::~FakeReplica()
{
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

static bool bindTo(asio::ip::tcp::acceptor &acceptor, int port)
{
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
    asio::error_code error;
    acceptor.open(address.protocol(), error);
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    acceptor.bind(address, error);
    return !error;
}

bool FakeReplica::listen()
{
    if (m_port == 0 && bindTo(m_portHolder, 0)) {
        m_port = m_portHolder.local_endpoint().port();
    }
    asio::error_code error;
    if (!bindTo(m_acceptor, m_port) || m_acceptor.listen(asio::ip::tcp::acceptor::max_listen_connections, error)) {
        return false;
    }
    accept();
    return true;
}

bool FakeReplica::start()
{
    const bool isListening = listen();
    m_thread = std::thread([this] { m_io.run(); });
    return isListening;
}

void FakeReplica::post(std::function<void()> callback)
{
    asio::post(m_io, std::move(callback));
}

void FakeReplica::crash(std::chrono::milliseconds downTime)
{
    ProcessRestart restart;
    restart.downTime = downTime;
    endProcess(restart);
}

void FakeReplica::endProcess(std::chrono::milliseconds downTime, std::chrono::milliseconds listenerStays)
{
    ProcessRestart restart;
    restart.isOrderly = true;
    restart.downTime = downTime;
    restart.listenerStays = listenerStays;
    endProcess(restart);
}

void FakeReplica::endProcess(const ProcessRestart &restart)
{
    if (!m_acceptor.is_open()) {
        return;
    }
    ++m_crashes;
    closeListener(restart.listenerStays);
    const auto open = std::move(m_open);
    m_open.clear();
    for (const auto &entry : open) {
        if (const auto connection = entry.lock()) {
            connection->onEnd();
            restart.isOrderly ? connection->stream->close() : connection->stream->reset();
        }
    }
    if (!restart.newId.empty()) {
        asio::error_code ignored; // it is open
        m_id = restart.newId;
        m_portHolder.close(ignored);
        m_port = 0;
    }
    const auto timer = std::make_shared<DeadlineTimer>(m_io);
    timer->expires_at(clockNow() + restart.downTime);
    timer->async_wait([this, timer, onBack = restart.onBack](const asio::error_code &error) {
        if (!error && listen() && onBack) {
            onBack();
        }
    });
}

/// What waits in the queue of a listener is reset when that is closed.
void FakeReplica::closeListener(std::chrono::milliseconds after)
{
    asio::error_code ignored; // the pending accept completes with an error
    if (after.count() == 0) {
        m_acceptor.close(ignored);
        return;
    }
    m_acceptor.cancel(ignored);
    const auto closing = std::make_shared<DeadlineTimer>(m_io);
    closing->expires_at(clockNow() + after);
    closing->async_wait([this, closing](const asio::error_code &) {
        asio::error_code closeError; // it is open
        m_acceptor.close(closeError);
    });
}

void FakeReplica::resetNewConnections()
{
    m_resetsNewConnections = true;
}

/// A full queue makes the kernel drop what else would open a connection.
void FakeReplica::stopAnswering()
{
    asio::error_code ignored; // the pending accept completes with an error
    m_acceptor.cancel(ignored);
    ::listen(m_acceptor.native_handle(), 0);
    while (m_unaccepted.size() < 4) {
        m_unaccepted.emplace_back(m_io);
        m_unaccepted.back().async_connect(m_acceptor.local_endpoint(), [](const asio::error_code &) {});
    }
}

void FakeReplica::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        if (m_resetsNewConnections) {
            ++m_connections;
            std::make_shared<TcpStream>(std::move(socket))->reset();
            accept();
            return;
        }
        const auto connection = std::make_shared<Connection>();
        connection->replica = this;
        connection->stream = std::make_shared<TcpStream>(std::move(socket));
        connection->number = ++m_connections;
        m_open.push_back(connection);
        connection->start();
        accept();
    });
}

std::string FakeReplica::entry(const std::string &state, std::int64_t startedMs, int warmUpLeftMs) const
{
    const nlohmann::json json{{"service", m_service},
                              {"address", "127.0.0.1:" + std::to_string(m_port)},
                              {"zone", m_dataCentre},
                              {"version", m_softwareVersion},
                              {"state", state},
                              {"slots", 8},
                              {"coldLeftMs", warmUpLeftMs},
                              {"seqNo", ++m_heartbeats},
                              {"born", startedMs}};
    return json.dump();
}

std::vector<ReplicaRequest> FakeReplica::requests() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
}

} // namespace galenafold
