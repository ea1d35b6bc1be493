#pragma once

#include <memory>

#include "node/node_context.h"
#include "object_store/iobject_collection.h"

namespace anvillead {

/// Registers this host in the platform's store and reads the other hosts' entries from it, so that hosts find each
/// other when all seeds are down.
class registration : public std::enable_shared_from_this<registration>
{
public:
    registration(node_context& context, iobject_collection& hosts) : context_(context), hosts_(hosts) {}
    void start();

private:
    void write();
    void read();
    void schedule_read(milliseconds delay);

    node_context& context_;
    iobject_collection& hosts_;
};

} // namespace anvillead
