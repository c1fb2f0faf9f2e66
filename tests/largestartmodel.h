// Model of a hundred routers or more that start at once and follow the registry, without I/O: virtual time, the
// product's decisions on whom to ask for what, and a store and links whose rates are shared by those who are sent
// something. The store may also send its responses one after the other, so that those who do not wait for their turn
// ask again.
//
// Sections of this file: Figures, Model.
#pragma once

#include "control/storetopics.h"
#include "control/topicsources.h"

#include <boost/random/uniform_real_distribution.hpp>
#include <deque>
#include <memory>

namespace galenafold
{

// Figures

/// What the fleet is told, and in which form.
struct LargeStartScenario {
    double firstListAt = 0.6;       // s; when the first router has a peer list
    double lastListAt = 2;          // s; when the last one has
    bool leavesLargeListing = true; // the rest of a large listing is left to those that rank highest
    double listingBytes = 110e3;    // of a router's answer with all replicas
    double seconds = 8;
    int routers = 300;

    // A store that sends one response after the other, also those whose reader has gone

    bool isStoreQueued = false;
    double desiredStateBytes = 68e3; // that each router asks for at its start
    double placesBytes = 65e3;       // likewise, of the beginning of the places
    bool asksInTurn = true;          // for the registry once the store has answered, and for the places after that
    bool waitsForTurn = true;        // for the listing, as the store has answered another call
};

// Model

struct LargeStart {
    static constexpr int dataCentres = 3;
    static constexpr int pages = 6; // of the listing of 3,000 replicas
    static constexpr double pageBytes = 155e3;
    static constexpr double heartbeatsPerSecond = 2500; // of all replicas
    static constexpr double heartbeatBytes = 240;
    static constexpr double maxReadBytes = 1 << 20;
    static constexpr double storeRate = 80e6; // bytes/s to all readers together
    static constexpr double wideRate = 25e6;  // bytes/s of a link
    static constexpr double narrowRate = 3e6; // likewise
    static constexpr double step = 0.01;      // s

    struct Router {
        std::unique_ptr<TopicConsumer> consumer;
        TopicSources sources{"registry", 0};
        DataCentreRouter self;
        int dataCentre = 0;
        double toldAt = 0; // s
        bool isTold = false;
        bool isFollowed = false;
        double knownAt = -1;  // s; when it first knew all replicas
        double provedAt = -1; // s
        bool isCalling = false;
        double sentAt = 0;
        TopicSource source;
        TopicRequest request;
        double bytesLeft = 0; // of the response; negative: a question that waits at the other router
        bool getsListing = false;
        double answerProvedAt = 0;
        double askAgainAt = 0;
        double startsAt = 0;  // s; when it first asks for the registry
        double beginsAt = 0;  // s; when the store's response begins
        bool isLost = false;  // the store did not answer its last call
        bool hasPage = false; // the store has answered a call
    };

    explicit LargeStart(LargeStartScenario theScenario)
        : scenario(theScenario)
        , random(1)
    {
        RouterSettings settings;
        settings.maxDrainDelay = std::chrono::seconds(2);
        for (int i = 0; i < scenario.routers; ++i) {
            Router &router = routers.emplace_back();
            router.self = {static_cast<std::uint32_t>(i + 1), i < 2 * dataCentres ? 7 : 4};
            router.dataCentre = i % dataCentres;
            router.toldAt = scenario.firstListAt + uniform() * (scenario.lastListAt - scenario.firstListAt);
            router.sources = TopicSources("registry", static_cast<std::uint64_t>(i));
            TopicHooks hooks;
            hooks.onRecord = [](const KeyedRecord &) {};
            hooks.onListed = [&router](const std::vector<KeyedRecord> &, const TopicPosition &) {
                router.sources.onListed();
            };
            hooks.onCaughtUp = [&router](Instant provedAt) {
                router.provedAt = std::max(router.provedAt, secondsOf(provedAt));
            };
            router.consumer = std::make_unique<TopicConsumer>(registryTopic(settings), hooks, i);
        }
        if (scenario.isStoreQueued) {
            askForOtherTopics();
        }
    }

    /// All ask in the same moment.
    void askForOtherTopics()
    {
        for (Router &router : routers) {
            const double answeredAt =
                queue(0, scenario.desiredStateBytes) + scenario.desiredStateBytes / rateOf(router);
            if (!scenario.asksInTurn) {
                queue(0, scenario.placesBytes);
            }
            router.startsAt = scenario.asksInTurn ? answeredAt : 0;
            if (scenario.waitsForTurn) {
                router.consumer->onStoreAnswersOthers();
            }
        }
    }

    /// @return when the store begins to send such a response
    double queue(double now, double bytes)
    {
        const double beginsAt = std::max(now, storeFreeAt);
        storeFreeAt = beginsAt + bytes / storeRate;
        storeBytes += bytes;
        return beginsAt;
    }

    static double rateOf(const Router &router) { return router.self.linkClass > 4 ? wideRate : narrowRate; }

    static Instant at(double seconds)
    {
        return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds + 1000)));
    }
    static double secondsOf(Instant time)
    {
        return std::chrono::duration<double>(time.time_since_epoch()).count() - 1000;
    }
    double uniform() { return boost::random::uniform_real_distribution<double>(0, 1)(random); }
    static LogOffset endAt(double now) { return 3000 + static_cast<LogOffset>(now * heartbeatsPerSecond); }

    /// A peer list names the router's whole data centre.
    void tell(Router &router)
    {
        std::vector<DataCentreRouter> others;
        for (const Router &other : routers) {
            if (other.dataCentre == router.dataCentre && &other != &router) {
                others.push_back(other.self);
            }
        }
        router.isTold = true;
        router.sources.setRouters(router.self, others);
    }

    Router &asked(const Router &asker) { return routers[*asker.source.router - 1]; }

    void ask(double now, Router &router)
    {
        if (router.consumer->isListingLarge() && scenario.leavesLargeListing) {
            router.sources.onLargeListing(at(now));
        }
        router.source = router.sources.next(at(now));
        router.request = router.consumer->next(at(now));
        const Instant paced =
            router.source.isStore() ? router.request.notBefore : router.consumer->nextFollowing(at(now));
        if (at(now) < std::max({paced, router.source.notBefore, at(router.askAgainAt)})) {
            return;
        }
        router.isCalling = true;
        router.sentAt = now;
        router.bytesLeft = -1;
        if (!router.source.isStore()) {
            Router &other = asked(router);
            other.consumer->setShared(at(now), true, !other.isFollowed);
            other.isFollowed = true;
        } else {
            const auto missed = static_cast<double>(endAt(now) - router.request.from);
            const bool isListing = router.request.kind == TopicRequestKind::Listing;
            router.bytesLeft = isListing ? pageBytes : std::min(missed * heartbeatBytes, maxReadBytes) + 200;
            router.beginsAt = scenario.isStoreQueued ? queue(now, router.bytesLeft) : now;
        }
    }

    /// The response had not begun in time.
    void giveUp(double now, Router &router)
    {
        ++givenUp;
        router.isCalling = false;
        router.isLost = true;
        router.consumer->onNoResponse(at(now));
        router.sources.onStoreFailed(router.consumer->next(at(now)).notBefore);
    }

    /// Answers a question that waits at another router once there is something to tell.
    void answer(double now, Router &router)
    {
        const Router &other = asked(router);
        const bool isKnown = other.knownAt >= 0;
        if (other.isLost) {
            router.isCalling = false;
            router.sources.onUseless(at(now), router.source);
            return;
        }
        const bool hasEnded = now >= router.sentAt + (router.consumer->isListing() ? 1.0 : 0.7);
        const bool hasNews = isKnown && (router.consumer->isListing() || other.provedAt > router.sentAt);
        if (!hasNews && !hasEnded) {
            return;
        }
        router.getsListing = isKnown && router.consumer->isListing();
        router.answerProvedAt = isKnown ? other.provedAt : -1;
        router.bytesLeft = router.getsListing ? scenario.listingBytes : 250;
    }

    void finish(double now, Router &router)
    {
        router.isCalling = false;
        if (router.source.isStore()) {
            storeCalls += 1;
            finishStoreCall(now, router);
        } else {
            finishAnswer(now, router);
        }
        if (router.knownAt < 0 && !router.consumer->isListing()) {
            router.knownAt = now;
        }
    }

    void finishStoreCall(double now, Router &router)
    {
        const LogOffset end = endAt(router.sentAt);
        if (router.request.kind == TopicRequestKind::Listing) {
            const int page = router.request.after.empty() ? 0 : router.request.after[0] - 'a' + 1;
            const std::string key(1, static_cast<char>('a' + page));
            router.consumer->onPage(at(router.sentAt), at(now), {{{key, "x", page}}, page + 1 < pages, end});
        } else {
            const auto read = static_cast<LogOffset>(maxReadBytes / heartbeatBytes);
            const LogOffset upTo = std::min(end, router.request.from + read);
            router.consumer->onRead(at(router.sentAt), at(now), {{{"a", "x", upTo - 1}}, end});
        }
        router.sources.onUseful(router.source);
        router.isLost = false;
        if (!router.hasPage && scenario.isStoreQueued && scenario.asksInTurn) {
            queue(now, scenario.placesBytes);
        }
        router.hasPage = true;
    }

    void finishAnswer(double now, Router &router)
    {
        const bool isNews = router.answerProvedAt > router.provedAt && now < router.answerProvedAt + 1.5;
        if (router.getsListing) {
            router.consumer->onOffsetOutOfRange();
            router.consumer->onPage(at(router.answerProvedAt), at(now),
                                    {{{"a", "x", 0}}, false, endAt(router.answerProvedAt)});
        } else if (router.answerProvedAt < 0 && router.consumer->isListingLarge() && scenario.leavesLargeListing
                   && router.sources.onNotYetKnown(at(now))) {
            router.askAgainAt = now + 0.2;
            return;
        } else if (isNews) {
            router.consumer->onFollowed(at(router.answerProvedAt), at(now), {{}, endAt(router.answerProvedAt)});
        }
        if (isNews || router.getsListing) {
            router.sources.onUseful(router.source);
        } else {
            router.sources.onUseless(at(now), router.source);
        }
    }

    /// Sends a step's bytes. The store's rate, and that of a link, is shared by those who are sent something.
    void transfer(double now)
    {
        int fromStore = 0;
        std::vector<int> fromRouter(routers.size());
        for (const Router &router : routers) {
            const bool isSent = router.isCalling && router.bytesLeft > 0;
            fromStore += isSent && router.source.isStore() ? 1 : 0;
            if (isSent && !router.source.isStore()) {
                ++fromRouter[*router.source.router - 1];
            }
        }
        for (Router &router : routers) {
            if (!router.isCalling || router.bytesLeft < 0) {
                continue;
            }
            const bool isQueued = scenario.isStoreQueued && router.source.isStore();
            if (isQueued && now < router.beginsAt) {
                if (at(now) >= at(router.sentAt) + router.request.longPollTimeout + router.request.responseTimeout) {
                    giveUp(now, router);
                }
                continue;
            }
            double rate = rateOf(router);
            if (router.source.isStore() && !isQueued) {
                rate = std::min(rate, storeRate / fromStore);
                storeBytes += std::min(rate * step, router.bytesLeft);
            } else if (!isQueued) {
                rate = std::min(rate, rateOf(asked(router)) / fromRouter[*router.source.router - 1]);
            }
            router.bytesLeft -= rate * step;
            if (router.bytesLeft <= 0) {
                finish(now, router);
            }
        }
    }

    void run()
    {
        for (double now = 0; now < scenario.seconds; now += step) {
            for (Router &router : routers) {
                if (!router.isTold && now >= router.toldAt) {
                    tell(router);
                }
                if (!router.isCalling && now >= router.startsAt) {
                    ask(now, router);
                }
                if (router.isCalling && !router.source.isStore() && router.bytesLeft < 0) {
                    answer(now, router);
                }
            }
            transfer(now);
        }
    }

    /// @return when the last router knew all replicas, s; the end of the run if one never did
    double lastKnownAt() const
    {
        double last = 0;
        for (const Router &router : routers) {
            last = std::max(last, router.knownAt < 0 ? scenario.seconds : router.knownAt);
        }
        return last;
    }

    /// @return age of the oldest proof of a router at the end of the run, s
    double oldestProof() const
    {
        double oldest = 0;
        for (const Router &router : routers) {
            oldest = std::max(oldest, scenario.seconds - router.provedAt);
        }
        return oldest;
    }

    LargeStartScenario scenario;
    boost::random::mt19937_64 random;
    std::deque<Router> routers; // by address
    double storeBytes = 0;
    double storeFreeAt = 0; // s; when all responses so far have been sent
    int storeCalls = 0;
    int givenUp = 0; // calls whose response did not begin in time
};

} // namespace galenafold
