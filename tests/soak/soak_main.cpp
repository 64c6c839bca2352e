/// \file
/// The fault soak by command: `soak --seed N --minutes M`.
#include "soak.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "chooses the faults and the requests");
DEFINE_double(minutes, 1, "how long it goes on, approximately");
DEFINE_uint32(gateways, 3, "gateway processes");
DEFINE_uint32(endpoints, 10, "endpoints, dealt to five services");
DEFINE_uint32(callers, 16, "callers at a time");
DEFINE_string(folder, "", "for settings and logs; a temporary one, kept on a fault, if empty");

int main(int argc, char** argv) {
    using namespace boragefront;
    gflags::SetUsageMessage("soak [--seed N] [--minutes M] [--gateways N] [--endpoints N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    soak::soak_options options;
    options.seed = FLAGS_seed;
    options.length = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::ratio<60>>{FLAGS_minutes});
    options.sizes = {FLAGS_gateways, FLAGS_endpoints};
    options.callers = FLAGS_callers;
    options.folder = FLAGS_folder;
    std::cout << "seed " << options.seed << std::endl;
    const auto verdict = soak::run_soak(
        options, [](const std::string& planned) { std::cout << "  " << planned << std::endl; });
    if (!verdict) {
        std::cerr << "soak: seed " << options.seed << ": " << to_string(verdict.error()) << '\n';
        return 1;
    }
    std::cout << verdict.value().summary << '\n';
    for (const auto& fault : verdict.value().faults) {
        std::cout << "seed " << options.seed << ": " << fault << '\n';
    }
    if (!verdict.value().faults.empty()) {
        std::cout << "settings and logs: " << verdict.value().folder.string() << '\n';
        return 1;
    }
    return 0;
}
