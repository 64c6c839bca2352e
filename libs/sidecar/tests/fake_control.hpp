/// \file
/// A control plane whose knowledge the test gives.
#pragma once

#include "control/control_plane.hpp"

#include <atomic>

namespace boragefront::sidecar::test {

/// What a fake control plane and its test share.
struct fake_knowledge {
    atomic_snapshot<config::snapshot> configuration;
    atomic_snapshot<membership::instance_list> instances;
    atomic_snapshot<control::heard_sidecars> sidecars;
    control::role_hooks hooks;
    std::atomic<revision> noted{0};
};

class fake_control : public control::control_plane {
public:
    explicit fake_control(fake_knowledge& knowledge) : knowledge_{knowledge} {}

    const atomic_snapshot<config::snapshot>& configuration() const override {
        return knowledge_.configuration;
    }
    const atomic_snapshot<membership::instance_list>& instances() const override {
        return knowledge_.instances;
    }
    const atomic_snapshot<control::heard_sidecars>& sidecars() const override {
        return knowledge_.sidecars;
    }
    bool ready() const override { return true; }
    std::string control_address() const override { return "127.0.0.1:1"; }
    void note_revision(revision seen) override { knowledge_.noted = seen; }
    void stop() override {}

private:
    fake_knowledge& knowledge_;
};

} // namespace boragefront::sidecar::test
