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
    const auto before = core_.version();
    auto made = std::visit(
        overloaded{
            [&](const wire::digest_request& one) -> wire::answer { return core_.answer(one, now); },
            [&](const wire::delta_request& one) -> wire::answer { return core_.answer(one); },
            [&](const wire::heartbeat_request& one) -> wire::answer {
                return answer_heartbeat(one, now);
            },
            [&](const wire::status_request&) -> wire::answer { return answer_status(now); },
            [&](const wire::dump_request&) -> wire::answer { return wire::dump_answer{dump(now)}; },
            [&](const wire::metrics_request&) -> wire::answer {
                return wire::metrics_answer{metrics_.all.exposition()};
            },
            [&](const wire::instances_request& one) -> wire::answer {
                return core_.answer(one, now);
            },
        },
        asked);
    on_version(before);
    return made;
}

wire::heartbeat_answer plane::answer_heartbeat(const wire::heartbeat_request& asked,
                                               time_point now) {
    core_.instances().note_heard(asked.from, now);
    core_.take_knowledge(asked.held, now);
    const auto report = hooks_.report ? hooks_.report() : sidecar_report{};
    wire::heartbeat_answer made;
    made.life = report.life;
    made.phase = report.phase;
    made.concurrency_limit = report.concurrency_limit;
    made.in_flight = report.in_flight;
    made.queued = report.queued;
    made.service_time = report.service_time;
    made.clock = remote_time{now.time_since_epoch()};
    made.held = core_.describe(now);
    return made;
}

wire::status_answer plane::answer_status(time_point now) {
    const auto status = hooks_.status ? hooks_.status() : process_status{};
    wire::status_answer made;
    made.id = options_.self.id;
    made.role = options_.self.role;
    made.data_centre = options_.self.data_centre;
    made.phase = status.phase;
    made.highest = core_.store().highest();
    made.knowledge_age = core_.knowledge().age(now);
    made.in_flight = status.in_flight;
    made.refused_values = static_cast<std::uint32_t>(configuration_.load()->refused.size());
    made.ready = ready_;
    return made;
}

std::string plane::dump(time_point now) {
    const auto in_force = configuration_.load();
    const dump_sources sources{options_.self,
                               core_,
                               *in_force,
                               heard_,
                               ready_,
                               reader_,
                               hooks_.dump ? hooks_.dump() : std::string{}};
    return make_dump(sources, now);
}

} // namespace boragefront::control
