#include "apps/gateway/keyed_requests.h"
#include "core/log.h"

// Idempotency key handling of response_stream.

namespace anvillead {

void response_stream::attach(const response_location& location, const std::string& address, bool wants_stream)
{
    wants_stream_ = wants_stream;
    resume(location, address, -1);
}

void response_stream::execute(const write_claim& action)
{
    location_.engine = action.engine;
    location_.generation = action.generation;
    const auto self = shared_from_this();
    ticket_ =
        context_.claims->claim(context_.keyed->make_claim_request(request_, location_), [self](claim_result answer) {
            self->sequence_->post([self, answer = std::move(answer)] { self->on_claim_result(answer); });
        });
}

void response_stream::on_claim_result(const claim_result& answer)
{
    if (!ticket_) {
        // The claim is already being withdrawn.
        return;
    }
    claim_answer out;
    switch (answer.value) {
    case claim_result::verdict::claimed:
        break;
    case claim_result::verdict::taken:
        out = {claim_answer::verdict::taken,
               make_error(error_kind::run_elsewhere,
                          "the idempotency key was used before and its response cannot be reached")};
        failure_handler_ = context_.keyed->make_attach_handler(request_, view_, exchange_, answer.existing);
        break;
    case claim_result::verdict::free:
    case claim_result::verdict::refused:
        out = {claim_answer::verdict::unavailable, answer.reason};
        break;
    }
    carry_out(flow_->on_claim(context_.pool.timers().now(), out));
}

void response_stream::execute(const withdraw_claim&)
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

bool response_stream::hand_over_exchange(error& reason)
{
    const bool nothing_sent = caller_present_ && flow_->sequencer().last() < 0;
    return nothing_sent && failure_handler_ && failure_handler_(reason, head_sent_);
}

void response_stream::release_claim()
{
    if (ticket_) {
        context_.claims->release(*ticket_);
        ticket_.reset();
    }
}

} // namespace anvillead
