#include "shutdown_limit.hpp"

#include <utility>

namespace boragefront::daemon {

shutdown_limit::shutdown_limit(milliseconds limit, std::function<void()> on_overdue)
    : thread_{[this, until = steady_clock::now() + limit, action = std::move(on_overdue)] {
          std::unique_lock lock{mutex_};
          if (!ended_changed_.wait_until(lock, until, [this] { return ended_; })) {
              action();
          }
      }} {}

shutdown_limit::~shutdown_limit() {
    {
        const std::scoped_lock lock{mutex_};
        ended_ = true;
    }
    ended_changed_.notify_all();
    thread_.join();
}

} // namespace boragefront::daemon
