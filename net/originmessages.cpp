// Serialisation of messages between routers on the origins of streams.
#include "net/originmessages.h"

#include "wire/peer.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace galenafold
{

constexpr std::string_view mark = "\xffGFS1";     // a literal word of the packed encoding: 0x31534647 segments
constexpr std::uint64_t maxTraversalWords = 1024; // Cap'n Proto traversal limit for untrusted input

template<typename List>
static void fillStreams(List list, const std::vector<StreamKey> &streams)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, static_cast<std::uint64_t>(streams[i]));
    }
}

static void fillTold(wire::OriginMessage::Builder root, const std::vector<ToldOrigin> &told)
{
    std::vector<VersionHash> versions;
    const auto count = static_cast<unsigned>(told.size());
    auto streams = root.initTold(count);
    auto positions = root.initVersionPositions(count);
    const bool hasAges =
        std::any_of(told.begin(), told.end(), [](const ToldOrigin &each) { return each.ageSeconds > 0; });
    auto ages = root.initAges(hasAges ? count : 0);
    for (unsigned i = 0; i < count; ++i) {
        const VersionHash version = told[i].origin.version;
        const auto found = std::find(versions.begin(), versions.end(), version);
        positions.set(i, static_cast<std::uint8_t>(found - versions.begin()));
        if (found == versions.end()) {
            versions.push_back(version);
        }
        streams.set(i, static_cast<std::uint64_t>(told[i].origin.stream));
        if (hasAges) {
            ages.set(i, told[i].ageSeconds);
        }
    }
    auto list = root.initVersions(static_cast<unsigned>(versions.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, static_cast<std::uint32_t>(versions[i]));
    }
}

/// A list costs bytes also while it is empty.
static void fill(wire::OriginMessage::Builder root, const OriginMessage &message)
{
    if (!message.told.empty()) {
        fillTold(root, message.told);
    }
    if (!message.asked.empty()) {
        fillStreams(root.initAsked(static_cast<unsigned>(message.asked.size())), message.asked);
    }
    if (!message.unknown.empty()) {
        fillStreams(root.initUnknown(static_cast<unsigned>(message.unknown.size())), message.unknown);
    }
    if (!message.loading.empty()) {
        fillStreams(root.initLoading(static_cast<unsigned>(message.loading.size())), message.loading);
    }
}

std::string encodeOriginMessage(const OriginMessage &message)
{
    capnp::MallocMessageBuilder builder;
    fill(builder.initRoot<wire::OriginMessage>(), message);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    std::string datagram(mark);
    return datagram.append(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

bool isOriginMessage(const std::string &bytes)
{
    return bytes.compare(0, mark.size(), mark) == 0;
}

template<typename List>
static std::vector<StreamKey> readStreams(List list)
{
    std::vector<StreamKey> streams;
    for (unsigned i = 0; i < std::min<unsigned>(list.size(), maxMessageStreams); ++i) {
        streams.push_back(static_cast<StreamKey>(list[i]));
    }
    return streams;
}

static std::vector<ToldOrigin> readTold(wire::OriginMessage::Reader root)
{
    std::vector<ToldOrigin> told;
    const auto streams = root.getTold();
    const auto positions = root.getVersionPositions();
    const auto versions = root.getVersions();
    const auto ages = root.getAges();
    for (unsigned i = 0; i < std::min<unsigned>({streams.size(), positions.size(), maxMessageStreams}); ++i) {
        if (positions[i] < versions.size()) { // else its version is not told
            const StreamOrigin origin{static_cast<StreamKey>(streams[i]),
                                      static_cast<VersionHash>(versions[positions[i]])};
            told.push_back({origin, i < ages.size() ? ages[i] : std::uint8_t(0)});
        }
    }
    return told;
}

static OriginMessage read(const std::string &bytes)
{
    const auto *data = reinterpret_cast<const kj::byte *>(bytes.data());
    kj::ArrayInputStream in(kj::arrayPtr(data + mark.size(), bytes.size() - mark.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxTraversalWords;
    capnp::PackedMessageReader reader(in, options);
    const auto root = reader.getRoot<wire::OriginMessage>();
    return {readTold(root), readStreams(root.getAsked()), readStreams(root.getUnknown()),
            readStreams(root.getLoading())};
}

std::optional<OriginMessage> decodeOriginMessage(const std::string &bytes)
{
    if (!isOriginMessage(bytes)) {
        return std::nullopt;
    }
    OriginMessage message;
    const auto failure = kj::runCatchingExceptions([&] { message = read(bytes); });
    return failure == nullptr ? std::optional(std::move(message)) : std::nullopt;
}

} // namespace galenafold
