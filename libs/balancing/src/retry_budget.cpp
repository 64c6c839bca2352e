#include "balancing/retry_budget.hpp"

#include <algorithm>

namespace boragefront::balancing {
namespace {

constexpr milliseconds slot_length{500}; // a twentieth of the default window of 10 s
// A quarter of the budget stays unused, because requests are counted when they arrive and retries
// when they are sent, and because this entry may not know all others.
constexpr double usable_share = 0.75;
// A restart takes longer than this.
constexpr milliseconds accrued_at_start{500};

} // namespace

retry_budget retry_budget::make(time_point started_at) {
    retry_budget budget;
    budget.started_at_ = started_at;
    return budget;
}

// Fraction of this entry's share of the slack that has accrued since the process started.
double retry_budget::accrued_share(const retry_limit& limit, time_point now) const {
    using fraction = std::chrono::duration<double, milliseconds::period>;
    const fraction accrued_for = now - started_at_ + accrued_at_start;
    return std::clamp(accrued_for / fraction{limit.window}, 0.0, 1.0);
}

retry_budget::time_slot& retry_budget::slot_at(time_point now) {
    if (slots_.empty() || now - slots_.back().begins >= slot_length) {
        slots_.push_back({now});
    }
    return slots_.back();
}

void retry_budget::expire_slots(time_point horizon) {
    while (!slots_.empty() && slots_.front().begins + slot_length < horizon) {
        slots_.pop_front();
    }
}

void retry_budget::record_request(time_point now) {
    ++slot_at(now).requests;
}

bool retry_budget::allows_retry(const retry_limit& limit, std::size_t entries,
                                time_point now) const {
    double requests = 0;
    double retries = 0;
    for (const auto& slot : slots_) {
        if (slot.begins + slot_length >= now - limit.window) {
            requests += static_cast<double>(slot.requests);
            retries += static_cast<double>(slot.retries);
        }
    }
    const double slack = accrued_share(limit, now) * limit.slack /
                         static_cast<double>(std::max<std::size_t>(entries, 1));
    return retries + 1 <= usable_share * (limit.ratio * requests + slack);
}

bool retry_budget::try_consume(const retry_limit& limit, std::size_t entries, time_point now) {
    expire_slots(now - limit.window);
    if (!allows_retry(limit, entries, now)) {
        return false;
    }
    ++slot_at(now).retries;
    return true;
}

} // namespace boragefront::balancing
