#pragma once

#include <mutex>

namespace anvillead {

/// Lock hierarchy: a thread acquires mutexes only in strictly ascending rank. docs/design.md section 5.8 lists the
/// protected tables.
enum class lock_rank
{
    configuration_parts = 5,
    configuration = 10,
    members = 20,
    grants = 30,
    streams = 40,
    registry = 50,
    claims = 60,
    transport = 70,
    metrics = 80,
    log = 90,
};

/// A mutex that aborts the process when a thread acquires it out of rank order (unless NDEBUG is defined).
class ranked_mutex
{
public:
    explicit ranked_mutex(lock_rank rank) : rank_(rank) {}
    ranked_mutex(const ranked_mutex&) = delete;
    ranked_mutex& operator=(const ranked_mutex&) = delete;

    void lock();
    void unlock();

private:
    std::mutex mutex_;
    lock_rank rank_;
    lock_rank previous_ = {};
};

} // namespace anvillead
