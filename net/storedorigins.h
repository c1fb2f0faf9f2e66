// Serialisation of what the store holds of where streams began, in Cap'n Proto.
#pragma once

#include "control/origintable.h"

namespace galenafold
{

/// Origins that were written in one record.
struct StoredOrigins {
    UnixMillis writtenAt{}; // by the writer's clock
    std::vector<StreamOrigin> origins;
};

/// @return the record's value
std::string encodeStoredOrigins(const StoredOrigins &stored);

/// @return nothing if the bytes, which may be anyone's, are no such record
std::optional<StoredOrigins> decodeStoredOrigins(const std::string &bytes);

} // namespace galenafold
