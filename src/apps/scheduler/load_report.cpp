#include "apps/scheduler/load_report.h"

#include "core/field_reader.h"

namespace anvillead {

namespace {

std::vector<cache_event> parse_cache_events(const nlohmann::json& value)
{
    std::vector<cache_event> out;
    const auto list = value.find("cache_events");
    if (list == value.end() || !list->is_array()) {
        return out;
    }
    for (const auto& it : *list) {
        if (out.size() >= max_cache_events) {
            break;
        }
        if (!it.is_object() || !it.contains("prefix") || !it["prefix"].is_number_unsigned()) {
            continue;
        }
        std::vector<field_problem> problems;
        field_reader reader(it, "load", "cache_events", problems);
        cache_event event;
        event.prefix = it["prefix"].get<std::uint64_t>();
        event.evicted = reader.flag_or("evicted", false);
        event.age = milliseconds(reader.number_or("age_ms", {}, 0));
        if (problems.empty()) {
            out.push_back(event);
        }
    }
    return out;
}

} // namespace

engine_load parse_load_report(const upstream_id& engine, const nlohmann::json& value)
{
    std::vector<field_problem> problems;
    field_reader reader(value, "load", "", problems);
    engine_load out;
    out.engine = engine;
    out.used = {reader.number_or("used_tokens", {}, 0)};
    out.capacity = {reader.number_or("capacity_tokens", {}, 0)};
    out.running = static_cast<int>(reader.number_or("running", {}, 0));
    out.waiting = static_cast<int>(reader.number_or("waiting", {}, 0));
    out.preemptions = reader.number_or("preemptions", {}, 0);
    out.lag = milliseconds(reader.number_or("lag_ms", {}, 0));
    out.leaving = reader.flag_or("leaving", false);
    out.cache_events = parse_cache_events(value);
    return out;
}

} // namespace anvillead
