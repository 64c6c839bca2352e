/// \file
/// Pairs of failures by command: `fault_storm --seed N --minutes M`.
#include "src/fault_storm.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "chooses the pairs of failures and the requests");
DEFINE_uint32(minutes, 1, "how long it goes on");

int main(int argc, char** argv) {
    using namespace boragefront;
    gflags::SetUsageMessage("fault_storm [--seed N] [--minutes M]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const faults::storm_options options{.seed = FLAGS_seed,
                                        .time = std::chrono::minutes{FLAGS_minutes}};
    std::cout << "seed " << options.seed << '\n';
    const auto judged =
        faults::run_storm(options, [](const std::string& pair) { std::cout << pair << std::endl; });
    if (!judged) {
        std::cerr << "fault_storm: seed " << options.seed << ": " << to_string(judged.error())
                  << '\n';
        return 1;
    }
    std::cout << to_string(judged.value()) << '\n';
    return judged.value().faults.empty() ? 0 : 1;
}
