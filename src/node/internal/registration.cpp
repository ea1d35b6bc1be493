#include "node/registration.h"

#include <fmt/format.h>

#include "core/json_slices.h"
#include "core/log.h"

namespace anvillead {

namespace {

// Time in which a host that has started hears from the seeds, and is counted by others.
constexpr milliseconds seed_answer_time{400};
constexpr milliseconds check_period{1000};
// The registered hosts are needed only when no seed answers, and to find the other part of a fleet that was divided.
constexpr milliseconds read_period{20'000};
// Shorter read period while no other host is known.
constexpr milliseconds isolated_read_period{2000};
// Random share of each period, so that hosts that start at the same time do not read at the same time.
constexpr double jitter_share = 0.5;
constexpr milliseconds write_retry_delay{2000};
// Pages of registered hosts that are read at a time. Other programs may have written entries between them.
constexpr int max_pages = 16;
// Longer than any IP address with its port.
constexpr std::size_t max_address_bytes = 64;
// The text of such an address, if each of its bytes is written as an escape.
constexpr std::size_t max_address_text_bytes = 6 * max_address_bytes + 2;
constexpr const char* address_field = "report";
// Time over which hosts write their entries again after the store has lost them.
constexpr milliseconds rewrite_spread{4000};

} // namespace

std::string registration::select_entry(const std::string& /*name*/, std::string_view value)
{
    const auto address = json_member(value, address_field);
    return address.empty() || address.size() > max_address_text_bytes
               ? std::string()
               : fmt::format("{{\"{}\":{}}}", address_field, address);
}

void registration::start()
{
    next_read_ = context_.timers.now() + read_period;
    context_.timers.after(seed_answer_time, [self = shared_from_this()] { self->check(); });
}

void registration::check()
{
    const bool alone = isolated();
    const bool needed = alone || is_needed_();
    if (needed && !written_ && !writing_) {
        write();
    }
    const auto now = context_.timers.now();
    const auto read_at = alone ? next_read_ - (read_period - isolated_read_period) : next_read_;
    if (needed && (now >= read_at || (alone && !read_once_))) {
        const double part = jitter_share * std::uniform_real_distribution<double>(0, 1)(random_);
        next_read_ = now + milliseconds(static_cast<std::int64_t>(read_period.count() * (1 - part)));
        read_once_ = true;
        read({}, max_pages);
    }
    context_.timers.after(check_period, [self = shared_from_this()] { self->check(); });
}

void registration::on_entry_lost()
{
    const double part = std::uniform_real_distribution<double>(0, 1)(random_);
    const milliseconds delay(static_cast<std::int64_t>(rewrite_spread.count() * part));
    context_.timers.after(delay, [self = shared_from_this()] { self->written_ = false; });
}

void registration::write()
{
    writing_ = true;
    const nlohmann::json value = {{address_field, context_.settings.report}};
    hosts_.put(context_.settings.host.str(), value, [self = shared_from_this()](const result<void>& written) {
        if (written) {
            self->written_ = true;
            self->writing_ = false;
            return;
        }
        log(log_level::warning, log_event::registration_failed, {{"problem", written.error().message}});
        self->context_.timers.after(write_retry_delay, [self] { self->writing_ = false; });
    });
}

void registration::read(const std::string& after, int pages)
{
    hosts_.list(after, read_freshness::stale, [self = shared_from_this(), pages](const result<collection_page>& page) {
        if (!page) {
            log(log_level::info, log_event::registration_failed, {{"problem", page.error().message}});
            return;
        }
        for (const auto& it : page.value().items) {
            self->add_contact(it.value);
        }
        const auto& next = page.value().continue_after;
        if (!next.empty() && pages > 1) {
            self->read(next, pages - 1);
        } else if (!next.empty()) {
            log(log_level::warning, log_event::registration_failed,
                {{"problem", "the list of hosts is too long; its end was not read"}});
        }
    });
}

void registration::add_contact(const nlohmann::json& entry)
{
    if (!entry.is_object() || !entry.contains(address_field) || !entry[address_field].is_string()) {
        return;
    }
    if (auto address = entry[address_field].get<std::string>(); address.size() <= max_address_bytes) {
        context_.peers.add_contact(context_.timers.now(), address);
    }
}

} // namespace anvillead
