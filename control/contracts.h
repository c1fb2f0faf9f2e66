// Contracts: their INI form, the records on the log that carry them, and the state that every router folds from them.
//
// Sections of this file: INI form, Records, Table, Book.
//
// Record order in the log decides. A record names the version that it was made from; every reader rejects a stale base
// in the same way, so of two racing operators exactly one wins. State never goes to a lower offset.
#pragma once

#include "galenafold/ini.h"

#include <boost/leaf.hpp>

#include <deque>
#include <map>
#include <memory>

namespace galenafold
{

// INI form

/// All faults of one contract file; travels as a Boost.LEAF error.
struct ContractFaults {
    std::vector<IniFault> faults;
};

/// Reads and checks one contract. @param file named in faults. @return the contract, or a ContractFaults error.
boost::leaf::result<Contract> parseContract(const std::string &file, const std::string &text);

// Records

constexpr int contractFormat = 1; // records of a higher format are from the future and are skipped

/// A publication or amendment, as it stands on the log.
struct ContractRecord {
    CustomerId customer;
    std::int64_t base = 0; // version that it was made from; 0: the customer has none
    std::string nonce;     // lets the publisher find its own record after a lost answer
    std::string ini;
};

std::string encodeContractRecord(const ContractRecord &record);

/// One customer's contract with the text that it came from.
struct ContractEntry {
    Contract contract;
    std::string ini;
    std::string nonce; // of the record that brought it
};

/// Everything up to, and not including, offset `upTo`.
struct ContractSnapshot {
    LogOffset upTo = 0;
    std::map<CustomerId, ContractEntry> entries;
};

std::string encodeContractSnapshot(const ContractSnapshot &snapshot);

// Table

/// What traffic threads read: immutable, replaced whole.
struct ContractTable {
    LogOffset upTo = 0;
    std::map<CustomerId, Contract> contracts;
    std::map<std::string, CustomerId> customersByKeyHash;
};

// Book

enum class ApplyResult : std::uint8_t {
    Accepted,
    StaleBase,    // the base is not the current version; the record changes nothing
    Malformed,    // not JSON, or its INI has faults
    FutureFormat, // written by a later release
    Snapshot,     // a snapshot record; taken where it helps
    AlreadySeen,  // offset below the state's
    Deferred,     // state is not whole yet; kept until a snapshot explains what came before
};

/// A record as read from the log.
struct LogRecord {
    LogOffset offset = 0;
    std::string value;
};

/// Folds the contract stream. Identical on every reader.
class ContractStateMachine
{
public:
    /// Takes one record. @param firstRetained lowest offset that the log still holds.
    ApplyResult apply(const LogRecord &record, LogOffset firstRetained);

    /// Takes a peer's snapshot if it is further on. @return true when the state advanced.
    bool installSnapshot(const ContractSnapshot &snapshot);

    /// Says that the log holds nothing below `firstRetained` and `next` is its end.
    void onLogRange(LogOffset firstRetained, LogOffset next);

    /// Decodes and adopts a snapshot from a peer. @return true when the state advanced.
    bool installEncodedSnapshot(const std::string &value);

    bool isComplete() const { return m_isWhole; }   ///< @return true once nothing earlier is missing
    LogOffset upTo() const { return m_state.upTo; } ///< @return offset of the next record to fold
    LogOffset nextReadOffset() const;               ///< @return offset to read from the log next
    const ContractSnapshot &state() const { return m_state; }
    std::shared_ptr<const ContractTable> table() const;         ///< @return a fresh immutable table
    std::vector<LogRecord> recordsFrom(LogOffset offset) const; ///< @return recent records, empty if too old

private:
    ApplyResult fold(const LogRecord &record);
    void replayDeferred();

    ContractSnapshot m_state;
    bool m_isWhole = false;
    LogOffset m_readTo = 0;
    std::deque<LogRecord> m_deferred;
    std::deque<LogRecord> m_recent;
};

} // namespace galenafold
