#pragma once

#include <string>
#include <vector>

namespace anvillead {

/// The parsed command line.
struct ctl_options
{
    /// "check", "validate", "diff", "apply", "status", "audit", "drain", "quarantine", "evacuations" or "explain"
    std::string command;
    /// Folder of configuration files.
    std::string folder;
    /// What `check` compares with: a file or folder, or "in-force"; empty for nothing.
    std::string against;
    std::string platform;
    std::string operator_name;
    /// "host" or "upstream"
    std::string drain_kind;
    std::string drain_name;
    /// Id of the request to explain, and the log files to read.
    std::string request;
    std::vector<std::string> log_files;
    /// Control address of a host, "address:port", and the trait whose quarantine is lifted; empty to list them.
    std::string host;
    std::string trait;
    bool remove = false;
    bool json = false;
    int days = 7;
    int wait_seconds = 10;
};

/// Parses the command line; prints one line and exits with code 2 when it is not valid.
ctl_options parse_ctl_options(std::vector<std::string> arguments);

} // namespace anvillead
