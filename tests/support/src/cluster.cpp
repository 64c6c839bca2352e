#include "support/cluster.hpp"

#include "support/blocking_client.hpp"
#include "support/wait_until.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace boragefront::support {
namespace {

namespace json = boost::json;

constexpr seconds start_patience{30};
constexpr seconds call_patience{10};
constexpr milliseconds restart_interval{50};
constexpr std::size_t seed_sidecars = 2;
constexpr std::string_view any_port = "127.0.0.1:0";

template <class Slots>
auto& find_slot(Slots& slots, std::string_view id) {
    const auto found = std::find_if(slots.begin(), slots.end(),
                                    [&](const auto& one) { return one.spec.id == id; });
    if (found == slots.end()) {
        throw std::invalid_argument{"no such slot: " + std::string{id}};
    }
    return *found;
}

result<void> write_file(const std::filesystem::path& file, const std::string& text) {
    std::filesystem::create_directories(file.parent_path());
    std::ofstream stream{file};
    stream << text;
    stream.close();
    if (!stream) {
        return make_error(error_kind::unavailable, "cannot write " + file.string());
    }
    return success();
}

result<std::string> expect_ok(result<http::response> answer) {
    BOOST_OUTCOME_TRY(auto arrived, std::move(answer));
    if (arrived.status != 200) {
        return make_error(error_kind::unavailable, arrived.body);
    }
    return std::move(arrived.body);
}

json::object list_entry(const daemon_node& node, std::string_view role, std::string_view centre,
                        std::string_view pool, std::string_view data_address, bool leaving) {
    return {{"id", node.id()},
            {"role", role},
            {"data_centre", centre},
            {"pool", pool},
            {"data_address", data_address},
            {"control_address", node.control_address()},
            {"state", leaving ? "leaving" : "live"}};
}

} // namespace

std::filesystem::path program_folder() {
    const char* const chosen = std::getenv("BORAGEFRONT_BIN");
    return chosen != nullptr ? chosen : BORAGEFRONT_BIN_DIR;
}

node::node(std::string id, std::filesystem::path folder)
    : id_{std::move(id)}, folder_{std::move(folder)} {}

result<void> node::launch(const std::vector<std::string>& command) {
    process_.reset();
    const auto until = steady_clock::now() + start_patience;
    for (;;) {
        auto started = process::start(command, folder_ / (id_ + ".log"), start_patience,
                                      process::further_output::logged);
        if (started) {
            process_.emplace(std::move(started.value()));
            ran_before_ = true;
            return success();
        }
        if (!ran_before_ || steady_clock::now() > until) {
            return make_error(error_kind::unavailable,
                              id_ + ": " + to_string(started.error()) + "; see its log");
        }
        std::this_thread::sleep_for(restart_interval);
    }
}

std::string node::first_line(std::string_view member) const {
    const auto* const found = process_->first_line().if_contains(member);
    return found != nullptr && found->is_string() ? std::string{found->get_string()}
                                                  : std::string{};
}

void node::kill() {
    process_.reset();
}

void node::freeze() const {
    process_->send_signal(SIGSTOP);
}

void node::thaw() const {
    process_->send_signal(SIGCONT);
}

void node::terminate() const {
    process_->send_signal(SIGTERM);
}

std::optional<int> node::wait_exit(milliseconds patience) {
    return process_ ? process_->wait_exit(patience) : std::nullopt;
}

stand_in_node::stand_in_node(std::string id, std::filesystem::path folder,
                             std::vector<std::string> arguments)
    : node{std::move(id), std::move(folder)}, arguments_{std::move(arguments)}, address_{any_port} {
}

result<void> stand_in_node::start() {
    std::vector<std::string> command{(program_folder() / "stand_in").string()};
    command.insert(command.end(), arguments_.begin(), arguments_.end());
    command.push_back("--address=" + address_);
    BOOST_OUTCOME_TRY(launch(command));
    address_ = first_line("address");
    control_ = first_line("control").empty() ? address_ : first_line("control");
    return success();
}

result<void> stand_in_node::set_faults(const std::string& wanted) const {
    BOOST_OUTCOME_TRY(expect_ok(send_json(control_, "POST", "/stand_in/faults", wanted)));
    return success();
}

daemon_node::daemon_node(std::string id, std::filesystem::path folder, json::object settings)
    : node{std::move(id), std::move(folder)}, settings_{std::move(settings)} {}

result<void> daemon_node::start() {
    settings_["data_address"] = data_address_;
    settings_["control_address"] = control_address_;
    const auto file = folder() / (id() + ".settings.json");
    BOOST_OUTCOME_TRY(write_file(file, json::serialize(settings_)));
    BOOST_OUTCOME_TRY(
        launch({(program_folder() / "boragefrontd").string(), "--settings=" + file.string()}));
    data_address_ = first_line("data_address");
    control_address_ = first_line("control_address");
    return success();
}

void daemon_node::set_seed_peers(const std::vector<std::string>& peers) {
    json::array list;
    for (const auto& peer : peers) {
        if (peer != control_address_) {
            list.emplace_back(peer);
        }
    }
    settings_["seed_peers"] = std::move(list);
}

result<std::unique_ptr<cluster>> cluster::start(const cluster_spec& spec) {
    std::unique_ptr<cluster> made{new cluster};
    auto pattern = (std::filesystem::temp_directory_path() / "boragefront-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        return make_error(error_kind::unavailable, "cannot make a temporary folder");
    }
    made->folder_ = pattern;
    for (const auto& [key, value] : spec.configuration) {
        BOOST_OUTCOME_TRY(write_file(made->folder_ / "tree" / (key + ".json"), value));
    }
    BOOST_OUTCOME_TRY(made->start_platform());
    for (const auto& wanted : spec.endpoints) {
        BOOST_OUTCOME_TRY(made->start_slot(wanted));
    }
    for (const auto& wanted : spec.entries) {
        BOOST_OUTCOME_TRY(made->start_entry(wanted, spec.readiness_grace));
    }
    made->set_seed_peers();
    BOOST_OUTCOME_TRY(made->publish_instances());
    return made;
}

// Every process may ask the entries and a few sidecars when it restarts.
void cluster::set_seed_peers() {
    std::vector<std::string> peers;
    for (const auto& one : entries_) {
        peers.push_back(one.daemon->control_address());
    }
    for (const auto& one : slots_) {
        if (peers.size() < entries_.size() + seed_sidecars) {
            peers.push_back(one.sidecar->control_address());
        }
    }
    for (auto& one : entries_) {
        one.daemon->set_seed_peers(peers);
    }
    for (auto& one : slots_) {
        one.sidecar->set_seed_peers(peers);
    }
}

cluster::~cluster() {
    entries_.clear();
    slots_.clear();
    platform_.reset();
    if (!folder_.empty() && std::getenv("BORAGEFRONT_KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

result<void> cluster::start_platform() {
    std::filesystem::create_directories(folder_ / "tree");
    platform_ = std::make_unique<stand_in_node>(
        "platform", folder_,
        std::vector<std::string>{"platform", "--tree=" + (folder_ / "tree").string()});
    return platform_->start();
}

json::object cluster::common_settings(std::string_view id, std::string_view data_centre) const {
    return {{"id", id},
            {"data_centre", data_centre},
            {"platform_address", platform_->address()},
            {"drain_timeout_ms", 30'000}};
}

result<void> cluster::start_slot(const endpoint_spec& wanted) {
    auto& made = slots_.emplace_back();
    made.spec = wanted;
    made.ledger = folder_ / (wanted.id + ".ledger");
    std::vector<std::string> arguments{"endpoint", "--ledger=" + made.ledger.string()};
    arguments.insert(arguments.end(), wanted.flags.begin(), wanted.flags.end());
    made.endpoint = std::make_unique<stand_in_node>(wanted.id + ".endpoint", folder_, arguments);
    BOOST_OUTCOME_TRY(made.endpoint->start());
    auto settings = common_settings(wanted.id, wanted.data_centre);
    settings["role"] = "sidecar";
    settings["sidecar"] =
        json::object{{"pool", wanted.pool}, {"endpoint_address", made.endpoint->address()}};
    made.sidecar = std::make_unique<daemon_node>(wanted.id, folder_, std::move(settings));
    BOOST_OUTCOME_TRY(made.sidecar->start());
    if (wanted.relayed) {
        made.relay = std::make_unique<stand_in_node>(
            wanted.id + ".relay", folder_,
            std::vector<std::string>{"relay", "--target=" + made.sidecar->data_address()});
        BOOST_OUTCOME_TRY(made.relay->start());
    }
    return success();
}

result<void> cluster::start_entry(const entry_spec& wanted, milliseconds readiness_grace) {
    auto settings = common_settings(wanted.id, wanted.data_centre);
    settings["role"] = "entry";
    settings["entry"] = json::object{{"readiness_grace_ms", readiness_grace.count()}};
    auto& made = entries_.emplace_back();
    made.spec = wanted;
    made.daemon = std::make_unique<daemon_node>(wanted.id, folder_, std::move(settings));
    return made.daemon->start();
}

result<void> cluster::wait_ready(milliseconds patience) {
    const auto all_ready = [this] {
        return std::all_of(entries_.begin(), entries_.end(), [](entry_slot& one) {
            if (!one.daemon->running()) {
                return true;
            }
            const auto answer = get(one.daemon->data_address(), "/readyz", seconds{1});
            return answer && answer.value().status == 200;
        });
    };
    if (!wait_until(patience, all_ready)) {
        return make_error(error_kind::not_ready, "an entry is not ready");
    }
    return success();
}

endpoint_slot& cluster::slot(std::string_view id) {
    return find_slot(slots_, id);
}

daemon_node& cluster::entry(std::string_view id) {
    return *find_slot(entries_, id).daemon;
}

result<revision> cluster::publish(const std::string& key, const std::string& value) {
    BOOST_OUTCOME_TRY(const auto body,
                      expect_ok(send_json(platform_->address(), "PUT", "/v1/config/" + key, value,
                                          call_patience)));
    return json::parse(body).at("revision").to_number<revision>();
}

result<revision> cluster::remove(const std::string& key) {
    BOOST_OUTCOME_TRY(const auto body,
                      expect_ok(send_json(platform_->address(), "DELETE", "/v1/config/" + key, "",
                                          call_patience)));
    return json::parse(body).at("revision").to_number<revision>();
}

result<void> cluster::publish_instances() {
    json::array list;
    for (const auto& one : slots_) {
        const auto& data =
            one.relay != nullptr ? one.relay->address() : one.sidecar->data_address();
        list.push_back(list_entry(*one.sidecar, "sidecar", one.spec.data_centre, one.spec.pool,
                                  data, one.leaving));
    }
    for (const auto& one : entries_) {
        list.push_back(list_entry(*one.daemon, "entry", one.spec.data_centre, "",
                                  one.daemon->data_address(), false));
    }
    const json::object body{{"instances", std::move(list)}};
    BOOST_OUTCOME_TRY(expect_ok(send_json(platform_->address(), "PUT", "/v1/instances",
                                          json::serialize(body), call_patience)));
    return success();
}

std::vector<std::string> cluster::entry_addresses() const {
    std::vector<std::string> addresses;
    for (const auto& one : entries_) {
        addresses.push_back(one.daemon->data_address());
    }
    return addresses;
}

std::vector<std::filesystem::path> cluster::ledgers() const {
    std::vector<std::filesystem::path> files;
    for (const auto& one : slots_) {
        files.push_back(one.ledger);
    }
    return files;
}

} // namespace boragefront::support
