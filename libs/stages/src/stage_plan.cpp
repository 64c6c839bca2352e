#include "stages/stage_plan.hpp"

#include <algorithm>

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
        plan.stages_.push_back({std::vector<std::string>(counts[i]), false});
    }
    return plan;
}

bool stage_plan::all_pieces_made(std::size_t stage) const {
    const auto& handles = stages_[stage].handles;
    return std::none_of(handles.begin(), handles.end(),
                        [](const std::string& handle) { return handle.empty(); });
}

bool stage_plan::depends_on(std::size_t stage, std::size_t other) const {
    const auto& after = route_->stages[stage].after;
    return std::find(after.begin(), after.end(), other) != after.end();
}

bool stage_plan::has_dependents(std::size_t stage) const {
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        if (!stages_[i].handles.empty() && depends_on(i, stage)) {
            return true;
        }
    }
    return false;
}

std::vector<std::size_t> stage_plan::take_ready() {
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        const auto& after = route_->stages[i].after;
        const bool inputs_made = std::all_of(after.begin(), after.end(), [&](std::size_t before) {
            return all_pieces_made(before);
        });
        if (!stages_[i].scheduled && !all_pieces_made(i) && inputs_made) {
            stages_[i].scheduled = true;
            ready.push_back(i);
        }
    }
    return ready;
}

std::vector<std::pair<std::string, std::size_t>> stage_plan::inputs_of(std::size_t stage) const {
    std::vector<std::pair<std::string, std::size_t>> inputs;
    for (const auto before : route_->stages[stage].after) {
        for (const auto& handle : stages_[before].handles) {
            inputs.emplace_back(handle, before);
        }
    }
    return inputs;
}

std::vector<piece> stage_plan::pieces_of(std::size_t stage) const {
    std::vector<piece> pieces;
    std::vector<std::string> inputs;
    for (auto& [handle, before] : inputs_of(stage)) {
        inputs.push_back(std::move(handle));
    }
    const auto& handles = stages_[stage].handles;
    for (std::size_t i = 0; i < handles.size(); ++i) {
        if (handles[i].empty()) {
            pieces.push_back({request_id_, static_cast<unsigned>(stage), static_cast<unsigned>(i),
                              inputs.empty() ? key_ : std::string{}, inputs});
        }
    }
    return pieces;
}

void stage_plan::set_results(std::size_t stage, const std::vector<piece_result>& results) {
    std::size_t next = 0;
    for (auto& handle : stages_[stage].handles) {
        if (handle.empty() && next < results.size()) {
            handle = results[next++].handle;
        }
    }
    stages_[stage].released = stages_[stage].released && results.empty();
    stages_[stage].scheduled = all_pieces_made(stage);
}

void stage_plan::invalidate_results(const std::function<bool(const std::string&)>& gone) {
    // From the last stage to the first, since a piece without a result needs its inputs again.
    for (std::size_t i = stages_.size(); i-- > 0;) {
        auto& stage = stages_[i];
        const bool was_made = all_pieces_made(i);
        for (auto& handle : stage.handles) {
            if (!handle.empty() && gone(handle)) {
                handle.clear();
            }
        }
        for (std::size_t next = i + 1; next < stages_.size(); ++next) {
            if (stage.released && depends_on(next, i) && !all_pieces_made(next)) {
                std::fill(stage.handles.begin(), stage.handles.end(), std::string{});
            }
        }
        if (was_made && !all_pieces_made(i)) {
            stage.scheduled = false;
            stage.released = false;
        }
    }
}

bool stage_plan::complete() const {
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        if (!has_dependents(i) && !all_pieces_made(i)) {
            return false;
        }
    }
    return true;
}

std::vector<std::string> stage_plan::final_inputs() const {
    std::vector<std::string> inputs;
    for (auto& [handle, stage] : final_results()) {
        inputs.push_back(std::move(handle));
    }
    return inputs;
}

std::vector<std::pair<std::string, std::size_t>> stage_plan::final_results() const {
    std::vector<std::pair<std::string, std::size_t>> results;
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        if (!has_dependents(i)) {
            for (const auto& handle : stages_[i].handles) {
                results.emplace_back(handle, i);
            }
        }
    }
    return results;
}

std::vector<stage_results> stage_plan::take_releasable() {
    std::vector<stage_results> releasable;
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        bool read_later = !has_dependents(i);
        for (std::size_t next = 0; next < stages_.size(); ++next) {
            read_later = read_later || (depends_on(next, i) && !all_pieces_made(next));
        }
        if (!read_later && !stages_[i].released && all_pieces_made(i)) {
            stages_[i].released = true;
            releasable.push_back({i, stages_[i].handles});
        }
    }
    return releasable;
}

std::vector<stage_results> stage_plan::take_all() {
    std::vector<stage_results> all;
    for (std::size_t i = 0; i < stages_.size(); ++i) {
        auto& stage = stages_[i];
        stage_results held{i, {}};
        for (const auto& handle : stage.handles) {
            if (!handle.empty() && !stage.released) {
                held.handles.push_back(handle);
            }
        }
        stage.released = true;
        if (!held.handles.empty()) {
            all.push_back(std::move(held));
        }
    }
    return all;
}

} // namespace boragefront::stages
