// Typed reading of INI text: a table of fields, each with its own check. All faults are reported, not only the first.
//
// Sections of this file: Faults, Fields, Reading.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>

namespace galenafold
{

// Faults

/// One thing wrong in an INI text.
struct IniError {
    std::string file;
    std::string section;
    std::string key;
    std::string value;
    std::string allowed; // what would be allowed there

    std::string message() const; ///< @return one line for a human
};

// Fields

/// Stores a value. @return what would be allowed, or nothing when the value was good.
using IniSetter = std::function<std::optional<std::string>(const std::string &value)>;

struct IniField {
    std::string section;
    std::string key;
    IniSetter set;
    bool isRequired = false;
};

IniSetter textField(std::string &target);
IniSetter numberField(double &target, double least, double most);
IniSetter integerField(int &target, int least, int most);
IniSetter flagField(bool &target);
IniSetter millisField(Duration &target, int least, int most);
IniSetter secondsField(Duration &target, double least, double most);
IniSetter textListField(std::vector<std::string> &target); ///< Parted by commas; may be empty.
IniSetter poolListField(std::vector<PoolId> &target);
IniSetter policyField(Policy &target);

// Reading

struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
};

/// Splits INI text into entries, in order. Syntax errors are added to `faults` with their line.
std::vector<IniEntry> parseIni(const std::string &file, const std::string &text, std::vector<IniError> &errors);

/// Applies entries to fields. Unknown and missing keys are faults.
void applyIni(const std::string &file, const std::vector<IniEntry> &entries, const std::vector<IniField> &fields,
              std::vector<IniError> &errors);

} // namespace galenafold
