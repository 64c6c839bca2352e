#include "soak.hpp"

#include "soak_callers.hpp"
#include "soak_world.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <tuple>

namespace boragefront::soak {
namespace {

result<std::filesystem::path> make_folder(const std::filesystem::path& wanted) {
    if (!wanted.empty()) {
        std::filesystem::create_directories(wanted);
        return wanted;
    }
    auto pattern = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        return make_error(error_kind::unavailable, "cannot make a temporary folder");
    }
    return std::filesystem::path{pattern};
}

// The beginnings and ends of all faults, in order of time.
std::vector<std::tuple<milliseconds, bool, std::size_t>> timeline_of(const soak_plan& plan) {
    std::vector<std::tuple<milliseconds, bool, std::size_t>> steps;
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
        const auto& one = plan.faults[i];
        steps.emplace_back(one.begins, true, i);
        steps.emplace_back(one.begins + one.lasts, false, i);
    }
    std::sort(steps.begin(), steps.end());
    return steps;
}

} // namespace

result<soak_verdict> run_soak(const soak_options& options, const soak_observer& observer) {
    soak_verdict verdict;
    BOOST_OUTCOME_TRY(verdict.folder, make_folder(options.folder));
    const auto plan = draw_plan(options.seed, options.length, options.sizes);
    BOOST_OUTCOME_TRY(auto world, soak_world::start(options.sizes, verdict.folder));
    soak_callers callers{world->addresses(), options.callers, options.seed};
    const auto started = steady_clock::now();
    // A step that took longer than planned moves all later ones, calm spans included.
    auto behind = duration{0};
    std::size_t next_calm = 0;
    std::vector<std::pair<time_point, time_point>> calm;
    for (const auto& [at, begins, index] : timeline_of(plan)) {
        while (next_calm < plan.calm.size() && plan.calm[next_calm].ends <= at) {
            const auto& span = plan.calm[next_calm++];
            calm.emplace_back(started + behind + span.begins, started + behind + span.ends);
        }
        std::this_thread::sleep_until(started + behind + at);
        if (begins) {
            observer(to_string(plan.faults[index]));
            world->begin(plan.faults[index]);
        } else {
            world->end(plan.faults[index]);
        }
        behind = std::max(behind, steady_clock::now() - (started + at));
    }
    for (; next_calm < plan.calm.size(); ++next_calm) {
        const auto& span = plan.calm[next_calm];
        calm.emplace_back(started + behind + span.begins, started + behind + span.ends);
    }
    std::this_thread::sleep_until(started + behind + plan.length);
    auto calls = callers.stop();
    auto record = world->finish();
    record.started = started;
    record.calls = std::move(calls);
    record.calm = std::move(calm);
    verdict.faults = judge(record);
    verdict.summary = summarize(record);
    std::ofstream{verdict.folder / "calls.txt"} << list_calls(record);
    if (verdict.faults.empty() && options.folder.empty()) {
        std::filesystem::remove_all(verdict.folder);
        verdict.folder.clear();
    }
    return verdict;
}

} // namespace boragefront::soak
