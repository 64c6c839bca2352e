// A restart of 15 of 25 entries, among them the first two choices for a service, on a virtual
// clock.
#include "dispatch_order.hpp"
#include "endpoint_shares.hpp"
#include "stages/stage_queue.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <utility>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

constexpr std::size_t entry_count = 25;
constexpr std::size_t large_entries = 8;
constexpr std::size_t restarted_entries = 15;
constexpr std::size_t queued_calls = 2;   // that an endpoint accepts beside the one it runs
constexpr double groups_per_second = 170; // of two pieces; 0.56 of what the endpoints process
constexpr seconds restart_after{3};
constexpr milliseconds slow_start{300}; // an entry responds late for this time after its start
constexpr milliseconds round_trip{2};
const time_point begin{seconds{1'000}};

struct simulated_entry {
    wire::entry_info info;
    time_point killed_at{};
    time_point ready_at{};
    milliseconds detection{0}; // until it knows that others have died
    milliseconds gossip{0}; // until it knows of starts of others, and after its own of any others
    stages::stage_queue queue;
    std::map<std::string, time_point> late_until;                          // by id
    std::map<std::pair<std::string, incarnation>, time_point> unreachable; // until when
    std::string dispatcher;                                                // as last selected
    std::string handing_over_with;
    time_point handed_over_at{};

    bool restarted() const { return ready_at > begin; }
    bool knows_start_of(const simulated_entry& other, time_point now) const {
        return !other.restarted() || now >= other.ready_at + gossip;
    }
};

class restart_simulation {
public:
    explicit restart_simulation(unsigned seed) : random_{seed} {
        capacity_.batch = 10;
        capacity_.call_time = milliseconds{150};
        capacity_.piece_time = milliseconds{13};
        capacity_.result_lifetime = seconds{4};
        for (std::size_t i = 0; i < 17; ++i) {
            catalog::endpoint endpoint;
            endpoint.id = endpoint.address = "endpoint-" + std::to_string(i);
            endpoint.service = "stage";
            endpoints_.push_back(endpoint);
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            auto& entry = entries_[i];
            entry.info.id = "entry-" + std::to_string(i);
            entry.info.processors = i < large_entries ? 0.5 : 0.09;
            entry.info.link_mbps = i < large_entries ? 200 : 10;
            entry.detection = between(600, 1'600);
            entry.gossip = between(20, 300);
            start(entry);
        }
    }

    void run(seconds time) {
        at(now_, [this] { arrive(); });
        at(now_ + restart_after, [this] { restart(); });
        while (events_.begin()->first < begin + time) {
            now_ = events_.begin()->first;
            events_.extract(events_.begin()).mapped()();
        }
    }

    // Since the restart.
    int calls{0};
    int full{0};

private:
    using asked_group = std::pair<std::size_t, stages::piece_group>; // and the entry that asks

    milliseconds between(int least, int most) {
        return milliseconds{std::uniform_int_distribution<int>{least, most}(random_)};
    }
    void at(time_point when, std::function<void()> event) {
        events_.emplace(when, std::move(event));
    }
    bool is_up(const simulated_entry& entry) const { return now_ >= entry.ready_at; }
    simulated_entry& entry_named(const std::string& id) {
        return entries_[std::stoul(id.substr(id.find('-') + 1))];
    }

    void start(simulated_entry& entry) {
        entry.queue = stages::stage_queue::make(capacity_);
        entry.queue.set_endpoints(endpoints_, {}, "stage", now_);
        entry.late_until.clear();
        entry.unreachable.clear();
        entry.dispatcher.clear();
        entry.handed_over_at = now_;
        ++entry.info.life;
    }

    void restart() {
        const auto preferred = order_of(entries_[0], view_of(entries_[0]));
        std::vector<std::string> ids{preferred};
        std::shuffle(ids.begin() + 2, ids.end(), random_);
        std::vector<asked_group> lost;
        for (std::size_t i = 0; i < restarted_entries; ++i) {
            auto& entry = entry_named(ids[i]);
            entry.killed_at = now_;
            entry.ready_at = now_ + between(400, 700);
            start(entry);
            const auto groups = std::exchange(accepted_[entry.info.id], {});
            lost.insert(lost.end(), groups.begin(), groups.end());
        }
        for (const auto& [asker, group] : lost) {
            if (is_up(entries_[asker])) {
                at(now_ + entries_[asker].detection,
                   [this, asker = asker, group = group] { dispatch(asker, group); });
            }
        }
    }

    // The other entries as one entry knows them.
    fleet_view view_of(const simulated_entry& entry) const {
        fleet_view fleet;
        fleet.max_entry_count = entry_count;
        if (!entry.knows_start_of(entry, now_)) {
            return fleet;
        }
        for (const auto& other : entries_) {
            const bool knows_start = entry.knows_start_of(other, now_);
            const bool knows_end = entry.restarted() || now_ >= other.killed_at + entry.detection;
            if (other.info.id == entry.info.id || (!knows_start && knows_end)) {
                continue;
            }
            auto info = other.info;
            info.life -= knows_start ? 0 : 1;
            info.serving_for = std::chrono::floor<milliseconds>(
                now_ - (knows_start ? other.ready_at : time_point{}));
            fleet.alive.push_back(info);
        }
        fleet.serving = fleet.alive;
        return fleet;
    }

    dispatching_entry self_of(const simulated_entry& entry) const {
        return {{entry.info.id, entry.info.processors, entry.info.link_mbps,
                 std::chrono::floor<milliseconds>(now_ - entry.ready_at), false},
                draining_};
    }

    std::vector<std::string> order_of(const simulated_entry& entry, const fleet_view& fleet) const {
        const auto none_late = [](const auto& /*entry*/) { return false; };
        return placement::dispatcher_order(
            "stage", {"stage"}, dispatch_candidates(self_of(entry), fleet, none_late, now_));
    }

    void arrive() {
        const std::chrono::duration<double> gap{
            std::exponential_distribution<double>{groups_per_second}(random_)};
        at(now_ + std::chrono::duration_cast<duration>(gap), [this] { arrive(); });
        std::size_t asker = random_() % entry_count;
        while (!is_up(entries_[asker])) {
            asker = random_() % entry_count;
        }
        stages::piece_group group;
        group.id = next_id_++;
        group.soft_deadline = now_ + milliseconds{700};
        group.hard_deadline = now_ + seconds{4};
        group.pieces = {{std::to_string(group.id), 0, 0, "key", {}},
                        {std::to_string(group.id), 0, 1, "key", {}}};
        dispatch(asker, group);
    }

    // As `stage_scheduler::dispatch_group`.
    void dispatch(std::size_t asker, const stages::piece_group& group,
                  const std::set<std::string>& asked = {}, std::size_t unanswered = 0) {
        auto& entry = entries_[asker];
        const auto fleet = view_of(entry);
        const auto next = entries_to_ask(
            order_of(entry, fleet), self_of(entry), fleet, [&](const wire::entry_info& other) {
                return asked.contains(other.id) || now_ < entry.late_until[other.id] ||
                       now_ < entry.unreachable[{other.id, other.life}];
            });
        if (next.empty() || unanswered == max_dispatchers) {
            enqueue(entry, {asker, group});
            return;
        }
        const auto& target = next.front();
        auto& asked_entry = entry_named(target.id);
        const bool late = is_up(asked_entry) && now_ < asked_entry.ready_at + slow_start;
        if (is_up(asked_entry) && !late) {
            enqueue(asked_entry, {asker, group});
            return;
        }
        if (late) {
            entry.late_until[target.id] = now_ + milliseconds{150 + 400};
        } else {
            entry.unreachable[{target.id, target.life}] = now_ + seconds{2};
        }
        auto all_asked = asked;
        all_asked.insert(target.id);
        at(now_ + (late ? milliseconds{150} : round_trip),
           [this, asker, group, all_asked, unanswered = unanswered + (late ? 1 : 0)] {
               dispatch(asker, group, all_asked, unanswered);
           });
    }

    void enqueue(simulated_entry& entry, const asked_group& group) {
        if (entry.queue.offer(group.second, now_).accepted) {
            accepted_[entry.info.id].push_back(group);
        }
        run_queue(entry);
    }

    // The other dispatcher in a hand-over, as in `stage_scheduler`.
    const wire::entry_info* update_hand_over(simulated_entry& entry, const fleet_view& fleet) {
        const auto dispatcher = order_of(entry, fleet).front();
        const auto before = std::exchange(entry.dispatcher, dispatcher);
        if (!before.empty() && before != dispatcher) {
            entry.handing_over_with = before == entry.info.id ? dispatcher : before;
            entry.handed_over_at = now_ + seconds{1};
        }
        const auto other =
            std::find_if(fleet.alive.begin(), fleet.alive.end(),
                         [&](const auto& one) { return one.id == entry.handing_over_with; });
        return other == fleet.alive.end() || now_ >= entry.handed_over_at ? nullptr : &*other;
    }

    void run_queue(simulated_entry& entry) {
        const auto fleet = view_of(entry);
        const auto* const other = update_hand_over(entry, fleet);
        entry.queue.set_contended(
            endpoints_of_others(endpoints_, "stage",
                                {fleet,
                                 {entry.info.id, entry.info.processors},
                                 other,
                                 entry.restarted() && is_starting(fleet, entry.ready_at, now_)}));
        for (const auto& call : entry.queue.next_calls(now_)) {
            start_call(entry, call);
        }
        for (const auto& ended : entry.queue.take_finished(now_)) {
            std::erase_if(accepted_[entry.info.id],
                          [&](const auto& one) { return one.second.id == ended.id; });
        }
        const auto wakeup = entry.queue.next_wakeup(now_);
        at(std::max(wakeup, now_ + round_trip), [this, &entry, life = entry.info.life] {
            if (entry.info.life == life) {
                run_queue(entry);
            }
        });
    }

    void start_call(simulated_entry& entry, const stages::stage_call& call) {
        auto& ends = ends_[call.endpoint];
        while (!ends.empty() && ends.front() <= now_) {
            ends.pop_front();
        }
        const bool refused = ends.size() > queued_calls;
        if (now_ >= begin + restart_after) {
            ++calls;
            full += refused ? 1 : 0;
        }
        if (!refused) {
            ends.push_back((ends.empty() ? now_ : ends.back()) + call.expected);
        }
        at(refused ? now_ + round_trip : ends.back(), [this, &entry, call, refused,
                                                       life = entry.info.life] {
            if (entry.info.life != life) {
                return;
            }
            const auto made = refused ? std::size_t{0} : call.pieces.size();
            entry.queue.call_ended(
                call.id, refused ? stages::call_outcome::refused : stages::call_outcome::answered,
                {made, {stages::piece_outcome::made, "handle"}}, now_);
            run_queue(entry);
        });
    }

    std::mt19937_64 random_;
    const std::optional<drain_plan> draining_;
    catalog::stage_capacity capacity_;
    std::vector<catalog::endpoint> endpoints_;
    std::array<simulated_entry, entry_count> entries_;
    std::map<std::string, std::deque<time_point>> ends_;       // of the calls of each endpoint
    std::map<std::string, std::vector<asked_group>> accepted_; // by the entry that queues them
    std::multimap<time_point, std::function<void()>> events_;
    std::uint64_t next_id_{1};
    time_point now_{begin};
};

} // namespace

// Guards against entries that each send to all endpoints from a queue of their own: those that
// stayed up until they know a dispatcher, and those that have started until they know the others.
TEST_CASE("after a restart of 15 of 25 entries few calls find their endpoint full", "[load]") {
    const auto seed = GENERATE(range(1U, 11U));
    restart_simulation simulation{seed};
    simulation.run(restart_after + seconds{4});
    INFO("seed " << seed << ": " << simulation.full << " of " << simulation.calls);
    CHECK(simulation.full * 50 < simulation.calls);
}
