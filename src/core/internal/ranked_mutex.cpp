#include "core/ranked_mutex.h"

#include <cstdio>
#include <cstdlib>

namespace anvillead {

namespace {

#ifndef NDEBUG
// Highest rank that the current thread holds; 0 when it holds none.
thread_local lock_rank held_rank = {};
#endif

} // namespace

void ranked_mutex::lock()
{
#ifndef NDEBUG
    if (held_rank >= rank_) {
        std::fprintf(stderr, "lock order violation: rank %d taken while rank %d is held\n", static_cast<int>(rank_),
                     static_cast<int>(held_rank));
        std::abort();
    }
#endif
    mutex_.lock();
#ifndef NDEBUG
    previous_ = held_rank;
    held_rank = rank_;
#endif
}

void ranked_mutex::unlock()
{
#ifndef NDEBUG
    held_rank = previous_;
#endif
    mutex_.unlock();
}

} // namespace anvillead
