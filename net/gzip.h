// Gzip, for large messages between routers: records of a topic have much text in common.
#pragma once

#include <optional>
#include <string>

namespace galenafold
{

/// @return a member in the format of RFC 1952. Members may be joined: they are read as one text.
std::string gzip(const std::string &text);

/// @param bytes one member or more, from anyone @param maxBytes of the text
/// @return nothing if the bytes are malformed or the text is longer
std::optional<std::string> gunzip(const std::string &bytes, std::size_t maxBytes);

} // namespace galenafold
