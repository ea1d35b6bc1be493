#include "standins/fault_proxy/proxy_server.h"

int main(int argc, char** argv)
{
    const auto options = standin::parse_options(argc, argv, "TCP and UDP proxy that injects faults on its routes.");
    anvillead::worker_pool pool(1);
    const standin::proxy_server server(pool, options);
    standin::announce(server.address());
    pool.on_stop_signal([&pool] { pool.stop(); });
    pool.run();
    return 0;
}
