// Detection of requests that crash replicas: which of the parts and requests that were there is to blame.
//
// Sections of this file: Evidence, Decision.
#include "control/queryofdeath.h"

#include <algorithm>

namespace galenafold
{

constexpr auto newsDelayMargin = std::chrono::milliseconds(20); // by which what peers tell may seem later than it was

// Evidence

std::map<SuspectKey, int> QueryOfDeathDetector::crashesPerWhole() const
{
    std::map<SuspectKey, int> counts;
    for (const Crash &crash : m_crashes) {
        ++counts[crash.prompt.whole];
    }
    return counts;
}

/// A whole request that replicas crashed with once is left out: most are sound ones that are never repeated.
QueryOfDeathDetector::Suspects QueryOfDeathDetector::findSuspects(const Explained &explained) const
{
    Suspects suspects;
    const auto suspectKey = [&](SuspectKey key, std::size_t depth, const Crash &crash) {
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
    const std::map<SuspectKey, int> counts = crashesPerWhole();
    for (const Crash &crash : m_crashes) {
        if (explained.byPart.count(crash.replica) > 0) {
            continue;
        }
        const SuspectKey whole = crash.prompt.whole;
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

// Decision

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
    std::map<SuspectKey, Instant> convictedAt;
    std::set<SuspectKey> blamed;
    Explained explained;
    const Suspects all = findSuspects({});
    m_decideAt = Instant::max();
    for (Suspects suspects = all;; suspects = findSuspects(explained)) {
        const auto best = likeliest(all, suspects, blamed);
        if (best == suspects.end()) {
            break;
        }
        if (!isBlamed(best->first)) {
            convictedAt.merge(convictionTimes(now, all, suspects, best->first));
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

/// @param best the likeliest of the suspects @return since when it is convicted, and whole requests that compete with
/// it
std::map<SuspectKey, Instant> QueryOfDeathDetector::convictionTimes(Instant now, const Suspects &all,
                                                                    const Suspects &suspects, SuspectKey best) const
{
    std::map<SuspectKey, Instant> times;
    for (const auto &[key, suspect] : suspects) {
        const bool competes = suspect.depth == 0 && !isBlamed(key) && isConvicted(all.at(key), suspect);
        if (key == best || competes) {
            const auto known = m_convictedAt.find(key);
            times[key] = known == m_convictedAt.end() ? now : known->second;
        }
    }
    return times;
}

/// @param all suspects with all crashes
/// @return the likeliest of the suspects that are convicted or blocked already, without those in `blamed`
QueryOfDeathDetector::Suspects::const_iterator QueryOfDeathDetector::likeliest(const Suspects &all,
                                                                               const Suspects &suspects,
                                                                               const std::set<SuspectKey> &blamed) const
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
bool QueryOfDeathDetector::isBlamed(SuspectKey key) const
{
    const auto block = m_blocks.find(key);
    return block != m_blocks.end() && !block->second.isOnProbation;
}

/// Ends the blocks of suspects that are not to blame. A block without a known crash was learnt from a peer and stays. A
/// whole request may have run beside another one that crashes replicas, or may crash them itself: it is tried once
/// more.
void QueryOfDeathDetector::endUnsupported(const Suspects &suspects, const std::set<SuspectKey> &blamed)
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

void QueryOfDeathDetector::block(SuspectKey key, const Suspect &suspect)
{
    Block &block = m_blocks[key];
    block.lastCrash = suspect.lastCrash;
    block.sendsLeft = sendsPerNews;
    block.isOnProbation = false;
    m_hasUnsentNews = true;
    onVerdict({key, true, static_cast<int>(suspect.replicas.size()), static_cast<int>(suspect.prompts.size())});
}

} // namespace galenafold
