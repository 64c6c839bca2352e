#include "quarantine/prompt_quarantine.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::quarantine {
namespace {

constexpr unsigned quarantine_weight = 3 * cause_weight;
constexpr unsigned repeat_weight =
    2 * cause_weight; // from it on, a repeat is likely to crash another engine
// In an outage all parts stay without response. Then none of them is the cause.
constexpr std::size_t min_other_responses = 5; // that are sound
constexpr milliseconds first_retry_interval{20'000};
constexpr milliseconds max_retry_interval{300'000};
constexpr std::size_t max_suspects = 256;
constexpr std::size_t max_reports = 16;
constexpr milliseconds in_flight_time{100};       // of what an engine sent before it crashed
constexpr milliseconds registration_delay{3'000}; // until a restarted engine is known as such
constexpr seconds crash_retention{30};            // while signs of life are looked for

std::uint64_t key_of(std::string_view engine, std::uint64_t incarnation) {
    // As a seed, a small number would make the keys of similar ids equal.
    return stable_hash(std::string{engine} + '/' + std::to_string(incarnation));
}

} // namespace

prompt_quarantine prompt_quarantine::make(std::string self) {
    prompt_quarantine made;
    made.entries_ = {self};
    made.self_ = std::move(self);
    return made;
}

bool prompt_quarantine::record_lost(const lost_request& request, time_point now) {
    const auto engine = key_of(request.engine, request.incarnation);
    std::erase_if(recent_crashes_,
                  [&](const auto& one) { return now - one.crashed_at > crash_retention; });
    const bool known = std::any_of(recent_crashes_.begin(), recent_crashes_.end(),
                                   [&](const auto& one) { return one.engine == engine; });
    if (!known) {
        recent_crashes_.push_back({engine, now});
    }
    bool changed = false;
    for (const auto& part : request.parts) {
        auto& one = suspects_[part];
        changed = one.evidence.add({engine, now, request.sent_at, request.response_begun, false,
                                    request.content_at}) ||
                  changed;
        schedule_retry(one);
    }
    evict(now);
    return changed;
}

bool prompt_quarantine::record_sound(const std::vector<std::string>& parts, time_point now) {
    responses_.record(parts, now);
    bool changed = false;
    for (const auto& part : parts) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end()) {
            changed = found->second.evidence.clear_before(now) || changed;
        }
    }
    return changed;
}

bool prompt_quarantine::record_alive(std::string_view engine, std::uint64_t incarnation,
                                     time_point sent_at, time_point now) {
    if (recent_crashes_.empty()) {
        return false;
    }
    const auto key = key_of(engine, incarnation);
    const auto found =
        std::find_if(recent_crashes_.begin(), recent_crashes_.end(), [&](const auto& one) {
            const bool survived =
                sent_at < one.crashed_at && now >= one.crashed_at + in_flight_time;
            return one.engine == key && (survived || sent_at > one.crashed_at + registration_delay);
        });
    if (found == recent_crashes_.end()) {
        return false;
    }
    recent_crashes_.erase(found);
    bool changed = false;
    for (auto& [part, one] : suspects_) {
        changed = one.evidence.clear_engine(key) || changed;
    }
    return changed;
}

bool prompt_quarantine::merge(const std::vector<part_report>& reports, time_point now) {
    bool changed = false;
    for (const auto& report : reports) {
        const auto sound_at = responses_.last(report.part);
        auto& one = suspects_[report.part];
        for (const auto& crash : report.crashes) {
            changed = one.evidence.add(crash) || changed;
        }
        if (sound_at) {
            changed = one.evidence.clear_before(*sound_at) || changed;
        }
        schedule_retry(one);
    }
    evict(now);
    return changed;
}

std::vector<part_report> prompt_quarantine::report() const {
    std::vector<std::pair<std::pair<unsigned, time_point>, part_report>> ranked;
    for (const auto& [part, one] : suspects_) {
        ranked.push_back({{one.evidence.weight(), one.evidence.records().back().crashed_at},
                          {part, one.evidence.records()}});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    ranked.resize(std::min(ranked.size(), max_reports));
    std::vector<part_report> reports;
    reports.reserve(ranked.size());
    for (auto& [rank, report] : ranked) {
        reports.push_back(std::move(report));
    }
    return reports;
}

bool prompt_quarantine::is_quarantined(const suspect& one) const {
    return one.evidence.weight() >= quarantine_weight &&
           responses_.any_after(*one.evidence.first_crash_at(), min_other_responses);
}

// Whether this entry is the one that tries a part again.
bool prompt_quarantine::retries_here(std::string_view part) const {
    const auto own_score = rendezvous_score(part, self_);
    return std::none_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return entry != self_ && rendezvous_score(part, entry) > own_score;
    });
}

// A crash postpones the next retry.
void prompt_quarantine::schedule_retry(suspect& one) {
    const auto last = one.evidence.last_crash_at();
    if (!last) {
        one.retry_interval = milliseconds{0};
        return;
    }
    const auto interval = std::max(one.retry_interval, first_retry_interval);
    one.next_retry = std::max(one.next_retry, *last + interval);
}

std::optional<milliseconds>
prompt_quarantine::refused_for(const std::string& part, const suspect& one, time_point now) const {
    if (!is_quarantined(one) || (now >= one.next_retry && retries_here(part))) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(std::max<duration>(one.next_retry - now, seconds{1}));
}

// Whether a part that the request does not have is as likely the cause.
bool prompt_quarantine::is_excused(const suspect& one,
                                   const std::vector<std::string>& request_parts) const {
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& other) {
        const bool elsewhere = std::find(request_parts.begin(), request_parts.end(), other.first) ==
                               request_parts.end();
        return elsewhere && is_quarantined(other.second) &&
               one.evidence.is_explained_by(other.second.evidence);
    });
}

std::optional<milliseconds> prompt_quarantine::refused_for(const std::vector<std::string>& parts,
                                                           time_point now) const {
    std::optional<milliseconds> longest;
    for (const auto& part : parts) {
        const auto found = suspects_.find(part);
        if (found == suspects_.end()) {
            continue;
        }
        const auto refused = refused_for(part, found->second, now);
        if (refused && !is_excused(found->second, parts)) {
            longest = std::max(longest.value_or(*refused), *refused);
        }
    }
    return longest;
}

std::optional<milliseconds> prompt_quarantine::begin(const std::vector<std::string>& parts,
                                                     time_point now) {
    if (const auto refused = refused_for(parts, now)) {
        return refused;
    }
    for (const auto& part : parts) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && is_quarantined(found->second)) {
            auto& one = found->second;
            one.retry_interval =
                std::clamp(one.retry_interval * 2, first_retry_interval, max_retry_interval);
            one.next_retry = now + one.retry_interval;
        }
    }
    return std::nullopt;
}

bool prompt_quarantine::may_repeat(const std::vector<std::string>& parts) const {
    return std::none_of(parts.begin(), parts.end(), [&](const auto& part) {
        const auto found = suspects_.find(part);
        return found != suspects_.end() && found->second.evidence.weight() >= repeat_weight;
    });
}

std::vector<std::string> prompt_quarantine::parts_in_quarantine() const {
    std::vector<std::string> parts;
    for (const auto& [part, one] : suspects_) {
        if (is_quarantined(one)) {
            parts.push_back(part);
        }
    }
    return parts;
}

// Forgets old records, and the parts that were involved in a crash longest ago.
void prompt_quarantine::evict(time_point now) {
    for (auto& [part, one] : suspects_) {
        one.evidence.purge(now);
    }
    std::erase_if(suspects_, [](const auto& one) { return one.second.evidence.empty(); });
    while (suspects_.size() > max_suspects) {
        const auto oldest =
            std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
                return a.second.evidence.records().back().crashed_at <
                       b.second.evidence.records().back().crashed_at;
            });
        suspects_.erase(oldest);
    }
}

} // namespace boragefront::quarantine
