// At-most-once execution: a router claims an idempotency key in the platform's log before it sends the request.
//
// Sections of this file: Keys, Items, Table, Batcher.
//
// A claim wins if its key has no active claim at the claim's position in the log. Every reader of the log computes the
// same result, and only the winning nonce may send. Which process runs a batcher matters for efficiency only: several
// batchers on one partition still give correct results.
//
//   claim    a router wants to send; rejected if another claim is active, its nonce was voided, or the key's creation
//            time is outside the window
//   void     the router will never send with this nonce; the key is free for the next claim
//   outcome  the response that the caller got; repeated requests get the same response
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

constexpr int claimPartitionCount = 16; // log streams; 10 appends/s each keep the total below 200/s

/// Keys are kept for at least this long after their first record, so no contract may set a longer window. The log must
/// retain claim records for longer than this.
constexpr std::chrono::seconds maxKeyWindow{900};

/// @param fullKey customer/service/idempotency key @return its partition, from 0
int claimPartitionOf(const std::string &fullKey);

/// @return the name of the log stream that holds a partition
std::string claimStream(int partition);

/// Reads the creation time from a version 7 UUID. @return nothing for any other text.
std::optional<UnixMillis> uuidV7Time(const std::string &uuidV7);

// Items

enum class ClaimKind : std::uint8_t { Claim, Void, Outcome };

/// The first response for a key, stored for repeated requests.
struct ClaimOutcome {
    int status = 0; // HTTP; 0: the call may have run and its response was lost
    std::string contentType;
    std::string body;       // empty if it exceeded the size limit
    bool isBodyKept = true; // false: the body exceeded the size limit
};

struct ClaimItem {
    ClaimKind kind = ClaimKind::Claim;
    std::string key;                  // customer/service/idempotency key
    std::string nonce;                // unique for each claim attempt
    std::string fingerprint;          // hash of operation and body
    std::chrono::seconds window{600}; // claims only: key window of the contract
    ClaimOutcome outcome;
};

std::string encodeClaims(const std::vector<ClaimItem> &items);

/// Decodes a record into `items`. @return false and leaves `items` unchanged if it is not a claims record.
bool decodeClaims(const std::string &value, std::vector<ClaimItem> &items);

// Table

enum class ClaimResult : std::uint8_t {
    Won,         // the nonce may send once
    Replay,      // the key has an outcome, which is returned
    InProgress,  // another nonce holds the claim and has no outcome yet
    Mismatch,    // the key was used with another operation or body
    Expired,     // the key's creation time is outside the window
    Unavailable, // no result in time; the nonce must never send
};

struct ClaimAnswer {
    ClaimResult result = ClaimResult::Unavailable;
    ClaimOutcome outcome; // for Replay
};

using ClaimCallback = std::function<void(const ClaimAnswer &)>;

/// One record of a claim stream, as read from the log.
struct ClaimRecord {
    LogOffset offset = 0;
    UnixMillis time{}; // when the log stored it, by the platform's clock
    std::string value;
};

/// State of one partition, built from its records. Deterministic: every reader of the log gets the same state.
class ClaimTable
{
public:
    /// Applies a record. Records below `upTo()` are ignored. @return the items in the record.
    std::vector<ClaimItem> applyRecord(const ClaimRecord &record);

    /// @return the result of a claim; nothing if its key has no active claim
    std::optional<ClaimAnswer> answer(const ClaimItem &claim) const;

    /// @return the result of a claim that was applied and rejected; nothing while it may still win
    std::optional<ClaimAnswer> answerToRejected(const ClaimItem &claim) const;

    LogOffset upTo() const { return m_upTo; } ///< @return offset of the next record to apply
    void skipTo(LogOffset firstRetained) { m_upTo = std::max(m_upTo, firstRetained); } ///< Skips deleted records.
    std::size_t keys() const { return m_keys.size(); }                                 ///< @return number of keys kept

private:
    struct KeyState {
        std::string activeNonce; // of the active claim; empty: none
        std::string fingerprint; // of the active claim
        std::optional<ClaimOutcome> outcome;
        std::set<std::string> rejectedNonces; // rejected or voided
        UnixMillis expiresAt{};
    };

    void applyClaim(KeyState &key, const ClaimItem &item, UnixMillis time);
    void evictExpired(UnixMillis time);

    LogOffset m_upTo = 0;
    UnixMillis m_lastTime{}; // highest record time so far
    std::unordered_map<std::string, KeyState> m_keys;
    std::deque<std::pair<UnixMillis, std::string>> m_expiryQueue; // oldest first
};

// Batcher

/// What the owner of a batcher must do next.
struct ClaimActions {
    std::vector<ClaimItem> append;                            // items to append as one record; empty: no append
    bool mustRead = false;                                    // read the stream from `readFrom()` on
    std::vector<std::pair<std::string, ClaimAnswer>> answers; // by nonce
    std::vector<std::string> settled; // nonces whose void or outcome has been read back from the log
};

/// Batches the items of one partition into appends, reads them back and answers claims. At most one append is in
/// flight. It does no I/O: its owner performs the returned actions and reports their results.
class ClaimBatcher
{
public:
    /// Accepts an item. @param answerBy when to answer Unavailable if there is no result; used for claims only
    void onItem(Instant now, const ClaimItem &item, Instant answerBy);

    /// Ends the append in flight. @param isAcknowledged false: the log may have stored the record nevertheless
    void onAppendEnded(Instant now, bool isAcknowledged);

    /// Applies records read from the log.
    /// @param firstRetained lowest offset that the log still holds
    /// @param end offset after the log's last record
    void onRecords(Instant now, const std::vector<ClaimRecord> &records, LogOffset firstRetained, LogOffset end);

    ClaimActions onTick(Instant now); ///< @return what is due now

    LogOffset readFrom() const { return m_table.upTo(); }     ///< @return offset to read from next
    std::size_t unsettled() const { return m_outbox.size(); } ///< @return items not yet read back from the log
    std::size_t waiting() const { return m_waiting.size(); }  ///< @return claims without an answer
    const ClaimTable &table() const { return m_table; }

private:
    struct Pending {
        ClaimItem item;
        Instant retryAt{};
        bool wasSent = false;
    };
    struct Waiting {
        ClaimItem claim;
        Instant answerBy{};
        bool isQueued = false; // has been put into the outbox
    };

    void collectAnswers(Instant now, ClaimActions &actions);
    void collectAppend(Instant now, ClaimActions &actions);
    void addAnswer(const std::string &nonce, const ClaimAnswer &answer, ClaimActions &actions);

    ClaimTable m_table;
    bool m_isCaughtUp = false;                // has read to the end of the stream at least once
    LogOffset m_end = 0;                      // of the stream, at the last read
    std::deque<Pending> m_outbox;             // until read back from the log
    std::map<std::string, Waiting> m_waiting; // by nonce
    std::vector<std::string> m_settled;
    bool m_isAppendInFlight = false;
    bool m_mustRead = true;
    Instant m_nextAppend{};
    Instant m_nextRead{};
};

} // namespace galenafold
