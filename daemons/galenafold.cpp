// galenafold: the operator's command line tool. Checks and publishes contracts, which are INI files kept in version
// control, and prints the status of daemons and the path of a request.
//
// Sections of this file: Arguments, Log, Commands.
#include "clients/http.h"
#include "clients/log.h"
#include "control/contracts.h"
#include "daemons/diagnostics.h"
#include "filters/authenticate.h"

#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace galenafold
{

using Json = nlohmann::json;

constexpr int maxAppendAttempts = 5;

// Arguments

struct Arguments {
    std::string command;
    std::string operand;
    std::string log;
    std::string vmList;
    std::string admin;      // admin addresses, separated by commas
    std::string logs;       // file with the daemons' output; "-" is standard input
    bool isJson = false;    // one object per line
    std::int64_t base = -1; // version that an amendment replaces; -1: not given
};

static void printHelp()
{
    std::cout
        << "usage: galenafold COMMAND [OPTIONS]\n"
           "\n"
           "  lint FILE                        check a contract\n"
           "  publish FILE --log HOST:PORT     put a new customer's contract in force\n"
           "  amend FILE --base VERSION --log HOST:PORT\n"
           "                                   replace a contract; VERSION is the one that FILE was edited from\n"
           "  show CUSTOMER --log HOST:PORT    print the contract in force and its version\n"
           "  status --vms HOST:PORT           print what every entry VM has in force\n"
           "  status --admin IP:PORT[,...]     print the status of routers on the platform, from their admin "
           "addresses\n"
           "  explain REQUEST --vms HOST:PORT  print one request's path, from the trace that a VM kept\n"
           "  explain REQUEST --logs FILE      print one request's timeline from daemons' output; - is standard input\n"
           "  hash-key                         read an API key from standard input, print its SHA-256\n"
           "\n"
           "status --admin and explain --logs take --json: one object per line.\n"
           "Exit status: 0 success, 1 failed or not ready, 2 invalid usage or file, 3 another amendment came first.\n";
}

static bool parseArguments(int argc, char **argv, Arguments &arguments)
{
    static const option options[] = {
        {"log", required_argument, nullptr, 'l'},   {"logs", required_argument, nullptr, 's'},
        {"json", no_argument, nullptr, 'j'},        {"vms", required_argument, nullptr, 'm'},
        {"admin", required_argument, nullptr, 'a'}, {"base", required_argument, nullptr, 'b'},
        {"help", no_argument, nullptr, 'h'},        {nullptr, 0, nullptr, 0}};
    int optionChar = 0;
    while ((optionChar = getopt_long(argc, argv, "l:s:jm:a:b:h", options, nullptr)) != -1) {
        switch (optionChar) {
        case 'l':
            arguments.log = optarg;
            break;
        case 's':
            arguments.logs = optarg;
            break;
        case 'j':
            arguments.isJson = true;
            break;
        case 'm':
            arguments.vmList = optarg;
            break;
        case 'a':
            arguments.admin = optarg;
            break;
        case 'b':
            arguments.base = std::atoll(optarg);
            break;
        default:
            return false;
        }
    }
    if (optind < argc) {
        arguments.command = argv[optind++];
    }
    if (optind < argc) {
        arguments.operand = argv[optind++];
    }
    return optind == argc && !arguments.command.empty();
}

// Log

/// Replays the contract log into a state machine. @return false if the log does not answer.
static bool replayContracts(LogClient &log, ContractStateMachine &contracts)
{
    LogOffset nextOffset = 0;
    while (true) {
        const ReadResult result = log.read("contracts", nextOffset, std::chrono::milliseconds(0));
        if (!result.isOk) {
            return false;
        }
        contracts.onLogRange(result.firstRetained, result.end);
        for (const StoredRecord &record : result.records) {
            contracts.apply({record.offset, record.value}, result.firstRetained);
            nextOffset = record.offset + 1;
        }
        if (result.records.empty()) {
            return true;
        }
    }
}

/// Replays the contract log up to the record with a nonce. @param applied result of applying that record
/// @param version of the customer's contract after it @return false if the record is not in the log
static bool findOwnRecord(LogClient &log, const std::string &nonce, ApplyResult &applied, std::int64_t &version,
                          const CustomerId &customer)
{
    ContractStateMachine contracts;
    const ReadResult firstRead = log.read("contracts", 0, std::chrono::milliseconds(0));
    LogOffset nextOffset = firstRead.firstRetained;
    while (true) {
        const ReadResult result = log.read("contracts", nextOffset, std::chrono::milliseconds(0));
        contracts.onLogRange(result.firstRetained, result.end);
        for (const StoredRecord &record : result.records) {
            nextOffset = record.offset + 1;
            applied = contracts.apply({record.offset, record.value}, result.firstRetained);
            const auto entry = contracts.state().entries.find(customer);
            version = entry == contracts.state().entries.end() ? 0 : entry->second.contract.version;
            if (record.value.find('"' + nonce + '"') != std::string::npos && applied != ApplyResult::Snapshot) {
                return true;
            }
        }
        if (result.records.empty()) {
            return false;
        }
    }
}

static std::string newNonce()
{
    std::random_device device;
    return "n" + std::to_string(device()) + std::to_string(device());
}

// Commands

static std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot open the file for reading\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Parses a contract and prints every error. @return no value if there are errors
static std::optional<Contract> lint(const std::string &file, const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Contract>> {
            BOOST_LEAF_AUTO(contract, parseContract(file, text));
            return std::optional<Contract>(contract);
        },
        [](const ContractErrors &errors) -> std::optional<Contract> {
            for (const IniError &error : errors.errors) {
                std::cerr << error.message() << '\n';
            }
            return std::nullopt;
        },
        []() -> std::optional<Contract> { return std::nullopt; });
}

/// Prints whether the contract of a record came into force. @return exit status, or -1 if the record is not in the log
static int reportOutcome(LogClient &log, const ContractRecord &record)
{
    ApplyResult applied = ApplyResult::Malformed;
    std::int64_t version = 0;
    if (!findOwnRecord(log, record.nonce, applied, version, record.customer)) {
        return -1;
    }
    if (applied == ApplyResult::Accepted) {
        std::cout << record.customer.text << ": version " << version << " is in force\n";
        return exitOk;
    }
    std::cerr << record.customer.text << ": expected version " << record.base << ", but version " << version
              << " is in force; the contract was not changed\n";
    return exitConflict;
}

/// Publishes a contract, or amends it. @param base version that it replaces, 0 for a new customer
static int append(const Arguments &arguments, std::int64_t base)
{
    const auto text = readFile(arguments.operand);
    const auto contract = text ? lint(arguments.operand, *text) : std::nullopt;
    if (!contract) {
        return exitUsage;
    }
    const std::unique_ptr<LogClient> log = makeHttpLogClient(arguments.log);
    ContractRecord record{contract->customer, base, newNonce(), *text};
    for (int i = 0; i < maxAppendAttempts; ++i) {
        const AppendResult result = log->append("contracts", encodeContractRecord(record));
        if (result.state == AppendState::NotAppended) {
            std::cerr << arguments.log
                      << ": cannot append to the contract log, which is unavailable; the command may be repeated\n";
            return exitFailed;
        }
        // If the answer to the append was lost, the log shows whether the record was appended.
        const int status = reportOutcome(*log, record);
        if (status >= 0) {
            return status;
        }
    }
    std::cerr << arguments.log << ": the contract log did not confirm the record; check with `show "
              << record.customer.text << "`\n";
    return exitFailed;
}

static int show(const Arguments &arguments)
{
    const std::unique_ptr<LogClient> log = makeHttpLogClient(arguments.log);
    ContractStateMachine contracts;
    if (!replayContracts(*log, contracts)) {
        std::cerr << arguments.log << ": the contract log does not answer\n";
        return exitFailed;
    }
    const auto entry = contracts.state().entries.find({arguments.operand});
    if (entry == contracts.state().entries.end()) {
        std::cerr << arguments.operand << ": the log holds no contract for this customer\n";
        return exitFailed;
    }
    std::cout << "; version " << entry->second.contract.version << '\n' << entry->second.ini;
    return exitOk;
}

static int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << hashApiKey(key) << '\n';
    return exitOk;
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (!parseArguments(argc, argv, arguments)) {
        printHelp();
        return exitUsage;
    }
    const std::string &command = arguments.command;
    const bool hasOperand = !arguments.operand.empty();
    if (command == "lint" && hasOperand) {
        const auto text = readFile(arguments.operand);
        const bool isGood = text && lint(arguments.operand, *text);
        std::cout << (isGood ? arguments.operand + ": ok\n" : std::string());
        return isGood ? exitOk : exitUsage;
    }
    if (command == "publish" && hasOperand && !arguments.log.empty()) {
        return append(arguments, 0);
    }
    if (command == "amend" && hasOperand && !arguments.log.empty() && arguments.base >= 0) {
        return append(arguments, arguments.base);
    }
    if (command == "show" && hasOperand && !arguments.log.empty()) {
        return show(arguments);
    }
    if (command == "status" && !arguments.vmList.empty()) {
        return printEntryVmStatus(arguments.vmList);
    }
    if (command == "status" && !arguments.admin.empty()) {
        return printRouterStatus(arguments.admin, arguments.isJson);
    }
    if (command == "explain" && hasOperand && !arguments.vmList.empty()) {
        return explainFromTraces(arguments.operand, arguments.vmList);
    }
    if (command == "explain" && hasOperand && !arguments.logs.empty()) {
        return explainFromLogs(arguments.operand, arguments.logs, arguments.isJson);
    }
    if (command == "hash-key") {
        return hashKey();
    }
    printHelp();
    return exitUsage;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return galenafold::run(argc, argv);
}
