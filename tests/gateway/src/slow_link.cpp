#include "slow_link.hpp"

#include "wire/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <stdexcept>

namespace boragefront::gateway_tests {
namespace {

namespace asio = boost::asio;

constexpr seconds forward_timeout{5};
const std::string nowhere = "127.0.0.1:1"; // nobody listens there

template <class T>
T value_of(result<T> made) {
    if (!made) {
        throw std::runtime_error{to_string(made.error())};
    }
    return std::move(made.value());
}

asio::awaitable<void> call(wire::client& client, std::string address, wire::request message,
                           std::optional<result<wire::answer>>& answered) {
    answered = co_await client.call(std::move(address), std::move(message), forward_timeout);
}

} // namespace

slow_link::slow_link(const std::string& target, milliseconds delay)
    : relay_{loop_.run([&] {
          auto made = value_of(stand_ins::relay::listen(loop_.executor(), "127.0.0.1:0", target));
          made->set_answer_delay(delay);
          return made;
      })} {}

std::string slow_link::address() const {
    return "127.0.0.1:" + std::to_string(relay_->port());
}

hidden_peer::hidden_peer(std::string control_address, milliseconds delay)
    : control_address_{std::move(control_address)}, server_{loop_.run([&] {
          return value_of(wire::server::listen(
              loop_.executor(), "127.0.0.1:0",
              [this](const wire::request& message) { return forward(message); },
              {metrics_.get_counter("sent"), metrics_.get_counter("received")}));
      })},
      link_{std::make_unique<slow_link>(server_->address(), delay)} {}

wire::answer hidden_peer::forward(const wire::request& message) const {
    const auto* const gossip = std::get_if<wire::gossip_request>(&message);
    if (gossip == nullptr) {
        return wire::refusal{"only gossip is passed on"};
    }
    auto passed = *gossip;
    passed.self.control_address = nowhere;
    passed.others.clear();
    metrics_registry metrics;
    asio::io_context io;
    const auto client = wire::client::make(
        io.get_executor(), {metrics.get_counter("sent"), metrics.get_counter("received")});
    std::optional<result<wire::answer>> answered;
    asio::co_spawn(io, call(*client, control_address_, std::move(passed), answered),
                   asio::detached);
    io.run();
    if (!answered || !*answered) {
        return wire::refusal{"the gateway did not answer"};
    }
    auto answer = std::move(answered->value());
    if (auto* const told = std::get_if<wire::gossip_answer>(&answer)) {
        told->self.control_address = link_->address();
        told->others.clear();
    }
    return answer;
}

} // namespace boragefront::gateway_tests
