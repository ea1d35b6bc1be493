#include "apps/scheduler/scheduler_daemon.h"

int main(int argc, char** argv)
{
    using namespace anvillead;
    const auto path = parse_daemon_command_line(argc, argv, "anvillead-scheduler",
                                                "Decides which request starts when on which engine.");
    auto settings = load_settings(path, read_scheduler_settings);
    configure_daemon_log(settings.common, "scheduler");
    worker_pool pool(settings.common.worker_threads);
    scheduler_daemon daemon(pool, std::move(settings));
    daemon.run();
    return exit_ok;
}
