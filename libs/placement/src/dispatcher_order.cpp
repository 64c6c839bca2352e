#include "placement/dispatcher_order.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <tuple>

namespace boragefront::placement {
namespace {

// Of the best candidate's processors and bandwidth. A dispatcher's load does not depend on its own
// size, so one that is far smaller than another is always the wrong choice.
constexpr double min_relative_capacity = 0.5;

enum class suitability : std::uint8_t { poor, capable, preferred };

struct ranked_candidate {
    const candidate* entry;
    suitability suitable;
    double score;
};

std::vector<ranked_candidate> rank(std::string_view service,
                                   const std::vector<candidate>& candidates) {
    const bool uniform = is_uniform(candidates);
    double max_processors = 0;
    double max_link = 0;
    for (const auto& one : candidates) {
        max_processors = std::max(max_processors, one.processors);
        max_link = std::max(max_link, one.link_mbps);
    }
    const auto is_capable = [&](const candidate& one) {
        return one.processors >= max_processors * min_relative_capacity &&
               (one.link_mbps <= 0 || one.link_mbps >= max_link * min_relative_capacity);
    };
    milliseconds longest_serving{0};
    for (const auto& one : candidates) {
        longest_serving =
            std::max(longest_serving, is_capable(one) ? one.serving_for : milliseconds{0});
    }
    std::vector<ranked_candidate> ranked;
    ranked.reserve(candidates.size());
    for (const auto& one : candidates) {
        const bool settled =
            one.serving_for >= std::min(settling_time, longest_serving - start_spread);
        auto suitable = suitability::preferred;
        if (!uniform && !is_capable(one)) {
            suitable = suitability::poor;
        } else if (!uniform && (one.late || !settled)) {
            suitable = suitability::capable;
        }
        ranked.push_back(
            {&one, suitable, weighted_rendezvous_score(service, one.id, one.processors)});
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return std::tie(a.suitable, a.score, a.entry->id) >
               std::tie(b.suitable, b.score, b.entry->id);
    });
    return ranked;
}

// The first of the most suitable candidates of a service that is not the first choice of another
// one; the first of all if there is none.
std::vector<ranked_candidate>::iterator first_free(std::vector<ranked_candidate>& ranked,
                                                   const std::set<std::string_view>& taken) {
    const auto free = std::find_if(ranked.begin(), ranked.end(), [&](const auto& one) {
        return one.suitable == ranked.front().suitable && !taken.contains(one.entry->id);
    });
    return free == ranked.end() ? ranked.begin() : free;
}

} // namespace

bool is_uniform(const std::vector<candidate>& candidates) {
    double link = 0; // the first known one
    for (const auto& one : candidates) {
        link = link > 0 ? link : one.link_mbps;
        if (one.processors != candidates.front().processors ||
            (one.link_mbps > 0 && one.link_mbps != link)) {
            return false;
        }
    }
    return true;
}

std::vector<std::string> dispatcher_order(std::string_view service,
                                          std::vector<std::string> stage_services,
                                          const std::vector<candidate>& candidates) {
    if (candidates.empty()) {
        return {};
    }
    auto ranked = rank(service, candidates);
    if (!is_uniform(candidates)) {
        std::sort(stage_services.begin(), stage_services.end());
        std::set<std::string_view> taken;
        for (const auto& other : stage_services) {
            if (other == service) {
                break;
            }
            auto ranked_for_other = rank(other, candidates);
            taken.insert(first_free(ranked_for_other, taken)->entry->id);
        }
        const auto first = first_free(ranked, taken);
        std::rotate(ranked.begin(), first, std::next(first));
    }
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (const auto& one : ranked) {
        order.push_back(one.entry->id);
    }
    return order;
}

} // namespace boragefront::placement
