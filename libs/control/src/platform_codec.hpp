/// \file
/// Reads the answers of the platform's service.
#pragma once

#include "base/error.hpp"
#include "control_core.hpp"
#include "membership/instance.hpp"

#include <string_view>
#include <vector>

namespace boragefront::control {

/// Reads an answer of `GET /v1/config`. \returns `bad_request` naming the field at fault.
result<platform_config> read_config_answer(std::string_view text);

/// Reads an answer of `GET /v1/instances`. \returns `bad_request` naming the field at fault.
result<std::vector<membership::instance>> read_instances_answer(std::string_view text);

} // namespace boragefront::control
