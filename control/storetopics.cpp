// How the topics of the platform's store are followed, as parts of the promised delays.
#include "control/storetopics.h"

#include <algorithm>

namespace galenafold
{

constexpr double revocationWaitFactor = 0.4; // a proof is as old as its call; two calls must fit into the delay
constexpr double recoveryWaitFactor = 0.55;  // a silent connection is detected within this part of the recovery time
constexpr double registryPauseFactor = 0.75; // a lost read and the next one must fit into the drain delay as well
constexpr auto registryResponseTimeout = std::chrono::milliseconds(350); // short for the same reason
constexpr auto maxRegistryResponseTimeout = std::chrono::milliseconds(700);

static Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

TopicSettings desiredStateTopic(const RouterSettings &settings)
{
    TopicSettings topic;
    topic.hasLargeRecords = true;
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
    topic.responseTimeout = registryResponseTimeout;
    topic.maxResponseTimeout = maxRegistryResponseTimeout;
    return topic;
}

} // namespace galenafold
