#include "standins/batch_engine/engine_server.h"

int main(int argc, char** argv)
{
    const auto options = standin::parse_options(argc, argv, "Stand-in for the users' engines and plain services.");
    anvillead::worker_pool pool(2);
    const standin::engine_server server(pool, options);
    standin::announce(server.address());
    pool.on_stop_signal([&pool] { pool.stop(); });
    pool.run();
    return 0;
}
