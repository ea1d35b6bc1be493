#pragma once

#include <memory>
#include <optional>

#include "core/log.h"
#include "dispatch/generation_move.h"
#include "dispatch/types/placement.h"
#include "dispatch/types/upstream_call.h"
#include "node/crash_detector.h"
#include "node/granted_slot.h"
#include "node/node_context.h"
#include "node/placement_service.h"
#include "node/request_forwarder.h"
#include "node/scoped_work.h"
#include "node/types/admitted_request.h"
#include "quarantine/suspect_trials.h"
#include "streams/event_splitter.h"
#include "streams/least_gap.h"

namespace anvillead {

/// Serves one request whose answer is a stream: places it on an upstream and forwards its events to the caller as they
/// arrive. A generation is moved to another engine when its engine is leaving, and resumed from a copy of its memory
/// when its engine is lost; streams of a service without engines stay where they are.
class generation_relay : public std::enable_shared_from_this<generation_relay>
{
public:
    generation_relay(node_context& context, admitted_request request);
    void start();
    /// Called when the directory marks an engine as leaving.
    void on_upstream_leaving(const upstream_id& upstream);
    /// Called when an engine is known to have restarted under the same id. Its generations are lost if they ran at
    /// another address.
    void on_upstream_restarted(const upstream_id& upstream);
    /// Called when the process begins to shut down. Refuses the request if it still waits for an engine and its answer
    /// might not end in time.
    void on_shutdown();
    /// Called when requests were put under quarantine. Ends the generation if it is one of them and has no output yet.
    void on_requests_quarantined();
    bool ended() const { return done_; }
    /// Aborts the answer at its current position, for a process that has to exit.
    void abort(const std::string& reason);

private:
    enum class phase
    {
        placing,
        /// Sent to an engine; no response headers yet.
        sent,
        streaming,
        /// Stopped on its engine for the switch-over to another one.
        switching_over,
        /// Its stream has ended in order, but without framing: its engine is asked whether it runs on.
        confirming
    };

    /// About the time after which one of the running generations ends.
    static constexpr milliseconds retry_after_no_capacity{300};

    /// Passes the generation on to another host.
    void forward(const error& reason);
    bool can_forward() const;
    /// Places the generation unless it is under quarantine.
    void admit();
    void refuse_quarantined();
    bool is_quarantined() const;
    /// Waits while the same request is being tried elsewhere, if it is suspected of having crashed an engine.
    void request_trial();
    void end_trial();
    void report_sound_prompt();
    /// The engine has survived this request as a whole.
    void report_sound_request();
    void place();
    /// Whether the service consists of model engines.
    bool has_engines() const;
    /// Chooses an engine on this host when no scheduler answered.
    void place_locally();
    void place_on_instance();
    /// Sends the generation to the engine if its request rate allows, otherwise places it anew.
    void request_rate(const upstream_record& chosen, const host_id& chosen_by);
    void send_placed(const upstream_record& chosen, const host_id& chosen_by);
    void wait_for_capacity();
    void refuse_for_capacity(const placement_result& refusal = {});
    placement_request make_question() const;
    /// Time in which an engine reads the prompt beside other work.
    milliseconds reading_time() const;
    /// Time until an engine has to start for the answer to be in time, at the arrival of the request; negative if the
    /// caller has spent it on earlier tries.
    milliseconds time_to_start() const;
    /// How long the request may wait for an engine and still be answered in time.
    milliseconds longest_useful_wait() const;
    void send(const upstream_record& upstream, std::optional<resume_point> resume);
    milliseconds send_timeout() const;
    void on_head(int status, const http_headers& headers);
    void on_data(std::string_view data);
    void on_event(std::string_view bytes, std::optional<sequence_number> number);
    void on_end(const http_call_result& end);
    void stream_ended(const http_call_result& end);
    /// Finishes the stream unless its engine has crashed.
    void confirm_end();
    void stream_lost(const std::string& reason);
    /// The connection was lost before any output or soon after it: the engine may have crashed because of this request.
    void check_for_crash(bool responded);
    /// Finds out which process of the engine runs the generation.
    void identify_process();
    upstream_process process() const { return {engine_, process_start_ms_}; }
    void retry_or_fail(const error& reason, bool reached_engine);
    void resume_refused();
    void forward_error_response();

    void schedule_move_step(milliseconds delay);
    void move_step_due();
    void start_copy(const upstream_record& target, bool final_copy);
    /// The stream is lost, but the engine may work on: stops the generation there before it continues from the copy.
    /// Without a copy it fails.
    void leave_source(const std::string& reason);
    /// Stops the generation with the final copy call. `source_closed`: its stream has ended.
    void start_final_copy(bool source_closed);
    void copy_ended(bool final_copy, const http_call_result& end, const http_response& answer);
    /// The final copy call has failed, and the stream has ended.
    void final_copy_failed(const http_call_result& end, const error& reason);
    /// Bounds the time until the generation continues, whether or not the engine answers the final copy call.
    void limit_final_copy();
    bool others_copying() const;
    bool worth_moving() const;
    std::int64_t generated_tokens() const;
    /// Reports the speed of the engine as the gaps between events show it.
    void observe_gap(instant now, least_gap::duration gap);
    std::optional<upstream_record> select_target_locally();
    void request_target();
    void finish_target_request(const upstream_id& source, const std::optional<upstream_record>& target);
    void on_target_chosen(const std::optional<upstream_record>& target);
    void switch_over();
    bool can_continue_from_copy() const;
    /// Continues from the copy, or fails. The generation must not run at its engine any more.
    void continue_from_copy(const std::string& reason);
    void release_copy();
    void drop_target();

    void finish_stream();
    void fail(const error& reason);
    void finish();
    milliseconds remaining_time() const;
    /// Resources that the request needs on an engine, both for placement and for a move.
    generation_need need() const;
    log_fields log_context() const;

    node_context& context_;
    admitted_request request_;
    scoped_work work_;
    granted_slot slot_;
    /// Slot and memory on the engine that receives the copy.
    scoped_work target_work_;
    generation_move move_;
    /// Share of `error_body_` in the memory for answers.
    budgeted_buffer error_buffer_;
    event_splitter splitter_;
    std::shared_ptr<ihttp_call> call_;
    std::shared_ptr<request_forwarder> forwarder_;
    timer_id deadline_timer_ = 0;
    timer_id step_timer_ = 0;
    std::vector<upstream_id> excluded_;
    upstream_record engine_;
    std::optional<upstream_record> target_;
    /// This request as one that is suspected of having crashed an engine, while it is being tried.
    std::optional<trial> trial_;
    /// Handle of the copy on `target_`; empty when there is none.
    std::string copy_handle_;
    upstream_response_head head_;
    http_headers response_headers_;
    std::string error_body_;
    std::int64_t planned_output_ = 0;
    /// Counts this answer among the open streams for as long as it lives.
    std::shared_ptr<void> stream_slot_;
    sequence_number last_event_ = 0;
    /// Largest difference between the numbers of two events that followed each other on one connection.
    sequence_number id_step_ = 0;
    std::int64_t events_ = 0;
    instant capacity_deadline_{};
    /// Measured from the arrival of the request.
    double first_event_ms_ = 0;
    instant first_event_at_{};
    instant sent_at_{};
    /// Start that the process at the engine has stated while it held the connection; zero if unknown.
    std::int64_t process_start_ms_ = 0;
    /// Number of engines that could not be reached.
    int unreachable_ = 0;
    instant last_event_at_{};
    /// Least gap between events at the current engine, and the one that was reported last.
    least_gap least_gap_;
    least_gap::duration reported_gap_{};
    /// Longest time between two events; `longest_pause_after_` is the event before it.
    std::chrono::steady_clock::duration longest_pause_{};
    sequence_number longest_pause_after_ = 0;
    phase phase_ = phase::placing;
    int offers_ = 0;
    int moves_ = 0;
    /// Incremented for each call; callbacks of earlier calls are ignored.
    std::uint64_t call_epoch_ = 0;
    std::uint64_t copy_epoch_ = 0;
    /// A request for a target engine is pending.
    bool target_requested_ = false;
    /// Was let through although its prompt is under quarantine.
    bool probe_ = false;
    bool response_started_ = false;
    bool wait_logged_ = false;
    bool resumed_ = false;
    /// The next new event is the first one after the generation was resumed.
    bool continues_ = false;
    bool source_closed_ = false;
    bool source_complete_ = false;
    bool final_copy_done_ = false;
    /// A final copy call of this move got no answer: the engine has stopped the generation, or cannot be reached.
    bool final_copy_unanswered_ = false;
    /// Final copy calls since the stream ended, and until when there may be further ones.
    int final_copies_ = 0;
    instant final_copy_deadline_{};
    /// The engine may have stopped the generation for a final copy whose answer is missing.
    bool may_be_stopped_ = false;
    bool reported_sound_ = false;
    bool forwarded_ = false;
    bool done_ = false;
};

} // namespace anvillead
