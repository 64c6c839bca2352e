// The stages of a request in generated orders of starts, ends, losses, releases and cancellations,
// beside a model that knows for which piece each result was made.
#include "stages/stage_plan.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace boragefront;
using namespace boragefront::stages;

namespace {

struct shape {
    std::string name;
    std::vector<std::vector<std::size_t>> after; // of each stage
};

const std::vector<shape>& shapes() {
    static const std::vector<shape> all{{"chain", {{}, {0}, {1}}},
                                        {"two after one", {{}, {0}, {0}}},
                                        {"two after one, and one beside them", {{}, {0}, {0}, {}}},
                                        {"diamond", {{}, {0}, {0}, {1, 2}}},
                                        {"three after two", {{}, {}, {0, 1}, {0, 1}, {1}}},
                                        {"two chains from one stage", {{}, {0}, {0}, {1}, {2}}}};
    return all;
}

using piece_id = std::pair<std::size_t, unsigned>; // stage and number

class generated_order {
public:
    explicit generated_order(std::uint64_t seed)
        : random_{seed}, shape_{shapes()[draw(shapes().size())]} {
        for (const auto& after : shape_.after) {
            catalog::stage stage;
            stage.after = after;
            route_.stages.push_back(stage);
            counts_.push_back(static_cast<unsigned>(draw(6) == 0 ? 0 : 1 + draw(4)));
        }
        auto made = stage_plan::make(route_, "r", "key", counts_);
        REQUIRE(made);
        plan_ = std::move(made.value());
    }

    void run() {
        INFO(shape_.name);
        for (int step = 0; step < 60; ++step) {
            disturb();
            check_releases(plan_.take_releasable());
        }
        finish();
    }

private:
    std::size_t draw(std::size_t below) { return random_() % below; }

    void disturb() {
        switch (draw(7)) {
        case 0:
        case 1:
        case 2:
            begin();
            break;
        case 3:
        case 4:
            end();
            break;
        case 5: // some results are lost
            invalidate(draw(3) == 0 ? 1 : 3);
            break;
        default:
            if (draw(6) == 0) { // the response has begun, and its endpoint falls silent later
                check_releases(plan_.take_all());
                CHECK(held_.empty());
            }
        }
    }

    void begin() {
        const auto ready = plan_.ready();
        if (ready.empty()) {
            return;
        }
        const auto stage = ready[draw(ready.size())];
        REQUIRE_FALSE(running_.contains(stage));
        auto pieces = plan_.begin_run(stage);
        REQUIRE_FALSE(pieces.empty());
        const auto inputs = expected_inputs(stage);
        for (const auto& piece : pieces) {
            CHECK(piece.stage == stage);
            check_inputs(inputs, piece.inputs);
            CHECK(piece.key == (inputs.empty() ? "key" : ""));
            REQUIRE_FALSE(held_by(stage, piece.number));
        }
        running_.emplace(stage, std::move(pieces));
    }

    void end() {
        if (running_.empty()) {
            return;
        }
        const auto run =
            std::next(running_.begin(), static_cast<std::ptrdiff_t>(draw(running_.size())));
        const auto [stage, pieces] = *run;
        running_.erase(run);
        if (draw(6) == 0) { // cancelled
            CHECK(plan_.end_run(stage, {}).empty());
            return;
        }
        const bool inputs_gone = draw(3) == 0;
        std::vector<piece_result> results;
        for (const auto& piece : pieces) {
            const bool gone = inputs_gone && draw(2) == 0;
            results.push_back(gone ? piece_result{piece_outcome::input_gone, {}}
                                   : piece_result{piece_outcome::made, make(stage, piece.number)});
        }
        CHECK(plan_.end_run(stage, results).empty());
        if (!all_made(results)) {
            invalidate(1);
        }
    }

    std::string make(std::size_t stage, unsigned number) {
        auto handle = "endpoint/" + std::to_string(next_handle_++);
        made_for_.emplace(handle, piece_id{stage, number});
        held_.insert(handle);
        return handle;
    }

    // Loses one in `part` of the results that the plan holds.
    void invalidate(std::size_t part) {
        plan_.invalidate_results([&](const std::string& handle) {
            REQUIRE(held_.contains(handle));
            const bool lost = draw(part) == 0;
            if (lost) {
                held_.erase(handle);
            }
            return lost;
        });
    }

    void check_releases(const std::vector<stage_results>& released) {
        for (const auto& of_stage : released) {
            for (const auto& handle : of_stage.handles) {
                CHECK(made_for_.at(handle).first == of_stage.stage);
                CHECK(held_.erase(handle) == 1);
            }
        }
    }

    std::set<piece_id> expected_inputs(std::size_t stage) const {
        std::set<piece_id> expected;
        for (const auto before : shape_.after[stage]) {
            for (unsigned number = 0; number < counts_[before]; ++number) {
                expected.emplace(before, number);
            }
        }
        return expected;
    }

    // Each input is held, and there is one for each piece.
    void check_inputs(const std::set<piece_id>& expected,
                      const std::vector<std::string>& inputs) const {
        std::set<piece_id> given;
        for (const auto& handle : inputs) {
            REQUIRE(held_.contains(handle));
            CHECK(given.insert(made_for_.at(handle)).second);
        }
        CHECK(given == expected);
    }

    bool held_by(std::size_t stage, unsigned number) const {
        return std::any_of(held_.begin(), held_.end(), [&](const std::string& handle) {
            return made_for_.at(handle) == piece_id{stage, number};
        });
    }

    // Without further trouble all pieces are made, and the request gets each of them once.
    void finish() {
        for (int rounds = 0; !plan_.complete() || !running_.empty(); ++rounds) {
            REQUIRE(rounds < 20);
            for (const auto stage : plan_.ready()) {
                running_.emplace(stage, plan_.begin_run(stage));
            }
            for (const auto& [stage, pieces] : std::exchange(running_, {})) {
                std::vector<piece_result> results;
                for (const auto& piece : pieces) {
                    results.push_back({piece_outcome::made, make(stage, piece.number)});
                }
                CHECK(plan_.end_run(stage, results).empty());
            }
            check_releases(plan_.take_releasable());
        }
        std::set<piece_id> expected;
        for (std::size_t stage = 0; stage < counts_.size(); ++stage) {
            bool is_read = false;
            for (std::size_t next = 0; next < counts_.size(); ++next) {
                const auto& after = shape_.after[next];
                is_read = is_read || (counts_[next] > 0 &&
                                      std::find(after.begin(), after.end(), stage) != after.end());
            }
            for (unsigned number = 0; !is_read && number < counts_[stage]; ++number) {
                expected.emplace(stage, number);
            }
        }
        const auto inputs = plan_.final_inputs();
        REQUIRE(inputs);
        check_inputs(expected, inputs.value());
        check_releases(plan_.take_all());
        CHECK(held_.empty());
    }

    std::mt19937_64 random_;
    shape shape_;
    catalog::route route_;
    std::vector<unsigned> counts_;
    stage_plan plan_;
    std::map<std::size_t, std::vector<piece>> running_; // by stage
    std::map<std::string, piece_id> made_for_;          // by handle
    std::set<std::string> held_;                        // handles in the plan's slots
    int next_handle_{1};
};

} // namespace

// Guards against a result in the slot of another piece or in two slots, a piece that is given an
// input twice, only some of its inputs or released ones, results that are never released, and
// stages that are never finished.
TEST_CASE("in any order of events a slot holds only a result made for its piece", "[invariant]") {
    const auto seed = GENERATE(range(1U, 3'001U));
    INFO("seed " << seed);
    generated_order{seed}.run();
}
