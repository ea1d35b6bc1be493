#include "apps/gateway/gateway_daemon.h"

int main(int argc, char** argv)
{
    using namespace anvillead;
    const auto path =
        parse_daemon_command_line(argc, argv, "anvillead-gateway", "Serves callers and streams from engines to them.");
    return run_daemon<gateway_daemon>(load_settings(path, read_gateway_settings), "gateway");
}
