#pragma once

namespace anvillead {

/// A subcommand gets the command line from its own name on and returns the exit status.
using bench_function = int (*)(int argc, char** argv);

int run_claims(int argc, char** argv);
int run_decisions(int argc, char** argv);
int run_overhead(int argc, char** argv);

} // namespace anvillead
