#include "support/checker.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

namespace boragefront::support {
namespace {

namespace json = boost::json;

// Everything that is known of one piece of work.
struct work_history {
    std::vector<const call_record*> answers;
    std::size_t starts{0};
};

std::string string_in(const json::object& object, std::string_view name) {
    const auto* const member = object.if_contains(name);
    return member != nullptr && member->is_string() ? std::string{member->get_string()}
                                                    : std::string{};
}

void read_line(const std::string& line, const std::string& endpoint, recorded_runs& runs) {
    json::error_code failure;
    const auto parsed = json::parse(line, failure);
    if (failure || !parsed.is_object()) {
        return; // cut off by a kill
    }
    const auto& object = parsed.get_object();
    const auto event = string_in(object, "event");
    if (event == "start") {
        runs.starts.push_back(
            {.endpoint = endpoint,
             .identity = string_in(object, "identity"),
             .marker = string_in(object, "marker"),
             .at = time_point{nanoseconds{object.at("at_ns").to_number<std::int64_t>()}},
             .running = object.at("running").to_number<std::size_t>(),
             .running_cold = object.at("running_cold").to_number<std::size_t>(),
             .turned_cold = object.at("turned_cold").as_bool()});
    } else if (event == "finish") {
        runs.finished_markers.insert(string_in(object, "marker"));
    } else if (event == "fall") {
        ++runs.falls;
    }
}

// Why an answer that claims to be whole is not the caller's own; empty if it is.
std::string objection_to(const call_record& answer) {
    if (answer.asked.stream) {
        for (std::size_t index = 0; index < answer.tokens.size(); ++index) {
            if (answer.tokens[index] != answer.asked.marker + ':' + std::to_string(index) + ' ') {
                return "token " + std::to_string(index) + " is " + answer.tokens[index];
            }
        }
        return answer.tokens.empty() ? "a stream without tokens" : "";
    }
    const auto marker = string_in(answer.result, "marker");
    if (!answer.asked.same_body && marker != answer.asked.marker) {
        return "the answer belongs to " + marker;
    }
    if (answer.result.contains("crossed")) {
        return "a stage's result came from another request";
    }
    // A repeated key is answered with the first run's result, which names the first request.
    if (answer.asked.idempotency_key.empty() &&
        string_in(answer.result, "request") != answer.request_id) {
        return "the result is of request " + string_in(answer.result, "request");
    }
    const auto* const trail = answer.result.if_contains("trail");
    const bool complete =
        trail != nullptr && trail->is_array() && trail->get_array().size() == answer.asked.stages;
    return complete ? "" : "a stage is missing";
}

std::string describe(const call_record& answer) {
    return answer.asked.service + ' ' + answer.asked.marker + " (request " + answer.request_id +
           ", status " + std::to_string(answer.status) + ' ' + answer.kind + ' ' + answer.detail +
           ')';
}

bool any_whole(const work_history& work) {
    return std::any_of(work.answers.begin(), work.answers.end(),
                       [](const auto* answer) { return answer->whole; });
}

bool any_failed(const work_history& work) {
    return std::any_of(work.answers.begin(), work.answers.end(),
                       [](const auto* answer) { return answer->ran == work_ran::yes; });
}

bool all_not_run(const work_history& work) {
    return std::all_of(work.answers.begin(), work.answers.end(),
                       [](const auto* answer) { return answer->ran == work_ran::no; });
}

void check_answers(const std::vector<call_record>& answers, verdict& judged) {
    for (const auto& answer : answers) {
        ++judged.calls;
        judged.whole += answer.whole ? 1 : 0;
        judged.not_run += !answer.whole && answer.ran == work_ran::no ? 1 : 0;
        if (!answer.whole) {
            ++judged.not_whole[answer.asked.service + ' ' + std::to_string(answer.status) + ' ' +
                               answer.kind + ' ' + answer.detail];
            continue;
        }
        const auto objection = objection_to(answer);
        if (!objection.empty()) {
            judged.faults.push_back("not the caller's own: " + describe(answer) + ": " + objection);
        }
    }
}

void check_order(const work_history& work, verdict& judged) {
    const auto name = describe(*work.answers.front());
    ++judged.orders;
    if (work.starts > 1) {
        judged.faults.push_back("order ran " + std::to_string(work.starts) + " times: " + name);
    }
    if (any_whole(work)) {
        ++judged.orders_whole;
    } else if (all_not_run(work)) {
        ++judged.orders_not_run;
    } else if (any_failed(work)) {
        ++judged.orders_failed;
    } else {
        ++judged.orders_unknown;
    }
}

void check_work(const work_history& work, verdict& judged) {
    const auto& asked = work.answers.front()->asked;
    if (asked.order) {
        check_order(work, judged);
    }
    if (asked.same_body) {
        return;
    }
    if (any_whole(work) && work.starts == 0) {
        judged.faults.push_back("answered and never ran: " + describe(*work.answers.front()));
    }
    if (!any_whole(work) && all_not_run(work) && work.starts > 0) {
        judged.faults.push_back("answered as not run and ran: " + describe(*work.answers.front()));
    }
}

void check_limits(const recorded_runs& runs, const checked_limits& limits, verdict& judged) {
    for (const auto& start : runs.starts) {
        const bool too_cold = !start.turned_cold && start.running_cold > limits.running_cold;
        if (start.running > limits.running || too_cold) {
            judged.faults.push_back("over the limit: " + start.endpoint + " ran " +
                                    std::to_string(start.running) + ", cold " +
                                    std::to_string(start.running_cold));
        }
    }
}

} // namespace

recorded_runs read_ledgers(const std::vector<std::filesystem::path>& files) {
    recorded_runs runs;
    for (const auto& file : files) {
        std::ifstream stream{file};
        std::string line;
        while (std::getline(stream, line)) {
            read_line(line, file.stem().string(), runs);
        }
    }
    return runs;
}

double verdict::unknown_share() const {
    return orders == 0 ? 0.0 : static_cast<double>(orders_unknown) / static_cast<double>(orders);
}

verdict check(const std::vector<call_record>& answers, const recorded_runs& runs,
              const checked_limits& limits) {
    verdict judged;
    check_answers(answers, judged);
    std::map<std::string, work_history> all;
    for (const auto& answer : answers) {
        all[answer.asked.marker].answers.push_back(&answer);
    }
    for (const auto& start : runs.starts) {
        const auto found = all.find(start.marker);
        if (found != all.end()) {
            ++found->second.starts;
        }
    }
    for (const auto& [marker, work] : all) {
        check_work(work, judged);
    }
    check_limits(runs, limits, judged);
    return judged;
}

std::string to_string(const verdict& judged) {
    std::ostringstream text;
    text << "calls " << judged.calls << ", whole " << judged.whole << ", not run " << judged.not_run
         << "; orders " << judged.orders << ", whole " << judged.orders_whole << ", not run "
         << judged.orders_not_run << ", unknown " << judged.orders_unknown << " ("
         << judged.unknown_share() << "); faults " << judged.faults.size();
    for (const auto& [answer, count] : judged.not_whole) {
        text << "\n  " << count << " x " << answer;
    }
    for (const auto& fault : judged.faults) {
        text << "\n  fault: " << fault;
    }
    return text.str();
}

} // namespace boragefront::support
