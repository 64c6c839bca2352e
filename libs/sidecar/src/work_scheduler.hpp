/// \file
/// All decisions of a sidecar about its endpoint's work, free of I/O and clocks.
#pragma once

#include "admission/abandoned_work.hpp"
#include "admission/admission_queue.hpp"
#include "admission/concurrency_ramp.hpp"
#include "admission/endpoint_monitor.hpp"
#include "admission/lane_pace.hpp"
#include "admission/service_times.hpp"
#include "control/control_plane.hpp"
#include "ledger/work_ledger.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::sidecar {

using control::service_phase;
using ledger::clock_reading;

/// Work as an entry offers it.
struct offered_work {
    ledger::submitted_work record;
    incarnation life{0}; ///< the incarnation that the sender means
    config::lane lane{config::lane::normal};
    std::string workspace;
    double share{1.0};
    bool idempotent{false};
};

/// How a call to the endpoint ended.
enum class call_end : std::uint8_t {
    answered,      ///< with a whole answer
    failed,        ///< with a failure; the work ran
    overloaded,    ///< the endpoint refused it
    not_connected, ///< nothing was sent
    lost,          ///< the connection ended; the work may still run
    timed_out,     ///< no whole answer by the deadline; the work may still run
    cancelled,     ///< closed here; the endpoint stops the work
    malformed,     ///< an answer that cannot be used; the work ran
};

/// What the endpoint says of itself.
struct load_report {
    std::string answering; ///< the life of the endpoint that answered, if it says so
    std::string instance;  ///< the life that the rest tells of, with a lag
    bool cold{false};
    std::size_t running{0};
    std::size_t cached_prefixes{0};
};

/// What tests may switch off, one mechanism each.
struct scheduler_mechanisms {
    bool ramp{true};
    bool recheck_at_dispatch{true};
    bool check_phase{true};
    bool refuse_hopeless{true};
    bool reserve_urgent{true};
    admission::queue_mechanisms queue{};
};

struct scheduler_policy {
    config::limits limits{};
    config::ramp ramp{};
    seconds urgent_memory{60};           ///< a slot is kept for urgent work this long after some
    milliseconds urgent_wait{20};        ///< ... unless one is usually free within this
    milliseconds pause_threshold{1'000}; ///< a gap between decisions that shows a paused process
    milliseconds wake_hold{500};         ///< after a pause, for the control plane to catch up
    milliseconds overload_hold{100};     ///< after the endpoint refused work as overloaded
    milliseconds least_slow_time{100};   ///< a shorter service time is never slow
    milliseconds drain_grace{1'000};     ///< a draining sidecar still serves its queue this long
    seconds longest_deadline{600};       ///< a later one is taken for this
    admission::endpoint_monitor_policy endpoint{};
    admission::abandoned_work_policy abandoned{};
    ledger::ledger_policy ledger{};
    scheduler_mechanisms mechanisms{};
};

/// Work in progress at the endpoint.
struct running_work {
    time_point started;
    time_point expires_at;
    admission::warm_up_id warm_up{0};
    bool idempotent{false};
    std::uint64_t pauses{0}; ///< of this process, up to the start
};

/// Everything that the dump and the heartbeat show.
struct scheduler_state {
    service_phase phase{service_phase::starting};
    unsigned limit{0};
    unsigned full_limit{0};
    std::string cold_cause; ///< of the latest warm-up
    std::size_t running{0};
    std::size_t held_by_abandoned{0};
    std::size_t queued_urgent{0};
    std::size_t queued_normal{0};
    std::size_t queued_background{0};
    milliseconds usual_service_time{0};
    std::string endpoint_instance;
    bool endpoint_reachable{false};
    ledger::ledger_sizes ledger{};
    std::map<std::string, std::uint64_t> refusals;   ///< by error kind
    std::map<std::string, std::uint64_t> fall_backs; ///< by cause
    std::uint64_t completed{0};
    std::uint64_t pauses{0};
};

/// Admits work, keeps it in order, hands it out for the endpoint within its limit and records what
/// became of it. Commands change it; after each, `take_settled` names the work that has ended.
class work_scheduler {
public:
    work_scheduler(scheduler_policy policy, incarnation life, clock_reading now);

    /// Work has arrived.
    ledger::work_response offer(const offered_work& work, clock_reading now);

    /// An entry asks what became of work.
    ledger::work_response ask(const work_id& id, clock_reading now);

    /// \copydoc ledger::work_ledger::release
    ledger::work_response release(const offered_work& work, clock_reading now);

    /// Refuses work that could not be offered, unless it is already on record.
    ledger::work_response refuse(const work_id& id, error reason, clock_reading now);

    void acknowledge(const work_id& id) { ledger_.acknowledge(id); }

    /// The next work to send to the endpoint, already recorded as running. Checks everything again:
    /// this process may have been paused since the work arrived.
    std::optional<work_id> next(clock_reading now);

    /// A call to the endpoint has ended.
    void finish(const work_id& id, call_end how, ledger::outcome what, clock_reading now);

    /// Nobody waits for this work any more. Waiting idempotent work is refused; the rest goes on.
    /// \returns whether the call to the endpoint should be closed.
    bool abandon(const work_id& id, clock_reading now);

    /// Everything that only time brings about. Call often.
    void tick(clock_reading now);

    void on_load_report(const load_report& report, clock_reading now);

    /// A request for the load failed.
    /// \param refused whether the endpoint refuses connections, as one that is restarting.
    void on_load_failure(bool refused, clock_reading now);

    /// An answer named the endpoint's life.
    void note_endpoint(const std::string& instance, time_point now);

    /// Puts the wanted phase in force; unless it is `serving`, the phase is reported as it is.
    void set_phase(service_phase phase, clock_reading now);
    void set_policy(config::limits limits, config::ramp ramp);

    /// Work that has ended since the last call; its outcome is in `outcome_of`.
    std::vector<work_id> take_settled();

    service_phase phase(time_point now) const;
    std::optional<ledger::outcome> outcome_of(const work_id& id) const;
    /// Work that the endpoint may have in progress now.
    unsigned limit(time_point now) const;
    duration usual_service_time() const { return times_.median(); }
    std::size_t running() const { return running_.size(); }
    std::size_t queued() const { return queue_.size(); }
    scheduler_state state(time_point now) const;

private:
    std::optional<error> objection(const admission::waiting_work& work, time_point now) const;
    std::optional<error> phase_objection(time_point now) const;
    bool is_hopeless(const admission::waiting_work& work, time_point now) const;
    duration expected_wait(const admission::waiting_work& work, time_point now) const;
    ledger::work_response enqueue(admission::waiting_work work, clock_reading now);
    std::optional<admission::waiting_work> pop_within_limit(time_point now);
    void refuse_waiting(const admission::waiting_work& work, error reason, clock_reading now);
    void refuse_what_may_not_wait(clock_reading now);
    void note_time(time_point now);
    void assume_predecessor(unsigned running);
    void find_slow_work(time_point now);
    void account_for(call_end how, const running_work& ended, time_point now);
    void fall_back(admission::cold_cause cause);
    void count_fall_back(admission::cold_cause cause);
    void count_refusal(const error& reason);

    scheduler_policy policy_;
    incarnation life_;
    ledger::work_ledger ledger_;
    admission::admission_queue queue_;
    std::array<admission::lane_pace, admission::lane_count> paces_; ///< of the queue's lanes
    admission::concurrency_ramp ramp_;
    admission::service_times times_;
    admission::abandoned_work abandoned_;
    admission::endpoint_monitor endpoint_;
    std::map<work_id, running_work> running_;
    std::map<work_id, bool> waiting_; ///< whether the waiting work is idempotent
    std::vector<work_id> settled_;

    time_point started_;
    unsigned assumed_running_{0}; ///< work of a predecessor, until reports tell
    bool settled_in_{false};      ///< reports have told of the predecessor's work
    service_phase wanted_phase_{service_phase::starting};
    time_point phase_since_;

    time_point last_decision_;
    time_point held_until_;
    std::optional<time_point> last_urgent_;

    std::map<std::string, std::uint64_t> refusals_;
    std::map<std::string, std::uint64_t> fall_backs_;
    std::uint64_t completed_{0};
    std::uint64_t pauses_{0};
};

} // namespace boragefront::sidecar
