/// \file
/// The control thread: watches the platform's store, gossips with other entries, and publishes the
/// resulting state to the traffic thread.
#pragma once

#include "base/metrics.hpp"
#include "base/random.hpp"
#include "http/client.hpp"
#include "peering/peer_table.hpp"
#include "platform/store.hpp"
#include "published_state.hpp"
#include "quarantine/prompt_quarantine.hpp"
#include "settings/settings.hpp"
#include "traffic_state.hpp"
#include "wire/client.hpp"
#include "wire/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// Interface to the traffic thread. All functions are called on the control thread.
struct control_callbacks {
    std::function<void(std::shared_ptr<const indexed_snapshot>)> publish;
    std::function<void(fleet_view)> set_fleet;
    std::function<void(std::vector<quarantine::part_report>)> merge_suspects;
    /// Observations of the entry with this id; may be empty.
    std::function<void(std::string, wire::fleet_observations)> merge_observations{};
    /// Registrations in the store's history, of which all departures are known; may be empty.
    std::function<void(std::vector<catalog::endpoint>)> record_past_versions{};
    std::function<std::string()> dump_traffic; ///< JSON; blocks until the traffic thread responds
    std::function<std::size_t()> open_requests;
    std::function<void()> on_heartbeat{}; ///< several times a second; may be empty
};

/// Runs its own event loop. Public functions are thread-safe.
class control_loop {
public:
    /// \param work_address address at which this entry takes stage work of other entries
    /// \param metrics must outlive the loop
    /// \returns the loop; `unavailable` if the control address cannot be bound
    static result<std::unique_ptr<control_loop>> make(const settings::daemon_settings& settings,
                                                      std::string work_address,
                                                      control_callbacks callbacks,
                                                      metrics_registry& metrics);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Runs on the calling thread until `stop` is called.
    void run();
    void stop();

    /// Notifies the other entries that this one accepts no more work.
    void begin_draining();

    /// Sets what other entries are told of suspected parts of prompts.
    void set_suspects(std::vector<quarantine::part_report> reports);

    /// Sets what other entries are told of late entries, of endpoints and of streams.
    /// \param with_history the same for entries that have just started.
    void set_observations(wire::fleet_observations observations,
                          wire::fleet_observations with_history);

    /// Whether the control thread still runs its gossip loop. If not, the entry's state goes stale.
    bool is_responsive(time_point now) const;

    /// Applies a changed list of seed peers.
    void reload(const settings::daemon_settings& settings);

    std::string control_address() const { return server_->address(); }

private:
    control_loop(const settings::daemon_settings& settings, std::string work_address,
                 control_callbacks callbacks, metrics_registry& metrics);

    /// A key prefix of the store that is replicated.
    struct watched_part {
        std::string_view name;
        std::string_view prefix;
        catalog::replica& replica;
        milliseconds
            batch_delay; // before the next watch call, so that one response covers several changes
        bool reachable{true};
        bool short_watch{false};         ///< after a failed call: the next response must come soon
        std::uint64_t listed_for_era{0}; ///< latest era, learned elsewhere, that it was listed for
    };

    using loop_function = std::function<http::awaitable<void>()>;

    /// Starts a loop that begins anew, after a pause, if an exception ends it.
    /// \param name of the loop in logs; static.
    void spawn_loop(std::string_view name, loop_function loop);
    http::awaitable<void> keep_running(std::string_view name, loop_function loop);

    http::awaitable<void> follow_part(watched_part part);
    http::awaitable<bool> list(watched_part& part);
    http::awaitable<bool> watch(watched_part& part, bool& listed);
    bool must_list_for_era(watched_part& part) const;

    /// Ends the watches of earlier eras, which may hang or miss changes.
    void note_era(std::uint64_t era);
    void log_era_change(std::string_view part, const catalog::replica& replica,
                        catalog::store_position before, std::string_view from) const;
    bool apply_delta(std::string_view part, catalog::replica& replica,
                     const catalog::replica_delta& delta, const std::string& from);
    http::awaitable<void> pause(milliseconds time);
    void record_store_result(watched_part& part, const error* failure);
    bool has_fresh_store_data(std::string_view part) const;

    http::awaitable<void> gossip_loop();
    http::awaitable<void> gossip_with(std::string address);
    bool may_start_transfer(time_point now);
    bool wants_versions(const std::string& address, time_point now) const;
    http::awaitable<void> read_history(std::string_view prefix, catalog::store_position through);
    http::awaitable<std::optional<std::vector<catalog::published_item>>>
    changes_before(std::string_view prefix, catalog::store_position through);
    http::awaitable<void> transfer_state(std::string address);
    void record_gossip_result(const std::string& address, const error* failure, time_point since);
    void apply_gossip(const wire::gossip_answer& gossip);
    void merge_suspects(const std::vector<wire::suspected_part>& parts, time_point now);
    void merge_observations(const wire::entry_info& from, const wire::fleet_observations& received);
    void notify_peers();
    wire::entry_info self() const;
    wire::answer answer(const wire::request& message);
    wire::answer answer_gossip(const wire::gossip_request& message);
    wire::status_answer status() const;
    std::string dump();

    void publish();
    void report_configuration(const catalog::snapshot& snapshot);
    void publish_fleet();
    std::vector<std::string> other_seeds(const std::vector<std::string>& seeds) const;

    settings::daemon_settings settings_;
    std::string work_address_;
    control_callbacks callbacks_;
    metrics_registry& metrics_;
    boost::asio::io_context io_{1};
    random_source random_{make_random_source()};
    incarnation incarnation_{make_incarnation(random_)};
    std::unique_ptr<http::client> connections_;
    platform::store_client store_;
    std::unique_ptr<wire::client> peers_client_;
    std::unique_ptr<wire::server> server_;
    peering::peer_table peers_;
    published_state published_;
    std::uint64_t newest_era_{0}; ///< that the store or a peer has told of
    struct pending_watch {
        std::uint64_t era{0};
        http::cancel_source* cancel{nullptr};
    };
    std::map<std::string_view, pending_watch> pending_watches_; ///< by part
    std::map<std::string, std::uint64_t> ignored_peer_eras_;    ///< by id of the peer
    std::size_t alive_peers_{0};
    unsigned full_syncs_{0}; ///< gossip exchanges in progress that request the full published state
    std::vector<time_point> transfers_; ///< starts of the transfers of published state in progress
    time_point published_at_{};
    std::map<std::string, time_point, std::less<>>
        last_contact_; // when the store last responded, by part
    std::vector<quarantine::part_report> suspects_;
    wire::fleet_observations observations_; ///< of this entry
    wire::fleet_observations observations_with_history_;
    std::set<std::string> history_sources_; ///< peers that have told of past software versions
    bool history_read_{false};              ///< of the store
    std::optional<time_point> serving_since_;
    bool draining_{false};
    std::atomic<duration::rep>
        last_round_; // start of the last gossip round, since the clock's epoch
};

} // namespace boragefront::gateway
