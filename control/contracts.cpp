// Parses contracts, encodes and decodes their records, and applies the records to the replicated state.
#include "control/contracts.h"

#include "control/claims.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenafold
{

using Json = nlohmann::json;

constexpr std::size_t maxRecentRecords = 512; // last applied records that are kept for peers that lag
constexpr int maxClassTimeoutMs = 3600000;    // most that a task class may set

// INI form

/// A contract being parsed, with the values that are converted once all fields have been read.
struct ContractDraft {
    Contract contract;
    double keyWindowSeconds = 600;
    std::map<std::string, std::string> hashes; // by section
    std::map<std::string, TaskClass> classes;  // by section
    std::vector<std::string> classOrder;
};

static bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

static IniSetter keyHashField(std::string &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        const bool isHex = value.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (value.size() != 64 || !isHex) {
            return "the SHA-256 of the key, 64 lower-case hex digits, is expected";
        }
        target = value;
        return std::nullopt;
    };
}

static IniSetter laneField(Lane &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        if (value != "short" && value != "long") {
            return "short or long is expected";
        }
        target = value == "long" ? Lane::Long : Lane::Short;
        return std::nullopt;
    };
}

static IniSetter timeoutField(std::chrono::milliseconds &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        int millis = 0;
        if (const auto error = integerField(millis, 1, maxClassTimeoutMs)(value)) {
            return "milliseconds: " + *error;
        }
        target = std::chrono::milliseconds(millis);
        return std::nullopt;
    };
}

static void addContractFields(ContractDraft &draft, std::vector<IniField> &fields)
{
    Contract &contract = draft.contract;
    fields.push_back({"contract", "customer", textField(contract.customer.text), true});
    fields.push_back({"contract", "weight", numberField(contract.weight, 0.01, 1000)});
    fields.push_back({"contract", "priority", integerField(contract.priority, 0, 9)});
    fields.push_back({"contract", "rate", numberField(contract.rate, 0, 1e6), true});
    fields.push_back({"contract", "concurrency", numberField(contract.concurrency, 0, 1e6), true});
    fields.push_back({"contract", "key_window_seconds", numberField(draft.keyWindowSeconds, 1, maxKeyWindow.count())});
    fields.push_back({"contract", "models", poolListField(contract.models)});
    fields.push_back({"contract", "services", poolListField(contract.services)});
}

static void addClassFields(const std::string &section, TaskClass &entry, std::vector<IniField> &fields)
{
    fields.push_back({section, "task", textField(entry.task)});
    fields.push_back({section, "operation", textField(entry.operation)});
    fields.push_back({section, "prompt_at_least", numberField(entry.minPromptTokens, 0, 1e7)});
    fields.push_back({section, "lane", laneField(entry.lane), true});
    fields.push_back({section, "expected_output", numberField(entry.expectedOutput, 0, 1e6)});
    fields.push_back({section, "patience_ms", timeoutField(entry.timeout)});
    fields.push_back({section, "idempotent", flagField(entry.isIdempotent)});
}

static void addSectionFields(const std::vector<IniEntry> &entries, ContractDraft &draft, std::vector<IniField> &fields)
{
    for (const IniEntry &entry : entries) {
        const std::string &section = entry.section;
        if (startsWith(section, "key.") && draft.hashes.count(section) == 0) {
            fields.push_back({section, "sha256", keyHashField(draft.hashes[section]), true});
        }
        if (startsWith(section, "class.") && draft.classes.count(section) == 0) {
            TaskClass &task = draft.classes[section];
            task.name = section.substr(6);
            draft.classOrder.push_back(section);
            addClassFields(section, task, fields);
        }
    }
}

static Contract buildContract(ContractDraft &draft)
{
    draft.contract.keyWindow = std::chrono::seconds(static_cast<std::int64_t>(draft.keyWindowSeconds));
    for (const auto &[section, hash] : draft.hashes) {
        draft.contract.apiKeyHashes.push_back(hash);
    }
    for (const std::string &section : draft.classOrder) {
        draft.contract.classes.push_back(draft.classes[section]);
    }
    return draft.contract;
}

boost::leaf::result<Contract> parseContract(const std::string &file, const std::string &text)
{
    ContractDraft draft;
    std::vector<IniError> errors;
    std::vector<IniField> fields;
    const std::vector<IniEntry> entries = parseIni(file, text, errors);
    addContractFields(draft, fields);
    addSectionFields(entries, draft, fields);
    applyIni(file, entries, fields, errors);
    if (draft.hashes.empty()) {
        errors.push_back({file, "key.NAME", "sha256", "", "at least one API key is expected"});
    }
    if (!errors.empty()) {
        return boost::leaf::new_error(ContractErrors{errors});
    }
    return buildContract(draft);
}

/// Parses the INI text of a record. @return nothing if it has errors or names another customer
static std::optional<Contract> parseStoredContract(const CustomerId &customer, const std::string &ini)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Contract>> {
            BOOST_LEAF_AUTO(contract, parseContract(customer.text, ini));
            return contract.customer == customer ? std::optional<Contract>(contract) : std::nullopt;
        },
        []() -> std::optional<Contract> { return std::nullopt; });
}

// Records

std::string encodeContractRecord(const ContractRecord &record)
{
    return Json{{"format", contractFormat}, {"kind", "contract"},    {"customer", record.customer.text},
                {"base", record.base},      {"nonce", record.nonce}, {"ini", record.ini}}
        .dump();
}

std::string encodeContractSnapshot(const ContractSnapshot &snapshot)
{
    Json contracts = Json::array();
    for (const auto &[customer, entry] : snapshot.entries) {
        contracts.push_back({{"customer", customer.text},
                             {"version", entry.contract.version},
                             {"nonce", entry.nonce},
                             {"ini", entry.ini}});
    }
    return Json{{"format", contractFormat}, {"kind", "snapshot"}, {"up_to", snapshot.upTo}, {"contracts", contracts}}
        .dump();
}

static std::optional<ContractSnapshot> decodeSnapshot(const Json &json)
{
    ContractSnapshot snapshot;
    snapshot.upTo = json.value("up_to", LogOffset(-1));
    if (snapshot.upTo < 0 || !json.contains("contracts")) {
        return std::nullopt;
    }
    for (const Json &item : json["contracts"]) {
        const CustomerId customer{item.value("customer", std::string())};
        ContractEntry entry;
        entry.ini = item.value("ini", std::string());
        entry.nonce = item.value("nonce", std::string());
        const auto contract = parseStoredContract(customer, entry.ini);
        if (!contract) {
            return std::nullopt;
        }
        entry.contract = *contract;
        entry.contract.version = item.value("version", std::int64_t(0));
        snapshot.entries[customer] = entry;
    }
    return snapshot;
}

/// Parses JSON without exceptions. @return null if it is not an object
static Json parseObject(const std::string &value)
{
    Json json = Json::parse(value, nullptr, false);
    return json.is_object() ? json : Json();
}

/// Runs a decoder. @return its result, or a default value if a JSON field is missing or has the wrong type
template<typename Decode>
static auto decodeOrDefault(Decode decode) -> decltype(decode())
{
    try {
        return decode();
    } catch (const Json::exception &) {
        return {};
    }
}

// State machine

LogOffset ContractStateMachine::nextReadOffset() const
{
    return std::max(m_nextReadOffset, m_isComplete ? m_state.upTo : 0);
}

ApplyResult ContractStateMachine::apply(const LogRecord &record, LogOffset firstRetained)
{
    onLogRange(firstRetained, record.offset);
    m_nextReadOffset = std::max(m_nextReadOffset, record.offset + 1);
    if (m_isComplete && record.offset < m_state.upTo) {
        return ApplyResult::AlreadySeen;
    }
    const Json json = parseObject(record.value);
    const int format = decodeOrDefault([&] { return json.is_null() ? 0 : json.value("format", 0); });
    const std::string kind = decodeOrDefault([&] { return json.is_null() ? std::string() : json.value("kind", ""); });
    if (format == contractFormat && kind == "snapshot") {
        const auto snapshot = decodeOrDefault([&] { return decodeSnapshot(json); });
        if (snapshot && !m_isComplete && snapshot->upTo <= record.offset) {
            installSnapshot(*snapshot);
        }
    }
    if (!m_isComplete) {
        m_deferred.push_back(record);
        return ApplyResult::Deferred;
    }
    return record.offset < m_state.upTo ? ApplyResult::AlreadySeen : applyNext(record);
}

static ApplyResult applyContract(const Json &json, ContractSnapshot &state)
{
    ContractEntry entry;
    const CustomerId customer{json.value("customer", std::string())};
    entry.ini = json.value("ini", std::string());
    entry.nonce = json.value("nonce", std::string());
    const auto found = state.entries.find(customer);
    const std::int64_t current = found == state.entries.end() ? 0 : found->second.contract.version;
    if (json.value("base", std::int64_t(-1)) != current) {
        return ApplyResult::StaleBase;
    }
    const auto contract = parseStoredContract(customer, entry.ini);
    if (!contract) {
        return ApplyResult::Malformed;
    }
    entry.contract = *contract;
    entry.contract.version = current + 1;
    state.entries[customer] = entry;
    return ApplyResult::Accepted;
}

ApplyResult ContractStateMachine::applyNext(const LogRecord &record)
{
    m_state.upTo = record.offset + 1;
    m_recent.push_back(record);
    if (m_recent.size() > maxRecentRecords) {
        m_recent.pop_front();
    }
    const Json json = parseObject(record.value);
    try {
        if (json.is_null()) {
            return ApplyResult::Malformed;
        }
        if (json.value("format", 0) > contractFormat) {
            return ApplyResult::FutureFormat;
        }
        const std::string kind = json.value("kind", std::string());
        if (kind == "snapshot") {
            return ApplyResult::Snapshot;
        }
        return kind == "contract" ? applyContract(json, m_state) : ApplyResult::Malformed;
    } catch (const Json::exception &) {
        return ApplyResult::Malformed;
    }
}

bool ContractStateMachine::installSnapshot(const ContractSnapshot &snapshot)
{
    if (snapshot.upTo < m_state.upTo || (m_isComplete && snapshot.upTo == m_state.upTo)) {
        return false;
    }
    m_state = snapshot;
    m_isComplete = true;
    m_recent.clear();
    replayDeferred();
    return true;
}

bool ContractStateMachine::installEncodedSnapshot(const std::string &value)
{
    const Json json = parseObject(value);
    if (json.is_null()) {
        return false;
    }
    const auto snapshot = decodeOrDefault([&] { return decodeSnapshot(json); });
    return snapshot && installSnapshot(*snapshot);
}

void ContractStateMachine::replayDeferred()
{
    std::deque<LogRecord> deferred;
    deferred.swap(m_deferred);
    for (const LogRecord &record : deferred) {
        if (record.offset >= m_state.upTo) {
            applyNext(record);
        }
    }
}

void ContractStateMachine::onLogRange(LogOffset firstRetained, LogOffset next)
{
    if (m_isComplete && firstRetained > m_state.upTo) {
        m_isComplete = false; // retention deleted records not read yet: keep the old state until a snapshot arrives
    }
    if (!m_isComplete && firstRetained == 0 && m_state.upTo == 0 && m_deferred.empty()) {
        m_isComplete = true;
    }
    m_nextReadOffset = std::max(m_nextReadOffset, std::min(firstRetained, next));
}

std::shared_ptr<const ContractTable> ContractStateMachine::table() const
{
    auto table = std::make_shared<ContractTable>();
    table->upTo = m_state.upTo;
    for (const auto &[customer, entry] : m_state.entries) {
        table->contracts[customer] = entry.contract;
        for (const std::string &hash : entry.contract.apiKeyHashes) {
            table->customersByKeyHash.emplace(hash, customer);
        }
    }
    return table;
}

std::vector<LogRecord> ContractStateMachine::recordsFrom(LogOffset offset) const
{
    if (m_recent.empty() || m_recent.front().offset > offset) {
        return {};
    }
    std::vector<LogRecord> records;
    for (const LogRecord &record : m_recent) {
        if (record.offset >= offset) {
            records.push_back(record);
        }
    }
    return records;
}

} // namespace galenafold
