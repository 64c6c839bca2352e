#include "daemon_fleet.hpp"

#include "support/blocking_client.hpp"
#include "support/cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace boragefront::control_cost {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t entries_in_design = 380;
constexpr std::size_t processes_in_design = 980;
constexpr seconds patience{60};
constexpr milliseconds call_timeout{5'000};
constexpr milliseconds poll_interval{50};

std::string field(const json::object& line, std::string_view name) {
    const auto* found = line.if_contains(name);
    return found != nullptr && found->is_string() ? std::string{found->get_string()} : "";
}

std::uint64_t metric(const std::string& exposition, std::string_view name) {
    std::istringstream lines{exposition};
    std::uint64_t total = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name, 0) == 0) {
            total += std::stoull(line.substr(line.rfind(' ') + 1));
        }
    }
    return total;
}

seconds::rep ticks_of(pid_t pid) {
    constexpr int fields_before_times = 11; // after the command's name
    std::ifstream file{"/proc/" + std::to_string(pid) + "/stat"};
    std::string text;
    std::getline(file, text);
    std::istringstream rest{text.substr(text.rfind(')') + 1)};
    std::string skipped;
    for (int i = 0; i < fields_before_times; ++i) {
        rest >> skipped;
    }
    seconds::rep user = 0;
    seconds::rep system = 0;
    rest >> user >> system;
    return user + system;
}

std::uint64_t resident_bytes(pid_t pid) {
    std::ifstream file{"/proc/" + std::to_string(pid) + "/statm"};
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

asio::awaitable<void> fulfil(wire::client& peers, std::string address, wire::request message,
                             std::optional<result<wire::answer>>& out) {
    auto answer = co_await peers.call(std::move(address), std::move(message), call_timeout);
    out.emplace(std::move(answer));
}

} // namespace

daemon_fleet::daemon_fleet(std::filesystem::path folder)
    : folder_{std::move(folder)}, peers_{wire::client::make(io_.get_executor(),
                                                            {metrics_.get_counter("sent"),
                                                             metrics_.get_counter("received")})} {}

result<std::unique_ptr<daemon_fleet>> daemon_fleet::start(std::size_t count, const tree_size& size,
                                                          const std::filesystem::path& folder) {
    std::unique_ptr<daemon_fleet> made{new daemon_fleet{folder}};
    BOOST_OUTCOME_TRY(made->start_stand_ins(size));
    const auto entries = count * entries_in_design / processes_in_design;
    for (std::size_t i = 0; i < count; ++i) {
        BOOST_OUTCOME_TRY(made->start_daemon(i, i < entries, size));
    }
    BOOST_OUTCOME_TRY(made->publish_instances());
    return made;
}

result<void> daemon_fleet::start_stand_ins(const tree_size& size) {
    pools_ = write_tree(folder_ / "tree", size);
    const auto program = (support::program_folder() / "stand_in").string();
    BOOST_OUTCOME_TRY(auto platform, support::process::start({program, "platform", "--tree",
                                                              (folder_ / "tree").string()},
                                                             folder_ / "platform.log", patience));
    platform_ = field(platform.first_line(), "address");
    stand_ins_.push_back(std::move(platform));
    BOOST_OUTCOME_TRY(auto endpoint, support::process::start({program, "endpoint"},
                                                             folder_ / "endpoint.log", patience));
    endpoint_ = field(endpoint.first_line(), "address");
    stand_ins_.push_back(std::move(endpoint));
    BOOST_OUTCOME_TRY(const auto answer, support::get(platform_, "/v1/config"));
    published_ = json::parse(answer.body).at("revision").to_number<revision>();
    return success();
}

result<void> daemon_fleet::start_daemon(std::size_t index, bool entry, const tree_size& size) {
    const auto id = (entry ? "entry-" : "endpoint-") + std::to_string(index);
    const auto* const role = entry ? "entry" : "sidecar";
    const auto data_centre = "dc-" + std::to_string(index % size.data_centres);
    const auto pool = entry ? std::string{} : pools_[index % pools_.size()];
    json::object settings{{"role", role},
                          {"id", id},
                          {"data_centre", data_centre},
                          {"data_address", "127.0.0.1:0"},
                          {"control_address", "127.0.0.1:0"},
                          {"platform_address", platform_}};
    settings[role] =
        entry ? json::object{} : json::object{{"pool", pool}, {"endpoint_address", endpoint_}};
    const auto file = folder_ / (id + ".json");
    std::ofstream{file} << json::serialize(settings);
    BOOST_OUTCOME_TRY(auto running, support::process::start(
                                        {(support::program_folder() / "boragefrontd").string(),
                                         "--settings", file.string()},
                                        folder_ / (id + ".log"), patience));
    const auto data_address = field(running.first_line(), "data_address");
    const auto control_address = field(running.first_line(), "control_address");
    list_.push_back(json::serialize(json::object{{"id", id},
                                                 {"role", role},
                                                 {"data_centre", data_centre},
                                                 {"pool", pool},
                                                 {"data_address", data_address},
                                                 {"control_address", control_address},
                                                 {"state", "live"}}));
    daemons_.push_back({id, entry, control_address, std::move(running)});
    return success();
}

result<void> daemon_fleet::publish_instances() {
    json::array instances;
    for (const auto& one : list_) {
        instances.push_back(json::parse(one));
    }
    const json::object body{{"instances", std::move(instances)}};
    BOOST_OUTCOME_TRY(support::send_json(platform_, "PUT", "/v1/instances", json::serialize(body)));
    return success();
}

result<revision> daemon_fleet::publish(const std::string& key, const std::string& value) {
    BOOST_OUTCOME_TRY(const auto answer,
                      support::send_json(platform_, "PUT", "/v1/config/" + key, value));
    if (answer.status != 200) {
        return make_error(error_kind::unavailable, answer.body);
    }
    return json::parse(answer.body).at("revision").to_number<revision>();
}

std::optional<milliseconds> daemon_fleet::wait_for_revision(revision wanted, milliseconds most) {
    const auto begin = steady_clock::now();
    for (const auto& one : daemons_) {
        for (;;) {
            const auto answer = call(one.control_address, wire::status_request{});
            const auto* status =
                answer ? std::get_if<wire::status_answer>(&answer.value()) : nullptr;
            if (status != nullptr && status->ready && status->highest >= wanted) {
                break;
            }
            if (steady_clock::now() - begin > most) {
                return std::nullopt;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
}

result<usage> daemon_fleet::usage_of(const daemon& one) {
    BOOST_OUTCOME_TRY(const auto answer, call(one.control_address, wire::metrics_request{}));
    const auto* metrics = std::get_if<wire::metrics_answer>(&answer);
    if (metrics == nullptr) {
        return make_error(error_kind::unavailable, one.id + " gave no metrics");
    }
    return usage{ticks_of(one.running.id()),
                 metric(metrics->exposition, "boragefront_control_bytes_total"),
                 metric(metrics->exposition, "boragefront_platform_bytes_total"),
                 resident_bytes(one.running.id())};
}

result<wire::answer> daemon_fleet::call(const std::string& address, wire::request message) {
    std::optional<result<wire::answer>> answer;
    asio::co_spawn(io_, fulfil(*peers_, address, std::move(message), answer), asio::detached);
    io_.restart();
    while (!answer && io_.run_one() != 0) {
    }
    return answer ? std::move(*answer) : make_error(error_kind::internal, "the call was lost");
}

} // namespace boragefront::control_cost
