/// \file
/// Answers calls of other processes.
#pragma once

#include "base/error.hpp"
#include "wire/client.hpp"
#include "wire/messages.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boragefront::wire {

/// Answers one request, on the server's executor. Must not block.
using handler = std::function<answer(const request&)>;

/// Listens on one address until it is destroyed.
class server {
public:
    /// Binds and begins to answer; requests that cannot be read get a refusal.
    /// \param executor single-threaded.
    /// \param address "ip:port"; port 0 picks a free one.
    /// \returns `bad_request` for a malformed address, `unavailable` if it cannot be bound.
    static result<std::unique_ptr<server>> listen(boost::asio::any_io_executor executor,
                                                  std::string_view address, handler handle,
                                                  byte_counters bytes);

    server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Stops answering. The executor's context must still exist, and its thread must be the
    /// calling one or be stopped.
    virtual ~server() = default;

    /// The address that is really bound, "ip:port".
    virtual std::string address() const = 0;
};

} // namespace boragefront::wire
