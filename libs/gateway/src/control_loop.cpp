#include "control_loop.hpp"

#include "base/exceptions.hpp"
#include "base/logging.hpp"
#include "platform/published.hpp"
#include "suspected_parts.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr std::string_view component = "control";
constexpr std::string_view operators_part = "operators";
constexpr std::string_view endpoints_part = "endpoints";
constexpr milliseconds list_timeout{2'500};
// Long enough to limit the number of responses, which are charged for, and short enough to detect a
// dead connection.
constexpr milliseconds long_poll_wait{10'000};
constexpr milliseconds long_poll_margin{2'500}; // for the response to arrive after the wait
// Endpoint keys change many times a second while many endpoints start or leave. An endpoint that
// leaves must get no more work two seconds later.
constexpr milliseconds endpoint_batch_delay{400};
constexpr milliseconds min_retry_delay{100};
constexpr milliseconds max_retry_delay{800};  // a recovered store is read within a second
constexpr milliseconds publish_interval{300}; // of snapshots that change only because time passes
constexpr milliseconds gossip_timeout{400};
// Ten gossip rounds. After a disturbance, the bounds on the age of published state hold again after
// about this time.
constexpr milliseconds unresponsive_after{3'000};
// Changes up to this size travel with gossip. A round's answers must arrive within
// `gossip_timeout` on the slowest links.
constexpr std::uint64_t max_gossip_delta_bytes = 32U << 10U;
// Software versions are asked for at start-up, from several peers, as one may have been cut off.
constexpr std::size_t wanted_histories = 8;
constexpr milliseconds history_request_time{10'000};
constexpr milliseconds history_wait{1}; // for changes that the store has already
constexpr unsigned max_full_syncs = 2;  // one, and a second in case that peer is gone
// From one part of a transfer of published state to the next.
constexpr milliseconds transfer_timeout{1'000};
// A transfer gets the bandwidth of the link to itself for this long before a second one from
// another peer may start.
constexpr milliseconds sole_transfer_time{1'500};
constexpr std::size_t max_transfers = 2;
// An entry whose own watch of the endpoints succeeded within this time requests no endpoint changes
// from peers: there are many per second, and each peer would send them again.
constexpr milliseconds store_freshness_window{1'000};
constexpr catalog::store_position no_changes_wanted{std::numeric_limits<std::uint64_t>::max(),
                                                    std::numeric_limits<revision>::max()};
// The first watch after a failed call. The store may have returned in a new era and would hold a
// longer watch from a revision that it does not have yet.
constexpr milliseconds probe_wait{100};
// How long an entry counts in the division of limits after its last contact. Longer than the
// limits' windows, which are ten seconds.
constexpr milliseconds limit_divisor_retention{12'000};
// How long an entry without contact is considered silent. One that is partitioned from this entry
// may stay at work throughout the partition; one that died is back within a few seconds or gone for
// good.
constexpr milliseconds silent_retention{20'000};

catalog::replica_delta wanted_changes(const catalog::replica& replica,
                                      catalog::store_position since, bool knows_eras) {
    if (knows_eras) {
        return since < replica.through() ? replica.changes_since(since) : catalog::replica_delta{};
    }
    return since.at < replica.through().at ? replica.changes_since_revision(since.at)
                                           : catalog::replica_delta{};
}

void log_ignored(std::string_view part, catalog::store_position answered,
                 catalog::store_position known, std::string_view from) {
    log_warning("store", "older_era_ignored",
                {{"part", std::string{part}},
                 {"era", std::to_string(answered.era)},
                 {"through", std::to_string(answered.at)},
                 {"era_known", std::to_string(known.era)},
                 {"through_known", std::to_string(known.at)},
                 {"from", std::string{from}}});
}

} // namespace

control_loop::control_loop(const settings::daemon_settings& settings, std::string work_address,
                           control_callbacks callbacks, metrics_registry& metrics)
    : settings_{settings}, work_address_{std::move(work_address)}, callbacks_{std::move(callbacks)},
      metrics_{metrics}, connections_{http::client::make(io_.get_executor())},
      store_{platform::store_client::make(*connections_, settings.platform_address)},
      peers_client_{wire::client::make(
          io_.get_executor(), {metrics.get_counter("boragefront_control_sent_bytes_total"),
                               metrics.get_counter("boragefront_control_received_bytes_total")})},
      peers_{peering::peer_table::make(settings.id, other_seeds(settings.seed_peers))},
      last_round_{steady_clock::now().time_since_epoch().count()} {}

bool control_loop::is_responsive(time_point now) const {
    const time_point last_round{duration{last_round_.load()}};
    return now - last_round < unresponsive_after;
}

control_loop::~control_loop() = default;

result<std::unique_ptr<control_loop>> control_loop::make(const settings::daemon_settings& settings,
                                                         std::string work_address,
                                                         control_callbacks callbacks,
                                                         metrics_registry& metrics) {
    std::unique_ptr<control_loop> created{
        new control_loop{settings, std::move(work_address), std::move(callbacks), metrics}};
    BOOST_OUTCOME_TRY(
        created->server_,
        wire::server::listen(
            created->io_.get_executor(), settings.control_address,
            [loop = created.get()](const wire::request& message) { return loop->answer(message); },
            {metrics.get_counter("boragefront_control_sent_bytes_total"),
             metrics.get_counter("boragefront_control_received_bytes_total")}));
    return created;
}

void control_loop::run() {
    const watched_part operators{operators_part, platform::operators_prefix(),
                                 published_.operator_keys(), milliseconds{0}};
    const watched_part endpoints{endpoints_part, platform::endpoints_prefix(),
                                 published_.endpoint_keys(), endpoint_batch_delay};
    spawn_loop("follow_operators", [this, operators] { return follow_part(operators); });
    spawn_loop("follow_endpoints", [this, endpoints] { return follow_part(endpoints); });
    spawn_loop("gossip_loop", [this] { return gossip_loop(); });
    run_event_loop(io_, component);
}

void control_loop::spawn_loop(std::string_view name, loop_function loop) {
    asio::co_spawn(io_, keep_running(name, std::move(loop)), exception_logger{component, name});
}

http::awaitable<void> control_loop::keep_running(std::string_view name, loop_function loop) {
    for (;;) {
        try {
            co_await loop();
        } catch (...) {
            log_exception(component, name, std::current_exception());
        }
        co_await pause(max_retry_delay);
    }
}

void control_loop::stop() {
    io_.stop();
}

void control_loop::begin_draining() {
    asio::post(io_, [this] {
        draining_ = true;
        notify_peers();
    });
}

void control_loop::set_suspects(std::vector<quarantine::part_report> reports) {
    asio::post(io_,
               [this, reports = std::move(reports)]() mutable { suspects_ = std::move(reports); });
}

void control_loop::set_observations(wire::fleet_observations observations,
                                    wire::fleet_observations with_history) {
    asio::post(io_, [this, observations = std::move(observations),
                     with_history = std::move(with_history)]() mutable {
        observations_ = std::move(observations);
        observations_with_history_ = std::move(with_history);
    });
}

void control_loop::reload(const settings::daemon_settings& settings) {
    asio::post(io_, [this, seeds = other_seeds(settings.seed_peers), role = settings.role] {
        peers_.set_seeds(seeds);
        settings_.role = role; // the others must rank this entry by what it ranks itself by
    });
}

std::vector<std::string> control_loop::other_seeds(const std::vector<std::string>& seeds) const {
    std::vector<std::string> others;
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(others),
                 [&](const std::string& seed) { return seed != settings_.control_address; });
    return others;
}

http::awaitable<void> control_loop::pause(milliseconds time) {
    asio::steady_timer timer{io_, time};
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

void control_loop::record_store_result(watched_part& part, const error* failure) {
    metrics_
        .get_counter(
            "boragefront_store_calls_total",
            "part=\"" + std::string{part.name} + "\",outcome=\"" +
                std::string{failure == nullptr ? "ok" : properties_of(failure->kind).name} + '"')
        .add();
    const bool reachable = failure == nullptr || failure->kind == error_kind::expired;
    if (reachable) {
        last_contact_[std::string{part.name}] = steady_clock::now();
    }
    if (reachable != part.reachable) {
        part.reachable = reachable;
        log_change("store", reachable ? "regained" : "lost",
                   {{"part", std::string{part.name}},
                    {"through", std::to_string(part.replica.through().at)},
                    {"era", std::to_string(part.replica.through().era)},
                    {"reason", failure == nullptr ? "answered" : to_string(*failure)}});
    }
}

bool control_loop::has_fresh_store_data(std::string_view part) const {
    const auto contact = last_contact_.find(part);
    return contact != last_contact_.end() &&
           steady_clock::now() - contact->second < store_freshness_window;
}

http::awaitable<bool> control_loop::list(watched_part& part) {
    const auto listed = co_await store_.list(part.prefix, list_timeout);
    record_store_result(part, listed ? nullptr : &listed.error());
    if (!listed) {
        co_return false;
    }
    const auto before = part.replica.through();
    if (listed.value().through.era < before.era) {
        log_ignored(part.name, listed.value().through, before, "store");
        co_return false;
    }
    part.replica.apply_listing(listed.value().items, listed.value().through, steady_clock::now());
    log_era_change(part.name, part.replica, before, "store");
    note_era(part.replica.through().era);
    publish();
    if (part.name == endpoints_part && !std::exchange(history_read_, true)) {
        asio::co_spawn(io_, read_history(part.prefix, part.replica.through()),
                       exception_logger{component, "read_history"});
    }
    co_return true;
}

http::awaitable<bool> control_loop::watch(watched_part& part, bool& listed) {
    const auto after = part.replica.through();
    const auto wait = part.short_watch ? probe_wait : long_poll_wait;
    http::cancel_source cancel;
    pending_watches_[part.name] = {after.era, &cancel};
    const auto update =
        co_await store_.watch(part.prefix, after, wait, wait + long_poll_margin, &cancel);
    pending_watches_.erase(part.name);
    if (!update && cancel.cancelled()) {
        co_return true;
    }
    record_store_result(part, update ? nullptr : &update.error());
    part.short_watch = !update && update.error().kind != error_kind::expired;
    if (!update) {
        listed = part.short_watch;
        co_return !listed;
    }
    const auto& changes = update.value();
    const auto known = part.replica.through();
    if (changes.through.era > after.era) {
        // It lacks what the new era has up to `after`.
        note_era(changes.through.era);
        listed = changes.through.era <= known.era; // peers may have told of it meanwhile
        co_return listed || must_list_for_era(part);
    }
    if (changes.through.era < known.era) {
        log_ignored(part.name, changes.through, known, "store");
        co_return false;
    }
    if (part.replica.apply_watch_response(changes.items, changes.through, steady_clock::now())) {
        publish();
    }
    co_await pause(part.batch_delay);
    co_return true;
}

bool control_loop::must_list_for_era(watched_part& part) const {
    if (newest_era_ <= part.replica.through().era || newest_era_ <= part.listed_for_era) {
        return false;
    }
    part.listed_for_era = newest_era_;
    return true;
}

void control_loop::note_era(std::uint64_t era) {
    if (era <= newest_era_ || era == no_changes_wanted.era) {
        return;
    }
    newest_era_ = era;
    for (const auto& [part, watch] : pending_watches_) {
        if (watch.era < era) {
            watch.cancel->cancel();
        }
    }
}

void control_loop::log_era_change(std::string_view part, const catalog::replica& replica,
                                  catalog::store_position before, std::string_view from) const {
    const auto now = replica.through();
    if (now.era == before.era || before.at == 0) {
        return;
    }
    log_warning("store", "era_changed",
                {{"part", std::string{part}},
                 {"era_before", std::to_string(before.era)},
                 {"era", std::to_string(now.era)},
                 {"through_before", std::to_string(before.at)},
                 {"through", std::to_string(now.at)},
                 {"unconfirmed", std::to_string(replica.unconfirmed())},
                 {"from", std::string{from}}});
}

http::awaitable<void> control_loop::follow_part(watched_part part) {
    bool listed = false;
    auto retry_delay = min_retry_delay;
    for (;;) {
        bool succeeded = false;
        listed = listed && !must_list_for_era(part);
        if (!listed) {
            listed = succeeded = co_await list(part);
        } else {
            succeeded = co_await watch(part, listed);
        }
        if (succeeded) {
            retry_delay = min_retry_delay;
        } else {
            co_await pause(retry_delay);
            retry_delay = std::min(retry_delay * 2, max_retry_delay);
        }
    }
}

http::awaitable<void> control_loop::gossip_loop() {
    unsigned rounds_without_peers = 0;
    publish_fleet(); // the traffic thread must know how many entries there are before any request
    for (;;) {
        const auto now = steady_clock::now();
        last_round_ = now.time_since_epoch().count();
        if (callbacks_.on_heartbeat) {
            callbacks_.on_heartbeat();
        }
        for (auto& address : peers_.gossip_targets(now, random_)) {
            asio::co_spawn(io_, gossip_with(std::move(address)),
                           exception_logger{component, "gossip_with"});
        }
        rounds_without_peers = peers_.alive_peers(now).empty() ? rounds_without_peers + 1 : 0;
        co_await pause(peering::peer_table::gossip_interval(rounds_without_peers));
        published_.purge_old_removals(steady_clock::now());
        publish_fleet();
        if (published_.expire_unconfirmed(steady_clock::now())) {
            publish();
        }
        // Missing endpoints leave the snapshot after a time without any further change.
        if (published_.complete() && steady_clock::now() - published_at_ > publish_interval) {
            publish();
        }
    }
}

http::awaitable<void> control_loop::gossip_with(std::string address) {
    const auto now = steady_clock::now();
    wire::gossip_request request{self(), peers_.gossip_sample(now, random_),
                                 published_.operator_keys().through(),
                                 published_.endpoint_keys().through(), to_message(suspects_, now)};
    request.observations = observations_;
    request.max_delta_bytes = max_gossip_delta_bytes;
    request.wants_versions = wants_versions(address, now);
    // At start-up the response contains the full published state, so only a few peers are asked for
    // it at a time.
    const bool is_full_sync = !published_.complete() && full_syncs_ < max_full_syncs;
    if (!published_.complete() && !is_full_sync) {
        request.configuration_through = request.endpoints_through = no_changes_wanted;
    }
    if (published_.complete() && has_fresh_store_data(endpoints_part)) {
        request.endpoints_through = no_changes_wanted;
    }
    full_syncs_ += is_full_sync ? 1 : 0;
    const auto response = co_await peers_client_->call(address, std::move(request), gossip_timeout);
    full_syncs_ -= is_full_sync ? 1 : 0;
    record_gossip_result(address, response ? nullptr : &response.error(), now);
    if (!response) {
        peers_.record_missed_call(address, steady_clock::now());
        co_return;
    }
    if (const auto* const gossip = std::get_if<wire::gossip_answer>(&response.value())) {
        apply_gossip(*gossip);
        if (gossip->delta_withheld && may_start_transfer(steady_clock::now())) {
            co_await transfer_state(std::move(address));
        }
    }
}

// Whether this entry, as it has just started, asks for past software versions.
bool control_loop::wants_versions(const std::string& address, time_point now) const {
    return serving_since_ && now - *serving_since_ < history_request_time &&
           history_sources_.size() < wanted_histories && !history_sources_.contains(address);
}

// Reads which endpoints the store's history tells of, to learn of versions that have left before
// this entry started.
http::awaitable<void> control_loop::read_history(std::string_view prefix,
                                                 catalog::store_position through) {
    const auto changes = co_await changes_before(prefix, through);
    metrics_
        .get_counter("boragefront_store_histories_total",
                     std::string{"outcome=\""} + (changes ? "read" : "unknown") + '"')
        .add();
    if (!changes) {
        log_change("store", "history_unknown", {{"through", std::to_string(through.at)}});
        co_return;
    }
    std::map<std::string, bool, std::less<>> is_readable; // by key of an endpoint
    std::vector<catalog::endpoint> seen;
    for (const auto& item : *changes) {
        auto& readable = is_readable[item.key];
        if (!item.value) {
            continue;
        }
        if (auto endpoint = platform::read_endpoint(item.key, *item.value)) {
            readable = true;
            seen.push_back(std::move(endpoint.value()));
        }
    }
    const bool complete = std::all_of(changes->begin(), changes->end(), [&](const auto& item) {
        return item.value || is_readable.find(item.key)->second;
    });
    log_change("store", "history_read",
               {{"changes", std::to_string(changes->size())},
                {"through", std::to_string(through.at)},
                {"departures_known", complete ? "true" : "false"}});
    if (complete && callbacks_.record_past_versions) {
        callbacks_.record_past_versions(std::move(seen));
    }
}

// The oldest changes that the store still has, up to a position or later. Empty if it doesn't tell.
http::awaitable<std::optional<std::vector<catalog::published_item>>>
control_loop::changes_before(std::string_view prefix, catalog::store_position through) {
    std::optional<std::vector<catalog::published_item>> oldest;
    revision forgotten = 0;
    revision kept = through.at;
    while (forgotten < kept) {
        const auto after = forgotten + (kept - forgotten) / 2;
        const catalog::store_position position{through.era, after};
        const auto changes =
            co_await store_.watch(prefix, position, history_wait, history_wait + long_poll_margin);
        if (changes && changes.value().through.era == through.era) {
            oldest = changes.value().items;
            kept = after;
        } else if (!changes && changes.error().kind == error_kind::expired) {
            forgotten = after + 1;
        } else {
            co_return std::nullopt;
        }
    }
    co_return oldest;
}

bool control_loop::may_start_transfer(time_point now) {
    // One that an exception has ended must not keep its place.
    std::erase_if(transfers_, [&](time_point began_at) {
        return now - began_at > wire::max_long_call + transfer_timeout;
    });
    return transfers_.empty() ||
           (transfers_.size() < max_transfers && now - transfers_.back() > sole_transfer_time);
}

// Requests the published state that a peer has withheld from gossip.
http::awaitable<void> control_loop::transfer_state(std::string address) {
    const auto began_at = transfers_.emplace_back(steady_clock::now());
    wire::gossip_request request{
        self(), {}, published_.operator_keys().through(), published_.endpoint_keys().through()};
    if (has_fresh_store_data(endpoints_part) && published_.complete()) {
        request.endpoints_through = no_changes_wanted;
    }
    const auto response =
        co_await peers_client_->call_for_long_answer(address, std::move(request), transfer_timeout);
    std::erase(transfers_, began_at);
    record_gossip_result(address, response ? nullptr : &response.error(), began_at);
    if (!response) {
        co_return;
    }
    if (const auto* const gossip = std::get_if<wire::gossip_answer>(&response.value())) {
        log_change(
            "peers", "state_transferred",
            {{"from", gossip->self.id},
             {"bytes", std::to_string(gossip->configuration.bytes() + gossip->endpoints.bytes())},
             {"took_ms",
              std::to_string(
                  std::chrono::floor<milliseconds>(steady_clock::now() - began_at).count())}});
        apply_gossip(*gossip);
    }
}

// \param since start of the call.
void control_loop::record_gossip_result(const std::string& address, const error* failure,
                                        time_point since) {
    const std::string outcome{failure == nullptr ? "ok" : properties_of(failure->kind).name};
    metrics_.get_counter("boragefront_gossip_calls_total", "outcome=\"" + outcome + '"').add();
    if (failure == nullptr) {
        return;
    }
    const auto now = steady_clock::now();
    log_decision(
        "peers", "call_failed",
        {{"address", address},
         {"operators_through", std::to_string(published_.operator_keys().through().at)},
         {"endpoints_through", std::to_string(published_.endpoint_keys().through().at)},
         {"took_ms", std::to_string(std::chrono::floor<milliseconds>(now - since).count())},
         {"reason", to_string(*failure)}});
}

void control_loop::apply_gossip(const wire::gossip_answer& gossip) {
    const auto now = steady_clock::now();
    peers_.record_contact(gossip.self, now);
    peers_.merge_gossip(gossip.others, now);
    merge_suspects(gossip.suspected_parts, now);
    merge_observations(gossip.self, gossip.observations);
    if (gossip.observations.versions) {
        history_sources_.insert(gossip.self.control_address);
    }
    bool changed = apply_delta(operators_part, published_.operator_keys(), gossip.configuration,
                               gossip.self.id);
    changed =
        apply_delta(endpoints_part, published_.endpoint_keys(), gossip.endpoints, gossip.self.id) ||
        changed;
    if (changed) {
        log_change("peers", "learned_published_state",
                   {{"from", gossip.self.id},
                    {"operators_through", std::to_string(published_.operator_keys().through().at)},
                    {"endpoints_through", std::to_string(published_.endpoint_keys().through().at)},
                    {"era", std::to_string(published_.highest_position().era)}});
        publish();
    }
    publish_fleet();
}

bool control_loop::apply_delta(std::string_view part, catalog::replica& replica,
                               const catalog::replica_delta& delta, const std::string& from) {
    const auto before = replica.through();
    if (delta.through.era < before.era) {
        // A peer of the former program sends one in each round.
        const bool is_empty = delta.through.at == 0;
        if (!is_empty && std::exchange(ignored_peer_eras_[from], before.era) != before.era) {
            log_ignored(part, delta.through, before, from);
        }
        return false;
    }
    const bool changed = replica.apply_delta(delta, steady_clock::now());
    log_era_change(part, replica, before, from);
    note_era(replica.through().era);
    return changed;
}

void control_loop::merge_suspects(const std::vector<wire::suspected_part>& parts, time_point now) {
    if (!parts.empty()) {
        callbacks_.merge_suspects(from_message(parts, now));
    }
}

void control_loop::merge_observations(const wire::entry_info& from,
                                      const wire::fleet_observations& received) {
    if (callbacks_.merge_observations) {
        callbacks_.merge_observations(from.id, received);
    }
}

void control_loop::notify_peers() {
    for (const auto& peer : peers_.alive_peers(steady_clock::now())) {
        asio::co_spawn(io_, gossip_with(peer.control_address),
                       exception_logger{component, "gossip_with"});
    }
}

wire::entry_info control_loop::self() const {
    const auto& role = std::get<settings::gateway_settings>(settings_.role);
    const bool serving = published_.complete() && !draining_;
    const auto serving_for =
        serving && serving_since_
            ? std::chrono::floor<milliseconds>(steady_clock::now() - *serving_since_)
            : milliseconds{0};
    return {settings_.id, incarnation_,    settings_.data_centre, server_->address(), work_address_,
            serving,      milliseconds{0}, role.processors,       role.link_mbps,     serving_for};
}

wire::answer control_loop::answer_gossip(const wire::gossip_request& message) {
    const auto now = steady_clock::now();
    peers_.record_contact(message.self, now);
    peers_.merge_gossip(message.others, now);
    merge_suspects(message.suspected_parts, now);
    merge_observations(message.self, message.observations);
    wire::gossip_answer response;
    response.self = self();
    response.observations = message.wants_versions ? observations_with_history_ : observations_;
    response.suspected_parts = to_message(suspects_, now);
    response.others = peers_.gossip_sample(now, random_);
    const auto& operators = published_.operator_keys();
    const auto& endpoints = published_.endpoint_keys();
    response.configuration =
        wanted_changes(operators, message.configuration_through, message.knows_eras);
    response.endpoints = wanted_changes(endpoints, message.endpoints_through, message.knows_eras);
    for (auto* const delta : {&response.configuration, &response.endpoints}) {
        if (message.max_delta_bytes && delta->bytes() > *message.max_delta_bytes) {
            *delta = {};
            response.delta_withheld = true;
        }
    }
    for (const auto& through : {message.configuration_through, message.endpoints_through}) {
        note_era(through.era);
    }
    publish_fleet();
    return response;
}

wire::answer control_loop::answer(const wire::request& message) {
    if (const auto* const gossip = std::get_if<wire::gossip_request>(&message)) {
        return answer_gossip(*gossip);
    }
    if (std::holds_alternative<wire::status_request>(message)) {
        return status();
    }
    if (std::holds_alternative<wire::dump_request>(message)) {
        return wire::dump_answer{dump()};
    }
    if (std::holds_alternative<wire::metrics_request>(message)) {
        return wire::metrics_answer{metrics_.exposition()};
    }
    return wire::refusal{"request type not supported at a gateway's control address"};
}

wire::status_answer control_loop::status() const {
    wire::status_answer status;
    status.id = settings_.id;
    status.role = membership::instance_role::entry;
    status.data_centre = settings_.data_centre;
    status.phase = draining_               ? wire::service_phase::draining
                   : published_.complete() ? wire::service_phase::serving
                                           : wire::service_phase::starting;
    status.ready = published_.complete() && !draining_;
    status.highest = published_.highest_position().at;
    const auto now = steady_clock::now();
    status.knowledge_age = milliseconds{0};
    for (const auto& [part, contact] : last_contact_) {
        status.knowledge_age =
            std::max(status.knowledge_age, std::chrono::floor<milliseconds>(now - contact));
    }
    status.in_flight = static_cast<std::uint32_t>(callbacks_.open_requests());
    return status;
}

std::string control_loop::dump() {
    const auto now = steady_clock::now();
    boost::json::object state;
    state["id"] = settings_.id;
    state["role"] = "gateway";
    state["life"] = std::to_string(incarnation_);
    state["draining"] = draining_;
    const auto operators = published_.operator_keys().through();
    const auto endpoints = published_.endpoint_keys().through();
    state["operators_through"] = operators.at;
    state["operators_era"] = operators.era;
    state["endpoints_through"] = endpoints.at;
    state["endpoints_era"] = endpoints.era;
    state["unconfirmed"] =
        published_.operator_keys().unconfirmed() + published_.endpoint_keys().unconfirmed();
    boost::json::array peers;
    for (const auto& peer : peers_.known_peers(now)) {
        peers.push_back(boost::json::object{{"id", peer.id},
                                            {"control_address", peer.control_address},
                                            {"serving", peer.serving},
                                            {"heard_ms", peer.heard.count()}});
    }
    state["peers"] = std::move(peers);
    boost::system::error_code parse_error;
    auto traffic = boost::json::parse(callbacks_.dump_traffic(), parse_error);
    state["role_state"] =
        parse_error ? boost::json::value{parse_error.message()} : std::move(traffic);
    return boost::json::serialize(state);
}

void control_loop::publish() {
    published_at_ = steady_clock::now();
    auto snapshot = published_.build(published_at_);
    report_configuration(snapshot);
    if (published_.complete()) {
        serving_since_ = serving_since_.value_or(published_at_);
        callbacks_.publish(std::make_shared<const indexed_snapshot>(std::move(snapshot)));
    }
}

void control_loop::report_configuration(const catalog::snapshot& snapshot) {
    metrics_.get_gauge("boragefront_configurations_refused")
        .set(static_cast<double>(published_.refused_configurations()));
    if (snapshot.config != nullptr) {
        const auto& directory = snapshot.config->directory;
        metrics_.get_gauge("boragefront_needs_api_keys").set(directory ? 1 : 0);
        metrics_.get_gauge("boragefront_api_keys")
            .set(directory ? static_cast<double>(directory->by_key.size()) : 0);
    }
}

void control_loop::publish_fleet() {
    const auto now = steady_clock::now();
    fleet_view view{peers_.serving_peers(now), peers_.alive_peers(now),
                    peers_.unresponsive_peers(now, silent_retention),
                    peers_.max_entry_count(now, limit_divisor_retention), self()};
    if (view.alive.size() != alive_peers_) {
        log_change("peers", "alive_changed",
                   {{"before", std::to_string(alive_peers_)},
                    {"now", std::to_string(view.alive.size())},
                    {"serving", std::to_string(view.serving.size())},
                    {"silent", std::to_string(view.silent.size())},
                    {"limits_divided_by", std::to_string(view.max_entry_count)}});
        alive_peers_ = view.alive.size();
    }
    metrics_.get_gauge("boragefront_peers_alive").set(static_cast<double>(view.alive.size()));
    for (const auto& [part, contact] : last_contact_) {
        metrics_.get_gauge("boragefront_store_age_seconds", "part=\"" + part + '"')
            .set(std::chrono::duration<double>(now - contact).count());
    }
    callbacks_.set_fleet(std::move(view));
}

} // namespace boragefront::gateway
