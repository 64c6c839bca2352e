/// \file
/// The stages of one request: which can run now, and which results the request itself needs.
#pragma once

#include "base/error.hpp"
#include "catalog/types.hpp"
#include "stages/piece.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::stages {

/// Results of one stage.
struct stage_results {
    std::size_t stage{0};
    std::vector<std::string> handles;
};

/// Follows a request through the stages of its route. A stage with no pieces is left out.
class stage_plan {
public:
    /// \param route outlives the plan.
    /// \param counts pieces of each stage; missing ones count as none.
    /// \returns `bad_request` if a stage waits for itself or for one that does not exist.
    static result<stage_plan> make(const catalog::route& route, std::string request_id,
                                   std::string key, std::vector<unsigned> counts);

    /// Stages that can run now and were not taken yet.
    std::vector<std::size_t> take_ready();

    /// The results that a stage reads, each with its stage.
    std::vector<std::pair<std::string, std::size_t>> inputs_of(std::size_t stage) const;

    /// The missing pieces of a stage.
    std::vector<piece> pieces_of(std::size_t stage) const;

    /// Notes the results of the pieces that `pieces_of` named, in its order. The stage is complete
    /// once all its pieces are made, else it is ready again.
    void set_results(std::size_t stage, const std::vector<piece_result>& results);

    /// Forgets results that are gone, so that their pieces are made again.
    /// Stages whose results were freed are made again too where a missing piece reads them.
    /// \param gone decides by the result's handle.
    void invalidate_results(const std::function<bool(const std::string&)>& gone);

    /// Whether all that the request needs is there.
    bool complete() const;

    /// The results that the request itself reads.
    std::vector<std::string> final_inputs() const;

    /// The same, each with its stage.
    std::vector<std::pair<std::string, std::size_t>> final_results() const;

    /// Results that no unfinished stage and not the request itself will read, once each.
    std::vector<stage_results> take_releasable();

    /// All results that are still held.
    std::vector<stage_results> take_all();

    /// Least time that the stages after this one take, by the given time of one stage.
    template <class Time>
    milliseconds critical_path_after(std::size_t stage, Time time_of) const {
        milliseconds longest{0};
        for (std::size_t i = 0; i < stages_.size(); ++i) {
            if (!stages_[i].handles.empty() && follows(i, stage)) {
                longest = std::max(longest,
                                   time_of(i, stages_[i].handles.size()) + critical_path_after(i, time_of));
            }
        }
        return longest;
    }

private:
    struct progress {
        std::vector<std::string> handles; // of each piece; empty: not made
        bool taken{false};                ///< being made, or made
        bool freed{false};                ///< its results were given up, as nothing more reads them
    };
    bool made(std::size_t stage) const;
    bool follows(std::size_t stage, std::size_t other) const;
    bool is_followed(std::size_t stage) const;

    const catalog::route* route_{nullptr};
    std::string request_id_;
    std::string key_;
    std::vector<progress> stages_;
};

} // namespace boragefront::stages
