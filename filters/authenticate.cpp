// Looks up the contract of an API key by the hash of the key.
#include "filters/authenticate.h"

#include <openssl/evp.h>

namespace galenafold
{

std::string hashApiKey(const std::string &key)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    EVP_Digest(key.data(), key.size(), digest, &size, EVP_sha256(), nullptr);
    static const char digits[] = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += digits[digest[i] >> 4];
        hex += digits[digest[i] & 15];
    }
    return hex;
}

AuthenticationResult authenticate(const ContractTable &table, const std::string &authorization)
{
    static const std::string scheme = "Bearer ";
    if (authorization.compare(0, scheme.size(), scheme) != 0) {
        return {nullptr, Reason::UnknownApiKey};
    }
    const auto customer = table.customersByKeyHash.find(hashApiKey(authorization.substr(scheme.size())));
    if (customer == table.customersByKeyHash.end()) {
        return {nullptr, Reason::UnknownApiKey};
    }
    const auto contract = table.contracts.find(customer->second);
    if (contract == table.contracts.end()) {
        return {nullptr, Reason::UnknownApiKey};
    }
    return {&contract->second, Reason::None};
}

} // namespace galenafold
