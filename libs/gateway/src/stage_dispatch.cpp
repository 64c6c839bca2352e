// Dispatch for stage services: their queues, and the calls to their endpoints.
#include "base/exceptions.hpp"
#include "base/logging.hpp"
#include "endpoint_shares.hpp"
#include "platform/requests.hpp"
#include "platform/stage_calls.hpp"
#include "stage_scheduler.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

// Many round trips; beyond it the host counts as unreachable.
constexpr milliseconds connect_timeout{200};
constexpr milliseconds min_run_interval{2}; // far below the duration of a call
// Pause after a run of the queue, in multiples of its duration.
constexpr int run_interval_factor = 4;
// The results of a full call take a few kilobytes.
constexpr std::size_t max_response_bytes = 1U << 20U;

milliseconds time_left(time_point until, time_point now) {
    return std::chrono::floor<milliseconds>(std::max(until - now, duration{0}));
}

std::size_t count_outcome(const std::vector<stages::piece_result>& results,
                          stages::piece_outcome outcome) {
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(),
                      [&](const auto& result) { return result.outcome == outcome; }));
}

stages::call_outcome to_call_outcome(const error& failure) {
    switch (failure.kind) {
    case error_kind::connect_failed:
        return stages::call_outcome::unreachable;
    case error_kind::deadline_exceeded:
        return stages::call_outcome::silent;
    default:
        return stages::call_outcome::broken;
    }
}

std::string_view to_string(stages::call_outcome outcome) {
    switch (outcome) {
    case stages::call_outcome::answered:
        return "answered";
    case stages::call_outcome::refused:
        return "refused";
    case stages::call_outcome::silent:
        return "silent";
    case stages::call_outcome::broken:
        return "broken";
    case stages::call_outcome::unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace

// Applies the endpoints and capacities of the current snapshot.
void stage_scheduler::update_endpoints(time_point now) {
    const auto& published = state_.current()->published;
    serving_since_ = serving_since_.value_or(now);
    dispatchers_.update(now);
    for (auto& [service, queue] : queues_) {
        const auto found = published.config->services.find(service);
        if (found != published.config->services.end() && found->second.stages) {
            queue->queue.set_capacity(*found->second.stages);
        }
        queue->queue.set_endpoints(state_.endpoints(), published.evacuated, service, now);
        update_endpoint_shares(*queue, now);
        run_queue(service);
    }
}

// Reserves the endpoints of a service that other dispatchers may use. Returns whether they changed.
bool stage_scheduler::update_endpoint_shares(service_queue& queue, time_point now) {
    const auto& fleet = state_.fleet();
    const endpoint_sharing sharing{fleet,
                                   {state_.self_id(), state_.role().processors},
                                   dispatchers_.hand_over_partner(queue.service, now),
                                   serving_since_ && is_starting(fleet, *serving_since_, now)};
    const auto shares_hash = sharing_hash(state_.endpoints(), queue.service, sharing);
    if (shares_hash == queue.shares_hash) {
        return false;
    }
    queue.shares_hash = shares_hash;
    auto contended = endpoints_of_others(state_.endpoints(), queue.service, sharing);
    const auto* const partner = sharing.handing_over_with;
    log_change("stages", "endpoints_divided",
               {{"service", queue.service},
                {"entries_seen", std::to_string(fleet.alive.size() + 1)},
                {"entries_silent", std::to_string(fleet.silent.size())},
                {"starting", sharing.starting ? "true" : "false"},
                {"handing_over_with", partner == nullptr ? "" : partner->id},
                {"contended_endpoints", std::to_string(contended.size())}});
    queue.queue.set_contended(std::move(contended));
    return true;
}

milliseconds stage_scheduler::service_time(const catalog::service& service, std::size_t pieces) {
    return queue_for(service).queue.service_time(pieces);
}

milliseconds stage_scheduler::expected_time(const catalog::service& service, std::size_t pieces) {
    return paces_[service.name].expected(service_time(service, pieces), steady_clock::now());
}

bool stage_scheduler::is_idle() const {
    return std::all_of(queues_.begin(), queues_.end(), [](const auto& service) {
        return service.second->queue.waiting_pieces() == 0 &&
               service.second->queue.calls_in_progress() == 0;
    });
}

stages::admission stage_scheduler::enqueue(service_queue& queue, stages::piece_group group,
                                           group_origin origin) {
    const auto id = next_id_++;
    group.id = id;
    const auto now = steady_clock::now();
    const auto request = group.pieces.front().request_id;
    const auto pieces = group.pieces.size();
    const auto useless_in = time_left(group.hard_deadline, now);
    const auto admitted = queue.queue.offer(std::move(group), now);
    if (admitted.accepted) {
        queue.origins.emplace(id, std::move(origin));
    } else {
        log_decision("stages", "group_refused",
                     {{"request", request},
                      {"service", queue.service},
                      {"pieces", std::to_string(pieces)},
                      {"waiting", std::to_string(queue.queue.waiting_pieces())},
                      {"endpoints", std::to_string(queue.queue.endpoint_count())},
                      {"expected_ms", std::to_string(admitted.expected.count())},
                      {"useless_in_ms", std::to_string(useless_in.count())},
                      {"retry_after_ms", std::to_string(admitted.retry_after.count())}});
    }
    return admitted;
}

// Starts the calls that can be started. A long queue is run less often, so that planning takes at
// most a fifth of the thread's time.
void stage_scheduler::run_queue(const std::string& service) {
    auto& queue = *queues_.at(service);
    const auto now = steady_clock::now();
    if (now < queue.next_run_at) {
        schedule_queue(queue, queue.next_run_at);
        return;
    }
    queue.queue.set_avoided_data_centres(state_.reachability().avoided_data_centres(now));
    if (const auto* const pool = state_.pool(service); pool != nullptr) {
        queue.queue.set_call_intervals(pool->send_intervals());
        for (const auto& [endpoint, until] : pool->pauses(now)) {
            queue.queue.on_retry_after(endpoint, std::chrono::ceil<milliseconds>(until - now), now);
        }
    }
    for (auto& call : queue.queue.next_calls(now)) {
        asio::co_spawn(executor_, run_call(service, std::move(call)),
                       exception_logger{"stages", "run_call"});
    }
    for (auto& ended : queue.queue.take_finished(now)) {
        deliver(queue, std::move(ended));
    }
    freer_.free(queue.queue.take_orphaned_results());
    report_deferrals(queue, now);
    const auto next = queue.queue.next_wakeup(now);
    const auto ended_at = steady_clock::now();
    queue.next_run_at =
        ended_at + std::max<duration>(min_run_interval, (ended_at - now) * run_interval_factor);
    schedule_queue(queue, std::max(next, queue.next_run_at));
}

void stage_scheduler::report_deferrals(service_queue& queue, time_point now) {
    for (const auto& change : queue.queue.shares().take_changes(now)) {
        log_change("stages", change.deferred ? "workspace_deferred" : "workspace_restored",
                   {{"service", queue.service},
                    {"workspace", change.workspace},
                    {"priority", std::to_string(change.priority)},
                    {"used_percent", std::to_string(std::lround(change.used_part * 100))},
                    {"waiting", std::to_string(queue.queue.waiting_pieces())}});
    }
    const auto deferred = queue.queue.deferred_groups();
    if (deferred > queue.reported_deferrals) {
        state_.metrics()
            .get_counter("boragefront_fair_share_deferrals_total",
                         "service=\"" + queue.service + '"')
            .add(deferred - std::exchange(queue.reported_deferrals, deferred));
    }
}

void stage_scheduler::schedule_queue(service_queue& queue, time_point when) {
    queue.run_timer.expires_at(when);
    queue.run_timer.async_wait([this, service = queue.service](boost::system::error_code failure) {
        if (!failure) {
            run_queue(service);
        }
    });
}

void stage_scheduler::deliver(service_queue& queue, stages::finished_group ended) {
    const auto found = queue.origins.find(ended.id);
    if (found == queue.origins.end()) {
        return;
    }
    const auto origin = std::move(found->second);
    queue.origins.erase(found);
    if (ended.expired) {
        log_decision("stages", "group_expired",
                     {{"request", ended.request_id},
                      {"service", queue.service},
                      {"retry_after_ms", std::to_string(ended.retry_after.count())},
                      {"waiting", std::to_string(queue.queue.waiting_pieces())},
                      {"endpoints", std::to_string(queue.queue.endpoint_count())}});
    }
    if (const auto* const local = std::get_if<local_origin>(&origin)) {
        complete_group(local->ticket, state_.self_id(), std::move(ended));
    } else if (const auto* const remote = std::get_if<remote_origin>(&origin)) {
        wire::pieces_done_request done{state_.self_id(), remote->ticket, ended.expired,
                                       std::move(ended.results), ended.retry_after};
        asio::co_spawn(executor_, notify_peer(remote->work_address, std::move(done)),
                       exception_logger{"stages", "notify_peer"});
    }
}

http::awaitable<void> stage_scheduler::run_call(std::string service, stages::stage_call call) {
    const auto count = call.pieces.size();
    http::call_options options;
    const auto started = steady_clock::now();
    options.deadline = started + call.timeout;
    options.connect_timeout = connect_timeout;
    options.body_limit = max_response_bytes;
    options.connection = http::connection_use::single_use;
    auto response = co_await endpoints_.call(
        call.address, platform::make_stage_run_request(call.endpoint, call.pieces, call.time_left),
        options);
    const auto now = steady_clock::now();
    const auto data_centre = state_.data_centre_of(call.address);
    if (response) {
        state_.reachability().record_reached(data_centre);
    } else if (response.error().kind == error_kind::connect_failed &&
               now - started >= connect_timeout) {
        state_.reachability().record_unreachable(data_centre, call.endpoint, now);
    }
    auto outcome = stages::call_outcome::answered;
    std::vector<stages::piece_result> results;
    std::string reason;
    const auto head =
        response ? platform::read_response_head(response.value()) : platform::response_head{};
    if (!response) {
        outcome = to_call_outcome(response.error());
        reason = to_string(response.error());
    } else if (head.not_run) {
        outcome =
            head.misdirected ? stages::call_outcome::unreachable : stages::call_outcome::refused;
        reason = "status " + std::to_string(head.status);
    } else if (auto pieces = platform::read_stage_run_response(response.value(), count);
               pieces && !duplicates_.is_duplicate(pieces.value())) {
        results = std::move(pieces.value());
        duplicates_.record(results, now);
    } else {
        outcome = stages::call_outcome::broken;
        reason = "status " + std::to_string(head.status) + ", " +
                 (pieces ? std::string{"names a result of an earlier response, or one twice"}
                         : to_string(pieces.error()));
        // The response to this call may still arrive on the connection in place of a later one.
        endpoints_.close_idle_connections(call.address);
    }
    if (head.leaving) {
        state_.record_leaving(call.endpoint, call.incarnation, now);
    }
    if (response) {
        state_.record_limit(service, call.endpoint, call.incarnation, head, now);
    }
    state_.metrics()
        .get_counter("boragefront_stage_calls_total", "service=\"" + service + "\",outcome=\"" +
                                                          std::string{to_string(outcome)} + '"')
        .add();
    state_.metrics()
        .get_counter("boragefront_stage_pieces_total", "service=\"" + service + '"')
        .add(count);
    log_decision(
        "stages", "call_ended",
        {{"service", service},
         {"endpoint", call.endpoint},
         {"first_request", call.pieces.front().request_id},
         {"pieces", std::to_string(count)},
         {"made", std::to_string(count_outcome(results, stages::piece_outcome::made))},
         {"no_room", std::to_string(count_outcome(results, stages::piece_outcome::no_room))},
         {"left_waiting", std::to_string(call.left_waiting)},
         {"room_left", std::to_string(call.room_left)},
         {"unregistered_ms",
          call.unregistered_for ? std::to_string(call.unregistered_for->count()) : ""},
         {"leaving", head.leaving ? "true" : "false"},
         {"retry_after_ms", head.retry_after ? std::to_string(head.retry_after->count()) : ""},
         {"expected_ms", std::to_string(call.expected.count())},
         {"took_ms", std::to_string(std::chrono::floor<milliseconds>(now - started).count())},
         {"outcome", std::string{to_string(outcome)}},
         {"reason", reason}});
    auto& queue = queues_.at(service)->queue;
    queue.call_ended(call.id, outcome, results, now);
    if (auto* const pool = state_.pool(service);
        head.retry_after && !head.misdirected && pool != nullptr) {
        pool->on_retry_after(call.endpoint, call.incarnation, *head.retry_after, now);
    }
    run_queue(service);
}

// The memory counts as free only after its endpoint has confirmed the release: a call that
// overtakes the release would find no room.
void stage_scheduler::on_results_freed(const std::vector<std::string>& handles) {
    for (auto& [service, queue] : queues_) {
        if (queue->queue.release(handles)) {
            run_queue(service);
        }
    }
}

void stage_scheduler::handle(const wire::release_results_request& release) {
    if (state_.current() != nullptr) {
        freer_.free(release.handles);
    }
}

wire::answer stage_scheduler::handle(const wire::make_pieces_request& request) {
    const auto now = steady_clock::now();
    if (state_.current() == nullptr || dispatchers_.defers(now)) {
        return wire::refusal{"this entry does not accept stage work at present"};
    }
    const auto* const configured = configured_service(request.service);
    const auto kept = queues_.find(request.service);
    if (configured == nullptr && (kept == queues_.end() || !can_dispatch(*kept->second, now))) {
        return wire::refusal{"unknown stage service: " + request.service};
    }
    auto& queue = configured == nullptr ? *kept->second : queue_for(*configured);
    auto group = request.group;
    group.soft_deadline = now + request.wanted_in;
    group.hard_deadline = now + request.useless_in;
    const auto admitted =
        enqueue(queue, std::move(group),
                remote_origin{request.from_address, request.asker, request.ticket});
    if (admitted.accepted) {
        run_queue(request.service);
    }
    return wire::make_pieces_answer{admitted.accepted, admitted.expected, admitted.retry_after};
}

void stage_scheduler::handle(const wire::pieces_done_request& done) {
    complete_group(done.ticket, done.dispatcher,
                   {done.ticket, done.results, done.expired, {}, done.retry_after});
}

void stage_scheduler::handle(const wire::cancel_pieces_request& cancel) {
    const auto found = queues_.find(cancel.service);
    if (found == queues_.end()) {
        return;
    }
    auto& queue = *found->second;
    for (auto origin = queue.origins.begin(); origin != queue.origins.end(); ++origin) {
        const auto* const remote = std::get_if<remote_origin>(&origin->second);
        if (remote != nullptr && remote->entry_id == cancel.asker &&
            remote->ticket == cancel.ticket) {
            queue.queue.cancel(origin->first);
            queue.origins.erase(origin);
            run_queue(cancel.service);
            return;
        }
    }
}

std::vector<std::string> stage_scheduler::describe(time_point now) const {
    std::vector<std::string> lines;
    for (const auto& [service, queue] : queues_) {
        lines.push_back(service + " waiting=" + std::to_string(queue->queue.waiting_pieces()) +
                        " calls=" + std::to_string(queue->queue.calls_in_progress()) +
                        " endpoints=" + std::to_string(queue->queue.endpoint_count()) +
                        " deferred=" + std::to_string(queue->queue.deferred_groups()));
        for (const auto& use : queue->queue.shares().uses(now)) {
            if (use.workspace.empty()) {
                continue;
            }
            lines.push_back(service + " workspace=" + use.workspace +
                            " priority=" + std::to_string(use.priority) +
                            " used_percent=" + std::to_string(std::lround(use.used_part * 100)) +
                            " deferred=" + (use.deferred ? "true" : "false"));
        }
    }
    return lines;
}

} // namespace boragefront::gateway
