#include <atomic>
#include <thread>

#include "apps/gateway/service_proxy.h"
#include "apps/gateway/tests/gateway_fixture.h"
#include "claims/iclaim_journal.h"
#include "core/crypto.h"
// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

/// A journal that stores claims in memory and calls back immediately.
class memory_journal : public iclaim_journal
{
public:
    claim_ticket claim(claim_request request, std::function<void(claim_result)> callback) override
    {
        claim_result out;
        {
            const std::lock_guard lock(mutex_);
            const auto it = answers_.find(request.key);
            out.value = it == answers_.end() ? claim_result::verdict::claimed : claim_result::verdict::taken;
            if (it == answers_.end()) {
                answers_[request.key] = std::nullopt;
                keys_[out.ticket = ++last_] = request.key;
            } else {
                out.existing = {request.record, it->second};
            }
        }
        callback(out);
        return out.ticket;
    }

    void look_up(claim_request, std::function<void(claim_result)>) override {}

    void complete(claim_ticket ticket, stored_answer answer) override
    {
        const std::lock_guard lock(mutex_);
        answers_[keys_[ticket]] = std::move(answer);
    }

    void release(claim_ticket) override {}

    void withdraw(claim_ticket ticket, std::function<void(result<void>)> callback) override
    {
        {
            const std::lock_guard lock(mutex_);
            answers_.erase(keys_[ticket]);
        }
        callback(success());
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::optional<stored_answer>> answers_;
    std::map<claim_ticket, std::string> keys_;
    claim_ticket last_ = 0;
};

/// Two upstreams whose behaviour is set by the test, and a proxy in front of them.
struct service_fixture
{
    worker_pool pool{4};
    metrics counters;
    gateway_settings settings;
    std::unique_ptr<ihttp_client> client = make_http_client(pool);
    progress_table progress;
    link_options options{{"key"}, "gateway/entry-1/1", 1024, 1024};
    scheduler_links schedulers{pool, options, counters, progress, {}};
    response_id_codec ids{{"key"}};
    retry_budget retries;
    token_gap_table gaps{stall_limits{}};
    std::shared_ptr<view_snapshot> view = std::make_shared<view_snapshot>();
    memory_journal journal;
    std::unique_ptr<gateway_context> context;
    std::unique_ptr<service_proxy> proxy;
    std::vector<std::unique_ptr<ihttp_server>> upstreams;
    std::unique_ptr<ihttp_server> server;
    http_handler behaviour;
    std::array<std::atomic<int>, 2> calls{};
    std::atomic<int> leaving_reports{0};
    std::atomic<int> leaving{-1};

    service_fixture()
    {
        settings.caller_buffer_bytes = 4096;
        auto configuration = std::make_shared<accepted_configuration>();
        configuration->generation = 1;
        service target{service_name("app"), service_kind::plain, {}, {}, false};
        for (int i = 0; i < 2; ++i) {
            upstreams.push_back(make_http_server(
                pool, {"127.0.0.1:0", {}},
                [this, i](http_request request, const std::shared_ptr<ihttp_exchange>& exchange) {
                    upstream_call(i, std::move(request), exchange);
                },
                counters));
            upstream it;
            it.id = upstream_id("app-" + std::to_string(i));
            it.address = upstreams.back()->address();
            target.upstreams.push_back(it);
        }
        configuration->merged.services = {target};
        configuration->merged.organisations = {{organisation_id("galle"), 1, {}, {sha256_hex("galle-key")}}};
        configuration->merged.build_key_index();
        configuration->merged.workloads = {
            {workload_name("search"), work_class::normal, true, service_name("app"), {}, milliseconds(2000)}};
        view->configuration = configuration;
        context.reset(new gateway_context{pool, settings, counters, *client, schedulers, progress, ids,
                                          [this] { return view; }, retries, gaps, &journal});
        proxy = std::make_unique<service_proxy>(*context, [this](const upstream_id&) { ++leaving_reports; });
        proxy->apply_view(view);
        server = make_http_server(
            pool, {"127.0.0.1:0", {}},
            [this](http_request request, const std::shared_ptr<ihttp_exchange>& exchange) {
                proxy->handle(std::move(request), exchange);
            },
            counters);
        pool.start();
    }

    ~service_fixture()
    {
        pool.stop();
        pool.join();
    }
    service_fixture(const service_fixture&) = delete;
    service_fixture& operator=(const service_fixture&) = delete;

    void upstream_call(int number, http_request request, const std::shared_ptr<ihttp_exchange>& exchange)
    {
        if (request.path() == "/load") {
            exchange->reply(200, {}, leaving == number ? R"({"running": 0, "leaving": true})" : R"({"running": 0})");
            return;
        }
        ++calls[static_cast<std::size_t>(number)];
        behaviour(std::move(request), exchange);
    }

    std::string send_request(const std::string& method, const std::string& headers = "") const
    {
        return send_raw_request(server->address(),
                                method + " /services/app/x?y=1 HTTP/1.1\r\nAuthorization: Bearer galle-key\r\n" +
                                    headers + "Connection: close\r\n\r\n");
    }
    int total_calls() const { return calls[0] + calls[1]; }
};

void abort_first_call(service_fixture& f)
{
    f.behaviour = [&f](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        if (f.total_calls() == 1) {
            exchange->abort();
            return;
        }
        exchange->reply(200, {{"Content-Type", "text/plain"}, {"ETag", "\"v1\""}}, "run");
    };
}

} // namespace

TEST_GROUP(service_test){};

// Guards against an idempotent call that is not retried, and against a non-idempotent call that is.
TEST(service_test, only_idempotent_calls_are_sent_again)
{
    for (const auto& [method, headers, runs] :
         {std::make_tuple("GET", "", 2), std::make_tuple("POST", "Anvillead-Workload: search\r\n", 2),
          std::make_tuple("POST", "", 1), std::make_tuple("POST", "Idempotency-Key: k\r\n", 1)}) {
        service_fixture f;
        abort_first_call(f);
        const auto answer = f.send_request(method, headers);
        LONGS_EQUAL(runs, f.total_calls());
        CHECK(contains(answer, runs == 2 ? "ETag: \"v1\"" : "\"upstream_failed\""));
        CHECK(runs == 2 || contains(answer, "\"may_have_run\""));
    }
}

// Guards against a second execution of a non-idempotent call, and against the loss of its stored answer.
TEST(service_test, a_repeated_request_gets_the_stored_answer)
{
    service_fixture f;
    f.behaviour = [&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->reply(201, {{"Content-Type", "text/plain"}}, "appointed");
    };
    for (int i = 0; i < 3; ++i) {
        const auto answer = f.send_request("POST", "Idempotency-Key: k1\r\n");
        CHECK(contains(answer, "201 Created") && contains(answer, "appointed"));
    }
    LONGS_EQUAL(1, f.total_calls());
    f.behaviour = [](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) { exchange->abort(); };
    CHECK(contains(f.send_request("POST", "Idempotency-Key: k2\r\n"), "\"upstream_failed\""));
    CHECK(contains(f.send_request("POST", "Idempotency-Key: k2\r\n"), "\"run_elsewhere\""));
    LONGS_EQUAL(2, f.total_calls());
}

// Guards against a claim that is not withdrawn although no attempt was sent.
TEST(service_test, an_unsent_call_withdraws_its_claim)
{
    service_fixture f;
    f.upstreams[0]->stop_accepting();
    f.upstreams[1]->stop_accepting();
    for (int i = 0; i < 2; ++i) {
        const auto answer = f.send_request("POST", "Idempotency-Key: k\r\n");
        CHECK(contains(answer, "\"no_upstream\"") && contains(answer, "\"not_run\""));
    }
}

// Guards against the outcome not_run after an attempt that may have run, when the last attempt was not sent.
TEST(service_test, a_sent_attempt_sets_may_have_run)
{
    service_fixture f;
    f.behaviour = [](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) { exchange->abort(); };
    f.upstreams[1]->stop_accepting();
    const auto answer = f.send_request("GET");
    CHECK(contains(answer, "\"may_have_run\""));
    LONGS_EQUAL(1, f.total_calls());
}

// Guards against new calls to an upstream that reports that it is leaving, and against a missing report to the agent.
TEST(service_test, a_leaving_upstream_gets_no_calls_and_is_reported)
{
    service_fixture f;
    f.behaviour = [](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->reply(200, {}, "ok");
    };
    f.leaving = 0;
    f.send_request("GET");
    f.proxy->poll_loads();
    CHECK(eventually([&] { return f.leaving_reports > 0; }));
    const int before = f.calls[0];
    for (int i = 0; i < 20; ++i) {
        const auto answer = f.send_request("GET");
        CHECK_TEXT(contains(answer, "200 OK"), answer.c_str());
    }
    LONGS_EQUAL(before, f.calls[0]);
}

// Guards against large answers that are held in memory, and against a truncated answer that looks complete.
TEST(service_test, large_answers_are_streamed_through)
{
    service_fixture f;
    const std::string large(8 * 1024 * 1024, 'x');
    f.behaviour = [&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->reply(200, {{"X-Kind", "large"}}, large);
    };
    const auto answer = f.send_request("GET");
    CHECK(contains(answer, "X-Kind: large") && contains(answer, "Content-Length: 8388608"));
    LONGS_EQUAL(large.size(), answer.size() - answer.find("\r\n\r\n") - 4);
    f.behaviour = [&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->begin_stream(200, {});
        exchange->write("part");
        f.pool.timers().after(milliseconds(50),
                              [exchange] { exchange->sequence()->post([exchange] { exchange->abort(); }); });
    };
    const auto cut = f.send_request("GET");
    CHECK(contains(cut, "part") && !contains(cut, "\r\n0\r\n"));
}

// Guards against an idempotent call that stays open in the service after its caller has disconnected.
TEST(service_test, a_caller_disconnect_cancels_an_idempotent_call)
{
    service_fixture f;
    std::atomic<int> gone{0};
    f.behaviour = [&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->on_closed([&] { ++gone; });
    };
    raw_client client(f.server->address());
    client.send("GET /services/app/x HTTP/1.1\r\nAuthorization: Bearer galle-key\r\n\r\n");
    CHECK(eventually([&] { return f.total_calls() == 1; }));
    client.close();
    CHECK(eventually([&] { return gone == 1; }));
    CHECK(eventually([&] { return *f.context->open_requests == 0; }));
}

TEST(service_test, invalid_calls_get_a_defined_error_kind)
{
    service_fixture f;
    CHECK(contains(f.send_request("GET", "Anvillead-Workload: none\r\n"), "\"unknown_workload\""));
    const auto unknown =
        "GET /services/none/x HTTP/1.1\r\nAuthorization: Bearer galle-key\r\nConnection: close\r\n\r\n";
    CHECK(contains(send_raw_request(f.server->address(), unknown), "\"not_found\""));
    const auto wrong = "GET /services/app/x HTTP/1.1\r\nAuthorization: Bearer x\r\nConnection: close\r\n\r\n";
    CHECK(contains(send_raw_request(f.server->address(), wrong), "\"unauthorized\""));
    LONGS_EQUAL(0, f.total_calls());
}
