/// \file
/// Runs one soak: real gateways as processes, faults from outside, a verdict by what callers and
/// endpoints saw.
#pragma once

#include "base/error.hpp"
#include "soak_plan.hpp"
#include "soak_record.hpp"

#include <filesystem>
#include <functional>
#include <string>

namespace boragefront::soak {

struct soak_options {
    std::uint64_t seed{1};
    milliseconds length{60'000}; ///< approximate
    soak_sizes sizes{};
    unsigned callers{16};
    std::filesystem::path folder{}; ///< for settings and logs; empty: a temporary one
};

struct soak_verdict {
    std::vector<std::string> faults; ///< broken rules, a line each
    std::string summary;
    std::filesystem::path folder; ///< kept if a rule was broken
};

/// Told of each fault before it is injected.
using soak_observer = std::function<void(const std::string& planned)>;

/// \returns an error if the deployment does not start.
result<soak_verdict> run_soak(const soak_options& options, const soak_observer& observer);

} // namespace boragefront::soak
