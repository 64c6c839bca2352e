/// \file
/// Slow network links, for gateways that share one process.
#pragma once

#include "stand_in_loop.hpp"
#include "stand_ins/relay.hpp"
#include "wire/messages.hpp"
#include "wire/server.hpp"

#include <memory>
#include <string>

namespace boragefront::gateway_tests {

/// A link to one address that carries answers at about 16 kB in each `delay`. Each connection has
/// this bandwidth to itself.
class slow_link {
public:
    /// \param target "ip:port"
    slow_link(const std::string& target, milliseconds delay);
    ~slow_link() { loop_.stop(); }
    slow_link(const slow_link&) = delete;
    slow_link& operator=(const slow_link&) = delete;

    std::string address() const;

private:
    stand_in_loop loop_;
    std::unique_ptr<stand_ins::relay> relay_;
};

/// The only way to the control address of a gateway: passes gossip on, and tells neither side the
/// address of the other.
class hidden_peer {
public:
    /// \param control_address of the gateway
    hidden_peer(std::string control_address, milliseconds delay);
    ~hidden_peer() { loop_.stop(); }
    hidden_peer(const hidden_peer&) = delete;
    hidden_peer& operator=(const hidden_peer&) = delete;

    /// Where other gateways reach the gateway.
    std::string address() const { return link_->address(); }

private:
    wire::answer forward(const wire::request& message) const;

    std::string control_address_;
    metrics_registry metrics_;
    stand_in_loop loop_;
    std::unique_ptr<wire::server> server_;
    std::unique_ptr<slow_link> link_;
};

} // namespace boragefront::gateway_tests
