/// \file
/// Real daemons against the stand-in platform, and what each of them costs.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "base/time.hpp"
#include "published_tree.hpp"
#include "support/process.hpp"
#include "wire/client.hpp"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::control_cost {

/// What a process has used since its start.
struct usage {
    seconds::rep ticks{0};       ///< processor time in clock ticks
    std::uint64_t peer_bytes{0}; ///< sent and received between processes
    std::uint64_t platform_bytes{0};
    std::uint64_t resident{0}; ///< bytes in memory now
};

/// One daemon.
struct daemon {
    std::string id;
    bool entry{false};
    std::string control_address;
    support::process running;
};

/// Starts processes in the proportion of 380 entries to 600 sidecars. All sidecars stand before one
/// stand-in endpoint, so that the fakes leave the machine to the daemons.
class daemon_fleet {
public:
    /// \param folder for settings and logs.
    static result<std::unique_ptr<daemon_fleet>> start(std::size_t count, const tree_size& size,
                                                       const std::filesystem::path& folder);

    const std::vector<daemon>& daemons() const { return daemons_; }

    /// Waits until all hold a revision and are ready. \returns how long it took.
    std::optional<milliseconds> wait_for_revision(revision wanted, milliseconds most);

    /// Publishes a value. \returns its revision.
    result<revision> publish(const std::string& key, const std::string& value);

    result<usage> usage_of(const daemon& one);
    revision published() const { return published_; }

private:
    explicit daemon_fleet(std::filesystem::path folder);
    result<void> start_stand_ins(const tree_size& size);
    result<void> start_daemon(std::size_t index, bool entry, const tree_size& size);
    result<void> publish_instances();
    result<wire::answer> call(const std::string& address, wire::request message);

    std::filesystem::path folder_;
    std::vector<std::string> pools_;
    std::vector<support::process> stand_ins_;
    std::string platform_;
    std::string endpoint_;
    std::vector<daemon> daemons_;
    std::vector<std::string> list_; ///< the instances as JSON
    revision published_{0};
    metrics_registry metrics_;
    boost::asio::io_context io_{1};
    std::unique_ptr<wire::client> peers_;
};

} // namespace boragefront::control_cost
