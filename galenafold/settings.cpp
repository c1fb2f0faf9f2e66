// INI keys of `Settings` and `RouterSettings`, with their valid ranges.
#include "galenafold/settings.h"

#include <algorithm>

namespace galenafold
{

constexpr int maxPort = 65535;
constexpr int connectionsLimit = 20000;
constexpr int maxDescriptors = 10000000;
constexpr int maxStorePartitions = 1000;
constexpr int dayMillis = 86400000;
constexpr double daySeconds = 86400;

static std::vector<IniField> daemonFields(Settings &settings, double &bodyBytes)
{
    return {
        {"daemon", "name", textField(settings.name.text), true},
        {"daemon", "address", textField(settings.address), true},
        {"daemon", "data_centre", textField(settings.dataCentre.text), true},
        {"daemon", "http_port", integerField(settings.httpPort, 0, maxPort), true},
        {"daemon", "peer_port", integerField(settings.peerPort, 0, maxPort), true},
        {"daemon", "connections", integerField(settings.maxConnections, 1, connectionsLimit)},
        {"daemon", "max_body_bytes", numberField(bodyBytes, 1024, 1 << 30)},
        {"daemon", "descriptors", integerField(settings.maxDescriptors, 0, maxDescriptors)},
        {"daemon", "memory_mb", numberField(settings.memoryMegabytes, 0, 1e6)},
        {"platform", "log", textField(settings.logAddress), true},
        {"platform", "vm_list", textField(settings.vmListAddress), true},
        {"trace", "path", textField(settings.tracePath)},
        {"trace", "fraction", numberField(settings.traceFraction, 0, 1)},
    };
}

static std::vector<IniField> schedulingFields(Settings &settings)
{
    PlacementSettings &placement = settings.placement;
    QueueSettings &queue = settings.queue;
    LimitSettings &limits = settings.limits;
    return {
        {"placement", "policy", policyField(placement.policy)},
        {"placement", "load_bound", numberField(placement.loadBound, 1, 10)},
        {"placement", "spill_start", numberField(placement.spillStart, 0, 1)},
        {"placement", "candidates", integerField(placement.candidates, 1, 64)},
        {"placement", "recent_chats", integerField(placement.recentChats, 0, 10000000)},
        {"placement", "prefill_tokens_per_second", numberField(placement.prefillTokensPerSecond, 1, 1e9)},
        {"placement", "decode_tokens_per_second", numberField(placement.decodeTokensPerSecond, 1, 1e9)},
        {"placement", "report_lifetime_ms", millisField(placement.maxReportAge, 1, dayMillis)},
        {"queue", "policy", policyField(queue.policy)},
        {"queue", "capacity", integerField(queue.capacity, 1, 1000000)},
        {"queue", "reserved_slots", numberField(queue.reservedSlots, 0, 0.9)},
        {"queue", "backlog", numberField(queue.backlog, 0, 10)},
        {"queue", "quantum", numberField(queue.quantum, 1, 1e6)},
        {"limits", "policy", policyField(limits.policy)},
        {"limits", "floor", numberField(limits.floor, 0, 1)},
        {"limits", "burst_seconds", numberField(limits.burstSeconds, 0, 60)},
        {"limits", "silent_after_ms", millisField(limits.peerTimeout, 1, dayMillis)},
        {"limits", "rise_after_ms", millisField(limits.shareGrowthDelay, 0, dayMillis)},
    };
}

static std::vector<IniField> resilienceFields(Settings &settings)
{
    OutlierDetectionSettings &outlierDetection = settings.outlierDetection;
    RetrySettings &retry = settings.retry;
    GossipSettings &gossip = settings.gossip;
    return {
        {"slowness", "policy", policyField(outlierDetection.policy)},
        {"slowness", "eject_ratio", numberField(outlierDetection.ejectRatio, 1, 100)},
        {"slowness", "ejected_fraction", numberField(outlierDetection.maxEjectedFraction, 0, 1)},
        {"slowness", "probe_every_ms", millisField(outlierDetection.probeInterval, 1, dayMillis)},
        {"slowness", "hedge_budget", numberField(outlierDetection.hedgeBudget, 0, 1)},
        {"slowness", "hedge_percentile", numberField(outlierDetection.hedgePercentile, 0.5, 1)},
        {"retry", "policy", policyField(retry.policy)},
        {"retry", "budget", numberField(retry.budget, 0, 1)},
        {"retry", "burst", numberField(retry.burst, 0, 1000)},
        {"retry", "attempts", integerField(retry.maxAttempts, 1, 16)},
        {"gossip", "bytes_per_second", integerField(gossip.bytesPerSecond, 100, 1000000)},
        {"gossip", "round_ms", millisField(gossip.round, 10, dayMillis)},
        {"gossip", "fanout", integerField(gossip.fanout, 1, 100)},
        {"gossip", "bytes_per_message", integerField(gossip.bytesPerMessage, 200, 60000)},
    };
}

boost::leaf::result<Settings> parseSettings(const std::string &file, const std::string &text)
{
    Settings settings;
    double bodyBytes = static_cast<double>(settings.maxBodyBytes);
    std::vector<IniField> fields = daemonFields(settings, bodyBytes);
    for (const IniField &field : schedulingFields(settings)) {
        fields.push_back(field);
    }
    for (const IniField &field : resilienceFields(settings)) {
        fields.push_back(field);
    }
    std::vector<IniError> errors;
    const std::vector<IniEntry> entries = parseIni(file, text, errors);
    applyIni(file, entries, fields, errors);
    if (!errors.empty()) {
        return boost::leaf::new_error(SettingsErrors{errors});
    }
    settings.maxBodyBytes = static_cast<std::size_t>(bodyBytes);
    return settings;
}

static std::vector<IniField> routerFields(RouterSettings &settings)
{
    return {
        {"router", "name", textField(settings.name.text), true},
        {"router", "data_centre", textField(settings.dataCentre.text), true},
        {"router", "memory_mb", numberField(settings.memoryMegabytes, 0, 1e6)},
        {"router", "descriptors", integerField(settings.maxDescriptors, 0, maxDescriptors)},
        {"listen", "callers", textField(settings.callers), true},
        {"listen", "admin", textField(settings.admin), true},
        {"listen", "peers", textField(settings.peers)},
        {"listen", "link_mbps", numberField(settings.linkMegabits, 0, 1e6)},
        {"peers", "seeds", textListField(settings.seeds)},
        {"store", "address", textField(settings.store), true},
        {"router", "first_start", flagField(settings.isFirstStart)},
        {"store", "partitions", integerField(settings.storePartitions, 1, maxStorePartitions)},
        {"promises", "revoke_within_ms", millisField(settings.maxRevocationDelay, 0, dayMillis)},
        {"promises", "leave_within_ms", millisField(settings.maxDrainDelay, 1, dayMillis)},
        {"promises", "settle_within_ms", millisField(settings.maxRecoveryTime, 1, dayMillis)},
        {"promises", "drain_within_s", secondsField(settings.drainTimeout, 1, daySeconds)},
        {"promises", "rejoin_within_ms", millisField(settings.reregistrationTimeout, 0, dayMillis)},
        {"promises", "start_wait_ms", millisField(settings.startupWait, 0, dayMillis)},
        {"retry", "ratio", numberField(settings.retryRatio, 0, 10)},
        {"retry", "floor", numberField(settings.minRetries, 0, 1e6)},
        {"retry", "window_s", secondsField(settings.retryWindow, 0.1, daySeconds)},
        {"placement", "load_bound", numberField(settings.loadBound, 1, 10)},
    };
}

/// Takes the section [regions] out of the entries: its keys are data centres, its values their regions.
static std::map<DataCentreId, RegionId> takeRegions(const std::string &file, std::vector<IniEntry> &entries,
                                                    std::vector<IniError> &errors)
{
    std::map<DataCentreId, RegionId> regions;
    std::vector<IniEntry> others;
    for (IniEntry &entry : entries) {
        if (entry.section != "regions") {
            others.push_back(std::move(entry));
            continue;
        }
        if (entry.value.empty()) {
            errors.push_back({file, entry.section, entry.key, "", "the name of a region is expected"});
        }
        regions[{entry.key}] = {entry.value};
    }
    entries = std::move(others);
    return regions;
}

boost::leaf::result<RouterSettings> parseRouterSettings(const std::string &file, const std::string &text)
{
    RouterSettings settings;
    std::vector<IniError> errors;
    std::vector<IniEntry> entries = parseIni(file, text, errors);
    settings.regions = takeRegions(file, entries, errors);
    applyIni(file, entries, routerFields(settings), errors);
    if (!errors.empty()) {
        return boost::leaf::new_error(SettingsErrors{errors});
    }
    return settings;
}

bool hasStoreSection(const std::string &text)
{
    std::vector<IniError> errors; // ignored: the functions that parse the settings report them
    const std::vector<IniEntry> entries = parseIni("", text, errors);
    return std::any_of(entries.begin(), entries.end(), [](const IniEntry &entry) { return entry.section == "store"; });
}

} // namespace galenafold
