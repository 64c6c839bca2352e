#include "stages/stage_plan.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace boragefront::stages {

result<stage_plan> stage_plan::make(const catalog::route& route, std::string request_id,
                                    std::string key, std::vector<unsigned> counts) {
    stage_plan plan;
    plan.route_ = &route;
    plan.request_id_ = std::move(request_id);
    plan.key_ = std::move(key);
    counts.resize(route.stages.size());
    for (std::size_t i = 0; i < route.stages.size(); ++i) {
        // A stage may only depend on earlier ones, which rules out cycles.
        for (const auto before : route.stages[i].after) {
            if (before >= i) {
                return make_error(error_kind::bad_request,
                                  "stage " + std::to_string(i) + " depends on stage " +
                                      std::to_string(before) + "; only earlier stages are allowed");
            }
        }
        plan.stages_.push_back({std::vector<std::string>(counts[i]), {}});
    }
    return plan;
}

std::size_t stage_plan::missing_results(std::size_t stage) const {
    const auto& results = stages_[stage].results;
    return static_cast<std::size_t>(std::count(results.begin(), results.end(), std::string{}));
}

bool stage_plan::depends_on(std::size_t stage, std::size_t other) const {
    const auto& after = route_->stages[stage].after;
    return std::find(after.begin(), after.end(), other) != after.end();
}

bool stage_plan::has_dependents(std::size_t stage) const {
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        if (piece_count(i) > 0 && depends_on(i, stage)) {
            return true;
        }
    }
    return false;
}

bool stage_plan::holds(const std::string& handle) const {
    return std::any_of(stages_.begin(), stages_.end(), [&](const progress& stage) {
        return std::find(stage.results.begin(), stage.results.end(), handle) != stage.results.end();
    });
}

// Whether the request itself or an unfinished later stage reads the results of a stage.
bool stage_plan::is_read_later(std::size_t stage, const std::vector<bool>& unfinished) const {
    bool is_read = !has_dependents(stage);
    for (std::size_t next = stage + 1; next < stages_.size(); ++next) {
        is_read = is_read || (unfinished[next] && depends_on(next, stage));
    }
    return is_read;
}

std::vector<bool> stage_plan::unfinished_stages() const {
    std::vector<bool> unfinished(stages_.size(), false);
    // From the last stage to the first, since a stage only depends on earlier ones.
    for (std::size_t i = stages_.size(); i-- > 0;) {
        unfinished[i] = is_read_later(i, unfinished) && !has_all_results(i);
    }
    return unfinished;
}

std::vector<std::size_t> stage_plan::ready() const {
    std::vector<std::size_t> ready;
    const auto unfinished = unfinished_stages();
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        const auto& after = route_->stages[i].after;
        const bool has_inputs = std::all_of(after.begin(), after.end(), [&](std::size_t before) {
            return has_all_results(before);
        });
        if (unfinished[i] && has_inputs && !is_running(i)) {
            ready.push_back(i);
        }
    }
    return ready;
}

std::vector<piece> stage_plan::begin_run(std::size_t stage) {
    std::vector<std::string> inputs;
    for (auto& [handle, before] : inputs_of(stage)) {
        inputs.push_back(std::move(handle));
    }
    std::vector<piece> pieces;
    auto& [results, running] = stages_[stage];
    for (unsigned number = 0; number < results.size(); ++number) {
        if (results[number].empty()) {
            running.push_back(number);
            pieces.push_back({request_id_, static_cast<unsigned>(stage), number,
                              inputs.empty() ? key_ : std::string{}, inputs});
        }
    }
    return pieces;
}

std::vector<std::string> stage_plan::end_run(std::size_t stage,
                                             const std::vector<piece_result>& results) {
    std::vector<std::string> unclaimed;
    const auto numbers = std::exchange(stages_[stage].running, {});
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& handle = results[i].handle;
        if (handle.empty() || holds(handle)) {
            continue; // a handle that is held must not be released
        }
        if (results.size() == numbers.size() && stages_[stage].results[numbers[i]].empty()) {
            stages_[stage].results[numbers[i]] = handle;
        } else {
            unclaimed.push_back(handle);
        }
    }
    return unclaimed;
}

void stage_plan::invalidate_results(const std::function<bool(const std::string&)>& gone) {
    for (auto& stage : stages_) {
        for (auto& handle : stage.results) {
            if (!handle.empty() && gone(handle)) {
                handle.clear();
            }
        }
    }
}

bool stage_plan::complete() const {
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        if (!has_dependents(i) && !has_all_results(i)) {
            return false;
        }
    }
    return true;
}

std::vector<std::pair<std::string, std::size_t>> stage_plan::inputs_of(std::size_t stage) const {
    std::vector<std::pair<std::string, std::size_t>> inputs;
    for (const auto before : route_->stages[stage].after) {
        for (const auto& handle : stages_[before].results) {
            if (!handle.empty()) {
                inputs.emplace_back(handle, before);
            }
        }
    }
    return inputs;
}

result<std::vector<std::string>> stage_plan::final_inputs() const {
    std::vector<std::string> inputs;
    for (auto& [handle, stage] : final_results()) {
        inputs.push_back(std::move(handle));
    }
    const std::set<std::string_view> distinct{inputs.begin(), inputs.end()};
    if (!complete() || distinct.size() != inputs.size()) {
        return make_error(error_kind::internal, "found " + std::to_string(inputs.size()) +
                                                    " results, " + std::to_string(distinct.size()) +
                                                    " of them distinct, expected one for each "
                                                    "piece");
    }
    return inputs;
}

std::vector<std::pair<std::string, std::size_t>> stage_plan::final_results() const {
    std::vector<std::pair<std::string, std::size_t>> results;
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        if (has_dependents(i)) {
            continue;
        }
        for (const auto& handle : stages_[i].results) {
            if (!handle.empty()) {
                results.emplace_back(handle, i);
            }
        }
    }
    return results;
}

std::vector<stage_results> stage_plan::take_releasable() {
    std::vector<stage_results> releasable;
    const auto unfinished = unfinished_stages();
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        if (!is_read_later(i, unfinished)) {
            take_results(i, releasable);
        }
    }
    return releasable;
}

std::vector<stage_results> stage_plan::take_all() {
    std::vector<stage_results> all;
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        take_results(i, all);
    }
    return all;
}

void stage_plan::take_results(std::size_t stage, std::vector<stage_results>& taken) {
    stage_results held{stage, {}};
    for (auto& handle : stages_[stage].results) {
        if (!handle.empty()) {
            held.handles.push_back(std::exchange(handle, {}));
        }
    }
    if (!held.handles.empty()) {
        taken.push_back(std::move(held));
    }
}

} // namespace boragefront::stages
