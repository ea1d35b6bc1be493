#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>

namespace anvillead {

/// Bytes that several buffers of one thread may take together.
class byte_budget
{
public:
    explicit byte_budget(std::size_t most) : available_(most) {}

    std::size_t available() const { return available_; }

private:
    friend class budgeted_buffer;
    std::size_t available_;
};

/// The part of a budget that one buffer takes, until it is destroyed. The first bytes of each buffer are free, so that
/// small ones never fail because of large ones.
class budgeted_buffer
{
public:
    static constexpr std::size_t free_bytes = 4 * 1024;

    explicit budgeted_buffer(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
    ~budgeted_buffer() { release(); }
    budgeted_buffer(const budgeted_buffer&) = delete;
    budgeted_buffer& operator=(const budgeted_buffer&) = delete;

    /// Takes what a buffer of this size needs. Returns false if the budget has not that much left.
    bool grow_to(std::size_t size)
    {
        const auto needed = size - std::min(size, free_bytes);
        if (!budget_ || needed <= taken_) {
            return true;
        }
        if (needed - taken_ > budget_->available_) {
            return false;
        }
        budget_->available_ -= needed - taken_;
        taken_ = needed;
        return true;
    }

    void release()
    {
        if (budget_) {
            budget_->available_ += taken_;
        }
        taken_ = 0;
    }

private:
    std::shared_ptr<byte_budget> budget_;
    std::size_t taken_ = 0;
};

} // namespace anvillead
