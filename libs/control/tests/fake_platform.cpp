#include "fake_platform.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace boragefront::control {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds poll_interval{10};

} // namespace

fake_platform::fake_platform() {
    auto made = http::server::listen(
        {io_.get_executor()}, "127.0.0.1:0", {},
        [this](const http::request& asked, http::responder& out) { return answer(asked, out); });
    server_ = std::move(made.value());
    thread_ = std::thread{[this] { io_.run(); }};
}

fake_platform::~fake_platform() {
    io_.stop();
    thread_.join();
}

std::string fake_platform::address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
}

revision fake_platform::publish(const std::string& key, const std::string& value) {
    const std::lock_guard lock{mutex_};
    history_[key].push_back({key, next_, false, value});
    return next_++;
}

void fake_platform::set_instances(std::vector<membership::instance> list) {
    const std::lock_guard lock{mutex_};
    instances_ = std::move(list);
}

void fake_platform::set_stale_at(std::optional<revision> highest) {
    const std::lock_guard lock{mutex_};
    stale_at_ = highest;
}

revision fake_platform::highest() {
    const std::lock_guard lock{mutex_};
    return std::min(next_ - 1, stale_at_.value_or(next_));
}

std::string fake_platform::config_above(revision since) {
    const auto most = highest();
    const std::lock_guard lock{mutex_};
    json::array entries;
    for (const auto& [key, revisions] : history_) {
        const config::published_entry* newest = nullptr;
        for (const auto& one : revisions) {
            newest = one.number <= most ? &one : newest;
        }
        if (newest != nullptr && newest->number > since) {
            entries.push_back(json::object{
                {"key", key}, {"revision", newest->number}, {"value", json::parse(newest->value)}});
        }
    }
    return json::serialize(json::object{{"revision", most}, {"entries", std::move(entries)}});
}

std::string fake_platform::instances() {
    const std::lock_guard lock{mutex_};
    json::array list;
    for (const auto& one : instances_) {
        const bool entry = one.role == membership::instance_role::entry;
        list.push_back(json::object{{"id", one.id},
                                    {"role", entry ? "entry" : "sidecar"},
                                    {"data_centre", one.data_centre},
                                    {"pool", one.pool},
                                    {"data_address", one.data_address},
                                    {"control_address", one.control_address},
                                    {"state", "live"}});
    }
    return json::serialize(json::object{{"instances", std::move(list)}});
}

http::awaitable<void> fake_platform::answer(const http::request& asked, http::responder& out) {
    ++calls_;
    http::response made;
    if (down_) {
        made.status = 503;
        (void)co_await out.send(std::move(made));
        co_return;
    }
    if (http::target_path(asked.target) == "/v1/instances") {
        made = http::make_json_response(200, instances());
        (void)co_await out.send(std::move(made));
        co_return;
    }
    const auto since = parse_number(http::query_value(asked.target, "since")).value_or(0);
    const auto wait = parse_number(http::query_value(asked.target, "wait_ms")).value_or(0);
    const auto until = steady_clock::now() + milliseconds{wait};
    asio::steady_timer pause{co_await asio::this_coro::executor};
    while (highest() <= since && steady_clock::now() < until) {
        pause.expires_after(poll_interval);
        co_await pause.async_wait(asio::use_awaitable);
    }
    made = http::make_json_response(200, config_above(since));
    (void)co_await out.send(std::move(made));
}

} // namespace boragefront::control
