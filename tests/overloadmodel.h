// Model of a fleet whose engines get more requests than they can serve, without I/O: virtual time, routers that decide
// as the data path does (LoadBalancer and Admission), engines that run requests in slots and queue three times as many,
// load reports in their responses, and beacons as late as the fleet's byte budget makes them.
//
// Sections of this file: Load, Model.
#pragma once

#include "filters/admission.h"
#include "filters/loadbalancer.h"
#include "filters/servicetime.h"

#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <functional>
#include <numeric>

namespace galenafold
{

// Load

/// A kind of request.
struct OverloadKind {
    std::string route;
    int priority = 0;
    double share = 1;     // of the requests
    double seconds = 1;   // in a slot
    double first = 0.05;  // time to the first event, once it runs, s
    double objective = 1; // for the first event, s
    Tokens cost = 0;      // as its fields tell; 0: not told
    double deadline = 5;  // time that callers wait, s
    Tokens reads = 0;     // prompt tokens that the engine reads, as its fields tell; 0: not told
};

/// What is asked of the fleet. Times are in seconds, rates are multiples of what the engines can serve.
struct OverloadPlan {
    int routers = 30;
    int engines = 60;
    int slots = 12;
    double beaconInterval = 0.2;
    bool hasAdmission = true; // false: requests are sent at once, as if all replicas had room
    double demand = 1;        // factor on the rate that the engines can serve
    std::vector<OverloadKind> kinds = {{"ask", 1, 0.3, 0.9, 0.05, 0.4, 2300},
                                       {"digest", 1, 0.3, 1.2, 0.2, 0.8, 5400},
                                       {"tag", 1, 0.4, 0.1, 0.06, 0.5, 720}};
    std::vector<double> accounts = std::vector<double>(12, 1); // demand of each, as a multiple of the usual
    std::size_t firstAccountRouters = 0;                       // that the callers of the first account come to; 0: all
    double workDelay = 0;               // until peers hear of the accounts' use, besides that of beacons, s
    double workFrozenFrom = 1e9;        // from then on, peers tell the same use again and again, s
    std::optional<int> accountPriority; // of all accounts; none: their routes' priorities count alone
    double repeatShare = 0; // of the refused callers, who repeat at once up to ten times; others return once
    std::function<double(double now, int engine)> slowdown = [](double, int) { return 1; };
    double warmUp = 4;
    double end = 14;
};

// Model

struct OverloadModel {
    /// What callers got after the warm-up.
    struct Tally {
        int asked = 0;
        int good = 0;
        int late = 0;
        int refused = 0; // refusals; a caller may return
        double share() const { return asked == 0 ? 1 : static_cast<double>(good) / asked; }
        double lateShare() const { return good + late == 0 ? 0 : static_cast<double>(late) / (good + late); }
    };

    struct Request {
        const OverloadKind *kind = nullptr;
        std::size_t kindIndex = 0;
        std::size_t account = 0;
        double askedAt = 0;
        double arrival = 0; // of this caller attempt
        std::size_t router = 0;
        std::uint64_t prompt = 0;
        std::set<EndpointId> excluded;
        double sentAt = 0;
        ReplicaOccupancy occupancy; // of the engine when it was sent
        int sent = 0;
        int repeats = 0; // by the caller
        bool isOverShare = false;
        bool isDone = false;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Engine {
        int running = 0;
        std::deque<RequestPointer> queue;
    };

    struct Router {
        std::unique_ptr<LoadBalancer> balancer;
        std::unique_ptr<Admission> admission;
        ServiceTimeModel times;
        std::map<WaitKey, RequestPointer> waiting;
        std::vector<AccountWork> toldWork;
        double nextWorkAt = 0;
    };

    explicit OverloadModel(OverloadPlan thePlan, std::uint64_t seed = 1)
        : plan(std::move(thePlan))
        , random(seed)
        , engines(static_cast<std::size_t>(plan.engines))
        , byKind(plan.kinds.size())
        , byAccount(plan.accounts.size())
    {
        std::vector<ReplicaRecord> records;
        for (int i = 0; i < plan.engines; ++i) {
            ReplicaRecord record;
            record.id.text = "e" + std::to_string(i);
            record.service = service;
            record.slots = plan.slots;
            records.push_back(record);
        }
        for (int i = 0; i < plan.routers; ++i) {
            Router router;
            const auto routerSeed = static_cast<std::uint64_t>(i) + seed * 1000;
            router.balancer = std::make_unique<LoadBalancer>(LoadBalancerSettings(), DataCentreId{"here"}, routerSeed);
            router.balancer->updateReplicas(at(0), records);
            router.balancer->assignPlaces(at(0));
            router.admission = std::make_unique<Admission>(AdmissionSettings(), routerSeed);
            routers.push_back(std::move(router));
        }
    }

    OverloadModel(const OverloadModel &) = delete;
    OverloadModel &operator=(const OverloadModel &) = delete;

    static Instant at(double seconds)
    {
        return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds + 1000)));
    }
    static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
    double uniform() { return boost::random::uniform_real_distribution<double>(0, 1)(random); }
    void after(double delay, std::function<void()> action) { events.emplace(now + delay, std::move(action)); }

    /// @return requests per second that the engines can serve
    double capacity() const
    {
        double work = 0;
        double share = 0;
        for (const OverloadKind &kind : plan.kinds) {
            work += kind.share * kind.seconds;
            share += kind.share;
        }
        return plan.engines * plan.slots * share / work;
    }

    // Callers

    void scheduleArrivals()
    {
        for (std::size_t account = 0; account < plan.accounts.size(); ++account) {
            const double rate =
                capacity() * plan.demand * plan.accounts[account] / static_cast<double>(plan.accounts.size());
            for (double t = -std::log(1 - uniform()) / rate; t < plan.end; t -= std::log(1 - uniform()) / rate) {
                events.emplace(t, [this, account] { ask(account); });
            }
        }
    }

    void ask(std::size_t account)
    {
        const auto request = std::make_shared<Request>();
        double pick = uniform()
            * std::accumulate(plan.kinds.begin(), plan.kinds.end(), 0.0,
                              [](double sum, const auto &kind) { return sum + kind.share; });
        while (request->kindIndex + 1 < plan.kinds.size() && pick > plan.kinds[request->kindIndex].share) {
            pick -= plan.kinds[request->kindIndex++].share;
        }
        request->kind = &plan.kinds[request->kindIndex];
        request->account = account;
        request->askedAt = now;
        request->prompt = static_cast<std::uint64_t>(uniform() * plan.engines * 5 + 1) * 0x9e3779b97f4a7c15U;
        count(*request, [](Tally &tally) { ++tally.asked; });
        arrive(request);
    }

    void count(const Request &request, const std::function<void(Tally &)> &add)
    {
        if (request.askedAt >= plan.warmUp) {
            add(all);
            add(byKind[request.kindIndex]);
            add(byAccount[request.account]);
        }
    }

    void arrive(const RequestPointer &request)
    {
        request->arrival = now;
        const bool isFirst = request->account == 0 && plan.firstAccountRouters > 0;
        request->router = static_cast<std::size_t>(
            uniform() * (isFirst ? static_cast<double>(plan.firstAccountRouters) : plan.routers));
        request->excluded.clear();
        request->sent = 0;
        dispatch(request);
    }

    /// Callers who repeat do so at once, others when they were told to, while their time lasts.
    void refuse(const RequestPointer &request, double retryAfter)
    {
        count(*request, [](Tally &tally) { ++tally.refused; });
        const bool isImpatient = uniform() < plan.repeatShare;
        const double left = request->askedAt + request->kind->deadline - now;
        const double delay = isImpatient ? 0.01 : std::min(retryAfter, left / 3);
        if (request->repeats < (isImpatient ? 10 : 1) && left > 0.1) {
            ++request->repeats;
            after(delay, [this, request] { arrive(request); });
        }
    }

    // Routers

    bool isOverShare(const Request &request) const
    {
        const AccountId account{"a" + std::to_string(request.account)};
        return plan.hasAdmission && request.sent == 0
            && routers[request.router].admission->isOverShare(at(now), service, account);
    }

    SelectionRequest selection(const Request &request) const
    {
        SelectionRequest selection{service, request.prompt, request.excluded};
        selection.needsRoom = plan.hasAdmission;
        selection.leavesBacklog = isOverShare(request);
        selection.yielding = routers[request.router].admission->inProgressOverShare(service);
        return selection;
    }

    AdmissionRequest admissionRequest(const Request &request)
    {
        const OverloadKind &kind = *request.kind;
        const double known = seconds(routers[request.router].times.likelyFirstEvent({kind.route}, {kind.reads}));
        const double response = known > 0 ? std::min(known, 0.9 * kind.objective) : kind.objective / 2;
        AdmissionRequest result;
        result.account = {"a" + std::to_string(request.account)};
        result.priority = kind.priority;
        result.accountPriority = plan.accountPriority;
        result.isRetry = request.sent > 0;
        result.cost = kind.cost;
        result.startBy = at(request.sent > 0 ? now + kind.objective / 2 : request.arrival + kind.objective - response);
        return result;
    }

    void dispatch(const RequestPointer &request)
    {
        Router &router = routers[request->router];
        if (!plan.hasAdmission || !router.admission->mustWait(service)) {
            const ReplicaChoice choice = router.balancer->choose(at(now), selection(*request));
            if (choice || choice.skippedBusy == 0) {
                send(request, choice);
                return;
            }
        }
        AdmissionRequest admission = admissionRequest(*request);
        admission.key = static_cast<WaitKey>(++lastKey);
        const AdmissionDecision decision = router.admission->push(at(now), service, admission);
        if (decision.waits) {
            router.waiting[admission.key] = request;
            drain(request->router);
        } else {
            refuse(request, seconds(decision.retryAfter));
        }
    }

    void drain(std::size_t index)
    {
        Router &router = routers[index];
        const auto startOne = [&] {
            WaitKey key{};
            ReplicaChoice choice;
            const bool isStarted = router.admission->startNext(service, [&](WaitKey first) {
                key = first;
                choice = router.balancer->choose(at(now), selection(*router.waiting.at(first)));
                return static_cast<bool>(choice);
            });
            if (isStarted) {
                const RequestPointer request = router.waiting.at(key);
                router.waiting.erase(key);
                send(request, choice);
            }
            return isStarted;
        };
        while (startOne()) { }
        for (const WaitKey key : router.admission->expire(at(now))) {
            const RequestPointer request = router.waiting.at(key);
            router.waiting.erase(key);
            ++expired;
            refuse(request, seconds(router.admission->retryAfter(at(now), service, admissionRequest(*request))));
        }
    }

    void send(const RequestPointer &request, const ReplicaChoice &choice)
    {
        Router &router = routers[request->router];
        if (!choice || request->sent >= 5) {
            refuse(request, 0.25);
            return;
        }
        request->isOverShare = router.admission->onSent(at(now), service, admissionRequest(*request));
        ++request->sent;
        ++arrivals;
        request->sentAt = now;
        const EndpointId id = choice->record.id;
        request->occupancy = router.balancer->occupancy(at(now), *choice);
        router.balancer->onSent(id);
        after(0.001, [this, request, id] { arriveAtEngine(request, id); });
    }

    void broadcast(std::size_t from)
    {
        const std::vector<PeerLoad> loads = routers[from].balancer->consumeLoads();
        const std::vector<ReportedLoad> reported = routers[from].balancer->takeUnexpectedLoads(at(now));
        const auto delay = at(plan.beaconInterval) - at(0);
        routers[from].balancer->setActivePeers(plan.routers - 1, delay / 2,
                                               std::max<Duration>(2 * delay, at(2) - at(0)));
        for (std::size_t to = 0; to < routers.size(); ++to) {
            if (to != from) {
                routers[to].balancer->onPeerLoads(at(now), static_cast<std::uint32_t>(from), loads);
                routers[to].balancer->onReportedLoads(at(now), reported);
            }
        }
        tellWork(from);
        after(plan.beaconInterval, [this, from] { broadcast(from); });
    }

    /// As often as `PeerLoadExchange` does.
    void tellWork(std::size_t from)
    {
        const double interval = std::max(2.0, 3 * plan.beaconInterval);
        Router &router = routers[from];
        if (now < router.nextWorkAt) {
            return;
        }
        if (now < plan.workFrozenFrom) {
            router.toldWork = router.admission->workToTell(at(now));
        }
        if (router.toldWork.empty()) {
            return;
        }
        router.nextWorkAt = now + interval;
        const auto deliver = [this, from, interval, work = router.toldWork] {
            for (std::size_t to = 0; to < routers.size(); ++to) {
                if (to != from) {
                    routers[to].admission->use().onPeerWork(at(now), static_cast<std::uint32_t>(from), work,
                                                            at(3 * interval) - at(0));
                }
            }
        };
        if (plan.workDelay > 0) {
            after(plan.workDelay, deliver);
        } else {
            deliver();
        }
    }

    void tick(std::size_t router)
    {
        drain(router);
        after(0.02, [this, router] { tick(router); });
    }

    // Engines

    std::size_t engineIndex(const EndpointId &id) const { return std::stoul(id.text.substr(1)); }

    void arriveAtEngine(const RequestPointer &request, const EndpointId &id)
    {
        Engine &engine = engines[engineIndex(id)];
        if (engine.running < plan.slots) {
            run(request, id);
        } else if (engine.queue.size() < static_cast<std::size_t>(3 * plan.slots)) {
            engine.queue.push_back(request);
        } else {
            report(request, id, AttemptOutcome::Refused);
            request->excluded.insert(id);
            ++notRun;
            dispatch(request);
        }
    }

    void run(const RequestPointer &request, const EndpointId &id)
    {
        Engine &engine = engines[engineIndex(id)];
        ++engine.running;
        const double slow = plan.slowdown(now, static_cast<int>(engineIndex(id)));
        after(slow * request->kind->first, [this, request, id] { begin(request, id); });
        after(slow * std::max(request->kind->first, request->kind->seconds * (0.5 + uniform())),
              [this, request, id] { finish(request, id); });
    }

    void begin(const RequestPointer &request, const EndpointId &id)
    {
        ++served;
        const bool isGood = now <= request->arrival + request->kind->objective;
        count(*request, [isGood](Tally &tally) { ++(isGood ? tally.good : tally.late); });
        if (request->sent == 1) {
            routers[request->router].times.onFirstEvent({request->kind->route}, {request->kind->reads},
                                                        request->occupancy, at(now) - at(request->sentAt));
        }
        report(request, id, std::nullopt);
    }

    void finish(const RequestPointer &request, const EndpointId &id)
    {
        Engine &engine = engines[engineIndex(id)];
        --engine.running;
        report(request, id, AttemptOutcome::Good);
        while (!engine.queue.empty() && engine.running < plan.slots) {
            const RequestPointer next = engine.queue.front();
            engine.queue.pop_front();
            if (now < next->askedAt + next->kind->deadline) {
                run(next, id);
            } else {
                report(next, id, AttemptOutcome::Refused); // the time that it had was over in the queue
                ++notRun;
            }
        }
        drain(request->router);
    }

    /// The router learns that the response has begun, or that the attempt has ended, and the engine's load.
    void report(const RequestPointer &request, const EndpointId &id, std::optional<AttemptOutcome> outcome)
    {
        const Engine &engine = engines[engineIndex(id)];
        LoadBalancer &balancer = *routers[request->router].balancer;
        if (outcome) {
            balancer.onEnded(at(now), id, *outcome);
            routers[request->router].admission->onEnded(service, request->isOverShare);
        }
        if (!outcome || *outcome == AttemptOutcome::Refused) {
            const double slow = plan.slowdown(now, static_cast<int>(engineIndex(id)));
            const ReplicaLoad load{engine.running, static_cast<int>(engine.queue.size()), plan.slots, slow};
            balancer.onLoad(at(now), id, load);
            routers[request->router].admission->onLoad(at(now), service, load);
        }
    }

    void run()
    {
        scheduleArrivals();
        for (std::size_t i = 0; i < routers.size(); ++i) {
            after(uniform() * plan.beaconInterval, [this, i] { broadcast(i); });
            if (plan.hasAdmission) {
                after(uniform() * 0.02, [this, i] { tick(i); });
            }
        }
        while (!events.empty() && events.begin()->first < plan.end + 3) {
            now = events.begin()->first;
            const auto action = std::move(events.begin()->second);
            events.erase(events.begin());
            action();
        }
    }

    /// @return responses within the objective per second
    double goodput() const { return all.good / (plan.end - plan.warmUp); }

    const ServiceId service{"llm"};
    OverloadPlan plan;
    boost::random::mt19937_64 random;
    std::vector<Router> routers;
    std::vector<Engine> engines;
    std::multimap<double, std::function<void()>> events; // by time, s
    double now = 0;
    std::uint64_t lastKey = 0;
    int arrivals = 0; // at engines
    int served = 0;   // requests of which the response has begun
    int notRun = 0;   // of these, refused by a full engine
    int expired = 0;  // requests that waited in vain
    Tally all;
    std::vector<Tally> byKind;
    std::vector<Tally> byAccount;
};

} // namespace galenafold
