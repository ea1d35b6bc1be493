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

// Events that belong to no request but affect all requests on the host.
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
    timeline_entry out;
};

std::string format_details(const json& fields)
{
    static const std::set<std::string> common_fields = {"time",    "steady_ms", "level", "process",
                                                        "request", "event",     "name"};
    std::string out;
    for (const auto& [key, value] : fields.items()) {
        if (common_fields.count(key) == 0) {
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
        line.out.details = format_details(*fields);
        line.fields = *fields;
        out.push_back(std::move(line));
    }
    return out;
}

/// Time span in the log of one process in which it handled the request, and the upstreams that the request used.
struct request_span
{
    std::int64_t first = INT64_MAX;
    std::int64_t last = INT64_MIN;
    std::set<std::string> upstreams;
};

} // namespace

std::vector<timeline_entry> explain_request(std::istream& logs, const std::string& request)
{
    auto lines = parse_lines(logs);
    std::map<std::string, request_span> spans;
    for (auto& it : lines) {
        it.out.mentions_request = it.fields.value("request", json()) == request;
        if (!it.out.mentions_request) {
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
    std::vector<timeline_entry> out;
    for (auto& it : lines) {
        const auto span = spans.find(it.out.process);
        if (span == spans.end() || it.out.steady_ms < span->second.first || it.out.steady_ms > span->second.last) {
            continue;
        }
        const auto upstream = it.fields.value("upstream", json());
        const bool about_upstream = !it.fields.contains("request") && upstream.is_string() &&
                                    span->second.upstreams.count(upstream.get<std::string>()) != 0;
        if (it.out.mentions_request || about_upstream || host_events().count(it.out.name) != 0) {
            out.push_back(std::move(it.out));
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const timeline_entry& a, const timeline_entry& b) {
        return std::tie(a.process, a.steady_ms) < std::tie(b.process, b.steady_ms);
    });
    return out;
}

std::string to_timeline(const std::vector<timeline_entry>& lines)
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
        out += fmt::format("{:>8} ms  {} {} {}\n", it.steady_ms - first, it.mentions_request ? "*" : " ", it.name,
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
        return make_error(error_kind::not_found, fmt::format("no log line contains the request {}", request));
    }
    return to_timeline(lines);
}

} // namespace anvillead
