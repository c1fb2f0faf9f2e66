// Parsing of INI text with inih, and validation of single values. Sections of this file: Errors, Fields, Parsing.
#include "galenafold/ini.h"

#include <ini.h>

#include <cmath>
#include <cstdlib>
#include <sstream>

namespace galenafold
{

// Errors

std::string IniError::message() const
{
    std::string line = file + ": [" + section + "] " + key;
    if (!value.empty()) {
        line += " = '" + value + "'";
    }
    return line + ": " + problem;
}

// Fields

static std::optional<double> parseNumber(const std::string &value)
{
    char *end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (value.empty() || *end != '\0') {
        return std::nullopt;
    }
    return number;
}

static std::string rangeText(double min, double max)
{
    std::ostringstream out;
    out << "a number from " << min << " to " << max << " is expected";
    return out.str();
}

IniSetter textField(std::string &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        if (value.empty()) {
            return "text is expected, but nothing is set";
        }
        target = value;
        return std::nullopt;
    };
}

IniSetter numberField(double &target, double min, double max)
{
    return [&target, min, max](const std::string &value) -> std::optional<std::string> {
        const auto number = parseNumber(value);
        if (!number || !(*number >= min) || !(*number <= max)) {
            return rangeText(min, max);
        }
        target = *number;
        return std::nullopt;
    };
}

IniSetter integerField(int &target, int min, int max)
{
    return [&target, min, max](const std::string &value) -> std::optional<std::string> {
        const auto number = parseNumber(value);
        const bool isInRange = number && *number >= min && *number <= max; // false for what is not a number
        if (!isInRange || *number != std::trunc(*number)) {
            return "must be whole: " + rangeText(min, max);
        }
        target = static_cast<int>(*number);
        return std::nullopt;
    };
}

IniSetter flagField(bool &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        if (value != "yes" && value != "no") {
            return "yes or no is expected";
        }
        target = value == "yes";
        return std::nullopt;
    };
}

IniSetter millisField(Duration &target, int min, int max)
{
    return [&target, min, max](const std::string &value) -> std::optional<std::string> {
        int millis = 0;
        if (const auto error = integerField(millis, min, max)(value)) {
            return "milliseconds: " + *error;
        }
        target = std::chrono::milliseconds(millis);
        return std::nullopt;
    };
}

IniSetter secondsField(Duration &target, double min, double max)
{
    return [&target, min, max](const std::string &value) -> std::optional<std::string> {
        double seconds = 0;
        if (const auto error = numberField(seconds, min, max)(value)) {
            return "seconds: " + *error;
        }
        target = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        return std::nullopt;
    };
}

static std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

IniSetter textListField(std::vector<std::string> &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        std::istringstream in(value);
        std::string item;
        target.clear();
        while (std::getline(in, item, ',')) {
            if (trimmed(item).empty()) {
                return "names separated by commas are expected";
            }
            target.push_back(trimmed(item));
        }
        return std::nullopt;
    };
}

IniSetter poolListField(std::vector<PoolId> &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        std::vector<std::string> names;
        if (const auto error = textListField(names)(value)) {
            return error;
        }
        target.clear();
        for (const std::string &name : names) {
            target.push_back({name});
        }
        return std::nullopt;
    };
}

IniSetter policyField(Policy &target)
{
    return [&target](const std::string &value) -> std::optional<std::string> {
        if (value != "galenafold" && value != "naive") {
            return "galenafold or naive is expected";
        }
        target = value == "naive" ? Policy::Naive : Policy::Galenafold;
        return std::nullopt;
    };
}

// Parsing

static int collectEntry(void *user, const char *section, const char *name, const char *value)
{
    static_cast<std::vector<IniEntry> *>(user)->push_back({section, name, value ? value : ""});
    return 1;
}

std::vector<IniEntry> parseIni(const std::string &file, const std::string &text, std::vector<IniError> &errors)
{
    std::vector<IniEntry> entries;
    const int line = ini_parse_string(text.c_str(), collectEntry, &entries);
    if (line != 0) {
        errors.push_back({file, "", "line " + std::to_string(line), "", "[section] or key = value is expected"});
    }
    return entries;
}

static const IniField *fieldOf(const std::vector<IniField> &fields, const IniEntry &entry)
{
    for (const IniField &field : fields) {
        if (field.section == entry.section && field.key == entry.key) {
            return &field;
        }
    }
    return nullptr;
}

static bool hasEntry(const std::vector<IniEntry> &entries, const IniField &field)
{
    for (const IniEntry &entry : entries) {
        if (field.section == entry.section && field.key == entry.key) {
            return true;
        }
    }
    return false;
}

void applyIni(const std::string &file, const std::vector<IniEntry> &entries, const std::vector<IniField> &fields,
              std::vector<IniError> &errors)
{
    for (const IniEntry &entry : entries) {
        const IniField *field = fieldOf(fields, entry);
        if (!field) {
            errors.push_back({file, entry.section, entry.key, entry.value, "unknown key"});
            continue;
        }
        if (const auto problem = field->set(entry.value)) {
            errors.push_back({file, entry.section, entry.key, entry.value, *problem});
        }
    }
    for (const IniField &field : fields) {
        if (field.isRequired && !hasEntry(entries, field)) {
            errors.push_back({file, field.section, field.key, "", "required key is missing"});
        }
    }
}

} // namespace galenafold
