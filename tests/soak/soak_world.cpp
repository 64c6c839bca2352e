#include "soak_world.hpp"

#include "base/random.hpp"
#include "published_configuration.hpp"
#include "support/blocking_client.hpp"
#include "support/cluster.hpp"
#include "support/wait_until.hpp"

#include <boost/json.hpp>

#include <array>
#include <csignal>
#include <fstream>

namespace boragefront::soak {
namespace {

namespace json = boost::json;
using gateway_tests::endpoint_mode;
using gateway_tests::store_mode;
using stand_ins::relay_mode;

constexpr seconds start_patience{30};
constexpr milliseconds stop_patience{8'000}; // more than the grace of a stop, to see how late it is
constexpr milliseconds stop_head_start{150}; // of a stop before it is frozen or killed
constexpr milliseconds usual_work{15};
constexpr milliseconds slow_work{700};
constexpr milliseconds answer_delay{120};
constexpr int events = 6;
constexpr int storm_of_versions = 5;
constexpr std::array<std::string_view, 5> services{"plain", "orders", "model", "first", "second"};

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

// A free address below the ports from which systems connect, so that it is still free when a
// gateway that was killed starts again.
std::string free_address(random_source& random) {
    constexpr unsigned lowest = 12'000;
    constexpr unsigned highest = 30'000;
    std::uniform_int_distribution<unsigned> ports{lowest, highest};
    boost::asio::io_context io;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        boost::asio::ip::tcp::acceptor probe{io, boost::asio::ip::tcp::v4()};
        boost::system::error_code failure;
        probe.bind({boost::asio::ip::address_v4::loopback(), port}, failure);
        if (!failure) {
            return local(port);
        }
    }
}

} // namespace

soak_world::soak_world(std::filesystem::path folder) : folder_{std::move(folder)} {
    store_ = std::make_unique<gateway_tests::store_stand_in>(io_.get_executor());
    thread_ = std::thread{[this] { io_.run(); }};
}

soak_world::~soak_world() {
    gateways_.clear();
    io_.stop();
    thread_.join();
}

result<std::unique_ptr<soak_world>> soak_world::start(const soak_sizes& sizes,
                                                      const std::filesystem::path& folder) {
    std::unique_ptr<soak_world> made{new soak_world{folder}};
    BOOST_OUTCOME_TRY(made->start_all(sizes));
    return made;
}

result<void> soak_world::start_all(const soak_sizes& sizes) {
    on_loop([&] { store_->put("op/config", gateway_tests::configuration_text("plain", 1)); });
    endpoints_.resize(sizes.endpoints);
    for (std::size_t i = 0; i < sizes.endpoints; ++i) {
        endpoints_[i].service = services.at(i % services.size());
        on_loop([&] { start_endpoint(i); });
    }
    gateways_.resize(sizes.gateways);
    auto random = make_random_source();
    for (std::size_t i = 0; i < sizes.gateways; ++i) {
        auto& one = gateways_[i];
        one.id = "gateway-" + std::to_string(i);
        one.data_address = free_address(random);
        one.control_address = free_address(random);
        one.ready_address = free_address(random);
        BOOST_OUTCOME_TRY(one.store_link, on_loop([&] {
                              return stand_ins::relay::listen(io_.get_executor(), "127.0.0.1:0",
                                                              store_->address());
                          }));
        BOOST_OUTCOME_TRY(start_gateway(i));
        BOOST_OUTCOME_TRY(one.front, on_loop([&] {
                              return stand_ins::relay::listen(io_.get_executor(), "127.0.0.1:0",
                                                              one.data_address);
                          }));
    }
    const bool ready = support::wait_until(start_patience, [&] {
        return std::all_of(gateways_.begin(), gateways_.end(), [](const gateway& one) {
            const auto answer = support::get(one.ready_address, "/-/readyz");
            return answer && answer.value().status == 200;
        });
    });
    if (!ready) {
        return make_error(error_kind::unavailable, "a gateway was not ready in time");
    }
    return success();
}

std::string soak_world::settings_of(const gateway& one) const {
    json::array seeds;
    for (const auto& other : gateways_) {
        if (other.id != one.id && !other.control_address.empty()) {
            seeds.emplace_back(other.control_address);
        }
    }
    const json::object role{{"ready_address", one.ready_address},
                            {"work_address", "127.0.0.1:0"},
                            {"grace_s", 3},
                            {"log_lines_per_second", 2'000}};
    return json::serialize(json::object{{"role", "gateway"},
                                        {"id", one.id},
                                        {"data_centre", "a"},
                                        {"data_address", one.data_address},
                                        {"control_address", one.control_address},
                                        {"platform_address", local(one.store_link->port())},
                                        {"seed_peers", std::move(seeds)},
                                        {"gateway", role}});
}

result<void> soak_world::start_gateway(std::size_t index) {
    auto& one = gateways_[index];
    const auto file = folder_ / (one.id + ".settings.json");
    std::ofstream{file} << settings_of(one);
    const std::vector<std::string> command{(support::program_folder() / "boragefrontd").string(),
                                           "--settings", file.string()};
    const auto until = steady_clock::now() + start_patience;
    for (;;) {
        auto started = support::process::start(command, folder_ / (one.id + ".log"), start_patience,
                                               support::process::further_output::logged);
        if (started) {
            one.process.emplace(std::move(started.value()));
            break;
        }
        // A caller's connection may hold its port for a moment.
        if (steady_clock::now() > until) {
            return std::move(started.error());
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return success();
}

void soak_world::start_endpoint(std::size_t index) {
    auto& one = endpoints_[index];
    const auto id = "i-" + std::to_string(index) + "-" + std::to_string(++one.lives);
    one.stand_in = std::make_unique<gateway_tests::endpoint_stand_in>(io_.get_executor(), id);
    one.stand_in->work = usual_work;
    one.stand_in->events = one.service == "model" ? events : 0;
    if (one.link == nullptr) {
        auto link =
            stand_ins::relay::listen(io_.get_executor(), "127.0.0.1:0", one.stand_in->address());
        if (!link) {
            record_.harness_faults.push_back(to_string(link.error()));
            return;
        }
        one.link = std::move(link.value());
    } else if (const auto moved = one.link->set_target(one.stand_in->address()); !moved) {
        record_.harness_faults.push_back(to_string(moved.error()));
    }
    one.stand_in->advertise(local(one.link->port()));
    one.state = "ready";
    register_endpoint(one);
}

void soak_world::register_endpoint(const endpoint& one, bool listed) {
    const auto value =
        listed ? std::optional{one.stand_in->registration(one.service, one.state)} : std::nullopt;
    store_->put("servers/" + one.stand_in->id(), value);
}

void soak_world::collect_visits(const endpoint& one) {
    for (const auto& visit : one.stand_in->visits()) {
        record_.visits.push_back({one.stand_in->id(), visit});
    }
}

std::vector<gateway_addresses> soak_world::addresses() const {
    std::vector<gateway_addresses> all;
    for (const auto& one : gateways_) {
        all.push_back({local(one.front->port()), one.ready_address});
    }
    return all;
}

void soak_world::begin(const planned_fault& planned) {
    note_disturbance(planned, true);
    switch (target_of(planned.kind)) {
    case fault_target::gateway:
        strike_gateway(planned, true);
        break;
    case fault_target::endpoint:
        on_loop([&] { strike_endpoint(planned, true); });
        break;
    case fault_target::link:
        on_loop([&] { set_relay(*endpoints_[planned.place].link, planned.kind, true); });
        break;
    case fault_target::front:
        on_loop([&] { set_relay(*gateways_[planned.place].front, planned.kind, true); });
        break;
    case fault_target::store_link:
        on_loop([&] { set_relay(*gateways_[planned.place].store_link, planned.kind, true); });
        break;
    case fault_target::store:
    case fault_target::operators:
        on_loop([&] { strike_store(planned, true); });
        break;
    }
}

void soak_world::end(const planned_fault& planned) {
    switch (target_of(planned.kind)) {
    case fault_target::gateway:
        strike_gateway(planned, false);
        break;
    case fault_target::endpoint:
        on_loop([&] { strike_endpoint(planned, false); });
        break;
    case fault_target::link:
        on_loop([&] { set_relay(*endpoints_[planned.place].link, planned.kind, false); });
        break;
    case fault_target::front:
        on_loop([&] { set_relay(*gateways_[planned.place].front, planned.kind, false); });
        break;
    case fault_target::store_link:
        on_loop([&] { set_relay(*gateways_[planned.place].store_link, planned.kind, false); });
        break;
    case fault_target::store:
    case fault_target::operators:
        on_loop([&] { strike_store(planned, false); });
        break;
    }
    note_disturbance(planned, false);
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

soak_record soak_world::finish() {
    for (auto& one : gateways_) {
        one.process->send_signal(SIGTERM);
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        const auto asked = steady_clock::now();
        const auto status = gateways_[i].process->wait_exit(stop_patience);
        const auto took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - asked);
        record_.exits.push_back({i, status.value_or(-1), took});
    }
    on_loop([&] {
        for (const auto& one : endpoints_) {
            collect_visits(one);
        }
    });
    return std::move(record_);
}

} // namespace boragefront::soak
