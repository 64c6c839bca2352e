/// \file
/// Memory that messages in progress may take together.
#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace boragefront {

/// A memory budget shared by all leases. Leases over `small_lease` fail once half of the budget is
/// used, so that a few large ones do not starve many small ones. Thread-safe.
class byte_budget {
public:
    /// Leases up to this size may use the whole budget.
    static constexpr std::size_t small_lease = 256U << 10U;

    explicit byte_budget(std::size_t limit) : limit_{limit} {}
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    std::size_t used() const { return used_; }
    std::size_t limit() const { return limit_; }

    /// Replaces the limit. Leases that exceed a lowered one stay; new ones fail until they end.
    void set_limit(std::size_t limit) { limit_ = limit; }

private:
    friend class byte_lease;

    bool try_take(std::size_t bytes, std::size_t held) {
        const std::size_t limit = limit_;
        const auto available = held + bytes > small_lease ? limit / 2 : limit;
        const auto before = used_.fetch_add(bytes);
        if (before + bytes <= available) {
            return true;
        }
        used_ -= bytes;
        return false;
    }
    void give_back(std::size_t bytes) { used_ -= bytes; }

    std::atomic<std::size_t> limit_;
    std::atomic<std::size_t> used_{0};
};

/// The part of a budget that one holder uses. It is given back on destruction.
class byte_lease {
public:
    /// \param budget must outlive the lease
    explicit byte_lease(byte_budget& budget) : budget_{&budget} {}
    ~byte_lease() { budget_->give_back(size_); }
    byte_lease(byte_lease&& other) noexcept
        : budget_{other.budget_}, size_{std::exchange(other.size_, 0)} {}
    byte_lease& operator=(byte_lease&& other) noexcept {
        std::swap(budget_, other.budget_);
        std::swap(size_, other.size_);
        return *this;
    }
    byte_lease(const byte_lease&) = delete;
    byte_lease& operator=(const byte_lease&) = delete;

    /// Grows or shrinks the lease. Shrinking always succeeds.
    /// \returns false, with the lease unchanged, if the budget is used up
    [[nodiscard]] bool resize(std::size_t size) {
        if (size <= size_) {
            budget_->give_back(size_ - size);
        } else if (!budget_->try_take(size - size_, size_)) {
            return false;
        }
        size_ = size;
        return true;
    }

    std::size_t size() const { return size_; }

private:
    byte_budget* budget_;
    std::size_t size_{0};
};

} // namespace boragefront
