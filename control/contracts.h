// Contracts: their INI form, their records in the log, and the replicated state that every router builds from the log.
//
// Sections of this file: INI form, Records, Table, State machine.
//
// The order of records in the log decides between concurrent changes. A record names the version that it was based on,
// and every reader rejects a record whose base is not the current version (optimistic concurrency control), so exactly
// one of two concurrent publishers succeeds. The state never returns to a lower offset.
#pragma once

#include "galenafold/ini.h"

#include <boost/leaf.hpp>

#include <deque>
#include <map>
#include <memory>

namespace galenafold
{

// INI form

/// All errors of one contract file; reported as a Boost.LEAF error.
struct ContractErrors {
    std::vector<IniError> errors;
};

/// Parses and validates one contract. @param file name for error messages @return the contract, or a ContractErrors
/// error
boost::leaf::result<Contract> parseContract(const std::string &file, const std::string &text);

// Records

constexpr int contractFormat = 1; // record format; records of a higher one come from a later release and are skipped

/// A new or amended contract, as stored in the log.
struct ContractRecord {
    CustomerId customer;
    std::int64_t base = 0; // version that it amends; 0: the customer has none
    std::string nonce;     // lets the publisher find its record in the log if the response to its append was lost
    std::string ini;
};

std::string encodeContractRecord(const ContractRecord &record);

/// One customer's contract with its source text.
struct ContractEntry {
    Contract contract;
    std::string ini;
    std::string nonce; // of the record that it came from
};

/// The contracts after all records below offset `upTo`.
struct ContractSnapshot {
    LogOffset upTo = 0;
    std::map<CustomerId, ContractEntry> entries;
};

std::string encodeContractSnapshot(const ContractSnapshot &snapshot);

// Table

/// Contracts in the form that the threads serving calls read. Immutable: a change replaces the whole table.
struct ContractTable {
    LogOffset upTo = 0;
    std::map<CustomerId, Contract> contracts;
    std::map<std::string, CustomerId> customersByKeyHash;
};

// State machine

/// Result of applying one record.
enum class ApplyResult : std::uint8_t {
    Accepted,
    StaleBase,    // the base is not the current version; no change
    Malformed,    // invalid JSON, kind or INI
    FutureFormat, // written by a later release
    Snapshot,     // a snapshot record; used only by readers that lack earlier records
    AlreadySeen,  // the state already includes it
    Deferred,     // earlier records are missing; kept until a snapshot replaces them
};

/// One record of the contract stream, as read from the log.
struct LogRecord {
    LogOffset offset = 0;
    std::string value;
};

/// Applies the contract stream. Deterministic: every reader of the log gets the same state.
class ContractStateMachine
{
public:
    /// Applies one record. @param firstRetained lowest offset that the log still holds
    ApplyResult apply(const LogRecord &record, LogOffset firstRetained);

    /// Installs a snapshot if it is newer than the state. @return true if the state advanced
    bool installSnapshot(const ContractSnapshot &snapshot);

    /// Reports the range that the log holds.
    /// @param firstRetained lowest offset; records below it are deleted
    /// @param next offset of the record that is read next, or the log's end
    void onLogRange(LogOffset firstRetained, LogOffset next);

    /// Decodes and installs a peer's snapshot. @return true if the state advanced
    bool installEncodedSnapshot(const std::string &value);

    bool isComplete() const { return m_isComplete; } ///< @return true if no earlier record is missing
    LogOffset upTo() const { return m_state.upTo; }  ///< @return offset of the next record to apply
    LogOffset nextReadOffset() const;                ///< @return offset to read from next
    const ContractSnapshot &state() const { return m_state; }
    std::shared_ptr<const ContractTable> table() const; ///< @return a new table of the current state

    /// @return the applied records from `offset` on; empty if some of them are no longer kept
    std::vector<LogRecord> recordsFrom(LogOffset offset) const;

private:
    ApplyResult applyNext(const LogRecord &record);
    void replayDeferred();

    ContractSnapshot m_state;
    bool m_isComplete = false;
    LogOffset m_nextReadOffset = 0;
    std::deque<LogRecord> m_deferred; // kept until a snapshot is installed
    std::deque<LogRecord> m_recent;   // last applied records, for peers that lag
};

} // namespace galenafold
