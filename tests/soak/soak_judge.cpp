#include "soak_record.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace boragefront::soak {
namespace {

constexpr int events = 6; // of each stream, as the soak's endpoints send them
constexpr std::size_t final_results = 3;
constexpr std::size_t endpoint_limit = 2; // of repeatable requests, by their routes

// From the platform's rules.
constexpr milliseconds contact{4'000};  // a gateway is undisturbed after this long in peace
constexpr milliseconds gone_after{500}; // no work for a caller who left longer ago
constexpr std::size_t few{3};           // isolated cases that the rules let pass
constexpr double least_served = 0.25;   // of the calls of a calm span
constexpr milliseconds grace{3'000};    // as the soak sets it
constexpr milliseconds exit_margin{1'000};

// By the route and by the caller, whichever is less.
milliseconds timeout_of(request_kind kind) {
    return is_stream(kind) ? caller_deadline : milliseconds{3'000};
}

std::string endpoint_answer(const std::string& id) {
    return "answer to " + id;
}

class judging {
public:
    explicit judging(const soak_record& record) : record_{record} {
        for (const auto& call : record.calls) {
            calls_.emplace(call.id, &call);
        }
        for (const auto& visit : record.visits) {
            if (!visit.seen.id.empty()) {
                visits_[visit.seen.id].push_back(&visit);
            }
            for (const auto& made : visit.seen.made) {
                made_for_.emplace(made.handle, made.request_id);
            }
        }
    }

    std::vector<std::string> verdict() {
        for (const auto& visit : record_.visits) {
            check_visit(visit);
        }
        for (const auto& call : record_.calls) {
            check_runs(call);
            check_answer(call);
            check_end(call);
        }
        check_calm_spans();
        for (const auto& exit : record_.exits) {
            if (exit.status != 0 || exit.took > grace + exit_margin) {
                fault("gateway " + std::to_string(exit.gateway) + " ended with status " +
                      std::to_string(exit.status) + " after " + std::to_string(exit.took.count()) +
                      " ms");
            }
        }
        more_than_few(beyond_limit_, "repeatable requests ran on too many endpoints");
        more_than_few(unanswered_, "requests were passed on and never answered");
        more_than_few(late_, "answers came after the route's time-out");
        more_than_few(worked_for_gone_, "requests reached endpoints after their callers had left");
        return std::move(faults_);
    }

private:
    void fault(std::string what) { faults_.push_back(std::move(what)); }
    void fault(const soak_call& call, const std::string& what) { fault(call.id + ": " + what); }

    std::string name_of(const soak_call& call) const {
        const auto at = std::chrono::floor<milliseconds>(call.sent - record_.started);
        return call.id + " (" + std::to_string(at.count()) + " ms, gateway " +
               std::to_string(call.gateway) + ')';
    }

    void more_than_few(const std::vector<std::string>& ids, const std::string& what) {
        if (ids.size() > few) {
            fault(std::to_string(ids.size()) + ' ' + what + ", as " + ids.front());
        }
    }

    bool undisturbed(std::size_t gateway, time_point from, time_point to) const {
        return std::none_of(
            record_.disturbances.begin(), record_.disturbances.end(), [&](const disturbance& one) {
                return one.gateway == gateway && one.begins <= to && one.ends + contact >= from;
            });
    }

    void check_visit(const soak_visit& visit) {
        const auto& message = visit.seen.message;
        if (message.target == "/-/stage-run") {
            const auto body = boost::json::parse(message.body);
            for (const auto& item : body.at("items").as_array()) {
                const std::string id{item.at("id").as_string()};
                const auto asked = calls_.find(id);
                if (asked == calls_.end() || asked->second->kind != request_kind::staged) {
                    fault("stage work for " + id + ", which nobody asked for");
                }
            }
            return;
        }
        if (message.target == "/-/stage-free" || !visit.seen.ran) {
            return;
        }
        if (!calls_.contains(visit.seen.id)) {
            fault("a request ran that nobody sent: " + visit.seen.id);
        } else if (message.method != "POST" || message.target != "/path?query=%20" ||
                   message.body != "body of " + visit.seen.id) {
            fault(visit.seen.id + ": it was changed on its way");
        }
        if (!message.headers.has("Boragefront-Expect-Instance")) {
            fault(visit.seen.id + ": it ran at whichever endpoint had the address");
        }
        const auto asked = calls_.find(visit.seen.id);
        if (asked != calls_.end() && asked->second->kind == request_kind::staged) {
            check_inputs(visit);
        }
    }

    void check_inputs(const soak_visit& visit) {
        std::set<std::string> inputs;
        const std::string all{visit.seen.message.headers.get("Boragefront-Inputs")};
        for (std::size_t begins = 0; begins < all.size();) {
            const auto ends = std::min(all.find(',', begins), all.size());
            inputs.insert(all.substr(begins, ends - begins));
            begins = ends + 1;
        }
        const bool own = std::all_of(inputs.begin(), inputs.end(), [&](const auto& handle) {
            const auto made = made_for_.find(handle);
            return made != made_for_.end() && made->second == visit.seen.id;
        });
        if (inputs.size() != final_results || !own) {
            fault(visit.seen.id + ": it ran with the inputs " + all);
        }
    }

    const std::vector<const soak_visit*>& visits_of(const soak_call& call) const {
        static const std::vector<const soak_visit*> none;
        const auto found = visits_.find(call.id);
        return found == visits_.end() ? none : found->second;
    }

    void check_runs(const soak_call& call) {
        std::size_t runs = 0;
        std::set<std::string> endpoints;
        for (const auto* visit : visits_of(call)) {
            if (visit->seen.ran) {
                ++runs;
                endpoints.insert(visit->endpoint);
            }
        }
        if (runs_once(call.kind) && runs > 1) {
            fault(call, "it ran " + std::to_string(runs) + " times");
        }
        if (endpoints.size() > endpoint_limit) {
            beyond_limit_.push_back(call.id);
        }
        const bool says_not_run =
            call.status == 503 || call.status == 429 || call.status == 408 || call.status == 421;
        if (runs_once(call.kind) && says_not_run && runs > 0) {
            fault(call, "it was refused with " + std::to_string(call.status) + " and ran");
        }
        if (call.status == 200 && runs == 0) {
            fault(call, "it was answered and never ran");
        }
    }

    void check_answer(const soak_call& call) {
        const bool client_fault = call.status >= 400 && call.status < 500 && call.status != 408 &&
                                  call.status != 421 && call.status != 429;
        if (client_fault) {
            fault(call, "it was denied with " + std::to_string(call.status));
        }
        if (call.status != 200) {
            if (!call.receipt.empty() && call.status != 0 && call.status < 500) {
                fault(call, "a refusal has a receipt");
            }
            return;
        }
        if (call.answered_id != call.id || call.receipt != call.id + ".signed") {
            fault(call, "its answer belongs to " + call.answered_id + ", receipt " + call.receipt);
        }
        if (is_stream(call.kind)) {
            check_events(call);
        } else if (call.complete && call.body != endpoint_answer(call.id)) {
            fault(call, "its answer is " + call.body);
        }
    }

    // Whole events, each once and in order; all of them if the stream ends as complete.
    void check_events(const soak_call& call) {
        std::vector<std::string> expected;
        for (int i = 1; i <= events; ++i) {
            expected.push_back("id: " + std::to_string(i));
            expected.push_back("data: event-" + std::to_string(i));
            expected.emplace_back();
        }
        const bool in_order = call.lines.size() <= expected.size() &&
                              std::equal(call.lines.begin(), call.lines.end(), expected.begin());
        if (!in_order || (call.complete && call.lines.size() != expected.size())) {
            std::string lines;
            for (const auto& line : call.lines) {
                lines += line + '|';
            }
            fault(call, "its stream has the lines " + lines);
        }
    }

    void check_end(const soak_call& call) {
        if (!undisturbed(call.gateway, call.sent, call.ended + gone_after)) {
            return;
        }
        const auto& visits = visits_of(call);
        if (call.left) {
            const bool worked_on = std::any_of(visits.begin(), visits.end(), [&](const auto* one) {
                return one->seen.at > call.ended + gone_after;
            });
            if (worked_on) {
                worked_for_gone_.push_back(name_of(call));
            }
            return;
        }
        const bool waited_in_vain = call.ended - call.sent >= caller_deadline + late_by;
        if (call.status == 0 && !visits.empty() && !waited_in_vain) {
            unanswered_.push_back(name_of(call));
        }
        if (call.ended - call.sent >= timeout_of(call.kind) + late_by) {
            late_.push_back(name_of(call));
        }
    }

    void check_calm_spans() {
        for (const auto& [begins, ends] : record_.calm) {
            std::map<request_kind, std::pair<std::size_t, std::size_t>> served;
            for (const auto& call : record_.calls) {
                if (call.sent >= begins && call.ended <= ends && !call.left) {
                    auto& [whole, all] = served[call.kind];
                    whole += call.status == 200 && call.complete ? 1 : 0;
                    ++all;
                }
            }
            for (const auto& [kind, counts] : served) {
                const auto [whole, all] = counts;
                if (static_cast<double>(whole) < least_served * static_cast<double>(all)) {
                    fault("only " + std::to_string(whole) + " of " + std::to_string(all) +
                          " requests of kind " + std::to_string(static_cast<int>(kind)) +
                          " were served in a calm span");
                }
            }
            if (served.empty()) {
                fault("no request ended in a calm span");
            }
        }
    }

    const soak_record& record_;
    std::map<std::string, const soak_call*> calls_;
    std::map<std::string, std::vector<const soak_visit*>> visits_;
    std::map<std::string, std::string> made_for_; // by handle
    std::vector<std::string> beyond_limit_;
    std::vector<std::string> unanswered_;
    std::vector<std::string> late_;
    std::vector<std::string> worked_for_gone_;
    std::vector<std::string> faults_;
};

} // namespace

std::vector<std::string> judge(const soak_record& record) {
    auto faults = judging{record}.verdict();
    faults.insert(faults.end(), record.harness_faults.begin(), record.harness_faults.end());
    return faults;
}

std::string list_calls(const soak_record& record) {
    std::string text;
    const auto since_start = [&](time_point when) {
        return std::to_string(std::chrono::floor<milliseconds>(when - record.started).count());
    };
    for (const auto& call : record.calls) {
        text += call.id + " kind " + std::to_string(static_cast<int>(call.kind)) + " gateway " +
                std::to_string(call.gateway) + " from " + since_start(call.sent) + " to " +
                since_start(call.ended) + " status " + std::to_string(call.status) +
                (call.left ? " left" : "") + (call.complete ? "" : " incomplete") + '\n';
    }
    return text;
}

std::string summarize(const soak_record& record) {
    std::map<unsigned, std::size_t> by_status;
    std::size_t whole = 0;
    for (const auto& call : record.calls) {
        ++by_status[call.left ? 0 : call.status];
        whole += call.complete && call.status == 200 ? 1 : 0;
    }
    std::string text = std::to_string(record.calls.size()) + " calls, " + std::to_string(whole) +
                       " served whole; by status";
    for (const auto& [status, count] : by_status) {
        text += ' ' + std::to_string(status) + ": " + std::to_string(count);
    }
    return text;
}

} // namespace boragefront::soak
