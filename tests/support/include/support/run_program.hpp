/// \file
/// Runs a program to its end and keeps what it wrote.
#pragma once

#include <string>
#include <vector>

namespace boragefront::support {

/// How a program ended.
struct program_outcome {
    int status{-1}; ///< exit status
    std::string output;
    std::string errors; ///< standard error
};

/// Runs `program` with `arguments` and waits for its end.
program_outcome run_program(const std::string& program, const std::vector<std::string>& arguments);

} // namespace boragefront::support
