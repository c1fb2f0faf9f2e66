// galenafold: the operator's tool. Contracts are INI files in version control; this puts them in force.
//
// Sections of this file: Arguments, Log, Commands.
#include "clients/http.h"
#include "clients/log.h"
#include "control/contracts.h"
#include "daemons/inquire.h"
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

constexpr int appendTries = 5;

// Arguments

struct Arguments {
    std::string command;
    std::string operand;
    std::string log;
    std::string vmList;
    std::string admin;   // admin addresses, with commas between
    std::string logs;    // file of daemons' output; "-" is standard input
    bool isJson = false; // one object a line
    std::int64_t base = -1;
};

static void printHelp()
{
    std::cout
        << "usage: galenafold COMMAND [OPTIONS]\n"
           "\n"
           "  lint FILE                        check a contract\n"
           "  publish FILE --log HOST:PORT     put a new customer's contract in force\n"
           "  amend FILE --base VERSION --log HOST:PORT\n"
           "                                   replace a contract; VERSION is the one it was made from\n"
           "  show CUSTOMER --log HOST:PORT    print the contract in force and its version\n"
           "  status --vms HOST:PORT           print what every entry VM has in force\n"
           "  status --admin IP:PORT[,...]     print how routers on the platform are, from their admin addresses\n"
           "  explain REQUEST --vms HOST:PORT  print one request's path, from the trace that a VM kept\n"
           "  explain REQUEST --logs FILE      tell one request's story from daemons' output; - is standard input\n"
           "  hash-key                         read an API key from standard input, print its hash\n"
           "\n"
           "status --admin and explain --logs take --json: one object a line.\n"
           "Exit status: 0 done, 1 failed or not ready, 2 usage or faulty contract, 3 another amendment came first.\n";
}

static bool parseArguments(int argc, char **argv, Arguments &arguments)
{
    static const option options[] = {
        {"log", required_argument, nullptr, 'l'},   {"logs", required_argument, nullptr, 's'},
        {"json", no_argument, nullptr, 'j'},        {"vms", required_argument, nullptr, 'm'},
        {"admin", required_argument, nullptr, 'a'}, {"base", required_argument, nullptr, 'b'},
        {"help", no_argument, nullptr, 'h'},        {nullptr, 0, nullptr, 0}};
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "l:s:jm:a:b:h", options, nullptr)) != -1) {
        switch (letter) {
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

/// Folds the whole contract stream. @return false when the log does not answer.
static bool readBook(LogClient &log, ContractStateMachine &book)
{
    LogOffset next = 0;
    while (true) {
        const ReadResult result = log.read("contracts", next, std::chrono::milliseconds(0));
        if (!result.isGood) {
            return false;
        }
        book.onLogRange(result.firstRetained, result.end);
        for (const StoredRecord &record : result.records) {
            book.apply({record.offset, record.value}, result.firstRetained);
            next = record.offset + 1;
        }
        if (result.records.empty()) {
            return true;
        }
    }
}

/// Folds up to the record with a nonce. @return false when it is not in the log.
static bool findOwn(LogClient &log, const std::string &nonce, ApplyResult &applied, std::int64_t &version,
                    const CustomerId &customer)
{
    ContractStateMachine book;
    const ReadResult all = log.read("contracts", 0, std::chrono::milliseconds(0));
    LogOffset next = all.firstRetained;
    while (true) {
        const ReadResult result = log.read("contracts", next, std::chrono::milliseconds(0));
        book.onLogRange(result.firstRetained, result.end);
        for (const StoredRecord &record : result.records) {
            next = record.offset + 1;
            applied = book.apply({record.offset, record.value}, result.firstRetained);
            const auto entry = book.state().entries.find(customer);
            version = entry == book.state().entries.end() ? 0 : entry->second.contract.version;
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
        std::cerr << file << ": cannot be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

static std::optional<Contract> lint(const std::string &file, const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Contract>> {
            BOOST_LEAF_AUTO(contract, parseContract(file, text));
            return std::optional<Contract>(contract);
        },
        [](const ContractErrors &errors) -> std::optional<Contract> {
            for (const IniError &fault : errors.errors) {
                std::cerr << fault.message() << '\n';
            }
            return std::nullopt;
        },
        []() -> std::optional<Contract> { return std::nullopt; });
}

static int reportOwn(LogClient &log, const ContractRecord &record)
{
    ApplyResult applied = ApplyResult::Malformed;
    std::int64_t version = 0;
    if (!findOwn(log, record.nonce, applied, version, record.customer)) {
        return -1;
    }
    if (applied == ApplyResult::Accepted) {
        std::cout << record.customer.text << ": version " << version << " is in force\n";
        return statusOk;
    }
    std::cerr << record.customer.text << ": made from version " << record.base << ", but version " << version
              << " is in force; nothing was changed\n";
    return statusLostRace;
}

static int append(const Arguments &arguments, std::int64_t base)
{
    const auto text = readFile(arguments.operand);
    const auto contract = text ? lint(arguments.operand, *text) : std::nullopt;
    if (!contract) {
        return statusUsage;
    }
    const std::unique_ptr<LogClient> log = makeHttpLogClient(arguments.log);
    ContractRecord record{contract->customer, base, newNonce(), *text};
    for (int i = 0; i < appendTries; ++i) {
        const AppendResult result = log->append("contracts", encodeContractRecord(record));
        if (result.state == AppendState::NotAppended) {
            std::cerr << arguments.log << ": the log does not take records\n";
            return statusFailed;
        }
        const int status = reportOwn(*log, record); // a lost answer is settled by reading back
        if (status >= 0) {
            return status;
        }
    }
    std::cerr << arguments.log << ": the record was not confirmed; run `show " << record.customer.text << "`\n";
    return statusFailed;
}

static int show(const Arguments &arguments)
{
    const std::unique_ptr<LogClient> log = makeHttpLogClient(arguments.log);
    ContractStateMachine book;
    if (!readBook(*log, book)) {
        std::cerr << arguments.log << ": the log does not answer\n";
        return statusFailed;
    }
    const auto entry = book.state().entries.find({arguments.operand});
    if (entry == book.state().entries.end()) {
        std::cerr << arguments.operand << ": no contract\n";
        return statusFailed;
    }
    std::cout << "; version " << entry->second.contract.version << '\n' << entry->second.ini;
    return statusOk;
}

static int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << hashApiKey(key) << '\n';
    return statusOk;
}

static int run(int argc, char **argv)
{
    Arguments arguments;
    if (!parseArguments(argc, argv, arguments)) {
        printHelp();
        return statusUsage;
    }
    const std::string &command = arguments.command;
    const bool hasOperand = !arguments.operand.empty();
    if (command == "lint" && hasOperand) {
        const auto text = readFile(arguments.operand);
        const bool isGood = text && lint(arguments.operand, *text);
        std::cout << (isGood ? arguments.operand + ": ok\n" : std::string());
        return isGood ? statusOk : statusUsage;
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
        return statusOfEntryVms(arguments.vmList);
    }
    if (command == "status" && !arguments.admin.empty()) {
        return statusOfRouters(arguments.admin, arguments.isJson);
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
    return statusUsage;
}

} // namespace galenafold

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return galenafold::run(argc, argv);
}
