#include "balancing/announced_limit.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {

const time_point start{seconds{1'000}};
constexpr milliseconds step{20};
constexpr milliseconds response_time{60};
constexpr milliseconds gossip_interval{300};
constexpr std::size_t gossip_peers = 4;
constexpr milliseconds delivery_time{250}; // by which a report is taken to be older
const std::string endpoint = "endpoint-1";

// Entries that send as many requests to one endpoint as their shares cover, and that tell each
// other of its responses.
class fleet {
public:
    fleet(std::size_t entries, std::optional<double> limit) : limit_{limit} {
        for (std::size_t i = 0; i < entries; ++i) {
            add();
        }
        see_all();
    }

    // Adds an entry that knows nothing, and that the others don't know.
    void add() {
        const auto id = "entry-" + std::to_string(entries_.size());
        entries_.push_back({{}, {id, {id}, 1}, true, true});
    }

    // Makes all that are there known to each other.
    void see_all() {
        std::vector<std::string> ids;
        for (const auto& one : entries_) {
            if (one.alive) {
                ids.push_back(one.group.self);
            }
        }
        for (auto& one : entries_) {
            one.group.members = ids;
            ++one.group.revision;
        }
    }

    // The entries see those with an index of the same parity only.
    void partition() {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            auto& group = entries_[i].group;
            group.members.clear();
            for (std::size_t other = i % 2; other < entries_.size(); other += 2) {
                group.members.push_back(entries_[other].group.self);
            }
            ++group.revision;
        }
        partitioned_ = true;
    }

    void restart(std::size_t index) { entries_[index].limit = {}; }
    void stop(std::size_t index) { entries_[index].alive = false; }
    void set_traffic(std::size_t index, bool has) { entries_[index].has_traffic = has; }
    void set_limit(std::optional<double> limit) { limit_ = limit; }
    std::size_t size() const { return entries_.size(); }
    const announced_limit& limit_of(std::size_t index) const { return entries_[index].limit; }

    // Index of the entry with the highest rank.
    std::size_t first_sender() const {
        std::size_t found = 0;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            found = entries_[i].group.rank(endpoint) == 0 ? i : found;
        }
        return found;
    }

    void run_for(milliseconds time) {
        for (const auto until = now_ + time; now_ < until; now_ += step) {
            deliver_responses();
            if ((now_ - start) % gossip_interval < step) {
                gossip();
            }
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                send_all(i);
            }
        }
    }

    // Requests that the endpoint got from entries that had its limit half a second before.
    std::size_t most_in_window() const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < told_sends_.size(); ++last) {
            while (told_sends_[last] - told_sends_[first] >= seconds{4}) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::size_t sent_since(time_point since) const {
        return static_cast<std::size_t>(std::count_if(told_sends_.begin(), told_sends_.end(),
                                                      [&](auto at) { return at >= since; }));
    }

    time_point now() const { return now_; }

private:
    struct entry {
        announced_limit limit;
        entry_group group;
        bool alive;
        bool has_traffic;
    };
    struct response {
        time_point at;
        std::size_t entry;
        std::optional<double> limit;
    };

    void deliver_responses() {
        while (!responses_.empty() && responses_.front().at <= now_) {
            const auto arrived = responses_.front();
            responses_.pop_front();
            (void)entries_[arrived.entry].limit.record({arrived.limit, now_});
        }
    }

    void gossip() {
        std::uniform_int_distribution<std::size_t> draw{0, entries_.size() - 1};
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            for (std::size_t told = 0; told < gossip_peers; ++told) {
                const auto from = draw(random_);
                const auto& known = entries_[from].limit.newest();
                const bool reached = !partitioned_ || from % 2 == i % 2;
                if (reached && entries_[from].alive && known.observed_at != time_point{}) {
                    (void)entries_[i].limit.record(
                        {known.per_second, known.observed_at - delivery_time});
                }
            }
        }
    }

    void send_all(std::size_t index) {
        auto& one = entries_[index];
        // Without a limit, an entry sends one request in each step.
        for (bool first = true; one.alive && one.has_traffic; first = false) {
            const auto next = one.limit.next_send(one.group, endpoint, now_);
            if (next ? *next > now_ : !first) {
                return;
            }
            if (next) {
                told_sends_.push_back(now_);
            }
            one.limit.record_send(one.group, endpoint, now_);
            responses_.push_back({now_ + response_time, index, limit_});
        }
    }

    std::vector<entry> entries_;
    std::optional<double> limit_;
    bool partitioned_{false};
    time_point now_{start};
    std::deque<response> responses_;
    std::vector<time_point> told_sends_;
    std::mt19937 random_{7};
};

double allowed(double limit) {
    return 1.5 * 4 * limit + 5;
}

auto fleet_sizes() {
    return GENERATE(std::size_t{1}, std::size_t{9}, std::size_t{41}, std::size_t{300});
}

} // namespace

// Guards against an endpoint in need that gets its limit once from each entry.
TEST_CASE("all entries together respect an announced limit and use it", "[invariant]") {
    const auto entries = fleet_sizes();
    const auto limit = GENERATE(0.25, 1.0, 1.5, 7.0, 60.0, 500.0);
    INFO("entries " << entries << ", limit " << limit);
    fleet all{entries, limit};
    all.run_for(seconds{24});
    CHECK(static_cast<double>(all.most_in_window()) <= allowed(limit));
    const auto since = all.now() - seconds{12};
    CHECK(static_cast<double>(all.sent_since(since)) >= 12 * limit * 0.9 - 1);
}

// Guards against a restart, an entry that joins and one that is gone each adding a share.
TEST_CASE("a limit holds while entries restart, join and stop", "[invariant]") {
    const auto entries = GENERATE(std::size_t{9}, std::size_t{41}, std::size_t{300});
    const auto limit = GENERATE(0.25, 1.0, 1.5, 7.0, 60.0);
    INFO("entries " << entries << ", limit " << limit);
    fleet all{entries, limit};
    all.run_for(seconds{6});
    all.restart(all.first_sender());
    all.run_for(seconds{2});
    all.add();
    all.run_for(seconds{1});
    all.see_all();
    all.run_for(seconds{4});
    all.stop(all.first_sender());
    all.run_for(seconds{2});
    all.see_all();
    all.run_for(seconds{10});
    CHECK(static_cast<double>(all.most_in_window()) <= allowed(limit));
}

// Guards against a cut between entries in which each part uses all of a small limit for long.
TEST_CASE("two parts of a fleet that is cut use a share of a small limit each") {
    const auto limit = GENERATE(0.25, 1.0, 1.5);
    fleet all{9, limit};
    all.run_for(seconds{6});
    all.partition();
    all.run_for(seconds{12});
    CHECK(static_cast<double>(all.most_in_window()) <= allowed(limit) + 4 * limit);
}

// Guards against an endpoint that gets no work because the entry that may send has none.
TEST_CASE("others take over from a sender without traffic, and within the limit", "[invariant]") {
    const auto entries = GENERATE(std::size_t{9}, std::size_t{300});
    const auto limit = GENERATE(0.25, 1.0, 1.5);
    fleet all{entries, limit};
    all.run_for(seconds{4});
    all.set_traffic(all.first_sender(), false);
    const auto since = all.now();
    all.run_for(seconds{60});
    CHECK(all.sent_since(since) >= 2);
    CHECK(static_cast<double>(all.most_in_window()) <= allowed(limit));
}

// Guards against a limit that outlasts its announcement at entries that send nothing.
TEST_CASE("a limit that is no longer announced ends at all entries") {
    const auto entries = fleet_sizes();
    fleet all{entries, 2.0};
    all.run_for(seconds{6});
    all.set_limit(std::nullopt);
    all.run_for(seconds{6});
    for (std::size_t i = 0; i < entries; ++i) {
        CHECK(!all.limit_of(i).in_force());
    }
}

// Guards against an older report, of a peer or of a slow response, that ends or begins a limit.
TEST_CASE("an older report changes nothing") {
    announced_limit limit;
    CHECK(limit.record({2.0, start}) == limit_change::began);
    CHECK(limit.record({std::nullopt, start - milliseconds{1}}) == limit_change::none);
    CHECK(limit.in_force());
    CHECK(limit.record({3.0, start + seconds{1}}) == limit_change::changed);
    CHECK(limit.record({std::nullopt, start + seconds{2}}) == limit_change::ended);
    CHECK(limit.record({3.0, start + seconds{1}}) == limit_change::none);
    CHECK(!limit.next_send({"a", {"a"}}, endpoint, start + seconds{3}));
}
