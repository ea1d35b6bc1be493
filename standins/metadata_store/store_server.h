#pragma once

#include <list>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "standins/common/standin_options.h"
#include "standins/metadata_store/metadata_store.h"
#include "transport/ihttp_server.h"

namespace standin {

/// Stand-in for a metadata store: objects with revisions, paged listings, watches, and configurable faults.
///
/// `POST /control` takes: `outage` ("", "busy", "reset" or "silent"), `deaf` (watches are not told of changes
/// before they time out), `compact` (discards the history), `page` (maximum number of objects in a listing), `copy`
/// (keeps a copy of everything), `restore` (goes back to the copy in a new era) and `refuse_after` (listings that go on
/// after this name get status 400). The response holds the numbers of
/// `calls`, of waiting `watches` and of `invalid` calls, which got status 400 because their target breaks the standard.
///
/// The character U+E0FF in an object stands for the byte 0xff, which makes a text that is not UTF-8.
class store_server
{
public:
    store_server(anvillead::worker_pool& pool, const standin_options& options);

    std::string address() const { return server_->address(); }

private:
    using exchange_ptr = std::shared_ptr<anvillead::ihttp_exchange>;

    struct watcher
    {
        std::string kind;
        std::uint64_t after = 0;
        exchange_ptr exchange;
        anvillead::instant until;
    };

    void handle(const anvillead::http_request& request, const exchange_ptr& exchange);
    void serve(const anvillead::http_request& request, const exchange_ptr& exchange);
    void write(const anvillead::http_request& request, const std::string& kind, const std::string& name,
               const exchange_ptr& exchange);
    void answer_watchers();
    void control(const nlohmann::json& value);
    void answer(const exchange_ptr& exchange, const metadata_store::response& value);

    anvillead::worker_pool& pool_;
    std::shared_ptr<anvillead::isequence> sequence_;
    anvillead::metrics counters_;
    metadata_store store_;
    metadata_store copy_;
    std::uint32_t era_ = 1;
    std::list<watcher> watchers_;
    /// Exchanges kept open without a response during a "silent" outage.
    std::list<exchange_ptr> unanswered_;
    std::string outage_;
    bool withhold_changes_ = false;
    std::size_t page_size_ = 500;
    std::string refused_after_;
    std::int64_t call_count_ = 0;
    std::int64_t invalid_targets_ = 0;
    std::unique_ptr<anvillead::ihttp_server> server_;
};

} // namespace standin
