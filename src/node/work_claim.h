#pragma once

#include "node/node_context.h"

namespace anvillead {

/// Work of one request at one upstream in the load table, given back when the claim ends.
class work_claim
{
public:
    explicit work_claim(node_context& context) : context_(context) {}
    ~work_claim() { release(); }
    work_claim(const work_claim&) = delete;
    work_claim& operator=(const work_claim&) = delete;

    /// Replaces what was claimed before.
    void take(const upstream_id& upstream, const upstream_work& amount);
    void release();
    /// The prompt has been read.
    void prompt_read();
    /// A first copy begins or ends.
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
