#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "node/node_context.h"
#include "object_store/iobject_collection.h"

namespace anvillead {

/// Registers hosts in the platform's store and reads their entries from it, so that hosts find each other when all
/// seeds are down. In a large fleet, only the relays of the reports do so, and hosts that know no others.
class registration : public std::enable_shared_from_this<registration>
{
public:
    /// `is_needed` returns whether the fleet needs this host's entry although it knows other hosts.
    registration(node_context& context, iobject_collection& hosts, std::function<bool()> is_needed)
        : context_(context), hosts_(hosts), is_needed_(std::move(is_needed))
    {}
    void start();
    /// What is kept of a host's entry: its address.
    static std::string select_entry(const std::string& name, std::string_view value);
    /// The store has lost the entry of this host; it is written again, at a random time so that the hosts take turns.
    void on_entry_lost();

private:
    bool isolated() const { return context_.peers.live_count() == 0; }
    void check();
    void write();
    /// Reads up to `pages` pages of the registered hosts after a name.
    void read(const std::string& after, int pages);
    void add_contact(const nlohmann::json& entry);

    node_context& context_;
    iobject_collection& hosts_;
    std::function<bool()> is_needed_;
    bool written_ = false;
    bool writing_ = false;
    bool read_once_ = false;
    instant next_read_{};
    std::minstd_rand random_{std::random_device{}()};
};

} // namespace anvillead
