#pragma once

#include "apps/ctl/ctl_options.h"

namespace anvillead {

/// Runs one command and returns the exit code: 0 ok, 1 failure, 2 invalid files.
int run_command(const ctl_options& options);

} // namespace anvillead
