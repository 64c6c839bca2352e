#include "role.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace boragefront::daemon {
namespace {

// Time that remains for the process to end before the platform kills it.
constexpr milliseconds exit_margin{250};

template <class Node>
result<running_role> start_node(const settings::daemon_settings& settings,
                                metrics_registry& metrics) {
    BOOST_OUTCOME_TRY(auto node, Node::start(settings, metrics));
    return running_role{std::move(node)};
}

struct role_starter {
    const settings::daemon_settings& settings;
    metrics_registry& metrics;

    result<running_role> operator()(const settings::entry_settings& /*role*/) const {
        return start_node<entry::entry_node>(settings, metrics);
    }
    result<running_role> operator()(const settings::sidecar_settings& /*role*/) const {
        return start_node<sidecar::sidecar_node>(settings, metrics);
    }
    result<running_role> operator()(const settings::gateway_settings& /*role*/) const {
        return start_node<gateway::gateway_node>(settings, metrics);
    }
};

struct role_reloader {
    const settings::daemon_settings& settings;

    void operator()(const std::unique_ptr<gateway::gateway_node>& node) const {
        node->reload(settings);
    }
    // Changed settings of these roles take effect only after a restart.
    void operator()(const std::unique_ptr<entry::entry_node>& /*node*/) const {}
    void operator()(const std::unique_ptr<sidecar::sidecar_node>& /*node*/) const {}
};

struct shutdown_timer {
    const settings::daemon_settings& settings;

    milliseconds operator()(const std::unique_ptr<gateway::gateway_node>& node) const {
        return std::max(node->grace() - exit_margin, exit_margin);
    }
    milliseconds operator()(const std::unique_ptr<entry::entry_node>& /*node*/) const {
        return settings.drain_timeout;
    }
    milliseconds operator()(const std::unique_ptr<sidecar::sidecar_node>& /*node*/) const {
        return settings.drain_timeout;
    }
};

} // namespace

void reload(running_role& role, const settings::daemon_settings& settings) {
    std::visit(role_reloader{settings}, role);
}

result<running_role> start_role(const settings::daemon_settings& settings,
                                metrics_registry& metrics) {
    return std::visit(role_starter{settings, metrics}, settings.role);
}

milliseconds shutdown_time(const running_role& role, const settings::daemon_settings& settings) {
    return std::visit(shutdown_timer{settings}, role);
}

void shut_down(running_role& role) {
    std::visit(
        [](auto& node) {
            node->request_shutdown();
            node->wait();
        },
        role);
}

std::string addresses_line(const running_role& role) {
    return std::visit(
        [](const auto& node) {
            return boost::json::serialize(
                boost::json::object{{"data_address", node->data_address()},
                                    {"control_address", node->control_address()}});
        },
        role);
}

} // namespace boragefront::daemon
