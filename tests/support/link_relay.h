#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/types/ids.h"
#include "transport/ilink.h"

namespace testing {

/// Stands between an agent and the processes that open links to it. Passes all messages and can send a configuration
/// that has passed earlier once more, as an agent with an old state would.
class link_relay
{
public:
    explicit link_relay(const std::string& target);
    ~link_relay();
    link_relay(const link_relay&) = delete;
    link_relay& operator=(const link_relay&) = delete;

    std::string address() const { return server_->address(); }
    /// Number of open links of callers with this role, for example "gateway".
    int open(const std::string& role) const;
    /// Sends the configuration of this generation on the open links of callers with this role.
    void replay(const std::string& role, anvillead::config_generation generation);
    /// Sends it before the next configuration that passes to an agent.
    void replay_before_next(anvillead::config_generation generation) { replay_next_ = generation; }
    /// Number of configurations sent once more.
    int replayed() const { return replayed_; }

private:
    struct caller_link
    {
        anvillead::link_ptr link;
        std::shared_ptr<anvillead::ilink_client> client;
        /// Messages that wait for the link to the target.
        std::vector<std::string> waiting;
    };

    void opened(const anvillead::link_ptr& link);
    void closed(const anvillead::link_ptr& link);
    void to_target(const anvillead::link_ptr& link, std::string payload);
    void to_caller(const anvillead::link_ptr& link, const std::string& payload);
    std::string recorded(anvillead::config_generation generation) const;

    anvillead::worker_pool pool_;
    anvillead::metrics counters_;
    std::string target_;
    mutable std::mutex mutex_;
    std::map<anvillead::link_ptr, caller_link> links_;
    /// Links to the target stay until the pool has stopped, because their last operations refer to them.
    std::vector<std::shared_ptr<anvillead::ilink_client>> clients_;
    std::map<anvillead::config_generation, std::string> recorded_;
    std::atomic<anvillead::config_generation> replay_next_{0};
    std::atomic<int> replayed_{0};
    std::unique_ptr<anvillead::ilink_server> server_;
};

} // namespace testing
