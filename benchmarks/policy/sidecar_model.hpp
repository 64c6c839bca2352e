/// \file
/// A sidecar's decisions around an endpoint in memory.
#pragma once

#include "endpoint_model.hpp"
#include "routing/endpoint_view.hpp"
#include "work_scheduler.hpp"

#include <functional>
#include <map>
#include <string>

namespace boragefront::bench {

/// Drives a `work_scheduler` as the sidecar's traffic thread does.
class sidecar_model {
public:
    using on_outcome = std::function<void(const ledger::outcome&)>;

    sidecar_model(virtual_clock& clock, endpoint_model& endpoint,
                  const sidecar::scheduler_policy& policy, config::limits limits,
                  config::ramp ramp);

    /// Work arrives; `done` is called once, when its outcome is known.
    void offer(const sidecar::offered_work& work, on_outcome done);

    /// Its sender has closed the connection.
    void abandon(const work_id& id);

    sidecar::scheduler_state state() const { return scheduler_.state(clock_.now()); }
    incarnation life() const { return life_; }

    /// What it reports on its answers.
    routing::load_report load() const;

private:
    sidecar::clock_reading reading() const;
    void tick();
    void read_load();
    void dispatch();
    void start(const work_id& id);
    void on_end(const work_id& id, run_end how, duration took);

    virtual_clock& clock_;
    endpoint_model& endpoint_;
    incarnation life_{1};
    sidecar::work_scheduler scheduler_;
    std::map<work_id, on_outcome> waiting_;
    std::map<work_id, std::uint64_t> calls_;
};

} // namespace boragefront::bench
