#include "soak_world.hpp"

#include "base/random.hpp"
#include "published_configuration.hpp"
#include "support/blocking_client.hpp"
#include "support/cluster.hpp"
#include "support/wait_until.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <set>

namespace boragefront::soak {
namespace {

namespace json = boost::json;

constexpr seconds start_patience{30};
constexpr milliseconds stop_patience{8'000}; // more than the grace of a stop, to see how late it is
constexpr int events = 6;
constexpr std::array<std::string_view, 5> services{"plain", "orders", "model", "first", "second"};

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

// A free address below the ports from which systems connect, so that it is still free when a
// gateway that was killed starts again.
// \param drawn ports of earlier calls, to which nobody may be bound yet.
std::string free_address(random_source& random, std::set<std::uint16_t>& drawn) {
    constexpr unsigned lowest = 12'000;
    constexpr unsigned highest = 30'000;
    std::uniform_int_distribution<unsigned> ports{lowest, highest};
    boost::asio::io_context io;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        boost::asio::ip::tcp::acceptor probe{io, boost::asio::ip::tcp::v4()};
        boost::system::error_code failure;
        probe.bind({boost::asio::ip::address_v4::loopback(), port}, failure);
        if (!failure && drawn.insert(port).second) {
            return local(port);
        }
    }
}

} // namespace

soak_world::soak_world(std::filesystem::path folder) : folder_{std::move(folder)} {
    store_ = std::make_unique<gateway_tests::store_stand_in>(loop_.executor());
}

soak_world::~soak_world() {
    gateways_.clear();
    loop_.stop();
}

result<std::unique_ptr<soak_world>> soak_world::start(const soak_sizes& sizes,
                                                      const std::filesystem::path& folder) {
    std::unique_ptr<soak_world> made{new soak_world{folder}};
    BOOST_OUTCOME_TRY(made->start_all(sizes));
    return made;
}

result<void> soak_world::start_all(const soak_sizes& sizes) {
    loop_.run([&] { store_->put("op/config", gateway_tests::configuration_text("plain", 1)); });
    endpoints_.resize(sizes.endpoints);
    for (std::size_t i = 0; i < sizes.endpoints; ++i) {
        endpoints_[i].service = services.at(i % services.size());
        loop_.run([&] { start_endpoint(i); });
    }
    gateways_.resize(sizes.gateways);
    auto random = make_random_source();
    std::set<std::uint16_t> drawn_ports;
    for (std::size_t i = 0; i < sizes.gateways; ++i) {
        auto& one = gateways_[i];
        one.id = "gateway-" + std::to_string(i);
        one.data_address = free_address(random, drawn_ports);
        one.control_address = free_address(random, drawn_ports);
        one.ready_address = free_address(random, drawn_ports);
        BOOST_OUTCOME_TRY(one.store_link, loop_.run([&] {
            return stand_ins::relay::listen(loop_.executor(), "127.0.0.1:0", store_->address());
        }));
        BOOST_OUTCOME_TRY(start_gateway(i));
        BOOST_OUTCOME_TRY(one.front, loop_.run([&] {
            return stand_ins::relay::listen(loop_.executor(), "127.0.0.1:0", one.data_address);
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
    one.stand_in = std::make_unique<gateway_tests::endpoint_stand_in>(loop_.executor(), id);
    one.stand_in->work = usual_work;
    one.stand_in->events = one.service == "model" ? events : 0;
    if (one.link == nullptr) {
        auto link =
            stand_ins::relay::listen(loop_.executor(), "127.0.0.1:0", one.stand_in->address());
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
    loop_.run([&] {
        for (const auto& one : endpoints_) {
            collect_visits(one);
        }
    });
    return std::move(record_);
}

} // namespace boragefront::soak
