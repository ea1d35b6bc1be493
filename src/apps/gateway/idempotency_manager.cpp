#include "apps/gateway/idempotency_manager.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr milliseconds pruning_period{1000};
// Above the platform's value limit of 1 MB, because a listing contains up to 100 small objects.
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;

} // namespace

idempotency_manager::idempotency_manager(gateway_context& context, const link_options& options, incarnation number)
    : context_(context), codec_(context.settings.common.fleet_keys), self_{context.settings.common.host, number},
      sequence_(context.pool.make_sequence()),
      platform_(context.client, sequence_,
                {context.settings.common.platform, context.settings.claims.platform_timeout, max_answer_bytes},
                context.counters),
      claims_({context.pool, sequence_, platform_, context.counters, codec_, self_}, context.settings.claims),
      registry_(context.pool, options, self_.host, context.settings.claims, context.counters),
      keyed_(context, registry_), forwarder_(context, codec_, self_),
      pruning_(platform_, context.counters, self_.host, context.settings.claims.pruning)
{
    context.claims = &claims_;
    context.keyed = &keyed_;
}

void idempotency_manager::apply_view(const view_ptr& view)
{
    registry_.apply_view(view);
    const auto gateways = std::count_if(view->members.begin(), view->members.end(), [](const member& it) {
        return it.state != member_state::dead && !it.addresses.gateway_link.empty();
    });
    claims_.set_gateways(static_cast<std::size_t>(gateways));
}

void idempotency_manager::start_pruning()
{
    context_.pool.timers().every(pruning_period, [this] {
        sequence_->post([this] { pruning_.tick(context_.pool.timers().wall_now(), *context_.view()); });
    });
}

} // namespace anvillead
