#include "quarantine/crash_evidence.hpp"

#include <algorithm>

namespace boragefront::quarantine {
namespace {

constexpr std::size_t max_records = 16;
// Crashes that are closer to each other have a common cause.
constexpr milliseconds min_crash_interval{150};
constexpr seconds retention{600};
// Far longer than a message takes to reach all entries.
constexpr seconds cleared_retention{60};

} // namespace

bool crash_evidence::add(const crash_record& record) {
    const auto known = std::find_if(records_.begin(), records_.end(),
                                    [&](const auto& one) { return one.engine == record.engine; });
    if (known != records_.end()) {
        const bool changed = (record.response_begun && !known->response_begun) ||
                             (record.cleared && !known->cleared);
        known->response_begun = known->response_begun || record.response_begun;
        known->cleared = known->cleared || record.cleared;
        return changed;
    }
    const auto later = std::find_if(records_.begin(), records_.end(), [&](const auto& one) {
        return one.crashed_at > record.crashed_at;
    });
    if (records_.size() == max_records && later == records_.begin()) {
        return false;
    }
    records_.insert(later, record);
    if (records_.size() > max_records) {
        records_.erase(records_.begin());
    }
    return true;
}

bool crash_evidence::clear_before(time_point responded_at) {
    bool changed = false;
    for (auto& record : records_) {
        if (!record.cleared && record.crashed_at < responded_at) {
            record.cleared = changed = true;
        }
    }
    return changed;
}

bool crash_evidence::clear_engine(std::uint64_t engine) {
    bool changed = false;
    for (auto& record : records_) {
        if (!record.cleared && record.engine == engine) {
            record.cleared = changed = true;
        }
    }
    return changed;
}

void crash_evidence::purge(time_point now) {
    std::erase_if(records_, [&](const auto& record) {
        return now - record.crashed_at > (record.cleared ? cleared_retention : retention);
    });
}

unsigned crash_evidence::weight() const {
    unsigned sum = 0;
    std::optional<time_point> counted_at;
    for (const auto& record : records_) {
        if (record.cleared) {
            continue;
        }
        const bool separate =
            !counted_at ||
            (record.response_begun ? record.crashed_at - *counted_at >= min_crash_interval
                                   : record.sent_at > *counted_at);
        if (separate) {
            sum += record.response_begun ? cause_weight : bystander_weight;
            counted_at = record.crashed_at;
        }
    }
    return sum;
}

std::optional<time_point> crash_evidence::first_crash_at() const {
    const auto first = std::find_if(records_.begin(), records_.end(),
                                    [](const auto& record) { return !record.cleared; });
    return first == records_.end() ? std::nullopt : std::optional{first->crashed_at};
}

std::optional<time_point> crash_evidence::last_crash_at() const {
    const auto last = std::find_if(records_.rbegin(), records_.rend(),
                                   [](const auto& record) { return !record.cleared; });
    return last == records_.rend() ? std::nullopt : std::optional{last->crashed_at};
}

bool crash_evidence::is_explained_by(const crash_evidence& other) const {
    return std::all_of(records_.begin(), records_.end(), [&](const auto& record) {
        return record.cleared ||
               std::any_of(other.records_.begin(), other.records_.end(), [&](const auto& one) {
                   return one.engine == record.engine && !one.cleared;
               });
    });
}

} // namespace boragefront::quarantine
