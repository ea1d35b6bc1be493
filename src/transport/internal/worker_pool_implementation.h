#pragma once

#include <map>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "core/ranked_mutex.h"
#include "transport/worker_pool.h"

namespace anvillead {

namespace net = boost::asio;
using strand_type = net::strand<net::io_context::executor_type>;

class asio_sequence : public isequence
{
public:
    explicit asio_sequence(net::io_context& context) : strand(net::make_strand(context)) {}

    void post(std::function<void()> task) override { net::post(strand, std::move(task)); }
    void dispatch(std::function<void()> task) override { net::dispatch(strand, std::move(task)); }

    strand_type strand;
};

class asio_timer_service : public itimer_service
{
public:
    explicit asio_timer_service(net::io_context& context) : context_(context) {}

    instant now() const override { return std::chrono::steady_clock::now(); }
    wall_time wall_now() const override { return std::chrono::system_clock::now(); }
    timer_id after(milliseconds delay, std::function<void()> callback) override;
    timer_id every(milliseconds period, std::function<void()> callback) override;
    void cancel(timer_id id) override;

private:
    struct entry
    {
        net::steady_timer timer;
        std::function<void()> callback;
        milliseconds period{0};
    };

    timer_id add(milliseconds delay, milliseconds period, std::function<void()> callback);
    void start_wait(timer_id id, const std::shared_ptr<entry>& timer_entry, instant expiry_time);
    void run_callback(timer_id id, const std::shared_ptr<entry>& timer_entry);

    net::io_context& context_;
    ranked_mutex mutex_{lock_rank::transport};
    std::map<timer_id, std::shared_ptr<entry>> entries_;
    timer_id last_id_ = 0;
};

struct worker_pool::implementation
{
    explicit implementation(unsigned thread_count)
        : threads(thread_count), context(static_cast<int>(thread_count)), timers(context)
    {}

    void join();
    /// Runs handlers until the pool is stopped.
    void work();

    unsigned threads;
    net::io_context context;
    net::executor_work_guard<net::io_context::executor_type> work_guard = net::make_work_guard(context);
    asio_timer_service timers;
    std::unique_ptr<net::signal_set> signals;
    std::unique_ptr<net::signal_set> reload_signals;
    std::vector<std::thread> workers;
};

/// Parses "address:port". Does not throw: an invalid string gives port 0 on the unspecified address.
net::ip::tcp::endpoint parse_endpoint(const std::string& address);
/// Throws std::system_error "cannot listen on ADDRESS: reason" if `ec` is set.
void check_listening(const boost::system::error_code& ec, const std::string& address);

} // namespace anvillead
