/// \file
#include "dump.hpp"

#include <boost/json.hpp>

namespace boragefront::entry {
namespace {

boost::json::object describe(const entry_core& core, routing::endpoint_view view, time_point now) {
    core.decisions.apply_local_state(view, now);
    const auto age = std::chrono::duration_cast<milliseconds>(now - view.heard_at);
    return {
        {"id", view.id},
        {"data_centre", view.data_centre},
        {"data_address", view.data_address},
        {"incarnation", view.life},
        {"not_chosen_because", routing::to_string(view.excluded)},
        {"limit", view.limit},
        {"reported_in_flight", view.reported_in_flight},
        {"reported_queued", view.reported_queued},
        {"own_in_flight", view.own_in_flight},
        {"load", routing::load_of(view)},
        {"heard_ms_ago", age.count()},
    };
}

} // namespace

std::string dump_state(const entry_core& core, time_point now) {
    boost::json::array endpoints;
    for (const auto& view : all_endpoints(core, now)) {
        endpoints.push_back(describe(core, view, now));
    }
    auto state = core.decisions.dump(now);
    state["endpoints"] = std::move(endpoints);
    state["in_flight"] = core.in_flight.load();
    state["draining"] = core.draining.load();
    return boost::json::serialize(state);
}

} // namespace boragefront::entry
