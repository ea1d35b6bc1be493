#include "apps/ctl/ctl_options.h"

#include <cstdlib>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "apps/common/daemon.h"

namespace anvillead {

namespace {

constexpr const char* summary =
    "Client for operators. Commands: config check PATH | config validate DIR | config diff DIR | config apply DIR | "
    "config status | audit "
    "| drain host|upstream NAME --dir DIR [--remove] | quarantine list HOST | quarantine lift HOST TRAIT | "
    "evacuations HOST | explain REQUEST-ID LOGFILE...";

[[noreturn]] void exit_with_usage_error(const std::string& problem)
{
    fmt::print(stderr, "anvilleadctl: {}; see --help\n", problem);
    std::exit(exit_usage);
}

std::string environment_user()
{
    const char* user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

void parse_command(const std::vector<std::string>& arguments, ctl_options& out)
{
    const auto is = [&](std::size_t i, const char* text) { return arguments.size() > i && arguments[i] == text; };
    if (is(0, "config") && is(1, "status") && arguments.size() == 2) {
        out.command = "status";
    } else if (is(0, "config") && is(1, "check") && arguments.size() == 3) {
        out.command = "check";
        out.folder = arguments[2];
    } else if (is(0, "config") && arguments.size() >= 3 && (is(1, "validate") || is(1, "diff") || is(1, "apply"))) {
        out.command = arguments[1];
        out.folder = arguments[2];
        // The platform's address may also follow the folder.
        if (arguments.size() == 4) {
            out.platform = arguments[3];
        } else if (arguments.size() > 4) {
            exit_with_usage_error("too many arguments");
        }
    } else if (is(0, "audit") && arguments.size() == 1) {
        out.command = "audit";
    } else if (is(0, "drain") && arguments.size() == 3 && (is(1, "host") || is(1, "upstream"))) {
        out.command = "drain";
        out.drain_kind = arguments[1];
        out.drain_name = arguments[2];
    } else if (is(0, "quarantine") &&
               ((is(1, "list") && arguments.size() == 3) || (is(1, "lift") && arguments.size() == 4))) {
        out.command = "quarantine";
        out.host = arguments[2];
        out.trait = is(1, "lift") ? arguments[3] : std::string();
    } else if (is(0, "evacuations") && arguments.size() == 2) {
        out.command = "evacuations";
        out.host = arguments[1];
    } else if (is(0, "explain") && arguments.size() >= 3) {
        out.command = "explain";
        out.request = arguments[1];
        out.log_files.assign(arguments.begin() + 2, arguments.end());
    } else {
        exit_with_usage_error("unknown or incomplete command");
    }
}

void validate_options(const ctl_options& options)
{
    const bool offline = options.command == "validate" || options.command == "explain" ||
                         (options.command == "check" && options.against != "in-force");
    const bool needs_platform = options.host.empty() && !offline;
    if (needs_platform && options.platform.empty()) {
        exit_with_usage_error("--platform ADDRESS:PORT is required");
    }
    if (options.command == "drain" && options.folder.empty()) {
        exit_with_usage_error("drain needs --dir DIR");
    }
    if (options.days < 1 || options.days > 366 || options.wait_seconds < 0 || options.wait_seconds > 3600) {
        exit_with_usage_error("--days must be 1 to 366 and --wait 0 to 3600");
    }
}

} // namespace

ctl_options parse_ctl_options(std::vector<std::string> arguments)
{
    ctl_options out;
    try {
        TCLAP::CmdLine line(summary, ' ', ANVILLEAD_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> platform("p", "platform", "Platform's object API", false, "", "ADDRESS", line);
        TCLAP::ValueArg<std::string> operator_name("o", "operator", "Name for the audit trail, by default $USER", false,
                                                   environment_user(), "NAME", line);
        TCLAP::ValueArg<std::string> folder("d", "dir", "Folder that drain edits", false, "", "DIR", line);
        TCLAP::ValueArg<std::string> against("a", "against",
                                             "What config check compares with: a file, a folder or in-force (the "
                                             "platform's object API for a folder, a host's control address for a file)",
                                             false, "", "PATH", line);
        TCLAP::ValueArg<int> days("", "days", "Days that audit lists", false, 7, "N", line);
        TCLAP::ValueArg<int> wait("w", "wait", "Seconds to wait for the result of apply", false, 10, "SECONDS", line);
        TCLAP::SwitchArg remove("r", "remove", "Ends a drain", line);
        TCLAP::SwitchArg json("j", "json", "Prints JSON", line);
        TCLAP::UnlabeledMultiArg<std::string> command("command", "Command and its arguments", true, "WORD", line);
        line.parse(arguments);
        out.platform = platform.getValue();
        out.operator_name = operator_name.getValue();
        out.folder = folder.getValue();
        out.against = against.getValue();
        out.days = days.getValue();
        out.wait_seconds = wait.getValue();
        out.remove = remove.getValue();
        out.json = json.getValue();
        parse_command(command.getValue(), out);
    } catch (const TCLAP::ArgException& ex) {
        exit_with_usage_error(ex.argId() + ": " + ex.error());
    } catch (const TCLAP::ExitException& ex) {
        std::exit(ex.getExitStatus());
    }
    validate_options(out);
    return out;
}

} // namespace anvillead
