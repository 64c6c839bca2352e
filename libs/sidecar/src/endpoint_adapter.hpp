/// \file
/// The endpoint's own protocol. Nothing else knows it.
#pragma once

#include "http/client.hpp"
#include "work_scheduler.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boragefront::sidecar {

/// One call to the endpoint.
struct endpoint_order {
    work_id id;
    std::string stage;
    std::string input; ///< JSON
    config::lane lane{config::lane::normal};
    bool stream{false};
    bool idempotent{false};
    time_point deadline;
};

/// How a call ended, and what its receiver is told.
struct endpoint_result {
    call_end how{call_end::failed};
    ledger::outcome what;
    std::string instance; ///< the endpoint's life, if it answered
};

/// Receives each line of a stream as it arrives, without its newline.
using line_receiver = std::function<void(std::string)>;

/// Speaks HTTP with JSON to one endpoint.
class endpoint_adapter {
public:
    /// \param client outlives the adapter.
    endpoint_adapter(http::client& client, std::string address)
        : client_{client}, address_{std::move(address)} {}

    /// Runs work. The lines of a stream go to `receive` up to and without the last, which ends it.
    /// \param cancel outlives the call.
    http::awaitable<endpoint_result> run(endpoint_order order, http::cancel_source& cancel,
                                         line_receiver receive);

    /// Asks the endpoint for its load.
    http::awaitable<result<load_report>> load(time_point deadline);

private:
    http::awaitable<endpoint_result> read_whole(const endpoint_order& order,
                                                http::response_stream& stream);
    http::awaitable<endpoint_result> read_lines(const endpoint_order& order,
                                                http::response_stream& stream,
                                                const line_receiver& receive);
    endpoint_result failed_call(const endpoint_order& order, error reason);

    http::client& client_;
    std::string address_;
};

} // namespace boragefront::sidecar
