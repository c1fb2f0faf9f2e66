// At most once: idempotency keys claimed in the platform's log before anything is sent.
//
// Sections of this file: Keys, Items, Table, Desk.
//
// A claim wins if, at its place in the log, its key has no live claim. Every reader folds the same answer. Only the
// nonce that won may send. Who runs a desk is efficiency: two desks for one partition stay correct.
//
//   claim    a router wants to send; dead if another claim is live, its nonce was voided, or the key's age is out
//   void     that router will never send with this nonce; the key is free for the next claim
//   outcome  what the caller was told; a repeat gets the same
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace galenafold
{

// Keys

constexpr int claimPartitions = 16; // streams; ten appends a second each stay under two hundred in all

/// Keys are remembered this long after their first claim, so no contract's window may be longer. The log must keep
/// claim records for longer than this.
constexpr std::chrono::seconds maxKeyWindow{900};

/// @return the partition of a full key
int claimPartitionOf(const std::string &fullKey);

/// @return the stream of a partition
std::string claimStream(int partition);

/// Reads the creation time that a UUID version 7 carries. @return nothing for any other text.
std::optional<UnixMillis> uuidV7Time(const std::string &uuidV7);

// Items

enum class ClaimKind : std::uint8_t { Claim, Void, Outcome };

/// The first answer to a key, kept for repeats.
struct ClaimOutcome {
    int status = 0; // HTTP; 0: the call may have run and its answer was lost
    std::string contentType;
    std::string body; // empty when it was over the size that is kept
    bool isBodyKept = true;
};

struct ClaimItem {
    ClaimKind kind = ClaimKind::Claim;
    std::string key;                  // customer/service/idempotency key
    std::string nonce;                // one for each claimant
    std::string fingerprint;          // of operation and body
    std::chrono::seconds window{600}; // of the contract, for claims
    ClaimOutcome outcome;
};

std::string encodeClaims(const std::vector<ClaimItem> &items);
bool decodeClaims(const std::string &value, std::vector<ClaimItem> &items); ///< @return false: not a claims record

// Table

enum class ClaimResult : std::uint8_t {
    Won,         // the nonce may send, once
    Replay,      // the key has an outcome
    InProgress,  // another nonce has the claim and no outcome is known
    Mismatch,    // the key was used with another operation or body
    Expired,     // the key's age does not lie in the window
    Unavailable, // could not be agreed in time; the nonce must never send
};

struct ClaimAnswer {
    ClaimResult result = ClaimResult::Unavailable;
    ClaimOutcome outcome; // for Replay
};

using ClaimCallback = std::function<void(const ClaimAnswer &)>;

/// One record of a claim stream.
struct ClaimRecord {
    LogOffset offset = 0;
    UnixMillis time{}; // when the log took it
    std::string value;
};

/// Folds one partition. Identical on every reader.
class ClaimTable
{
public:
    /// Folds a record. Records below `upTo` are ignored. @return items that the record held.
    std::vector<ClaimItem> applyRecord(const ClaimRecord &record);

    /// @return what is known of a claim; nothing if the key has no live claim and no outcome
    std::optional<ClaimAnswer> answer(const ClaimItem &claim) const;

    /// @return the answer to a claim that was folded and lost for good; nothing while it may still win
    std::optional<ClaimAnswer> answerToRejected(const ClaimItem &claim) const;

    LogOffset upTo() const { return m_upTo; }
    void startAt(LogOffset firstRetained) { m_upTo = std::max(m_upTo, firstRetained); }
    std::size_t keys() const { return m_keys.size(); }

private:
    struct Key {
        std::string live;        // nonce; empty: free
        std::string fingerprint; // of the live claim
        std::optional<ClaimOutcome> outcome;
        std::set<std::string> dead; // nonces that lost or were voided
        UnixMillis forgetAt{};
    };

    void foldClaim(Key &key, const ClaimItem &item, UnixMillis time);
    void forgetOld(UnixMillis time);

    LogOffset m_upTo = 0;
    UnixMillis m_lastTime{}; // of the newest record
    std::unordered_map<std::string, Key> m_keys;
    std::deque<std::pair<UnixMillis, std::string>> m_forgetOrder;
};

// Desk

/// What the shell must do for a desk.
struct ClaimActions {
    std::vector<ClaimItem> append;                            // one record; empty: nothing
    bool mustRead = false;                                    // read the stream from `ClaimBatcher::readFrom`
    std::vector<std::pair<std::string, ClaimAnswer>> answers; // by nonce
    std::vector<std::string> settled;                         // nonces whose void or outcome is in the log
};

/// Works one partition: batches claims into appends, reads them back, answers. One append is open at a time.
class ClaimBatcher
{
public:
    void onItem(Instant now, const ClaimItem &item, Instant answerBy);
    void onAppendEnded(Instant now, bool isTaken); ///< `isTaken` false: may have been taken all the same
    void onRecords(Instant now, const std::vector<ClaimRecord> &records, LogOffset firstRetained, LogOffset end);
    ClaimActions onTick(Instant now);

    LogOffset readFrom() const { return m_table.upTo(); }
    std::size_t unsettled() const { return m_outbox.size(); } ///< @return items not yet seen in the log
    std::size_t waiting() const { return m_waiting.size(); }
    const ClaimTable &table() const { return m_table; }

private:
    struct Pending {
        ClaimItem item;
        Instant sendAgainAt{};
        bool wasSent = false;
    };
    struct Waiting {
        ClaimItem claim;
        Instant answerBy{};
        bool isSent = false;
    };

    void collectAnswers(Instant now, ClaimActions &actions);
    void collectAppend(Instant now, ClaimActions &actions);
    void give(const std::string &nonce, const ClaimAnswer &answer, ClaimActions &actions);

    ClaimTable m_table;
    bool m_isCaughtUp = false; // has read to the end at least once
    LogOffset m_end = 0;
    std::deque<Pending> m_outbox;
    std::map<std::string, Waiting> m_waiting; // by nonce
    std::vector<std::string> m_settled;
    bool m_isAppendOpen = false;
    bool m_mustRead = true;
    Instant m_nextAppend{};
    Instant m_nextRead{};
};

} // namespace galenafold
