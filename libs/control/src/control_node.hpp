/// \file
/// What the control thread of one process does next; no I/O, no clock.
#pragma once

#include "base/random.hpp"
#include "base/time.hpp"
#include "control/control_plane.hpp"
#include "control_core.hpp"
#include "exchange.hpp"
#include "schedules.hpp"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace boragefront::control {

/// Read the platform's configuration service.
struct read_config_action {
    revision since{0};
    milliseconds wait{0}; ///< how long the service may wait for a newer revision
    revision highest{0};  ///< held when it was asked
    time_point asked_at;
};

/// Read the platform's instance list.
struct read_list_action {
    time_point asked_at;
};

/// Talk to a peer until the conversation has nothing more to ask.
struct converse_action {
    std::string address;
    exchange conversation;
    bool gossip{true}; ///< with a random peer, not with one that is known to differ
};

/// Send a heartbeat.
struct beat_action {
    membership::instance sidecar;
};

using action = std::variant<read_config_action, read_list_action, converse_action, beat_action>;

/// An answer to a read of the instance list.
struct list_reading {
    std::vector<membership::instance> instances;
    bool unchanged{false}; ///< the platform said that it equals the one read before
    std::size_t bytes{0};  ///< of the answer
};

/// What a node needs to know of itself.
struct node_options {
    membership::instance self;
    std::vector<std::string> seed_peers;
    bool heartbeats_to_sidecars{false};
    std::function<std::vector<membership::instance>(const membership::instance_list&)>
        heartbeat_targets; ///< all sidecars if empty
};

/// The decisions of one control thread. The owner calls `due` often, carries out what it returns
/// and reports each end; conversations and answers to peers work on `core`.
class control_node {
public:
    control_node(node_options options, random_source random);

    /// What to do now.
    std::vector<action> due(time_point now);

    void end_config_read(const read_config_action& ended, result<platform_config> answer,
                         time_point now);
    void end_list_read(const read_list_action& ended, result<list_reading> answer, time_point now);
    void end_conversation(const converse_action& ended, bool succeeded, time_point now);

    /// Takes the answer to a heartbeat.
    void end_beat(const beat_action& ended, const wire::heartbeat_answer& answer, time_point now);

    /// Answers a peer's part of a conversation.
    wire::answer answer(const wire::digest_request& asked, time_point now);
    wire::answer answer(const wire::delta_request& asked, time_point now);
    wire::answer answer(const wire::instances_request& asked, time_point now);

    /// The heartbeat to send now.
    wire::heartbeat_request make_beat(time_point now) const;

    /// Answers a heartbeat with what the role reports.
    wire::answer answer(const wire::heartbeat_request& asked, const sidecar_report& report,
                        time_point now);

    /// The next request of a conversation, or nothing at its end.
    std::optional<wire::request> next(converse_action& conversation, time_point now) const;

    /// Takes the answer to the last request of a conversation.
    void take(converse_action& conversation, const wire::answer& answer, time_point now);

    /// Somebody holds a higher revision: catch up soon.
    void hasten(time_point now);

    /// Drops instances that vanished long ago. \returns whether the believed instances may have
    /// changed since the last call.
    bool refresh_instances(time_point now);

    /// Picks the sidecars that are sent heartbeats anew, as when the configuration changed.
    void refresh_targets(time_point now);

    /// Whether enough is known to decide; never turns false again.
    bool ready() const { return ready_; }

    bool reader() const { return reader_; }
    const heard_sidecars& heard() const { return heard_; }
    const membership::instance_list& believed() const { return believed_; }
    const control_core& core() const { return core_; }

private:
    void note_changes(time_point now);
    exchange make_gossip();
    void introduce(const std::string& address);
    void add_reads(time_point now, std::vector<action>& out);
    void add_gossip(time_point now, std::vector<action>& out);
    void update_readiness();
    read_situation situation(time_point now) const;
    void collect_peers();

    node_options options_;
    random_source random_;
    control_core core_;
    read_schedule reads_;
    list_schedule lists_;
    gossip_schedule gossips_;
    peer_picker picker_;
    heartbeat_schedule heartbeats_;
    heard_sidecars heard_;
    membership::instance_list believed_;
    std::vector<std::string> peers_;
    std::vector<std::string> introduced_; // peers that asked before any list was known
    std::vector<action> pending_;
    std::set<std::string> catching_up_;
    std::uint64_t noted_version_{0};
    std::size_t peers_tried_{0};
    std::size_t peers_answered_{0};
    time_point hastened_at_{};
    bool reader_{true};
    bool reading_config_{false};
    bool reading_list_{false};
    std::size_t gossiping_{0};      // conversations with random peers now
    std::vector<std::string> news_; // keys that are passed on while the gossip is hot
    bool config_tried_{false};
    bool list_tried_{false};
    bool ready_{false};
};

} // namespace boragefront::control
