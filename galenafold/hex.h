// Hexadecimal text of 64-bit numbers, as in keys of the store and in log lines.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenafold
{

constexpr int hexBase = 16;

/// @return the number in lower-case hexadecimal, without leading zeros
inline std::string toHex(std::uint64_t number)
{
    char digits[hexBase] = {};
    const auto written = std::to_chars(digits, digits + sizeof digits, number, hexBase);
    return std::string(digits, written.ptr);
}

/// @return the number; nothing if the text is empty or has other characters than hexadecimal digits
inline std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, hexBase);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

} // namespace galenafold
