// Model of routers that list a topic, read it and tell each other of it while the store is restored from copies: pages
// of a listing and answers of another router are on their way meanwhile, some routers are turned away, and they change
// whom they ask. All times and choices are drawn from a seed.
#pragma once

#include "control/evacuations.h"
#include "control/replicadirectory.h"
#include "platform/documents.h"
#include "runtime/topicknowledge.h"
#include "tests/restoredstore.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <list>

namespace galenafold
{

/// What a router makes of the topic's records, as `RouterNode` does.
struct ModelView {
    void apply(const KeyedRecord &record, Instant now)
    {
        if (const auto evacuation = decodeEvacuation(record)) {
            evacuations.apply(*evacuation);
        } else if (record.key == "config" && !record.value.empty()) {
            version = std::max(version, std::stoi(record.value));
        } else if (record.key != "config") {
            directory.apply(now, update(record, now));
        }
    }
    void list(const std::vector<KeyedRecord> &records, const TopicPosition &begin, Instant now)
    {
        std::vector<EvacuationRecord> listedEvacuations;
        std::vector<RegistryUpdate> listed;
        for (const KeyedRecord &record : records) {
            if (const auto evacuation = decodeEvacuation(record)) {
                listedEvacuations.push_back(*evacuation);
            } else if (record.key == "config") {
                apply(record, now);
            } else {
                listed.push_back(update(record, now));
            }
        }
        evacuations.applyListing(listedEvacuations, begin);
        directory.applyListing(now, listed, begin);
    }
    static RegistryUpdate update(const KeyedRecord &record, Instant now)
    {
        return {{record.key}, record.position, decodeReplica({record.key}, record.value, now)};
    }
    std::set<std::string> usable() const
    {
        std::set<std::string> ids;
        for (const ReplicaRecord &record : directory.usable()) {
            ids.insert(record.id.text);
        }
        return ids;
    }
    std::set<std::string> evacuated() const
    {
        std::set<std::string> names;
        for (const DataCentreId &name : evacuations.dataCentres()) {
            names.insert(name.text);
        }
        return names;
    }

    static constexpr auto reregistrationTimeout = std::chrono::seconds(2);
    int version = 0;
    Evacuations evacuations;
    ReplicaDirectory directory{reregistrationTimeout};
};

/// A few routers, each with one call at a time, to the store or to another one.
class ModelFleet
{
public:
    ModelFleet(std::uint64_t seed, const TopicSettings &reading, const TopicCacheSettings &told, int routers)
        : m_random(seed)
        , m_hasReader(reading.sharedInterval == Duration{} || draw(1) == 0)
    {
        for (int i = 0; i < routers; ++i) {
            m_routers.push_back(std::make_unique<Router>());
            makeKnowledge(*m_routers.back(), reading, told, seed + static_cast<std::uint64_t>(i));
            scheduleCall(*m_routers.back());
        }
    }
    int draw(int most) { return boost::random::uniform_int_distribution<int>(0, most)(m_random); }
    std::size_t drawRouter() { return static_cast<std::size_t>(draw(static_cast<int>(m_routers.size()) - 1)); }
    Duration drawMillis(int most) { return std::chrono::milliseconds(draw(most)); }

    /// While on, the routers of even index get no answer of the store.
    void setTurnedAway(bool isOn) { m_isTurnedAway = isOn; }
    /// Another router reads the store, and is what most of the others ask, if there is such a router.
    void changeReader() { m_reader = drawRouter(); }

    const ModelView &view(std::size_t router) const { return m_routers[router]->view; }
    std::size_t size() const { return m_routers.size(); }

    ModelTime time;
    ModelStore store{time};
    std::string failure; // of the first check that failed
    int listings = 0;    // taken over from other routers
    int packed = 0;      // answers of other routers that were packed
    int caughtUp = 0;    // proofs that were checked

private:
    struct Router {
        std::unique_ptr<TopicKnowledge> knowledge;
        ModelView view;
        Instant heldSince{};       // last restore or return of the store, as this router noticed it
        bool mustAskStore = false; // as the last answer of another router was of no use
        struct Waiting {
            TopicQuestion question;
            Instant arrivedAt{};
            std::function<void(const TopicAnswer &)> send;
        };
        std::list<Waiting> waiting;
    };

    void check(bool holds, const std::string &what)
    {
        if (!holds && failure.empty()) {
            failure =
                what + " at " + std::to_string(std::chrono::duration<double>(time.now().time_since_epoch()).count());
        }
    }
    void makeKnowledge(Router &router, const TopicSettings &reading, const TopicCacheSettings &told, std::uint64_t seed)
    {
        TopicKnowledgeHooks hooks;
        hooks.now = [this] { return time.now(); };
        hooks.topic.onRecord = [this, &router](const KeyedRecord &record) { router.view.apply(record, time.now()); };
        hooks.topic.onListed = [this, &router](const std::vector<KeyedRecord> &records, const TopicPosition &begin) {
            router.view.list(records, begin, time.now());
        };
        hooks.topic.onCaughtUp = [this, &router](Instant provedAt) { checkProof(router, provedAt); };
        hooks.onLost = [&router](Instant) { router.view.directory.onStoreLost(); };
        hooks.onRegained = [&router](Instant now) {
            router.heldSince = std::max(router.heldSince, now);
            router.view.directory.onStoreRegained(now);
        };
        hooks.onRestored = [&router](Instant now, const std::optional<StoreEra> &) {
            router.heldSince = std::max(router.heldSince, now);
            router.view.directory.onStoreRestored(now);
        };
        router.knowledge = std::make_unique<TopicKnowledge>(reading, told, hooks, seed);
        router.knowledge->told().setMaxAnswerBytes(1 << 20);
    }

    // Checks

    /// All that was acknowledged by the time of a proof is known, and what was gone by then is not used.
    void checkProof(Router &router, Instant provedAt)
    {
        ++caughtUp;
        const TopicPosition &position = router.knowledge->consumer().position();
        const ModelLife &life = store.lives.at(position.era.value_or(0));
        check(provedAt < life.end, "a proof from after the end of its era");
        check(position.offset >= life.endAt(provedAt), "a proof of records that are not known");
        const auto newest = life.newest(position.offset);
        const auto config = newest.find("config");
        check(config == newest.end() || router.view.version >= std::stoi(config->second), "an older version");
        router.view.directory.expire(provedAt);
        const bool isHeld =
            router.knowledge->outage().isLost() || provedAt < router.heldSince + ModelView::reregistrationTimeout;
        for (const std::string &id : router.view.usable()) {
            const auto found = newest.find(id);
            const bool isThere = found != newest.end() && !found->second.empty();
            check(isHeld || isThere || life.isWrittenFrom(position.offset, id), "a replica is used that is gone");
        }
    }

    /// What is told under an era is of that era, and complete as of its proof.
    void checkAnswer(const TopicAnswer &answer, Instant arrivedAt)
    {
        if (!answer.isKnown) {
            return;
        }
        const ModelLife &life = store.lives.at(answer.era.value_or(0));
        const Instant provedAt = arrivedAt + answer.provedAfter;
        check(provedAt < life.end, "a proof is told from after the end of its era");
        check(answer.end <= static_cast<LogOffset>(life.log.size()), "an end is told that the era does not have");
        check(answer.end >= life.endAt(provedAt), "a proof is told of records that are not known");
        for (const KeyedRecord &record : answer.records) {
            const auto offset = static_cast<std::size_t>(record.position.offset);
            const bool isThere = offset < life.log.size() && life.log[offset].key == record.key
                && life.log[offset].value == record.value;
            check(isThere, "a record is told that the era does not have");
        }
    }

    // Calls

    void scheduleCall(Router &router)
    {
        const Instant now = time.now();
        const bool asksStore = router.mustAskStore || isReader(router) || draw(3) == 0;
        const Instant when = asksStore ? router.knowledge->consumer().next(now).notBefore
                                       : router.knowledge->consumer().nextFollowing(now);
        time.at(std::max<Instant>(when, now + std::chrono::milliseconds(1 + draw(150))), [this, &router, asksStore] {
            if (asksStore) {
                askStore(router);
            } else {
                askRouter(router, *m_routers[m_hasReader && draw(1) == 0 ? m_reader : drawRouter()]);
            }
        });
    }
    bool isReader(const Router &router) const { return m_hasReader && m_routers[m_reader].get() == &router; }
    bool isServed(const Router &router) const
    {
        std::size_t index = 0;
        while (m_routers[index].get() != &router) {
            ++index;
        }
        return !store.isAway && !(m_isTurnedAway && index % 2 == 0);
    }
    void askStore(Router &router)
    {
        router.mustAskStore = false;
        const Instant sentAt = time.now();
        const TopicRequest request = router.knowledge->consumer().next(sentAt);
        time.after(drawMillis(60), [this, &router, request, sentAt] {
            serve(router, request, sentAt, time.now() + request.longPollTimeout);
        });
    }
    void serve(Router &router, const TopicRequest &request, Instant sentAt, Instant waitsUntil)
    {
        const ModelLife &life = store.life();
        const bool isRead = request.kind == TopicRequestKind::Read;
        const bool hasNews = static_cast<LogOffset>(life.log.size()) != request.from;
        if (isServed(router) && isRead && !hasNews && time.now() < waitsUntil) {
            time.after(std::chrono::milliseconds(20),
                       [this, &router, request, sentAt, waitsUntil] { serve(router, request, sentAt, waitsUntil); });
            return;
        }
        const Duration delay = drawMillis(draw(4) == 0 ? 600 : 60);
        if (!isServed(router)) {
            const bool tellsEra = !store.isAway && draw(1) == 0; // its refusals name the era as well
            time.after(delay, [this, &router, era = store.era, tellsEra] {
                if (tellsEra) {
                    router.knowledge->onStoreEra(time.now(), era);
                }
                router.knowledge->consumer().onFailure(time.now());
                router.knowledge->onStoreLost(time.now());
                finish(router);
            });
            return;
        }
        time.after(delay, [this, &router, request, sentAt, era = store.era, log = life.log] {
            onStoreAnswer(router, request, sentAt, era, log);
        });
    }
    /// @param log the store's, when it served the request
    void onStoreAnswer(Router &router, const TopicRequest &request, Instant sentAt, StoreEra era,
                       const std::vector<ModelRecord> &log)
    {
        const Instant now = time.now();
        TopicKnowledge &knowledge = *router.knowledge;
        const auto end = static_cast<LogOffset>(log.size());
        if (!knowledge.onStoreEra(now, era)) {
            if (request.kind == TopicRequestKind::Listing) {
                knowledge.consumer().onPage(sentAt, now, page(log, request.after));
            } else if (request.kind == TopicRequestKind::End) {
                knowledge.consumer().onEnd(sentAt, now, end);
            } else if (request.from > end) {
                knowledge.consumer().onOffsetOutOfRange();
            } else {
                knowledge.consumer().onRead(sentAt, now, read(log, request.from));
            }
        }
        if (knowledge.outage().isLost()) {
            knowledge.onStoreRegained(now);
        }
        finish(router);
    }
    static ListingPage page(const std::vector<ModelRecord> &log, const std::string &after)
    {
        constexpr std::size_t pageSize = 2; // most listings take several pages
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < log.size(); ++i) {
            newest[log[i].key] = i;
        }
        ListingPage page;
        page.end = static_cast<LogOffset>(log.size());
        for (auto entry = newest.upper_bound(after); entry != newest.end() && !page.isTruncated; ++entry) {
            const ModelRecord &record = log[entry->second];
            if (record.value.empty()) {
                continue;
            }
            page.isTruncated = page.records.size() == pageSize;
            if (!page.isTruncated) {
                page.records.push_back({record.key, record.value, {static_cast<LogOffset>(entry->second)}});
            }
        }
        return page;
    }
    static TopicRead read(const std::vector<ModelRecord> &log, LogOffset from)
    {
        constexpr LogOffset most = 40; // records an answer; more are written between two reads at times
        TopicRead read;
        read.end = static_cast<LogOffset>(log.size());
        for (LogOffset i = from; i < std::min(read.end, from + most); ++i) {
            const ModelRecord &record = log[static_cast<std::size_t>(i)];
            read.records.push_back({record.key, record.value, {i}});
        }
        return read;
    }
    void askRouter(Router &router, Router &other)
    {
        if (&router == &other) {
            scheduleCall(router);
            return;
        }
        const Instant sentAt = time.now();
        TopicQuestion question = router.knowledge->question(sentAt);
        question.acceptsGzip = true;
        const auto onAnswer = [this, &router, sentAt](const TopicAnswer &answer) {
            listings += answer.isListing ? 1 : 0;
            const bool isUsable = answer.isKnown && !answer.isTooLarge;
            router.mustAskStore = !isUsable || !router.knowledge->applyAnswer(sentAt, time.now(), answer);
            finish(router);
        };
        const auto send = [this, onAnswer](const TopicAnswer &answer) {
            time.after(drawMillis(40), [onAnswer, answer] { onAnswer(answer); });
        };
        time.after(drawMillis(40), [this, &other, question, send] {
            const Instant arrivedAt = time.now();
            other.waiting.push_back({question, arrivedAt, send});
            answerWaiting(other);
            time.after(question.wait, [this, &other, arrivedAt] { answerWaiting(other, arrivedAt); });
        });
    }
    /// @param arrivedUntil questions that arrived by then are answered whether there is news or not
    void answerWaiting(Router &router, Instant arrivedUntil = Instant{})
    {
        for (auto entry = router.waiting.begin(); entry != router.waiting.end();) {
            const bool isDue = entry->arrivedAt <= arrivedUntil || entry->question.wait == Duration{}
                || router.knowledge->hasNews(entry->question, entry->arrivedAt);
            if (!isDue) {
                ++entry;
                continue;
            }
            const Router::Waiting due = std::move(*entry);
            entry = router.waiting.erase(entry);
            const TopicAnswer answer = router.knowledge->answer(due.question, due.arrivedAt, time.now());
            const bool isPacked = !answer.packedRecords.empty();
            packed += isPacked ? 1 : 0;
            const auto sent = isPacked ? decodeTopicAnswer(encodeTopicAnswer(answer), true) : std::optional(answer);
            checkAnswer(*sent, due.arrivedAt);
            due.send(*sent);
        }
    }
    void finish(Router &router)
    {
        answerWaiting(router);
        scheduleCall(router);
    }

    boost::random::mt19937_64 m_random;
    std::vector<std::unique_ptr<Router>> m_routers;
    bool m_hasReader = false; // otherwise all ask any other, and the store now and then
    std::size_t m_reader = 0;
    bool m_isTurnedAway = false;
};

} // namespace galenafold
