#include "apps/ctl/commands.h"

#include <chrono>
#include <ctime>
#include <filesystem>
#include <thread>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "apps/common/daemon.h"
#include "apps/ctl/config_check.h"
#include "apps/ctl/config_folder.h"
#include "apps/ctl/drain_file.h"
#include "apps/ctl/explain.h"
#include "apps/ctl/folder_upload.h"
#include "apps/ctl/host_call.h"
#include "apps/ctl/platform_session.h"
#include "configuration/diff.h"
#include "core/bounded_json.h"
#include "core/field_reader.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr milliseconds poll_period{200};

int print_error(const ctl_options& options, const error& value)
{
    if (options.json) {
        fmt::print("{}\n", json({{"error", {{"kind", to_string(value.kind)}, {"message", value.message}}}}).dump());
    } else {
        fmt::print(stderr, "anvilleadctl: {}\n", value.message);
    }
    return value.kind == error_kind::invalid_settings ? exit_usage : exit_failure;
}

json problems_to_json(const std::vector<field_problem>& problems)
{
    json out = json::array();
    for (const auto& it : problems) {
        out.push_back({{"file", it.file}, {"field", it.field}, {"expected", it.expected}});
    }
    return out;
}

/// Prints the validation problems of a folder. Returns the exit code.
int report_problems(const ctl_options& options, const std::vector<field_problem>& problems)
{
    if (options.json) {
        fmt::print("{}\n", json({{"valid", problems.empty()}, {"errors", problems_to_json(problems)}}).dump());
    } else {
        for (const auto& it : problems) {
            fmt::print(stderr, "{}\n", to_string(it));
        }
    }
    return problems.empty() ? exit_ok : exit_usage;
}

std::string field_text(const json& value, const char* name)
{
    const auto it = value.find(name);
    return it == value.end() ? std::string() : it->is_string() ? it->get<std::string>() : it->dump();
}

/// Prints the errors of a status object or audit entry, one line each.
void print_errors(std::FILE* stream, std::string_view indent, const json& owner)
{
    for (const auto& it : owner.value("errors", json::array())) {
        fmt::print(stream, "{}{}: {}: expected {}\n", indent, field_text(it, "file"), field_text(it, "field"),
                   field_text(it, "expected"));
    }
}

int validate(const ctl_options& options, const config_files& files)
{
    const auto code = report_problems(options, merge_files(files).problems);
    if (code == exit_ok && !options.json) {
        fmt::print("valid: {} files\n", files.size());
    }
    return code;
}

/// A configuration of the platform: from a file, or the one in force on a host.
result<json> read_platform_configuration(const ctl_options& options, const std::string& source)
{
    if (source != "in-force") {
        return read_json_file(source);
    }
    const auto state = call_host(options.platform, "GET", "/state");
    if (!state) {
        return state.error();
    }
    const auto parsed = parse_bounded_json(state.value());
    if (!parsed || !parsed->is_object()) {
        return make_error(error_kind::invalid_settings, options.platform + ": expected the state of a host");
    }
    return parsed->value("configuration", json());
}

result<config_check> check_folder_against(const ctl_options& options)
{
    const auto files = read_folder(options.folder);
    if (!files) {
        return files.error();
    }
    if (options.against.empty()) {
        return check_folder(files.value(), nullptr);
    }
    config_files before;
    if (options.against == "in-force") {
        platform_session platform(options.platform);
        auto remote = folder_upload(platform).read();
        if (!remote) {
            return remote.error();
        }
        before = std::move(remote.value().texts);
    } else {
        auto other = read_folder(options.against);
        if (!other) {
            return other.error();
        }
        before = std::move(other.value());
    }
    return check_folder(files.value(), &before);
}

result<config_check> check_file_against(const ctl_options& options)
{
    const auto object = read_platform_configuration(options, options.folder);
    if (!object) {
        return object.error();
    }
    if (options.against.empty()) {
        return check_platform_configuration(options.folder, object.value(), nullptr);
    }
    const auto before = read_platform_configuration(options, options.against);
    if (!before) {
        return before.error();
    }
    return check_platform_configuration(options.folder, object.value(), &before.value());
}

/// Exit codes: clean, warnings, errors.
int check(const ctl_options& options)
{
    const auto checked =
        std::filesystem::is_directory(options.folder) ? check_folder_against(options) : check_file_against(options);
    if (!checked) {
        print_error(options, checked.error());
        return exit_usage;
    }
    const auto& value = checked.value();
    if (options.json) {
        fmt::print("{}\n", to_json(value).dump(-1, ' ', false, json::error_handler_t::replace));
    } else {
        for (const auto& it : value.findings) {
            fmt::print("{}\n", to_string(it));
        }
        for (const auto& it : value.changes) {
            fmt::print("{}\n", it);
        }
    }
    return value.has_errors() ? exit_usage : value.findings.empty() ? exit_ok : exit_failure;
}

int diff(const ctl_options& options, const config_files& files)
{
    const auto merged = merge_files(files);
    if (!merged.problems.empty()) {
        return report_problems(options, merged.problems);
    }
    platform_session platform(options.platform);
    const auto remote = folder_upload(platform).read();
    if (!remote) {
        return print_error(options, remote.error());
    }
    const auto changes = diff_documents(merge_files(remote.value().texts).merged, merged.merged);
    json list = json::array();
    for (const auto& it : changes) {
        list.push_back(to_json(it));
        if (!options.json) {
            fmt::print("{}\n", to_string(it));
        }
    }
    if (options.json) {
        fmt::print("{}\n", json({{"changes", list}}).dump());
    }
    return exit_ok;
}

/// Returns the decision about a revision of the collection from the accepted or status object; null while there is
/// none.
json read_decision(platform_session& platform, std::uint64_t revision)
{
    const auto accepted = platform.get(accepted_object);
    if (accepted && accepted.value().value.value("collection_revision", std::uint64_t(0)) >= revision) {
        return {{"state", "accepted"},
                {"generation", accepted.value().value.value("generation", 0)},
                {"digest", accepted.value().value.value("digest", "")}};
    }
    const auto status = platform.get(status_object);
    if (status && status.value().value.value("collection_revision", std::uint64_t(0)) >= revision) {
        return status.value().value;
    }
    return nullptr;
}

json wait_for_decision(platform_session& platform, folder_upload& upload, int wait_seconds)
{
    const auto remote = upload.read();
    const auto deadline = std::chrono::steady_clock::now() + seconds(wait_seconds);
    while (remote && std::chrono::steady_clock::now() < deadline) {
        auto decision = read_decision(platform, remote.value().revision);
        if (!decision.is_null()) {
            return decision;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return {{"state", "undecided"}};
}

int print_decision(const ctl_options& options, json decision, const upload_result& upload)
{
    const auto state = field_text(decision, "state");
    decision["written"] = upload.written;
    decision["removed"] = upload.removed;
    decision["unchanged"] = upload.unchanged;
    if (options.json) {
        fmt::print("{}\n", decision.dump());
    } else if (state == "accepted") {
        fmt::print("accepted: generation {}, {} files written, {} removed\n", field_text(decision, "generation"),
                   upload.written.size(), upload.removed.size());
    } else {
        fmt::print(stderr, "{}\n",
                   state == "undecided" ? "undecided: no agent has accepted or rejected the files yet" : state);
        print_errors(stderr, "", decision);
    }
    return state == "accepted" ? exit_ok : state == "rejected" ? exit_usage : exit_failure;
}

int apply(const ctl_options& options, const config_files& files)
{
    const auto merged = merge_files(files);
    if (!merged.problems.empty()) {
        return report_problems(options, merged.problems);
    }
    platform_session platform(options.platform);
    folder_upload upload(platform);
    const auto before = upload.read_settled();
    if (!before) {
        return print_error(options, before.error());
    }
    const auto uploaded = upload.write(before.value(), files, options.operator_name);
    if (!uploaded) {
        return print_error(options, uploaded.error());
    }
    if (options.wait_seconds == 0) {
        return print_decision(options, {{"state", "undecided"}}, uploaded.value()) == exit_usage ? exit_usage : exit_ok;
    }
    return print_decision(options, wait_for_decision(platform, upload, options.wait_seconds), uploaded.value());
}

int show_status(const ctl_options& options)
{
    platform_session platform(options.platform);
    const auto accepted = platform.get(accepted_object);
    const auto status = platform.get(status_object);
    if (!accepted && accepted.error().kind != error_kind::not_found) {
        return print_error(options, accepted.error());
    }
    json out = {{"generation", 0}, {"status", status ? status.value().value : json()}};
    if (accepted) {
        for (const auto* name : {"generation", "collection_revision", "digest", "files"}) {
            out[name] = accepted.value().value.value(name, json());
        }
    }
    if (options.json) {
        fmt::print("{}\n", out.dump());
        return exit_ok;
    }
    fmt::print("accepted generation {} revision {} digest {}\n", out["generation"].dump(),
               field_text(out, "collection_revision"), field_text(out, "digest"));
    if (status) {
        const auto& value = status.value().value;
        fmt::print("last change: {} (revision {})\n", field_text(value, "state"),
                   field_text(value, "collection_revision"));
        print_errors(stdout, "", value);
    }
    return exit_ok;
}

void print_audit_entry(const json& entry)
{
    const std::time_t time = entry.value("time_ms", std::int64_t(0)) / 1000;
    std::string files;
    for (const auto& it : entry.value("files", json::array())) {
        files += (files.empty() ? "" : ",") + it.get<std::string>();
    }
    fmt::print("{:%Y-%m-%dT%H:%M:%SZ} {} {} generation={} operator={} files={} {:.8} -> {:.8}\n", fmt::gmtime(time),
               field_text(entry, "number"), field_text(entry, "outcome"), field_text(entry, "generation"),
               field_text(entry, "operator"), files, field_text(entry, "old_digest"), field_text(entry, "new_digest"));
    print_errors(stdout, "    ", entry);
}

int audit(const ctl_options& options)
{
    platform_session platform(options.platform);
    json entries = json::array();
    const auto today = std::time(nullptr);
    for (int i = options.days - 1; i >= 0; --i) {
        const auto prefix = fmt::format("{}{:%Y%m%d}/", audit_prefix, fmt::gmtime(today - i * 86'400));
        const auto listing = platform.list(prefix);
        if (!listing) {
            return print_error(options, listing.error());
        }
        for (const auto& it : listing.value().objects) {
            entries.push_back(it.value);
        }
    }
    if (options.json) {
        fmt::print("{}\n", json({{"entries", entries}}).dump());
        return exit_ok;
    }
    for (const auto& it : entries) {
        print_audit_entry(it);
    }
    return exit_ok;
}

} // namespace

int run_command(const ctl_options& options)
{
    if (options.command == "status") {
        return show_status(options);
    }
    if (options.command == "audit") {
        return audit(options);
    }
    if (options.command == "check") {
        return check(options);
    }
    if (options.command == "explain") {
        const auto timeline = explain_files(options.request, options.log_files);
        if (!timeline) {
            return print_error(options, timeline.error());
        }
        fmt::print("{}", timeline.value());
        return exit_ok;
    }
    if (options.command == "quarantine" || options.command == "evacuations") {
        const auto answer = call_host(options.host, options.trait.empty() ? "GET" : "DELETE",
                                      "/" + options.command + (options.trait.empty() ? "" : "/" + options.trait));
        if (!answer) {
            return print_error(options, answer.error());
        }
        fmt::print("{}\n", answer.value());
        return exit_ok;
    }
    if (options.command == "drain") {
        const auto edited = edit_drain_file(options.folder, options.drain_kind, options.drain_name, options.remove);
        if (!edited) {
            return print_error(options, edited.error());
        }
    }
    const auto files = read_folder(options.folder);
    if (!files) {
        return print_error(options, files.error());
    }
    if (options.command == "validate") {
        return validate(options, files.value());
    }
    return options.command == "diff" ? diff(options, files.value()) : apply(options, files.value());
}

} // namespace anvillead
