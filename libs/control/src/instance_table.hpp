/// \file
/// The platform's instance list as this process knows it: the list itself, which is exchanged with
/// peers, and the instances that are believed to exist, which traffic uses.
#pragma once

#include "base/time.hpp"
#include "membership/instance.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::control {

/// Keeps instances that vanish from the list for a while, because the list lags and may be empty or
/// short for no good reason. Those that were heard from lately stay as long as they are heard.
class instance_table {
public:
    /// Replaces the list by one read from the platform.
    void take_list(std::vector<membership::instance> list, time_point read_at);

    /// Asks a peer for a newer list.
    wire::instances_request make_request(time_point now) const;

    /// Answers a peer; the buckets that differ are included only if this list is the newer one.
    wire::instances_answer answer(const wire::instances_request& asked, time_point now) const;

    /// Takes over the buckets of a peer's answer, if it is newer than this list.
    void take_answer(const wire::instances_answer& answer, time_point now);

    /// A peer holds an equal list that was read at `read_at`.
    void confirm(time_point read_at);

    /// Notes that an instance answered.
    void note_heard(const std::string& id, time_point now);

    /// Forgets instances that vanished from the list long enough ago.
    /// \returns whether the believed instances may have changed since the last call.
    bool refresh(time_point now);

    /// The instances that are believed to exist, ordered by id.
    membership::instance_list believed() const;

    bool known() const { return read_at_.has_value(); }
    std::uint64_t hash() const { return hash_; }

    /// Time since the list was read from the platform, by anyone.
    milliseconds age(time_point now) const;

    std::size_t list_size() const { return list_.size(); }

private:
    struct believed_instance {
        membership::instance what;
        std::optional<time_point> missing_since;
        time_point heard_at{};
    };
    void replace(std::map<std::string, membership::instance> list, time_point read_at);
    milliseconds grace() const;

    std::map<std::string, membership::instance> list_;
    std::map<std::string, believed_instance> believed_;
    std::optional<time_point> read_at_;
    std::uint64_t hash_{0};
    std::size_t missing_{0}; // believed instances that the list lacks
    bool changed_{false};
};

} // namespace boragefront::control
