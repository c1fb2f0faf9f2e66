// Serialisation of load beacons, and the UDP socket that carries them.
#include "net/beacons.h"

#include "wire/peer.capnp.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/io.h>

namespace galenafold
{

constexpr int datagramHeaderBytes = 28;           // IPv4 and UDP headers
constexpr std::size_t maxLoads = 256;             // per beacon
constexpr double slowdownScale = 16;              // fixed-point scale: a slowdown is sent in sixteenths
constexpr float maxWorkPerSecond = 1e6F;          // of one account at one router
constexpr std::uint64_t maxTraversalWords = 2048; // Cap'n Proto traversal limit for untrusted input

static void fillNews(wire::BeaconNews::Builder root, const CrashNews &news)
{
    auto crashes = root.initCrashes(static_cast<unsigned>(news.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        const CrashReport &crash = news.crashes[i];
        crashes[i].setReplica(crash.replica);
        crashes[i].setAgeMillis(crash.ageMillis);
        crashes[i].setRunMillis(crash.runMillis);
        crashes[i].setPrompt(crash.prompt.whole);
        auto parts = crashes[i].initParts(static_cast<unsigned>(crash.prompt.parts.size()));
        for (unsigned part = 0; part < parts.size(); ++part) {
            parts.set(part, crash.prompt.parts[part]);
        }
    }
    auto answers = root.initAnswers(static_cast<unsigned>(news.answers.size()));
    for (unsigned i = 0; i < answers.size(); ++i) {
        answers[i].setKey(news.answers[i].key);
        answers[i].setAgeMillis(news.answers[i].ageMillis);
    }
    auto blocks = root.initBlocks(static_cast<unsigned>(news.blocks.size()));
    for (unsigned i = 0; i < blocks.size(); ++i) {
        blocks[i].setKey(news.blocks[i].key);
        blocks[i].setAgeMillis(news.blocks[i].ageMillis);
    }
}

static void readNews(wire::BeaconNews::Reader root, CrashNews &news)
{
    for (const auto crash : root.getCrashes()) {
        CrashReport report{crash.getReplica(), {{}, crash.getPrompt()}, crash.getAgeMillis(), crash.getRunMillis()};
        for (const SuspectKey part : crash.getParts()) {
            report.prompt.parts.push_back(part);
        }
        news.crashes.push_back(std::move(report));
    }
    for (const auto answer : root.getAnswers()) {
        news.answers.push_back({answer.getKey(), answer.getAgeMillis()});
    }
    for (const auto block : root.getBlocks()) {
        news.blocks.push_back({block.getKey(), block.getAgeMillis()});
    }
}

static void fillLimits(wire::BeaconNews::Builder root, const LimitReport &report)
{
    root.setStartId(report.startId);
    auto limits = root.initLimits(static_cast<unsigned>(report.news.size()));
    for (unsigned i = 0; i < limits.size(); ++i) {
        limits[i].setReplica(report.news[i].replica);
        limits[i].setAgeMillis(report.news[i].ageMillis);
        limits[i].setPerSecond(static_cast<float>(report.news[i].perSecond.value_or(-1)));
    }
    auto sends = root.initLimitedSends(static_cast<unsigned>(report.sends.size()));
    for (unsigned i = 0; i < sends.size(); ++i) {
        sends[i].setReplica(report.sends[i].replica);
        sends[i].setCount(report.sends[i].count);
    }
}

static void readLimits(wire::BeaconNews::Reader root, LimitReport &report)
{
    report.startId = root.getStartId();
    for (const auto told : root.getLimits()) {
        const double perSecond = told.getPerSecond();
        LimitNews news{told.getReplica(), std::nullopt, told.getAgeMillis()};
        if (perSecond >= 0 && std::isfinite(perSecond)) {
            news.perSecond = perSecond;
        }
        report.news.push_back(news);
    }
    for (const auto sent : root.getLimitedSends()) {
        report.sends.push_back({sent.getReplica(), sent.getCount()});
    }
}

static void fillReportedLoads(wire::BeaconNews::Builder root, const std::vector<ReportedLoad> &reported)
{
    auto loads = root.initLoads(static_cast<unsigned>(std::min(reported.size(), maxLoads)));
    for (unsigned i = 0; i < loads.size(); ++i) {
        loads[i].setEndpointHash(reported[i].endpointHash);
        loads[i].setInProgress(reported[i].inProgress);
    }
}

static std::vector<ReportedLoad> readReportedLoads(wire::BeaconNews::Reader root)
{
    std::vector<ReportedLoad> reported;
    for (const auto load : root.getLoads()) {
        reported.push_back({load.getEndpointHash(), load.getInProgress()});
    }
    return reported;
}

static void fillAccountWork(wire::BeaconNews::Builder root, const std::vector<AccountWork> &work)
{
    auto list = root.initAccountWork(static_cast<unsigned>(std::min(work.size(), maxAccountWork)));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setService(work[i].service);
        list[i].setAccount(work[i].account);
        list[i].setPerSecond(work[i].perSecond);
        list[i].setAccounts(work[i].accounts);
    }
}

/// Leaves out what no router can have started.
static std::vector<AccountWork> readAccountWork(wire::BeaconNews::Reader root)
{
    std::vector<AccountWork> work;
    for (const auto told : root.getAccountWork()) {
        const float perSecond = told.getPerSecond();
        if (perSecond >= 0 && perSecond <= maxWorkPerSecond && work.size() < maxAccountWork) {
            work.push_back({told.getService(), told.getAccount(), perSecond, told.getAccounts()});
        }
    }
    return work;
}

constexpr unsigned linkClassBits = 8;

/// @return the data centre in the upper 24 bits, the link class in the lower 8
static std::uint32_t encodeSite(const RouterSite &site)
{
    return site.dataCentre << linkClassBits | static_cast<std::uint32_t>(site.linkClass);
}

static RouterSite decodeSite(std::uint32_t site)
{
    return {site >> linkClassBits, static_cast<int>(site & ((1U << linkClassBits) - 1))};
}

static void fillSites(wire::BeaconNews::Builder root, const std::vector<RouterSite> &sites)
{
    std::vector<std::uint32_t> different;
    auto positions = root.initPeerSites(static_cast<unsigned>(std::min(sites.size(), maxListedPeers)));
    for (unsigned i = 0; i < positions.size(); ++i) {
        const std::uint32_t site = encodeSite(sites[i]);
        const auto found = std::find(different.begin(), different.end(), site);
        positions.set(i, static_cast<std::uint8_t>(found - different.begin()));
        if (found == different.end()) {
            different.push_back(site);
        }
    }
    auto list = root.initSites(static_cast<unsigned>(different.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, different[i]);
    }
}

static void fillBeacon(wire::LoadBeacon::Builder root, const LoadBeacon &beacon)
{
    root.setFrom(beacon.from);
    root.setNumber(beacon.number);
    if (beacon.isStartNotice) {
        root.setStartedAt(beacon.start.endpointHash);
        root.setLastsMillis(beacon.start.expectedMillis);
        root.setIsLong(beacon.start.isLong);
        return;
    }
    const auto count = static_cast<unsigned>(std::min(beacon.loads.size(), maxLoads));
    auto endpoints = root.initEndpoints(count);
    auto totals = root.initTotals(count);
    auto longLanes = root.initLongLanes(count);
    const auto hasSlowdown = [](const PeerLoad &load) { return load.slowdown > 0; };
    const bool sendsSlowdowns = std::any_of(beacon.loads.begin(), beacon.loads.begin() + count, hasSlowdown);
    auto slowdowns = root.initSlowdowns(sendsSlowdowns ? count : 0);
    const auto peers = static_cast<unsigned>(std::min(beacon.peers.size(), maxListedPeers));
    auto peerList = root.initPeers(peers);
    root.setPlacesUpTo(beacon.places ? beacon.places->upTo + 1 : 0); // 0 on the wire: not set
    root.setPlacesEra(beacon.places ? beacon.places->era : 0);
    root.setSite(encodeSite(beacon.site));
    for (unsigned i = 0; i < peers; ++i) {
        peerList.set(i, beacon.peers[i]);
    }
    for (unsigned i = 0; i < count; ++i) {
        endpoints.set(i, beacon.loads[i].endpointHash);
        totals.set(i, static_cast<std::uint8_t>(std::min<int>(beacon.loads[i].total, 255)));
        longLanes.set(i, static_cast<std::uint8_t>(std::min<int>(beacon.loads[i].longLane, 255)));
        if (sendsSlowdowns) {
            slowdowns.set(i, static_cast<std::uint8_t>(std::min(beacon.loads[i].slowdown * slowdownScale, 255.0)));
        }
    }
}

/// A list costs bytes also while it is empty.
static void fillFields(wire::BeaconNews::Builder root, const LoadBeacon &beacon)
{
    if (!beacon.news.isEmpty()) {
        fillNews(root, beacon.news);
    }
    if (!beacon.limits.isEmpty()) {
        fillLimits(root, beacon.limits);
    }
    if (!beacon.reported.empty()) {
        fillReportedLoads(root, beacon.reported);
    }
    if (!beacon.accountWork.empty()) {
        fillAccountWork(root, beacon.accountWork);
    }
    if (!beacon.peerSites.empty()) {
        fillSites(root, beacon.peerSites);
    }
}

std::string encodeBeacon(const LoadBeacon &beacon)
{
    capnp::MallocMessageBuilder builder;
    fillBeacon(builder.initRoot<wire::LoadBeacon>(), beacon);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const bool hasNews =
        !beacon.news.isEmpty() || !beacon.limits.isEmpty() || !beacon.reported.empty() || !beacon.accountWork.empty();
    if (beacon.isStarting || hasNews || !beacon.peerSites.empty() || beacon.stateVersion >= 0) {
        capnp::MallocMessageBuilder newsBuilder;
        auto news = newsBuilder.initRoot<wire::BeaconNews>();
        news.setIsStarting(beacon.isStarting);
        fillFields(news, beacon);
        news.setStateVersion(beacon.stateVersion + 1); // 0 on the wire: not told
        capnp::writePackedMessage(out, newsBuilder);
    }
    const auto bytes = out.getArray();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

static void readLoads(wire::LoadBeacon::Reader root, LoadBeacon &beacon)
{
    const auto endpoints = root.getEndpoints();
    const auto totals = root.getTotals();
    const auto longLanes = root.getLongLanes();
    const auto slowdowns = root.getSlowdowns();
    const unsigned count = std::min({endpoints.size(), totals.size(), longLanes.size()});
    beacon.from = root.getFrom();
    beacon.number = root.getNumber();
    beacon.isStartNotice = root.getStartedAt() != 0;
    beacon.start = {root.getStartedAt(), root.getLastsMillis(), root.getIsLong()};
    for (unsigned i = 0; i < count; ++i) {
        const double slowdown = i < slowdowns.size() ? slowdowns[i] / slowdownScale : 0;
        beacon.loads.push_back({endpoints[i], totals[i], longLanes[i], slowdown});
    }
    if (root.getPlacesUpTo() > 0) {
        beacon.places = PlacesProgress{root.getPlacesUpTo() - 1, root.getPlacesEra()};
    }
    beacon.site = decodeSite(root.getSite());
    const auto peers = root.getPeers();
    for (unsigned i = 0; i < std::min<unsigned>(peers.size(), maxListedPeers); ++i) {
        beacon.peers.push_back(peers[i]);
    }
}

static void readBeacon(const std::string &bytes, LoadBeacon &beacon)
{
    const auto *data = reinterpret_cast<const kj::byte *>(bytes.data());
    kj::ArrayInputStream in(kj::arrayPtr(data, bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxTraversalWords;
    capnp::PackedMessageReader reader(in, options);
    readLoads(reader.getRoot<wire::LoadBeacon>(), beacon);
    if (in.tryGetReadBuffer().size() == 0) {
        return;
    }
    capnp::PackedMessageReader newsReader(in, options);
    const auto news = newsReader.getRoot<wire::BeaconNews>();
    beacon.isStarting = news.getIsStarting();
    readNews(news, beacon.news);
    readLimits(news, beacon.limits);
    beacon.reported = readReportedLoads(news);
    beacon.accountWork = readAccountWork(news);
    beacon.stateVersion = std::max<DesiredStateVersion>(news.getStateVersion(), 0) - 1;
    const auto sites = news.getSites();
    for (const std::uint8_t position : news.getPeerSites()) {
        beacon.peerSites.push_back(position < sites.size() ? decodeSite(sites[position]) : RouterSite());
    }
    beacon.peerSites.resize(std::min(beacon.peerSites.size(), beacon.peers.size()));
}

bool decodeBeacon(const std::string &bytes, LoadBeacon &beacon)
{
    const auto failure = kj::runCatchingExceptions([&] { readBeacon(bytes, beacon); });
    return failure == nullptr;
}

int datagramBytes(const std::string &payload)
{
    return static_cast<int>(payload.size()) + datagramHeaderBytes;
}

BeaconSocket::BeaconSocket(asio::io_context &io, BeaconHandler onBeacon)
    : m_socket(io)
    , m_onBeacon(std::move(onBeacon))
{
}

bool BeaconSocket::open(const std::string &address, int port)
{
    std::error_code error;
    const auto where = asio::ip::make_address(address, error);
    if (error) {
        return false;
    }
    const asio::ip::udp::endpoint endpoint(where, static_cast<unsigned short>(port));
    m_socket.open(endpoint.protocol(), error);
    m_socket.bind(endpoint, error);
    if (error) {
        return false;
    }
    m_socket.non_blocking(true, error); // a full send buffer drops beacons instead of blocking the event loop
    receive();
    return true;
}

void BeaconSocket::send(const std::string &payload, const std::string &address, int port)
{
    std::error_code error;
    const auto where = asio::ip::make_address(address, error);
    if (!error) {
        m_socket.send_to(asio::buffer(payload), {where, static_cast<unsigned short>(port)}, 0, error);
        m_bytesSent += datagramBytes(payload);
    }
}

void BeaconSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const std::error_code &error, std::size_t size) {
                                    if (error == asio::error::operation_aborted) {
                                        return;
                                    }
                                    if (!error) {
                                        onDatagram(std::string(m_buffer.data(), size));
                                    }
                                    receive();
                                });
}

void BeaconSocket::onDatagram(const std::string &bytes)
{
    if (isOther && isOther(bytes)) {
        onOther(bytes, m_sender);
        return;
    }
    LoadBeacon beacon;
    if (decodeBeacon(bytes, beacon)) {
        m_onBeacon(beacon, m_sender);
    }
}

} // namespace galenafold
