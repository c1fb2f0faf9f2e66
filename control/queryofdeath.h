// Finds requests that crash replicas (queries of death), and blocks them.
//
// Load pattern: one part of a prompt crashes each engine that begins to answer it. Requests with it come at any router,
// each with another end, among hundreds of sound ones that share their account and other parts. A router that knows of
// its own attempts only sees one or two crashes while the fleet loses an engine for each request, and again for each
// retry.
//
// Load pattern: one request, with a prompt or without, crashes each replica that begins to run it, and comes again with
// the same path, caller and body. It is known by a hash of these. Sound requests run beside it at each crash, of which
// few come again; one that does has crashes of its own only as far as the crashing request does not explain them.
//
// Each router reports to its peers the prompts that a replica had yet to answer, or had just begun to answer, when it
// crashed, and the parts under suspicion that it has seen answered since. A part is blocked once replicas have crashed
// with it and it was not answered anywhere since. A few events are no answer yet: such an engine may crash shortly
// after the first one. A response that is complete, or that goes on for some time, is. Sound requests at the same
// replicas are answered at their next attempt, which clears their parts. Replicas that are lost at the same moment, as
// in a power failure, count as one; an attempt that began after a loss had no part in it.
//
// A block ends some time after the last crash. Routers end it one after the other, so that a request that still crashes
// its replica costs one replica and not one for each router; a single further crash renews the block.
//
// Sections of this file: Prompt, Trial, News, Detector.
#pragma once

#include "filters/headerfields.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace galenafold
{

// Prompt

using SuspectKey = std::uint64_t; // hash of a prompt's part, or of a whole request, at one service

/// What of a request can be blamed for a crash.
struct SuspectKeys {
    std::vector<SuspectKey> parts; // in order, without the last one, which is not shared with other requests
    SuspectKey whole = 0;          // all parts and the content; a request that is repeated is blamed by it
};

/// What makes a request the same as another one. Its id and its deadline do not: a caller that asks again has new ones.
struct RequestContent {
    const ServiceId &service;
    const std::string &method;
    const std::string &host;
    const std::string &target;
    const AccountId &account; // empty: none
    const std::string &body;
};

/// @return hash of all of it, the same on each router
SuspectKey contentKey(const RequestContent &content);

/// @param content as from `contentKey`
/// @return keys of a request with a prompt at a service, as a part that crashes one service's replicas may be sound at
/// another's
SuspectKeys suspectKeys(const ServiceId &service, const std::vector<PromptPart> &parts, SuspectKey content);

// Trial

/// What the events of one attempt tell of its request.
class AttemptTrial
{
public:
    void begin() { m_firstEventAt.reset(); } ///< A replica gets the request.
    void onEvent(Instant now);               ///< An event was received.

    /// @return true while a crash of the replica may be due to the request: it has not written for long
    bool isOpen(Instant now) const;

private:
    std::optional<Instant> m_firstEventAt;
};

// News

/// A request whose answer had yet to come, or had just begun, when its replica crashed.
struct CrashReport {
    std::uint32_t replica = 0; // hash of the replica's id and start time
    SuspectKeys prompt;
    std::uint32_t ageMillis = 0; // time since the crash
    std::uint32_t runMillis = 0; // time from the attempt's start to the crash; 0: not told
};

/// A part or a whole request under suspicion, or one that was blocked, that was answered.
struct SuspectAnswer {
    SuspectKey key = 0;
    std::uint32_t ageMillis = 0; // time since its latest answer
};

/// A part or a whole request that no replica gets.
struct SuspectBlock {
    SuspectKey key = 0;
    std::uint32_t ageMillis = 0; // time since the last crash with it
};

/// What a router tells its peers.
struct CrashNews {
    std::vector<CrashReport> crashes;
    std::vector<SuspectAnswer> answers;
    std::vector<SuspectBlock> blocks;

    bool isEmpty() const { return crashes.empty() && answers.empty() && blocks.empty(); }
};

/// What the store must be told.
struct BlockChanges {
    std::vector<SuspectBlock> blocks;
    std::vector<SuspectKey> ended; // no longer blocked

    bool isEmpty() const { return blocks.empty() && ended.empty(); }
};

// Detector

struct QueryOfDeathSettings {
    int minReplicas = 3; // replicas that crashed with a part before it is blocked
    int minPrompts = 2;  // different prompts among them; a single one is blamed as a whole
    int minSeparate = 2; // of the crashes with a whole request, that cannot have been one loss of several replicas
    Duration minSpacing = std::chrono::milliseconds(100); // replicas lost sooner after each other count as one, unless
                                                          // the attempt began after the earlier loss
    Duration settleTime = std::chrono::milliseconds(500); // in which answers of a suspect may still become known;
                                                          // longer where news are late, and for parts known as answered
    Duration maxSettleTime = std::chrono::seconds(2);     // so that a block is in time
    Duration blockTime = std::chrono::minutes(10);        // after the last crash
};

/// A decision, for the log.
struct SuspectVerdict {
    SuspectKey key = 0;
    bool isBlocked = false; // false: no longer, as it was answered, or another part is to blame
    int replicas = 0;       // that crashed with it, as known here; 0: the block was learnt from a peer or the store
    int prompts = 0;        // different ones among them
};

/// Not thread-safe: used on the traffic thread.
class QueryOfDeathDetector
{
public:
    /// @param seed differs between routers; determines in which order they end a block
    QueryOfDeathDetector(const QueryOfDeathSettings &settings, std::uint64_t seed);

    /// An attempt has delivered a complete response, or events for so long that its trial has ended.
    void onAnswered(Instant now, const SuspectKeys &prompt);

    /// A replica crashed while the trial of an attempt was open.
    /// @param replica hash of its id and start time @param startedAt when the attempt was sent
    void onCrash(Instant now, std::uint32_t replica, const SuspectKeys &prompt, Instant startedAt);

    bool isBlocked(Instant now, const SuspectKeys &prompt); ///< @return true if no replica may get the prompt

    bool hasUnsentNews() const { return m_hasUnsentNews; } ///< @return true if peers do not know of a crash or a block
    CrashNews takeNews(Instant now);                       ///< @return news for all peers, which then count as sent
    CrashNews knownBlocks(Instant now) const;              ///< @return all blocks, for a router that has started

    /// @param interval time between two broadcasts of a router; news are late by up to that much
    void setNewsInterval(Duration interval) { m_newsInterval = interval; }

    /// @return true if a block became known
    bool onNews(Instant now, const CrashNews &news);

    /// The store was read. @param stored all blocks in it
    void onStored(Instant now, const std::vector<SuspectBlock> &stored);

    /// @return blocks that the store does not have as they are known here; none before it was read
    BlockChanges unsavedChanges(Instant now) const;

    void expire(Instant now); ///< Forgets what is too old. Call periodically.

    int blocks(Instant now) const; ///< @return parts and prompts that are blocked now

    std::function<void(const SuspectVerdict &)> onVerdict = [](const SuspectVerdict &) {};

private:
    static constexpr int sendsPerNews = 4; // broadcasts that carry each crash and block

    /// When an attempt began and ended with a crash.
    struct CrashTime {
        Instant at{};
        Instant startedAt{};
        bool isOwn = false; // this router's attempt; else both times may be late by the news' delay

        friend bool operator<(const CrashTime &a, const CrashTime &b) { return a.at < b.at; }
    };
    struct Crash {
        CrashTime time;
        std::uint32_t replica = 0;
        SuspectKeys prompt;
        int sendsLeft = 0; // in broadcasts; more than one, as datagrams are lost
    };
    struct Answer {
        Instant at{};
        Instant toldAt{}; // latest answer that peers know of

        bool isUntold() const; // peers know of none, or only of an earlier one
    };
    struct Block {
        Instant lastCrash{}; // newest crash that it is blamed for
        int sendsLeft = 0;
        bool isOnProbation = false; // ended as others explain its crashes; the next crash renews it for good
        bool wasOnProbation = false;
    };
    struct Suspect {
        Instant lastCrash{};
        std::set<CrashTime> crashes;
        std::set<std::uint32_t> replicas;
        std::set<SuspectKey> prompts;
        std::size_t depth = 0;   // position in the prompt, from 1; 0: a whole prompt
        bool isAnswered = false; // before the crashes
    };
    using Suspects = std::map<SuspectKey, Suspect>;

    /// Replicas whose crash a blocked key explains, so that it is not held against others that waited there.
    struct Explained {
        std::set<std::uint32_t> byPart;  // not held against any other key
        std::set<std::uint32_t> byWhole; // not held against other whole requests; a part of it may be to blame
    };

    void addCrash(Instant now, Crash crash);
    void noteAnswer(SuspectKey key, Instant when);
    void renewBlocks(Instant now, const Crash &crash);
    bool learnBlock(Instant now, const SuspectBlock &told);
    void decide(Instant now);
    std::map<SuspectKey, int> crashesPerWhole() const;
    Suspects findSuspects(const Explained &explained) const;
    Suspects::const_iterator likeliest(const Suspects &all, const Suspects &suspects,
                                       const std::set<SuspectKey> &blamed) const;
    bool isBlamed(SuspectKey key) const;
    void endUnsupported(const Suspects &suspects, const std::set<SuspectKey> &blamed);
    std::map<SuspectKey, Instant> convictionTimes(Instant now, const Suspects &all, const Suspects &suspects,
                                                  SuspectKey best) const;
    bool isConvicted(const Suspect &all, const Suspect &unexplained) const;
    bool isPartConvicted(const Suspect &suspect) const;
    bool isWholeConvicted(const Suspect &all, const Suspect &unexplained) const;
    int separateCrashes(const Suspect &suspect) const;
    static bool hasBegunAfter(const CrashTime &crash, const CrashTime &earlier);
    void recallAnswer(SuspectKey whole);
    Duration settleTime(const Suspect &suspect) const;
    static bool isLikelier(const Suspect &a, const Suspect &b);
    void block(SuspectKey key, const Suspect &suspect);
    bool isActive(Instant now, const Block &block) const;
    bool wasAnsweredSince(SuspectKey key, Instant when) const;

    QueryOfDeathSettings m_settings;
    Duration m_stagger{}; // by which this router ends a block later than the first one
    Duration m_newsInterval{};
    std::vector<Crash> m_crashes; // oldest first
    std::unordered_map<SuspectKey, Answer> m_answers;
    std::deque<std::pair<SuspectKey, Instant>> m_recentAnswers; // of whole requests that are no suspects, oldest first
    std::map<SuspectKey, Block> m_blocks; // those that have ended are kept, as a single crash renews them
    std::optional<std::map<SuspectKey, Instant>> m_stored; // last crashes of the blocks in the store; nothing: not read
    std::map<SuspectKey, int> m_releases;        // blocks that an answer has ended; broadcasts that still tell so
    std::map<SuspectKey, Instant> m_convictedAt; // when the settle time of a suspect began
    Instant m_decideAt = Instant::max();         // when a settle time ends
    bool m_hasUnsentNews = false;
};

} // namespace galenafold
