#pragma once

#include <algorithm>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "tests/support/cluster.h"

namespace testing {

/// Checks each engine in turn, while other faults are active, for new work later than 3 s after the first agent has
/// learned that the engine is leaving. It does not block: step() must be called as often as possible. The engines need
/// `serves_while_leaving`, because otherwise they would refuse the work that this check looks for. At least four
/// engines are needed: an engine gets work again only more than 5 s after its check, while the next ones are checked.
class leaving_check
{
public:
    explicit leaving_check(cluster& target) : cluster_(target) {}

    void step()
    {
        if (!leaving_) {
            start_leaving();
        } else if (cluster_.running(engine()).pid() != pid_) {
            // A fault has killed the engine; its new process is not leaving.
            ++interrupted_;
            next();
        } else if (!notified_at_) {
            if (count_notifications() > before_) {
                notified_at_ = clock::now();
            }
        } else if (!watch_started_) {
            if (clock::now() >= *notified_at_ + bound) {
                watch_started_ = clock::now();
                runs_ = runs();
            }
        } else if (clock::now() >= *watch_started_ + watch_time) {
            finish();
        }
    }
    /// Calls step() until the current check has ended.
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
    int count_notifications()
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
    void start_leaving()
    {
        if (!cluster_.running(engine()).running()) {
            return;
        }
        pid_ = cluster_.running(engine()).pid();
        before_ = count_notifications();
        notified_at_.reset();
        watch_started_.reset();
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
    std::optional<clock::time_point> notified_at_;
    std::optional<clock::time_point> watch_started_;
    std::ptrdiff_t runs_ = 0;
    int finished_ = 0;
    int interrupted_ = 0;
    std::string problems_;
};

} // namespace testing
