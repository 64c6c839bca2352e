#include "deployment.hpp"

#include "published_configuration.hpp"

#include <stdexcept>
#include <thread>

namespace boragefront::gateway_tests {
namespace {

constexpr seconds patience{20}; // generous: a failure, not a slow machine, must end a wait
constexpr milliseconds look{5};
constexpr milliseconds history_patience{500}; // of a store that may be cut off

} // namespace

deployment::deployment() : store_{std::make_unique<store_stand_in>(loop_.executor())} {}

deployment::~deployment() {
    gateways_.clear();
    loop_.stop();
}

endpoint_stand_in& deployment::add_endpoint(const std::string& id, const std::string& service,
                                            const std::string& data_centre) {
    return on_loop([&]() -> std::reference_wrapper<endpoint_stand_in> {
        endpoints_.push_back(std::make_unique<endpoint_stand_in>(loop_.executor(), id));
        auto& made = *endpoints_.back();
        store_->put("servers/" + id, made.registration(service, "ready", data_centre));
        return made;
    });
}

void deployment::register_again(endpoint_stand_in& one, const std::string& service,
                                const std::string& state) {
    on_loop([&] { store_->put("servers/" + one.id(), one.registration(service, state)); });
}

void deployment::remove(const endpoint_stand_in& one) {
    on_loop([&] { store_->put("servers/" + one.id(), std::nullopt); });
}

void deployment::publish_configuration(const std::string& plain_service, unsigned version) {
    publish_text(configuration_text(plain_service, version));
}

void deployment::publish_text(const std::string& text) {
    on_loop([&] { store_->put("op/config", text); });
}

running_gateway& deployment::start_gateway(const std::string& store_address) {
    auto seeds = seeds_;
    for (const auto& other : gateways_) {
        seeds.push_back(other->node->control_address());
    }
    return start(store_address, std::move(seeds));
}

running_gateway& deployment::start(const std::string& store_address,
                                   std::vector<std::string> seeds) {
    settings::daemon_settings settings;
    settings::gateway_settings role;
    settings.id = "gateway-" + std::to_string(gateways_.size() + 1);
    settings.data_centre = "a";
    settings.data_address = "127.0.0.1:0";
    settings.control_address = "127.0.0.1:0";
    settings.platform_address = store_address.empty() ? store_->address() : store_address;
    settings.seed_peers = std::move(seeds);
    role.ready_address = "127.0.0.1:0";
    role.log_lines_per_second = 0;
    role.work_address = "127.0.0.1:0";
    role.grace = seconds{3};
    role.message_bytes = message_bytes_;
    settings.role = role;
    auto made = std::make_unique<running_gateway>();
    made->metrics = std::make_unique<metrics_registry>();
    auto node = gateway::gateway_node::start(settings, *made->metrics);
    if (!node) {
        throw std::runtime_error{to_string(node.error())};
    }
    made->node = std::move(node.value());
    gateways_.push_back(std::move(made));
    return *gateways_.back();
}

running_gateway& deployment::start_ready_gateway(const std::string& store_address) {
    return await_ready(start_gateway(store_address));
}

running_gateway& deployment::start_ready_stranger(const std::string& store_address) {
    return await_ready(start(store_address, seeds_));
}

running_gateway& deployment::await_ready(running_gateway& one) {
    const auto until = steady_clock::now() + patience;
    while (!is_ready(one)) {
        if (steady_clock::now() > until) {
            throw std::runtime_error{"a gateway was not ready in time"};
        }
        std::this_thread::sleep_for(look);
    }
    // Without the store's history, resumptions of unknown origin are refused.
    auto& histories =
        one.metrics->get_counter("boragefront_store_histories_total", "outcome=\"read\"");
    const auto history_until = steady_clock::now() + history_patience;
    while (histories.value() == 0 && steady_clock::now() < history_until) {
        std::this_thread::sleep_for(look);
    }
    return one;
}

bool deployment::is_ready(const running_gateway& one) {
    const auto answer = support::get(one.node->ready_address(), "/-/readyz");
    return answer && answer.value().status == 200;
}

http::request deployment::make_request(const std::string& host, const std::string& id) {
    http::request message;
    message.method = "POST";
    message.target = "/path?query=%20";
    message.body = "body of " + id;
    message.headers.add("Host", host);
    message.headers.add("Boragefront-Request-Id", id);
    message.headers.add("Boragefront-Deadline-Ms", "8000");
    message.headers.add("Api-Key", "key");
    return message;
}

http::request deployment::make_staged_request(const std::string& host, const std::string& id,
                                              const std::string& pieces) {
    auto message = make_request(host, id);
    message.headers.add("Boragefront-Pieces", pieces);
    message.headers.add("Boragefront-Piece-Key", "7c1e");
    return message;
}

result<http::response> deployment::call(const running_gateway& to, http::request message) {
    support::blocking_client client;
    return client.call(to.node->data_address(), std::move(message), patience);
}

result<support::line_answer> deployment::call_lines(const running_gateway& to,
                                                    http::request message) {
    support::blocking_client client;
    return client.call_lines(to.node->data_address(), std::move(message), patience);
}

bool deployment::becomes_true(const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + patience;
    while (!on_loop(condition)) {
        if (steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(look);
    }
    return true;
}

} // namespace boragefront::gateway_tests
