/// \file
/// The deployment that a soak runs on: gateways as processes, the store and the endpoints on one
/// event loop of the soak, and a relay before each of them.
#pragma once

#include "endpoint_stand_in.hpp"
#include "soak_plan.hpp"
#include "soak_record.hpp"
#include "stand_in_loop.hpp"
#include "stand_ins/relay.hpp"
#include "store_stand_in.hpp"
#include "support/process.hpp"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::soak {

constexpr milliseconds usual_work{15}; ///< of an endpoint, for an answer

/// Addresses of one gateway, the same in all its lives.
struct gateway_addresses {
    std::string callers; ///< of the relay before it
    std::string ready;
};

class soak_world {
public:
    /// Starts everything and publishes the configuration.
    /// \param folder receives settings and logs.
    /// \returns `unavailable` if something does not start.
    static result<std::unique_ptr<soak_world>> start(const soak_sizes& sizes,
                                                     const std::filesystem::path& folder);
    ~soak_world();
    soak_world(const soak_world&) = delete;
    soak_world& operator=(const soak_world&) = delete;

    std::vector<gateway_addresses> addresses() const;

    /// Begins a fault, or ends it. What fails is noted in the record.
    void begin(const planned_fault& planned);
    void end(const planned_fault& planned);

    /// Stops all gateways and returns what the endpoints and the injector saw.
    soak_record finish();

private:
    struct gateway {
        std::string id;
        std::optional<support::process> process;
        std::unique_ptr<stand_ins::relay> front;
        std::unique_ptr<stand_ins::relay> store_link;
        std::string data_address; ///< these stay the same in all its lives
        std::string control_address;
        std::string ready_address;
    };
    struct endpoint {
        std::string service;
        unsigned lives{0};
        std::unique_ptr<gateway_tests::endpoint_stand_in> stand_in;
        std::unique_ptr<stand_ins::relay> link;
        std::string state{"ready"};
    };

    explicit soak_world(std::filesystem::path folder);
    result<void> start_all(const soak_sizes& sizes);
    result<void> start_gateway(std::size_t index);
    std::string settings_of(const gateway& one) const;
    void start_endpoint(std::size_t index);
    void register_endpoint(const endpoint& one, bool listed = true);
    void collect_visits(const endpoint& one);

    void apply(const planned_fault& planned, bool begins);
    void strike_gateway(const planned_fault& planned, bool begins);
    void strike_endpoint(const planned_fault& planned, bool begins);
    void set_relay(stand_ins::relay& relay, fault_kind kind, bool begins);
    void strike_store(const planned_fault& planned, bool begins);
    void note_disturbance(const planned_fault& planned, bool begins);
    void restart_stopped(std::size_t index, const planned_fault& planned);

    std::filesystem::path folder_;
    gateway_tests::stand_in_loop loop_;
    std::unique_ptr<gateway_tests::store_stand_in> store_;
    std::vector<gateway> gateways_;
    std::vector<endpoint> endpoints_;
    unsigned configuration_version_{1};
    soak_record record_;
};

} // namespace boragefront::soak
