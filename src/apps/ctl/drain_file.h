#pragma once

#include <string>

#include "core/result.h"

namespace anvillead {

/// Name of the file in the configuration folder that `drain` edits.
inline constexpr const char* drain_file_name = "90-drains.json";

/// Adds or removes a drained host or upstream. Returns an error for an unknown upstream and for the removal of a drain
/// that does not exist. Does not modify a folder that has no configuration files or an invalid drain file. Deletes the
/// drain file with its last entry.
result<void> edit_drain_file(const std::string& folder, const std::string& kind, const std::string& name, bool remove);

} // namespace anvillead
