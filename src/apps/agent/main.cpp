#include "apps/agent/agent_daemon.h"

int main(int argc, char** argv)
{
    using namespace anvillead;
    const auto path = parse_daemon_command_line(argc, argv, "anvillead-agent",
                                                "Keeps membership and accepted configuration of one host.");
    return run_daemon<agent_daemon>(load_settings(path, read_agent_settings), "agent");
}
