/// \file
/// A scheduler and its endpoint on a virtual clock, driven at random, with a checker that sees only
/// what is sent to the endpoint and what senders are told.
#pragma once

#include "work_scheduler.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace boragefront::sidecar::test {

/// What the checker found; all empty if the invariants hold.
struct violations {
    std::set<std::string> over_limit;      ///< more in progress at the endpoint than it bears
    std::set<std::string> ran_twice;       ///< identities that ran twice
    std::set<std::string> key_ran_twice;   ///< keys whose work ran twice
    std::set<std::string> ran_and_refused; ///< ran although answered as not run
    std::set<std::string> late;            ///< sent to the endpoint at or past the deadline
    std::set<std::string> while_out;       ///< sent although the endpoint was out

    bool none() const {
        return over_limit.empty() && ran_twice.empty() && key_ran_twice.empty() &&
               ran_and_refused.empty() && late.empty() && while_out.empty();
    }
};

class scheduler_model {
public:
    scheduler_model(scheduler_policy policy, std::uint64_t seed)
        : policy_{policy}, random_{seed}, scheduler_{policy, life, clock()} {
        scheduler_.set_phase(service_phase::serving, clock());
        settle_in();
    }

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            step();
            send_what_is_due();
            note_settled();
        }
    }

    const violations& found() const { return found_; }
    std::size_t dispatched() const { return runs_.size(); }

private:
    static constexpr incarnation life = 7;

    struct at_endpoint {
        work_id id;
        int epoch;
    };

    clock_reading clock() const { return {now_, wall_time{milliseconds{1'000'000'000}} + since()}; }
    milliseconds since() const {
        return std::chrono::duration_cast<milliseconds>(now_ - time_point{});
    }
    int pick(int below) { return std::uniform_int_distribution<int>{0, below - 1}(random_); }

    void settle_in() {
        for (int i = 0; i < 20; ++i) {
            now_ += milliseconds{100};
            report_load();
        }
    }

    void report_load() {
        load_report report;
        report.answering = report.instance = "life" + std::to_string(epoch_);
        report.running = endpoint_.size();
        scheduler_.on_load_report(report, clock());
    }

    void step() {
        switch (pick(13)) {
        case 12:
            take_out_or_back();
            break;
        case 0:
        case 1:
        case 2:
            offer(fresh_work());
            break;
        case 3:
            repeat_earlier();
            break;
        case 4:
            retry_key();
            break;
        case 5:
            ask();
            break;
        case 6:
            restart_or_abandon();
            break;
        case 7:
            now_ += milliseconds{pick(40) == 0 ? 3'000 : pick(60)};
            scheduler_.tick(clock());
            break;
        case 8:
            report_load();
            break;
        default:
            end_one();
        }
    }

    offered_work fresh_work() {
        offered_work work;
        work.life = life;
        work.record.id.request = make_uuid7(clock().wall, random_);
        work.record.expires_at = now_ + milliseconds{20 + pick(4'000)};
        work.lane = static_cast<config::lane>(pick(3));
        work.workspace = "w" + std::to_string(pick(3));
        work.idempotent = pick(2) == 0;
        if (!work.idempotent && pick(2) == 0) {
            work.record.key_id = make_uuid7(clock().wall, random_);
            work.record.key = work.record.key_id;
            keyed_.push_back(work);
        }
        return work;
    }

    void offer(const offered_work& work) {
        sent_.push_back(work);
        note_told(work.record.id, scheduler_.offer(work, clock()));
    }

    void repeat_earlier() {
        if (!sent_.empty()) {
            auto work = sent_[static_cast<std::size_t>(pick(static_cast<int>(sent_.size())))];
            work.record.expires_at = now_ + milliseconds{500};
            offer(work);
        }
    }

    void retry_key() {
        if (!keyed_.empty()) {
            auto work = keyed_[static_cast<std::size_t>(pick(static_cast<int>(keyed_.size())))];
            work.record.id.attempt = static_cast<std::uint32_t>(++attempts_);
            work.record.expires_at = now_ + milliseconds{500};
            offer(work);
        }
    }

    void ask() {
        const auto work = sent_.empty() || pick(2) == 0 ? fresh_work() : sent_.back();
        sent_.push_back(work);
        note_told(work.record.id, scheduler_.ask(work.record.id, clock()));
    }

    void restart_or_abandon() {
        if (pick(20) == 0) {
            ++epoch_;
            endpoint_.clear();
            now_ += milliseconds{20};
            scheduler_.on_load_failure(true, clock());
            for (const auto& id : std::exchange(calls_, {})) {
                end_call(id, call_end::lost);
            }
            report_load();
        } else if (!sent_.empty()) {
            const auto& id = sent_.back().record.id;
            if (scheduler_.abandon(id, clock()) && calls_.erase(id) > 0) {
                remove_from_endpoint(id);
                end_call(id, call_end::cancelled);
            }
        }
    }

    // The endpoint ends work that was given up on, sometimes long after.
    void end_given_up() {
        const auto given_up =
            std::find_if(endpoint_.begin(), endpoint_.end(),
                         [&](const at_endpoint& each) { return !calls_.contains(each.id); });
        if (given_up != endpoint_.end()) {
            endpoint_.erase(given_up);
        }
    }

    void end_one() {
        if (calls_.empty() || pick(10) == 0) {
            end_given_up();
            return;
        }
        auto chosen = calls_.begin();
        std::advance(chosen, pick(static_cast<int>(calls_.size())));
        const auto id = *chosen;
        calls_.erase(chosen);
        const bool gives_up = pick(15) == 0;
        if (!gives_up) {
            remove_from_endpoint(id);
        }
        end_call(id, gives_up ? call_end::timed_out : call_end::answered);
    }

    void take_out_or_back() {
        if (out_ || pick(20) == 0) {
            out_ = !out_;
            scheduler_.set_phase(out_ ? service_phase::out : service_phase::serving, clock());
        }
    }

    void end_call(const work_id& id, call_end how) {
        ledger::outcome what = ledger::answer{"application/json", "1", {}};
        if (how != call_end::answered) {
            what = make_error(error_kind::outcome_unknown, "ended early");
        }
        scheduler_.finish(id, how, what, clock());
    }

    void remove_from_endpoint(const work_id& id) {
        std::erase_if(endpoint_, [&](const at_endpoint& each) { return each.id == id; });
    }

    // The endpoint runs what it is given, and keeps the account that the checker judges by.
    void send_what_is_due() {
        while (const auto id = scheduler_.next(clock())) {
            endpoint_.push_back({*id, epoch_});
            calls_.insert(*id);
            const auto name = to_string(*id);
            if (++runs_[name] > 1) {
                found_.ran_twice.insert(name);
            }
            if (out_) {
                found_.while_out.insert(name);
            }
            if (told_not_run_.contains(name)) {
                found_.ran_and_refused.insert(name);
            }
            note_key(*id);
            const auto state = scheduler_.state(now_);
            if (endpoint_.size() > policy_.limits.concurrency || calls_.size() > state.limit) {
                found_.over_limit.insert(name);
            }
        }
    }

    void note_key(const work_id& id) {
        for (const auto& work : sent_) {
            if (work.record.id == id) {
                if (work.record.expires_at <= now_) {
                    late_.insert(to_string(id));
                } else {
                    late_.erase(to_string(id));
                }
                if (!work.record.key.empty() && ++key_runs_[work.record.key] > 1) {
                    found_.key_ran_twice.insert(work.record.key);
                }
                break;
            }
        }
        found_.late = late_;
    }

    void note_told(const work_id& id, const ledger::work_response& told) {
        if (const auto* ended = std::get_if<ledger::settled>(&told)) {
            note_outcome(id, ended->result);
        }
    }

    void note_settled() {
        for (const auto& id : scheduler_.take_settled()) {
            note_outcome(id, *scheduler_.outcome_of(id));
        }
    }

    void note_outcome(const work_id& id, const ledger::outcome& what) {
        const auto* reason = std::get_if<error>(&what);
        if (reason == nullptr || reason->ran != work_ran::no) {
            return;
        }
        told_not_run_.insert(to_string(id));
        if (runs_.contains(to_string(id))) {
            found_.ran_and_refused.insert(to_string(id));
        }
    }

    scheduler_policy policy_;
    random_source random_;
    time_point now_{seconds{100}};
    work_scheduler scheduler_;
    int epoch_{1};
    int attempts_{0};
    bool out_{false};
    std::vector<offered_work> sent_;
    std::vector<offered_work> keyed_;
    std::vector<at_endpoint> endpoint_;
    std::set<work_id> calls_;
    std::map<std::string, int> runs_;
    std::map<std::string, int> key_runs_;
    std::set<std::string> told_not_run_;
    std::set<std::string> late_;
    violations found_;
};

} // namespace boragefront::sidecar::test
