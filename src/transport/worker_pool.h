#pragma once

#include <functional>
#include <memory>

#include "core/itimer_service.h"

namespace anvillead {

/// Runs tasks one at a time, in the order in which they were posted, on any thread of the pool.
class isequence
{
public:
    virtual ~isequence() = default;
    virtual void post(std::function<void()> task) = 0;
    /// Runs the task immediately if called from a task of this sequence; otherwise posts it.
    virtual void dispatch(std::function<void()> task) = 0;
};

/// Thread pool that runs network I/O, timers and sequences.
class worker_pool
{
public:
    struct implementation;

    explicit worker_pool(unsigned threads);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    std::shared_ptr<isequence> make_sequence();
    itimer_service& timers();
    /// Calls `handler` for each SIGTERM or SIGINT.
    void on_stop_signal(std::function<void()> handler);
    /// Calls `handler` for each SIGHUP. Without a handler SIGHUP terminates the process.
    void on_reload_signal(std::function<void()> handler);
    /// Starts the threads and blocks until stop() is called and all threads have ended.
    void run();
    /// Starts the threads and returns; for processes whose main thread waits on something else.
    void start();
    /// Tells the threads to stop, without waiting for them.
    void stop();
    /// Waits until all threads have ended. Must not be called from one of them.
    void join();
    /// CPU time that the running threads have used.
    microseconds cpu_time() const;

    implementation& internals() { return *implementation_; }

private:
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvillead
