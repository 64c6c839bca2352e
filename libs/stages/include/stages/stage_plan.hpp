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
class stage_plan {
public:
    /// \param route must outlive the plan.
    /// \param counts number of pieces of each stage; missing values are 0.
    /// \returns `bad_request` if a stage depends on itself, a later stage or a missing one.
    static result<stage_plan> make(const catalog::route& route, std::string request_id,
                                   std::string key, std::vector<unsigned> counts);

    /// Returns the stages whose inputs are complete and marks them as scheduled. Each is returned
    /// once, unless it has to run again.
    std::vector<std::size_t> take_ready();

    /// Returns the results that a stage reads, each with the stage that produced it.
    std::vector<std::pair<std::string, std::size_t>> inputs_of(std::size_t stage) const;

    /// Returns the pieces of a stage that have no result.
    std::vector<piece> pieces_of(std::size_t stage) const;

    /// Sets the results of the pieces that `pieces_of` returned, in the same order. If a piece has
    /// no result, the stage becomes ready again.
    void set_results(std::size_t stage, const std::vector<piece_result>& results);

    /// Discards lost results, so that their pieces run again. A stage whose results were released
    /// runs again too if a piece without a result reads them.
    /// \param gone returns whether the result with the given handle is lost.
    void invalidate_results(const std::function<bool(const std::string&)>& gone);

    /// Returns whether all results that the request itself reads exist.
    bool complete() const;

    /// Returns the results that the request itself reads.
    std::vector<std::string> final_inputs() const;

    /// Returns the results that the request itself reads, each with the stage that produced it.
    std::vector<std::pair<std::string, std::size_t>> final_results() const;

    /// Returns the results that neither an unfinished stage nor the request itself reads, and marks
    /// them as released.
    std::vector<stage_results> take_releasable();

    /// Returns all results that are not released yet, and marks them as released.
    std::vector<stage_results> take_all();

    /// Returns the duration of the critical path through the stages that follow `stage`.
    /// \param time_of duration of a stage, by its index and number of pieces.
    template <class Time>
    milliseconds critical_path_after(std::size_t stage, Time time_of) const {
        milliseconds longest{0};
        for (std::size_t i = 0; i < stages_.size(); ++i) {
            if (!stages_[i].handles.empty() && depends_on(i, stage)) {
                longest = std::max(longest, time_of(i, stages_[i].handles.size()) +
                                                critical_path_after(i, time_of));
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
        milliseconds longest{0}; // through the other unfinished stages
        for (std::size_t i = 0; i < stages_.size(); ++i) {
            if (i != stage && !all_pieces_made(i)) {
                longest = std::max(longest, time_of(i, stages_[i].handles.size()) +
                                                critical_path_after(i, time_of));
            }
        }
        const auto own = time_of(stage, stages_[stage].handles.size());
        return has_dependents(stage) ? milliseconds{0} : std::max(longest - own, milliseconds{0});
    }

private:
    struct progress {
        std::vector<std::string> handles; ///< one for each piece; empty: no result
        bool scheduled{false};            ///< running or complete
        bool released{false}; ///< its results were released, as nothing reads them any more
    };
    bool all_pieces_made(std::size_t stage) const;
    bool depends_on(std::size_t stage, std::size_t other) const;
    bool has_dependents(std::size_t stage) const;

    const catalog::route* route_{nullptr};
    std::string request_id_;
    std::string key_;
    std::vector<progress> stages_;
};

} // namespace boragefront::stages
