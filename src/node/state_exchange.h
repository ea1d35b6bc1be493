#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "core/types/store_revision.h"
#include "dispatch/evacuation_list.h"
#include "node/node_context.h"

namespace anvillead {

/// A host's copy of the platform's state. The JSON objects are kept as the platform stores them.
struct platform_state
{
    /// One upstream entry and the platform revision in which it was last seen.
    struct upstream_entry
    {
        /// Null for a removed entry.
        nlohmann::json value;
        store_revision revision;
    };

    /// The configuration as JSON text, ready to be handed out; empty before the first one.
    std::string configuration;
    config_generation configuration_version = 0;
    std::map<std::string, upstream_entry> upstreams;
    /// Platform revision of `upstreams`; unset before the first listing.
    store_revision upstream_revision;
    evacuation_state evacuations;
};

/// Versions that the requesting host already has; the update contains only newer parts.
struct state_request
{
    config_generation configuration_version = 0;
    store_revision upstream_revision;
    store_revision evacuation_revision;
};

/// The parts of a host's state that are newer than the versions in a state_request.
struct state_update
{
    /// JSON text; empty when the requesting host has the current one.
    std::string configuration;
    /// Changed entries by name; null for removed ones.
    std::map<std::string, nlohmann::json> upstreams;
    store_revision upstream_revision;
    /// `upstreams` is the complete directory rather than a change set.
    bool whole = false;
    /// Set when it is newer than the requesting host's.
    std::optional<evacuation_state> evacuations;
};

std::string state_request_target(const state_request& request);
/// Returns nothing for a request with another path.
std::optional<state_request> parse_state_request(const http_request& request);

state_update make_update(const platform_state& state, const state_request& request);
std::string encode_update(const state_update& value);
/// Returns nothing when the text is not a valid update.
std::optional<state_update> decode_update(const std::string& text);

/// Fetches updates from another host that reports a newer configuration or directory. Most hosts get all their state
/// this way, because only a few follow the platform. It also keeps a host current that the platform rejects.
class state_puller : public std::enable_shared_from_this<state_puller>
{
public:
    struct hooks
    {
        std::function<state_request()> known_state;
        std::function<void(const state_update&)> on_update;
        /// True when this host follows the platform itself, so that it receives changes at about the same time as its
        /// peers.
        std::function<bool()> platform_connected;
        /// Minimum interval between two pulls, so that one pull fetches several changes in a large fleet.
        std::function<milliseconds()> pull_interval;
    };

    state_puller(node_context& context, std::shared_ptr<isequence> sequence, hooks callbacks);
    /// Starts a pull when a peer is ahead. Called several times a second.
    void pull_if_behind();
    /// A peer has had a newer configuration for longer than `tolerance`.
    bool misses_configuration(milliseconds tolerance) const;
    /// The same for one peer whose report has arrived.
    void on_report(const host_report& report);
    /// Pulls have failed recently, so this host should follow the platform itself.
    bool failed_recently() const;

private:
    static bool is_newer(const host_report& report, const state_request& known);
    const host_report* newer_peer() const;
    void pull(const host_report& peer);
    void update_configuration_lag();
    /// For how long a peer has had a newer configuration, in milliseconds for the log.
    std::string configuration_lag() const;

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    hooks hooks_;
    /// Time since which a peer is ahead; unset while none is.
    instant behind_since_{};
    /// Time since which a peer has a newer configuration; unset while none has.
    instant configuration_behind_since_{};
    instant last_pull_{};
    instant failed_at_{};
    /// Consecutive failed pulls, and the host from which the last one failed.
    int failures_ = 0;
    host_id failed_host_;
    bool pulling_ = false;
};

} // namespace anvillead
