// How routers find out at which version a stream began that another router passed on.
#include "control/originexchange.h"

#include "control/loadview.h"

#include <algorithm>
#include <utility>

namespace galenafold
{

constexpr auto answerTime = std::chrono::milliseconds(150);   // for keepers to answer
constexpr auto repeatTime = std::chrono::milliseconds(40);    // after which a question is asked again
constexpr int maxRepeats = 3;                                 // of a question
constexpr auto loadTime = std::chrono::seconds(2);            // for the store to answer
constexpr auto storeAnswerTime = std::chrono::seconds(1);     // that a caller waits for it
constexpr auto loadInterval = std::chrono::seconds(1);        // between reads of a partition that told nothing new
constexpr auto saveInterval = std::chrono::milliseconds(200); // between what is handed to the store of a partition
constexpr auto takeOverTime = std::chrono::seconds(5);        // within which a first keeper has saved what it was told
constexpr std::size_t maxQuestions = 4096;
constexpr std::size_t maxAskers = 4096;  // of a partition that is being read
constexpr std::size_t maxUnsaved = 8192; // of a partition
constexpr std::uint8_t maxToldAge = 255;

OriginExchange::OriginExchange(int partitions)
    : m_partitions(static_cast<std::size_t>(std::max(partitions, 1)))
{
    m_outbox.lookUp = [this](Instant now, StreamKey stream) { return lookUp(now, stream); };
    m_outbox.borrow = [this](Instant now, int bytes) { return borrow(now, bytes); };
    m_outbox.onSend = [this](std::uint32_t to, const OriginMessage &message) {
        m_stats.told += static_cast<std::int64_t>(message.told.size());
        onSend(to, message);
    };
}

OriginExchange::Partition &OriginExchange::partition(StreamKey stream)
{
    return m_partitions[static_cast<std::size_t>(partitionOf(stream, static_cast<int>(m_partitions.size())))];
}

std::optional<ToldOrigin> OriginExchange::lookUp(Instant now, StreamKey stream) const
{
    const KnownOrigin *known = m_known.find(now, stream);
    if (!known) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - known->beganAt).count();
    return ToldOrigin{known->origin, static_cast<std::uint8_t>(std::clamp<std::int64_t>(age, 0, maxToldAge))};
}

// Keepers

static bool contains(const std::vector<std::uint32_t> &routers, std::uint32_t router)
{
    return std::find(routers.begin(), routers.end(), router) != routers.end();
}

void OriginExchange::setRouters(Instant now, const std::vector<std::uint32_t> &others)
{
    std::vector<std::uint32_t> sorted = others;
    std::sort(sorted.begin(), sorted.end());
    if (m_hasRouters && sorted == m_others) {
        return;
    }
    m_hasRouters = true;
    m_others = sorted;
    m_outbox.keepOnly(m_others);
    std::vector<std::uint32_t> routers = m_others;
    routers.push_back(m_ownAddress);
    std::vector<NewKeepers> changes(m_partitions.size());
    for (std::size_t i = 0; i < m_partitions.size(); ++i) {
        Partition &partition = m_partitions[i];
        const std::vector<std::uint32_t> before = std::move(partition.keepers);
        partition.keepers = keepersOf(static_cast<int>(i), routers);
        const bool isKept = contains(partition.keepers, m_ownAddress);
        partition.keptSince = isKept ? std::optional(partition.keptSince.value_or(now)) : std::nullopt;
        changes[i].wasKeptHere = contains(before, m_ownAddress);
        std::copy_if(partition.keepers.begin(), partition.keepers.end(), std::back_inserter(changes[i].keepers),
                     [&before](std::uint32_t keeper) { return !contains(before, keeper); });
    }
    retell(now, changes);
}

void OriginExchange::onStarted(Instant now, std::uint32_t router)
{
    std::vector<NewKeepers> changes(m_partitions.size());
    for (std::size_t i = 0; i < m_partitions.size(); ++i) {
        if (contains(m_partitions[i].keepers, router)) {
            changes[i] = {m_partitions[i].keptSince.has_value(), {router}};
        }
    }
    retell(now, changes);
}

/// Tells new keepers of partitions what they would have been told: by those that noted it, as their streams may be
/// taken up, and by the routers that kept the partition before.
void OriginExchange::retell(Instant now, const std::vector<NewKeepers> &changes)
{
    const auto hasKeepers = [](const NewKeepers &change) { return !change.keepers.empty(); };
    if (std::none_of(changes.begin(), changes.end(), hasKeepers)) {
        return;
    }
    const int partitions = static_cast<int>(m_partitions.size());
    const auto changeOf = [&](StreamKey stream) -> const NewKeepers & {
        return changes[static_cast<std::size_t>(partitionOf(stream, partitions))];
    };
    const std::vector<StreamKey> streams = m_known.select(now, [&](const KnownOrigin &known) {
        const NewKeepers &change = changeOf(known.origin.stream);
        const bool isOwn = known.source == OriginSource::Own;
        return hasKeepers(change) && (isOwn ? m_uncertain.count(known.service) > 0 : change.wasKeptHere);
    });
    for (const StreamKey stream : streams) {
        tell(now, stream, changeOf(stream).keepers, false);
    }
}

// Telling

void OriginExchange::setUncertain(Instant now, const std::vector<ServiceId> &services)
{
    std::set<std::uint64_t> uncertain;
    for (const ServiceId &service : services) {
        uncertain.insert(hashName(service.text));
    }
    const std::set<std::uint64_t> before = std::exchange(m_uncertain, std::move(uncertain));
    if (std::includes(before.begin(), before.end(), m_uncertain.begin(), m_uncertain.end())) {
        return;
    }
    const std::vector<StreamKey> streams = m_known.select(now, [&](const KnownOrigin &known) {
        return known.source == OriginSource::Own && m_uncertain.count(known.service) > before.count(known.service);
    });
    for (const StreamKey stream : streams) {
        tell(now, stream, partition(stream).keepers, false);
    }
}

void OriginExchange::note(Instant now, const ServiceId &service, const StreamOrigin &origin)
{
    const KnownOrigin known{origin, now, OriginSource::Own, hashName(service.text)};
    const bool isNew = m_known.add(now, known);
    if (isNew && m_uncertain.count(known.service) > 0) {
        tell(now, origin.stream, partition(origin.stream).keepers, true);
    }
}

void OriginExchange::tell(Instant now, StreamKey stream, const std::vector<std::uint32_t> &keepers, bool isFresh)
{
    for (const std::uint32_t keeper : keepers) {
        if (keeper == m_ownAddress) {
            partition(stream).unsaved.push_back({stream, now});
        } else if (isFresh) {
            m_outbox.tell(now, keeper, stream);
        } else {
            m_outbox.retell(keeper, stream);
        }
    }
}

// Questions

void OriginExchange::find(Instant now, StreamKey stream, const Answer &onAnswer)
{
    if (const KnownOrigin *known = m_known.find(now, stream)) {
        ++m_stats.found;
        onAnswer({known->origin.version, known->source});
        return;
    }
    if (m_questions.size() >= maxQuestions) {
        ++m_stats.notFound;
        onAnswer({});
        return;
    }
    const auto [entry, isNew] = m_questions.try_emplace(stream);
    Question &question = entry->second;
    question.onAnswer.push_back(onAnswer);
    if (!isNew) {
        return;
    }
    question.repeatAt = now + repeatTime;
    question.giveUpAt = now + answerTime;
    for (const std::uint32_t keeper : partition(stream).keepers) {
        if (keeper != m_ownAddress) {
            question.unanswered.insert(keeper);
            m_outbox.ask(keeper, stream);
        } else if (waitsForLoad(now, stream)) {
            question.waitsForStore = true;
            question.giveUpAt = now + storeAnswerTime;
        }
    }
    m_stats.asked += question.unanswered.empty() ? 0 : 1;
    resolveIfHopeless(stream);
    m_outbox.send(now);
}

/// A router that asks takes this one for a keeper, so it is one, also where this one hears other routers.
void OriginExchange::onAsked(Instant now, std::uint32_t from, StreamKey stream)
{
    if (m_known.find(now, stream)) {
        m_outbox.answer(from, stream);
    } else if (waitsForLoad(now, stream)) {
        std::vector<std::pair<std::uint32_t, StreamKey>> &askers = partition(stream).askers;
        const std::pair<std::uint32_t, StreamKey> asker(from, stream);
        if (askers.size() < maxAskers && std::count(askers.begin(), askers.end(), asker) == 0) {
            askers.push_back(asker);
        }
        m_outbox.putOff(from, stream);
    } else {
        m_outbox.deny(from, stream);
    }
}

void OriginExchange::onUnknown(Instant now, std::uint32_t from, StreamKey stream)
{
    const auto question = m_questions.find(stream);
    if (question != m_questions.end() && question->second.unanswered.erase(from) > 0) {
        question->second.isAnswered = true;
        question->second.giveUpAt = std::min(question->second.giveUpAt, now + answerTime);
        resolveIfHopeless(stream);
    }
}

void OriginExchange::onLoading(Instant now, StreamKey stream)
{
    const auto question = m_questions.find(stream);
    if (question != m_questions.end() && !question->second.isAnswered) {
        question->second.giveUpAt = std::max(question->second.giveUpAt, now + storeAnswerTime);
        question->second.repeatAt = now + storeAnswerTime / 2;
        question->second.isAnswered = true;
    }
}

void OriginExchange::resolve(StreamKey stream, const OriginAnswer &answer)
{
    const auto found = m_questions.find(stream);
    if (found == m_questions.end()) {
        return;
    }
    const std::vector<Answer> onAnswer = std::move(found->second.onAnswer);
    m_questions.erase(found); // before the answers, as these may ask again
    ++(answer.version ? m_stats.found : m_stats.notFound);
    for (const Answer &each : onAnswer) {
        each(answer);
    }
}

void OriginExchange::resolveIfHopeless(StreamKey stream)
{
    const auto question = m_questions.find(stream);
    if (question != m_questions.end() && question->second.unanswered.empty() && !question->second.waitsForStore) {
        resolve(stream, {});
    }
}

void OriginExchange::checkQuestions(Instant now)
{
    std::vector<StreamKey> due;
    for (const auto &[stream, question] : m_questions) {
        if (now >= std::min(question.repeatAt, question.giveUpAt)) {
            due.push_back(stream);
        }
    }
    for (const StreamKey stream : due) {
        Question &question = m_questions.at(stream);
        if (now >= question.giveUpAt) {
            onSilence(now, stream, question);
            continue;
        }
        question.repeatAt = ++question.repeats < maxRepeats ? now + repeatTime : question.giveUpAt;
        for (const std::uint32_t keeper : question.unanswered) {
            m_outbox.ask(keeper, stream);
        }
    }
}

/// Keepers that have just died are still taken for keepers: then only the store knows what they were told.
void OriginExchange::onSilence(Instant now, StreamKey stream, Question &question)
{
    const bool mayAskStore = !question.isAnswered && !question.waitsForStore;
    if (!mayAskStore || !waitsForLoad(now, stream)) {
        const KnownOrigin *known = m_known.find(now, stream);
        resolve(stream, known ? OriginAnswer{known->origin.version, known->source} : OriginAnswer());
        return;
    }
    question.unanswered.clear(); // only the store is left to be asked
    question.isAnswered = true;
    question.waitsForStore = true;
    question.giveUpAt = now + storeAnswerTime;
    question.repeatAt = question.giveUpAt;
}

// Messages

void OriginExchange::onMessage(Instant now, std::uint32_t from, const OriginMessage &message)
{
    for (const ToldOrigin &told : message.told) {
        onTold(now, told);
    }
    for (const StreamKey stream : message.unknown) {
        onUnknown(now, from, stream);
    }
    for (const StreamKey stream : message.loading) {
        onLoading(now, stream);
    }
    for (const StreamKey stream : message.asked) {
        onAsked(now, from, stream);
    }
    m_outbox.send(now);
}

void OriginExchange::onTold(Instant now, const ToldOrigin &told)
{
    const StreamKey stream = told.origin.stream;
    const Instant beganAt = now - std::chrono::seconds(told.ageSeconds);
    const bool isNew = m_known.add(now, {told.origin, beganAt, OriginSource::Peer, 0});
    Partition &own = partition(stream);
    if (isNew && own.keptSince && own.unsaved.size() < maxUnsaved) {
        own.unsaved.push_back({stream, now});
    }
    if (const KnownOrigin *known = m_known.find(now, stream)) {
        resolve(stream, {known->origin.version, known->source});
    }
}

// Store

/// @return true if the store must be read, or is being read, before this router knows that it does not know a stream
bool OriginExchange::waitsForLoad(Instant now, StreamKey stream)
{
    Partition &own = partition(stream);
    const bool hasKeptLong = own.keptSince && now >= *own.keptSince + streamMemory;
    const bool hasLoadedSince = own.keptSince && own.loadedAt && *own.loadedAt >= *own.keptSince;
    if (!onLoad || hasKeptLong || hasLoadedSince) {
        return false;
    }
    if (!own.loadingUntil && now >= own.noLoadBefore) {
        own.loadingUntil = now + loadTime;
        onLoad(partitionOf(stream, static_cast<int>(m_partitions.size())));
    }
    return own.loadingUntil.has_value();
}

void OriginExchange::setStored(Instant now, int partition, const std::optional<std::vector<StreamOrigin>> &origins)
{
    Partition &own = m_partitions.at(static_cast<std::size_t>(partition));
    own.loadingUntil.reset();
    own.noLoadBefore = now + loadInterval;
    if (origins) {
        own.loadedAt = now;
        for (const StreamOrigin &origin : *origins) {
            m_known.add(now, {origin, now, OriginSource::Store, 0});
        }
    }
    answerAskers(now, own);
    m_outbox.send(now);
}

/// Answers what waited for the store, from other routers and from this one.
void OriginExchange::answerAskers(Instant now, Partition &partition)
{
    for (const auto &[from, stream] : std::exchange(partition.askers, {})) {
        if (m_known.find(now, stream)) {
            m_outbox.answer(from, stream);
        } else {
            m_outbox.deny(from, stream);
        }
    }
    std::vector<StreamKey> waiting;
    for (auto &[stream, question] : m_questions) {
        if (question.waitsForStore && &this->partition(stream) == &partition) {
            question.waitsForStore = false;
            waiting.push_back(stream);
        }
    }
    for (const StreamKey stream : waiting) {
        if (const KnownOrigin *known = m_known.find(now, stream)) {
            resolve(stream, {known->origin.version, known->source});
        } else {
            resolveIfHopeless(stream);
        }
    }
}

void OriginExchange::checkLoads(Instant now)
{
    for (std::size_t i = 0; i < m_partitions.size(); ++i) {
        if (m_partitions[i].loadingUntil && now >= *m_partitions[i].loadingUntil) {
            setStored(now, static_cast<int>(i), std::nullopt);
        }
    }
}

/// The second keeper holds for a while what the first one saves, in case that it dies before it does.
void OriginExchange::save(Instant now)
{
    for (std::size_t i = 0; i < m_partitions.size(); ++i) {
        Partition &partition = m_partitions[i];
        const bool isFirst = !partition.keepers.empty() && partition.keepers.front() == m_ownAddress;
        if (!isFirst || !onSave) {
            while (!partition.unsaved.empty() && now >= partition.unsaved.front().toldAt + takeOverTime) {
                partition.unsaved.pop_front();
            }
            continue;
        }
        if (partition.unsaved.empty() || now < partition.nextSaveAt) {
            continue;
        }
        partition.nextSaveAt = now + saveInterval;
        std::vector<StreamOrigin> origins;
        for (const Unsaved &unsaved : std::exchange(partition.unsaved, {})) {
            if (const KnownOrigin *known = m_known.find(now, unsaved.stream)) {
                origins.push_back(known->origin);
            }
        }
        onSave(static_cast<int>(i), std::move(origins));
    }
}

// Time

void OriginExchange::tick(Instant now)
{
    checkQuestions(now);
    checkLoads(now);
    save(now);
    m_outbox.send(now);
}

std::optional<Instant> OriginExchange::nextTickAt() const
{
    std::optional<Instant> next = m_outbox.nextSendAt();
    const auto add = [&next](Instant at) { next = std::min(next.value_or(at), at); };
    for (const auto &[stream, question] : m_questions) {
        add(std::min(question.repeatAt, question.giveUpAt));
    }
    for (const Partition &partition : m_partitions) {
        if (partition.loadingUntil) {
            add(*partition.loadingUntil);
        }
        if (!partition.unsaved.empty()) {
            const bool isFirst = !partition.keepers.empty() && partition.keepers.front() == m_ownAddress;
            add(isFirst && onSave ? partition.nextSaveAt : partition.unsaved.front().toldAt + takeOverTime);
        }
    }
    return next;
}

} // namespace galenafold
