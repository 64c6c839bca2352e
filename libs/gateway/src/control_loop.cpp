#include "control_loop.hpp"

#include "base/logging.hpp"
#include "platform/published.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <limits>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr std::string_view operators_part = "operators";
constexpr std::string_view endpoints_part = "endpoints";
constexpr milliseconds list_timeout{2'500};
constexpr milliseconds watch_wait{
    10'000}; // each answer is paid for, and a dead connection shows itself
constexpr milliseconds watch_margin{2'500}; // for the answer to come after the wait
// Endpoints' entries change many times a second when many start or leave; a leaving one must get no
// more work two seconds later.
constexpr milliseconds collect_endpoints{400};
constexpr milliseconds first_retry{100};
constexpr milliseconds longest_retry{800}; // so that a store that returns is read within a second
constexpr milliseconds publish_interval{300}; // of a snapshot that changes with time alone
constexpr milliseconds gossip_timeout{400};
// Ten rounds of gossip. Bounds on what is published hold from about then on after a disturbance.
constexpr milliseconds silence_limit{3'000};
constexpr unsigned asked_for_all_at_most = 2; // one, and another in case that one is gone
// An entry whose own watch of the endpoints answered so lately needs no peer's changes of them:
// there are many a second, and each peer would tell them again.
constexpr milliseconds store_news_fresh_for{1'000};
constexpr auto wants_no_changes = std::numeric_limits<revision>::max();
// Limits stay divided by an entry for so long after it was last heard of: the windows of the
// limits are ten seconds.
constexpr milliseconds counted_for{12'000};
// An entry that is cut off from this one may be at work for as long as the cut lasts; one that died
// is back within a few seconds, or gone for good.
constexpr milliseconds silent_kept{20'000};

} // namespace

control_loop::control_loop(const settings::daemon_settings& settings, std::string work_address,
                           control_outputs outputs, metrics_registry& metrics)
    : settings_{settings}, work_address_{std::move(work_address)}, outputs_{std::move(outputs)},
      metrics_{metrics}, connections_{http::client::make(io_.get_executor())},
      store_{platform::store_client::make(*connections_, settings.platform_address)},
      peers_client_{wire::client::make(
          io_.get_executor(), {metrics.get_counter("boragefront_control_sent_bytes_total"),
                               metrics.get_counter("boragefront_control_received_bytes_total")})},
      peers_{peering::peer_table::make(settings.id, other_seeds(settings.seed_peers))},
      last_round_{steady_clock::now().time_since_epoch().count()} {}

bool control_loop::is_responsive(time_point now) const {
    const time_point last_round{duration{last_round_.load()}};
    return now - last_round < silence_limit;
}

control_loop::~control_loop() = default;

result<std::unique_ptr<control_loop>> control_loop::make(const settings::daemon_settings& settings,
                                                         std::string work_address,
                                                         control_outputs outputs,
                                                         metrics_registry& metrics) {
    std::unique_ptr<control_loop> made{
        new control_loop{settings, std::move(work_address), std::move(outputs), metrics}};
    BOOST_OUTCOME_TRY(
        made->server_,
        wire::server::listen(
            made->io_.get_executor(), settings.control_address,
            [loop = made.get()](const wire::request& message) { return loop->answer(message); },
            {metrics.get_counter("boragefront_control_sent_bytes_total"),
             metrics.get_counter("boragefront_control_received_bytes_total")}));
    return made;
}

void control_loop::run() {
    auto& published = published_;
    asio::co_spawn(io_,
                   follow({operators_part, platform::operators_prefix(), published.operators_keys(),
                           milliseconds{0}}),
                   asio::detached);
    asio::co_spawn(io_,
                   follow({endpoints_part, platform::endpoints_prefix(), published.endpoint_keys(),
                           collect_endpoints}),
                   asio::detached);
    asio::co_spawn(io_, gossip_loop(), asio::detached);
    io_.run();
}

void control_loop::stop() {
    io_.stop();
}

void control_loop::begin_draining() {
    asio::post(io_, [this] {
        draining_ = true;
        tell_all();
    });
}

void control_loop::reload(const settings::daemon_settings& settings) {
    asio::post(io_, [this, seeds = other_seeds(settings.seed_peers)] { peers_.set_seeds(seeds); });
}

std::vector<std::string> control_loop::other_seeds(const std::vector<std::string>& seeds) const {
    std::vector<std::string> others;
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(others),
                 [&](const std::string& one) { return one != settings_.control_address; });
    return others;
}

http::awaitable<void> control_loop::pause(milliseconds time) {
    asio::steady_timer timer{io_, time};
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

void control_loop::note_store(followed& part, const error* failure) {
    metrics_
        .get_counter(
            "boragefront_store_calls_total",
            "part=\"" + std::string{part.name} + "\",outcome=\"" +
                std::string{failure == nullptr ? "ok" : properties_of(failure->kind).name} + '"')
        .add();
    const bool reachable = failure == nullptr || failure->kind == error_kind::expired;
    if (reachable) {
        heard_[std::string{part.name}] = steady_clock::now();
    }
    if (reachable != part.reachable) {
        part.reachable = reachable;
        log_change("store", reachable ? "regained" : "lost",
                   {{"part", std::string{part.name}},
                    {"through", std::to_string(part.replica.through())},
                    {"reason", failure == nullptr ? "answered" : to_string(*failure)}});
    }
}

bool control_loop::hears_from_store(std::string_view part) const {
    const auto heard = heard_.find(part);
    return heard != heard_.end() && steady_clock::now() - heard->second < store_news_fresh_for;
}

http::awaitable<bool> control_loop::list(followed& part) {
    const auto listed = co_await store_.list(part.prefix, list_timeout);
    note_store(part, listed ? nullptr : &listed.error());
    if (!listed) {
        co_return false;
    }
    part.replica.apply_listing(listed.value().items, listed.value().through, steady_clock::now());
    publish();
    co_return true;
}

http::awaitable<void> control_loop::follow(followed part) {
    bool listed = false;
    auto retry = first_retry;
    for (;;) {
        bool progressed = false;
        if (!listed) {
            listed = progressed = co_await list(part);
        } else {
            const auto news = co_await store_.watch(part.prefix, part.replica.through(), watch_wait,
                                                    watch_wait + watch_margin);
            note_store(part, news ? nullptr : &news.error());
            progressed = static_cast<bool>(news);
            if (news) {
                if (part.replica.apply_watched(news.value().items, news.value().through,
                                               steady_clock::now())) {
                    publish();
                }
                co_await pause(part.collect);
            } else if (news.error().kind == error_kind::expired) {
                listed = false;
                continue;
            }
        }
        if (progressed) {
            retry = first_retry;
        } else {
            co_await pause(retry);
            retry = std::min(retry * 2, longest_retry);
        }
    }
}

http::awaitable<void> control_loop::gossip_loop() {
    unsigned rounds_alone = 0;
    for (;;) {
        const auto now = steady_clock::now();
        last_round_ = now.time_since_epoch().count();
        for (auto& address : peers_.targets(now, random_)) {
            asio::co_spawn(io_, gossip_with(std::move(address)), asio::detached);
        }
        rounds_alone = peers_.alive(now).empty() ? rounds_alone + 1 : 0;
        co_await pause(peering::peer_table::round_interval(rounds_alone));
        published_.forget_old(steady_clock::now());
        publish_fleet();
        // Endpoints that stay missing leave the snapshot with time alone.
        if (published_.complete() && steady_clock::now() - changed_at_ > publish_interval) {
            publish();
        }
    }
}

http::awaitable<void> control_loop::gossip_with(std::string address) {
    wire::gossip_request request{self(), peers_.news(steady_clock::now(), random_),
                                 published_.operators_keys().through(),
                                 published_.endpoint_keys().through()};
    // At a start the answer is all that is published, so few peers are asked for it at a time.
    const bool asks_for_all = !published_.complete() && asked_for_all_ < asked_for_all_at_most;
    if (!published_.complete() && !asks_for_all) {
        request.configuration_through = request.endpoints_through = wants_no_changes;
    }
    if (published_.complete() && hears_from_store(endpoints_part)) {
        request.endpoints_through = wants_no_changes;
    }
    asked_for_all_ += asks_for_all ? 1 : 0;
    const auto answer = co_await peers_client_->call(address, std::move(request), gossip_timeout);
    asked_for_all_ -= asks_for_all ? 1 : 0;
    if (!answer) {
        peers_.missed(address, steady_clock::now());
        co_return;
    }
    if (const auto* const news = std::get_if<wire::gossip_answer>(&answer.value())) {
        apply_news(*news);
    }
}

void control_loop::apply_news(const wire::gossip_answer& news) {
    const auto now = steady_clock::now();
    peers_.heard_from(news.self, now);
    peers_.heard_of(news.others, now);
    bool changed = published_.operators_keys().apply(news.configuration, now);
    changed = published_.endpoint_keys().apply(news.endpoints, now) || changed;
    if (changed) {
        log_change("peers", "learned_published_state",
                   {{"from", news.self.id},
                    {"operators_through", std::to_string(published_.operators_keys().through())},
                    {"endpoints_through", std::to_string(published_.endpoint_keys().through())}});
        publish();
    }
    publish_fleet();
}

void control_loop::tell_all() {
    for (const auto& peer : peers_.alive(steady_clock::now())) {
        asio::co_spawn(io_, gossip_with(peer.control_address), asio::detached);
    }
}

wire::entry_info control_loop::self() const {
    return {settings_.id,          life_,
            settings_.data_centre, server_->address(),
            work_address_,         published_.complete() && !draining_,
            milliseconds{0},       std::get<settings::gateway_settings>(settings_.role).processors};
}

wire::answer control_loop::answer_to(const wire::gossip_request& message) {
    const auto now = steady_clock::now();
    peers_.heard_from(message.self, now);
    peers_.heard_of(message.others, now);
    wire::gossip_answer news;
    news.self = self();
    news.others = peers_.news(now, random_);
    const auto& operators = published_.operators_keys();
    const auto& endpoints = published_.endpoint_keys();
    if (message.configuration_through < operators.through()) {
        news.configuration = operators.changes_since(message.configuration_through);
    }
    if (message.endpoints_through < endpoints.through()) {
        news.endpoints = endpoints.changes_since(message.endpoints_through);
    }
    publish_fleet();
    return news;
}

wire::answer control_loop::answer(const wire::request& message) {
    if (const auto* const gossip = std::get_if<wire::gossip_request>(&message)) {
        return answer_to(*gossip);
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
    return wire::refusal{"not a request that a gateway's control thread answers"};
}

wire::status_answer control_loop::status() const {
    wire::status_answer told;
    told.id = settings_.id;
    told.role = membership::instance_role::entry;
    told.data_centre = settings_.data_centre;
    told.phase = draining_               ? wire::service_phase::draining
                 : published_.complete() ? wire::service_phase::serving
                                         : wire::service_phase::starting;
    told.ready = published_.complete() && !draining_;
    told.highest = published_.through();
    const auto now = steady_clock::now();
    told.knowledge_age = milliseconds{0};
    for (const auto& [part, heard] : heard_) {
        told.knowledge_age =
            std::max(told.knowledge_age, std::chrono::floor<milliseconds>(now - heard));
    }
    told.in_flight = static_cast<std::uint32_t>(outputs_.open_requests());
    return told;
}

std::string control_loop::dump() {
    const auto now = steady_clock::now();
    boost::json::object dumped;
    dumped["id"] = settings_.id;
    dumped["role"] = "gateway";
    dumped["life"] = std::to_string(life_);
    dumped["draining"] = draining_;
    dumped["operators_through"] = published_.operators_keys().through();
    dumped["endpoints_through"] = published_.endpoint_keys().through();
    boost::json::array peers;
    for (const auto& one : peers_.known(now)) {
        peers.push_back(boost::json::object{{"id", one.id},
                                            {"control_address", one.control_address},
                                            {"serving", one.serving},
                                            {"heard_ms", one.heard.count()}});
    }
    dumped["peers"] = std::move(peers);
    boost::system::error_code failure;
    auto traffic = boost::json::parse(outputs_.dump_traffic(), failure);
    dumped["role_state"] = failure ? boost::json::value{failure.message()} : std::move(traffic);
    return boost::json::serialize(dumped);
}

void control_loop::publish() {
    changed_at_ = steady_clock::now();
    auto built = published_.build(changed_at_);
    if (published_.complete()) {
        outputs_.publish(std::make_shared<const indexed_snapshot>(std::move(built)));
    }
}

void control_loop::publish_fleet() {
    const auto now = steady_clock::now();
    fleet_view view{peers_.serving(now), peers_.alive(now), peers_.silent(now, silent_kept),
                    peers_.entries_at_most(now, counted_for)};
    if (view.alive.size() != known_peers_) {
        log_change("peers", "alive_changed",
                   {{"before", std::to_string(known_peers_)},
                    {"now", std::to_string(view.alive.size())},
                    {"serving", std::to_string(view.serving.size())},
                    {"silent", std::to_string(view.silent.size())},
                    {"limits_divided_by", std::to_string(view.entries_at_most)}});
        known_peers_ = view.alive.size();
    }
    metrics_.get_gauge("boragefront_peers_alive").set(static_cast<double>(view.alive.size()));
    for (const auto& [part, heard] : heard_) {
        metrics_.get_gauge("boragefront_store_age_seconds", "part=\"" + part + '"')
            .set(std::chrono::duration<double>(now - heard).count());
    }
    outputs_.set_fleet(std::move(view));
}

} // namespace boragefront::gateway
