// First filter: whose call is this? Contracts hold only hashes of API keys.
#pragma once

#include "control/contracts.h"

namespace galenafold
{

/// @return lower-case hex SHA-256 of an API key
std::string hashApiKey(const std::string &key);

struct Authenticated {
    const Contract *contract = nullptr; // null: refused; lives as long as the table
    Reason reason = Reason::None;
};

/// @param authorization value of the Authorization header, "Bearer KEY".
Authenticated authenticate(const ContractTable &table, const std::string &authorization);

} // namespace galenafold
