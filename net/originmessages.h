// Messages between routers on the origins of streams: UDP datagrams in Cap'n Proto's packed encoding, on the port of
// the load beacons.
//
// A mark in front tells them from beacons. Read as a beacon, it claims more segments than a Cap'n Proto message may
// have, so that routers of earlier releases ignore these messages.
#pragma once

#include "control/originoutbox.h"

#include <optional>
#include <string>

namespace galenafold
{

std::string encodeOriginMessage(const OriginMessage &message);

/// @return true if a received datagram is a message on origins and no beacon
bool isOriginMessage(const std::string &bytes);

/// Parses a received datagram, which is untrusted input. @return nothing if it is not valid
std::optional<OriginMessage> decodeOriginMessage(const std::string &bytes);

} // namespace galenafold
