// Stage services for which this entry dispatches: their queues, and the calls to their endpoints.
#include "base/hash.hpp"
#include "base/logging.hpp"
#include "platform/requests.hpp"
#include "platform/stage_calls.hpp"
#include "stage_scheduler.hpp"
#include "stages/endpoint_shares.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr milliseconds connect_timeout{200}; // many round trips; longer means that nobody is there
constexpr milliseconds look_spacing{2};      // far below the time of a call
constexpr int look_share = 4;                // times as long as a look took until the next
constexpr std::size_t answer_bytes_limit = 1U << 20U; // a full call's results take some kilobytes

milliseconds time_left(time_point until, time_point now) {
    return std::chrono::floor<milliseconds>(std::max(until - now, duration{0}));
}

std::size_t count_of(const std::vector<stages::piece_result>& results,
                     stages::piece_outcome outcome) {
    return static_cast<std::size_t>(std::count_if(
        results.begin(), results.end(), [&](const auto& one) { return one.outcome == outcome; }));
}

stages::call_outcome outcome_of(const error& failure) {
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

void stage_exchange::refresh(time_point now) {
    const auto& published = state_.current()->published;
    for (auto& [service, one] : queues_) {
        const auto found = published.config->services.find(service);
        if (found != published.config->services.end() && found->second.stages) {
            one->queue.set_capacity(*found->second.stages);
        }
        one->queue.set_endpoints(published.endpoints, published.evacuated, service, now);
        divide_endpoints(*one);
        pump(service);
    }
}

// Leaves the entries that this one cannot see their share of a service's endpoints.
void stage_exchange::divide_endpoints(service_queue& queue) {
    const auto& fleet = state_.fleet();
    const auto& endpoints = state_.current()->published.endpoints;
    std::uint64_t basis = 0;
    if (!fleet.silent.empty()) {
        for (const auto& one : fleet.silent) {
            basis = stable_hash(one.id, basis);
        }
        for (const auto& one : fleet.alive) {
            basis = stable_hash(one.id, basis);
        }
        for (const auto& one : endpoints) {
            basis = one.service == queue.service ? stable_hash(one.id, basis) : basis;
        }
    }
    if (basis == queue.divided_for) {
        return;
    }
    queue.divided_for = basis;
    const auto sharing = [](const std::vector<wire::entry_info>& entries) {
        std::vector<stages::sharing_entry> shares;
        shares.reserve(entries.size() + 1);
        for (const auto& one : entries) {
            shares.push_back({one.id, one.processors});
        }
        return shares;
    };
    auto seen = sharing(fleet.alive);
    seen.push_back({state_.self_id(), state_.role().processors});
    auto others = stages::contended_endpoints(endpoints, queue.service, state_.self_id(), seen,
                                              sharing(fleet.silent));
    log_change("stages", "endpoints_divided",
               {{"service", queue.service},
                {"entries_seen", std::to_string(seen.size())},
                {"entries_silent", std::to_string(fleet.silent.size())},
                {"contended_endpoints", std::to_string(others.size())}});
    queue.queue.set_contended(std::move(others));
}

milliseconds stage_exchange::service_time(const std::string& service, std::size_t pieces) {
    auto* const queue = queue_of(service);
    return queue == nullptr ? milliseconds{0} : queue->queue.service_time(pieces);
}

milliseconds stage_exchange::expected_time(const std::string& service, std::size_t pieces) {
    return paces_[service].expected(service_time(service, pieces), steady_clock::now());
}

bool stage_exchange::idle() const {
    return std::all_of(queues_.begin(), queues_.end(), [](const auto& one) {
        return one.second->queue.waiting_pieces() == 0 &&
               one.second->queue.calls_in_progress() == 0;
    });
}

stages::admission stage_exchange::offer(service_queue& queue, stages::piece_group group,
                                        waiter who) {
    const auto id = next_id_++;
    group.id = id;
    const auto now = steady_clock::now();
    const auto request = group.pieces.front().request_id;
    const auto pieces = group.pieces.size();
    const auto useless_in = time_left(group.useless_at, now);
    const auto admitted = queue.queue.offer(std::move(group), now);
    if (admitted.accepted) {
        queue.waiters.emplace(id, std::move(who));
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

// Starts the calls that can start. A long queue is looked at less often, so that looking through it
// takes at most a fifth of the thread's time.
void stage_exchange::pump(const std::string& service) {
    auto& one = *queues_.at(service);
    const auto now = steady_clock::now();
    if (now < one.next_look) {
        look_at(one, one.next_look);
        return;
    }
    one.queue.set_avoided(state_.reach().avoided(now));
    for (auto& call : one.queue.next_calls(now)) {
        asio::co_spawn(executor_, run_call(service, std::move(call)), asio::detached);
    }
    for (auto& ended : one.queue.take_finished(now)) {
        deliver(one, std::move(ended));
    }
    freer_.free(one.queue.take_orphans());
    const auto next = one.queue.next_event(now);
    const auto ended_at = steady_clock::now();
    one.next_look = ended_at + std::max<duration>(look_spacing, (ended_at - now) * look_share);
    look_at(one, std::max(next, one.next_look));
}

void stage_exchange::look_at(service_queue& one, time_point when) {
    one.wake.expires_at(when);
    one.wake.async_wait([this, service = one.service](boost::system::error_code failure) {
        if (!failure) {
            pump(service);
        }
    });
}

void stage_exchange::deliver(service_queue& queue, stages::finished_group ended) {
    const auto found = queue.waiters.find(ended.id);
    if (found == queue.waiters.end()) {
        return;
    }
    const auto who = std::move(found->second);
    queue.waiters.erase(found);
    if (ended.expired) {
        log_decision("stages", "group_expired",
                     {{"request", ended.request_id},
                      {"service", queue.service},
                      {"retry_after_ms", std::to_string(ended.retry_after.count())},
                      {"waiting", std::to_string(queue.queue.waiting_pieces())},
                      {"endpoints", std::to_string(queue.queue.endpoint_count())}});
    }
    if (const auto* const local = std::get_if<local_wait>(&who)) {
        end_wait(local->ticket, state_.self_id(), std::move(ended));
    } else if (const auto* const remote = std::get_if<remote_wait>(&who)) {
        wire::pieces_done_request done{state_.self_id(), remote->ticket, ended.expired,
                                       std::move(ended.results), ended.retry_after};
        asio::co_spawn(executor_, tell(remote->address, std::move(done)), asio::detached);
    }
}

http::awaitable<void> stage_exchange::run_call(std::string service, stages::stage_call call) {
    const auto count = call.pieces.size();
    http::call_options options;
    const auto started = steady_clock::now();
    options.deadline = started + call.give_up_after;
    options.connect_timeout = connect_timeout;
    options.body_limit = answer_bytes_limit;
    auto answer = co_await endpoints_.call(
        call.address, platform::make_pieces(call.endpoint, call.pieces, call.time_left), options);
    const auto now = steady_clock::now();
    const auto data_centre = state_.data_centre_of(call.address);
    if (answer) {
        state_.reach().note_reached(data_centre);
    } else if (answer.error().kind == error_kind::connect_failed &&
               now - started >= connect_timeout) {
        state_.reach().note_unreachable(data_centre, call.endpoint, now);
    }
    auto outcome = stages::call_outcome::answered;
    std::vector<stages::piece_result> results;
    std::string reason;
    if (!answer) {
        outcome = outcome_of(answer.error());
        reason = to_string(answer.error());
    } else if (const auto head = platform::read_head(answer.value()); head.not_run) {
        outcome = head.replaced ? stages::call_outcome::unreachable : stages::call_outcome::refused;
        reason = "status " + std::to_string(head.status);
    } else if (auto read = platform::read_pieces(answer.value(), count);
               read && !last_answers_.is_copy(read.value())) {
        results = std::move(read.value());
        last_answers_.note(results, now);
    } else {
        outcome = stages::call_outcome::broken;
        reason = "status " + std::to_string(head.status) + ", " +
                 (read ? std::string{"a copy of an earlier answer"} : to_string(read.error()));
        // The answer to this call may still come, where that to the next one is due.
        endpoints_.drop_idle(call.address);
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
         {"made", std::to_string(count_of(results, stages::piece_outcome::made))},
         {"no_room", std::to_string(count_of(results, stages::piece_outcome::no_room))},
         {"left_waiting", std::to_string(call.left_waiting)},
         {"room_left", std::to_string(call.room_left)},
         {"expected_ms", std::to_string(call.expected.count())},
         {"took_ms", std::to_string(std::chrono::floor<milliseconds>(now - started).count())},
         {"outcome", std::string{to_string(outcome)}},
         {"reason", reason}});
    queues_.at(service)->queue.call_ended(call.id, outcome, results, now);
    pump(service);
}

// The room counts as free only once the maker has said so: a call that overtakes the release would
// find none.
void stage_exchange::note_freed(const std::vector<std::string>& handles) {
    for (auto& [service, one] : queues_) {
        if (one->queue.release(handles)) {
            pump(service);
        }
    }
}

void stage_exchange::take(const wire::release_results_request& release) {
    if (state_.current() != nullptr) {
        freer_.free(release.handles);
    }
}

wire::answer stage_exchange::take(const wire::make_pieces_request& request) {
    const auto now = steady_clock::now();
    if (state_.current() == nullptr || leaves_dispatch_to_others(self(), state_.fleet(), now)) {
        return wire::refusal{"takes no stage work now"};
    }
    auto* const queue = queue_of(request.service);
    if (queue == nullptr) {
        return wire::refusal{"no such stage service: " + request.service};
    }
    auto group = request.group;
    group.wanted_by = now + request.wanted_in;
    group.useless_at = now + request.useless_in;
    const auto admitted = offer(*queue, std::move(group),
                                remote_wait{request.from_address, request.asker, request.ticket});
    if (admitted.accepted) {
        pump(request.service);
    }
    return wire::make_pieces_answer{admitted.accepted, admitted.expected, admitted.retry_after};
}

void stage_exchange::take(const wire::pieces_done_request& done) {
    end_wait(done.ticket, done.dispatcher,
             {done.ticket, done.results, done.expired, {}, done.retry_after});
}

void stage_exchange::take(const wire::cancel_pieces_request& cancel) {
    const auto found = queues_.find(cancel.service);
    if (found == queues_.end()) {
        return;
    }
    auto& one = *found->second;
    for (auto entry = one.waiters.begin(); entry != one.waiters.end(); ++entry) {
        const auto* const remote = std::get_if<remote_wait>(&entry->second);
        if (remote != nullptr && remote->asker == cancel.asker && remote->ticket == cancel.ticket) {
            one.queue.cancel(entry->first);
            one.waiters.erase(entry);
            pump(cancel.service);
            return;
        }
    }
}

std::vector<std::string> stage_exchange::describe(time_point /*now*/) const {
    std::vector<std::string> lines;
    for (const auto& [service, one] : queues_) {
        lines.push_back(service + " waiting=" + std::to_string(one->queue.waiting_pieces()) +
                        " calls=" + std::to_string(one->queue.calls_in_progress()) +
                        " endpoints=" + std::to_string(one->queue.endpoint_count()));
    }
    return lines;
}

} // namespace boragefront::gateway
