/// \file
/// Progress of one request through the stages of its route.
#pragma once

#include "base/error.hpp"
#include "catalog/types.hpp"
#include "stages/piece.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::stages {

/// Result handles of one stage.
struct stage_results {
    std::size_t stage{0};
    std::vector<std::string> handles;
};

/// Tracks the stages of a request, a directed acyclic graph. Stages without pieces are skipped.
///
/// Each piece of a stage has a slot for its result. A slot is filled by the run that was begun for
/// its piece, and emptied when the result is lost or released. A stage runs while a result is
/// missing that the request, or a stage that still has to run, reads.
class stage_plan {
public:
    /// \param route must outlive the plan.
    /// \param counts number of pieces of each stage; missing values are 0.
    /// \returns `bad_request` if a stage depends on itself, a later stage or a missing one.
    static result<stage_plan> make(const catalog::route& route, std::string request_id,
                                   std::string key, std::vector<unsigned> counts);

    /// Returns the stages that have pieces to run, have all their inputs and are not running.
    std::vector<std::size_t> ready() const;

    /// Begins a run of the pieces of a stage that have no result.
    /// \pre the stage is ready.
    /// \returns the pieces, with their inputs.
    std::vector<piece> begin_run(std::size_t stage);

    /// Ends the run of a stage. Each result goes to the piece that it was made for, whatever became
    /// of the stage's other results during the run.
    /// \param results one for each piece that `begin_run` returned, in that order. Any other number
    /// is taken as a run without results.
    /// \returns the handles that go to no piece, because it has a result or they are not distinct.
    std::vector<std::string> end_run(std::size_t stage, const std::vector<piece_result>& results);

    /// Whether a run of the stage has begun and not ended.
    bool is_running(std::size_t stage) const { return !stages_[stage].running.empty(); }

    /// Whether the stage lacks results that the request or an unfinished stage reads.
    bool is_unfinished(std::size_t stage) const { return unfinished_stages()[stage]; }

    /// Discards lost results, so that their pieces run again if they are still needed.
    /// \param gone returns whether the result with the given handle is lost.
    void invalidate_results(const std::function<bool(const std::string&)>& gone);

    /// Returns whether all results that the request itself reads exist.
    bool complete() const;

    /// Returns the number of pieces of a stage.
    std::size_t piece_count(std::size_t stage) const { return stages_[stage].results.size(); }

    /// Returns the number of pieces of a stage that have no result.
    std::size_t missing_results(std::size_t stage) const;

    /// Returns the existing results that a stage reads, each with the stage that produced it.
    std::vector<std::pair<std::string, std::size_t>> inputs_of(std::size_t stage) const;

    /// Returns the results that the request itself reads.
    /// \returns `internal` unless there is exactly one for each piece, and none is there twice.
    result<std::vector<std::string>> final_inputs() const;

    /// Returns the existing results that the request itself reads, each with the stage that
    /// produced it.
    std::vector<std::pair<std::string, std::size_t>> final_results() const;

    /// Removes and returns the results that neither an unfinished stage nor the request itself
    /// reads.
    std::vector<stage_results> take_releasable();

    /// Removes and returns all results.
    std::vector<stage_results> take_all();

    /// Returns the duration of the critical path through the stages that follow `stage`.
    /// \param time_of duration of a stage, by its index and number of pieces.
    template <class Time>
    milliseconds critical_path_after(std::size_t stage, Time time_of) const {
        milliseconds longest{0};
        for (std::size_t i = 0; i < stages_.size(); ++i) {
            if (piece_count(i) > 0 && depends_on(i, stage)) {
                longest =
                    std::max(longest, time_of(i, piece_count(i)) + critical_path_after(i, time_of));
            }
        }
        return longest;
    }

    /// Returns how long a stage can wait so that its results are complete together with those of
    /// the other stages, 0 if another stage reads them. Results take up memory at their endpoint
    /// until the request has read them.
    ///
    /// \param time_of remaining duration of a stage, by its index and number of pieces.
    template <class Time>
    milliseconds start_delay(std::size_t stage, Time time_of) const {
        if (has_dependents(stage)) {
            return milliseconds{0};
        }
        milliseconds longest{0}; // through the other unfinished stages
        const auto unfinished = unfinished_stages();
        for (std::size_t i = 0; i < stages_.size(); ++i) {
            if (i != stage && unfinished[i]) {
                longest =
                    std::max(longest, time_of(i, piece_count(i)) + critical_path_after(i, time_of));
            }
        }
        return std::max(longest - time_of(stage, piece_count(stage)), milliseconds{0});
    }

private:
    struct progress {
        std::vector<std::string> results; ///< handles, one for each piece; empty: no result
        std::vector<unsigned> running;    ///< numbers of the pieces of the run in progress
    };
    // For each stage, whether it lacks results that the request or an unfinished stage reads.
    std::vector<bool> unfinished_stages() const;
    bool has_all_results(std::size_t stage) const { return missing_results(stage) == 0; }
    bool depends_on(std::size_t stage, std::size_t other) const;
    bool has_dependents(std::size_t stage) const;
    bool is_read_later(std::size_t stage, const std::vector<bool>& unfinished) const;
    bool holds(const std::string& handle) const;
    void take_results(std::size_t stage, std::vector<stage_results>& taken);

    const catalog::route* route_{nullptr};
    std::string request_id_;
    std::string key_;
    std::vector<progress> stages_;
};

} // namespace boragefront::stages
