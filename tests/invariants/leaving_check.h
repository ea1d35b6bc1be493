#pragma once

#include <algorithm>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "tests/support/cluster.h"

namespace testing {

/// Checks in turn for each engine, while other faults go on, that it gets no new work 3 s after the first agent has
/// learned that it leaves. It does not block: step() is called as often as possible. The engines have to be set to
/// `serves_while_leaving`, otherwise they refuse what they should not get, and at least four are needed: an engine gets
/// work again more than 5 s after its check, while the next one is checked.
class leaving_check
{
public:
    explicit leaving_check(cluster& target) : cluster_(target) {}

    void step()
    {
        if (!leaving_) {
            begin();
        } else if (cluster_.running(engine()).pid() != pid_) {
            // A fault has killed the engine; the new process does not leave.
            ++interrupted_;
            next();
        } else if (!learned_) {
            if (times_learned() > before_) {
                learned_ = clock::now();
            }
        } else if (!quiet_since_) {
            if (clock::now() >= *learned_ + bound) {
                quiet_since_ = clock::now();
                runs_ = runs();
            }
        } else if (clock::now() >= *quiet_since_ + watch_time) {
            finish();
        }
    }
    /// Steps until the check under way has ended.
    void complete()
    {
        const auto target = finished_ + interrupted_ + 1;
        eventually(
            [&] {
                step();
                return finished_ + interrupted_ >= target;
            },
            2 * default_bound);
    }
    int finished() const { return finished_; }
    int interrupted() const { return interrupted_; }
    const std::string& problems() const { return problems_; }

private:
    static constexpr milliseconds bound{3000};
    static constexpr milliseconds watch_time{1000};

    std::string engine() const { return fmt::format("engine-{}", number_); }
    int times_learned()
    {
        const auto text = fmt::format("name=upstream_leaving upstream={} ", engine());
        int count = 0;
        for (int host = 1; host <= cluster_.options().hosts; ++host) {
            const auto output = cluster_.running(fmt::format("agent-{}", host)).output();
            for (auto at = output.find(text); at != std::string::npos; at = output.find(text, at + 1)) {
                ++count;
            }
        }
        return count;
    }
    std::ptrdiff_t runs() const
    {
        const auto all = cluster_.ran();
        return std::count_if(all.begin(), all.end(), [this](const auto& it) { return it.upstream == engine(); });
    }
    void begin()
    {
        if (!cluster_.running(engine()).running()) {
            return;
        }
        pid_ = cluster_.running(engine()).pid();
        before_ = times_learned();
        learned_.reset();
        quiet_since_.reset();
        leaving_ = true;
        cluster_.client().control(cluster_.address(engine()), {{"leaving", true}});
    }
    void finish()
    {
        ++finished_;
        const auto more = runs() - runs_;
        if (more != 0) {
            problems_ += fmt::format("{} got {} new generations\n", engine(), more);
        }
        next();
    }
    void next()
    {
        cluster_.client().control(cluster_.address(engine()), {{"leaving", false}});
        leaving_ = false;
        number_ = number_ % cluster_.options().engines + 1;
    }

    cluster& cluster_;
    int number_ = 1;
    bool leaving_ = false;
    pid_t pid_ = -1;
    int before_ = 0;
    std::optional<clock::time_point> learned_;
    std::optional<clock::time_point> quiet_since_;
    std::ptrdiff_t runs_ = 0;
    int finished_ = 0;
    int interrupted_ = 0;
    std::string problems_;
};

} // namespace testing
