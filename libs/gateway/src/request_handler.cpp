#include "request_handler.hpp"

#include "base/logging.hpp"
#include "catalog/authentication.hpp"
#include "request_limits.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

// For the response to reach the caller before its deadline.
constexpr milliseconds response_margin{15};

std::int64_t to_milliseconds(duration value) {
    return std::chrono::floor<milliseconds>(value).count();
}

} // namespace

request_handler::request_handler(request_context& context, const http::request& request,
                                 http::responder& responder)
    : context_{context}, request_{request}, responder_{responder},
      received_at_{steady_clock::now()}, snapshot_{context.state.current()} {}

http::awaitable<void> request_handler::run() {
    responder_.on_peer_closed([this] {
        caller_disconnected_ = true;
        end_waits();
    });
    const open_request_list::entry listed{context_.state.open_requests(), [this] {
                                              entry_exits_ = true;
                                              end_waits();
                                          }};
    if (auto refusal = admit()) {
        std::optional<milliseconds> retry_after;
        if (refusal->kind == error_kind::not_ready || refusal->kind == error_kind::no_endpoint ||
            refusal->kind == error_kind::no_capacity) {
            retry_after = default_retry_after;
        } else if (refusal->kind == error_kind::shutting_down) {
            retry_after = shutdown_retry_after();
        } else if (refusal->kind == error_kind::quarantined) {
            retry_after =
                context_.state.prompt_quarantine().refused_for(shared_parts_, received_at_);
        }
        co_await refuse(std::move(*refusal), retry_after);
    } else {
        bool inputs_ready = true;
        auto step = next_step::retry;
        while (inputs_ready && step == next_step::retry) {
            if (plan_ && !plan_->complete()) {
                inputs_ready = co_await run_stages();
            }
            if (inputs_ready) {
                step = co_await send_to_endpoint();
            }
        }
    }
    responder_.on_peer_closed(nullptr);
    release_all_results();
    log_summary();
}

void request_handler::end_waits() {
    for (const auto& source : cancel_sources_) {
        source->cancel();
    }
    for (auto* const source : stage_cancellations_) {
        source->cancel();
    }
}

std::optional<error> request_handler::admit() {
    auto decoded = platform::read_request(request_);
    if (!decoded) {
        return decoded.error();
    }
    caller_ = std::move(decoded.value());
    if (snapshot_ == nullptr) {
        return make_error(error_kind::not_ready, "no configuration received yet");
    }
    const auto& config = *snapshot_->published.config;
    route_ = snapshot_->routes.find(caller_.host, caller_.path);
    if (route_ == nullptr) {
        return make_error(error_kind::unknown_service, "no route matches this host and path");
    }
    priority_ = route_->priority;
    catalog::region_list home_regions; // of the workspace
    const auto authenticated = catalog::authenticate(config, *route_, caller_.key);
    if (!authenticated) {
        return authenticated.error();
    }
    if (const auto* const workspace = authenticated.value(); workspace != nullptr) {
        workspace_ = workspace->name;
        priority_ = workspace->priority.value_or(priority_);
        home_regions = workspace->home_regions;
    }
    allowed_data_centres_ = context_.state.allowed_data_centres(route_->home_regions, home_regions);
    if (allowed_data_centres_ && allowed_data_centres_->empty()) {
        return make_error(error_kind::no_endpoint,
                          "no data centre is allowed to serve the request");
    }
    auto time_left = caller_.time_left.value_or(default_timeout);
    if (route_->timeout > milliseconds{0}) {
        time_left = std::min(time_left, route_->timeout);
    }
    deadline_ = received_at_ + time_left - std::min(response_margin, time_left / 2);
    first_event_deadline_ = deadline_;
    if (route_->streaming) {
        const auto first_event_timeout =
            platform::stream_event_timeout(route_->latency_goal, route_->event_gap_goal);
        first_event_deadline_ =
            std::min(deadline_, received_at_ + first_event_timeout - response_margin);
    }
    latency_goal_at_ =
        received_at_ + (route_->latency_goal > milliseconds{0} ? route_->latency_goal : time_left);
    std::uniform_real_distribution<double> draw{0, 1};
    service_ = catalog::choose_service(*route_, draw(context_.state.random()));
    if (route_->streaming && !caller_.last_event_id.empty()) {
        if (auto refusal = find_origin()) {
            return refusal;
        }
    }
    if (!route_->stages.empty()) {
        auto plan = stages::stage_plan::make(*route_, caller_.id, caller_.piece_key,
                                             caller_.pieces_per_stage);
        if (!plan) {
            return plan.error();
        }
        plan_ = std::move(plan.value());
    }
    if (auto missing = missing_service()) {
        return missing;
    }
    if (const auto& draining = context_.state.draining) {
        const request_durations durations{
            time_left, context_.state.longest_duration(route_->name).value(received_at_)};
        const bool may_repeat = route_->idempotency == catalog::idempotency_class::idempotent;
        const bool other_entry_serves = !context_.state.fleet().serving.empty();
        if (!draining->accepts(durations, may_repeat, other_entry_serves, received_at_)) {
            return shutdown_error();
        }
    }
    for (std::size_t i = 0; i + 1 < caller_.prompt.size(); ++i) {
        shared_parts_.push_back(caller_.prompt[i].id);
    }
    if (context_.state.prompt_quarantine().refused_for(shared_parts_, received_at_)) {
        return quarantine_error();
    }
    if (!request_memory_.resize(request_.body.size())) {
        return make_error(error_kind::no_capacity, "not enough memory to send the request");
    }
    context_.state.retry_budget(service_).record_request(received_at_);
    return std::nullopt;
}

// Takes memory for a response of this size, beside that of a failed one that is kept. Returns
// whether the budget allows it.
bool request_handler::lease_response_memory(std::size_t bytes) {
    const auto kept = last_failed_response_ ? last_failed_response_->body.capacity() : 0;
    return response_memory_.resize(kept + bytes);
}

error request_handler::quarantine_error() {
    return make_error(error_kind::quarantined,
                      "a part of the prompt crashed the endpoints that processed it");
}

// Finds where the stream began that the caller resumes, and restricts the request to that service
// and software version. Returns an error if the stream may not go on here.
std::optional<error> request_handler::find_origin() {
    auto& state = context_.state;
    const auto origin = caller_.resumed_attempt.empty()
                            ? std::nullopt
                            : state.stream_origins().find(caller_.resumed_attempt, received_at_);
    if (origin) {
        const auto& services = route_->services;
        const auto began_at =
            std::find_if(services.begin(), services.end(), [&](const auto& candidate) {
                return candidate.weight > 0 &&
                       continuation::make_service_key(candidate.service) == origin->service;
            });
        if (began_at == services.end()) {
            return make_error(error_kind::no_endpoint,
                              "the route leads no more to the service that began the stream");
        }
        service_ = began_at->service;
        version_ = origin->version;
    } else {
        version_ = state.sole_version(service_, *route_, received_at_);
        if (!version_) {
            return make_error(error_kind::no_endpoint,
                              "the software version that began the stream is not known");
        }
    }
    if (state.pool(service_) != nullptr && !may_go_on()) {
        return make_error(error_kind::no_endpoint,
                          "no endpoint has the software version that began the stream");
    }
    return std::nullopt;
}

// Whether there is another endpoint with the software version that began the stream, if it has
// begun.
bool request_handler::may_go_on() const {
    if (!version_) {
        return true;
    }
    balancing::choice_request criteria;
    criteria.tried = &tried_endpoints_;
    criteria.allowed_data_centres = allowed_data_centres_ ? &*allowed_data_centres_ : nullptr;
    criteria.version = version_;
    const auto* const pool = context_.state.pool(service_);
    return pool != nullptr && pool->has_candidate(criteria, steady_clock::now());
}

// Records where the stream began, before the caller receives its first event.
void request_handler::record_origin(const send_attempt& attempt) {
    version_ = version_.value_or(attempt.version);
    const continuation::stream_origin origin{continuation::make_service_key(service_), *version_};
    auto& origins = context_.state.stream_origins();
    const auto now = steady_clock::now();
    origins.record(caller_.id, origin, now);
    if (!caller_.resumed_attempt.empty() && origins.find(caller_.resumed_attempt, now) == origin) {
        origins.record(caller_.resumed_attempt, origin, now); // keeps it while the stream goes on
    }
}

// A route may name services that the configuration does not have.
std::optional<error> request_handler::missing_service() const {
    const auto& services = snapshot_->published.config->services;
    if (service_.empty()) {
        return make_error(error_kind::no_endpoint, "the route sends requests to no service");
    }
    if (!services.contains(service_)) {
        return make_error(error_kind::no_endpoint, "no such service: " + service_);
    }
    for (std::size_t i = 0; plan_ && i < route_->stages.size(); ++i) {
        const auto found = services.find(route_->stages[i].service);
        const bool exists = found != services.end() && found->second.stages;
        if (!exists && plan_->piece_count(i) > 0) {
            return make_error(error_kind::no_endpoint,
                              "no such stage service: " + route_->stages[i].service);
        }
    }
    return std::nullopt;
}

// The service of a stage with pieces, as configured when the request was accepted.
const catalog::service& request_handler::stage_service(std::size_t stage) const {
    return snapshot_->published.config->services.find(route_->stages[stage].service)->second;
}

error request_handler::shutdown_error() {
    return make_error(error_kind::shutting_down, "this entry is shutting down");
}

milliseconds request_handler::shutdown_retry_after() const {
    const auto& draining = context_.state.draining;
    return draining
               ? draining->retry_after(!context_.state.fleet().serving.empty(), steady_clock::now())
               : default_retry_after;
}

// Tells the caller that the request was not run, or fails the request if it may have been run.
http::awaitable<void> request_handler::refuse(error failure,
                                              std::optional<milliseconds> retry_after) {
    if (stream_started_ || attempts_ > 0) {
        co_await fail(failure);
        co_return;
    }
    summary_.outcome = properties_of(failure.kind).name;
    summary_.status = properties_of(failure.kind).http_status;
    summary_.reason = failure.detail;
    failure.ran = work_ran::no;
    auto response = platform::make_error_response(failure, caller_.id, retry_after);
    summary_.complete = static_cast<bool>(co_await responder_.send(std::move(response)));
}

// Fails a request that may have been run.
http::awaitable<void> request_handler::fail(const error& failure) {
    summary_.reason = to_string(failure);
    if (stream_started_) {
        // The response stays incomplete and the connection is closed, so that the caller detects
        // the truncation.
        summary_.outcome = properties_of(failure.kind).name;
        co_return;
    }
    if (last_failed_response_) {
        co_await send_response(std::move(*last_failed_response_));
        co_return;
    }
    const auto kind = failure.kind == error_kind::deadline_exceeded ? error_kind::deadline_exceeded
                                                                    : error_kind::outcome_unknown;
    auto response_error = make_error(kind, failure.detail);
    summary_.outcome = properties_of(kind).name;
    summary_.status = properties_of(kind).http_status;
    summary_.complete = static_cast<bool>(co_await responder_.send(
        platform::make_error_response(response_error, caller_.id, std::nullopt)));
}

http::awaitable<void> request_handler::send_response(http::response response) {
    summary_.outcome = "answered";
    summary_.status = response.status;
    summary_.complete = static_cast<bool>(
        co_await responder_.send(platform::make_caller_response(std::move(response))));
}

void request_handler::log_summary() {
    const auto now = steady_clock::now();
    auto& metrics = context_.state.metrics();
    const std::string route = route_ == nullptr ? "none" : route_->name;
    metrics
        .get_counter("boragefront_requests_total", "route=\"" + route + "\",outcome=\"" +
                                                       summary_.outcome + "\",status=\"" +
                                                       std::to_string(summary_.status) + '"')
        .add();
    if (summary_.outcome == "answered") {
        metrics.get_latency("boragefront_first_byte_seconds", "route=\"" + route + '"')
            .record(first_event_at_.value_or(now) - received_at_);
        if (summary_.complete) {
            context_.state.longest_duration(route).record(
                std::chrono::ceil<milliseconds>(now - received_at_), now);
        }
    }
    log_decision(
        "request", "ended",
        {{"request", caller_.id},
         {"route", route},
         {"service", service_},
         {"endpoint", last_endpoint_},
         {"leaving", endpoint_leaving_ ? "true" : "false"},
         {"outcome", summary_.outcome},
         {"status", std::to_string(summary_.status)},
         {"whole", summary_.complete ? "true" : "false"},
         {"reason", summary_.reason},
         {"events", std::to_string(summary_.events)},
         {"last_event", last_event_id_ ? std::to_string(*last_event_id_) : "none"},
         {"stream_end", summary_.stream_end},
         {"resumes", caller_.resumed_attempt},
         {"sends", std::to_string(attempts_)},
         {"refused", std::to_string(refusals_)},
         {"stages_ms", std::to_string(stages_done_at_ == time_point{}
                                          ? 0
                                          : to_milliseconds(stages_done_at_ - received_at_))},
         {"stages", stage_times_},
         {"head_ms", std::to_string(head_at_ ? to_milliseconds(*head_at_ - received_at_) : 0)},
         {"first_ms",
          std::to_string(first_event_at_ ? to_milliseconds(*first_event_at_ - received_at_) : 0)},
         {"took_ms", std::to_string(to_milliseconds(now - received_at_))},
         {"goal_ms", std::to_string(route_ == nullptr ? 0 : route_->latency_goal.count())},
         {"left_ms", std::to_string(to_milliseconds(deadline_ - now))},
         {"revision",
          std::to_string(snapshot_ == nullptr ? 0 : snapshot_->published.config_position.at)}});
}

} // namespace boragefront::gateway
