#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "core/types/units.h"

namespace anvillead {

/// What clients take of a process.
struct client_usage
{
    std::size_t connections = 0;
    std::size_t descriptors = 0;
    /// Memory of the process and of the kernel's queues, beside the fixed part of each connection.
    std::size_t bytes = 0;
};

class connection_share;

/// What the clients of all servers of a process may take together. When something is used up, the connections that have
/// waited longest for their client are closed, so that clients that stop short cannot keep others out. For one thread.
class client_budget
{
public:
    explicit client_budget(const client_usage& limit) : limit_(limit) {}
    client_budget(const client_budget&) = delete;
    client_budget& operator=(const client_budget&) = delete;

    /// Closes a waiting connection if that is needed for a new one. Returns false if there is none to close.
    bool make_room_for_connection();
    /// Whether a connection waits whose client has yet to read the end of an answer.
    bool awaits_readers() const;
    const client_usage& used() const { return used_; }
    std::size_t evictions() const { return evictions_; }

private:
    friend class connection_share;
    friend class request_share;

    /// What a connection waits for. Order of `waiting_`.
    enum class wait_kind : std::size_t
    {
        /// A request, of which no bytes are held beyond the fixed part of the connection.
        request,
        /// The rest of a request of which more is held.
        rest_of_request,
        /// That its client reads the answer.
        reader
    };
    static constexpr std::size_t wait_kinds = 3;
    using waiting_list = std::list<connection_share*>;

    /// Takes `more`, and closes waiting connections other than `requester` where needed. Returns false if that does not
    /// make enough room. The last part of the memory is left to those that take little.
    bool reserve(const client_usage& more, bool large, const connection_share* requester);
    void release(const client_usage& less);
    bool fits(const client_usage& more, bool large) const;
    /// The connection to close first, or null.
    connection_share* victim(bool for_bytes, const connection_share* requester);
    /// The oldest of a list of connections that wait for a request. Those whose client has yet to read the end of an
    /// answer are moved to the readers.
    connection_share* oldest_without_answer(wait_kind kind, const connection_share* requester);
    /// The oldest one whose client has stopped reading.
    connection_share* oldest_stalled_reader(bool for_bytes, const connection_share* requester);
    /// The one whose client has been reading for the longest time, if that is long.
    connection_share* longest_reader(bool for_bytes, const connection_share* requester);
    waiting_list& list_of(wait_kind kind) { return waiting_[static_cast<std::size_t>(kind)]; }

    client_usage limit_;
    client_usage used_;
    std::array<waiting_list, wait_kinds> waiting_;
    std::size_t evictions_ = 0;
};

/// How a budget reaches the connections that take a part of it.
struct connection_hooks
{
    /// Must close the connection and give back its share; not called while the connection is worked on.
    std::function<void()> evict;
    /// Returns for how long the client has read nothing of what it is sent, or nothing if it has all. May be null.
    std::function<std::optional<milliseconds>()> delivery_stalled_for = nullptr;
};

/// The part of a budget that one client connection takes, until it is closed or destroyed.
class connection_share
{
public:
    /// What each connection may hold without taking a part of the memory.
    static constexpr std::size_t free_bytes = 4096;

    /// A null budget has no limit.
    connection_share(std::shared_ptr<client_budget> budget, connection_hooks hooks);
    ~connection_share();
    connection_share(const connection_share&) = delete;
    connection_share& operator=(const connection_share&) = delete;

    /// Takes the connection and its descriptor, for which there must be room.
    void open();
    /// Sets the bytes that the connection holds. Returns false, and changes nothing, if they are not available. What a
    /// connection without a share holds is not counted.
    bool set_bytes(std::size_t bytes);
    /// From `since` on the connection waits for a request or the rest of one.
    void wait_for_request(instant since);
    /// From `since` on the connection waits for its client to read.
    void wait_for_reader(instant since);
    /// The connection does not wait for its client.
    void stop_waiting();
    /// Gives everything back.
    void close();

private:
    friend class client_budget;

    void wait(client_budget::wait_kind kind, instant since);
    client_budget::wait_kind request_kind() const;
    std::optional<milliseconds> delivery_stalled_for() const;

    std::shared_ptr<client_budget> budget_;
    connection_hooks hooks_;
    client_usage usage_;
    instant since_{};
    /// Since when it waits for a client that goes on reading; unset when it waits for a request.
    std::optional<instant> reading_since_;
    client_budget::wait_kind kind_ = client_budget::wait_kind::request;
    /// Holds this connection while it does not wait; moved to the list of the budget otherwise.
    client_budget::waiting_list position_;
    /// The only entry for this connection; stays valid while it is moved.
    client_budget::waiting_list::iterator node_;
    bool waiting_ = false;
};

/// The part of a budget that one complete request takes, until it is destroyed.
class request_share
{
public:
    explicit request_share(std::shared_ptr<client_budget> budget) : budget_(std::move(budget)) {}
    ~request_share();
    request_share(const request_share&) = delete;
    request_share& operator=(const request_share&) = delete;

    /// May be called once. Returns false if there is no room.
    bool take(const client_usage& usage);

private:
    std::shared_ptr<client_budget> budget_;
    client_usage usage_;
};

} // namespace anvillead
