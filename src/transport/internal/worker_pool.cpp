#include "transport/worker_pool.h"

#include <csignal>
#include <ctime>

#include <pthread.h>

#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

timer_token asio_timer_service::after(milliseconds delay, std::function<void()> callback)
{
    return add(delay, milliseconds(0), std::move(callback));
}

timer_token asio_timer_service::every(milliseconds period, std::function<void()> callback)
{
    return add(period, period, std::move(callback));
}

timer_token asio_timer_service::add(milliseconds delay, milliseconds period, std::function<void()> callback)
{
    auto value = std::make_shared<entry>(entry{net::steady_timer(context_), std::move(callback), period});
    const std::lock_guard lock(mutex_);
    const timer_token token = ++last_;
    entries_.emplace(token, value);
    arm(token, value, now() + delay);
    return token;
}

void asio_timer_service::arm(timer_token token, const std::shared_ptr<entry>& value, instant at)
{
    value->timer.expires_at(at);
    value->timer.async_wait([this, token, value](const boost::system::error_code& ec) {
        if (!ec) {
            fire(token, value);
        }
    });
}

void asio_timer_service::fire(timer_token token, const std::shared_ptr<entry>& value)
{
    {
        const std::lock_guard lock(mutex_);
        if (entries_.count(token) == 0) {
            return;
        }
        if (value->period.count() == 0) {
            entries_.erase(token);
        }
    }
    value->callback();
    if (value->period.count() == 0) {
        return;
    }
    const std::lock_guard lock(mutex_);
    if (entries_.count(token) != 0) {
        // A late callback does not cause a burst of catch-up calls.
        arm(token, value, std::max(value->timer.expiry() + value->period, now()));
    }
}

void asio_timer_service::cancel(timer_token token)
{
    // Destroyed after the lock is released: the callback may own objects whose destructors use timers.
    std::shared_ptr<entry> removed;
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(token);
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
        implementation_->workers.emplace_back([this] { implementation_->context.run(); });
    }
}

void worker_pool::run()
{
    start();
    // The owner destroys what the workers use once this returns.
    implementation_->join();
}

microseconds worker_pool::processor_time() const
{
    microseconds out{0};
    for (const auto& it : implementation_->workers) {
        clockid_t clock = 0;
        timespec value = {};
        if (pthread_getcpuclockid(const_cast<std::thread&>(it).native_handle(), &clock) == 0 &&
            clock_gettime(clock, &value) == 0) {
            out += std::chrono::duration_cast<microseconds>(seconds(value.tv_sec) +
                                                            std::chrono::nanoseconds(value.tv_nsec));
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
    implementation_->guard.reset();
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
