// The daemon's settings: the table of INI keys behind `Settings`.
#pragma once

#include "galenafold/ini.h"

#include <boost/leaf.hpp>

namespace galenafold
{

/// All faults of one settings file; travels as a Boost.LEAF error.
struct SettingsErrors {
    std::vector<IniError> errors;
};

/// Reads and checks settings. @param file named in faults. @return the settings, or a SettingsErrors error.
boost::leaf::result<Settings> parseSettings(const std::string &file, const std::string &text);

/// Reads and checks the settings of a daemon on the users' platform. @see parseSettings
boost::leaf::result<RouterSettings> parseRouterSettings(const std::string &file, const std::string &text);

/// @return true if an INI text is meant for the users' platform: it names a store
bool hasStoreSection(const std::string &text);

} // namespace galenafold
