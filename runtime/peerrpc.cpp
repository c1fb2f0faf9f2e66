// Conversion between structs and Cap'n Proto messages, and the event loop that sends and receives them.
//
// Sections of this file: Conversions, Counting stream, Service, Event loop, Peer RPC.
#include "runtime/peerrpc.h"

#include "clients/endpoint.h"
#include "wire/peer.capnp.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <capnp/serialize.h>
#include <future>
#include <glog/logging.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

namespace galenafold
{

constexpr int rpcOverheadBytes = 300; // per call, request and reply: RPC, TCP and IP headers
constexpr auto rpcTimeout = 2 * kj::SECONDS;

// Conversions

static std::string toString(capnp::Text::Reader reader)
{
    return std::string(reader.cStr(), reader.size());
}

static void encodeSlow(wire::Gossip::Builder builder, const GossipMessage &message)
{
    auto slow = builder.initSlow(static_cast<unsigned>(message.slow.size()));
    for (unsigned i = 0; i < slow.size(); ++i) {
        slow[i].setEndpointHash(message.slow[i].endpointHash);
        slow[i].setRatio(message.slow[i].ratio);
    }
}

static void encode(wire::Gossip::Builder builder, const GossipMessage &message)
{
    builder.setFrom(message.from.text.c_str());
    builder.setContractsUpTo(message.contractsUpTo);
    auto reports = builder.initReports(static_cast<unsigned>(message.reports.size()));
    for (unsigned i = 0; i < reports.size(); ++i) {
        reports[i].setEndpointHash(message.reports[i].endpointHash);
        reports[i].setAgeMillis(message.reports[i].ageMillis);
        reports[i].setSlots(message.reports[i].slots);
        reports[i].setInFlight(message.reports[i].inFlight);
        reports[i].setLongInFlight(message.reports[i].longInFlight);
    }
    auto leaving = builder.initLeaving(static_cast<unsigned>(message.leaving.size()));
    for (unsigned i = 0; i < leaving.size(); ++i) {
        leaving[i].setVm(message.leaving[i].vm.text.c_str());
        leaving[i].setIncarnation(static_cast<std::uint64_t>(message.leaving[i].incarnation));
    }
    auto demand = builder.initDemand(static_cast<unsigned>(message.demand.size()));
    for (unsigned i = 0; i < demand.size(); ++i) {
        demand[i].setCustomerHash(message.demand[i].customerHash);
        demand[i].setCallsPerSecond(message.demand[i].callsPerSecond);
        demand[i].setInProgress(message.demand[i].inProgress);
    }
    encodeSlow(builder, message);
}

static GossipMessage decode(wire::Gossip::Reader reader)
{
    GossipMessage message;
    message.from = {toString(reader.getFrom())};
    message.contractsUpTo = reader.getContractsUpTo();
    for (const auto report : reader.getReports()) {
        message.reports.push_back({report.getEndpointHash(), report.getAgeMillis(), report.getSlots(),
                                   report.getInFlight(), report.getLongInFlight()});
    }
    for (const auto mark : reader.getLeaving()) {
        message.leaving.push_back({{toString(mark.getVm())}, Incarnation(mark.getIncarnation())});
    }
    for (const auto demand : reader.getDemand()) {
        message.demand.push_back({demand.getCustomerHash(), demand.getCallsPerSecond(), demand.getInProgress()});
    }
    for (const auto finding : reader.getSlow()) {
        message.slow.push_back({finding.getEndpointHash(), finding.getRatio()});
    }
    return message;
}

static capnp::Data::Reader bytesOf(const std::string &value)
{
    return capnp::Data::Reader(reinterpret_cast<const capnp::byte *>(value.data()), value.size());
}

static std::string bytesToString(capnp::Data::Reader reader)
{
    return std::string(reinterpret_cast<const char *>(reader.begin()), reader.size());
}

static void encode(wire::ClaimItem::Builder builder, const ClaimItem &item, const VmId &from)
{
    builder.setKind(static_cast<std::uint8_t>(item.kind));
    builder.setKey(item.key.c_str());
    builder.setNonce(item.nonce.c_str());
    builder.setFingerprint(item.fingerprint.c_str());
    builder.setWindowSeconds(static_cast<std::uint32_t>(item.window.count()));
    builder.setStatus(static_cast<std::uint16_t>(item.outcome.status));
    builder.setContentType(item.outcome.contentType.c_str());
    builder.setBody(bytesOf(item.outcome.body));
    builder.setIsBodyKept(item.outcome.isBodyKept);
    builder.setFrom(from.text.c_str());
}

static ClaimItem decode(wire::ClaimItem::Reader reader)
{
    ClaimItem item;
    item.kind = static_cast<ClaimKind>(std::min<std::uint8_t>(reader.getKind(), 2));
    item.key = toString(reader.getKey());
    item.nonce = toString(reader.getNonce());
    item.fingerprint = toString(reader.getFingerprint());
    item.window = std::chrono::seconds(reader.getWindowSeconds());
    item.outcome = {reader.getStatus(), toString(reader.getContentType()), bytesToString(reader.getBody()),
                    reader.getIsBodyKept()};
    return item;
}

static void encode(wire::ClaimAnswer::Builder builder, const ClaimAnswer &answer)
{
    builder.setResult(static_cast<std::uint8_t>(answer.result));
    builder.setStatus(static_cast<std::uint16_t>(answer.outcome.status));
    builder.setContentType(answer.outcome.contentType.c_str());
    builder.setBody(bytesOf(answer.outcome.body));
    builder.setIsBodyKept(answer.outcome.isBodyKept);
}

static ClaimAnswer decode(wire::ClaimAnswer::Reader reader)
{
    ClaimAnswer answer;
    const auto lastKnown = static_cast<std::uint8_t>(ClaimResult::Unavailable);
    answer.result =
        reader.getResult() <= lastKnown ? static_cast<ClaimResult>(reader.getResult()) : ClaimResult::Unavailable;
    answer.outcome = {reader.getStatus(), toString(reader.getContentType()), bytesToString(reader.getBody()),
                      reader.getIsBodyKept()};
    return answer;
}

// Counting stream

/// Counts the bytes that are written to a connection.
class CountingStream final : public kj::AsyncIoStream
{
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, std::atomic<std::int64_t> &sent)
        : m_inner(kj::mv(inner))
        , m_sent(sent)
    {
    }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        return m_inner->tryRead(buffer, minBytes, maxBytes);
    }
    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        m_sent += static_cast<std::int64_t>(size);
        return m_inner->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (const auto &piece : pieces) {
            m_sent += static_cast<std::int64_t>(piece.size());
        }
        return m_inner->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

private:
    kj::Own<kj::AsyncIoStream> m_inner;
    std::atomic<std::int64_t> &m_sent;
};

// Service

/// Handles the calls of peers.
class PeerRpc::Service final : public wire::Peer::Server
{
public:
    explicit Service(PeerRpc &peers)
        : m_peers(peers)
    {
    }

    kj::Promise<void> gossip(GossipContext context) override
    {
        const GossipMessage message = decode(context.getParams().getMessage());
        if (!isKnown(message.from)) {
            return kj::READY_NOW;
        }
        const LogOffset upTo = m_peers.m_hooks.onGossip(message);
        context.getResults().setContractsUpTo(upTo);
        return kj::READY_NOW;
    }

    kj::Promise<void> pull(PullContext context) override
    {
        const auto params = context.getParams();
        if (!isKnown({toString(params.getFrom())})) {
            return kj::READY_NOW;
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<PulledContracts>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<PulledContracts>>>(kj::mv(pair.fulfiller));
        m_peers.m_hooks.onPull(params.getOffset(), [fulfiller](const PulledContracts &pulled) {
            PulledContracts copy = pulled;
            (*fulfiller)->fulfill(kj::mv(copy));
        });
        return pair.promise.then([context](const PulledContracts &pulled) mutable {
            auto results = context.getResults();
            auto records = results.initRecords(static_cast<unsigned>(pulled.records.size()));
            for (unsigned i = 0; i < records.size(); ++i) {
                records[i].setOffset(pulled.records[i].offset);
                records[i].setValue(pulled.records[i].value.c_str());
            }
            results.setSnapshot(pulled.snapshot.c_str());
        });
    }

    kj::Promise<void> claim(ClaimContext context) override
    {
        const auto params = context.getParams();
        const ClaimItem item = decode(params.getItem());
        if (!isKnown({toString(params.getItem().getFrom())}) || item.kind != ClaimKind::Claim) {
            encode(context.getResults().initAnswer(), ClaimAnswer{});
            return kj::READY_NOW;
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<ClaimAnswer>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<ClaimAnswer>>>(kj::mv(pair.fulfiller));
        const Instant answerBy = clockNow() + std::chrono::milliseconds(params.getPatienceMillis());
        m_peers.m_hooks.onClaim(item, answerBy, [fulfiller](const ClaimAnswer &answer) {
            ClaimAnswer copy = answer;
            (*fulfiller)->fulfill(kj::mv(copy));
        });
        return pair.promise.then(
            [context](const ClaimAnswer &answer) mutable { encode(context.getResults().initAnswer(), answer); });
    }

    kj::Promise<void> settle(SettleContext context) override
    {
        const auto item = context.getParams().getItem();
        if (!isKnown({toString(item.getFrom())})) {
            return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str("unknown peer"));
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
        m_peers.m_hooks.onSettle(decode(item), [fulfiller] { (*fulfiller)->fulfill(); });
        return kj::mv(pair.promise);
    }

private:
    bool isKnown(const VmId &vm)
    {
        if (m_peers.m_hooks.isKnown(vm)) {
            return true;
        }
        ++m_peers.m_refusedMessages;
        LOG_EVERY_N(WARNING, 100) << "peers: refused a message from '" << vm.text
                                  << "', which was never in the VM list";
        return false;
    }

    PeerRpc &m_peers;
};

// Event loop

/// An outgoing connection to a peer.
struct PeerConnection {
    explicit PeerConnection(kj::Own<kj::AsyncIoStream> theStream)
        : stream(kj::mv(theStream))
        , client(*stream)
        , peer(client.bootstrap().castAs<wire::Peer>())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    wire::Peer::Client peer;
};

/// Used on the peers' thread only, except for `requestStop`.
class PeerRpc::EventLoop final : private kj::TaskSet::ErrorHandler
{
public:
    EventLoop(PeerRpc &peers, const std::string &address, int port)
        : m_peers(peers)
        , m_io(kj::setupAsyncIo())
        , m_tasks(*this)
    {
        auto listenAddress =
            m_io.provider->getNetwork().parseAddress(address.c_str(), static_cast<unsigned>(port)).wait(m_io.waitScope);
        m_listener = listenAddress->listen();
        auto stopPair = kj::newPromiseAndCrossThreadFulfiller<void>();
        m_stopFulfiller = kj::mv(stopPair.fulfiller);
        m_stopPromise = kj::mv(stopPair.promise);
        m_service = kj::heap<wire::Peer::Client>(kj::heap<Service>(peers));
        m_server = kj::heap<capnp::TwoPartyServer>(*m_service);
        accept();
    }

    int port() { return static_cast<int>(m_listener->getPort()); }
    void run() { m_stopPromise.wait(m_io.waitScope); }
    void requestStop() { m_stopFulfiller->fulfill(); }

    void gossip(const PeerAddress &peer, const GossipMessage &message)
    {
        callPeer(peer, [this, peer, message](wire::Peer::Client &client) {
            auto request = client.gossipRequest();
            encode(request.initMessage(), message);
            return request.send().then(
                [this, peer](auto &&response) { m_peers.m_hooks.onPeerOffset(peer.vm, response.getContractsUpTo()); });
        });
    }

    void pull(const PeerAddress &peer, LogOffset offset)
    {
        callPeer(peer, [this, offset](wire::Peer::Client &client) {
            auto request = client.pullRequest();
            request.setFrom(m_peers.m_self.text.c_str());
            request.setOffset(offset);
            return request.send().then([this](auto &&response) {
                PulledContracts pulled;
                for (const auto record : response.getRecords()) {
                    pulled.records.push_back({record.getOffset(), toString(record.getValue())});
                }
                pulled.snapshot = toString(response.getSnapshot());
                m_peers.m_hooks.onPulled(pulled);
            });
        });
    }

    void settle(const PeerAddress &peer, const ClaimItem &item)
    {
        callPeer(
            peer,
            [this, item](wire::Peer::Client &client) {
                auto request = client.settleRequest();
                encode(request.initItem(), item, m_peers.m_self);
                return request.send().ignoreResult().then([this, item] { m_peers.m_hooks.onSettled(item, true); });
            },
            [this, item] { m_peers.m_hooks.onSettled(item, false); });
    }

    void claim(const PeerAddress &peer, const ClaimItem &item, Instant answerBy, const ClaimCallback &callback)
    {
        const auto timeoutMillis = std::chrono::duration_cast<std::chrono::milliseconds>(answerBy - clockNow()).count();
        callPeer(
            peer,
            [this, item, timeoutMillis, callback](wire::Peer::Client &client) {
                auto request = client.claimRequest();
                encode(request.initItem(), item, m_peers.m_self);
                request.setPatienceMillis(static_cast<std::uint32_t>(std::max<std::int64_t>(0, timeoutMillis)));
                return request.send().then([callback](auto &&response) { callback(decode(response.getAnswer())); });
            },
            [callback] { callback(ClaimAnswer{}); });
    }

private:
    using RpcCall = std::function<kj::Promise<void>(wire::Peer::Client &)>;

    void accept()
    {
        m_tasks.add(m_listener->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
            m_server->accept(kj::heap<CountingStream>(kj::mv(stream), m_peers.m_bytesSent));
            accept();
        }));
    }

    /// Key in `m_connections`.
    static std::string connectionKey(const PeerAddress &peer) { return peer.address + ':' + std::to_string(peer.port); }

    /// Connects to a peer unless a connection exists.
    kj::Promise<void> ensureConnected(const PeerAddress &peer)
    {
        if (m_connections.count(connectionKey(peer)) > 0) {
            return kj::READY_NOW;
        }
        return m_io.provider->getNetwork()
            .parseAddress(peer.address.c_str(), static_cast<unsigned>(peer.port))
            .then([](kj::Own<kj::NetworkAddress> address) {
                auto connecting = address->connect();
                return connecting.attach(kj::mv(address));
            })
            .then([this, peer](kj::Own<kj::AsyncIoStream> stream) {
                auto counting = kj::heap<CountingStream>(kj::mv(stream), m_peers.m_bytesSent);
                m_connections[connectionKey(peer)] = std::make_shared<PeerConnection>(kj::mv(counting));
            });
    }

    /// Makes a call with `rpcTimeout`. Any failure drops the connection, so the next call makes a new one.
    void callPeer(const PeerAddress &peer, const RpcCall &rpcCall, const std::function<void()> &onFailure = nullptr)
    {
        auto work = ensureConnected(peer).then([this, peer, rpcCall]() {
            const std::shared_ptr<PeerConnection> connection = m_connections[connectionKey(peer)];
            return rpcCall(connection->peer).attach(std::shared_ptr<PeerConnection>(connection));
        });
        auto timed = m_io.provider->getTimer().timeoutAfter(rpcTimeout, kj::mv(work));
        m_tasks.add(timed.catch_([this, peer, onFailure](kj::Exception &&exception) {
            VLOG(1) << "peers: call to '" << peer.vm.text << "' failed: " << exception.getDescription().cStr();
            m_connections.erase(connectionKey(peer));
            if (onFailure) {
                onFailure();
            }
        }));
    }

    void taskFailed(kj::Exception &&exception) override
    {
        LOG(WARNING) << "peers: RPC task failed: " << exception.getDescription().cStr();
    }

    PeerRpc &m_peers;
    kj::AsyncIoContext m_io;
    kj::Own<kj::ConnectionReceiver> m_listener;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stopFulfiller;
    kj::Promise<void> m_stopPromise = kj::READY_NOW;
    kj::Own<wire::Peer::Client> m_service;
    kj::Own<capnp::TwoPartyServer> m_server;
    std::map<std::string, std::shared_ptr<PeerConnection>> m_connections;
    kj::TaskSet m_tasks;
};

// Peer RPC

struct PeerRpc::Executor {
    kj::Own<const kj::Executor> executor;
};

PeerRpc::PeerRpc(const VmId &self, PeerHooks hooks)
    : m_self(self)
    , m_hooks(std::move(hooks))
    , m_executor(std::make_unique<Executor>())
{
}

PeerRpc::~PeerRpc()
{
    stop();
}

bool PeerRpc::start(const std::string &address, int port)
{
    std::promise<bool> started;
    std::future<bool> hasStarted = started.get_future();
    m_thread = std::thread([this, address, port, &started] {
        const auto failure = kj::runCatchingExceptions([&] {
            m_eventLoop = std::make_unique<EventLoop>(*this, address, port);
            m_port = m_eventLoop->port();
        });
        KJ_IF_MAYBE (exception, failure) {
            LOG(ERROR) << "peers: cannot listen on " << address << ':' << port << ": "
                       << exception->getDescription().cStr();
            started.set_value(false);
            return;
        }
        EventLoop &loop = *m_eventLoop;
        m_executor->executor = kj::getCurrentThreadExecutor().addRef();
        started.set_value(true);
        loop.run();
        m_eventLoop.reset();
    });
    return hasStarted.get();
}

void PeerRpc::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    if (m_eventLoop) {
        m_eventLoop->requestStop();
    }
    m_thread.join();
}

void PeerRpc::runOnEventLoop(std::function<void(EventLoop &)> job)
{
    const auto failure =
        kj::runCatchingExceptions([&] { m_executor->executor->executeSync([this, &job] { job(*m_eventLoop); }); });
    KJ_IF_MAYBE (exception, failure) {
        VLOG(1) << "peers: the RPC thread has stopped: " << exception->getDescription().cStr();
    }
}

void PeerRpc::gossip(const PeerAddress &peer, const GossipMessage &message)
{
    runOnEventLoop([&](EventLoop &loop) { loop.gossip(peer, message); });
}

void PeerRpc::pull(const PeerAddress &peer, LogOffset offset)
{
    runOnEventLoop([&](EventLoop &loop) { loop.pull(peer, offset); });
}

void PeerRpc::settle(const PeerAddress &peer, const ClaimItem &item)
{
    runOnEventLoop([&](EventLoop &loop) { loop.settle(peer, item); });
}

void PeerRpc::claim(const PeerAddress &peer, const ClaimItem &item, Instant answerBy, const ClaimCallback &callback)
{
    runOnEventLoop([&](EventLoop &loop) { loop.claim(peer, item, answerBy, callback); });
}

int PeerRpc::wireSize(const GossipMessage &message)
{
    capnp::MallocMessageBuilder builder;
    encode(builder.initRoot<wire::Gossip>(), message);
    return static_cast<int>(capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word)) + rpcOverheadBytes;
}

} // namespace galenafold
