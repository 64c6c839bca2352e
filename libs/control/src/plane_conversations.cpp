/// \file
/// The conversations that the control plane begins: with the platform and with peers.
#include "base/logging.hpp"
#include "plane.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace boragefront::control {
namespace {

namespace asio = boost::asio;

constexpr milliseconds watch_wait{2'000};
constexpr milliseconds peer_timeout{1'000};
constexpr std::size_t most_catch_ups = 4;

} // namespace

void plane::begin_reads(time_point now) {
    const auto action = reads_.decide(situation(now), now);
    const bool first = !config_tried_;
    if (!reading_config_ && (first || action != read_action::none)) {
        reading_config_ = true;
        asio::co_spawn(io_, read_config(action), asio::detached);
    }
    const bool list_due = lists_.due(reader_, core_.instances().age(now), now);
    if (!reading_list_ && (!list_tried_ || list_due)) {
        reading_list_ = true;
        asio::co_spawn(io_, read_list(), asio::detached);
    }
}

plane::awaitable plane::read_config(read_action action) {
    const auto asked_at = steady_clock::now();
    const auto highest = core_.store().highest();
    const auto since = core_.knowledge().platform_revision();
    const bool watch = action == read_action::watch && core_.knowledge().confirmed();
    const auto wait = watch ? watch_wait : milliseconds{0};
    auto answer = co_await platform_.read_config(since, wait);
    const auto now = steady_clock::now();
    const auto before = core_.version();
    const bool was_stale = core_.knowledge().platform_is_stale();
    if (answer) {
        core_.take_platform(std::move(answer.value()), highest, asked_at, now);
    }
    (answer ? metrics_.platform_reads : metrics_.platform_failures).add();
    if (was_stale != core_.knowledge().platform_is_stale()) {
        log_warning("config", was_stale ? "platform_is_current" : "platform_is_stale",
                    {{"held", std::to_string(core_.store().highest())}});
    }
    reads_.on_end(answer.has_value(), situation(now), now, random_);
    config_tried_ = true;
    reading_config_ = false;
    on_version(before);
}

plane::awaitable plane::read_list() {
    const auto asked_at = steady_clock::now();
    auto answer = co_await platform_.read_instances();
    const auto now = steady_clock::now();
    (answer ? metrics_.platform_reads : metrics_.platform_failures).add();
    if (answer && answer.value().unchanged) {
        core_.instances().confirm(asked_at);
    } else if (answer) {
        core_.instances().take_list(std::move(answer.value().instances), asked_at);
    }
    lists_.on_end(answer ? answer.value().bytes : 0, situation(now), now, random_);
    publish_changes(now);
    list_tried_ = true;
    reading_list_ = false;
}

void plane::begin_gossip(time_point now) {
    if (gossiping_ || !gossips_.due(now)) {
        return;
    }
    auto addresses = peer_addresses();
    if (addresses.empty()) {
        return;
    }
    gossips_.on_begin(ready_, now, random_);
    gossiping_ = true;
    auto address = std::move(addresses[picker_.pick(addresses, now, random_)]);
    asio::co_spawn(io_, gossip(std::move(address)), asio::detached);
}

plane::awaitable plane::gossip(std::string address) {
    const exchange conversation;
    const bool succeeded = co_await converse(address, conversation);
    if (succeeded) {
        picker_.on_success(address);
    } else {
        picker_.on_failure(address, steady_clock::now());
    }
    ++peers_tried_;
    gossiping_ = false;
}

plane::awaitable plane::catch_up(std::string address, wire::knowledge peer, time_point heard_at) {
    const exchange conversation{peer, heard_at};
    co_await converse(address, conversation);
    catching_up_.erase(address);
}

asio::awaitable<bool> plane::converse(std::string address, exchange conversation) {
    const auto before = core_.version();
    auto next = conversation.next(core_, steady_clock::now());
    while (next) {
        auto answer = co_await peers_->call(address, std::move(*next), peer_timeout);
        if (!answer) {
            metrics_.exchange_failures.add();
            on_version(before);
            co_return false;
        }
        const auto now = steady_clock::now();
        conversation.take(core_, answer.value(), now);
        next = conversation.next(core_, now);
    }
    metrics_.exchanges.add();
    on_version(before);
    co_return true;
}

void plane::on_version(std::uint64_t before) {
    if (core_.version() != before) {
        const auto now = steady_clock::now();
        gossips_.on_change(now);
        publish_changes(now);
    }
}

void plane::begin_heartbeats(time_point now) {
    for (auto& sidecar : heartbeats_.take_due(now)) {
        asio::co_spawn(io_, beat(std::move(sidecar)), asio::detached);
    }
}

plane::awaitable plane::beat(membership::instance sidecar) {
    wire::request message{
        wire::heartbeat_request{options_.self.id, core_.describe(steady_clock::now())}};
    auto answer = co_await peers_->call(sidecar.control_address, std::move(message), peer_timeout);
    const auto now = steady_clock::now();
    const auto* heard = answer ? std::get_if<wire::heartbeat_answer>(&answer.value()) : nullptr;
    if (heard == nullptr) {
        metrics_.heartbeat_failures.add();
        co_return;
    }
    metrics_.heartbeats.add();
    take_heartbeat(sidecar, *heard, now);
}

void plane::take_heartbeat(const membership::instance& sidecar,
                           const wire::heartbeat_answer& answer, time_point now) {
    core_.instances().note_heard(sidecar.id, now);
    const sidecar_report report{answer.life,
                                answer.phase,
                                answer.concurrency_limit,
                                answer.in_flight,
                                answer.queued,
                                std::chrono::duration_cast<milliseconds>(answer.service_time)};
    heard_.by_id.insert_or_assign(sidecar.id, heard_sidecar{sidecar, report, answer.clock, now});
    heard_changed_ = true;
    core_.take_knowledge(answer.held, now);
    const auto& address = sidecar.control_address;
    const bool room = catching_up_.size() < most_catch_ups;
    if (core_.differs(answer.held) && room && catching_up_.insert(address).second) {
        asio::co_spawn(io_, catch_up(address, answer.held, now), asio::detached);
    }
}

} // namespace boragefront::control
