#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "configuration/parse.h"
#include "configuration/types/check_finding.h"
#include "core/result.h"

namespace anvillead {

/// Result of checking a configuration before it is sent.
struct config_check
{
    std::vector<check_finding> findings;
    /// What differs from the configuration that it is compared with; one line each.
    std::vector<std::string> changes;

    bool has_errors() const;
};

/// Checks a folder of configuration files; compares it with `before` unless that is null.
config_check check_folder(const config_files& files, const config_files* before);
/// Checks a configuration object of the platform, `file` being its name in findings; compares it with `before` unless
/// that is null.
config_check check_platform_configuration(const std::string& file, const nlohmann::json& object,
                                          const nlohmann::json* before);

std::string to_string(const check_finding& value);
nlohmann::json to_json(const config_check& value);

} // namespace anvillead
