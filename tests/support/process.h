#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace testing {

using std::chrono::milliseconds;

/// Longest time that a test waits for a condition unless it states its own bound.
inline constexpr milliseconds default_bound{10'000};

/// Checks `condition` every few milliseconds until it holds or `bound` has passed; returns the last result.
bool eventually(const std::function<bool()>& condition, milliseconds bound = default_bound);

/// Directory of one test's settings and logs; removed at the end unless the current test has failed.
class work_directory
{
public:
    work_directory();
    ~work_directory();
    work_directory(const work_directory&) = delete;
    work_directory& operator=(const work_directory&) = delete;

    std::string file(const std::string& name) const { return path_ + "/" + name; }
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::string path_;
};

/// A child process whose output goes to a log file. The child is killed when this object or the test program ends.
/// Processes must be started from the main thread, because the kernel ties the parent-death signal to the thread.
class process
{
public:
    process(std::string log_file, std::vector<std::string> arguments);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void send_signal(int number) const;
    /// SIGKILL, and waits for the end.
    void kill();
    /// SIGTERM, and waits for the end; the exit code, or nothing when the process was killed after `bound`.
    std::optional<int> terminate(milliseconds bound = default_bound);
    /// The exit code (128 + signal number for a signal) once the process ends within `bound`.
    std::optional<int> wait_exit(milliseconds bound = default_bound);
    bool running();
    pid_t pid() const { return pid_; }
    /// Everything that the process has printed, including earlier processes with the same log file.
    std::string output() const;
    /// First group of `pattern` in what this process has printed; empty when it does not appear within `bound`.
    std::string find_output(const std::string& pattern, milliseconds bound = default_bound) const;

private:
    std::string log_file_;
    std::size_t log_start_ = 0;
    pid_t pid_ = -1;
    std::optional<int> exit_code_;
};

/// Path of a program of this build.
std::string program(const std::string& name);
/// Seed of the current test program: ANVILLEAD_TEST_SEED, otherwise a fixed one. Printed at the first use.
unsigned test_seed();

} // namespace testing
