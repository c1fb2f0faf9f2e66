// The topics of the platform's store, and how they are followed so that the promised delays are kept.
#pragma once

#include "control/topicconsumer.h"

namespace galenafold
{

/// Topics of the store that the router reads or writes.
enum class StoreTopic : std::uint8_t {
    DesiredState, // route configuration, written by operators
    Registry,     // service registry, written by the replicas
    Places,       // engines' places (positions for rendezvous hashing), written by routers
    Origins,      // versions that streams began at, in several partitions, written by routers; nobody follows it
};

const char *text(StoreTopic topic); ///< @return the topic's name in logs and metrics

/// @return for the topic of the desired state: a long poll
TopicSettings desiredStateTopic(const RouterSettings &settings);

/// @return for the service registry: polls, as a long poll would answer each heartbeat
TopicSettings registryTopic(const RouterSettings &settings);

} // namespace galenafold
