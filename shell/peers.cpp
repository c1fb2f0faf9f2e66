// The wire form of what peers say, and the event loop that carries it.
//
// Sections of this file: Conversions, Counting stream, Service, Loop, Peers.
#include "shell/peers.h"

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

constexpr int rpcOverheadBytes = 300; // of one call and its return beyond the message: RPC, TCP and IP heads
constexpr auto callWithin = 2 * kj::SECONDS;

// Conversions

static std::string text(capnp::Text::Reader reader)
{
    return std::string(reader.cStr(), reader.size());
}

static void fillSlow(wire::Gossip::Builder builder, const GossipMessage &message)
{
    auto slow = builder.initSlow(static_cast<unsigned>(message.slow.size()));
    for (unsigned i = 0; i < slow.size(); ++i) {
        slow[i].setEndpointHash(message.slow[i].endpointHash);
        slow[i].setRatio(message.slow[i].ratio);
    }
}

static void fill(wire::Gossip::Builder builder, const GossipMessage &message)
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
    fillSlow(builder, message);
}

static GossipMessage read(wire::Gossip::Reader reader)
{
    GossipMessage message;
    message.from = {text(reader.getFrom())};
    message.contractsUpTo = reader.getContractsUpTo();
    for (const auto report : reader.getReports()) {
        message.reports.push_back({report.getEndpointHash(), report.getAgeMillis(), report.getSlots(),
                                   report.getInFlight(), report.getLongInFlight()});
    }
    for (const auto mark : reader.getLeaving()) {
        message.leaving.push_back({{text(mark.getVm())}, Incarnation(mark.getIncarnation())});
    }
    for (const auto demand : reader.getDemand()) {
        message.demand.push_back({demand.getCustomerHash(), demand.getCallsPerSecond(), demand.getInProgress()});
    }
    for (const auto finding : reader.getSlow()) {
        message.slow.push_back({finding.getEndpointHash(), finding.getRatio()});
    }
    return message;
}

static capnp::Data::Reader bytes(const std::string &value)
{
    return capnp::Data::Reader(reinterpret_cast<const capnp::byte *>(value.data()), value.size());
}

static std::string bytesText(capnp::Data::Reader reader)
{
    return std::string(reinterpret_cast<const char *>(reader.begin()), reader.size());
}

static void fill(wire::ClaimItem::Builder builder, const ClaimItem &item, const VmId &from)
{
    builder.setKind(static_cast<std::uint8_t>(item.kind));
    builder.setKey(item.key.c_str());
    builder.setNonce(item.nonce.c_str());
    builder.setFingerprint(item.fingerprint.c_str());
    builder.setWindowSeconds(static_cast<std::uint32_t>(item.window.count()));
    builder.setStatus(static_cast<std::uint16_t>(item.outcome.status));
    builder.setContentType(item.outcome.contentType.c_str());
    builder.setBody(bytes(item.outcome.body));
    builder.setIsBodyKept(item.outcome.isBodyKept);
    builder.setFrom(from.text.c_str());
}

static ClaimItem read(wire::ClaimItem::Reader reader)
{
    ClaimItem item;
    item.kind = static_cast<ClaimKind>(std::min<std::uint8_t>(reader.getKind(), 2));
    item.key = text(reader.getKey());
    item.nonce = text(reader.getNonce());
    item.fingerprint = text(reader.getFingerprint());
    item.window = std::chrono::seconds(reader.getWindowSeconds());
    item.outcome = {reader.getStatus(), text(reader.getContentType()), bytesText(reader.getBody()),
                    reader.getIsBodyKept()};
    return item;
}

static void fill(wire::ClaimAnswer::Builder builder, const ClaimAnswer &answer)
{
    builder.setResult(static_cast<std::uint8_t>(answer.result));
    builder.setStatus(static_cast<std::uint16_t>(answer.outcome.status));
    builder.setContentType(answer.outcome.contentType.c_str());
    builder.setBody(bytes(answer.outcome.body));
    builder.setIsBodyKept(answer.outcome.isBodyKept);
}

static ClaimAnswer read(wire::ClaimAnswer::Reader reader)
{
    ClaimAnswer answer;
    const auto known = static_cast<std::uint8_t>(ClaimResult::Unavailable);
    answer.result =
        reader.getResult() <= known ? static_cast<ClaimResult>(reader.getResult()) : ClaimResult::Unavailable;
    answer.outcome = {reader.getStatus(), text(reader.getContentType()), bytesText(reader.getBody()),
                      reader.getIsBodyKept()};
    return answer;
}

// Counting stream

/// Counts what goes out over a connection.
class CountingStream final : public kj::AsyncIoStream
{
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, std::atomic<std::int64_t> &sent)
        : m_inner(kj::mv(inner))
        , m_sent(sent)
    {
    }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t least, std::size_t most) override
    {
        return m_inner->tryRead(buffer, least, most);
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

class Peers::Service final : public wire::Peer::Server
{
public:
    explicit Service(Peers &peers)
        : m_peers(peers)
    {
    }

    kj::Promise<void> gossip(GossipContext context) override
    {
        const GossipMessage message = read(context.getParams().getMessage());
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
        if (!isKnown({text(params.getFrom())})) {
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
        const ClaimItem item = read(params.getItem());
        if (!isKnown({text(params.getItem().getFrom())}) || item.kind != ClaimKind::Claim) {
            fill(context.getResults().initAnswer(), ClaimAnswer{});
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
            [context](const ClaimAnswer &answer) mutable { fill(context.getResults().initAnswer(), answer); });
    }

    kj::Promise<void> settle(SettleContext context) override
    {
        const auto item = context.getParams().getItem();
        if (!isKnown({text(item.getFrom())})) {
            return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str("unknown peer"));
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
        m_peers.m_hooks.onSettle(read(item), [fulfiller] { (*fulfiller)->fulfill(); });
        return kj::mv(pair.promise);
    }

private:
    bool isKnown(const VmId &vm)
    {
        if (m_peers.m_hooks.isKnown(vm)) {
            return true;
        }
        ++m_peers.m_refused;
        LOG_EVERY_N(WARNING, 100) << "peers: refused a message from '" << vm.text << "', which the VM list never named";
        return false;
    }

    Peers &m_peers;
};

// Loop

/// One connection to a peer.
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

/// Lives on the peer thread only, but for `requestStop`.
class Peers::Loop final : private kj::TaskSet::ErrorHandler
{
public:
    Loop(Peers &peers, const std::string &address, int port)
        : m_peers(peers)
        , m_io(kj::setupAsyncIo())
        , m_tasks(*this)
    {
        auto where =
            m_io.provider->getNetwork().parseAddress(address.c_str(), static_cast<unsigned>(port)).wait(m_io.waitScope);
        m_receiver = where->listen();
        auto stopPair = kj::newPromiseAndCrossThreadFulfiller<void>();
        m_stop = kj::mv(stopPair.fulfiller);
        m_stopped = kj::mv(stopPair.promise);
        m_service = kj::heap<wire::Peer::Client>(kj::heap<Service>(peers));
        m_server = kj::heap<capnp::TwoPartyServer>(*m_service);
        accept();
    }

    int port() { return static_cast<int>(m_receiver->getPort()); }
    void run() { m_stopped.wait(m_io.waitScope); }
    void requestStop() { m_stop->fulfill(); }

    void gossip(const PeerAddress &peer, const GossipMessage &message)
    {
        withPeer(peer, [this, peer, message](wire::Peer::Client &client) {
            auto request = client.gossipRequest();
            fill(request.initMessage(), message);
            return request.send().then(
                [this, peer](auto &&response) { m_peers.m_hooks.onPeerOffset(peer.vm, response.getContractsUpTo()); });
        });
    }

    void pull(const PeerAddress &peer, LogOffset offset)
    {
        withPeer(peer, [this, offset](wire::Peer::Client &client) {
            auto request = client.pullRequest();
            request.setFrom(m_peers.m_self.text.c_str());
            request.setOffset(offset);
            return request.send().then([this](auto &&response) {
                PulledContracts pulled;
                for (const auto record : response.getRecords()) {
                    pulled.records.push_back({record.getOffset(), text(record.getValue())});
                }
                pulled.snapshot = text(response.getSnapshot());
                m_peers.m_hooks.onPulled(pulled);
            });
        });
    }

    void settle(const PeerAddress &peer, const ClaimItem &item)
    {
        withPeer(
            peer,
            [this, item](wire::Peer::Client &client) {
                auto request = client.settleRequest();
                fill(request.initItem(), item, m_peers.m_self);
                return request.send().ignoreResult().then([this, item] { m_peers.m_hooks.onSettled(item, true); });
            },
            [this, item] { m_peers.m_hooks.onSettled(item, false); });
    }

    void claim(const PeerAddress &peer, const ClaimItem &item, Instant answerBy, const ClaimCallback &callback)
    {
        const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(answerBy - clockNow()).count();
        withPeer(
            peer,
            [this, item, patience, callback](wire::Peer::Client &client) {
                auto request = client.claimRequest();
                fill(request.initItem(), item, m_peers.m_self);
                request.setPatienceMillis(static_cast<std::uint32_t>(std::max<std::int64_t>(0, patience)));
                return request.send().then([callback](auto &&response) { callback(read(response.getAnswer())); });
            },
            [callback] { callback(ClaimAnswer{}); });
    }

private:
    using Use = std::function<kj::Promise<void>(wire::Peer::Client &)>;

    void accept()
    {
        m_tasks.add(m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
            m_server->accept(kj::heap<CountingStream>(kj::mv(stream), m_peers.m_bytesSent));
            accept();
        }));
    }

    static std::string keyOf(const PeerAddress &peer) { return peer.address + ':' + std::to_string(peer.port); }

    kj::Promise<void> connected(const PeerAddress &peer)
    {
        if (m_connections.count(keyOf(peer)) > 0) {
            return kj::READY_NOW;
        }
        return m_io.provider->getNetwork()
            .parseAddress(peer.address.c_str(), static_cast<unsigned>(peer.port))
            .then([](kj::Own<kj::NetworkAddress> where) {
                auto connecting = where->connect();
                return connecting.attach(kj::mv(where));
            })
            .then([this, peer](kj::Own<kj::AsyncIoStream> stream) {
                auto counting = kj::heap<CountingStream>(kj::mv(stream), m_peers.m_bytesSent);
                m_connections[keyOf(peer)] = std::make_shared<PeerConnection>(kj::mv(counting));
            });
    }

    void withPeer(const PeerAddress &peer, const Use &use, const std::function<void()> &onFailure = nullptr)
    {
        auto work = connected(peer).then([this, peer, use]() {
            const std::shared_ptr<PeerConnection> connection = m_connections[keyOf(peer)];
            return use(connection->peer).attach(std::shared_ptr<PeerConnection>(connection));
        });
        auto timed = m_io.provider->getTimer().timeoutAfter(callWithin, kj::mv(work));
        m_tasks.add(timed.catch_([this, peer, onFailure](kj::Exception &&exception) {
            VLOG(1) << "peers: call to '" << peer.vm.text << "' failed: " << exception.getDescription().cStr();
            m_connections.erase(keyOf(peer));
            if (onFailure) {
                onFailure();
            }
        }));
    }

    void taskFailed(kj::Exception &&exception) override
    {
        LOG(WARNING) << "peers: " << exception.getDescription().cStr();
    }

    Peers &m_peers;
    kj::AsyncIoContext m_io;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stop;
    kj::Promise<void> m_stopped = kj::READY_NOW;
    kj::Own<wire::Peer::Client> m_service;
    kj::Own<capnp::TwoPartyServer> m_server;
    std::map<std::string, std::shared_ptr<PeerConnection>> m_connections;
    kj::TaskSet m_tasks;
};

// Peers

struct Peers::Executor {
    kj::Own<const kj::Executor> executor;
};

Peers::Peers(const VmId &self, PeerHooks hooks)
    : m_self(self)
    , m_hooks(std::move(hooks))
    , m_executor(std::make_unique<Executor>())
{
}

Peers::~Peers()
{
    stop();
}

bool Peers::start(const std::string &address, int port)
{
    std::promise<bool> started;
    std::future<bool> hasStarted = started.get_future();
    m_thread = std::thread([this, address, port, &started] {
        const auto failure = kj::runCatchingExceptions([&] {
            m_loop = std::make_unique<Loop>(*this, address, port);
            m_port = m_loop->port();
        });
        KJ_IF_MAYBE (exception, failure) {
            LOG(ERROR) << "peers: cannot listen on " << address << ':' << port << ": "
                       << exception->getDescription().cStr();
            started.set_value(false);
            return;
        }
        Loop &loop = *m_loop;
        m_executor->executor = kj::getCurrentThreadExecutor().addRef();
        started.set_value(true);
        loop.run();
        m_loop.reset();
    });
    return hasStarted.get();
}

void Peers::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    if (m_loop) {
        m_loop->requestStop();
    }
    m_thread.join();
}

void Peers::post(std::function<void(Loop &)> job)
{
    const auto failure =
        kj::runCatchingExceptions([&] { m_executor->executor->executeSync([this, &job] { job(*m_loop); }); });
    KJ_IF_MAYBE (exception, failure) {
        VLOG(1) << "peers: loop has ended: " << exception->getDescription().cStr();
    }
}

void Peers::gossip(const PeerAddress &peer, const GossipMessage &message)
{
    post([&](Loop &loop) { loop.gossip(peer, message); });
}

void Peers::pull(const PeerAddress &peer, LogOffset offset)
{
    post([&](Loop &loop) { loop.pull(peer, offset); });
}

void Peers::settle(const PeerAddress &peer, const ClaimItem &item)
{
    post([&](Loop &loop) { loop.settle(peer, item); });
}

void Peers::claim(const PeerAddress &peer, const ClaimItem &item, Instant answerBy, const ClaimCallback &callback)
{
    post([&](Loop &loop) { loop.claim(peer, item, answerBy, callback); });
}

int Peers::sizeOf(const GossipMessage &message)
{
    capnp::MallocMessageBuilder builder;
    fill(builder.initRoot<wire::Gossip>(), message);
    return static_cast<int>(capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word)) + rpcOverheadBytes;
}

} // namespace galenafold
