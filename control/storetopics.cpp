// How the topics of the platform's store are followed, as parts of the promised delays.
#include "control/storetopics.h"

#include <algorithm>

namespace galenafold
{

constexpr double revocationWaitFactor = 0.4;   // a proof is as old as its call; two calls must fit into the delay
constexpr double recoveryWaitFactor = 0.55;    // a silent connection is detected within this part of the recovery time
constexpr double sharedRevocationFactor = 0.1; // between reads for others; a proof must outlast a silence of seconds
constexpr double staleRevocationFactor = 0.25; // for a proof of another router; the next one must still be in time
constexpr double sharedRegistryFactor = 0.25;  // a read, a silent router and the next one's answer must fit
constexpr double staleRegistryFactor = 0.4;    // for a proof of another router, likewise
constexpr double registryPauseFactor = 0.75;   // a lost read and the next one must fit into the drain delay as well
constexpr auto registryResponseTimeout = std::chrono::milliseconds(350); // short for the same reason
constexpr auto maxRegistryResponseTimeout = std::chrono::milliseconds(700);

static Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

const char *text(StoreTopic topic)
{
    switch (topic) {
    case StoreTopic::DesiredState:
        return "desired_state";
    case StoreTopic::Registry:
        return "registry";
    case StoreTopic::Places:
        return "places";
    case StoreTopic::Origins:
        return "origins";
    }
    return "unknown";
}

TopicSettings desiredStateTopic(const RouterSettings &settings)
{
    const Duration bound =
        settings.maxRevocationDelay > Duration{} ? settings.maxRevocationDelay : settings.maxRecoveryTime;
    TopicSettings topic;
    topic.hasLargeRecords = true;
    topic.sharedInterval = scaled(bound, sharedRevocationFactor);
    topic.maxSourceAge = scaled(bound, staleRevocationFactor);
    topic.longPollTimeout = scaled(settings.maxRecoveryTime, recoveryWaitFactor);
    if (settings.maxRevocationDelay > Duration{}) {
        topic.longPollTimeout =
            std::min(topic.longPollTimeout, scaled(settings.maxRevocationDelay, revocationWaitFactor));
    }
    return topic;
}

TopicSettings registryTopic(const RouterSettings &settings)
{
    TopicSettings topic;
    topic.pollInterval = scaled(settings.maxDrainDelay, registryPauseFactor);
    topic.sharedInterval = scaled(settings.maxDrainDelay, sharedRegistryFactor);
    topic.maxSourceAge = scaled(settings.maxDrainDelay, staleRegistryFactor);
    topic.responseTimeout = registryResponseTimeout;
    topic.maxResponseTimeout = maxRegistryResponseTimeout;
    return topic;
}

} // namespace galenafold
