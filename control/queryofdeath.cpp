// Detection of requests that crash replicas: what is known of crashes, answers and blocks.
//
// Sections of this file: Prompt, Trial, Detector. @see queryofdeathsuspects.cpp for who is to blame
#include "control/queryofdeath.h"

#include "control/age.h"
#include "control/loadview.h"

#include <algorithm>

namespace galenafold
{

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
constexpr std::size_t maxRecentAnswers = 2048;             // that are recalled when the request becomes a suspect
constexpr auto unknownBlockTime = std::chrono::seconds(1); // after which a crash shows that a peer lacks a block
constexpr auto trialTime = std::chrono::seconds(1);        // from the first event; engines write several in it

// Prompt

SuspectKeys suspectKeys(const ServiceId &service, const std::vector<PromptPart> &parts, SuspectKey content)
{
    SuspectKeys keys;
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

SuspectKey contentKey(const RequestContent &content)
{
    SuspectKey key = hashName(content.service.text);
    for (const std::string *text :
         {&content.method, &content.host, &content.target, &content.account.text, &content.body}) {
        key = rendezvousScore(key, hashName(*text));
    }
    return key;
}

// Trial

void AttemptTrial::onEvent(Instant now)
{
    if (!m_firstEventAt) {
        m_firstEventAt = now;
    }
}

bool AttemptTrial::isOpen(Instant now) const
{
    return !m_firstEventAt || now < *m_firstEventAt + trialTime;
}

// Detector

QueryOfDeathDetector::QueryOfDeathDetector(const QueryOfDeathSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_stagger(settings.blockTime / staggerSteps * static_cast<Duration::rep>(seed % staggerSteps))
{
}

void QueryOfDeathDetector::onAnswered(Instant now, const SuspectKeys &prompt)
{
    for (const SuspectKey part : prompt.parts) {
        noteAnswer(part, now);
    }
    bool isKnown = m_blocks.count(prompt.whole) > 0;
    int recentCrashes = 0;
    for (const Crash &crash : m_crashes) {
        const bool isSame = crash.prompt.whole == prompt.whole;
        isKnown = isKnown || isSame;
        recentCrashes += isSame && now < crash.time.at + suspicionTime ? 1 : 0;
    }
    if (isKnown) {
        noteAnswer(prompt.whole, now);
        const bool othersMayBlockIt = recentCrashes >= m_settings.minSeparate;
        m_hasUnsentNews = m_hasUnsentNews || (othersMayBlockIt && m_answers[prompt.whole].isUntold());
        return;
    }
    m_recentAnswers.emplace_back(prompt.whole, now);
    if (m_recentAnswers.size() > maxRecentAnswers) {
        m_recentAnswers.pop_front();
    }
}

bool QueryOfDeathDetector::Answer::isUntold() const
{
    return at > toldAt + answerInterval;
}

/// Answers of whole requests are kept apart, as most requests never become suspects.
void QueryOfDeathDetector::recallAnswer(SuspectKey whole)
{
    const auto isSame = [whole](const auto &answer) { return answer.first == whole; };
    const auto newest = std::find_if(m_recentAnswers.rbegin(), m_recentAnswers.rend(), isSame);
    if (newest != m_recentAnswers.rend()) {
        noteAnswer(whole, newest->second);
    }
}

/// An answer that is later than the last crash ends a block.
void QueryOfDeathDetector::noteAnswer(SuspectKey key, Instant when)
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

void QueryOfDeathDetector::onCrash(Instant now, std::uint32_t replica, const SuspectKeys &prompt, Instant startedAt)
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
        const std::vector<SuspectKey> &parts = crash.prompt.parts;
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

bool QueryOfDeathDetector::wasAnsweredSince(SuspectKey key, Instant when) const
{
    const auto answer = m_answers.find(key);
    return answer != m_answers.end() && answer->second.at >= when;
}

bool QueryOfDeathDetector::isBlocked(Instant now, const SuspectKeys &prompt)
{
    if (now >= m_decideAt) {
        decide(now);
    }
    if (m_blocks.empty()) {
        return false;
    }
    const auto isKeyBlocked = [&](SuspectKey key) {
        const auto block = m_blocks.find(key);
        return block != m_blocks.end() && isActive(now, block->second);
    };
    return isKeyBlocked(prompt.whole) || std::any_of(prompt.parts.begin(), prompt.parts.end(), isKeyBlocked);
}

CrashNews QueryOfDeathDetector::takeNews(Instant now)
{
    CrashNews news;
    std::set<SuspectKey> suspected;
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
    for (const SuspectKey key : suspected) {
        const auto answer = m_answers.find(key);
        const bool isUntold = answer != m_answers.end() && answer->second.isUntold();
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

CrashNews QueryOfDeathDetector::knownBlocks(Instant now) const
{
    CrashNews news;
    for (const auto &[key, block] : m_blocks) {
        const bool isInForce = !block.isOnProbation && now < block.lastCrash + m_settings.blockTime;
        if (isInForce && news.blocks.size() < maxSentBlocks) {
            news.blocks.push_back({key, ageMillis(block.lastCrash, now)});
        }
    }
    return news;
}

bool QueryOfDeathDetector::learnBlock(Instant now, const SuspectBlock &told)
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

bool QueryOfDeathDetector::onNews(Instant now, const CrashNews &news)
{
    for (const SuspectAnswer &told : news.answers) {
        const Instant at = now - std::chrono::milliseconds(told.ageMillis);
        noteAnswer(told.key, at);
        Answer &answer = m_answers[told.key];
        answer.toldAt = std::max(answer.toldAt, at);
    }
    bool isNew = false;
    for (const SuspectBlock &told : news.blocks) {
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

void QueryOfDeathDetector::onStored(Instant now, const std::vector<SuspectBlock> &stored)
{
    m_stored.emplace();
    for (const SuspectBlock &block : stored) {
        (*m_stored)[block.key] = now - std::chrono::milliseconds(block.ageMillis);
        learnBlock(now, block);
    }
}

BlockChanges QueryOfDeathDetector::unsavedChanges(Instant now) const
{
    BlockChanges changes;
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
