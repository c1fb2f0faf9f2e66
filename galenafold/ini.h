// Parsing of INI text into typed settings by a table of fields, each with its own validation. All errors are reported,
// not only the first.
//
// Sections of this file: Errors, Fields, Parsing.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>

namespace galenafold
{

// Errors

/// One error in an INI text.
struct IniError {
    std::string file;
    std::string section;
    std::string key;
    std::string value;
    std::string problem; // the expected values, or another cause

    std::string message() const; ///< @return one line with file, section, key, value and problem
};

// Fields

/// Parses and stores a value. @return the problem, or nothing when the value is valid
using IniSetter = std::function<std::optional<std::string>(const std::string &value)>;

/// A known key, and how its value is stored.
struct IniField {
    std::string section;
    std::string key;
    IniSetter set;
    bool isRequired = false;
};

// Each of these returns a setter that refers to `target`, which must outlive it. Ranges include both limits.
IniSetter textField(std::string &target); ///< Text that is not empty.
IniSetter numberField(double &target, double min, double max);
IniSetter integerField(int &target, int min, int max);
IniSetter flagField(bool &target);                                ///< "yes" or "no".
IniSetter millisField(Duration &target, int min, int max);        ///< Integer, in milliseconds.
IniSetter secondsField(Duration &target, double min, double max); ///< Number, in seconds.
IniSetter textListField(std::vector<std::string> &target);        ///< Separated by commas; may be empty.
IniSetter poolListField(std::vector<PoolId> &target);             ///< Separated by commas; may be empty.
IniSetter policyField(Policy &target);                            ///< "galenafold" or "naive".

// Parsing

/// One line "key = value" of an INI text.
struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
};

/// Splits INI text into entries, in order. Adds an error with the line number for the first syntax error only.
std::vector<IniEntry> parseIni(const std::string &file, const std::string &text, std::vector<IniError> &errors);

/// Stores the entries' values in the fields. Adds an error for each invalid value, unknown key and missing required
/// key.
void applyIni(const std::string &file, const std::vector<IniEntry> &entries, const std::vector<IniField> &fields,
              std::vector<IniError> &errors);

} // namespace galenafold
