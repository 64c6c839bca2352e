#include "balancing/retry_budget.hpp"

#include <algorithm>

namespace boragefront::balancing {
namespace {

constexpr milliseconds slot_length{500}; // a twentieth of the usual window of ten seconds
// Requests are counted where they arrive and repeats where they are sent, and another entry may
// be unknown to this one, so a quarter of the budget stays unused.
constexpr double used_share = 0.75;

} // namespace

retry_budget::slot& retry_budget::slot_at(time_point now) {
    if (slots_.empty() || now - slots_.back().begins >= slot_length) {
        slots_.push_back({now});
    }
    return slots_.back();
}

void retry_budget::forget(time_point horizon) {
    while (!slots_.empty() && slots_.front().begins + slot_length < horizon) {
        slots_.pop_front();
    }
}

void retry_budget::record_request(time_point now) {
    ++slot_at(now).requests;
}

bool retry_budget::allows_retry(const retry_limit& limit, std::size_t entries, time_point now) const {
    double requests = 0;
    double repeats = 0;
    for (const auto& one : slots_) {
        if (one.begins + slot_length >= now - limit.window) {
            requests += static_cast<double>(one.requests);
            repeats += static_cast<double>(one.repeats);
        }
    }
    const double slack = limit.slack / static_cast<double>(std::max<std::size_t>(entries, 1));
    return repeats + 1 <= used_share * (limit.ratio * requests + slack);
}

bool retry_budget::try_consume(const retry_limit& limit, std::size_t entries, time_point now) {
    forget(now - limit.window);
    if (!allows_retry(limit, entries, now)) {
        return false;
    }
    ++slot_at(now).repeats;
    return true;
}

} // namespace boragefront::balancing
