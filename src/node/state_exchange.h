#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "node/node_context.h"

namespace anvillead {

/// What a host knows from the platform. The objects are as the platform holds them.
struct platform_state
{
    /// One upstream entry and the platform revision that showed it.
    struct upstream_entry
    {
        /// Null for an entry that was removed.
        nlohmann::json value;
        std::uint64_t revision = 0;
    };

    /// Null while none is known.
    nlohmann::json configuration;
    config_generation configuration_version = 0;
    std::map<std::string, upstream_entry> upstreams;
    /// Platform revision that `upstreams` has reached; 0 before the first listing.
    std::uint64_t upstream_revision = 0;
};

/// What another host has already: it gets only what is newer.
struct state_question
{
    config_generation configuration_version = 0;
    std::uint64_t upstream_revision = 0;
};

/// Part of a host's state that is newer than what was asked from.
struct state_update
{
    /// Null when the asking host has it.
    nlohmann::json configuration;
    /// Changed entries; null for removed ones.
    std::map<std::string, nlohmann::json> upstreams;
    std::uint64_t upstream_revision = 0;
    /// `upstreams` is the whole directory.
    bool whole = false;
};

std::string state_target(const state_question& question);
/// Nothing when the request asks something else.
std::optional<state_question> read_state_question(const http_request& request);

state_update make_update(const platform_state& state, const state_question& question);
std::string encode_update(const state_update& value);
/// Nothing for a text that is no update.
std::optional<state_update> decode_update(const std::string& text);

/// Fetches news from another host that reports a newer configuration or directory. Most hosts learn everything this
/// way: a few follow the platform for all, and a host that the platform turns away stays current.
class state_puller : public std::enable_shared_from_this<state_puller>
{
public:
    struct hooks
    {
        std::function<state_question()> known;
        std::function<void(const state_update&)> on_update;
        /// This host follows the platform itself, so news arrives there at about the same time.
        std::function<bool()> platform_connected;
    };

    state_puller(node_context& context, std::shared_ptr<isequence> sequence, hooks reactions);
    /// Called several times a second and with each report of another host.
    void check();
    /// A host that reported news could not be reached lately, so this host should follow the platform itself.
    bool failed_lately() const;

private:
    const host_report* newer_peer() const;
    void pull(const host_report& peer);

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    hooks hooks_;
    /// Since when a peer has been ahead; unset while none is.
    instant behind_since_{};
    instant failed_at_{};
    bool failed_ = false;
    bool pulling_ = false;
};

} // namespace anvillead
