/// \file
/// What carries out the node's actions: calls to the platform and to peers.
#include "plane.hpp"

namespace boragefront::control {
namespace {

constexpr milliseconds peer_timeout{1'000};

} // namespace

plane::awaitable plane::carry_out(read_config_action wanted) {
    auto answer = co_await platform_.read_config(wanted.since, wanted.wait);
    (answer ? metrics_.platform_reads : metrics_.platform_failures).add();
    const auto now = steady_clock::now();
    node_->end_config_read(wanted, std::move(answer), now);
    publish_changes(now);
}

plane::awaitable plane::carry_out(read_list_action wanted) {
    auto answer = co_await platform_.read_instances();
    (answer ? metrics_.platform_reads : metrics_.platform_failures).add();
    const auto now = steady_clock::now();
    node_->end_list_read(wanted, std::move(answer), now);
    publish_changes(now);
}

plane::awaitable plane::carry_out(converse_action wanted) {
    const bool succeeded = co_await converse(wanted);
    (succeeded ? metrics_.exchanges : metrics_.exchange_failures).add();
    const auto now = steady_clock::now();
    node_->end_conversation(wanted, succeeded, now);
    publish_changes(now);
}

boost::asio::awaitable<bool> plane::converse(converse_action& wanted) {
    auto next = node_->next(wanted, steady_clock::now());
    while (next) {
        auto answer = co_await peers_->call(wanted.address, std::move(*next), peer_timeout);
        if (!answer) {
            co_return false;
        }
        const auto now = steady_clock::now();
        node_->take(wanted, answer.value(), now);
        next = node_->next(wanted, now);
    }
    co_return true;
}

plane::awaitable plane::carry_out(beat_action wanted) {
    wire::request message{node_->make_beat(steady_clock::now())};
    auto answer =
        co_await peers_->call(wanted.sidecar.control_address, std::move(message), peer_timeout);
    const auto* heard = answer ? std::get_if<wire::heartbeat_answer>(&answer.value()) : nullptr;
    if (heard == nullptr) {
        metrics_.heartbeat_failures.add();
        co_return;
    }
    metrics_.heartbeats.add();
    node_->end_beat(wanted, *heard, steady_clock::now());
    heard_changed_ = true;
}

} // namespace boragefront::control
