#include "apps/gateway/gateway_daemon.h"

int main(int argc, char** argv)
{
    using namespace anvillead;
    const auto path =
        parse_daemon_command_line(argc, argv, "anvillead-gateway", "Serves callers and streams from engines to them.");
    auto settings = load_settings(path, read_gateway_settings);
    configure_daemon_log(settings.common, "gateway");
    worker_pool pool(settings.common.worker_threads);
    gateway_daemon daemon(pool, std::move(settings));
    daemon.run();
    return exit_ok;
}
