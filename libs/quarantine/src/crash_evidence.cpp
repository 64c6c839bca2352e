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

// Whether a crash is evidence of its own beside one that counted before it.
bool is_separate(const crash_record& record, time_point counted_at) {
    const bool apart = record.crashed_at - counted_at >= min_crash_interval;
    if (record.response_begun) {
        return apart;
    }
    return record.content_at ? apart && *record.content_at > counted_at
                             : record.sent_at > counted_at;
}

unsigned weight_of(const crash_record& record) {
    if (record.response_begun) {
        return cause_weight;
    }
    return record.content_at ? content_weight : bystander_weight;
}

} // namespace

bool crash_evidence::add(const crash_record& record) {
    const auto known = std::find_if(records_.begin(), records_.end(),
                                    [&](const auto& one) { return one.engine == record.engine; });
    if (known != records_.end()) {
        const bool changed = (record.response_begun && !known->response_begun) ||
                             (record.cleared && !known->cleared) ||
                             (record.content_at && !known->content_at);
        known->response_begun = known->response_begun || record.response_begun;
        known->cleared = known->cleared || record.cleared;
        if (!known->content_at) {
            known->content_at = record.content_at;
        }
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

bool crash_evidence::clear_before(time_point sound_at) {
    bool changed = false;
    for (auto& record : records_) {
        if (!record.cleared && record.crashed_at < sound_at) {
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
        if (!counted_at || is_separate(record, *counted_at)) {
            sum += weight_of(record);
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
