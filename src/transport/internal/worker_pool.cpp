#include "transport/worker_pool.h"

#include <csignal>
#include <ctime>

#include <pthread.h>

#include "core/log.h"
#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

timer_id asio_timer_service::after(milliseconds delay, std::function<void()> callback)
{
    return add(delay, milliseconds(0), std::move(callback));
}

timer_id asio_timer_service::every(milliseconds period, std::function<void()> callback)
{
    return add(period, period, std::move(callback));
}

timer_id asio_timer_service::add(milliseconds delay, milliseconds period, std::function<void()> callback)
{
    auto timer_entry = std::make_shared<entry>(entry{net::steady_timer(context_), std::move(callback), period});
    const std::lock_guard lock(mutex_);
    const timer_id id = ++last_id_;
    entries_.emplace(id, timer_entry);
    start_wait(id, timer_entry, now() + delay);
    return id;
}

void asio_timer_service::start_wait(timer_id id, const std::shared_ptr<entry>& timer_entry, instant expiry_time)
{
    timer_entry->timer.expires_at(expiry_time);
    timer_entry->timer.async_wait([this, id, timer_entry](const boost::system::error_code& ec) {
        if (!ec) {
            run_callback(id, timer_entry);
        }
    });
}

void asio_timer_service::run_callback(timer_id id, const std::shared_ptr<entry>& timer_entry)
{
    {
        const std::lock_guard lock(mutex_);
        if (entries_.count(id) == 0) {
            return;
        }
        if (timer_entry->period.count() == 0) {
            entries_.erase(id);
        }
    }
    timer_entry->callback();
    if (timer_entry->period.count() == 0) {
        return;
    }
    const std::lock_guard lock(mutex_);
    if (entries_.count(id) != 0) {
        // If the callback ran late, the missed periods are skipped instead of being run in a burst.
        start_wait(id, timer_entry, std::max(timer_entry->timer.expiry() + timer_entry->period, now()));
    }
}

void asio_timer_service::cancel(timer_id id)
{
    // Declared before the lock so that the entry is destroyed after it is released: the callback may own objects whose
    // destructors use timers.
    std::shared_ptr<entry> removed;
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        return;
    }
    removed = it->second;
    removed->timer.cancel();
    entries_.erase(it);
}

worker_pool::worker_pool(unsigned threads) : implementation_(std::make_unique<implementation>(threads)) {}

worker_pool::~worker_pool()
{
    stop();
    join();
}

void worker_pool::join()
{
    implementation_->join();
}

std::shared_ptr<isequence> worker_pool::make_sequence()
{
    return std::make_shared<asio_sequence>(implementation_->context);
}

itimer_service& worker_pool::timers()
{
    return implementation_->timers;
}

void worker_pool::on_stop_signal(std::function<void()> handler)
{
    auto& signals = implementation_->signals;
    if (!signals) {
        signals = std::make_unique<net::signal_set>(implementation_->context, SIGTERM, SIGINT);
    }
    signals->async_wait([this, handler](const boost::system::error_code& ec, int) {
        if (ec) {
            return;
        }
        on_stop_signal(handler);
        handler();
    });
}

void worker_pool::on_reload_signal(std::function<void()> handler)
{
    auto& signals = implementation_->reload_signals;
    if (!signals) {
        signals = std::make_unique<net::signal_set>(implementation_->context, SIGHUP);
    }
    signals->async_wait([this, handler](const boost::system::error_code& ec, int) {
        if (ec) {
            return;
        }
        on_reload_signal(handler);
        handler();
    });
}

void worker_pool::start()
{
    for (unsigned i = 0; i < implementation_->threads; ++i) {
        implementation_->workers.emplace_back([this] { implementation_->work(); });
    }
}

void worker_pool::implementation::work()
{
    while (!context.stopped()) {
        try {
            context.run();
            return;
        } catch (const std::exception& problem) {
            // A defect in one handler must not end the process and with it all other requests. The request that the
            // handler belongs to ends by its deadline.
            log(log_level::error, log_event::handler_failed, {{"problem", problem.what()}});
        }
    }
}

void worker_pool::run()
{
    start();
    // Once this returns, the owner may destroy objects that the threads use.
    implementation_->join();
}

microseconds worker_pool::cpu_time() const
{
    microseconds out{0};
    for (const auto& it : implementation_->workers) {
        clockid_t clock = 0;
        timespec used = {};
        if (pthread_getcpuclockid(const_cast<std::thread&>(it).native_handle(), &clock) == 0 &&
            clock_gettime(clock, &used) == 0) {
            out +=
                std::chrono::duration_cast<microseconds>(seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
        }
    }
    return out;
}

void worker_pool::implementation::join()
{
    for (auto& it : workers) {
        it.join();
    }
    workers.clear();
}

void worker_pool::stop()
{
    implementation_->work_guard.reset();
    implementation_->context.stop();
}

net::ip::tcp::endpoint parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    boost::system::error_code ec;
    const auto ip = net::ip::make_address(address.substr(0, colon), ec);
    const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    if (ec || port > UINT16_MAX) {
        return {};
    }
    return {ip, static_cast<std::uint16_t>(port)};
}

void check_listening(const boost::system::error_code& ec, const std::string& address)
{
    if (ec) {
        throw std::system_error(ec, "cannot listen on " + address);
    }
}

} // namespace anvillead
