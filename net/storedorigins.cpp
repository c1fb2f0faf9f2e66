// Serialisation of what the store holds of where streams began.
#include "net/storedorigins.h"

#include "wire/storedorigins.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/io.h>

namespace galenafold
{

using OriginsByVersion = std::map<VersionHash, std::vector<StreamKey>>;

static void fillGroups(wire::StoredOrigins::Builder root, const OriginsByVersion &versions)
{
    auto groups = root.initGroups(static_cast<unsigned>(versions.size()));
    unsigned next = 0;
    for (const auto &[version, streams] : versions) {
        auto group = groups[next++];
        group.setVersion(static_cast<std::uint32_t>(version));
        auto list = group.initStreams(static_cast<unsigned>(streams.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list.set(i, static_cast<std::uint64_t>(streams[i]));
        }
    }
}

std::string encodeStoredOrigins(const StoredOrigins &stored)
{
    OriginsByVersion versions;
    for (const StreamOrigin &origin : stored.origins) {
        versions[origin.version].push_back(origin.stream);
    }
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::StoredOrigins>();
    root.setWrittenMillis(stored.writtenAt.count());
    fillGroups(root, versions);
    kj::VectorOutputStream out;
    capnp::writeMessage(out, message);
    const auto bytes = out.getArray();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

std::optional<StoredOrigins> decodeStoredOrigins(const std::string &bytes)
{
    StoredOrigins stored;
    const auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in({reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()});
        capnp::ReaderOptions options;
        options.traversalLimitInWords = 2 * (bytes.size() / sizeof(capnp::word) + 1); // a list may be named repeatedly
        capnp::InputStreamMessageReader reader(in, options);
        const auto root = reader.getRoot<wire::StoredOrigins>();
        stored.writtenAt = UnixMillis(root.getWrittenMillis());
        for (const auto group : root.getGroups()) {
            const auto version = static_cast<VersionHash>(group.getVersion());
            for (const std::uint64_t stream : group.getStreams()) {
                stored.origins.push_back({static_cast<StreamKey>(stream), version});
            }
        }
    });
    return failure == nullptr ? std::optional(std::move(stored)) : std::nullopt;
}

} // namespace galenafold
