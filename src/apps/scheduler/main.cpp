#include "apps/scheduler/scheduler_daemon.h"

int main(int argc, char** argv)
{
    using namespace anvillead;
    const auto path = parse_daemon_command_line(argc, argv, "anvillead-scheduler",
                                                "Decides which request starts when on which engine.");
    return run_daemon<scheduler_daemon>(load_settings(path, read_scheduler_settings), "scheduler");
}
