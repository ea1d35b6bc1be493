#include "fleet/peer_table.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(peer_table_test)
{
    instant now = instant{} + seconds(100);
    peer_table table{host_id("self"), "10.0.0.1:7200"};

    static report_entry report(const std::string& host, const std::string& incarnation, std::uint64_t sequence)
    {
        report_entry out;
        out.report.host = host_id(host);
        out.report.incarnation = incarnation;
        out.report.sequence = sequence;
        out.report.addresses.report = "10.0.0.9:7200";
        out.report.addresses.frontend = "10.0.0.9:8740";
        out.report.ready = true;
        return out;
    }
};

TEST(peer_table_test, a_host_that_times_out_is_lost_and_still_contacted)
{
    CHECK(table.on_report(now, report("p", "i", 1)));
    now += peer_limits().period;
    CHECK(table.on_report(now, report("p", "i", 2)));
    LONGS_EQUAL(1, table.live().size());
    now += peer_limits().direct_timeout + milliseconds(1);
    table.expire(now, [](const host_report&) { return true; });
    LONGS_EQUAL(0, table.live().size());
    LONGS_EQUAL(1, table.due_contacts(now).size());
    CHECK(table.on_report(now, report("p", "i", 3)));
    LONGS_EQUAL(1, table.live().size());
}

// Guards against repeated or late datagrams that restore an old state, including one from before a restart.
TEST(peer_table_test, late_reports_are_ignored)
{
    CHECK(table.on_report(now, report("p", "first", 5)));
    CHECK(!table.on_report(now, report("p", "first", 5)));
    CHECK(!table.on_report(now, report("p", "first", 4)));
    CHECK(table.on_report(now, report("p", "second", 1)));
    CHECK(!table.on_report(now, report("p", "first", 9)));
    CHECK(!table.on_report(now, report("self", "x", 1)));
}

TEST(peer_table_test, reports_carry_contacts_of_other_hosts)
{
    auto value = report("p", "i", 1);
    value.report.contacts = {"10.0.0.7:7200", "10.0.0.1:7200"};
    table.on_report(now, value);
    const auto due = table.due_contacts(now);
    CHECK(std::find(due.begin(), due.end(), "10.0.0.7:7200") != due.end());
    CHECK(std::find(due.begin(), due.end(), "10.0.0.1:7200") == due.end());
}

// Guards against a host that waits for a second before it tries an address again at which nobody listened yet.
TEST(peer_table_test, contacts_are_due_again_after_a_retry)
{
    table.add_contact(now, "10.0.0.7:7200");
    LONGS_EQUAL(1, table.due_contacts(now).size());
    now += peer_limits().period;
    LONGS_EQUAL(0, table.due_contacts(now).size());
    table.retry_contacts();
    LONGS_EQUAL(1, table.due_contacts(now).size());
    LONGS_EQUAL(0, table.due_contacts(now).size());
}

// Guards against callers that are directed to a host that is leaving or has no configuration.
TEST(peer_table_test, members_offer_only_hosts_that_accept_callers)
{
    auto leaving = report("a", "i", 1);
    leaving.report.leaving = true;
    auto starting = report("b", "i", 1);
    starting.report.ready = false;
    CHECK(to_member(leaving.report).state == member_state::leaving);
    STRCMP_EQUAL("", to_member(starting.report).addresses.gateway_http.c_str());
    STRCMP_EQUAL("10.0.0.9:8740", to_member(report("c", "i", 1).report).addresses.gateway_http.c_str());
}

// Guards against a host that is marked as lost because it sent one direct report and then reports to a relay.
TEST(peer_table_test, a_single_direct_report_does_not_start_the_direct_timeout)
{
    CHECK(table.on_report(now, report("p", "i", 1)));
    now += peer_limits().direct_timeout + milliseconds(1);
    table.expire(now, [](const host_report&) { return true; });
    LONGS_EQUAL(1, table.live().size());
    constexpr milliseconds step{100};
    for (milliseconds passed{0}; passed <= peer_limits().relayed_timeout; passed += step) {
        now += step;
        table.expire(now, [](const host_report&) { return true; });
    }
    LONGS_EQUAL(0, table.live().size());
}

// Guards against a host that stays lost after its restart, because a late list of another host described the process
// before it and the reports of the new one then looked old.
TEST(peer_table_test, a_late_list_does_not_bring_back_the_process_before_a_restart)
{
    CHECK(table.on_report(now, report("p", "2-new", 1), false));
    auto late = report("p", "1-old", 90);
    late.without_work = true;
    CHECK(!table.on_report(now, late, false));
    CHECK(table.on_report(now, report("p", "2-new", 2), false));
}

// A host whose clock was set back before its restart.
TEST(peer_table_test, a_restarted_host_is_believed_itself_whatever_its_clock)
{
    CHECK(table.on_report(now, report("p", "2-old", 9), false));
    CHECK(table.on_report(now, report("p", "1-new", 1), true));
}
