#include "balancer.hpp"

namespace boragefront::replay {
namespace {

constexpr milliseconds probe_timeout{500};
constexpr unsigned status_ok = 200;

} // namespace

balancer::balancer(std::vector<std::string> entries, http::client& http) : http_{http} {
    for (auto& address : entries) {
        entries_.push_back({std::move(address)});
    }
}

http::awaitable<void> balancer::probe_all() {
    for (auto& entry : entries_) {
        http::request probe;
        probe.target = "/readyz";
        http::call_options options;
        options.deadline = steady_clock::now() + probe_timeout;
        const auto answer = co_await http_.call(entry.address, probe, options);
        entry.ready = answer && answer.value().status == status_ok;
    }
}

std::vector<std::string> balancer::next() {
    std::vector<std::string> ready;
    std::vector<std::string> all;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto& entry = entries_.at((turn_ + i) % entries_.size());
        all.push_back(entry.address);
        if (entry.ready) {
            ready.push_back(entry.address);
        }
    }
    ++turn_;
    return ready.empty() ? all : ready;
}

} // namespace boragefront::replay
