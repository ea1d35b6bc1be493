#pragma once

#include <string>

#include "core/result.h"

namespace anvillead {

/// File of the folder that `drain` edits.
inline constexpr const char* drain_file_name = "90-drains.json";

/// Adds or removes a drained host or upstream. An unknown upstream and the end of a drain that does not exist are
/// errors; a folder without configuration files or with a broken drain file is left as it is; the file is removed with
/// its last entry.
result<void> edit_drain_file(const std::string& folder, const std::string& kind, const std::string& name, bool remove);

} // namespace anvillead
