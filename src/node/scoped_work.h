#pragma once

#include "node/node_context.h"

namespace anvillead {

/// Counts the work of one request on one upstream in the load table; removes it again on release or destruction.
class scoped_work
{
public:
    explicit scoped_work(node_context& context) : context_(context) {}
    ~scoped_work() { release(); }
    scoped_work(const scoped_work&) = delete;
    scoped_work& operator=(const scoped_work&) = delete;

    /// Counts `amount` on `upstream` in place of what was counted before.
    void assign(const upstream_id& upstream, const upstream_work& amount);
    void release();
    /// The prompt has been read.
    void mark_prompt_read();
    /// The least gap between two events of the generation, in tenths of a millisecond.
    void set_gap(std::int64_t tenths_ms);
    /// Marks the start or end of a copy that is made while the generation runs.
    void set_copying(bool copying);
    bool copying() const { return amount_.copies > 0; }

    const upstream_id& upstream() const { return upstream_; }

private:
    void change(const upstream_work& next);

    node_context& context_;
    upstream_id upstream_;
    upstream_work amount_;
};

} // namespace anvillead
