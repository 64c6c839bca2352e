#include "fault_storm.hpp"

#include "base/random.hpp"
#include "deployment_spec.hpp"
#include "support/wait_until.hpp"

#include <array>
#include <memory>
#include <thread>

namespace boragefront::faults {
namespace {

constexpr milliseconds fault_time{1'500};   ///< that a pair lasts
constexpr milliseconds longest_offset{500}; ///< between the two
constexpr std::size_t recovered_answers = 20;
constexpr milliseconds storm_deadline{1'500};
constexpr unsigned storm_callers = 6;

enum class fault : std::uint8_t {
    entry_killed,
    entry_frozen,
    entry_restarted,
    sidecar_killed,
    sidecar_frozen,
    sidecar_restarted,
    endpoint_killed,
    endpoint_silent,
    endpoint_failing,
    endpoint_slow,
    endpoint_cold,
    endpoint_out,
    link_cut,
    link_held,
    link_silent,
    platform_down,
    platform_stale,
    centre_out,
};

constexpr std::array<std::string_view, 18> fault_names{
    "entry killed",      "entry frozen",    "entry restarted", "sidecar killed",   "sidecar frozen",
    "sidecar restarted", "endpoint killed", "endpoint silent", "endpoint failing", "endpoint slow",
    "endpoint cold",     "endpoint out",    "link cut",        "link held",        "link silent",
    "platform down",     "platform stale",  "centre out"};

// A failure and the place where it happens.
struct planned_fault {
    fault what;
    std::size_t place;
};

std::string name_of(const planned_fault& planned) {
    return std::string{fault_names.at(static_cast<std::size_t>(planned.what))} + " (" +
           std::to_string(planned.place) + ')';
}

// What is begun may fail to be reached, because the other fault of the pair struck it before.
class injector {
public:
    explicit injector(cluster& deployment) : deployment_{deployment} {}

    result<void> begin(const planned_fault& planned) {
        auto& slot = slot_of(planned);
        auto& entry = entry_of(planned);
        switch (planned.what) {
        case fault::entry_killed:
            entry.kill();
            break;
        case fault::entry_frozen:
            entry.freeze();
            break;
        case fault::entry_restarted:
            entry.terminate();
            break;
        case fault::sidecar_killed:
            slot.sidecar->kill();
            break;
        case fault::sidecar_frozen:
            slot.sidecar->freeze();
            break;
        case fault::sidecar_restarted:
            slot.sidecar->terminate();
            break;
        case fault::endpoint_killed:
            slot.endpoint->kill();
            break;
        case fault::endpoint_silent:
            return switch_endpoint(slot, R"({"silent": true})");
        case fault::endpoint_failing:
            return switch_endpoint(slot, R"({"fail": true})");
        case fault::endpoint_slow:
            return switch_endpoint(slot, R"({"slow_factor": 20})");
        case fault::endpoint_cold:
            return switch_endpoint(slot, R"({"turn_cold": true})");
        case fault::link_cut:
            return slot.relay->set_faults(R"({"mode": "cut"})");
        case fault::link_held:
            return slot.relay->set_faults(R"({"mode": "hold"})");
        case fault::link_silent:
            return slot.relay->set_faults(R"({"mode": "swallow_established"})");
        case fault::platform_down:
            return deployment_.platform().set_faults(R"({"down": true})");
        case fault::platform_stale:
            return deployment_.platform().set_faults(R"({"stale_at": 1})");
        case fault::endpoint_out:
        case fault::centre_out:
            return set_state(planned, "out");
        }
        return success();
    }

    result<void> end(const planned_fault& planned) {
        auto& slot = slot_of(planned);
        auto& entry = entry_of(planned);
        switch (planned.what) {
        case fault::entry_killed:
        case fault::entry_restarted:
            return start_again(entry);
        case fault::entry_frozen:
            return wake(entry);
        case fault::sidecar_killed:
        case fault::sidecar_restarted:
            return start_again(*slot.sidecar);
        case fault::sidecar_frozen:
            return wake(*slot.sidecar);
        case fault::endpoint_killed:
            return start_again(*slot.endpoint);
        case fault::endpoint_silent:
        case fault::endpoint_failing:
        case fault::endpoint_slow:
        case fault::endpoint_cold:
            return switch_endpoint(slot, R"({"silent": false, "fail": false, "slow_factor": 1})");
        case fault::link_cut:
        case fault::link_held:
        case fault::link_silent:
            return slot.relay->set_faults(R"({"mode": "pass"})");
        case fault::platform_down:
        case fault::platform_stale:
            return deployment_.platform().set_faults(R"({"down": false, "stale_at": null})");
        case fault::endpoint_out:
        case fault::centre_out:
            return set_state(planned, "in");
        }
        return success();
    }

private:
    endpoint_slot& slot_of(const planned_fault& planned) {
        return deployment_.slots().at(planned.place % deployment_.slots().size());
    }
    daemon_node& entry_of(const planned_fault& planned) {
        return *deployment_.entries().at(planned.place % deployment_.entries().size()).daemon;
    }

    // An endpoint that the other fault killed has nothing to switch.
    static result<void> switch_endpoint(endpoint_slot& slot, const std::string& wanted) {
        return slot.endpoint->running() ? slot.endpoint->set_faults(wanted) : success();
    }

    result<void> set_state(const planned_fault& planned, std::string_view state) {
        const auto& spec = slot_of(planned).spec;
        const auto key = planned.what == fault::centre_out ? "data_centres/" + spec.data_centre
                                                           : "endpoints/" + spec.id;
        BOOST_OUTCOME_TRY(deployment_.publish(key, R"({"state": ")" + std::string{state} + "\"}"));
        return success();
    }

    static result<void> start_again(node& ended) {
        if (ended.running()) {
            ended.thaw();
            ended.terminate();
            if (!ended.wait_exit(patience)) {
                return make_error(error_kind::unavailable, ended.id() + " does not end");
            }
        }
        return ended.start();
    }

    static result<void> wake(node& frozen) {
        if (frozen.running()) {
            frozen.thaw();
            return success();
        }
        return frozen.start();
    }

    cluster& deployment_;
};

load_options make_load(std::uint64_t seed) {
    load_options options{.mix = {order_request(), order_request(), stock_request(),
                                 draft_request(false), draft_request(true)},
                         .callers = storm_callers,
                         .order_retries = 2,
                         .seed = seed};
    for (auto& asked : options.mix) {
        asked.deadline = storm_deadline;
    }
    return options;
}

planned_fault choose(random_source& random) {
    std::uniform_int_distribution<std::size_t> what{0, fault_names.size() - 1};
    std::uniform_int_distribution<std::size_t> place{0, 63};
    const auto chosen = static_cast<fault>(what(random));
    return {chosen, place(random)};
}

result<void> run_pair(cluster& deployment, random_source& random, const storm_observer& observer) {
    const auto first = choose(random);
    const auto second = choose(random);
    std::uniform_int_distribution<std::int64_t> offset{0, longest_offset.count()};
    const milliseconds pause{offset(random)};
    observer(name_of(first) + " and " + name_of(second) + " after " +
             std::to_string(pause.count()) + " ms");
    injector faults{deployment};
    BOOST_OUTCOME_TRY(faults.begin(first));
    std::this_thread::sleep_for(pause);
    BOOST_OUTCOME_TRY(faults.begin(second));
    std::this_thread::sleep_for(fault_time);
    BOOST_OUTCOME_TRY(faults.end(first));
    BOOST_OUTCOME_TRY(faults.end(second));
    return deployment.wait_ready(patience);
}

result<void> wait_recovered(const caller_load& load) {
    const auto wanted = load.whole() + recovered_answers;
    if (!wait_until(patience, [&] { return load.whole() >= wanted; })) {
        return make_error(error_kind::unavailable, "no whole answers after the failures ended");
    }
    return success();
}

} // namespace

result<verdict> run_storm(const storm_options& options, const storm_observer& observer) {
    deployment_options wanted;
    wanted.engines = 2;
    wanted.relayed = true;
    BOOST_OUTCOME_TRY(auto deployment, cluster::start(make_spec(wanted)));
    BOOST_OUTCOME_TRY(wait_serving(*deployment, draft_request(false)));
    const balancer entries{deployment->entry_addresses()};
    caller_load load{make_load(options.seed), entries};
    BOOST_OUTCOME_TRY(wait_recovered(load));
    random_source random{options.seed};
    const auto until = steady_clock::now() + options.time;
    for (unsigned round = 0;
         options.rounds > 0 ? round < options.rounds : steady_clock::now() < until; ++round) {
        BOOST_OUTCOME_TRY(run_pair(*deployment, random, observer));
        BOOST_OUTCOME_TRY(wait_recovered(load));
    }
    const auto answers = load.stop();
    return judge(*deployment, answers);
}

} // namespace boragefront::faults
