#include "fleet.hpp"

#include <algorithm>

namespace boragefront::control {
namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds call_timeout{1'000};
constexpr milliseconds platform_timeout{3'000};
constexpr milliseconds watch_poll{20};

} // namespace

revision simulated_platform::highest() const {
    const auto published = history.empty() ? 0 : history.back().number;
    return std::min(published, stale_at.value_or(published));
}

platform_config simulated_platform::read(revision since) const {
    platform_config answer{highest(), {}};
    std::map<std::string, config::published_entry> newest;
    for (const auto& one : history) {
        if (one.number <= answer.highest) {
            newest[one.key] = one;
        }
    }
    for (const auto& [key, one] : newest) {
        if (one.number > since) {
            answer.entries.push_back(one);
        }
    }
    return answer;
}

revision simulated_platform::publish(const std::string& key, const std::string& value) {
    const auto next = history.empty() ? 1 : history.back().number + 1;
    history.push_back({key, next, false, value});
    return next;
}

fleet::fleet(fleet_size size, network_faults faults, std::uint64_t seed)
    : size_{size}, faults_{faults}, random_{seed} {
    connected = [](std::size_t, std::size_t) { return true; };
    after_event = [](std::size_t) {};
    nodes_.resize(size.entries + size.sidecars);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        auto& self = nodes_[i].self;
        const bool entry = i < size.entries;
        self.id = (entry ? "entry-" : "endpoint-") + std::to_string(i);
        self.role = entry ? membership::instance_role::entry : membership::instance_role::sidecar;
        self.data_centre = "dc" + std::to_string(i % size.data_centres);
        self.pool = entry ? "" : "pool";
        self.control_address = "node:" + std::to_string(i);
        by_address_[self.control_address] = i;
        platform.instances.push_back(self);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        start_node(i);
    }
}

void fleet::start_node(std::size_t index) {
    auto& one = nodes_[index];
    ++one.life;
    node_options options;
    options.self = one.self;
    options.heartbeats_to_sidecars = one.self.role == membership::instance_role::entry;
    options.heartbeat_targets = [this, index](const membership::instance_list& all) {
        std::vector<membership::instance> sidecars;
        for (const auto& each : all.instances) {
            if (each.role == membership::instance_role::sidecar) {
                sidecars.push_back(each);
            }
        }
        const auto count = std::min(sidecars.size(), size_.beats_per_entry);
        if (!sidecars.empty()) {
            const auto first = index * 7 % sidecars.size();
            std::rotate(sidecars.begin(), sidecars.begin() + static_cast<std::ptrdiff_t>(first),
                        sidecars.end());
        }
        sidecars.resize(count);
        return sidecars;
    };
    one.node = std::make_unique<control_node>(std::move(options), random_source{random_()});
    const milliseconds offset{random_() % static_cast<std::uint64_t>(tick_interval.count())};
    schedule(offset, [this, index, life = one.life] { tick(index, life); });
}

void fleet::restart(std::size_t index) {
    start_node(index);
}

void fleet::run_for(milliseconds span) {
    const auto until = now_ + span;
    while (!events_.empty() && events_.top().at <= until) {
        step_clock();
    }
    now_ = until;
}

std::optional<milliseconds> fleet::run_until(const std::function<bool()>& condition,
                                             milliseconds most) {
    const auto begin = now_;
    while (now_ - begin < most) {
        if (condition()) {
            return std::chrono::duration_cast<milliseconds>(now_ - begin);
        }
        run_for(tick_interval);
    }
    return std::nullopt;
}

bool fleet::converged(revision highest) const {
    const auto& first = nodes_.front().node->core().store();
    const auto hash = nodes_.front().node->core().describe(now_).config_hash;
    return first.highest() == highest &&
           std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& one) {
               return one.node->core().describe(now_).config_hash == hash;
           });
}

bool fleet::all_ready() const {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [](const auto& one) { return one.node->ready(); });
}

void fleet::schedule(milliseconds delay, std::function<void()> act) {
    events_.push({now_ + delay, order_++, std::move(act)});
}

void fleet::step_clock() {
    auto next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.at);
    next.act();
}

std::function<void()> fleet::if_alive(std::size_t index, std::function<void()> act) {
    return [this, index, life = nodes_[index].life, act = std::move(act)] {
        if (nodes_[index].life == life) {
            act();
            after_event(index);
        }
    };
}

void fleet::tick(std::size_t index, std::uint64_t life) {
    if (nodes_[index].life != life) {
        return;
    }
    auto& node = *nodes_[index].node;
    node.refresh_instances(now_);
    for (auto& wanted : node.due(now_)) {
        std::visit([&](auto& one) { carry_out(index, std::move(one)); }, wanted);
    }
    after_event(index);
    schedule(tick_interval, [this, index, life] { tick(index, life); });
}

void fleet::carry_out(std::size_t index, const read_config_action& wanted) {
    ++platform.calls;
    if (!arrives(index, platform_index)) {
        schedule(platform_timeout, if_alive(index, [this, index, wanted] {
                     nodes_[index].node->end_config_read(
                         wanted, make_error(error_kind::deadline_exceeded, ""), now_);
                 }));
        return;
    }
    watch(index, wanted, now_ + wanted.wait);
}

void fleet::watch(std::size_t index, const read_config_action& wanted, time_point until) {
    if (!platform.down && platform.highest() <= wanted.since && now_ < until) {
        schedule(watch_poll,
                 if_alive(index, [this, index, wanted, until] { watch(index, wanted, until); }));
        return;
    }
    auto read = platform.down || !connected(platform_index, index)
                    ? result<platform_config>{make_error(error_kind::unavailable, "down")}
                    : result<platform_config>{platform.read(wanted.since)};
    schedule(latency(), if_alive(index, [this, index, wanted, read = std::move(read)] {
                 nodes_[index].node->end_config_read(wanted, read, now_);
             }));
}

void fleet::carry_out(std::size_t index, const read_list_action& wanted) {
    ++platform.calls;
    const bool lost = platform.down || !arrives(index, platform_index);
    list_reading reading{platform.instances, false, platform.instances.size() * 150 + 20};
    schedule(lost ? platform_timeout : latency(), if_alive(index, [=, this] {
                 auto answer =
                     lost ? result<list_reading>{make_error(error_kind::unavailable, "down")}
                          : result<list_reading>{reading};
                 nodes_[index].node->end_list_read(wanted, std::move(answer), now_);
             }));
}

void fleet::carry_out(std::size_t index, converse_action wanted) {
    step(index, std::make_shared<converse_action>(std::move(wanted)));
}

void fleet::step(std::size_t index, const std::shared_ptr<converse_action>& wanted) {
    auto& node = *nodes_[index].node;
    auto next = node.next(*wanted, now_);
    if (!next) {
        node.end_conversation(*wanted, true, now_);
        return;
    }
    call(index, wanted->address, std::move(*next),
         [this, index, wanted](std::optional<wire::answer> answered) {
             auto& caller = *nodes_[index].node;
             if (!answered) {
                 caller.end_conversation(*wanted, false, now_);
                 return;
             }
             caller.take(*wanted, *answered, now_);
             step(index, wanted);
         });
}

void fleet::carry_out(std::size_t index, const beat_action& wanted) {
    call(index, wanted.sidecar.control_address, nodes_[index].node->make_beat(now_),
         [this, index, wanted](std::optional<wire::answer> answered) {
             if (answered) {
                 nodes_[index].node->end_beat(wanted, std::get<wire::heartbeat_answer>(*answered),
                                              now_);
             }
         });
}

void fleet::call(std::size_t from, const std::string& address, wire::request asked,
                 const std::function<void(std::optional<wire::answer>)>& done) {
    const auto to = by_address_.at(address);
    const bool lost = !arrives(from, to);
    const bool answer_lost = !arrives(to, from);
    if (lost || answer_lost) {
        schedule(call_timeout, if_alive(from, [done] { done(std::nullopt); }));
    }
    if (lost) {
        return;
    }
    const bool doubled = std::bernoulli_distribution{faults_.duplication}(random_);
    if (doubled) {
        schedule(latency() * 5, [this, to, asked] { answer(to, asked); });
    }
    // Made now, so that an answer to an earlier life of the asker is dropped.
    auto deliver = [this, from, life = nodes_[from].life, done](const wire::answer& made) {
        if (nodes_[from].life == life) {
            done(made);
            after_event(from);
        }
    };
    schedule(latency(), [this, from, to, asked = std::move(asked), answer_lost, deliver] {
        auto made = answer(to, asked);
        if (count_bytes) {
            const auto bytes = wire::encode(asked).size() + wire::encode(made).size();
            nodes_[from].bytes += bytes;
            nodes_[to].bytes += bytes;
        }
        if (!answer_lost) {
            schedule(latency(), [deliver, made] { deliver(made); });
        }
    });
}

wire::answer fleet::answer(std::size_t index, const wire::request& asked) {
    auto& node = *nodes_[index].node;
    auto made = std::visit(
        [&](const auto& one) -> wire::answer {
            using asked_type = std::decay_t<decltype(one)>;
            if constexpr (std::is_same_v<asked_type, wire::heartbeat_request>) {
                return node.answer(one, sidecar_report{}, now_);
            } else if constexpr (std::is_same_v<asked_type, wire::digest_request> ||
                                 std::is_same_v<asked_type, wire::delta_request> ||
                                 std::is_same_v<asked_type, wire::instances_request>) {
                return node.answer(one, now_);
            } else {
                return wire::refusal{};
            }
        },
        asked);
    after_event(index);
    return made;
}

bool fleet::arrives(std::size_t from, std::size_t to) {
    return connected(from, to) && !std::bernoulli_distribution{faults_.loss}(random_);
}

milliseconds fleet::latency() {
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{1, faults_.latency_most.count()}(random_)};
}

} // namespace boragefront::control
