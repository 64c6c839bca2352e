/// \file
/// Suspected parts of prompts as messages between entries have them: with ages instead of times.
#pragma once

#include "base/time.hpp"
#include "quarantine/prompt_quarantine.hpp"
#include "wire/messages.hpp"

#include <vector>

namespace boragefront::gateway {

std::vector<wire::suspected_part> to_message(const std::vector<quarantine::part_report>& reports,
                                             time_point now);

std::vector<quarantine::part_report> from_message(const std::vector<wire::suspected_part>& parts,
                                                  time_point now);

} // namespace boragefront::gateway
