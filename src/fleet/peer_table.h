#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "fleet/types/host_report.h"
#include "membership/types/member.h"

namespace anvillead {

/// Times of the reports between hosts.
struct peer_limits
{
    /// Time between two reports when nothing changes.
    milliseconds period{150};
    /// A host that has been silent for this long is not offered to callers: three lost reports and a pause of the
    /// processor.
    milliseconds silence{550};
    /// Time between reports to an address from which nothing is heard.
    milliseconds contact_period{1000};
    /// An address that has never answered, or no longer does, is given up after this time.
    milliseconds contact_age{60'000};
};

/// The other hosts as their reports describe them. Sans-I/O; not thread-safe.
class peer_table
{
public:
    struct hooks
    {
        std::function<void(const host_report&)> on_joined;
        /// Each report that is newer than the last one of its host.
        std::function<void(const host_report&)> on_report;
        std::function<void(const host_id&)> on_lost;
    };

    peer_table(host_id self, std::string own_report_address, peer_limits limits = {});
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    /// Addresses to report to although nothing was heard from there: seeds and registered hosts.
    void add_contact(instant now, const std::string& report_address);
    /// False for a repeated, late or own report.
    bool on_report(instant now, const host_report& value);
    /// Marks silent hosts as lost.
    void expire(instant now);

    /// Addresses that the next periodic report goes to.
    std::vector<std::string> due_addresses(instant now);
    /// Addresses of the live hosts.
    std::vector<std::string> live_addresses() const;
    /// Live hosts in id order.
    std::vector<const host_report*> live() const;
    /// The live hosts in the product's terms, for the selection of endpoints.
    std::vector<member> members() const;

private:
    struct peer
    {
        host_report report;
        instant heard{};
        bool live = false;
        /// Incarnation before the present one; its late reports are dropped.
        std::string previous;
    };

    struct contact
    {
        instant added{};
        instant tried{};
    };

    host_id self_;
    std::string own_address_;
    peer_limits limits_;
    hooks hooks_;
    std::map<host_id, peer> peers_;
    std::map<std::string, contact> contacts_;
};

/// A report as a member for the selection of endpoints.
member to_member(const host_report& value);

} // namespace anvillead
