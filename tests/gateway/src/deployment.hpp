/// \file
/// A small deployment in one process: the store's and the endpoints' stand-ins on one event loop,
/// gateways with their own threads, and callers that block.
#pragma once

#include "endpoint_stand_in.hpp"
#include "gateway/gateway_node.hpp"
#include "stand_in_loop.hpp"
#include "store_stand_in.hpp"
#include "support/blocking_client.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::gateway_tests {

/// One gateway.
struct running_gateway {
    std::unique_ptr<metrics_registry> metrics;
    std::unique_ptr<gateway::gateway_node> node;
};

class deployment {
public:
    deployment();
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Adds an endpoint and registers it.
    endpoint_stand_in& add_endpoint(const std::string& id, const std::string& service,
                                    const std::string& data_centre = "a");

    /// Registers an endpoint again, as draining or ready, or removes it.
    void register_again(endpoint_stand_in& one, const std::string& service,
                        const std::string& state);
    void remove(const endpoint_stand_in& one);

    /// Publishes the configuration of these tests: hosts "plain.example" (idempotent),
    /// "order.example" (runs once), "stream.example" (resumable), "once.example" (a stream that
    /// runs once), "staged.example" (with two stages, one after the other), "staged-once.example"
    /// (the same as a stream that runs once) and "parallel.example" (with two stages at once).
    /// \param plain_service that "plain.example" goes to.
    void publish_configuration(const std::string& plain_service = "plain", unsigned version = 7);

    /// Publishes a configuration as text.
    void publish_text(const std::string& text);

    /// Limits the memory for messages in gateways that start later.
    void set_message_memory(std::size_t bytes) { message_bytes_ = bytes; }

    /// Adds a seed to those of the gateways that start later.
    void add_seed(std::string control_address) { seeds_.push_back(std::move(control_address)); }

    /// Starts a gateway that knows the others as seeds.
    /// \param store_address another store than the deployment's, as when that one is cut off.
    running_gateway& start_gateway(const std::string& store_address = {});

    /// Starts a gateway and waits until it is ready.
    running_gateway& start_ready_gateway(const std::string& store_address = {});

    /// Starts a gateway that knows no seeds but the added ones, and waits until it is ready.
    running_gateway& start_ready_stranger(const std::string& store_address);

    bool is_ready(const running_gateway& one);

    /// Runs something on the stand-ins' thread.
    template <class Action>
    auto on_loop(Action action) {
        return loop_.run(std::move(action));
    }

    store_stand_in& store() { return *store_; }
    auto executor() { return loop_.executor(); }

    /// A caller's request.
    static http::request make_request(const std::string& host, const std::string& id);

    /// The same for a route with stages.
    /// \param pieces of each stage, separated by commas.
    static http::request make_staged_request(const std::string& host, const std::string& id,
                                             const std::string& pieces);

    /// Sends a request and waits for its answer.
    result<http::response> call(const running_gateway& to, http::request message);
    result<support::line_answer> call_lines(const running_gateway& to, http::request message);

    /// Whether something becomes true on the stand-ins' thread within a generous time.
    bool becomes_true(const std::function<bool()>& condition);

private:
    running_gateway& start(const std::string& store_address, std::vector<std::string> seeds);
    running_gateway& await_ready(running_gateway& one);

    std::size_t message_bytes_{settings::gateway_settings{}.message_bytes};
    std::vector<std::string> seeds_;
    stand_in_loop loop_;
    std::unique_ptr<store_stand_in> store_;
    std::vector<std::unique_ptr<endpoint_stand_in>> endpoints_;
    std::vector<std::unique_ptr<running_gateway>> gateways_;
};

} // namespace boragefront::gateway_tests
