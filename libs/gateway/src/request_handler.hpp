/// \file
/// One request of a caller, from its route to its one answer.
#pragma once

#include "request_context.hpp"
#include "http/server.hpp"
#include "platform/requests.hpp"
#include "progress_tracker.hpp"
#include "stages/stage_plan.hpp"

#include <optional>
#include <set>
#include <string>

namespace boragefront::gateway {

/// How a request ended, for logs and metrics.
struct request_end {
    std::string outcome;  ///< "answered", or the name of an error kind
    unsigned status{0};   ///< of the answer; 0: the connection was cut
    bool whole{false};    ///< whether the caller got a whole answer
    std::string reason{}; ///< of a refusal or failure
};

/// Runs on the traffic thread as one coroutine and ends before its references do.
class request_run {
public:
    request_run(gateway_parts& parts, const http::request& message, http::responder& out);

    http::awaitable<void> run();

private:
    struct sent {
        std::string endpoint;
        std::uint64_t ticket;
        time_point at;
    };
    enum class next_step : std::uint8_t { done, again };

    // Finds the route and checks the key. Returns the refusal, if there is one.
    std::optional<error> admit();

    http::awaitable<bool> run_stages();
    http::awaitable<void> run_stage_into(std::size_t stage, std::optional<pieces_answer>& answer,
                                         wait_source& wait, boost::asio::steady_timer& some_done);

    bool forget_unreachable();
    std::string data_centre_of_results() const;
    std::string data_centre_of(const std::vector<std::pair<std::string, std::size_t>>& results,
                               std::size_t readers) const;
    std::string_view shared_prompt() const;
    std::string prompt_source(const balancing::chosen_endpoint& chosen) const;
    http::awaitable<std::optional<balancing::chosen_endpoint>> choose();
    http::awaitable<next_step> send_once();
    http::awaitable<next_step> take_answer(http::response_stream& answer, const sent& where);
    http::awaitable<next_step> take_stream(http::response_stream& answer, const sent& where);
    http::awaitable<next_step> take_whole(http::response_stream& answer, const sent& where);
    http::awaitable<next_step> after_failure(const error& failure, bool ran);
    http::awaitable<next_step> after_refusal(const platform::answer_head& head);

    bool may_run_again() const;
    bool take_repeat();
    bool has_time() const;
    bool events_began() const { return first_event_at_.has_value(); }
    bool may_go_elsewhere() const;
    time_point patience(time_point progress_at) const;
    time_point stream_stalled_at(const progress_watch& progress) const;
    void note_end(const sent& where, balancing::send_outcome outcome);

    http::awaitable<void> refuse(error failure, std::optional<milliseconds> retry_after);
    http::awaitable<void> fail(const error& failure);
    http::awaitable<void> answer_whole(http::response answer);
    void free_results();
    void release(std::vector<stages::stage_results> results);
    void log_end();

    gateway_parts& parts_;
    const http::request& message_;
    http::responder& out_;
    time_point received_at_;

    platform::caller_request caller_;
    std::shared_ptr<const indexed_snapshot> snapshot_; // shared: outlives its replacement
    const catalog::route* route_{nullptr};
    std::string workspace_;
    std::optional<std::set<std::string>> homes_; // data centres that it is kept to
    std::string service_;
    int priority_{0};
    time_point deadline_{};       // by the caller and by the route, the sooner of the two
    time_point first_event_by_{}; // after this a caller of a stream has left
    time_point goal_{};

    std::optional<stages::stage_plan> plan_;
    http::cancel_source cancel_;
    std::set<wait_source*> waits_;
    bool caller_left_{false};

    std::set<std::string> tried_;
    unsigned sends_{0};       // that may have run
    unsigned refusals_{0};    // by endpoints
    unsigned inputs_lost_{0}; // times that results were gone
    std::optional<http::response>
        last_failure_;                        // of an endpoint, to pass on if nothing better comes
    bool began_{false};                       // the head of a stream went to the caller
    std::optional<std::uint64_t> last_event_; // that went to the caller
    std::optional<time_point> head_at_;       // of the last endpoint's answer
    std::optional<time_point> first_event_at_;
    time_point stages_done_at_{};
    std::string stage_times_; // "service:milliseconds" of each stage that ended, for the log
    std::string last_endpoint_;
    request_end end_;
};

} // namespace boragefront::gateway
