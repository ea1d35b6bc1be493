#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "node/node_context.h"
#include "quarantine/types/crash_evidence.h"

namespace anvillead {

/// Finds out why connections to upstreams were lost while requests were open. An upstream that has crashed refuses
/// connections or has started again; one that runs on lost only the connection.
class crash_detector : public std::enable_shared_from_this<crash_detector>
{
public:
    crash_detector(node_context& context, std::shared_ptr<isequence> sequence);

    /// Sets the hook that is called once for each crash, within milliseconds.
    void on_crash(std::function<void(crash_record)> hook) { on_crash_ = std::move(hook); }
    /// A request was sent to the upstream and its connection was lost: a plain call, or a generation without output.
    /// `traits` are logged.
    void check(const upstream_record& engine, const request_id& request, const request_traits& traits,
               crash_suspect suspect);

private:
    /// A check in progress; generations that end meanwhile are added to it.
    struct pending_check
    {
        instant at{};
        std::vector<crash_suspect> suspects;
    };

    void check_ended(const upstream_record& engine, const http_call_result& end, const http_response& answer);
    /// Whether the engine is known to leave, so that its end is no crash.
    bool is_leaving(const upstream_id& engine) const;

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    std::function<void(crash_record)> on_crash_;
    std::map<upstream_id, pending_check> checks_;
};

} // namespace anvillead
