#pragma once

#include <string>

#include "configuration/parse.h"
#include "core/result.h"

namespace anvillead {

/// Reads every `*.json` file of a folder.
result<config_files> read_folder(const std::string& path);

} // namespace anvillead
