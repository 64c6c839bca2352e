/// \file
/// Handling of one request, from routing to the response.
#pragma once

#include "http/server.hpp"
#include "platform/requests.hpp"
#include "progress_tracker.hpp"
#include "quarantine/observed_response.hpp"
#include "request_context.hpp"
#include "stages/stage_plan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// Summary of a finished request for logs and metrics.
struct request_summary {
    std::string outcome;      ///< "answered" or the name of an error kind
    unsigned status{0};       ///< of the response; 0 if the connection was closed instead
    bool complete{false};     ///< whether the response was sent completely
    std::string reason{};     ///< of a refusal or failure
    std::uint64_t events{0};  ///< of a stream, passed on to the caller
    std::string stream_end{}; ///< how the last endpoint's stream ended; empty: it did not
};

/// Runs as one coroutine on the traffic thread. Its references must outlive it.
class request_handler {
public:
    request_handler(request_context& context, const http::request& request,
                    http::responder& responder);

    http::awaitable<void> run();

private:
    struct send_attempt {
        std::string endpoint;
        std::string address;
        std::uint64_t incarnation;
        continuation::version_key version;
        std::uint64_t ticket;
        time_point at;
    };
    struct results_location {
        std::string data_centre; // empty: none
        std::uint64_t bytes{0};
    };
    // The runs of stages that have not ended, by the stage's index.
    struct stage_runs {
        explicit stage_runs(const boost::asio::any_io_executor& executor)
            : stage_ended{executor, time_point::max()} {}
        std::map<std::size_t, std::optional<group_outcome>> outcomes;
        cancellation_source cancellation;
        boost::asio::steady_timer stage_ended;
    };
    enum class next_step : std::uint8_t {
        done,
        retry,    // send the request to another endpoint
        replaced, // another endpoint has accepted the request; relay its response
    };
    // A request that is ready to be sent to a chosen endpoint.
    struct prepared_send {
        std::string address;
        std::string data_centre;
        http::request message;
        http::call_options options;
        send_attempt attempt;
    };
    struct accepted_response {
        std::unique_ptr<http::response_stream> stream;
        send_attempt attempt;
    };
    // Consumes bytes of a response. Returns whether they are progress.
    using byte_consumer = std::function<bool(const std::string& bytes)>;
    struct stages_failure {
        error reason;
        std::optional<milliseconds> retry_after;
    };

    // Finds the route and checks the API key. Returns an error if the request is refused.
    std::optional<error> admit();
    static error quarantine_error();
    std::optional<error> missing_service() const;
    std::optional<error> find_origin();
    bool may_go_on() const;
    void record_origin(const send_attempt& attempt);
    const catalog::service& stage_service(std::size_t stage) const;

    http::awaitable<bool> run_stages();
    http::awaitable<std::optional<stages_failure>> produce_results(stage_runs& runs);
    time_point start_stages(stage_runs& runs);
    http::awaitable<void> run_stage(std::size_t stage, std::vector<stages::piece> missing,
                                    stage_runs& runs);

    std::optional<stages_failure> end_run(std::size_t stage, const group_outcome& outcome,
                                          const stage_runs& runs);
    void log_inputs_gone(std::size_t stage, const stage_runs& runs) const;
    milliseconds start_delay(std::size_t stage) const;
    bool discard_unreachable_results();
    results_location inputs_location() const;
    results_location
    dominant_data_centre(const std::vector<std::pair<std::string, std::size_t>>& results,
                         std::size_t readers) const;
    std::string_view shared_prompt() const;
    milliseconds max_affinity_wait() const;
    std::string cached_prompt_source(const balancing::chosen_endpoint& chosen) const;
    std::optional<balancing::chosen_endpoint> find_endpoint(time_point now);
    http::awaitable<std::optional<balancing::chosen_endpoint>> choose_endpoint();
    http::awaitable<next_step> send_to_endpoint();
    std::optional<std::vector<std::string>> collect_inputs() const;
    prepared_send prepare_send(const balancing::chosen_endpoint& chosen,
                               balancing::endpoint_pool& pool, std::vector<std::string> inputs,
                               time_point now);
    http::cancel_source& add_cancel_source();
    http::awaitable<next_step> handle_response(http::response_stream& stream,
                                               const send_attempt& attempt);
    http::awaitable<next_step> relay_stream(http::response_stream& stream,
                                            const send_attempt& attempt);
    http::awaitable<next_step> relay_response(http::response_stream& stream,
                                              const send_attempt& attempt);
    http::awaitable<std::optional<error>> check_end(const http::response_stream& stream,
                                                    const send_attempt& attempt);
    http::awaitable<next_step> handle_failure(const error& failure, bool may_have_run);
    void record_response_head(const platform::response_head& head, const send_attempt& attempt);

    // Replacement of an endpoint that falls silent in the middle of its response.
    http::awaitable<bool> wait_or_replace(http::response_stream& stream,
                                          const progress_tracker& progress,
                                          const byte_consumer& consume);
    http::awaitable<bool> replace(http::response_stream& silent, const byte_consumer& consume);
    http::awaitable<bool> reproduce_results(http::response_stream& silent,
                                            const byte_consumer& consume);
    http::awaitable<void> open_replacement(prepared_send& prepared,
                                           std::unique_ptr<http::response_stream>& accepted);
    bool reserve_retry();
    bool reserve_other_endpoint();
    http::awaitable<next_step> handle_refusal(const platform::response_head& head);

    bool may_retry() const;
    bool acquire_retry();
    bool has_time_left() const;
    bool is_ended_early() const { return caller_disconnected_ || entry_exits_; }
    bool has_first_event() const { return first_event_at_.has_value(); }
    bool may_try_another_endpoint() const;
    time_point silent_at(time_point progress_at) const;
    time_point silent_at(const progress_tracker& progress) const;
    time_point stream_deadline(const progress_tracker& progress) const;
    void record_outcome(const send_attempt& attempt, balancing::send_outcome outcome);
    void record_failed_open(const prepared_send& prepared, const error& failure,
                            time_point began_at);
    void record_lost_connection(const send_attempt& attempt,
                                const quarantine::observed_response& response,
                                const error& failure);
    void record_content(const send_attempt& attempt, time_point now);
    void record_sound_response(time_point now);

    void end_waits();
    static error shutdown_error();
    milliseconds shutdown_retry_after() const;
    http::awaitable<void> refuse(error failure, std::optional<milliseconds> retry_after);
    http::awaitable<void> fail(const error& failure);
    http::awaitable<void> send_response(http::response response);
    bool lease_response_memory(std::size_t bytes);
    void release_all_results();
    void release_results(std::vector<stages::stage_results> results);
    void log_summary();

    request_context& context_;
    const http::request& request_;
    http::responder& responder_;
    time_point received_at_;

    platform::caller_request caller_;
    std::shared_ptr<const indexed_snapshot>
        snapshot_; // shared, as it may be replaced during the request
    const catalog::route* route_{nullptr};
    std::vector<std::string> shared_parts_; // of the prompt: all but the last, which no other
                                            // request has
    std::string workspace_;
    std::optional<std::set<std::string>>
        allowed_data_centres_; // by home regions; empty optional: all
    std::string service_;
    /// Software version that began the stream, at which alone it may go on; empty: it has not begun
    std::optional<continuation::version_key> version_;
    int priority_{0};
    time_point deadline_{};             // the earlier of the caller's and the route's
    time_point first_event_deadline_{}; // callers of streams have disconnected by then
    time_point latency_goal_at_{};

    std::optional<stages::stage_plan> plan_;
    std::vector<std::unique_ptr<http::cancel_source>> cancel_sources_; // one per attempt
    byte_lease request_memory_{context_.memory};  // for the copy of the body that is sent
    byte_lease response_memory_{context_.memory}; // for what was received and is not sent on
    std::set<cancellation_source*> stage_cancellations_;
    bool caller_disconnected_{false};
    bool entry_exits_{false};

    std::set<std::string> tried_endpoints_;
    std::set<std::string> contacted_addresses_; // of all attempts
    unsigned attempts_{0};                      // that may have been run
    unsigned refusals_{0};                      // by endpoints, including failed connections
    unsigned input_losses_{0};                  // times that stage results were lost
    bool retry_reserved_{false};       // a retry was taken from the budget and is not used yet
    time_point next_replacement_at_{}; // none is tried before
    std::optional<accepted_response> replacement_;       // of an endpoint that fell silent
    std::optional<http::response> last_failed_response_; // sent to the caller if no retry succeeds
    bool stream_started_{false};                 // whether the response head was sent to the caller
    std::optional<std::uint64_t> last_event_id_; // last one sent to the caller
    bool has_resumption_point_{true};   // whether the last event sent to the caller has an id
    std::optional<time_point> head_at_; // when the last endpoint's response head arrived
    std::optional<time_point> first_event_at_;
    std::map<std::size_t, time_point> stage_started_at_; // by index, of the last start
    time_point stages_done_at_{};
    std::string stage_times_; // "service:milliseconds" of each finished stage, for the log
    std::string last_endpoint_;
    bool endpoint_leaving_{false};           // by its last response
    quarantine::observed_response response_; // to the last attempt
    request_summary summary_;
};

} // namespace boragefront::gateway
