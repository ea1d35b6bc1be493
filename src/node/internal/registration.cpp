#include "node/registration.h"

#include "core/log.h"

namespace anvillead {

namespace {

// The registered hosts are needed only when no seed answers; reports name the remaining hosts.
constexpr milliseconds read_period{20'000};
// Shorter read period while no other host is known.
constexpr milliseconds isolated_read_period{2000};
constexpr milliseconds write_retry_delay{2000};

} // namespace

void registration::start()
{
    write();
    read();
}

void registration::write()
{
    const nlohmann::json value = {{"report", context_.settings.report}};
    hosts_.put(context_.settings.host.str(), value, [self = shared_from_this()](const result<void>& written) {
        if (written) {
            return;
        }
        log(log_level::warning, log_event::registration_failed, {{"problem", written.error().message}});
        self->context_.timers.after(write_retry_delay, [self] { self->write(); });
    });
}

void registration::read()
{
    hosts_.list({}, read_freshness::stale, [self = shared_from_this()](const result<collection_page>& page) {
        if (page) {
            for (const auto& it : page.value().items) {
                if (it.value.is_object() && it.value.contains("report") && it.value["report"].is_string()) {
                    self->context_.peers.add_contact(self->context_.timers.now(),
                                                     it.value["report"].get<std::string>());
                }
            }
        }
        self->schedule_read(self->context_.peers.live().empty() ? isolated_read_period : read_period);
    });
}

void registration::schedule_read(milliseconds delay)
{
    context_.timers.after(delay, [self = shared_from_this()] { self->read(); });
}

} // namespace anvillead
