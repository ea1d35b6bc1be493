#include "standins/service/service_server.h"

#include "core/bounded_json.h"

namespace standin {

namespace {

using namespace anvillead;
using nlohmann::json;

} // namespace

service_server::service_server(worker_pool& pool, const standin_options& options)
    : pool_(pool), sequence_(pool.make_sequence())
{
    control(options.control);
    server_ = make_http_server(
        pool, {options.listen, {}},
        [this](const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange) {
            sequence_->post([this, request, exchange] { handle(request, exchange); });
        },
        counters_);
}

void service_server::handle(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto answer = [exchange](const json& body) {
        exchange->sequence()->post([exchange, body] { reply_json(*exchange, 200, body); });
    };
    const auto path = request.path();
    if (path == "/load") {
        answer({{"running", outstanding_}, {"leaving", leaving_}});
        return;
    }
    if (path == "/ran") {
        answer({{"ran", executed_}});
        return;
    }
    if (path == "/control") {
        control(parse_bounded_json(request.body).value_or(json::object()));
        answer(json::object());
        return;
    }
    executed_.push_back({{"method", request.method}, {"target", request.target}, {"body", request.body}});
    if (log_ran_) {
        announce_ran(executed_.back());
    }
    const auto number = executed_.size();
    const bool lose = lose_answers_ > 0 && lose_answers_-- > 0;
    ++outstanding_;
    pool_.timers().after(delay_, [this, exchange, answer, number, lose, body = request.body] {
        sequence_->post([this, exchange, answer, number, lose, body] {
            --outstanding_;
            if (lose) {
                exchange->sequence()->post([exchange] { exchange->abort(); });
                return;
            }
            answer({{"number", number}, {"body", body}});
        });
    });
}

void service_server::control(const json& value)
{
    delay_ = milliseconds(value.value("delay_ms", delay_.count()));
    lose_answers_ = value.value("lose_answers", lose_answers_);
    leaving_ = value.value("leaving", leaving_);
    log_ran_ = value.value("log_ran", log_ran_);
}

} // namespace standin
