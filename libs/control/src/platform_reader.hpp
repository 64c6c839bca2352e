/// \file
/// Reads the platform's service over HTTP.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/metrics.hpp"
#include "base/time.hpp"
#include "control_node.hpp"
#include "http/client.hpp"

#include <memory>
#include <string>

namespace boragefront::control {

/// The one adapter to the platform's wire format.
class platform_reader {
public:
    /// \param address "ip:port" of the platform's service.
    /// \param bytes counts the bodies of answers; outlives the reader.
    platform_reader(boost::asio::any_io_executor executor, std::string address, counter& bytes);

    /// Reads the entries above a revision, or all if it is 0.
    /// \param wait how long the service may wait for one; 0 answers at once.
    http::awaitable<result<platform_config>> read_config(revision since, milliseconds wait);

    http::awaitable<result<list_reading>> read_instances();

private:
    http::awaitable<result<http::response>> get(http::request message, milliseconds wait);

    std::unique_ptr<http::client> client_;
    std::string address_;
    counter& bytes_;
    std::string list_tag_;
};

} // namespace boragefront::control
