#include "shutdown_limit.hpp"

#include <utility>

namespace boragefront::daemon {
namespace {

constexpr milliseconds step{50};

} // namespace

shutdown_limit::shutdown_limit(milliseconds limit, std::function<void()> on_overdue)
    : thread_{[this, limit, action = std::move(on_overdue)] {
          std::unique_lock lock{mutex_};
          // Counts steps, not elapsed time, so that a suspension is not part of the limit.
          for (auto left = limit; left > milliseconds{0}; left -= step) {
              if (ended_changed_.wait_for(lock, step, [this] { return ended_; })) {
                  return;
              }
          }
          action();
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
