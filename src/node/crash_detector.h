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
    using done_hook = std::function<void(bool crashed)>;

    crash_detector(node_context& context, std::shared_ptr<isequence> sequence);

    /// Sets the hook that is called once for each crash, within milliseconds.
    void on_crash(std::function<void(crash_record)> hook) { on_crash_ = std::move(hook); }
    /// A request was sent to the upstream and its connection was lost: a plain call, or a generation that had just
    /// begun. `done` is called exactly once, usually within milliseconds, and after the hook for the crash.
    void check(const upstream_record& upstream, const request_id& request, crash_suspect suspect, done_hook done = {});

    /// An answer without framing ended in order, which shows that it is whole only if its upstream has not crashed.
    /// `done` is called exactly once, usually within milliseconds.
    void confirm_end(const upstream_record& upstream, done_hook done);

private:
    /// A check in progress; requests that end meanwhile are added to it.
    struct pending_check
    {
        instant at{};
        std::vector<crash_suspect> suspects;
        std::vector<done_hook> done;
        /// What a further check has to tell, because it came after this one was sent.
        std::vector<done_hook> next;
        int attempts = 0;
    };

    /// Returns the check of the upstream, which is started if none is in progress.
    pending_check& start_check(const upstream_record& upstream);
    void ask(const upstream_record& upstream);
    void check_ended(const upstream_record& upstream, const http_call_result& end, const http_response& answer);
    /// Whether the upstream is known to leave, so that its end is no crash.
    bool is_leaving(const upstream_id& upstream) const;

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    std::function<void(crash_record)> on_crash_;
    std::map<upstream_id, pending_check> checks_;
};

} // namespace anvillead
