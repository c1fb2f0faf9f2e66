// Parsing of router settings from INI text, for `Settings` and `RouterSettings`.
#pragma once

#include "galenafold/ini.h"

#include <boost/leaf.hpp>

namespace galenafold
{

/// All errors of one settings file; reported as a Boost.LEAF error.
struct SettingsErrors {
    std::vector<IniError> errors;
};

/// Parses and validates settings. @param file name for error messages @return the settings, or a SettingsErrors error
boost::leaf::result<Settings> parseSettings(const std::string &file, const std::string &text);

/// Parses and validates the settings of a router on the users' platform. @see parseSettings
boost::leaf::result<RouterSettings> parseRouterSettings(const std::string &file, const std::string &text);

/// @return true if the INI text has a section [store], which only the settings of the users' platform have
bool hasStoreSection(const std::string &text);

} // namespace galenafold
