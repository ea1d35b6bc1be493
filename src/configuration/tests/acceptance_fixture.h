#pragma once

#include <deque>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

#include "configuration/acceptance.h"

namespace anvillead {

/// Simulated object store with versions, conditional updates, outages and responses that are lost after the write.
class fake_object_store
{
public:
    result<std::uint64_t> put(const std::string& name, nlohmann::json value, std::uint64_t if_version)
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        if (version(name) != if_version) {
            return make_error(error_kind::conflict, "another version");
        }
        if (value.dump().size() > 1024 * 1024) {
            return make_error(error_kind::invalid_request, "oversized value");
        }
        objects[name] = {name, ++last_, std::move(value)};
        if (name.rfind(config_prefix, 0) == 0) {
            revision = last_;
        }
        ++writes;
        if (lose_answers > 0) {
            --lose_answers;
            return make_error(error_kind::platform_unavailable, "lost");
        }
        return last_;
    }

    result<void> remove(const std::string& name, std::uint64_t if_version)
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        if (if_version == 0 || version(name) != if_version) {
            return make_error(error_kind::conflict, "another version");
        }
        objects.erase(name);
        return success();
    }

    void set_file(const std::string& name, const std::string& text)
    {
        (void)put(config_prefix + name, nlohmann::json::parse(text), version(config_prefix + name));
    }

    std::uint64_t version(const std::string& name) const
    {
        const auto it = objects.find(name);
        return it == objects.end() ? 0 : it->second.version;
    }

    result<platform_listing> list(const std::string& prefix = config_prefix) const
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        platform_listing out{revision, {}};
        for (const auto& [name, it] : objects) {
            if (name.rfind(prefix, 0) == 0) {
                out.objects.push_back(it);
            }
        }
        return out;
    }

    result<platform_object> get(const std::string& name) const
    {
        if (outage) {
            return make_error(error_kind::platform_unavailable, "down");
        }
        const auto it = objects.find(name);
        if (it == objects.end()) {
            return make_error(error_kind::not_found, "none");
        }
        return it->second;
    }

    std::map<std::string, platform_object> objects;
    std::uint64_t revision = 0;
    bool outage = false;
    int lose_answers = 0;
    int writes = 0;

private:
    std::uint64_t last_ = 0;
};

/// A simulated agent that executes one action at a time, so that tests control the interleaving of agents.
class fake_agent
{
public:
    fake_agent(fake_object_store& platform, std::size_t rank, part_garbage_limits garbage_limits = {})
        : platform_(platform),
          core("agent-" + std::to_string(rank), milliseconds(500), garbage_limits), role{true, rank}
    {}

    void tick(instant now) { add(core.on_tick(now, 86'400'000, role)); }
    bool busy() const { return !actions.empty(); }

    void execute_next(instant now)
    {
        const auto action = actions.front();
        actions.pop_front();
        if (std::holds_alternative<list_collection>(action)) {
            ++listings;
            add(core.on_listing(now, platform_.list()));
        } else if (std::holds_alternative<watch_collection>(action)) {
            const auto listing = platform_.list();
            add(core.on_watch(now, listing ? result<std::uint64_t>(listing.value().revision) : listing.error()));
        } else if (std::holds_alternative<read_accepted>(action)) {
            add(core.on_accepted(now, platform_.get(accepted_object)));
        } else if (const auto* read = std::get_if<read_part>(&action)) {
            add(core.on_part_read(now, *read, platform_.get(parts_prefix + read->digest)));
        } else if (const auto* part = std::get_if<write_part>(&action)) {
            const auto name = parts_prefix + part->part->digest;
            const auto value = nlohmann::json::parse(part->part->text);
            add(core.on_part_written(now, *part, platform_.put(name, value, part->if_version)));
        } else if (const auto* unused = std::get_if<remove_part>(&action)) {
            add(core.on_part_removed(now, *unused,
                                     platform_.remove(parts_prefix + unused->part.digest, unused->part.version)));
        } else if (std::holds_alternative<list_parts>(action)) {
            add(core.on_parts_listed(now, platform_.list(parts_prefix)));
        } else if (const auto* write = std::get_if<write_accepted>(&action)) {
            add(core.on_written(now, platform_.put(accepted_object, to_json(write->value), write->if_version)));
        } else if (const auto* apply = std::get_if<apply_configuration>(&action)) {
            // A lower or equal generation must never be applied.
            CHECK(apply->value.generation > applied);
            applied = apply->value.generation;
        } else if (const auto* status = std::get_if<write_status>(&action)) {
            (void)platform_.put(status_object, status->value, platform_.version(status_object));
        } else if (const auto* audit = std::get_if<write_audit>(&action)) {
            (void)platform_.put(audit->name, audit->value, 0);
        }
    }

    void add(const acceptance_actions& more) { actions.insert(actions.end(), more.begin(), more.end()); }

private:
    fake_object_store& platform_;

public:
    acceptance core;
    acceptor_role role;
    std::deque<acceptance_action> actions;
    config_generation applied = 0;
    int listings = 0;
};

} // namespace anvillead
