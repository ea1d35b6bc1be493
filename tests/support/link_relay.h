#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/types/ids.h"
#include "transport/ilink.h"

namespace testing {

/// Relay between an agent and the processes that open links to it. Forwards all messages, and can resend an earlier
/// configuration, as an agent with stale state would.
class link_relay
{
public:
    explicit link_relay(const std::string& target);
    ~link_relay();
    link_relay(const link_relay&) = delete;
    link_relay& operator=(const link_relay&) = delete;

    std::string address() const { return server_->address(); }
    /// Returns the number of open links from processes with this role, for example "gateway".
    int open(const std::string& role) const;
    /// Resends the configuration of this generation on the open links of processes with this role.
    void replay(const std::string& role, anvillead::config_generation generation);
    /// Resends the configuration of this generation before the next configuration that is forwarded to an agent.
    void resend_before_next(anvillead::config_generation generation) { replay_next_ = generation; }
    /// Returns the number of resent configurations.
    int replayed() const { return replayed_; }

private:
    struct client_link
    {
        anvillead::link_ptr link;
        std::shared_ptr<anvillead::ilink_client> client;
        /// Messages queued until the link to the target is open.
        std::vector<std::string> waiting;
    };

    void on_link_open(const anvillead::link_ptr& link);
    void on_link_closed(const anvillead::link_ptr& link);
    void forward_to_target(const anvillead::link_ptr& link, std::string payload);
    void forward_to_client(const anvillead::link_ptr& link, const std::string& payload);
    std::string recorded(anvillead::config_generation generation) const;

    anvillead::worker_pool pool_;
    anvillead::metrics counters_;
    std::string target_;
    mutable std::mutex mutex_;
    std::map<anvillead::link_ptr, client_link> links_;
    /// Links to the target are kept until the pool has stopped, because pending operations refer to them.
    std::vector<std::shared_ptr<anvillead::ilink_client>> clients_;
    std::map<anvillead::config_generation, std::string> recorded_;
    std::atomic<anvillead::config_generation> replay_next_{0};
    std::atomic<int> replayed_{0};
    std::unique_ptr<anvillead::ilink_server> server_;
};

} // namespace testing
