#include "schedules.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::control {
namespace {

constexpr milliseconds watch_pause{100};
constexpr milliseconds reader_retry_least{250};
constexpr milliseconds reader_retry_most{4'000};
constexpr milliseconds patience_least{5'000};
constexpr milliseconds patience_spread{1'500};
constexpr milliseconds read_interval_least{2'000};
// The share of the service's rate that reads of processes other than readers may take.
constexpr std::size_t reads_per_second = 400;
constexpr milliseconds list_period_least{2'000};
constexpr milliseconds list_retry{2'000};
constexpr std::size_t list_bytes_per_second = 4'000;
constexpr int list_patience_periods = 3;
constexpr milliseconds gossip_period{1'500};
constexpr milliseconds gossip_period_starting{100};
constexpr milliseconds gossip_period_hot{100};
constexpr unsigned hot_rounds_after_change = 4;
constexpr seconds unanswered_memory{10};
constexpr milliseconds heartbeat_least{1'000};
constexpr milliseconds heartbeat_most{5'000};
constexpr std::size_t heartbeat_bytes = 280;
constexpr std::size_t heartbeat_bytes_per_second = 7'000;

// `value` times a factor between 0.5 and 1.5.
milliseconds jittered(milliseconds value, random_source& random) {
    std::uniform_int_distribution<std::int64_t> spread{value.count() / 2, value.count() * 3 / 2};
    return milliseconds{spread(random)};
}

milliseconds random_up_to(milliseconds most, random_source& random) {
    return milliseconds{std::uniform_int_distribution<std::int64_t>{0, most.count()}(random)};
}

milliseconds read_interval(std::size_t fleet_size) {
    const milliseconds shared{fleet_size * 1'000 / reads_per_second};
    return std::max(read_interval_least, shared);
}

} // namespace

bool is_reader(const membership::instance_list& believed, const membership::instance& self) {
    constexpr std::string_view purpose = "configuration-reader";
    const auto mine = std::pair{rendezvous_score(purpose, self.id), std::string_view{self.id}};
    const auto is_before_me = [&](const membership::instance& other) {
        return other.data_centre == self.data_centre && other.id != self.id &&
               other.state == membership::instance_state::live &&
               std::pair{rendezvous_score(purpose, other.id), std::string_view{other.id}} > mine;
    };
    const auto before =
        std::count_if(believed.instances.begin(), believed.instances.end(), is_before_me);
    return static_cast<std::size_t>(before) < readers_per_data_centre;
}

read_schedule::read_schedule(random_source& random)
    : patience_{patience_least + random_up_to(patience_spread, random)} {}

read_action read_schedule::decide(const read_situation& situation, time_point now) const {
    if (now < not_before_) {
        return read_action::none;
    }
    if (situation.reader) {
        return read_action::watch;
    }
    const bool wanted = hastened_ || situation.knowledge_age > patience_;
    return wanted ? read_action::read : read_action::none;
}

void read_schedule::on_end(bool succeeded, const read_situation& situation, time_point now,
                           random_source& random) {
    hastened_ = false;
    failures_ = succeeded ? 0 : failures_ + 1;
    if (!situation.reader) {
        not_before_ = now + jittered(read_interval(situation.fleet_size), random);
    } else if (succeeded) {
        not_before_ = now + watch_pause;
    } else {
        constexpr unsigned most_doublings = 4;
        const auto doublings = std::min(failures_ - 1, most_doublings);
        const auto wait = std::min(reader_retry_least * (1U << doublings), reader_retry_most);
        not_before_ = now + jittered(wait, random);
    }
}

void read_schedule::hasten(time_point now) {
    hastened_ = true;
    not_before_ = std::min(not_before_, now + reader_retry_least);
}

list_schedule::list_schedule(random_source& random)
    : patience_{random_up_to(patience_spread, random)}, period_{list_period_least} {}

bool list_schedule::due(bool reader, milliseconds list_age, time_point now) const {
    return now >= not_before_ &&
           (reader || list_age > patience_least + patience_ + period_ * list_patience_periods);
}

void list_schedule::on_end(std::size_t bytes, const read_situation& situation, time_point now,
                           random_source& random) {
    if (bytes == 0) {
        const auto wait = situation.reader ? list_retry : read_interval(situation.fleet_size);
        not_before_ = now + jittered(wait, random);
        return;
    }
    period_ = std::max(list_period_least, milliseconds{bytes * 1'000 / list_bytes_per_second});
    not_before_ = now + jittered(period_, random);
}

void gossip_schedule::on_begin(bool ready, time_point now, random_source& random) {
    if (!ready) {
        next_ = now + jittered(gossip_period_starting, random);
    } else if (hot_rounds_ > 0) {
        --hot_rounds_;
        next_ = now + jittered(gossip_period_hot, random);
    } else {
        next_ = now + jittered(gossip_period, random);
    }
}

void gossip_schedule::on_change(time_point now) {
    hot_rounds_ = hot_rounds_after_change;
    next_ = std::min(next_, now);
}

std::size_t peer_picker::pick(const std::vector<std::string>& addresses, time_point now,
                              random_source& random) const {
    std::vector<std::size_t> promising;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto asked = unanswered_since_.find(addresses[i]);
        if (asked == unanswered_since_.end() || now - asked->second > unanswered_memory) {
            promising.push_back(i);
        }
    }
    const auto count = promising.empty() ? addresses.size() : promising.size();
    const auto index = std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
    return promising.empty() ? index : promising[index];
}

void peer_picker::on_begin(const std::string& address, time_point now) {
    std::erase_if(unanswered_since_,
                  [&](const auto& one) { return now - one.second > unanswered_memory; });
    unanswered_since_[address] = now;
}

milliseconds heartbeat_period(std::size_t targets) {
    const milliseconds shared{targets * heartbeat_bytes * 1'000 / heartbeat_bytes_per_second};
    return std::clamp(shared, heartbeat_least, heartbeat_most);
}

milliseconds heartbeat_validity(std::size_t targets) {
    constexpr int periods = 3;
    return heartbeat_period(targets) * periods;
}

void heartbeat_schedule::set_targets(std::vector<membership::instance> targets, time_point now,
                                     random_source& random) {
    const auto period = heartbeat_period(targets.size());
    std::map<std::string, target> next;
    for (auto& where : targets) {
        const auto known = targets_.find(where.id);
        const auto due =
            known == targets_.end() ? now + random_up_to(period / 4, random) : known->second.next;
        auto id = where.id;
        next.insert_or_assign(std::move(id), target{std::move(where), due});
    }
    targets_ = std::move(next);
}

std::vector<membership::instance> heartbeat_schedule::take_due(time_point now) {
    const auto period = heartbeat_period(targets_.size());
    std::vector<membership::instance> due;
    for (auto& [id, one] : targets_) {
        if (now >= one.next) {
            due.push_back(one.where);
            one.next = now + period;
        }
    }
    return due;
}

} // namespace boragefront::control
