#include "configuration/parse.h"

#include <set>

#include <arpa/inet.h>
#include <fmt/format.h>

#include "core/strict_json.h"

namespace anvillead {

namespace {

using nlohmann::json;

constexpr number_range count_range{0, 1'000'000'000};
constexpr number_range cell_range{1, max_engines_per_cell};
constexpr number_range batch_range{0, 100'000};
constexpr number_range deadline_range{0, 86'400'000};
constexpr double max_rate = 1e9;

/// Returns whether `text` is "address:port" with an IP address and a port above 0.
bool is_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6 ||
        text.find_first_not_of("0123456789", colon + 1) != std::string::npos) {
        return false;
    }
    const auto port = std::stoul(text.substr(colon + 1));
    const auto ip = text.substr(0, colon);
    in6_addr parsed{};
    return port > 0 && port <= UINT16_MAX &&
           (inet_pton(AF_INET, ip.c_str(), &parsed) == 1 || inet_pton(AF_INET6, ip.c_str(), &parsed) == 1);
}

/// Merges files into a document, and records the names in use and the references to check.
class file_merger
{
public:
    explicit file_merger(merge_result& out) : out_(out) {}

    void merge(const json& root, const std::string& file)
    {
        field_reader reader(root, file, "", out_.problems);
        for_each_item(reader, "services", [&](field_reader& it) { add_service(it); });
        for_each_item(reader, "organisations", [&](field_reader& it) { add_organisation(it); });
        for_each_item(reader, "workloads", [&](field_reader& it) { add_workload(it); });
        for_each_item(reader, "models", [&](field_reader& it) { add_model(it); });
        field_reader drains(reader.object_or_empty("drains"), file, "drains", out_.problems);
        add_drains(drains);
        reader.reject_unknown();
    }

    void check_references()
    {
        for (const auto& it : workload_positions_) {
            const auto& target = out_.merged.workloads[it.index].target;
            if (!target.str().empty() && out_.merged.find_service(target) == nullptr) {
                report_dangling(it, "the name of a service", target.str());
            }
        }
        for (const auto& it : model_references_) {
            if (models_.count(it.name) == 0) {
                report_dangling(it, "the name of a model", it.name);
            }
        }
        for (const auto& it : drain_references_) {
            if (upstreams_.count(it.name) == 0) {
                report_dangling(it, "the id of an upstream", it.name);
            }
        }
    }

private:
    struct field_position
    {
        std::size_t index = 0;
        std::string name;
        std::string file;
        std::string path;
    };

    void report_dangling(const field_position& at, const char* expected, const std::string& found)
    {
        out_.problems.push_back({at.file, at.path, fmt::format("{} in the folder, not {}", expected, found)});
    }

    template <typename Function>
    void for_each_item(field_reader& reader, const std::string& name, Function function)
    {
        std::size_t n = 0;
        for (const auto& it : reader.array_or_empty(name)) {
            field_reader item(it, reader.file(), fmt::format("{}[{}]", reader.path_of(name), n++), out_.problems);
            function(item);
            item.reject_unknown();
        }
    }

    std::string unique_name(field_reader& reader, std::set<std::string>& used, const std::string& field = "name")
    {
        auto name = reader.text(field);
        if (!name.empty() && !used.insert(name).second) {
            reader.problem(field, fmt::format("a name that is used once, not {} again", name));
        }
        return name;
    }

    void add_drains(field_reader& reader)
    {
        for (const auto& it : reader.texts_or_empty("hosts")) {
            out_.merged.drains.hosts.emplace_back(it);
        }
        std::size_t n = 0;
        for (const auto& it : reader.texts_or_empty("upstreams")) {
            drain_references_.push_back({0, it, reader.file(), reader.path_of(fmt::format("upstreams[{}]", n++))});
            out_.merged.drains.upstreams.emplace_back(it);
        }
        reader.reject_unknown();
    }

    void add_service(field_reader& reader)
    {
        service out;
        out.name = service_name(unique_name(reader, services_));
        const auto kind = reader.text("kind");
        if (!kind.empty() && kind != "engine" && kind != "plain") {
            reader.problem("kind", "\"engine\" or \"plain\"");
        }
        out.kind = kind == "plain" ? service_kind::plain : service_kind::engine;
        for (const auto& it : reader.texts_or_empty("models")) {
            const auto field = fmt::format("models[{}]", out.models.size());
            model_references_.push_back({0, it, reader.file(), reader.path_of(field)});
            out.models.emplace_back(it);
        }
        out.checks_fencing = reader.flag_or("checks_fencing", false);
        if (out.kind == service_kind::engine) {
            out.engines_per_cell =
                static_cast<int>(reader.number_or("engines_per_cell", cell_range, max_engines_per_cell));
        }
        for_each_item(reader, "upstreams",
                      [&](field_reader& it) { out.upstreams.push_back(read_upstream(it, out.kind)); });
        out_.merged.services.push_back(std::move(out));
    }

    upstream read_upstream(field_reader& reader, service_kind kind)
    {
        upstream out;
        out.id = upstream_id(unique_name(reader, upstreams_, "id"));
        out.address = reader.text("address");
        if (!out.address.empty() && !is_endpoint(out.address)) {
            reader.problem("address", "\"address:port\" with an IP address");
        }
        out.availability_zone = zone_name(reader.text("availability_zone"));
        if (kind == service_kind::engine) {
            out.capacity = {reader.number("capacity_tokens", {1, count_range.highest})};
            out.batch_limit = static_cast<int>(reader.number("batch_limit", {1, batch_range.highest}));
        }
        return out;
    }

    void add_organisation(field_reader& reader)
    {
        organisation out;
        out.id = organisation_id(unique_name(reader, organisations_));
        out.weight = reader.real_or("weight", 0.001, 1e6, 1);
        field_reader limits(reader.object_or_empty("limits"), reader.file(), reader.path_of("limits"), out_.problems);
        out.limits.requests_per_second = limits.real_or("requests_per_second", 0, max_rate, 0);
        out.limits.tokens_per_second = limits.real_or("tokens_per_second", 0, max_rate, 0);
        out.limits.concurrent_urgent = static_cast<int>(limits.number_or("concurrent_urgent", batch_range, 0));
        limits.reject_unknown();
        out.key_hashes = reader.texts_or_empty("key_hashes");
        for (std::size_t i = 0; i < out.key_hashes.size(); ++i) {
            const auto& it = out.key_hashes[i];
            if (it.size() != 64 || it.find_first_not_of("0123456789abcdef") != std::string::npos) {
                reader.problem(fmt::format("key_hashes[{}]", i),
                               "a SHA-256 digest as 64 lower-case hexadecimal digits");
            } else if (!key_hashes_.insert(it).second) {
                reader.problem(fmt::format("key_hashes[{}]", i), "a digest that no other entry has");
            }
        }
        out_.merged.organisations.push_back(std::move(out));
    }

    void add_workload(field_reader& reader)
    {
        workload out;
        out.name = workload_name(unique_name(reader, workloads_));
        const auto class_text = reader.text("class");
        const auto urgency = parse_work_class(class_text);
        if (!class_text.empty() && !urgency) {
            reader.problem("class", "\"urgent\", \"normal\" or \"draft\"");
        }
        out.urgency = urgency.value_or(work_class::normal);
        out.idempotent = reader.flag_or("idempotent", true);
        out.target = service_name(reader.text("service"));
        out.output_limit = {reader.number_or("output_limit_tokens", {1, count_range.highest}, 100'000)};
        out.deadline = milliseconds(reader.number_or("deadline_ms", deadline_range, 0));
        workload_positions_.push_back(
            {out_.merged.workloads.size(), out.name.str(), reader.file(), reader.path_of("service")});
        out_.merged.workloads.push_back(std::move(out));
    }

    void add_model(field_reader& reader)
    {
        model out;
        out.name = model_name(unique_name(reader, models_));
        out.context = {reader.number_or("context_tokens", {1, count_range.highest}, 1'000'000)};
        out_.merged.models.push_back(std::move(out));
    }

    merge_result& out_;
    std::set<std::string> services_;
    std::set<std::string> upstreams_;
    std::set<std::string> organisations_;
    std::set<std::string> key_hashes_;
    std::set<std::string> workloads_;
    std::set<std::string> models_;
    std::vector<field_position> workload_positions_;
    std::vector<field_position> model_references_;
    std::vector<field_position> drain_references_;
};

template <typename Ids>
json id_array(const Ids& ids)
{
    json out = json::array();
    for (const auto& it : ids) {
        out.push_back(it.str());
    }
    return out;
}

json to_json(const upstream& value, service_kind kind)
{
    json out = {
        {"id", value.id.str()}, {"address", value.address}, {"availability_zone", value.availability_zone.str()}};
    if (kind == service_kind::engine) {
        out["capacity_tokens"] = value.capacity.count;
        out["batch_limit"] = value.batch_limit;
    }
    return out;
}

json to_json(const service& value)
{
    json upstreams = json::array();
    for (const auto& it : value.upstreams) {
        upstreams.push_back(to_json(it, value.kind));
    }
    json out = {{"name", value.name.str()},
                {"kind", value.kind == service_kind::engine ? "engine" : "plain"},
                {"models", id_array(value.models)},
                {"checks_fencing", value.checks_fencing},
                {"upstreams", upstreams}};
    // Omitted at the default value, so that digests of folders without this field do not change.
    if (value.engines_per_cell != max_engines_per_cell) {
        out["engines_per_cell"] = value.engines_per_cell;
    }
    return out;
}

json to_json(const organisation& value)
{
    return {{"name", value.id.str()},
            {"weight", value.weight},
            {"limits",
             {{"requests_per_second", value.limits.requests_per_second},
              {"tokens_per_second", value.limits.tokens_per_second},
              {"concurrent_urgent", value.limits.concurrent_urgent}}},
            {"key_hashes", value.key_hashes}};
}

json to_json(const model& value)
{
    return {{"name", value.name.str()}, {"context_tokens", value.context.count}};
}

json to_json(const workload& value)
{
    return {{"name", value.name.str()},
            {"class", to_string(value.urgency)},
            {"idempotent", value.idempotent},
            {"service", value.target.str()},
            {"output_limit_tokens", value.output_limit.count},
            {"deadline_ms", value.deadline.count()}};
}

} // namespace

merge_result merge_files(const config_files& files)
{
    merge_result out;
    file_merger merger(out);
    for (const auto& [name, text] : files) {
        const auto problems_before = out.problems.size();
        const auto root = parse_strict_json(text, name, out.problems);
        if (out.problems.size() == problems_before) {
            merger.merge(root, name);
        }
    }
    merger.check_references();
    return out;
}

merge_result merge_values(const std::map<std::string, const json*>& files)
{
    merge_result out;
    file_merger merger(out);
    for (const auto& [name, value] : files) {
        merger.merge(*value, name);
    }
    merger.check_references();
    return out;
}

merge_result parse_items(const json& value, const std::string& source)
{
    merge_result out;
    file_merger(out).merge(value, source);
    return out;
}

std::vector<document_item> document_items(const document& value)
{
    std::vector<document_item> out;
    for (const auto& it : value.services) {
        out.push_back({"services", it.name.str(), to_json(it)});
    }
    for (const auto& it : value.workloads) {
        out.push_back({"workloads", it.name.str(), to_json(it)});
    }
    for (const auto& it : value.models) {
        out.push_back({"models", it.name.str(), to_json(it)});
    }
    for (const auto& it : value.organisations) {
        out.push_back({"organisations", it.id.str(), to_json(it)});
    }
    return out;
}

json to_json(const drain_list& value)
{
    return {{"hosts", id_array(value.hosts)}, {"upstreams", id_array(value.upstreams)}};
}

json to_json(const document& value)
{
    json out = {{"services", json::array()},
                {"organisations", json::array()},
                {"workloads", json::array()},
                {"models", json::array()},
                {"drains", to_json(value.drains)}};
    for (auto& it : document_items(value)) {
        out[it.section].push_back(std::move(it.value));
    }
    return out;
}

} // namespace anvillead
