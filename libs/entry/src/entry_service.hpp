/// \file
/// The HTTP request handler of an entry for callers and probes.
#pragma once

#include "caller_request.hpp"
#include "entry_core.hpp"
#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace boragefront::entry {

/// Answers callers' requests on the traffic threads.
class entry_service {
public:
    /// \param executors one for each traffic thread, single-threaded.
    entry_service(entry_core& core, const std::vector<boost::asio::any_io_executor>& executors);

    /// Answers one request. Runs on the executor of one of the traffic threads.
    http::awaitable<void> handle(const http::request& message, http::responder& out);

private:
    http::awaitable<void> serve_caller(const http::request& message, http::responder& out);
    http::awaitable<result<void>> run_admitted(traffic_context& context, caller_request request,
                                               http::responder& out);
    traffic_context& context_of(const boost::asio::any_io_executor& executor);
    http::response readiness() const;
    void count_answer(const std::string& service, const result<void>& outcome, duration latency);

    entry_core& core_;
    std::vector<std::unique_ptr<traffic_context>> contexts_;
};

/// Whether the entry has its configuration and is not shutting down.
bool is_ready(const entry_core& core);

} // namespace boragefront::entry
