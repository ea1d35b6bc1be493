#include "apps/agent/agent_daemon.h"

int main(int argc, char** argv)
{
    using namespace anvillead;
    const auto path = parse_daemon_command_line(argc, argv, "anvillead-agent",
                                                "Keeps membership and accepted configuration of one host.");
    auto settings = load_settings(path, read_agent_settings);
    configure_daemon_log(settings.common, "agent");
    worker_pool pool(settings.common.worker_threads);
    agent_daemon daemon(pool, std::move(settings));
    daemon.run();
    return exit_ok;
}
