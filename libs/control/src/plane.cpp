#include "plane.hpp"

#include "base/logging.hpp"
#include "dump.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::control {
namespace {

namespace asio = boost::asio;

constexpr milliseconds tick_interval{50};
constexpr milliseconds gauge_interval{1'000};
constexpr milliseconds note_interval{200};
constexpr std::size_t peers_before_ready = 3;

} // namespace

plane_metrics::plane_metrics(metrics_registry& registry)
    : all{registry}, bytes_sent{registry.get_counter("boragefront_control_bytes_total",
                                                     "direction=\"sent\"")},
      bytes_received{
          registry.get_counter("boragefront_control_bytes_total", "direction=\"received\"")},
      platform_reads{registry.get_counter("boragefront_platform_reads_total", "result=\"ok\"")},
      platform_failures{
          registry.get_counter("boragefront_platform_reads_total", "result=\"failed\"")},
      exchanges{registry.get_counter("boragefront_exchanges_total", "result=\"ok\"")},
      exchange_failures{registry.get_counter("boragefront_exchanges_total", "result=\"failed\"")},
      heartbeats{registry.get_counter("boragefront_heartbeats_total", "result=\"ok\"")},
      heartbeat_failures{registry.get_counter("boragefront_heartbeats_total", "result=\"failed\"")},
      revision_held{registry.get_gauge("boragefront_config_revision")},
      knowledge_age{registry.get_gauge("boragefront_config_age_seconds")},
      refused_values{registry.get_gauge("boragefront_config_refused_values")},
      platform_stale{registry.get_gauge("boragefront_platform_stale")},
      instances{registry.get_gauge("boragefront_instances")}, reader{registry.get_gauge(
                                                                  "boragefront_config_reader")} {}

plane::plane(control_options options, role_hooks hooks, metrics_registry& metrics)
    : guard_{io_.get_executor()}, options_{std::move(options)}, hooks_{std::move(hooks)},
      metrics_{metrics}, random_{make_random_source()}, reads_{random_}, lists_{random_},
      platform_{io_.get_executor(), options_.platform_address},
      peers_{
          wire::client::make(io_.get_executor(), {metrics_.bytes_sent, metrics_.bytes_received})} {}

plane::~plane() {
    stop();
}

result<void> plane::run() {
    BOOST_OUTCOME_TRY(
        server_, wire::server::listen(io_.get_executor(), options_.self.control_address,
                                      [this](const wire::request& asked) { return answer(asked); },
                                      {metrics_.bytes_sent, metrics_.bytes_received}));
    asio::co_spawn(io_, tick_forever(), asio::detached);
    thread_ = std::thread{[this] { io_.run(); }};
    return success();
}

void plane::note_revision(revision seen) {
    if (seen <= highest_.load(std::memory_order_relaxed) || noted_.exchange(true)) {
        return;
    }
    asio::post(io_, [this] {
        noted_ = false;
        const auto now = steady_clock::now();
        if (now - noted_at_ >= note_interval) {
            noted_at_ = now;
            gossips_.on_change(now);
            reads_.hasten(now);
        }
    });
}

void plane::stop() {
    io_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

plane::awaitable plane::tick_forever() {
    asio::steady_timer timer{io_};
    for (;;) {
        tick(steady_clock::now());
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void plane::tick(time_point now) {
    publish_changes(now);
    update_readiness(now);
    begin_reads(now);
    begin_gossip(now);
    begin_heartbeats(now);
    if (now >= gauges_at_) {
        gauges_at_ = now + gauge_interval;
        update_gauges(now);
    }
}

void plane::publish_changes(time_point now) {
    if (published_version_ != core_.version()) {
        publish_configuration();
    }
    if (core_.instances().refresh(now)) {
        publish_instances(now);
    }
    if (std::exchange(heard_changed_, false)) {
        sidecars_.publish(heard_);
    }
}

void plane::publish_configuration() {
    published_version_ = core_.version();
    auto built = core_.store().build_snapshot();
    log_change("config", "revision_in_force",
               {{"revision", std::to_string(built.highest)},
                {"refused", std::to_string(built.refused.size())}});
    metrics_.refused_values.set(static_cast<double>(built.refused.size()));
    highest_ = built.highest;
    configuration_.publish(std::move(built));
}

void plane::publish_instances(time_point now) {
    auto believed = core_.instances().believed();
    reader_ = is_reader(believed, options_.self);
    if (options_.heartbeats_to_sidecars) {
        auto targets =
            options_.heartbeat_targets ? options_.heartbeat_targets(believed) : believed.instances;
        std::erase_if(targets, [](const auto& one) {
            return one.role != membership::instance_role::sidecar || one.control_address.empty();
        });
        heartbeats_.set_targets(std::move(targets), now, random_);
    }
    std::set<std::string> ids;
    for (const auto& one : believed.instances) {
        ids.insert(one.id);
    }
    std::erase_if(heard_.by_id, [&](const auto& one) { return !ids.contains(one.first); });
    heard_changed_ = true;
    metrics_.instances.set(static_cast<double>(believed.instances.size()));
    instances_.publish(std::move(believed));
}

void plane::update_readiness(time_point /*now*/) {
    if (ready_ || !config_tried_ || !list_tried_ || !core_.knowledge().confirmed()) {
        return;
    }
    if (peers_tried_ >= std::min(peers_before_ready, peer_addresses().size())) {
        ready_ = true;
        log_change("control", "ready", {{"revision", std::to_string(core_.store().highest())}});
    }
}

void plane::update_gauges(time_point now) {
    const auto& knowledge = core_.knowledge();
    metrics_.revision_held.set(static_cast<double>(core_.store().highest()));
    metrics_.knowledge_age.set(std::chrono::duration<double>(knowledge.age(now)).count());
    metrics_.platform_stale.set(knowledge.platform_is_stale() ? 1 : 0);
    metrics_.reader.set(reader_ ? 1 : 0);
}

read_situation plane::situation(time_point now) const {
    return {reader_, core_.knowledge().age(now), core_.instances().list_size()};
}

std::vector<std::string> plane::peer_addresses() const {
    std::vector<std::string> addresses;
    const auto believed = instances_.load();
    for (const auto& one : believed->instances) {
        if (one.id != options_.self.id && !one.control_address.empty()) {
            addresses.push_back(one.control_address);
        }
    }
    for (const auto& seed : options_.seed_peers) {
        const bool known = std::find(addresses.begin(), addresses.end(), seed) != addresses.end();
        if (!known && seed != control_address()) {
            addresses.push_back(seed);
        }
    }
    return addresses;
}

result<std::unique_ptr<control_plane>>
control_plane::start(control_options options, role_hooks hooks, metrics_registry& metrics) {
    auto made = std::make_unique<plane>(std::move(options), std::move(hooks), metrics);
    BOOST_OUTCOME_TRY(made->run());
    return std::unique_ptr<control_plane>{std::move(made)};
}

} // namespace boragefront::control
