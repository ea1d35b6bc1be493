#include "node/quarantine_endpoint.h"

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "core/log.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr std::string_view path = "/quarantine";
constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;

json age_ms(instant now, instant at)
{
    return at == instant{} ? json() : json(std::chrono::duration_cast<milliseconds>(now - at).count());
}

std::string list_entries(const quarantine_service& quarantine)
{
    auto out = json::array();
    const auto now = quarantine.now();
    for (const auto& it : quarantine.entries()) {
        out.push_back({{"request_traits", format_traits(it.traits)},
                       {"since_ms", age_ms(now, it.since)},
                       {"last_crash_ms", age_ms(now, it.last_crash)},
                       {"last_probe_ms", age_ms(now, it.last_probe)},
                       {"failed_probes", it.failed_probes}});
    }
    return json({{"entries", out}}).dump();
}

} // namespace

std::optional<quarantine_answer> answer_quarantine_request(quarantine_service& quarantine, const http_request& request)
{
    const auto target = request.path();
    if (request.method == "GET" && target == path) {
        return quarantine_answer{http_ok, list_entries(quarantine)};
    }
    if (request.method != "DELETE" || target.substr(0, path.size()) != path || target.size() <= path.size() + 1 ||
        target[path.size()] != '/') {
        return std::nullopt;
    }
    request_trait trait;
    if (!parse_trait(target.substr(path.size() + 1), trait)) {
        return quarantine_answer{
            http_bad_request, error_body(make_error(error_kind::invalid_request, "expected a trait in hexadecimal"))};
    }
    if (!quarantine.clear(trait)) {
        return quarantine_answer{http_not_found,
                                 error_body(make_error(error_kind::not_found, "no entry contains this trait"))};
    }
    log(log_level::warning, log_event::quarantine_lifted, {{"request_traits", format_traits({trait})}});
    return quarantine_answer{http_ok, list_entries(quarantine)};
}

} // namespace anvillead
