// Detection of prompts that crash replicas.
#include "control/queryofdeath.h"

#include "control/age.h"
#include "control/loadview.h"

#include <algorithm>

namespace galenafold
{

constexpr int sendsPerNews = 4;            // broadcasts that carry each crash and block
constexpr std::size_t maxSentCrashes = 6;  // per broadcast
constexpr std::size_t maxSentAnswers = 12; // per broadcast
constexpr std::size_t maxSentBlocks = 16;  // per broadcast
constexpr std::size_t maxParts = 8;        // of a prompt that are considered
constexpr std::size_t maxCrashes = 512;    // that are kept
constexpr auto crashLifetime = std::chrono::hours(1);
constexpr auto endedBlockLifetime = std::chrono::hours(24);
constexpr auto answerLifetime = std::chrono::seconds(60);
constexpr auto suspicionTime = std::chrono::seconds(10);        // after a crash, in which answers are told
constexpr auto answerInterval = std::chrono::milliseconds(500); // between broadcasts of answers of the same part
constexpr auto savedAccuracy = std::chrono::minutes(1);         // of the time of the last crash in the store
constexpr std::uint64_t staggerSteps = 1024;
constexpr std::size_t maxRecentAnswers = 2048;                  // that are recalled when the request becomes a suspect
constexpr auto newsDelayMargin = std::chrono::milliseconds(20); // by which what peers tell may seem later than it was
constexpr auto unknownBlockTime = std::chrono::seconds(1);      // after which a crash shows that a peer lacks a block
constexpr auto trialTime = std::chrono::seconds(1);             // from the first event; engines write several in it

// Prompt

PromptKeys promptKeys(const ServiceId &service, const std::vector<PromptPart> &parts, PromptKey content)
{
    PromptKeys keys;
    keys.whole = content;
    const std::uint64_t scope = hashName(service.text);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        keys.whole = rendezvousScore(keys.whole, parts[i].id);
        if (i + 1 < parts.size() && i < maxParts) {
            keys.parts.push_back(rendezvousScore(scope, parts[i].id));
        }
    }
    return keys;
}

PromptKey contentKey(const RequestContent &content)
{
    PromptKey key = hashName(content.service.text);
    for (const std::string *text :
         {&content.method, &content.host, &content.target, &content.account.text, &content.body}) {
        key = rendezvousScore(key, hashName(*text));
    }
    return key;
}

// Trial

void PromptTrial::onEvent(Instant now)
{
    if (!m_firstEventAt) {
        m_firstEventAt = now;
    }
}

bool PromptTrial::isOpen(Instant now) const
{
    return !m_firstEventAt || now < *m_firstEventAt + trialTime;
}

// Detector

QueryOfDeathDetector::QueryOfDeathDetector(const QueryOfDeathSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_stagger(settings.blockTime / staggerSteps * static_cast<Duration::rep>(seed % staggerSteps))
{
}

void QueryOfDeathDetector::onAnswered(Instant now, const PromptKeys &prompt)
{
    for (const PromptKey part : prompt.parts) {
        noteAnswer(part, now);
    }
    const auto isSamePrompt = [&](const Crash &crash) { return crash.prompt.whole == prompt.whole; };
    const auto crashes = std::count_if(m_crashes.begin(), m_crashes.end(), isSamePrompt);
    if (crashes > 0 || m_blocks.count(prompt.whole) > 0) {
        noteAnswer(prompt.whole, now);
        m_hasUnsentNews = m_hasUnsentNews || crashes >= m_settings.minSeparate; // the others may be about to block it
        return;
    }
    m_recentAnswers.emplace_back(prompt.whole, now);
    if (m_recentAnswers.size() > maxRecentAnswers) {
        m_recentAnswers.pop_front();
    }
}

/// Answers of whole requests are kept apart, as most requests never become suspects.
void QueryOfDeathDetector::recallAnswer(PromptKey whole)
{
    const auto isSame = [whole](const auto &answer) { return answer.first == whole; };
    const auto newest = std::find_if(m_recentAnswers.rbegin(), m_recentAnswers.rend(), isSame);
    if (newest != m_recentAnswers.rend()) {
        noteAnswer(whole, newest->second);
    }
}

/// An answer that is later than the last crash ends a block.
void QueryOfDeathDetector::noteAnswer(PromptKey key, Instant when)
{
    Answer &answer = m_answers[key];
    answer.at = std::max(answer.at, when);
    const auto block = m_blocks.find(key);
    if (block != m_blocks.end() && when > block->second.lastCrash) {
        m_blocks.erase(block);
        m_releases[key] = sendsPerNews;
        m_hasUnsentNews = true;
        onVerdict({key, false, 0, 0});
    }
}

void QueryOfDeathDetector::onCrash(Instant now, std::uint32_t replica, const PromptKeys &prompt, Instant startedAt)
{
    addCrash(now, {{now, startedAt, true}, replica, prompt, sendsPerNews});
}

void QueryOfDeathDetector::addCrash(Instant now, Crash crash)
{
    const auto isSame = [&](const Crash &other) {
        return other.replica == crash.replica && other.prompt.whole == crash.prompt.whole;
    };
    if (std::any_of(m_crashes.begin(), m_crashes.end(), isSame)) {
        return;
    }
    m_hasUnsentNews = m_hasUnsentNews || crash.sendsLeft > 0;
    renewBlocks(now, crash);
    recallAnswer(crash.prompt.whole);
    m_crashes.push_back(std::move(crash));
    if (m_crashes.size() > maxCrashes) {
        m_crashes.erase(m_crashes.begin());
    }
    decide(now);
}

void QueryOfDeathDetector::renewBlocks(Instant now, const Crash &crash)
{
    for (auto &[key, block] : m_blocks) {
        const std::vector<PromptKey> &parts = crash.prompt.parts;
        const bool isBlamed = key == crash.prompt.whole || std::find(parts.begin(), parts.end(), key) != parts.end();
        if (!isBlamed || crash.time.at <= block.lastCrash) {
            continue;
        }
        const bool isRenewed = !isActive(now, block);
        const bool isPeerIgnorant = !crash.time.isOwn && crash.time.at > block.lastCrash + unknownBlockTime;
        if (isRenewed || isPeerIgnorant) {
            block.sendsLeft = sendsPerNews;
            m_hasUnsentNews = true;
        }
        if (isRenewed) {
            onVerdict({key, true, 1, 1});
        }
        block.isOnProbation = false;
        block.lastCrash = crash.time.at;
    }
}

bool QueryOfDeathDetector::isActive(Instant now, const Block &block) const
{
    return !block.isOnProbation && now < block.lastCrash + m_settings.blockTime + m_stagger;
}

bool QueryOfDeathDetector::wasAnsweredSince(PromptKey key, Instant when) const
{
    const auto answer = m_answers.find(key);
    return answer != m_answers.end() && answer->second.at >= when;
}

std::map<PromptKey, int> QueryOfDeathDetector::crashesPerWhole() const
{
    std::map<PromptKey, int> counts;
    for (const Crash &crash : m_crashes) {
        ++counts[crash.prompt.whole];
    }
    return counts;
}

/// A whole request that replicas crashed with once is left out: most are sound ones that are never repeated.
QueryOfDeathDetector::Suspects QueryOfDeathDetector::findSuspects(const Explained &explained) const
{
    Suspects suspects;
    const auto suspectKey = [&](PromptKey key, std::size_t depth, const Crash &crash) {
        if (wasAnsweredSince(key, crash.time.at)) {
            return;
        }
        Suspect &suspect = suspects[key];
        suspect.lastCrash = std::max(suspect.lastCrash, crash.time.at);
        suspect.crashes.insert(crash.time);
        suspect.replicas.insert(crash.replica);
        suspect.prompts.insert(crash.prompt.whole);
        suspect.depth = std::max(suspect.depth, depth);
        suspect.isAnswered = m_answers.count(key) > 0;
    };
    const std::map<PromptKey, int> counts = crashesPerWhole();
    for (const Crash &crash : m_crashes) {
        if (explained.byPart.count(crash.replica) > 0) {
            continue;
        }
        const PromptKey whole = crash.prompt.whole;
        for (std::size_t i = 0; i < crash.prompt.parts.size(); ++i) {
            suspectKey(crash.prompt.parts[i], i + 1, crash);
        }
        const bool isRepeated = counts.at(whole) > 1 || m_blocks.count(whole) > 0;
        if (isRepeated && explained.byWhole.count(crash.replica) == 0) {
            suspectKey(whole, 0, crash);
        }
    }
    return suspects;
}

/// @param all the suspect with all crashes @param unexplained the same without those that others explain
bool QueryOfDeathDetector::isConvicted(const Suspect &all, const Suspect &unexplained) const
{
    return unexplained.depth > 0 ? isPartConvicted(unexplained) : isWholeConvicted(all, unexplained);
}

bool QueryOfDeathDetector::isPartConvicted(const Suspect &suspect) const
{
    return static_cast<int>(suspect.replicas.size()) >= m_settings.minReplicas
        && separateCrashes(suspect) >= m_settings.minReplicas
        && static_cast<int>(suspect.prompts.size()) >= m_settings.minPrompts;
}

/// Of two requests that crash replicas, one may have run at a crash that the other explains.
bool QueryOfDeathDetector::isWholeConvicted(const Suspect &all, const Suspect &unexplained) const
{
    return static_cast<int>(all.replicas.size()) >= m_settings.minReplicas
        && static_cast<int>(unexplained.replicas.size()) >= m_settings.minSeparate
        && separateCrashes(unexplained) >= m_settings.minSeparate;
}

/// An attempt that was sent once a replica was gone cannot have been at the same loss.
bool QueryOfDeathDetector::hasBegunAfter(const CrashTime &crash, const CrashTime &earlier)
{
    const Duration margin = crash.isOwn && earlier.isOwn ? Duration{} : Duration(newsDelayMargin);
    return crash.startedAt >= earlier.at + margin;
}

int QueryOfDeathDetector::separateCrashes(const Suspect &suspect) const
{
    const bool isWhole = suspect.depth == 0;
    const CrashTime *counted = nullptr;
    int count = 0;
    for (const CrashTime &crash : suspect.crashes) {
        const bool isSeparate =
            !counted || crash.at >= counted->at + m_settings.minSpacing || (isWhole && hasBegunAfter(crash, *counted));
        if (isSeparate) {
            ++count;
            counted = &crash;
        }
    }
    return count;
}

Duration QueryOfDeathDetector::settleTime(const Suspect &suspect) const
{
    const Duration untilTold = std::max(m_settings.settleTime, m_newsInterval);
    return std::min(m_settings.maxSettleTime, suspect.isAnswered ? 2 * untilTold : untilTold);
}

/// Of parts that always come together, the one that was never answered is to blame, or the one that fewer requests
/// share.
bool QueryOfDeathDetector::isLikelier(const Suspect &a, const Suspect &b)
{
    const auto rank = [](const Suspect &suspect) {
        return std::make_tuple(suspect.depth > 0, !suspect.isAnswered, suspect.replicas.size(), suspect.depth);
    };
    return rank(a) > rank(b);
}

/// Blames the likeliest suspect, then those of the crashes that it does not explain, and so on. Blocks that the crashes
/// no longer support are ended: routers may decide differently until all of them have the same news. Of whole requests
/// that compete, the likeliest may be another one after each crash, so that all keep the start of their settle time.
void QueryOfDeathDetector::decide(Instant now)
{
    std::map<PromptKey, Instant> convictedAt;
    std::set<PromptKey> blamed;
    Explained explained;
    const Suspects all = findSuspects({});
    m_decideAt = Instant::max();
    for (;;) {
        const Suspects suspects = findSuspects(explained);
        const auto best = likeliest(all, suspects, blamed);
        if (best == suspects.end()) {
            break;
        }
        if (!isBlamed(best->first)) {
            noteConvicted(now, best->first, convictedAt);
            for (const auto &[key, suspect] : suspects) {
                const bool competes = suspect.depth == 0 && !isBlamed(key);
                if (competes && isConvicted(all.at(key), suspect)) {
                    noteConvicted(now, key, convictedAt);
                }
            }
            const Instant settledAt = convictedAt.at(best->first) + settleTime(best->second);
            if (now < settledAt) {
                m_decideAt = settledAt;
                break;
            }
            block(best->first, best->second);
        }
        blamed.insert(best->first);
        const std::set<std::uint32_t> &replicas = best->second.replicas;
        (best->second.depth > 0 ? explained.byPart : explained.byWhole).insert(replicas.begin(), replicas.end());
    }
    m_convictedAt = std::move(convictedAt);
    if (m_decideAt == Instant::max()) {
        endUnsupported(all, blamed);
    }
}

void QueryOfDeathDetector::noteConvicted(Instant now, PromptKey key, std::map<PromptKey, Instant> &convictedAt) const
{
    const auto known = m_convictedAt.find(key);
    convictedAt.emplace(key, known == m_convictedAt.end() ? now : known->second);
}

/// @param all suspects with all crashes
/// @return the likeliest of the suspects that are convicted or blocked already, without those in `blamed`
QueryOfDeathDetector::Suspects::const_iterator QueryOfDeathDetector::likeliest(const Suspects &all,
                                                                               const Suspects &suspects,
                                                                               const std::set<PromptKey> &blamed) const
{
    auto best = suspects.end();
    for (auto suspect = suspects.begin(); suspect != suspects.end(); ++suspect) {
        const auto &[key, evidence] = *suspect;
        const bool isCandidate = isBlamed(key) || isConvicted(all.at(key), evidence);
        if (!isCandidate || blamed.count(suspect->first) > 0) {
            continue;
        }
        if (best == suspects.end() || isLikelier(suspect->second, best->second)) {
            best = suspect;
        }
    }
    return best;
}

/// @return true for a block, also for one that has ended with time
bool QueryOfDeathDetector::isBlamed(PromptKey key) const
{
    const auto block = m_blocks.find(key);
    return block != m_blocks.end() && !block->second.isOnProbation;
}

/// Ends the blocks of suspects that are not to blame. A block without a known crash was learnt from a peer and stays. A
/// whole request may have run beside another one that crashes replicas, or may crash them itself: it is tried once
/// more.
void QueryOfDeathDetector::endUnsupported(const Suspects &suspects, const std::set<PromptKey> &blamed)
{
    for (const auto &[key, suspect] : suspects) {
        const auto block = m_blocks.find(key);
        if (blamed.count(key) > 0 || !isBlamed(key) || block->second.wasOnProbation) {
            continue;
        }
        if (suspect.depth > 0) {
            m_blocks.erase(block);
        } else {
            block->second.isOnProbation = true;
            block->second.wasOnProbation = true;
        }
        onVerdict({key, false, 0, 0});
    }
}

void QueryOfDeathDetector::block(PromptKey key, const Suspect &suspect)
{
    Block &block = m_blocks[key];
    block.lastCrash = suspect.lastCrash;
    block.sendsLeft = sendsPerNews;
    block.isOnProbation = false;
    m_hasUnsentNews = true;
    onVerdict({key, true, static_cast<int>(suspect.replicas.size()), static_cast<int>(suspect.prompts.size())});
}

bool QueryOfDeathDetector::isBlocked(Instant now, const PromptKeys &prompt)
{
    if (now >= m_decideAt) {
        decide(now);
    }
    if (m_blocks.empty()) {
        return false;
    }
    const auto isKeyBlocked = [&](PromptKey key) {
        const auto block = m_blocks.find(key);
        return block != m_blocks.end() && isActive(now, block->second);
    };
    return isKeyBlocked(prompt.whole) || std::any_of(prompt.parts.begin(), prompt.parts.end(), isKeyBlocked);
}

PromptNews QueryOfDeathDetector::takeNews(Instant now)
{
    PromptNews news;
    std::set<PromptKey> suspected;
    m_hasUnsentNews = false;
    for (Crash &crash : m_crashes) {
        if (now < crash.time.at + suspicionTime) {
            suspected.insert(crash.prompt.parts.begin(), crash.prompt.parts.end());
            suspected.insert(crash.prompt.whole);
        }
        if (crash.sendsLeft > 0 && news.crashes.size() < maxSentCrashes) {
            --crash.sendsLeft;
            const std::uint32_t run = std::max(ageMillis(crash.time.startedAt, crash.time.at), std::uint32_t{1});
            news.crashes.push_back({crash.replica, crash.prompt, ageMillis(crash.time.at, now), run});
        }
    }
    for (auto release = m_releases.begin(); release != m_releases.end();) {
        suspected.insert(release->first);
        m_answers[release->first].toldAt = Instant{};
        release = --release->second == 0 ? m_releases.erase(release) : std::next(release);
    }
    for (const PromptKey key : suspected) {
        const auto answer = m_answers.find(key);
        const bool isUntold = answer != m_answers.end() && answer->second.at > answer->second.toldAt + answerInterval;
        if (isUntold && news.answers.size() < maxSentAnswers) {
            answer->second.toldAt = answer->second.at;
            news.answers.push_back({key, ageMillis(answer->second.at, now)});
        }
    }
    for (auto &[key, block] : m_blocks) {
        if (block.sendsLeft > 0 && !block.isOnProbation && news.blocks.size() < maxSentBlocks) {
            --block.sendsLeft;
            news.blocks.push_back({key, ageMillis(block.lastCrash, now)});
        }
    }
    return news;
}

PromptNews QueryOfDeathDetector::knownBlocks(Instant now) const
{
    PromptNews news;
    for (const auto &[key, block] : m_blocks) {
        const bool isInForce = !block.isOnProbation && now < block.lastCrash + m_settings.blockTime;
        if (isInForce && news.blocks.size() < maxSentBlocks) {
            news.blocks.push_back({key, ageMillis(block.lastCrash, now)});
        }
    }
    return news;
}

bool QueryOfDeathDetector::learnBlock(Instant now, const PromptBlock &told)
{
    const Instant lastCrash = now - std::chrono::milliseconds(told.ageMillis);
    const bool hasEnded = now >= lastCrash + m_settings.blockTime;
    if (hasEnded || wasAnsweredSince(told.key, lastCrash)) {
        return false;
    }
    const auto [known, isAdded] = m_blocks.try_emplace(told.key, Block{lastCrash, sendsPerNews});
    Block &block = known->second;
    const bool isRenewed = block.isOnProbation && lastCrash >= block.lastCrash + m_settings.minSpacing;
    block.lastCrash = std::max(block.lastCrash, lastCrash);
    block.isOnProbation = block.isOnProbation && !isRenewed;
    if (isAdded || isRenewed) {
        onVerdict({told.key, true, 0, 0});
    }
    return isAdded || isRenewed;
}

bool QueryOfDeathDetector::onNews(Instant now, const PromptNews &news)
{
    for (const PromptAnswer &told : news.answers) {
        const Instant at = now - std::chrono::milliseconds(told.ageMillis);
        noteAnswer(told.key, at);
        Answer &answer = m_answers[told.key];
        answer.toldAt = std::max(answer.toldAt, at);
    }
    bool isNew = false;
    for (const PromptBlock &told : news.blocks) {
        isNew = learnBlock(now, told) || isNew;
    }
    m_hasUnsentNews = m_hasUnsentNews || isNew;
    for (const CrashReport &told : news.crashes) {
        const Instant at = now - std::chrono::milliseconds(told.ageMillis);
        const bool isRunKnown = told.runMillis > 0;
        const Instant startedAt = isRunKnown ? at - std::chrono::milliseconds(told.runMillis) : Instant::min();
        addCrash(now, {{at, startedAt, false}, told.replica, told.prompt, 0});
    }
    if (!m_crashes.empty() && !(news.answers.empty() && news.blocks.empty())) {
        decide(now);
    }
    return isNew;
}

void QueryOfDeathDetector::onStored(Instant now, const std::vector<PromptBlock> &stored)
{
    m_stored.emplace();
    for (const PromptBlock &block : stored) {
        (*m_stored)[block.key] = now - std::chrono::milliseconds(block.ageMillis);
        learnBlock(now, block);
    }
}

PromptBlockChanges QueryOfDeathDetector::unsavedChanges(Instant now) const
{
    PromptBlockChanges changes;
    if (!m_stored) {
        return changes;
    }
    for (const auto &[key, block] : m_blocks) {
        const auto stored = m_stored->find(key);
        const bool isSaved = stored != m_stored->end() && block.lastCrash < stored->second + savedAccuracy;
        if (!isSaved && isActive(now, block)) {
            changes.blocks.push_back({key, ageMillis(block.lastCrash, now)});
        }
    }
    for (const auto &[key, lastCrash] : *m_stored) {
        const auto block = m_blocks.find(key);
        if (block == m_blocks.end() || !isActive(now, block->second)) {
            changes.ended.push_back(key);
        }
    }
    return changes;
}

void QueryOfDeathDetector::expire(Instant now)
{
    const auto isOld = [now](const Crash &crash) { return now >= crash.time.at + crashLifetime; };
    m_crashes.erase(std::remove_if(m_crashes.begin(), m_crashes.end(), isOld), m_crashes.end());
    for (auto answer = m_answers.begin(); answer != m_answers.end();) {
        answer = now >= answer->second.at + answerLifetime ? m_answers.erase(answer) : std::next(answer);
    }
    for (auto block = m_blocks.begin(); block != m_blocks.end();) {
        block = now >= block->second.lastCrash + endedBlockLifetime ? m_blocks.erase(block) : std::next(block);
    }
}

int QueryOfDeathDetector::blocks(Instant now) const
{
    const auto isCounted = [&](const auto &entry) { return isActive(now, entry.second); };
    return static_cast<int>(std::count_if(m_blocks.begin(), m_blocks.end(), isCounted));
}

} // namespace galenafold
