#include "standins/fault_proxy/route.h"

#include <algorithm>

#include <fmt/format.h>

#include "standins/fault_proxy/connection.h"

namespace standin {

namespace {

using boost::asio::ip::tcp;

} // namespace

tcp::endpoint parse_endpoint(const std::string& text)
{
    if (text.empty()) {
        return {};
    }
    const auto colon = text.rfind(':');
    const auto port = std::strtoul(text.c_str() + (colon == std::string::npos ? 0 : colon + 1), nullptr, 10);
    return {boost::asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

route::route(boost::asio::io_context& io, const std::string& target)
    : io_(io), acceptor_(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), target_(parse_endpoint(target))
{
    accept();
}

route::~route() = default;

std::string route::address() const
{
    const auto local = acceptor_.local_endpoint();
    return fmt::format("{}:{}", local.address().to_string(), local.port());
}

void route::set_target(const std::string& target)
{
    target_ = parse_endpoint(target);
}

void route::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            ++accepted_;
            auto it = std::make_shared<connection>(*this, std::move(socket));
            if (faults_.cut || target_.port() == 0) {
                it->reset();
            } else {
                connections_.push_back(it);
                it->start(target_);
            }
        }
        accept();
    });
}

void route::control(const nlohmann::json& value)
{
    faults_.cut = value.value("cut", faults_.cut);
    faults_.freeze = value.value("freeze", faults_.freeze);
    faults_.drop_requests = value.value("drop_requests", faults_.drop_requests);
    faults_.drop_answers = value.value("drop_answers", faults_.drop_answers);
    faults_.duplicate = value.value("duplicate", faults_.duplicate);
    faults_.delay_ms = value.value("delay_ms", faults_.delay_ms);
    faults_.lose_answers = value.value("lose_answers", faults_.lose_answers);
    faults_.freeze_callers = value.value("freeze_callers", faults_.freeze_callers);
    if (faults_.cut) {
        const auto open = std::move(connections_);
        connections_.clear();
        for (const auto& it : open) {
            it->reset();
        }
    }
    const auto actions = std::move(delayed_actions_);
    delayed_actions_.clear();
    for (const auto& [first_bytes, action] : actions) {
        run_when_unfrozen(first_bytes, action);
    }
}

nlohmann::json route::counts() const
{
    return {{"accepted", accepted_}, {"open", connections_.size()}, {"lost_answers", lost_answers_}};
}

bool route::is_frozen(const std::string& first_bytes) const
{
    const auto& callers = faults_.freeze_callers;
    return faults_.freeze || std::any_of(callers.begin(), callers.end(), [&](const std::string& it) {
               return first_bytes.find(it) != std::string::npos;
           });
}

void route::run_when_unfrozen(const std::string& first_bytes, std::function<void()> action)
{
    if (is_frozen(first_bytes)) {
        delayed_actions_.emplace_back(first_bytes, std::move(action));
    } else {
        action();
    }
}

bool route::take_lost_answer()
{
    if (faults_.lose_answers <= 0) {
        return false;
    }
    --faults_.lose_answers;
    ++lost_answers_;
    return true;
}

void route::remove_connection(const connection* value)
{
    connections_.remove_if([value](const auto& it) { return it.get() == value; });
}

} // namespace standin
