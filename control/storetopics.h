// How the topics of the platform's store are followed, so that the promised delays are kept.
#pragma once

#include "control/topicconsumer.h"

namespace galenafold
{

/// @return for the topic of the desired state: a long poll
TopicSettings desiredStateTopic(const RouterSettings &settings);

/// @return for the service registry: polls, as a long poll would answer each heartbeat
TopicSettings registryTopic(const RouterSettings &settings);

} // namespace galenafold
