#pragma once

#include <functional>
#include <memory>

#include "core/itimer_service.h"

namespace anvillead {

/// Runs tasks one at a time in the order in which they were posted.
class isequence
{
public:
    virtual ~isequence() = default;
    virtual void post(std::function<void()> task) = 0;
    /// Runs the task at once when called from inside this sequence, otherwise posts it.
    virtual void dispatch(std::function<void()> task) = 0;
};

/// Threads that run the transport's I/O, timers and sequences.
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
    /// Calls `handler` for each SIGHUP. Without it the signal ends the process.
    void on_reload_signal(std::function<void()> handler);
    /// Runs until stop() is called; all workers have ended on return.
    void run();
    /// Starts the workers and returns; used by clients that wait on something else.
    void start();
    /// Stops the workers without waiting for them.
    void stop();
    /// Waits until the workers have ended; not to be called from one of them.
    void join();
    /// Processor time that the running workers have used.
    microseconds processor_time() const;

    implementation& internals() { return *implementation_; }

private:
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvillead
