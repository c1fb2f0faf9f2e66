// How routers find out at which version a stream began that another router passed on, without clock and sockets.
//
// Load pattern: a caller takes a stream up again at any router, often because the one that began it has died. While
// a service may have several versions, each router tells the origins of its streams to the two keepers of their
// partitions, and a router that does not know an origin asks these. A keeper that does not know what its predecessor
// was told reads it from the store. While a service has one version, nothing is told.
//
// Sections of this file: Answers, Exchange.
#pragma once

#include "control/originoutbox.h"
#include "control/streamkeepers.h"

namespace galenafold
{

// Answers

/// What was found out of a stream.
struct OriginAnswer {
    std::optional<VersionHash> version; // nothing: no router knows it that could be asked
    OriginSource source = OriginSource::Own;
};

/// Since the start, for metrics.
struct OriginStats {
    std::int64_t told = 0;     // origins to keepers, repeats included
    std::int64_t asked = 0;    // streams of which keepers were asked, repeats not included
    std::int64_t found = 0;    // streams of which the origin was found here or elsewhere
    std::int64_t notFound = 0; // the others
};

// Exchange

/// What one router knows of streams' origins, tells and asks.
class OriginExchange
{
public:
    using Answer = std::function<void(const OriginAnswer &)>;

    explicit OriginExchange(int partitions);

    void setOwnAddress(std::uint32_t address) { m_ownAddress = address; }

    /// Sets the other routers that are heard lately, by their IPv4 addresses.
    void setRouters(Instant now, const std::vector<std::uint32_t> &others);

    /// A router that is heard has started anew, and has forgotten what it was told.
    void onStarted(Instant now, std::uint32_t router);

    /// Sets the services whose streams may have begun at several versions: only of these origins are told.
    void setUncertain(Instant now, const std::vector<ServiceId> &services);

    /// This router has passed on the first event of a stream.
    void note(Instant now, const ServiceId &service, const StreamOrigin &origin);

    /// @param onAnswer called once, maybe at once
    void find(Instant now, StreamKey stream, const Answer &onAnswer);

    void onMessage(Instant now, std::uint32_t from, const OriginMessage &message);

    /// @param origins what the store holds of a partition; nothing: it could not be read
    void setStored(Instant now, int partition, const std::optional<std::vector<StreamOrigin>> &origins);

    void tick(Instant now);                    ///< Does what is due.
    std::optional<Instant> nextTickAt() const; ///< @return when something is due; nothing: after the next event
    const OriginStats &stats() const { return m_stats; }

    /// Hands a partition's origins to the store that were not handed to it before: five times a second at most.
    std::function<void(int partition, std::vector<StreamOrigin>)> onSave;

    /// Asks for what the store holds of a partition; `setStored` answers later. Unset: there is no store.
    std::function<void(int partition)> onLoad;

    std::function<void(std::uint32_t to, const OriginMessage &)> onSend = [](std::uint32_t, const OriginMessage &) {};

    /// Asks for bytes that the router's other messages do not need now. @return true if they may be sent
    std::function<bool(Instant, int bytes)> borrow = [](Instant, int) { return false; };

private:
    struct Question {
        std::vector<Answer> onAnswer;
        std::set<std::uint32_t> unanswered; // keepers that were asked and have not answered
        bool isAnswered = false;            // a keeper knows that it does not know
        bool waitsForStore = false;         // which this router reads
        int repeats = 0;
        Instant repeatAt{};
        Instant giveUpAt{};
    };
    struct Unsaved {
        StreamKey stream{};
        Instant toldAt{};
    };
    struct Partition {
        std::vector<std::uint32_t> keepers;
        std::optional<Instant> keptSince; // by this router; nothing: it is no keeper
        std::optional<Instant> loadedAt;  // when the store was read
        std::optional<Instant> loadingUntil;
        Instant noLoadBefore{};
        std::vector<std::pair<std::uint32_t, StreamKey>> askers; // that wait for the store
        std::deque<Unsaved> unsaved;                             // oldest first
        Instant nextSaveAt{};
    };

    /// Routers that have become keepers of a partition.
    struct NewKeepers {
        bool wasKeptHere = false; // by this router, before
        std::vector<std::uint32_t> keepers;
    };

    Partition &partition(StreamKey stream);
    void tell(Instant now, StreamKey stream, const std::vector<std::uint32_t> &keepers, bool isFresh);
    void retell(Instant now, const std::vector<NewKeepers> &changes);
    void onTold(Instant now, const ToldOrigin &told);
    void onAsked(Instant now, std::uint32_t from, StreamKey stream);
    void onUnknown(Instant now, std::uint32_t from, StreamKey stream);
    void onLoading(Instant now, StreamKey stream);
    bool waitsForLoad(Instant now, StreamKey stream);
    void answerAskers(Instant now, Partition &partition);
    void resolve(StreamKey stream, const OriginAnswer &answer);
    void resolveIfHopeless(StreamKey stream);
    void checkQuestions(Instant now);
    void onSilence(Instant now, StreamKey stream, Question &question);
    void checkLoads(Instant now);
    void save(Instant now);
    std::optional<ToldOrigin> lookUp(Instant now, StreamKey stream) const;

    std::uint32_t m_ownAddress = 0;
    StreamOriginTable m_known;
    std::set<std::uint64_t> m_uncertain; // hashes of services
    std::vector<std::uint32_t> m_others; // routers that are heard, sorted
    bool m_hasRouters = false;           // `setRouters` was called
    std::vector<Partition> m_partitions;
    std::map<StreamKey, Question> m_questions;
    OriginOutbox m_outbox;
    OriginStats m_stats;
};

} // namespace galenafold
