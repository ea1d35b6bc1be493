#include "apps/ctl/explain.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <fmt/format.h>

#include "core/bounded_json.h"

namespace anvillead {

namespace {

using nlohmann::json;

// Events without a request that change what a host believes about everything it handles.
const std::set<std::string>& host_events()
{
    static const std::set<std::string> names = {"configuration_applied", "platform_unreachable",  "platform_reachable",
                                                "platform_history_lost", "member_lost",           "process_resumed",
                                                "process_started",       "shutdown_began",        "shutdown_forced",
                                                "log_lines_dropped",     "configuration_rejected"};
    return names;
}

struct parsed_line
{
    json fields;
    explained_line out;
};

std::string details_of(const json& fields)
{
    static const std::set<std::string> common = {"time", "steady_ms", "level", "process", "request", "event", "name"};
    std::string out;
    for (const auto& [key, value] : fields.items()) {
        if (common.count(key) == 0) {
            out += fmt::format("{}{}={}", out.empty() ? "" : " ", key,
                               value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return out;
}

std::vector<parsed_line> parse_lines(std::istream& logs)
{
    std::vector<parsed_line> out;
    std::string text;
    while (std::getline(logs, text)) {
        const auto begin = text.find('{');
        const auto fields = begin == std::string::npos ? std::nullopt : parse_bounded_json(text.substr(begin));
        if (!fields || !fields->is_object() || !fields->contains("name") || !(*fields)["name"].is_string()) {
            continue;
        }
        parsed_line line;
        line.out.process = fields->value("process", "");
        line.out.steady_ms = fields->value("steady_ms", std::int64_t{0});
        line.out.name = (*fields)["name"].get<std::string>();
        line.out.details = details_of(*fields);
        line.fields = *fields;
        out.push_back(std::move(line));
    }
    return out;
}

/// Part of one process's log in which the request was handled.
struct handled_span
{
    std::int64_t first = INT64_MAX;
    std::int64_t last = INT64_MIN;
    std::set<std::string> upstreams;
};

} // namespace

std::vector<explained_line> explain_request(std::istream& logs, const std::string& request)
{
    auto lines = parse_lines(logs);
    std::map<std::string, handled_span> spans;
    for (auto& it : lines) {
        it.out.names_request = it.fields.value("request", json()) == request;
        if (!it.out.names_request) {
            continue;
        }
        auto& span = spans[it.out.process];
        span.first = std::min(span.first, it.out.steady_ms);
        span.last = std::max(span.last, it.out.steady_ms);
        for (const auto* key : {"upstream", "target"}) {
            if (it.fields.contains(key) && it.fields[key].is_string()) {
                span.upstreams.insert(it.fields[key].get<std::string>());
            }
        }
    }
    std::vector<explained_line> out;
    for (auto& it : lines) {
        const auto span = spans.find(it.out.process);
        if (span == spans.end() || it.out.steady_ms < span->second.first || it.out.steady_ms > span->second.last) {
            continue;
        }
        const auto upstream = it.fields.value("upstream", json());
        const bool about_upstream = !it.fields.contains("request") && upstream.is_string() &&
                                    span->second.upstreams.count(upstream.get<std::string>()) != 0;
        if (it.out.names_request || about_upstream || host_events().count(it.out.name) != 0) {
            out.push_back(std::move(it.out));
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const explained_line& a, const explained_line& b) {
        return std::tie(a.process, a.steady_ms) < std::tie(b.process, b.steady_ms);
    });
    return out;
}

std::string to_timeline(const std::vector<explained_line>& lines)
{
    std::string out;
    std::string process;
    std::int64_t first = 0;
    for (const auto& it : lines) {
        if (it.process != process) {
            process = it.process;
            first = it.steady_ms;
            out += process + "\n";
        }
        out += fmt::format("{:>8} ms  {} {} {}\n", it.steady_ms - first, it.names_request ? "*" : " ", it.name,
                           it.details);
    }
    return out;
}

result<std::string> explain_files(const std::string& request, const std::vector<std::string>& files)
{
    std::stringstream logs;
    for (const auto& it : files) {
        std::ifstream in(it);
        if (!in) {
            return make_error(error_kind::invalid_settings, fmt::format("{}: expected a readable log file", it));
        }
        logs << in.rdbuf() << '\n';
        logs.clear();
    }
    const auto lines = explain_request(logs, request);
    if (lines.empty()) {
        return make_error(error_kind::not_found, fmt::format("no line names the request {}", request));
    }
    return to_timeline(lines);
}

} // namespace anvillead
