#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "node/node_context.h"
#include "quarantine/types/crash_evidence.h"

namespace anvillead {

/// The process of an upstream that took a request.
struct upstream_process
{
    /// The upstream as it was known when the request was sent. The process may be a later one than `record` tells of.
    upstream_record record;
    /// Wall-clock start in milliseconds as the process has stated it while it held the connection of the request; zero
    /// if that is not known.
    std::int64_t stated_start_ms = 0;
};

/// Finds out why connections to upstreams were lost while requests were open. An upstream that has crashed refuses
/// connections or has started again; one that runs on lost only the connection.
class crash_detector : public std::enable_shared_from_this<crash_detector>
{
public:
    using done_hook = std::function<void(bool crashed)>;
    using start_hook = std::function<void(std::int64_t started_at_ms)>;

    crash_detector(node_context& context, std::shared_ptr<isequence> sequence);

    /// Sets the hook that is called once for each crash, within milliseconds.
    void on_crash(std::function<void(crash_record)> hook) { on_crash_ = std::move(hook); }
    /// A request was sent to the upstream and its connection was lost: a plain call, or a generation that had just
    /// begun. `done` is called exactly once, usually within milliseconds, and after the hook for the crash. A process
    /// that has started again counts as crashed only where its start was known, as the request may have been sent to
    /// the later process.
    void check(const upstream_process& process, const request_id& request, crash_suspect suspect, done_hook done = {});

    /// An answer without framing ended in order, which shows that it is whole only if its process has not crashed.
    /// `done` is called exactly once, usually within milliseconds.
    void confirm_end(const upstream_process& process, done_hook done);

    /// Finds out the start of the process that holds the connection of a request, for `confirm_end`: the listed start
    /// may be that of the process before. `done` is called at most once, with the start that the upstream has stated
    /// since `sent_at`. It is the one looked for if the connection is still open then.
    void identify(const upstream_record& upstream, instant sent_at, start_hook done);

    /// Remembers whether an answer of the upstream had framing.
    void record_framing(const upstream_id& upstream, bool framed);
    /// Whether the last answer of the upstream had no framing.
    bool answers_without_framing(const upstream_id& upstream) const;

private:
    struct open_request
    {
        upstream_process process;
        /// Unset if the end of an answer is to be confirmed.
        std::optional<crash_suspect> suspect;
        done_hook done;
    };

    /// A check in progress; requests that end meanwhile are added to it.
    struct pending_check
    {
        upstream_record upstream;
        instant at{};
        std::vector<open_request> requests;
        std::vector<start_hook> starts;
        /// What a further check has to tell, because it came after this one was sent.
        std::vector<open_request> next;
        std::vector<start_hook> next_starts;
        int attempts = 0;
    };

    /// What an upstream has shown in its answers.
    struct observation
    {
        /// When the last report that it answered was asked for, and the start that it stated; zero if none.
        instant asked_at{};
        std::int64_t started_at_ms = 0;
        bool framed = true;
    };

    /// Returns the check of the upstream, which is started if none is in progress.
    pending_check& start_check(const upstream_record& upstream);
    void ask(const upstream_id& upstream);
    void check_ended(const upstream_id& upstream, const http_call_result& end, const http_response& answer);
    /// The observation of the upstream. Forgets those of upstreams that are not known any more.
    observation& observe(const upstream_id& upstream);
    /// Whether the upstream is known to leave, so that its end is no crash.
    bool is_leaving(const upstream_id& upstream) const;

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    std::function<void(crash_record)> on_crash_;
    std::map<upstream_id, pending_check> checks_;
    std::map<upstream_id, observation> observations_;
};

} // namespace anvillead
