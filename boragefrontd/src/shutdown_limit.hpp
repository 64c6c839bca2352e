/// \file
/// A limit on the time that a shutdown takes.
#pragma once

#include "base/time.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace boragefront::daemon {

/// Calls a function if a shutdown takes too long. Runs on a thread of its own, because the threads
/// that are to be joined may hang. Destroying it in time cancels the call.
class shutdown_limit {
public:
    /// \param limit from now, without the time for which the process is suspended
    /// \param on_overdue called once, on the limit's thread
    shutdown_limit(milliseconds limit, std::function<void()> on_overdue);
    shutdown_limit(const shutdown_limit&) = delete;
    shutdown_limit& operator=(const shutdown_limit&) = delete;
    ~shutdown_limit();

private:
    std::mutex mutex_;
    std::condition_variable ended_changed_;
    bool ended_{false};
    std::thread thread_;
};

} // namespace boragefront::daemon
