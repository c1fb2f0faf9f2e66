// First filter: identifies the customer by API key. Contracts hold only SHA-256 hashes of API keys.
#pragma once

#include "control/contracts.h"

namespace galenafold
{

/// @return lower-case hex SHA-256 of an API key
std::string hashApiKey(const std::string &key);

struct AuthenticationResult {
    const Contract *contract = nullptr; // null: refused; valid as long as the table
    Reason reason = Reason::None;       // why the key was refused
};

/// Looks up the contract that an API key belongs to.
/// @param authorization value of the Authorization header, "Bearer KEY"
AuthenticationResult authenticate(const ContractTable &table, const std::string &authorization);

} // namespace galenafold
