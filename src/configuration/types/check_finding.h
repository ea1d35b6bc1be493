#pragma once

#include <string>

namespace anvillead {

enum class finding_severity
{
    /// The configuration is accepted, but probably does not do what is meant.
    warning,
    /// The configuration is refused.
    error
};

/// Something that a check of a configuration has found.
struct check_finding
{
    finding_severity severity = finding_severity::error;
    std::string file;
    std::string field;
    std::string message;
};

} // namespace anvillead
