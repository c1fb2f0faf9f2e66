// Parses load plans and writes the contracts of their customers.
#include "daemons/loadplan.h"

#include "filters/authenticate.h"

#include <sstream>

namespace galenafold
{

constexpr int hourMillis = 3600000; // upper limit of the settings in milliseconds

void setPolicy(Settings &settings, Policy policy)
{
    settings.placement.policy = policy;
    settings.queue.policy = policy;
    settings.limits.policy = policy;
    settings.outlierDetection.policy = policy;
    settings.retry.policy = policy;
}

static IniSetter chronoMillisField(std::chrono::milliseconds &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        int millis = 0;
        if (const auto problem = integerField(millis, 0, hourMillis)(value)) {
            return problem;
        }
        target = std::chrono::milliseconds(millis);
        return std::nullopt;
    };
}

static IniSetter policySetter(Settings &settings)
{
    return [&settings](const std::string &value) -> std::optional<std::string> {
        Policy policy = Policy::Galenafold;
        if (const auto problem = policyField(policy)(value)) {
            return problem;
        }
        setPolicy(settings, policy);
        return std::nullopt;
    };
}

static IniSetter stringListField(std::vector<std::string> &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        std::vector<PoolId> items;
        if (const auto problem = poolListField(items)(value)) {
            return problem;
        }
        for (const PoolId &item : items) {
            target.push_back(item.text);
        }
        return std::nullopt;
    };
}

static void addFleetFields(LoadPlan &plan, std::vector<IniField> &fields)
{
    FleetPlan &fleet = plan.fleet;
    EngineSettings &engine = fleet.engine;
    Settings &settings = fleet.settings;
    fields.push_back({"load", "seconds", numberField(plan.seconds, 0.1, 36000)});
    fields.push_back({"load", "warmup", numberField(plan.warmup, 0, 3600)});
    fields.push_back({"load", "seed", integerField(plan.seed, 0, 1 << 30)});
    fields.push_back({"load", "routers", stringListField(plan.routers)});
    fields.push_back({"load", "keys", stringListField(plan.apiKeys)});
    fields.push_back({"fleet", "routers", integerField(fleet.daemons, 1, 200)});
    fields.push_back({"fleet", "engines", integerField(fleet.engines, 0, 200)});
    fields.push_back({"fleet", "services", integerField(fleet.services, 0, 200)});
    fields.push_back({"fleet", "service_ms", chronoMillisField(fleet.serviceTime)});
    fields.push_back({"fleet", "slots", integerField(engine.slots, 1, 1000)});
    fields.push_back({"fleet", "prefill", numberField(engine.prefillTokensPerSecond, 1, 1e9)});
    fields.push_back({"fleet", "decode", numberField(engine.decodeTokensPerSecond, 1, 1e9)});
    fields.push_back({"fleet", "cache_tokens", numberField(engine.cacheTokens, 0, 1e12)});
    fields.push_back({"fleet", "report_lag_ms", chronoMillisField(engine.reportLag)});
    fields.push_back({"fleet", "policy", policySetter(settings)});
    fields.push_back({"fleet", "placement", policyField(settings.placement.policy)});
    fields.push_back({"fleet", "queue", policyField(settings.queue.policy)});
    fields.push_back({"fleet", "limits", policyField(settings.limits.policy)});
    fields.push_back({"fleet", "slowness", policyField(settings.outlierDetection.policy)});
    fields.push_back({"fleet", "retry", policyField(settings.retry.policy)});
    fields.push_back({"fleet", "gossip_bytes", integerField(settings.gossip.bytesPerSecond, 100, 1000000)});
    fields.push_back({"fleet", "trace", textField(settings.tracePath)});
    fields.push_back({"fleet", "trace_fraction", numberField(settings.traceFraction, 0, 1)});
    fields.push_back({"fleet", "load_bound", numberField(settings.placement.loadBound, 1, 100)});
}

static void addCustomerFields(const std::string &section, LoadCustomer &customer, std::vector<IniField> &fields)
{
    fields.push_back({section, "weight", numberField(customer.weight, 0.01, 1000)});
    fields.push_back({section, "rate", numberField(customer.rate, 0, 1e6)});
    fields.push_back({section, "concurrency", numberField(customer.concurrency, 0, 1e6)});
    fields.push_back({section, "chats", integerField(customer.chats, 1, 10000000)});
    fields.push_back({section, "zipf", numberField(customer.zipfExponent, 0, 3)});
}

static void addClassFields(const std::string &section, LoadClass &loadClass, std::vector<IniField> &fields)
{
    fields.push_back({section, "customer", textField(loadClass.customer)});
    fields.push_back({section, "lane", textField(loadClass.lane)});
    fields.push_back({section, "service", textField(loadClass.service)});
    fields.push_back({section, "rate", numberField(loadClass.rate, 0, 1e6)});
    fields.push_back({section, "prompt_tokens", numberField(loadClass.promptTokens, 1, 1e6)});
    fields.push_back({section, "prompt_spread", numberField(loadClass.promptSpread, 0, 100)});
    fields.push_back({section, "output", integerField(loadClass.outputTokens, 1, 1000000)});
    fields.push_back({section, "stream", flagField(loadClass.isStream)});
    fields.push_back({section, "chat", flagField(loadClass.isChat)});
    fields.push_back({section, "hint", flagField(loadClass.sendsHint)});
    fields.push_back({section, "keyed", flagField(loadClass.hasIdempotencyKey)});
    fields.push_back({section, "patience_ms", millisField(loadClass.timeout, 1, hourMillis)});
    fields.push_back({section, "surge_factor", numberField(loadClass.surgeFactor, 0, 1000)});
    fields.push_back({section, "surge_at_ms", millisField(loadClass.surgeStart, 0, hourMillis)});
    fields.push_back({section, "surge_for_ms", millisField(loadClass.surgeDuration, 0, hourMillis)});
}

static void addEventFields(const std::string &section, LoadEvent &event, std::vector<IniField> &fields)
{
    fields.push_back({section, "kind", textField(event.kind), true});
    fields.push_back({section, "at_ms", millisField(event.at, 0, hourMillis)});
    fields.push_back({section, "for_ms", millisField(event.duration, 0, hourMillis)});
    fields.push_back({section, "index", integerField(event.index, 0, 1000)});
    fields.push_back({section, "factor", numberField(event.factor, 0.01, 1000)});
}

/// Adds a section that starts with `prefix` to `seen`. @return whether it was added
static bool addIfNew(std::vector<std::string> &seen, const std::string &section, const std::string &prefix)
{
    const bool hasPrefix = section.compare(0, prefix.size(), prefix) == 0;
    for (const std::string &known : seen) {
        if (known == section) {
            return false;
        }
    }
    if (hasPrefix) {
        seen.push_back(section);
    }
    return hasPrefix;
}

LoadPlan parseLoadPlan(const std::string &file, const std::string &text, std::vector<IniError> &errors)
{
    LoadPlan plan;
    const std::vector<IniEntry> entries = parseIni(file, text, errors);
    std::vector<std::string> seen;
    for (const IniEntry &entry : entries) {
        if (addIfNew(seen, entry.section, "customer.")) {
            plan.customers.emplace_back();
            plan.customers.back().name = entry.section.substr(9);
        } else if (addIfNew(seen, entry.section, "class.")) {
            plan.classes.emplace_back();
            plan.classes.back().name = entry.section.substr(6);
        } else if (addIfNew(seen, entry.section, "event.")) {
            plan.events.emplace_back();
        }
    }
    std::vector<IniField> fields;
    addFleetFields(plan, fields);
    std::size_t event = 0;
    for (LoadCustomer &customer : plan.customers) {
        addCustomerFields("customer." + customer.name, customer, fields);
    }
    for (LoadClass &loadClass : plan.classes) {
        addClassFields("class." + loadClass.name, loadClass, fields);
    }
    for (const std::string &section : seen) {
        if (section.compare(0, 6, "event.") == 0) {
            addEventFields(section, plan.events[event++], fields);
        }
    }
    applyIni(file, entries, fields, errors);
    if (plan.customers.empty() || plan.classes.empty()) {
        errors.push_back({file, "customer.NAME", "", "", "at least one customer and one class are required"});
    }
    return plan;
}

std::string apiKeyFor(const LoadCustomer &customer)
{
    return "key-of-" + customer.name;
}

std::string contractFor(const LoadPlan &plan, const LoadCustomer &customer)
{
    std::ostringstream out;
    out << "[contract]\ncustomer = " << customer.name << "\nweight = " << customer.weight
        << "\nrate = " << customer.rate << "\nconcurrency = " << customer.concurrency
        << "\nmodels = tea-large\nservices = ledger\n[key.main]\nsha256 = " << hashApiKey(apiKeyFor(customer)) << '\n';
    for (const LoadClass &loadClass : plan.classes) {
        const auto timeoutMillis = std::chrono::duration_cast<std::chrono::milliseconds>(loadClass.timeout).count();
        out << "[class." << loadClass.name << "]\ntask = " << loadClass.name << "\nlane = " << loadClass.lane
            << "\nexpected_output = " << loadClass.outputTokens << "\npatience_ms = " << timeoutMillis
            << "\nidempotent = " << (loadClass.service.empty() ? "yes" : "no") << '\n';
    }
    return out.str();
}

} // namespace galenafold
