#include "stage_exchange.hpp"

#include "base/hash.hpp"
#include "base/logging.hpp"
#include "platform/requests.hpp"
#include "platform/stage_calls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

// A dispatcher answers within a few round trips; one that is busy or gone costs this much once.
constexpr milliseconds ask_timeout{150};
constexpr milliseconds first_pause{400}; // in which a slow dispatcher works off what it has
constexpr milliseconds longest_pause{3'200};
constexpr std::size_t dispatchers_asked = 2; // then the entry has the pieces made itself
constexpr milliseconds dispatcher_look{200}; // how often a waiting request looks at its dispatcher
// An answer this much later than announced was lost on its way. Until then a dispatcher that is
// alive knows best, also if its endpoints are slow.
constexpr int overdue_factor = 6;
constexpr milliseconds overdue_margin{2'000};
constexpr milliseconds tell_timeout{400};
constexpr milliseconds collect_releases{8}; // makers wait for the memory, so only a moment
constexpr milliseconds connect_timeout{200};

auto redirected(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

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

void wait_source::cancel() {
    cancelled_ = true;
    for (auto* const timer : timers_) {
        timer->cancel();
    }
}

stage_exchange::stage_exchange(asio::any_io_executor executor, traffic_state& state,
                               http::client& endpoints, wire::client& peers, result_freer& freer,
                               std::string work_address)
    : executor_{std::move(executor)}, state_{state}, endpoints_{endpoints}, peers_{peers},
      freer_{freer}, work_address_{std::move(work_address)}, next_id_{state.random()()} {}

stage_exchange::service_queue* stage_exchange::queue_of(const std::string& service) {
    const auto& published = state_.current()->published;
    const auto found = published.config->services.find(service);
    if (found == published.config->services.end() || !found->second.stages) {
        return nullptr;
    }
    auto& kept = queues_[service];
    if (kept == nullptr) {
        kept = std::make_unique<service_queue>(executor_);
        kept->service = service;
        kept->queue = stages::stage_queue::make(*found->second.stages);
        kept->queue.set_endpoints(published.endpoints, published.evacuated, service,
                                  steady_clock::now());
    }
    return kept.get();
}

void stage_exchange::refresh(time_point now) {
    const auto& published = state_.current()->published;
    for (auto& [service, one] : queues_) {
        const auto found = published.config->services.find(service);
        if (found != published.config->services.end() && found->second.stages) {
            one->queue.set_capacity(*found->second.stages);
        }
        one->queue.set_endpoints(published.endpoints, published.evacuated, service, now);
        pump(service);
    }
}

milliseconds stage_exchange::service_time(const std::string& service, std::size_t pieces) {
    auto* const queue = queue_of(service);
    return queue == nullptr ? milliseconds{0} : queue->queue.service_time(pieces);
}

// The entries in the order in which they dispatch for a service; this one ends the list.
std::vector<wire::entry_info> stage_exchange::dispatchers(const std::string& service) const {
    std::vector<wire::entry_info> order;
    const auto score = [&](const std::string& id, double processors) {
        return weighted_rendezvous_score(service, id, processors);
    };
    const auto own = score(state_.self_id(), state_.role().processors);
    const auto now = steady_clock::now();
    for (const auto& one : state_.fleet().serving) {
        const auto late = late_dispatchers_.find(one.id);
        const bool asked_in_vain = late != late_dispatchers_.end() && now < late->second.until;
        if (!asked_in_vain && (state_.draining || score(one.id, one.processors) > own)) {
            order.push_back(one);
        }
    }
    std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
        return score(a.id, a.processors) > score(b.id, b.processors);
    });
    order.resize(std::min(order.size(), dispatchers_asked));
    return order;
}

// A dispatcher that does not answer in time is not asked for a while, longer each time, by none of
// the requests: otherwise each would wait for it, and load it further.
void stage_exchange::note_late(const std::string& dispatcher, time_point now) {
    auto& one = late_dispatchers_[dispatcher];
    if (now < one.until) {
        return;
    }
    one.pause = std::clamp(one.pause * 2, first_pause, longest_pause);
    one.until = now + one.pause;
}

bool stage_exchange::idle() const {
    return std::all_of(queues_.begin(), queues_.end(), [](const auto& one) {
        return one.second->queue.waiting_pieces() == 0 &&
               one.second->queue.calls_in_progress() == 0;
    });
}

bool stage_exchange::is_alive(const wire::entry_info& dispatcher) const {
    const auto& alive = state_.fleet().alive;
    return std::any_of(alive.begin(), alive.end(), [&](const auto& one) {
        return one.id == dispatcher.id && one.life == dispatcher.life;
    });
}

void stage_exchange::note_prediction(const std::string& service, milliseconds expected) {
    state_.metrics()
        .get_latency("boragefront_stage_group_expected_seconds", "service=\"" + service + '"')
        .record(expected);
}

http::awaitable<pieces_answer> stage_exchange::make(std::string service, stages::piece_group group,
                                                    wait_source& wait) {
    const auto began = steady_clock::now();
    auto answer = co_await make_somewhere(service, std::move(group), wait);
    if (std::holds_alternative<pieces_ended>(answer)) {
        state_.metrics()
            .get_latency("boragefront_stage_group_seconds", "service=\"" + service + '"')
            .record(steady_clock::now() - began);
    }
    co_return answer;
}

http::awaitable<pieces_answer> stage_exchange::make_somewhere(const std::string& service,
                                                              stages::piece_group group,
                                                              wait_source& wait) {
    for (const auto& dispatcher : dispatchers(service)) {
        auto answer = co_await ask(dispatcher, service, group, wait);
        if (answer) {
            co_return std::move(*answer);
        }
        log_decision("stages", "dispatcher_passed_over",
                     {{"service", service},
                      {"dispatcher", dispatcher.id},
                      {"request", group.pieces.front().request_id}});
    }
    co_return co_await make_here(service, std::move(group), wait);
}

// Returns nothing if this dispatcher cannot be relied on.
http::awaitable<std::optional<pieces_answer>>
stage_exchange::ask(const wire::entry_info& dispatcher, const std::string& service,
                    const stages::piece_group& group, wait_source& wait) {
    const auto ticket = next_id_++;
    auto own = std::make_shared<pending>(executor_);
    own->dispatcher = dispatcher.id;
    own->pieces = group.pieces.size();
    waits_[ticket] = own;
    const auto asked_at = steady_clock::now();
    wire::make_pieces_request request{work_address_,
                                      state_.self_id(),
                                      ticket,
                                      service,
                                      group,
                                      time_left(group.wanted_by, asked_at),
                                      time_left(group.useless_at, asked_at)};
    auto answer = co_await peers_.call(dispatcher.work_address, std::move(request), ask_timeout);
    const auto* const taken =
        answer ? std::get_if<wire::make_pieces_answer>(&answer.value()) : nullptr;
    if (taken == nullptr) {
        waits_.erase(ticket);
        note_late(dispatcher.id, steady_clock::now());
        // It may take the pieces yet.
        asio::co_spawn(executor_,
                       tell(dispatcher.work_address,
                            wire::cancel_pieces_request{state_.self_id(), ticket, service}),
                       asio::detached);
        co_return std::nullopt;
    }
    late_dispatchers_.erase(dispatcher.id);
    if (!taken->accepted) {
        waits_.erase(ticket);
        co_return pieces_answer{pieces_refused{taken->retry_after}};
    }
    note_prediction(service, taken->expected);
    const auto overdue_at = asked_at + taken->expected * overdue_factor + overdue_margin;
    while (!own->result && !wait.cancelled() && is_alive(dispatcher) &&
           steady_clock::now() < overdue_at) {
        boost::system::error_code ended;
        own->ended.expires_after(dispatcher_look);
        wait.arm(own->ended);
        co_await own->ended.async_wait(redirected(ended));
        wait.disarm(own->ended);
    }
    waits_.erase(ticket);
    if (own->result) {
        if (own->result->expired) {
            co_return pieces_answer{pieces_refused{}};
        }
        co_return pieces_answer{pieces_ended{std::move(own->result->results)}};
    }
    asio::co_spawn(executor_,
                   tell(dispatcher.work_address,
                        wire::cancel_pieces_request{state_.self_id(), ticket, service}),
                   asio::detached);
    if (wait.cancelled()) {
        co_return pieces_answer{pieces_cancelled{}};
    }
    co_return std::nullopt;
}

http::awaitable<pieces_answer> stage_exchange::make_here(const std::string& service,
                                                         stages::piece_group group,
                                                         wait_source& wait) {
    auto* const queue = queue_of(service);
    if (queue == nullptr) {
        co_return pieces_ended{};
    }
    const auto ticket = next_id_++;
    const auto useless_at = group.useless_at;
    auto own = std::make_shared<pending>(executor_);
    own->dispatcher = state_.self_id();
    own->pieces = group.pieces.size();
    waits_[ticket] = own;
    const auto id = next_id_;
    const auto admitted = offer(*queue, std::move(group), local_wait{ticket});
    if (!admitted.accepted) {
        waits_.erase(ticket);
        co_return pieces_refused{admitted.retry_after};
    }
    note_prediction(service, admitted.expected);
    pump(service);
    if (!own->result && !wait.cancelled()) {
        boost::system::error_code ended;
        own->ended.expires_at(useless_at + overdue_margin);
        wait.arm(own->ended);
        co_await own->ended.async_wait(redirected(ended));
        wait.disarm(own->ended);
    }
    waits_.erase(ticket);
    if (own->result && !own->result->expired) {
        co_return pieces_ended{std::move(own->result->results)};
    }
    if (wait.cancelled()) {
        if (auto* const still = queue_of(service); still != nullptr) {
            still->queue.cancel(id);
            still->waiters.erase(id);
        }
        co_return pieces_cancelled{};
    }
    co_return pieces_refused{};
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

void stage_exchange::pump(const std::string& service) {
    auto& one = *queues_.at(service);
    const auto now = steady_clock::now();
    for (auto& call : one.queue.next_calls(now)) {
        asio::co_spawn(executor_, run_call(service, std::move(call)), asio::detached);
    }
    for (auto& ended : one.queue.take_finished(now)) {
        deliver(one, std::move(ended));
    }
    const auto orphans = one.queue.take_orphans();
    one.queue.release(orphans);
    freer_.free(orphans);
    one.wake.expires_at(one.queue.next_event(now));
    one.wake.async_wait([this, service](boost::system::error_code failure) {
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
                      {"waiting", std::to_string(queue.queue.waiting_pieces())},
                      {"endpoints", std::to_string(queue.queue.endpoint_count())}});
    }
    if (const auto* const local = std::get_if<local_wait>(&who)) {
        end_wait(local->ticket, state_.self_id(), std::move(ended));
    } else if (const auto* const remote = std::get_if<remote_wait>(&who)) {
        wire::pieces_done_request done{state_.self_id(), remote->ticket, ended.expired,
                                       std::move(ended.results)};
        asio::co_spawn(executor_, tell(remote->address, std::move(done)), asio::detached);
    }
}

void stage_exchange::end_wait(std::uint64_t ticket, const std::string& dispatcher,
                              stages::finished_group ended) {
    const auto found = waits_.find(ticket);
    if (found != waits_.end() && found->second->dispatcher == dispatcher &&
        (ended.expired || found->second->pieces == ended.results.size())) {
        found->second->result = std::move(ended);
        found->second->ended.cancel();
        return;
    }
    std::vector<std::string> unwanted;
    for (const auto& result : ended.results) {
        if (!result.handle.empty()) {
            unwanted.push_back(result.handle);
        }
    }
    freer_.free(unwanted);
}

http::awaitable<void> stage_exchange::run_call(std::string service, stages::stage_call call) {
    const auto count = call.pieces.size();
    http::call_options options;
    const auto started = steady_clock::now();
    options.deadline = started + call.give_up_after;
    options.connect_timeout = connect_timeout;
    auto answer = co_await endpoints_.call(
        call.address, platform::make_pieces(call.endpoint, call.pieces, call.time_left), options);
    auto outcome = stages::call_outcome::answered;
    std::vector<stages::piece_result> results;
    std::string reason;
    if (!answer) {
        outcome = outcome_of(answer.error());
        reason = to_string(answer.error());
    } else if (const auto head = platform::read_head(answer.value()); head.not_run) {
        outcome = head.replaced ? stages::call_outcome::unreachable : stages::call_outcome::refused;
        reason = "status " + std::to_string(head.status);
    } else if (auto read = platform::read_pieces(answer.value(), count); read) {
        results = std::move(read.value());
    } else {
        outcome = stages::call_outcome::broken;
        reason = "status " + std::to_string(head.status) + ", " + to_string(read.error());
    }
    const auto now = steady_clock::now();
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

void stage_exchange::release(const std::string& service, std::vector<std::string> handles) {
    auto& waiting = to_release_[service];
    waiting.insert(waiting.end(), std::make_move_iterator(handles.begin()),
                   std::make_move_iterator(handles.end()));
    if (!releasing_ && !waiting.empty()) {
        releasing_ = true;
        asio::co_spawn(executor_, send_releases(), asio::detached);
    }
}

http::awaitable<void> stage_exchange::send_releases() {
    asio::steady_timer pause{executor_, collect_releases};
    boost::system::error_code cancelled;
    co_await pause.async_wait(redirected(cancelled));
    releasing_ = false;
    auto waiting = std::exchange(to_release_, {});
    for (auto& [service, handles] : waiting) {
        const auto order = dispatchers(service);
        bool here = order.empty();
        if (!here) {
            // Named, because g++ 12 destroys an aggregate within a co_await expression twice.
            wire::request request = wire::release_results_request{service, handles};
            const auto answer =
                co_await peers_.call(order.front().work_address, std::move(request), ask_timeout);
            here = !answer;
        }
        if (here) {
            release_here(service, handles);
        }
    }
}

void stage_exchange::release_here(const std::string& service,
                                  const std::vector<std::string>& handles) {
    freer_.free(handles);
    const auto found = queues_.find(service);
    if (found != queues_.end()) {
        found->second->queue.release(handles);
        pump(service);
    }
}

void stage_exchange::take(const wire::release_results_request& release) {
    if (state_.current() != nullptr) {
        release_here(release.service, release.handles);
    }
}

http::awaitable<void> stage_exchange::tell(std::string address, wire::request message) {
    constexpr int tries = 2;
    for (int i = 0; i < tries; ++i) {
        const auto answer = co_await peers_.call(address, message, tell_timeout);
        if (answer) {
            co_return;
        }
        if (i + 1 == tries) {
            log_decision("stages", "peer_not_told",
                         {{"peer", address}, {"reason", to_string(answer.error())}});
        }
    }
}

wire::answer stage_exchange::take(const wire::make_pieces_request& request) {
    if (state_.current() == nullptr || state_.draining) {
        return wire::refusal{"takes no stage work now"};
    }
    auto* const queue = queue_of(request.service);
    if (queue == nullptr) {
        return wire::refusal{"no such stage service: " + request.service};
    }
    const auto now = steady_clock::now();
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
    end_wait(done.ticket, done.dispatcher, {done.ticket, done.results, done.expired, {}});
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
