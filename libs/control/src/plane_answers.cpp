/// \file
/// The control plane's answers to peers and to the operators' tool.
#include "dump.hpp"
#include "plane.hpp"

namespace boragefront::control {
namespace {

template <class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

wire::answer plane::answer(const wire::request& asked) {
    const auto now = steady_clock::now();
    auto made = std::visit(
        overloaded{
            [&](const wire::heartbeat_request& one) -> wire::answer {
                return node_->answer(one, hooks_.report ? hooks_.report() : sidecar_report{}, now);
            },
            [&](const wire::status_request&) -> wire::answer { return answer_status(now); },
            [&](const wire::dump_request&) -> wire::answer { return wire::dump_answer{dump(now)}; },
            [&](const wire::metrics_request&) -> wire::answer {
                return wire::metrics_answer{metrics_.all.exposition()};
            },
            [&](const wire::digest_request& one) -> wire::answer {
                return node_->answer(one, now);
            },
            [&](const wire::delta_request& one) -> wire::answer { return node_->answer(one, now); },
            [&](const wire::instances_request& one) -> wire::answer {
                return node_->answer(one, now);
            },
            [](const auto&) -> wire::answer {
                return wire::refusal{"a request that only a gateway answers"};
            },
        },
        asked);
    publish_changes(now);
    return made;
}

wire::status_answer plane::answer_status(time_point now) const {
    const auto status = hooks_.status ? hooks_.status() : process_status{};
    wire::status_answer made;
    made.id = options_.self.id;
    made.role = options_.self.role;
    made.data_centre = options_.self.data_centre;
    made.phase = status.phase;
    made.highest = node_->core().store().highest();
    made.knowledge_age = node_->core().knowledge().age(now);
    made.in_flight = status.in_flight;
    made.refused_values = static_cast<std::uint32_t>(configuration_.load()->refused.size());
    made.ready = ready_;
    return made;
}

std::string plane::dump(time_point now) const {
    const auto in_force = configuration_.load();
    const dump_sources sources{options_.self,
                               node_->core(),
                               *in_force,
                               node_->heard(),
                               ready_,
                               node_->reader(),
                               hooks_.dump ? hooks_.dump() : std::string{}};
    return make_dump(sources, now);
}

} // namespace boragefront::control
