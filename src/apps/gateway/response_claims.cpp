#include "apps/gateway/keyed_requests.h"
#include "core/log.h"

// The parts of response_stream that deal with idempotency keys.

namespace anvillead {

void response_stream::attach(const response_location& location, const std::string& address, bool wants_stream)
{
    wants_stream_ = wants_stream;
    resume(location, address, -1);
}

void response_stream::act(const write_claim& action)
{
    location_.engine = action.engine;
    location_.generation = action.generation;
    const auto self = shared_from_this();
    ticket_ = context_.claims->claim(context_.keyed->claim_for(request_, location_), [self](claim_result answer) {
        self->sequence_->post([self, answer = std::move(answer)] { self->claim_answered(answer); });
    });
}

void response_stream::claim_answered(const claim_result& answer)
{
    if (!ticket_) {
        // The claim is being withdrawn.
        return;
    }
    claim_answer out;
    switch (answer.value) {
    case claim_result::verdict::claimed:
        break;
    case claim_result::verdict::taken:
        out = {claim_answer::verdict::taken,
               make_error(error_kind::run_elsewhere, "the key was used before and its run cannot be reached")};
        on_lost_ = context_.keyed->attach_instead(request_, view_, exchange_, answer.existing);
        break;
    case claim_result::verdict::free:
    case claim_result::verdict::refused:
        out = {claim_answer::verdict::unavailable, answer.reason};
        break;
    }
    carry_out(flow_->on_claim(context_.pool.timers().now(), out));
}

void response_stream::act(const withdraw_claim&)
{
    const auto self = shared_from_this();
    context_.claims->withdraw(*std::exchange(ticket_, std::nullopt), [self](const result<void>& answer) {
        self->sequence_->post([self, answer] {
            claim_answer out{claim_answer::verdict::withdrawn, {}};
            if (answer) {
                log(log_level::info, log_event::claim_withdrawn, {{"request", self->id_.str()}});
            } else {
                out = {claim_answer::verdict::unavailable, answer.error()};
            }
            self->carry_out(self->flow_->on_claim(self->context_.pool.timers().now(), out));
        });
    });
}

bool response_stream::handed_over(error& reason)
{
    const bool nothing_sent = caller_present_ && flow_->sequencer().last() < 0;
    return nothing_sent && on_lost_ && on_lost_(reason, head_sent_);
}

void response_stream::release_claim()
{
    if (ticket_) {
        context_.claims->release(*ticket_);
        ticket_.reset();
    }
}

} // namespace anvillead
