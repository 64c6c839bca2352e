/// \file
/// Publishes immutable snapshots from the control thread to the traffic threads.
#pragma once

#include <atomic>
#include <memory>

namespace boragefront {

/// Holds the latest snapshot of `T`, which is replaced atomically. Readers share ownership, because
/// a traffic thread may still use a snapshot that the control thread has replaced.
template <class T>
class atomic_snapshot {
public:
    /// The latest snapshot; never null.
    std::shared_ptr<const T> load() const { return current_.load(std::memory_order_acquire); }

    void publish(T next) {
        current_.store(std::make_shared<const T>(std::move(next)), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const T>> current_{std::make_shared<const T>()};
};

} // namespace boragefront
