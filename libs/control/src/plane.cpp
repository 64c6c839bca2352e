#include "plane.hpp"

#include "base/logging.hpp"
#include "membership/subset.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragefront::control {
namespace {

namespace asio = boost::asio;

constexpr milliseconds tick_interval{50};
constexpr milliseconds gauge_interval{1'000};

} // namespace

plane_metrics::plane_metrics(metrics_registry& registry)
    : all{registry}, bytes_sent{registry.get_counter("boragefront_control_bytes_total",
                                                     "direction=\"sent\"")},
      bytes_received{
          registry.get_counter("boragefront_control_bytes_total", "direction=\"received\"")},
      platform_bytes{registry.get_counter("boragefront_platform_bytes_total")},
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
      metrics_{metrics}, platform_{io_.get_executor(), options_.platform_address,
                                   metrics_.platform_bytes},
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
    options_.self.control_address = server_->address();
    if (!options_.heartbeat_targets) {
        options_.heartbeat_targets = [this](const auto& believed) { return own_subset(believed); };
    }
    node_.emplace(node_options{options_.self, options_.seed_peers, options_.heartbeats_to_sidecars,
                               options_.heartbeat_targets},
                  make_random_source());
    asio::co_spawn(io_, tick_forever(), asio::detached);
    thread_ = std::thread{[this] { io_.run(); }};
    return success();
}

std::vector<membership::instance>
plane::own_subset(const membership::instance_list& believed) const {
    const auto in_force = configuration_.load();
    membership::subset_query query;
    query.entry = options_.self.id;
    query.data_centre = options_.self.data_centre;
    for (const auto& [name, service] : in_force->services) {
        for (const auto& stage : config::stages_of(service)) {
            if (!service.repeatable) {
                query.unsubsetted_pools.insert(stage.pool);
            }
        }
    }
    return membership::select_subset(believed, query);
}

void plane::note_revision(revision seen) {
    if (seen <= highest_.load(std::memory_order_relaxed) || noted_.exchange(true)) {
        return;
    }
    asio::post(io_, [this] {
        noted_ = false;
        node_->hasten(steady_clock::now());
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
    for (auto& wanted : node_->due(now)) {
        std::visit(
            [this](auto& one) { asio::co_spawn(io_, carry_out(std::move(one)), asio::detached); },
            wanted);
    }
    publish_readiness();
    if (now >= gauges_at_) {
        gauges_at_ = now + gauge_interval;
        update_gauges(now);
    }
}

void plane::publish_changes(time_point now) {
    if (published_version_ != node_->core().version()) {
        publish_configuration();
        node_->refresh_targets(now);
    }
    if (node_->refresh_instances(now)) {
        heard_changed_ = true;
        metrics_.instances.set(static_cast<double>(node_->believed().instances.size()));
        instances_.publish(node_->believed());
    }
    if (std::exchange(heard_changed_, false)) {
        sidecars_.publish(node_->heard());
    }
    const bool stale = node_->core().knowledge().platform_is_stale();
    if (std::exchange(platform_was_stale_, stale) != stale) {
        log_warning("config", stale ? "platform_is_stale" : "platform_is_current",
                    {{"held", std::to_string(node_->core().store().highest())}});
    }
}

void plane::publish_configuration() {
    published_version_ = node_->core().version();
    auto built = node_->core().store().build_snapshot();
    log_change("config", "revision_in_force",
               {{"revision", std::to_string(built.highest)},
                {"refused", std::to_string(built.refused.size())}});
    metrics_.refused_values.set(static_cast<double>(built.refused.size()));
    highest_ = built.highest;
    configuration_.publish(std::move(built));
}

// A process is ready only after the snapshot that made it so was published.
void plane::publish_readiness() {
    if (!ready_ && node_->ready()) {
        ready_.store(true, std::memory_order_release);
        log_change("control", "ready", {{"revision", std::to_string(highest_.load())}});
    }
}

void plane::update_gauges(time_point now) {
    const auto& knowledge = node_->core().knowledge();
    metrics_.revision_held.set(static_cast<double>(node_->core().store().highest()));
    metrics_.knowledge_age.set(std::chrono::duration<double>(knowledge.age(now)).count());
    metrics_.platform_stale.set(knowledge.platform_is_stale() ? 1 : 0);
    metrics_.reader.set(node_->reader() ? 1 : 0);
}

result<std::unique_ptr<control_plane>>
control_plane::start(control_options options, role_hooks hooks, metrics_registry& metrics) {
    auto made = std::make_unique<plane>(std::move(options), std::move(hooks), metrics);
    BOOST_OUTCOME_TRY(made->run());
    return std::unique_ptr<control_plane>{std::move(made)};
}

} // namespace boragefront::control
