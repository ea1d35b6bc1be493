#include "transport/client_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace anvillead {

namespace {

// A share of more than this is a large one.
constexpr std::size_t small_share_bytes = 64 * 1024;
// Part of the memory that large shares leave to others.
constexpr std::size_t reserved_part = 8;
// A client that has read nothing for this long may lose its connection to others.
constexpr milliseconds reader_patience{1000};
// A client that reads an answer, however slowly, keeps its connection for this long while others need its room.
constexpr milliseconds protected_reading_time{10000};
constexpr client_usage one_connection = {1, 1, 0};

} // namespace

bool client_budget::fits(const client_usage& more, bool large) const
{
    const auto reserved = large ? limit_.bytes / reserved_part : 0;
    return used_.connections + more.connections <= limit_.connections &&
           used_.descriptors + more.descriptors <= limit_.descriptors &&
           (more.bytes == 0 || used_.bytes + more.bytes + reserved <= limit_.bytes);
}

connection_share* client_budget::oldest_without_answer(wait_kind kind, const connection_share* requester)
{
    const auto& list = list_of(kind);
    for (auto it = list.begin(); it != list.end();) {
        auto* const share = *it++;
        if (share == requester) {
            continue;
        }
        if (!share->delivery_stalled_for()) {
            return share;
        }
        share->wait_for_reader(std::chrono::steady_clock::now());
    }
    return nullptr;
}

connection_share* client_budget::oldest_stalled_reader(bool for_bytes, const connection_share* requester)
{
    const auto now = std::chrono::steady_clock::now();
    const auto& list = list_of(wait_kind::reader);
    for (auto it = list.begin(); it != list.end() && now - (*it)->since_ >= reader_patience;) {
        auto* const share = *it++;
        if (share == requester || (for_bytes && share->usage_.bytes == 0)) {
            continue;
        }
        const auto stalled = share->delivery_stalled_for();
        if (!stalled || *stalled >= reader_patience) {
            return share;
        }
        share->wait_for_reader(now);
    }
    return nullptr;
}

connection_share* client_budget::longest_reader(bool for_bytes, const connection_share* requester)
{
    connection_share* out = nullptr;
    for (auto* it : list_of(wait_kind::reader)) {
        if (it != requester && !(for_bytes && it->usage_.bytes == 0) &&
            (out == nullptr || it->reading_since_ < out->reading_since_)) {
            out = it;
        }
    }
    const bool long_enough =
        out != nullptr && std::chrono::steady_clock::now() - *out->reading_since_ >= protected_reading_time;
    return long_enough ? out : nullptr;
}

connection_share* client_budget::victim(bool for_bytes, const connection_share* requester)
{
    connection_share* out = nullptr;
    const auto consider = [&out](connection_share* it) {
        if (it != nullptr && (out == nullptr || it->since_ < out->since_)) {
            out = it;
        }
    };
    if (!for_bytes) {
        consider(oldest_without_answer(wait_kind::request, requester));
    }
    consider(oldest_without_answer(wait_kind::rest_of_request, requester));
    consider(oldest_stalled_reader(for_bytes, requester));
    return out != nullptr ? out : longest_reader(for_bytes, requester);
}

bool client_budget::reserve(const client_usage& more, bool large, const connection_share* requester)
{
    while (!fits(more, large)) {
        const bool for_bytes = fits({more.connections, more.descriptors, 0}, false);
        auto* const it = victim(for_bytes, requester);
        if (it == nullptr) {
            return false;
        }
        ++evictions_;
        it->hooks_.evict();
        // Does nothing if the connection has given everything back, as it must.
        it->close();
    }
    used_.connections += more.connections;
    used_.descriptors += more.descriptors;
    used_.bytes += more.bytes;
    return true;
}

bool client_budget::make_room_for_connection()
{
    if (!reserve(one_connection, false, nullptr)) {
        return false;
    }
    release(one_connection);
    return true;
}

bool client_budget::awaits_readers() const
{
    return std::any_of(waiting_.begin(), waiting_.end(), [](const waiting_list& list) {
        return std::any_of(list.begin(), list.end(),
                           [](const auto* it) { return it->delivery_stalled_for().has_value(); });
    });
}

void client_budget::release(const client_usage& less)
{
    used_.connections -= less.connections;
    used_.descriptors -= less.descriptors;
    used_.bytes -= less.bytes;
}

connection_share::connection_share(std::shared_ptr<client_budget> budget, connection_hooks hooks)
    : budget_(std::move(budget)), hooks_(std::move(hooks)), position_{this}, node_(position_.begin())
{}

connection_share::~connection_share()
{
    close();
}

void connection_share::open()
{
    if (budget_ && budget_->reserve(one_connection, false, this)) {
        usage_ = one_connection;
    }
}

bool connection_share::set_bytes(std::size_t bytes)
{
    const auto needed = bytes - std::min(bytes, free_bytes);
    if (!budget_ || usage_.connections == 0 || needed == usage_.bytes) {
        return true;
    }
    if (needed < usage_.bytes) {
        budget_->release({0, 0, usage_.bytes - needed});
    } else if (!budget_->reserve({0, 0, needed - usage_.bytes}, needed > small_share_bytes, this)) {
        return false;
    }
    usage_.bytes = needed;
    if (waiting_ && kind_ != client_budget::wait_kind::reader && kind_ != request_kind()) {
        wait(request_kind(), since_);
    }
    return true;
}

client_budget::wait_kind connection_share::request_kind() const
{
    return usage_.bytes == 0 ? client_budget::wait_kind::request : client_budget::wait_kind::rest_of_request;
}

std::optional<milliseconds> connection_share::delivery_stalled_for() const
{
    return hooks_.delivery_stalled_for ? hooks_.delivery_stalled_for() : std::nullopt;
}

void connection_share::wait_for_request(instant since)
{
    wait(request_kind(), since);
}

void connection_share::wait_for_reader(instant since)
{
    wait(client_budget::wait_kind::reader, since);
}

void connection_share::wait(client_budget::wait_kind kind, instant since)
{
    stop_waiting();
    if (!budget_ || usage_.connections == 0) {
        return;
    }
    since_ = since;
    kind_ = kind;
    if (kind != client_budget::wait_kind::reader) {
        reading_since_.reset();
    } else if (!reading_since_) {
        reading_since_ = since;
    }
    auto& list = budget_->list_of(kind);
    list.splice(list.end(), position_);
    waiting_ = true;
}

void connection_share::stop_waiting()
{
    if (!std::exchange(waiting_, false)) {
        return;
    }
    auto& list = budget_->list_of(kind_);
    position_.splice(position_.end(), list, node_);
}

void connection_share::close()
{
    stop_waiting();
    if (budget_) {
        budget_->release(usage_);
    }
    usage_ = {};
}

request_share::~request_share()
{
    if (budget_) {
        budget_->release(usage_);
    }
}

bool request_share::take(const client_usage& usage)
{
    if (budget_ && !budget_->reserve(usage, usage.bytes > small_share_bytes, nullptr)) {
        return false;
    }
    usage_ = usage;
    return true;
}

} // namespace anvillead
