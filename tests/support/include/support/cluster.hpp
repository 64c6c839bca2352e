/// \file
/// A whole deployment as processes: platform, endpoints, sidecars and entries.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "support/process.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::support {

/// An endpoint and the sidecar beside it.
struct endpoint_spec {
    std::string id;
    std::string pool;
    std::string data_centre;
    std::vector<std::string> flags{}; ///< of `stand_in endpoint`, without address and ledger
    bool relayed{false};              ///< a relay stands before the sidecar's data address
};

struct entry_spec {
    std::string id;
    std::string data_centre;
};

struct cluster_spec {
    std::map<std::string, std::string> configuration; ///< key to JSON, published at the start
    std::vector<endpoint_spec> endpoints;
    std::vector<entry_spec> entries;
    milliseconds readiness_grace{1'000};
};

/// A process with a place: it starts again at the addresses that it had.
class node {
public:
    node(std::string id, std::filesystem::path folder);
    virtual ~node() = default;
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    const std::string& id() const { return id_; }

    /// Starts the process; at the addresses of its earlier life, if it had one.
    virtual result<void> start() = 0;

    void kill();            ///< SIGKILL
    void freeze() const;    ///< SIGSTOP
    void thaw() const;      ///< SIGCONT
    void terminate() const; ///< SIGTERM
    bool running() { return process_ && !process_->wait_exit(milliseconds{0}); }
    std::optional<int> wait_exit(milliseconds patience);

    /// \pre it runs
    pid_t process_id() const { return process_->id(); }

protected:
    /// Starts the program. Where it ran before, its address may be in use for a moment by another
    /// process's connection: that is tried again.
    result<void> launch(const std::vector<std::string>& command);
    std::string first_line(std::string_view member) const;
    const std::filesystem::path& folder() const { return folder_; }

private:
    std::string id_;
    std::filesystem::path folder_;
    std::optional<process> process_;
    bool ran_before_{false};
};

/// A stand-in for an endpoint, or the platform, or a relay.
class stand_in_node : public node {
public:
    stand_in_node(std::string id, std::filesystem::path folder, std::vector<std::string> arguments);
    result<void> start() override;

    const std::string& address() const { return address_; }

    /// Switches faults on or off. \param wanted JSON as docs/PROTOCOLS.md has it
    result<void> set_faults(const std::string& wanted) const;

private:
    std::vector<std::string> arguments_;
    std::string address_;
    std::string control_; ///< where faults are switched
};

/// A boragefrontd.
class daemon_node : public node {
public:
    /// \param settings everything but the addresses, as JSON members
    daemon_node(std::string id, std::filesystem::path folder, boost::json::object settings);
    result<void> start() override;

    /// Control addresses to ask in its next life.
    void set_seed_peers(const std::vector<std::string>& peers);

    const std::string& data_address() const { return data_address_; }
    const std::string& control_address() const { return control_address_; }

private:
    boost::json::object settings_;
    std::string data_address_{"127.0.0.1:0"};
    std::string control_address_{"127.0.0.1:0"};
};

/// An endpoint, its sidecar, and the relay before it, if there is one.
struct endpoint_slot {
    endpoint_spec spec;
    std::unique_ptr<stand_in_node> endpoint;
    std::unique_ptr<daemon_node> sidecar;
    std::unique_ptr<stand_in_node> relay;
    std::filesystem::path ledger;
    bool leaving{false}; ///< as the platform's list says it
};

struct entry_slot {
    entry_spec spec;
    std::unique_ptr<daemon_node> daemon;
};

/// A deployment. Everything that it started ends with it.
class cluster {
public:
    /// Starts all processes and publishes the instance list.
    static result<std::unique_ptr<cluster>> start(const cluster_spec& spec);

    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Waits until every entry that runs answers its readiness probe with 200.
    result<void> wait_ready(milliseconds patience);

    endpoint_slot& slot(std::string_view id);
    daemon_node& entry(std::string_view id);
    std::vector<endpoint_slot>& slots() { return slots_; }
    std::vector<entry_slot>& entries() { return entries_; }
    stand_in_node& platform() { return *platform_; }

    /// Publishes a value. \param value JSON
    result<revision> publish(const std::string& key, const std::string& value);

    /// Deletes a value.
    result<revision> remove(const std::string& key);

    /// Publishes the instance list as it is now.
    result<void> publish_instances();

    /// Data addresses of all entries.
    std::vector<std::string> entry_addresses() const;

    /// The files in which the endpoints record their runs.
    std::vector<std::filesystem::path> ledgers() const;

    /// The folder with settings, logs and ledgers; kept after the end if BORAGEFRONT_KEEP is set.
    const std::filesystem::path& folder() const { return folder_; }

private:
    cluster() = default;
    result<void> start_platform();
    result<void> start_slot(const endpoint_spec& wanted);
    result<void> start_entry(const entry_spec& wanted, milliseconds readiness_grace);
    void set_seed_peers();
    boost::json::object common_settings(std::string_view id, std::string_view data_centre) const;

    std::filesystem::path folder_;
    std::unique_ptr<stand_in_node> platform_;
    std::vector<endpoint_slot> slots_;
    std::vector<entry_slot> entries_;
};

/// The folder of the programs under test; BORAGEFRONT_BIN overrides the build's own.
std::filesystem::path program_folder();

} // namespace boragefront::support
