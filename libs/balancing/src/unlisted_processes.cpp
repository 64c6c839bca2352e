#include "balancing/unlisted_processes.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace boragefront::balancing {
namespace {

constexpr std::size_t max_processes = 1'024; // about 200 kB

bool matters(const process_terms& terms, time_point now) {
    return terms.limit.in_force() || terms.paused_until > now;
}

} // namespace

void unlisted_processes::keep(std::string_view id, std::uint64_t incarnation,
                              const process_terms& terms, time_point now) {
    if (incarnation != 0 && matters(terms, now)) {
        processes_.insert_or_assign({stable_hash(id), incarnation}, process{terms, now});
        purge(now);
    }
}

process_terms unlisted_processes::take(std::string_view id, std::uint64_t incarnation) {
    const auto found = processes_.extract({stable_hash(id), incarnation});
    return found.empty() ? process_terms{} : found.mapped().terms;
}

void unlisted_processes::pause(std::string_view id, std::uint64_t incarnation,
                               milliseconds retry_after, time_point now) {
    const auto found = processes_.find({stable_hash(id), incarnation});
    auto terms = found == processes_.end() ? process_terms{} : found->second.terms;
    terms.paused_until = std::max(terms.paused_until, now + retry_after);
    keep(id, incarnation, terms, now);
}

void unlisted_processes::record_limit(std::uint64_t endpoint, std::uint64_t incarnation,
                                      const limit_report& report) {
    const auto found = processes_.find({endpoint, incarnation});
    if (found != processes_.end()) {
        (void)found->second.terms.limit.record(report);
    }
}

void unlisted_processes::purge(time_point now) {
    if (processes_.size() <= max_processes) {
        return;
    }
    std::erase_if(processes_, [&](const auto& one) { return !matters(one.second.terms, now); });
    while (processes_.size() > max_processes) {
        processes_.erase(std::min_element(
            processes_.begin(), processes_.end(), [](const auto& a, const auto& b) {
                return a.second.missing_since < b.second.missing_since;
            }));
    }
}

} // namespace boragefront::balancing
