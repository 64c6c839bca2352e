#include "control_node.hpp"

#include "anti_entropy.hpp"

#include <algorithm>

namespace boragefront::control {
namespace {

constexpr milliseconds watch_wait{2'000};
constexpr milliseconds hasten_interval{200};
constexpr std::size_t answers_before_ready = 3;
constexpr std::size_t tries_before_ready = 24;
constexpr std::size_t most_catch_ups = 4;
constexpr std::size_t most_introduced = 8;
constexpr std::size_t most_hot_gossips = 4;
constexpr std::size_t most_news = 16;
constexpr std::size_t most_news_bytes = 2'048;

} // namespace

control_node::control_node(node_options options, random_source random)
    : options_{std::move(options)}, random_{random}, reads_{random_}, lists_{random_} {
    collect_peers();
}

std::vector<action> control_node::due(time_point now) {
    update_readiness();
    auto actions = std::exchange(pending_, {});
    add_reads(now, actions);
    add_gossip(now, actions);
    for (auto& sidecar : heartbeats_.take_due(now)) {
        actions.emplace_back(beat_action{std::move(sidecar)});
    }
    return actions;
}

void control_node::end_config_read(const read_config_action& ended, result<platform_config> answer,
                                   time_point now) {
    const bool succeeded = answer.has_value();
    if (succeeded) {
        core_.take_platform(std::move(answer.value()), ended.highest, ended.asked_at, now);
    }
    reads_.on_end(succeeded, situation(now), now, random_);
    config_tried_ = true;
    reading_config_ = false;
    note_changes(now);
}

void control_node::end_list_read(const read_list_action& ended, result<list_reading> answer,
                                 time_point now) {
    const auto bytes = answer ? answer.value().bytes : 0;
    if (answer && answer.value().unchanged) {
        core_.instances().confirm(ended.asked_at);
    } else if (answer) {
        core_.instances().take_list(std::move(answer.value().instances), ended.asked_at);
    }
    lists_.on_end(bytes, situation(now), now, random_);
    list_tried_ = true;
    reading_list_ = false;
}

void control_node::end_conversation(const converse_action& ended, bool succeeded, time_point now) {
    note_changes(now);
    if (succeeded) {
        ++peers_answered_;
        picker_.on_success(ended.address);
    }
    if (!ended.gossip) {
        catching_up_.erase(ended.address);
        return;
    }
    ++peers_tried_;
    --gossiping_;
}

void control_node::end_beat(const beat_action& ended, const wire::heartbeat_answer& answer,
                            time_point now) {
    const auto& sidecar = ended.sidecar;
    core_.instances().note_heard(sidecar.id, now);
    const sidecar_report report{answer.life,
                                answer.phase,
                                answer.concurrency_limit,
                                answer.in_flight,
                                answer.queued,
                                std::chrono::duration_cast<milliseconds>(answer.service_time)};
    heard_.by_id.insert_or_assign(
        sidecar.id,
        heard_sidecar{sidecar, report, answer.clock, now, heartbeat_validity(heartbeats_.size())});
    core_.take_knowledge(answer.held, now);
    const bool room = catching_up_.size() < most_catch_ups;
    if (room && core_.differs(answer.held) && catching_up_.insert(sidecar.control_address).second) {
        pending_.emplace_back(
            converse_action{sidecar.control_address, exchange{answer.held, now}, false});
    }
}

wire::answer control_node::answer(const wire::digest_request& asked, time_point now) {
    introduce(asked.from_address);
    return core_.answer(asked, now);
}

wire::answer control_node::answer(const wire::delta_request& asked, time_point now) {
    auto made = core_.answer(asked);
    note_changes(now);
    return made;
}

wire::answer control_node::answer(const wire::instances_request& asked, time_point now) {
    return core_.answer(asked, now);
}

wire::heartbeat_request control_node::make_beat(time_point now) const {
    return {options_.self.id, core_.describe(now)};
}

wire::answer control_node::answer(const wire::heartbeat_request& asked,
                                  const sidecar_report& report, time_point now) {
    core_.instances().note_heard(asked.from, now);
    core_.take_knowledge(asked.held, now);
    wire::heartbeat_answer made;
    made.life = report.life;
    made.phase = report.phase;
    made.concurrency_limit = report.concurrency_limit;
    made.in_flight = report.in_flight;
    made.queued = report.queued;
    made.service_time = report.service_time;
    made.clock = remote_time{now.time_since_epoch()};
    made.held = core_.describe(now);
    return made;
}

std::optional<wire::request> control_node::next(converse_action& conversation,
                                                time_point now) const {
    auto request = conversation.conversation.next(core_, now);
    if (request) {
        if (auto* digest = std::get_if<wire::digest_request>(&*request)) {
            digest->from_address = options_.self.control_address;
        }
    }
    return request;
}

void control_node::take(converse_action& conversation, const wire::answer& answer, time_point now) {
    conversation.conversation.take(core_, answer, now);
    note_changes(now);
}

void control_node::introduce(const std::string& address) {
    const bool known =
        std::find(introduced_.begin(), introduced_.end(), address) != introduced_.end();
    // A list read before anything was published names no peer either.
    const bool has_list = core_.instances().list_size() > 0;
    if (has_list || address.empty() || known || introduced_.size() >= most_introduced) {
        return;
    }
    introduced_.push_back(address);
    collect_peers();
}

void control_node::note_changes(time_point now) {
    if (std::exchange(noted_version_, core_.version()) != core_.version()) {
        gossips_.on_change(now);
        news_ = core_.take_changed_keys();
    }
}

void control_node::hasten(time_point now) {
    if (now - hastened_at_ < hasten_interval) {
        return;
    }
    hastened_at_ = now;
    gossips_.on_change(now);
    reads_.hasten(now);
}

bool control_node::refresh_instances(time_point now) {
    if (!core_.instances().refresh(now)) {
        return false;
    }
    believed_ = core_.instances().believed();
    reader_ = is_reader(believed_, options_.self);
    collect_peers();
    refresh_targets(now);
    return true;
}

void control_node::add_reads(time_point now, std::vector<action>& out) {
    const auto wanted = reads_.decide(situation(now), now);
    if (!reading_config_ && (!config_tried_ || wanted != read_action::none)) {
        reading_config_ = true;
        const bool watch = wanted == read_action::watch && core_.knowledge().confirmed();
        out.emplace_back(read_config_action{core_.knowledge().platform_revision(),
                                            watch ? watch_wait : milliseconds{0},
                                            core_.store().highest(), now});
    }
    const bool list_due = lists_.due(reader_, core_.instances().age(now), now);
    if (!reading_list_ && (!list_tried_ || list_due)) {
        reading_list_ = true;
        out.emplace_back(read_list_action{now});
    }
}

void control_node::add_gossip(time_point now, std::vector<action>& out) {
    const auto room = gossips_.hot() || !ready_ ? most_hot_gossips : 1;
    if (gossiping_ >= room || peers_.empty() || !gossips_.due(now)) {
        return;
    }
    auto conversation = make_gossip();
    gossips_.on_begin(ready_, now, random_);
    ++gossiping_;
    auto address = peers_[picker_.pick(peers_, now, random_)];
    picker_.on_begin(address, now);
    out.emplace_back(converse_action{std::move(address), std::move(conversation)});
}

// Small news are pushed at once; anything else is left to a comparison, which sends it only once.
exchange control_node::make_gossip() {
    if (!ready_ || !gossips_.hot() || news_.empty() || news_.size() > most_news) {
        return exchange{};
    }
    std::size_t bytes = 0;
    auto entries = entries_for(core_.store(), news_);
    for (const auto& one : entries) {
        bytes += one.key.size() + one.value.size();
    }
    return bytes > most_news_bytes ? exchange{} : exchange{std::move(entries)};
}

void control_node::update_readiness() {
    // A few answers suffice; dead peers count only after many of them were tried.
    const bool asked = peers_answered_ >= std::min(answers_before_ready, peers_.size()) ||
                       peers_tried_ >= std::min(tries_before_ready, peers_.size());
    ready_ = ready_ || (config_tried_ && list_tried_ && asked && core_.knowledge().confirmed());
}

void control_node::refresh_targets(time_point now) {
    if (!options_.heartbeats_to_sidecars) {
        return;
    }
    auto targets =
        options_.heartbeat_targets ? options_.heartbeat_targets(believed_) : believed_.instances;
    std::erase_if(targets, [](const auto& one) {
        return one.role != membership::instance_role::sidecar || one.control_address.empty();
    });
    std::set<std::string, std::less<>> ids;
    for (const auto& one : targets) {
        ids.insert(one.id);
    }
    std::erase_if(heard_.by_id, [&](const auto& one) { return !ids.contains(one.first); });
    heartbeats_.set_targets(std::move(targets), now, random_);
}

read_situation control_node::situation(time_point now) const {
    return {reader_, core_.knowledge().age(now), core_.instances().list_size()};
}

void control_node::collect_peers() {
    peers_.clear();
    for (const auto& one : believed_.instances) {
        if (one.id != options_.self.id && !one.control_address.empty()) {
            peers_.push_back(one.control_address);
        }
    }
    if (core_.instances().list_size() > 0) {
        introduced_.clear();
    }
    for (const auto* addresses : {&options_.seed_peers, &introduced_}) {
        for (const auto& address : *addresses) {
            const bool known = std::find(peers_.begin(), peers_.end(), address) != peers_.end();
            if (!known && address != options_.self.control_address) {
                peers_.push_back(address);
            }
        }
    }
}

} // namespace boragefront::control
