#include "published_configuration.hpp"
#include "soak_world.hpp"

#include <csignal>
#include <utility>

// How the faults of a plan are begun and ended.
namespace boragefront::soak {
namespace {

using gateway_tests::endpoint_mode;
using gateway_tests::store_mode;
using stand_ins::relay_mode;

constexpr milliseconds stop_patience{8'000}; // more than the grace of a stop, to see how late it is
constexpr milliseconds stop_head_start{150}; // of a stop before it is frozen or killed
constexpr milliseconds slow_work{700};
constexpr milliseconds answer_delay{120};
constexpr int storm_of_versions = 5;

} // namespace

void soak_world::begin(const planned_fault& planned) {
    note_disturbance(planned, true);
    apply(planned, true);
}

void soak_world::end(const planned_fault& planned) {
    apply(planned, false);
    note_disturbance(planned, false);
}

void soak_world::apply(const planned_fault& planned, bool begins) {
    const auto place = planned.place;
    const auto relay = [&](stand_ins::relay& struck) {
        loop_.run([&] { set_relay(struck, planned.kind, begins); });
    };
    switch (target_of(planned.kind)) {
    case fault_target::gateway:
        strike_gateway(planned, begins);
        break;
    case fault_target::endpoint:
        loop_.run([&] { strike_endpoint(planned, begins); });
        break;
    case fault_target::link:
        relay(*endpoints_[place].link);
        break;
    case fault_target::front:
        relay(*gateways_[place].front);
        break;
    case fault_target::store_link:
        relay(*gateways_[place].store_link);
        break;
    case fault_target::store:
    case fault_target::operators:
        loop_.run([&] { strike_store(planned, begins); });
        break;
    }
}

// A fault of the store or of the configuration disturbs all gateways, one of an endpoint none.
void soak_world::note_disturbance(const planned_fault& planned, bool begins) {
    const auto target = target_of(planned.kind);
    const bool of_endpoint = target == fault_target::endpoint || target == fault_target::link;
    if (of_endpoint || target == fault_target::operators) {
        return;
    }
    const auto now = steady_clock::now();
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (target != fault_target::store && i != planned.place) {
            continue;
        }
        if (begins) {
            record_.disturbances.push_back({i, now, now + planned.lasts});
        } else {
            record_.disturbances.push_back({i, now - planned.lasts, now});
        }
    }
}

void soak_world::strike_gateway(const planned_fault& planned, bool begins) {
    auto& process = *gateways_[planned.place].process;
    if (!begins) {
        restart_stopped(planned.place, planned);
        return;
    }
    switch (planned.kind) {
    case fault_kind::gateway_killed:
        process.kill();
        break;
    case fault_kind::gateway_frozen:
        process.send_signal(SIGSTOP);
        break;
    case fault_kind::gateway_stop_frozen:
        process.send_signal(SIGTERM);
        std::this_thread::sleep_for(stop_head_start);
        process.send_signal(SIGSTOP);
        break;
    case fault_kind::gateway_stop_killed:
        process.send_signal(SIGTERM);
        std::this_thread::sleep_for(stop_head_start);
        process.kill();
        break;
    default:
        process.send_signal(SIGTERM);
        break;
    }
}

void soak_world::restart_stopped(std::size_t index, const planned_fault& planned) {
    auto& process = *gateways_[index].process;
    process.send_signal(SIGCONT);
    if (planned.kind == fault_kind::gateway_frozen) {
        return;
    }
    const bool told = planned.kind == fault_kind::gateway_stopped ||
                      planned.kind == fault_kind::gateway_stop_frozen;
    const auto asked = steady_clock::now();
    const auto status = process.wait_exit(stop_patience);
    const auto waited = std::chrono::duration_cast<milliseconds>(steady_clock::now() - asked);
    // One that was frozen has its whole grace when it goes on.
    const auto before =
        planned.kind == fault_kind::gateway_stopped ? planned.lasts : milliseconds{0};
    if (told) {
        record_.exits.push_back({index, status.value_or(-1), waited + before});
    }
    if (!status) {
        process.kill();
    }
    if (const auto started = start_gateway(index); !started) {
        record_.harness_faults.push_back(to_string(started.error()));
    }
}

void soak_world::strike_endpoint(const planned_fault& planned, bool begins) {
    auto& one = endpoints_[planned.place];
    static const std::vector<std::pair<fault_kind, endpoint_mode>> modes{
        {fault_kind::endpoint_refusing, endpoint_mode::refusing},
        {fault_kind::endpoint_failing, endpoint_mode::failing},
        {fault_kind::endpoint_resetting, endpoint_mode::resetting},
        {fault_kind::endpoint_silent, endpoint_mode::silent},
        {fault_kind::endpoint_doubling, endpoint_mode::twice},
        {fault_kind::endpoint_confused, endpoint_mode::other_first},
        {fault_kind::endpoint_cutting, endpoint_mode::cut},
        {fault_kind::endpoint_unsigned, endpoint_mode::no_receipt}};
    for (const auto& [kind, mode] : modes) {
        if (kind == planned.kind) {
            one.stand_in->set_mode(begins ? mode : endpoint_mode::sound);
            return;
        }
    }
    switch (planned.kind) {
    case fault_kind::endpoint_slow:
        one.stand_in->work = begins ? slow_work : usual_work;
        break;
    case fault_kind::endpoint_drained:
        one.state = begins ? "draining" : "ready";
        register_endpoint(one);
        break;
    case fault_kind::endpoint_unregistered:
        register_endpoint(one, !begins);
        break;
    default:
        if (begins) {
            one.stand_in->stop();
            return;
        }
        collect_visits(one);
        register_endpoint(one, false);
        start_endpoint(planned.place);
        break;
    }
}

void soak_world::set_relay(stand_ins::relay& relay, fault_kind kind, bool begins) {
    static const std::vector<std::pair<fault_kind, relay_mode>> modes{
        {fault_kind::link_cut, relay_mode::cut},
        {fault_kind::front_cut, relay_mode::cut},
        {fault_kind::store_unreachable, relay_mode::cut},
        {fault_kind::link_held, relay_mode::hold},
        {fault_kind::front_held, relay_mode::hold},
        {fault_kind::link_silent, relay_mode::swallow},
        {fault_kind::link_old_silent, relay_mode::swallow_established},
        {fault_kind::front_old_silent, relay_mode::swallow_established},
        {fault_kind::link_requests_lost, relay_mode::swallow_requests},
        {fault_kind::link_answers_lost, relay_mode::swallow_answers},
        {fault_kind::front_answers_lost, relay_mode::swallow_answers}};
    if (kind == fault_kind::link_delayed) {
        relay.set_answer_delay(begins ? answer_delay : milliseconds{0});
        return;
    }
    // Callers notice at last that a connection is dead.
    if (target_of(kind) == fault_target::front && !begins) {
        relay.close_silent();
    }
    for (const auto& [one, mode] : modes) {
        if (one == kind) {
            relay.set_mode(begins ? mode : relay_mode::pass);
        }
    }
}

void soak_world::strike_store(const planned_fault& planned, bool begins) {
    switch (planned.kind) {
    case fault_kind::store_refusing:
        store_->set_mode(begins ? store_mode::refusing : store_mode::sound);
        break;
    case fault_kind::store_limiting:
        store_->set_mode(begins ? store_mode::limiting : store_mode::sound);
        break;
    case fault_kind::store_silent:
        store_->set_mode(begins ? store_mode::silent : store_mode::sound);
        break;
    case fault_kind::store_compacted:
        store_->compact();
        break;
    default:
        for (int i = 0; i < storm_of_versions; ++i) {
            store_->put("op/config",
                        gateway_tests::configuration_text("plain", ++configuration_version_));
        }
        break;
    }
}

} // namespace boragefront::soak
