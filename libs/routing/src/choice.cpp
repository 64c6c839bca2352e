/// \file
#include "routing/choice.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <numeric>

namespace boragefront::routing {
namespace {

using candidates = std::vector<const endpoint_view*>;

template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

template <class Predicate>
candidates filter(const candidates& all, Predicate predicate) {
    candidates kept;
    std::copy_if(all.begin(), all.end(), std::back_inserter(kept),
                 [&](const auto* endpoint) { return predicate(*endpoint); });
    return kept;
}

candidates with_exclusion(std::span<const endpoint_view> endpoints, exclusion reason) {
    candidates found;
    for (const auto& endpoint : endpoints) {
        if (endpoint.excluded == reason) {
            found.push_back(&endpoint);
        }
    }
    return found;
}

// Failure detection can be wrong, so suspected endpoints are used if no other is eligible.
candidates eligible_endpoints(std::span<const endpoint_view> endpoints) {
    auto eligible = with_exclusion(endpoints, exclusion::none);
    return eligible.empty() ? with_exclusion(endpoints, exclusion::suspected) : eligible;
}

// Running and queued work of all endpoints relative to the sum of their limits.
double aggregate_load(const candidates& all) {
    double total_work = 0;
    double total_limit = 0;
    for (const auto* endpoint : all) {
        const double limit = std::max(1U, endpoint->limit);
        total_work += load_of(*endpoint) * limit;
        total_limit += limit;
    }
    return total_limit == 0 ? 0 : total_work / total_limit;
}

double mean_expected_delay(const candidates& all) {
    double sum = 0;
    for (const auto* endpoint : all) {
        sum += expected_delay_of(*endpoint);
    }
    return sum / static_cast<double>(all.size());
}

candidates prefer_untried(candidates all) {
    auto untried = filter(all, [](const auto& endpoint) { return !endpoint.tried; });
    return untried.empty() ? std::move(all) : std::move(untried);
}

// Keeps to the own data centre while its load is below the spill threshold, and beyond that while
// its mean expected delay is no longer than that of all endpoints.
candidates prefer_local(candidates all, const choice_request& request) {
    auto local = filter(
        all, [&](const auto& endpoint) { return endpoint.data_centre == request.data_centre; });
    if (local.empty()) {
        return all;
    }
    const bool has_room = aggregate_load(local) < request.spilling.load_threshold;
    if (has_room || !request.spilling.enabled ||
        mean_expected_delay(local) <= mean_expected_delay(all)) {
        return local;
    }
    return all;
}

const endpoint_view* pick_uniformly(const candidates& all, random_source& random) {
    std::uniform_int_distribution<std::size_t> index{0, all.size() - 1};
    return all[index(random)];
}

const endpoint_view* shorter_expected_delay(const endpoint_view* left, const endpoint_view* right) {
    return expected_delay_of(*right) < expected_delay_of(*left) ? right : left;
}

const endpoint_view* pick_best_of_two(const candidates& all, random_source& random) {
    if (all.size() == 1) {
        return all.front();
    }
    std::uniform_int_distribution<std::size_t> first{0, all.size() - 1};
    std::uniform_int_distribution<std::size_t> step{1, all.size() - 1};
    const auto left = first(random);
    const auto right = (left + step(random)) % all.size();
    return shorter_expected_delay(all[left], all[right]);
}

const endpoint_view* pick(const candidates& all, choice_policy& policy, random_source& random) {
    return std::visit(overloaded{
                          [&](power_of_two_choices&) { return pick_best_of_two(all, random); },
                          [&](round_robin& order) { return all[order.next++ % all.size()]; },
                          [&](least_in_flight&) {
                              return *std::min_element(
                                  all.begin(), all.end(), [](auto* left, auto* right) {
                                      return left->own_in_flight < right->own_in_flight;
                                  });
                          },
                          [&](uniform_random&) { return pick_uniformly(all, random); },
                      },
                      policy);
}

// Rendezvous hashing with bounded loads: the highest score for the prefix among the endpoints
// whose load is within the bound.
const endpoint_view* pick_by_prefix(const candidates& all, const choice_request& request) {
    const double mean = aggregate_load(all);
    const endpoint_view* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto* endpoint : all) {
        // One request above the bound, so that an idle pool accepts the first request.
        const double limit = std::max(1U, endpoint->limit);
        const double bound = request.prefix_affinity.load_bound * mean + 1.0 / limit;
        if (load_of(*endpoint) > bound) {
            continue;
        }
        const auto score = rendezvous_score(request.prefix, endpoint->id);
        if (best == nullptr || score > best_score) {
            best = endpoint;
            best_score = score;
        }
    }
    return best;
}

} // namespace

const endpoint_view* choose(std::span<const endpoint_view> endpoints, const choice_request& request,
                            choice_policy& policy, random_source& random) {
    auto eligible = prefer_untried(eligible_endpoints(endpoints));
    if (eligible.empty()) {
        return nullptr;
    }
    eligible = prefer_local(std::move(eligible), request);
    if (request.prefix_affinity.enabled && !request.prefix.empty()) {
        if (const auto* chosen = pick_by_prefix(eligible, request)) {
            return chosen;
        }
    }
    return pick(eligible, policy, random);
}

std::string_view prompt_prefix(std::string_view body, unsigned bytes) {
    constexpr std::string_view member = "\"prompt\"";
    const auto name = body.find(member);
    if (name != std::string_view::npos) {
        const auto quote = body.find('"', name + member.size());
        if (quote != std::string_view::npos) {
            body.remove_prefix(quote + 1);
        }
    }
    return body.substr(0, bytes);
}

} // namespace boragefront::routing
