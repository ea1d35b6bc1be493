#pragma once

#include <string>

#include "configuration/parse.h"
#include "core/result.h"

namespace anvillead {

/// Reads all `*.json` files of a folder. Returns an error for a folder without any: its path is probably mistyped, and
/// applying it would remove the whole configuration.
result<config_files> read_folder(const std::string& path);

} // namespace anvillead
