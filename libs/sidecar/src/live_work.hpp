/// \file
/// Work in progress, as those who wait for it see it.
#pragma once

#include "http/client.hpp"
#include "work_message.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace boragefront::sidecar {

/// One piece of work from its admission until its outcome is recorded.
struct live_work {
    explicit live_work(const boost::asio::any_io_executor& executor, work_message asked)
        : message{std::move(asked)}, changed{executor, time_point::max()} {}

    const work_id& id() const { return message.offered.record.id; }

    work_message message;
    std::vector<std::string> lines;    ///< of a stream, so far
    bool settled{false};               ///< the outcome is recorded
    unsigned waiters{0};               ///< requests whose peers still wait
    http::cancel_source cancel;        ///< of the call to the endpoint
    boost::asio::steady_timer changed; ///< cancelled to wake those who wait
};

/// Shared by the call to the endpoint and by each request that waits; the last one frees it.
using shared_work = std::shared_ptr<live_work>;

} // namespace boragefront::sidecar
