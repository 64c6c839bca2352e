/// \file
/// Runs one stage of one request at sidecars: idempotent work with retries and hedges, other work
/// at most once.
#pragma once

#include "entry_core.hpp"
#include "execution/deadline_plan.hpp"
#include "http/client.hpp"
#include "work_message.hpp"

#include <memory>
#include <string>

namespace boragefront::entry {

template <class T>
using awaitable = http::awaitable<T>;

/// One stage of a request with its work, profile and times.
struct stage_plan {
    stage_work work;
    stage_key key;      ///< for latencies and budgets
    stage_key cost_key; ///< for cost counters
    std::string pool;
    config::profile profile;
    execution::stage_times times;
};

/// The output of a stage: complete, or a stream whose first line has been read.
struct stage_output {
    std::string body;            ///< the output as JSON, or the first line of the stream
    time_point launched_at;      ///< start of the attempt that produced it
    std::shared_ptr<void> owner; ///< keeps the race alive, which the stream refers to
    std::unique_ptr<http::response_stream> stream;
};

/// Runs an idempotent stage; the first result wins.
/// \param abandoned cancels the run when the caller disconnects; outlives the call.
/// \returns an error whose `ran` covers all attempts of this stage.
awaitable<result<stage_output>> run_idempotent(traffic_context& context, stage_plan plan,
                                               http::cancel_source& abandoned);

/// Runs a stage that is not idempotent, at most once.
/// \returns an error with `ran` set; `outcome_unknown` if the outcome cannot be determined.
awaitable<result<stage_output>> run_at_most_once(traffic_context& context, stage_plan plan);

} // namespace boragefront::entry
