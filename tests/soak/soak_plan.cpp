#include "soak_plan.hpp"

#include "support/draw.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace boragefront::soak {
namespace {

using support::draw;

constexpr milliseconds storm{6'000};
constexpr milliseconds shortest_fault{150};
constexpr milliseconds longest_fault{3'500};
constexpr milliseconds mean_gap{450}; // between the beginnings of faults
// After faults, the platform's rules let machines settle for 4 s, and recover within 15 s.
constexpr milliseconds settling{4'000};
constexpr milliseconds calm{4'000};

struct kind_entry {
    fault_kind kind;
    fault_target target;
    std::string_view name;
};

constexpr std::array kinds{
    kind_entry{fault_kind::gateway_killed, fault_target::gateway, "gateway killed"},
    kind_entry{fault_kind::gateway_stopped, fault_target::gateway, "gateway stopped"},
    kind_entry{fault_kind::gateway_frozen, fault_target::gateway, "gateway frozen"},
    kind_entry{fault_kind::gateway_stop_frozen, fault_target::gateway,
               "gateway frozen in its stop"},
    kind_entry{fault_kind::gateway_stop_killed, fault_target::gateway,
               "gateway killed in its stop"},
    kind_entry{fault_kind::endpoint_restarted, fault_target::endpoint, "endpoint restarted"},
    kind_entry{fault_kind::endpoint_drained, fault_target::endpoint, "endpoint drained"},
    kind_entry{fault_kind::endpoint_unregistered, fault_target::endpoint, "endpoint unregistered"},
    kind_entry{fault_kind::endpoint_refusing, fault_target::endpoint, "endpoint refusing"},
    kind_entry{fault_kind::endpoint_failing, fault_target::endpoint, "endpoint failing"},
    kind_entry{fault_kind::endpoint_resetting, fault_target::endpoint, "endpoint resetting"},
    kind_entry{fault_kind::endpoint_silent, fault_target::endpoint, "endpoint silent"},
    kind_entry{fault_kind::endpoint_doubling, fault_target::endpoint, "endpoint answering twice"},
    kind_entry{fault_kind::endpoint_confused, fault_target::endpoint, "endpoint answering another"},
    kind_entry{fault_kind::endpoint_cutting, fault_target::endpoint, "endpoint cutting"},
    kind_entry{fault_kind::endpoint_unsigned, fault_target::endpoint, "endpoint without receipts"},
    kind_entry{fault_kind::endpoint_slow, fault_target::endpoint, "endpoint slow"},
    kind_entry{fault_kind::link_cut, fault_target::link, "link cut"},
    kind_entry{fault_kind::link_held, fault_target::link, "link held"},
    kind_entry{fault_kind::link_silent, fault_target::link, "link silent"},
    kind_entry{fault_kind::link_old_silent, fault_target::link, "old connections silent"},
    kind_entry{fault_kind::link_requests_lost, fault_target::link, "requests lost"},
    kind_entry{fault_kind::link_answers_lost, fault_target::link, "answers lost"},
    kind_entry{fault_kind::link_delayed, fault_target::link, "link delayed"},
    kind_entry{fault_kind::front_cut, fault_target::front, "callers cut"},
    kind_entry{fault_kind::front_held, fault_target::front, "callers held"},
    kind_entry{fault_kind::front_old_silent, fault_target::front, "callers' connections silent"},
    kind_entry{fault_kind::front_answers_lost, fault_target::front, "answers to callers lost"},
    kind_entry{fault_kind::store_refusing, fault_target::store, "store refusing"},
    kind_entry{fault_kind::store_limiting, fault_target::store, "store limiting"},
    kind_entry{fault_kind::store_silent, fault_target::store, "store silent"},
    kind_entry{fault_kind::store_compacted, fault_target::store, "store compacted"},
    kind_entry{fault_kind::store_unreachable, fault_target::store_link, "store unreachable"},
    kind_entry{fault_kind::configuration_stormed, fault_target::operators, "configuration storm"},
};

const kind_entry& entry_of(fault_kind kind) {
    return *std::find_if(kinds.begin(), kinds.end(),
                         [&](const kind_entry& one) { return one.kind == kind; });
}

std::size_t places(fault_target target, const soak_sizes& sizes) {
    switch (target) {
    case fault_target::gateway:
    case fault_target::front:
    case fault_target::store_link:
        return sizes.gateways;
    case fault_target::endpoint:
    case fault_target::link:
        return sizes.endpoints;
    case fault_target::store:
    case fault_target::operators:
        break;
    }
    return 1;
}

milliseconds draw_time(random_source& random, milliseconds least, milliseconds most) {
    return milliseconds{draw(random, least.count(), most.count())};
}

} // namespace

std::string_view to_string(fault_kind kind) {
    return entry_of(kind).name;
}

fault_target target_of(fault_kind kind) {
    return entry_of(kind).target;
}

std::string to_string(const planned_fault& planned) {
    return std::to_string(planned.begins.count()) + " ms: " + std::string{to_string(planned.kind)} +
           " (" + std::to_string(planned.place) + ") for " + std::to_string(planned.lasts.count()) +
           " ms";
}

soak_plan draw_plan(std::uint64_t seed, milliseconds length, const soak_sizes& sizes) {
    random_source random{seed};
    soak_plan plan;
    milliseconds now{500};
    while (now < length || plan.faults.empty()) {
        const auto storm_ends = now + storm;
        auto all_over = now;
        std::map<std::pair<fault_target, std::size_t>, milliseconds> struck_until;
        while (now < storm_ends) {
            const auto& chosen = kinds.at(draw(random, std::size_t{0}, kinds.size() - 1));
            const auto place = draw(random, std::size_t{0}, places(chosen.target, sizes) - 1);
            const auto lasts = draw_time(random, shortest_fault, longest_fault);
            auto& until = struck_until[{chosen.target, place}];
            if (until <= now) {
                plan.faults.push_back({chosen.kind, place, now, lasts});
                until = now + lasts + shortest_fault;
                all_over = std::max(all_over, now + lasts);
            }
            now += draw_time(random, milliseconds{0}, mean_gap * 2);
        }
        plan.calm.push_back({all_over + settling, all_over + settling + calm});
        now = plan.calm.back().ends;
    }
    plan.length = now;
    return plan;
}

} // namespace boragefront::soak
