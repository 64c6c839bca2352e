/// \file
/// Which entries are asked to dispatch for a stage service.
#pragma once

#include "dispatch_order.hpp"
#include "placement/dispatcher_history.hpp"
#include "traffic_state.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// Selects dispatchers from the present fleet and configuration, and from how the entries that were
/// asked responded. Traffic thread only.
class dispatcher_selector {
public:
    /// \param state must outlive the selector
    explicit dispatcher_selector(traffic_state& state) : state_{state} {}

    /// Selects the dispatchers of all services anew if the fleet, the configuration or the drain of
    /// this entry has changed. Not left to the next request: an entry without requests of its own
    /// may become a dispatcher, and must know of the former one.
    void update(time_point now);

    /// The other entries to ask, in order of preference. If none of them responds, this entry
    /// dispatches locally.
    /// \param asked ids of the entries that were asked already
    std::vector<wire::entry_info>
    entries_to_ask(const std::string& service, const std::set<std::string>& asked, time_point now);

    /// Whether this entry dispatches for no other one.
    bool defers(time_point now) const;

    /// Whether an entry responds to gossip, in this incarnation.
    bool is_alive(const std::string& id, incarnation life) const;

    /// Whether the process of an entry refused a connection lately. The entry is asked again after
    /// its next start, or once the fleet must have noticed its end.
    bool is_unreachable(const wire::entry_info& entry, time_point now) const;

    /// Whether all candidates have the same capacity.
    bool is_uniform() const;

    /// The other dispatcher of a hand-over that is in progress, null if there is none. The former
    /// dispatcher completes the groups that it has, so for some time two queues use the endpoints
    /// of the service.
    const wire::entry_info* hand_over_partner(const std::string& service, time_point now);

    /// Records that an entry answered a request for dispatch.
    void record_response(const wire::entry_info& entry, duration elapsed, time_point now);
    /// Records that an entry did not answer within the timeout. It is skipped by all requests for
    /// an increasing time: otherwise each would wait for it and add to its load.
    void record_missed(const wire::entry_info& entry, duration timeout, time_point now);
    /// Records that the process of an entry does not listen.
    void record_refused_connection(const wire::entry_info& entry, time_point now);

private:
    // What the selection depends on.
    struct selection_inputs {
        bool defers{false};
        std::vector<placement::candidate> candidates;
        std::vector<std::string> stage_services;
        bool operator==(const selection_inputs&) const = default;
    };
    // The other entry that has work for a service after a change of its dispatcher.
    struct hand_over {
        wire::entry_info other;
        time_point ends_at{};
    };
    struct late_dispatcher {
        time_point skip_until{}; // not asked again before
        milliseconds backoff{0};
    };
    struct unreachable_dispatcher {
        incarnation life{0};
        time_point refused_at{};
    };

    dispatching_entry self(time_point now) const;
    const std::vector<std::string>& order(const std::string& service);
    void record_selection(const std::string& service, time_point now);
    void begin_hand_over(const std::string& service, const placement::dispatcher_change& change,
                         time_point now);

    traffic_state& state_;
    std::optional<selection_inputs> inputs_; // empty before the first selection
    // Ids of all candidates by service, the preferred dispatcher first.
    std::map<std::string, std::vector<std::string>> orders_;
    placement::dispatcher_history history_;
    std::map<std::string, hand_over> hand_overs_;               // by service
    std::map<std::string, late_dispatcher> late_;               // by id
    std::map<std::string, unreachable_dispatcher> unreachable_; // by id
};

} // namespace boragefront::gateway
