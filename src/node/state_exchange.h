#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "node/node_context.h"

namespace anvillead {

/// What a host knows from the platform, as text for other hosts. The objects are as the platform holds them.
struct platform_state
{
    /// Null while none is known.
    nlohmann::json configuration;
    /// Upstream entries by name.
    nlohmann::json upstreams = nlohmann::json::object();
    /// Platform revision of `upstreams`.
    std::uint64_t upstream_revision = 0;
};

std::string encode_state(const platform_state& value);
/// Nothing for a text that is no state.
std::optional<platform_state> decode_state(const std::string& text);

/// Fetches the state of another host when that host reports a newer configuration or view of the upstreams for longer
/// than the platform's own notification takes. This is how a host that the platform turns away stays current.
class state_puller : public std::enable_shared_from_this<state_puller>
{
public:
    struct hooks
    {
        std::function<config_generation()> configuration;
        std::function<std::uint64_t()> upstream_revision;
        std::function<void(const platform_state&)> on_state;
        /// The platform itself brings the news to this host.
        std::function<bool()> platform_connected;
    };

    state_puller(node_context& context, std::shared_ptr<isequence> sequence, hooks reactions);
    /// Called several times a second.
    void check();

private:
    const host_report* newer_peer() const;
    void pull(const host_report& peer);

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    hooks hooks_;
    /// Since when a peer has been ahead; unset while none is.
    instant behind_since_{};
    bool pulling_ = false;
};

} // namespace anvillead
