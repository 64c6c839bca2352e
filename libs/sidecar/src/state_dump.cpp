/// \file
/// Implementation of the dump and the report.
#include "state_dump.hpp"

#include <boost/json.hpp>

namespace boragefront::sidecar {
namespace {

namespace json = boost::json;

constexpr milliseconds oldest_state{1'000};

json::object counts(const std::map<std::string, std::uint64_t>& values) {
    json::object object;
    for (const auto& [name, value] : values) {
        object[name] = value;
    }
    return object;
}

std::int64_t age_ms(const published_state& state, time_point now) {
    return std::chrono::duration_cast<milliseconds>(now - state.at).count();
}

} // namespace

std::string write_dump(const published_state& state, incarnation life, time_point now) {
    const auto& shown = state.scheduler;
    const json::object ledger{{"identities", shown.ledger.identities},
                              {"keys", shown.ledger.keys},
                              {"answer_bytes", shown.ledger.answer_bytes},
                              {"answers_dropped", shown.ledger.answers_dropped}};
    const json::object queued{{"urgent", shown.queued_urgent},
                              {"normal", shown.queued_normal},
                              {"background", shown.queued_background}};
    const json::object endpoint{{"instance", shown.endpoint_instance},
                                {"reachable", shown.endpoint_reachable},
                                {"service_time_ms", shown.usual_service_time.count()}};
    const json::object ramp{{"limit", shown.limit},
                            {"full_limit", shown.full_limit},
                            {"cold_cause", shown.cold_cause},
                            {"fall_backs", counts(shown.fall_backs)}};
    const json::object dump{{"incarnation", life},
                            {"phase", to_string(shown.phase)},
                            {"state_age_ms", age_ms(state, now)},
                            {"endpoint", endpoint},
                            {"ramp", ramp},
                            {"queued", queued},
                            {"running", shown.running},
                            {"held_by_abandoned", shown.held_by_abandoned},
                            {"completed", shown.completed},
                            {"pauses", shown.pauses},
                            {"refusals", counts(shown.refusals)},
                            {"ledger", ledger}};
    return json::serialize(dump);
}

control::sidecar_report make_report(const published_state& state, incarnation life,
                                    time_point now) {
    const auto& shown = state.scheduler;
    control::sidecar_report report;
    report.life = life;
    report.phase = now - state.at > oldest_state ? service_phase::starting : shown.phase;
    report.concurrency_limit = shown.limit;
    report.in_flight = static_cast<unsigned>(shown.running);
    report.queued =
        static_cast<unsigned>(shown.queued_urgent + shown.queued_normal + shown.queued_background);
    report.service_time = shown.usual_service_time;
    return report;
}

} // namespace boragefront::sidecar
