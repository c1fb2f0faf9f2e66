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
constexpr auto trialTime = std::chrono::seconds(1); // from the first event; engines write several in it

// Prompt

PromptKeys promptKeys(const ServiceId &service, const std::vector<PromptPart> &parts)
{
    PromptKeys keys;
    if (parts.empty()) {
        return keys;
    }
    const std::uint64_t scope = hashName(service.text);
    keys.whole = scope;
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
    if (m_blocks.count(prompt.whole) > 0 || std::any_of(m_crashes.begin(), m_crashes.end(), isSamePrompt)) {
        noteAnswer(prompt.whole, now);
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

void QueryOfDeathDetector::onCrash(Instant now, std::uint32_t replica, const PromptKeys &prompt)
{
    addCrash(now, {now, replica, prompt, sendsPerNews});
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
        if (!isBlamed || crash.at <= block.lastCrash) {
            continue;
        }
        if (!isActive(now, block)) {
            block.sendsLeft = sendsPerNews;
            m_hasUnsentNews = true;
            onVerdict({key, true, 1, 1});
        }
        block.lastCrash = crash.at;
    }
}

bool QueryOfDeathDetector::isActive(Instant now, const Block &block) const
{
    return now < block.lastCrash + m_settings.blockTime + m_stagger;
}

bool QueryOfDeathDetector::wasAnsweredSince(PromptKey key, Instant when) const
{
    const auto answer = m_answers.find(key);
    return answer != m_answers.end() && answer->second.at >= when;
}

/// @param explained replicas whose crash a blocked part explains; it is not held against other prompts that waited
/// there
QueryOfDeathDetector::Suspects QueryOfDeathDetector::findSuspects(const std::set<std::uint32_t> &explained) const
{
    Suspects suspects;
    const auto suspectKey = [&](PromptKey key, std::size_t depth, const Crash &crash) {
        if (wasAnsweredSince(key, crash.at)) {
            return;
        }
        Suspect &suspect = suspects[key];
        suspect.lastCrash = std::max(suspect.lastCrash, crash.at);
        suspect.crashes.insert(crash.at);
        suspect.replicas.insert(crash.replica);
        suspect.prompts.insert(crash.prompt.whole);
        suspect.depth = std::max(suspect.depth, depth);
        suspect.isAnswered = m_answers.count(key) > 0;
    };
    for (const Crash &crash : m_crashes) {
        if (explained.count(crash.replica) > 0) {
            continue;
        }
        for (std::size_t i = 0; i < crash.prompt.parts.size(); ++i) {
            suspectKey(crash.prompt.parts[i], i + 1, crash);
        }
        suspectKey(crash.prompt.whole, 0, crash);
    }
    return suspects;
}

bool QueryOfDeathDetector::isConvicted(const Suspect &suspect) const
{
    const int minPrompts = suspect.depth == 0 ? 1 : m_settings.minPrompts;
    return static_cast<int>(suspect.replicas.size()) >= m_settings.minReplicas
        && separateCrashes(suspect) >= m_settings.minReplicas && static_cast<int>(suspect.prompts.size()) >= minPrompts;
}

int QueryOfDeathDetector::separateCrashes(const Suspect &suspect) const
{
    int count = 0;
    Instant next = Instant::min();
    for (const Instant at : suspect.crashes) {
        if (at >= next) {
            ++count;
            next = at + m_settings.minSpacing;
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
/// no longer support are ended: routers may decide differently until all of them have the same news.
void QueryOfDeathDetector::decide(Instant now)
{
    std::map<PromptKey, Instant> convictedAt;
    std::set<PromptKey> blamed;
    std::set<std::uint32_t> explained;
    const Suspects all = findSuspects({});
    m_decideAt = Instant::max();
    for (;;) {
        const Suspects suspects = findSuspects(explained);
        const auto best = likeliest(suspects, blamed);
        if (best == suspects.end()) {
            break;
        }
        if (m_blocks.count(best->first) == 0) {
            const auto known = m_convictedAt.find(best->first);
            const Instant since = known == m_convictedAt.end() ? now : known->second;
            convictedAt[best->first] = since;
            const Instant settledAt = since + settleTime(best->second);
            if (now < settledAt) {
                m_decideAt = settledAt;
                break;
            }
            block(best->first, best->second);
        }
        blamed.insert(best->first);
        if (best->second.depth > 0) {
            explained.insert(best->second.replicas.begin(), best->second.replicas.end());
        }
    }
    m_convictedAt = std::move(convictedAt);
    if (m_decideAt == Instant::max()) {
        endUnsupported(all, blamed);
    }
}

/// @return the likeliest of the suspects that are convicted or blocked already, without those in `blamed`
QueryOfDeathDetector::Suspects::const_iterator QueryOfDeathDetector::likeliest(const Suspects &suspects,
                                                                               const std::set<PromptKey> &blamed) const
{
    auto best = suspects.end();
    for (auto suspect = suspects.begin(); suspect != suspects.end(); ++suspect) {
        const bool isCandidate = m_blocks.count(suspect->first) > 0 || isConvicted(suspect->second);
        if (!isCandidate || blamed.count(suspect->first) > 0) {
            continue;
        }
        if (best == suspects.end() || isLikelier(suspect->second, best->second)) {
            best = suspect;
        }
    }
    return best;
}

/// Ends the blocks of suspects that are not to blame. A block without a known crash was learnt from a peer and stays.
void QueryOfDeathDetector::endUnsupported(const Suspects &suspects, const std::set<PromptKey> &blamed)
{
    for (const auto &[key, suspect] : suspects) {
        if (blamed.count(key) == 0 && m_blocks.erase(key) > 0) {
            onVerdict({key, false, 0, 0});
        }
    }
}

void QueryOfDeathDetector::block(PromptKey key, const Suspect &suspect)
{
    m_blocks[key] = {suspect.lastCrash, sendsPerNews};
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
        if (now < crash.at + suspicionTime) {
            suspected.insert(crash.prompt.parts.begin(), crash.prompt.parts.end());
        }
        if (crash.sendsLeft > 0 && news.crashes.size() < maxSentCrashes) {
            --crash.sendsLeft;
            news.crashes.push_back({crash.replica, crash.prompt, ageMillis(crash.at, now)});
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
        if (block.sendsLeft > 0 && news.blocks.size() < maxSentBlocks) {
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
        if (now < block.lastCrash + m_settings.blockTime && news.blocks.size() < maxSentBlocks) {
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
    const auto [block, isAdded] = m_blocks.try_emplace(told.key, Block{lastCrash, sendsPerNews});
    block->second.lastCrash = std::max(block->second.lastCrash, lastCrash);
    if (isAdded) {
        onVerdict({told.key, true, 0, 0});
    }
    return isAdded;
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
        addCrash(now, {now - std::chrono::milliseconds(told.ageMillis), told.replica, told.prompt, 0});
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
    const auto isOld = [now](const Crash &crash) { return now >= crash.at + crashLifetime; };
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
