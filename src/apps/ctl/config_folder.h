#pragma once

#include <string>

#include "configuration/parse.h"
#include "core/result.h"

namespace anvillead {

/// Reads every `*.json` file of a folder. A folder without any is an error: it is most often a mistyped one, and
/// applied it would remove the whole configuration.
result<config_files> read_folder(const std::string& path);

} // namespace anvillead
