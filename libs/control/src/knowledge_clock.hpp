/// \file
/// When the configuration held here was last confirmed, and whether the platform is behind it.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "wire/messages.hpp"

#include <optional>

namespace boragefront::control {

/// What an answer of the platform says of itself.
struct platform_reading {
    revision asked_with_highest{0}; ///< the highest revision held here when it was asked
    revision answered{0};           ///< the platform's revision
    time_point asked_at;
    time_point answered_at;
};

/// Tracks confirmations. An answer of the platform that is behind what was held when it was asked
/// confirms nothing: the platform is serving stale values.
class knowledge_clock {
public:
    void on_platform(const platform_reading& reading);

    /// A peer and this process hold the same.
    /// \param asked_at when the peer was asked for its knowledge.
    void on_peer(const wire::knowledge& peer, time_point asked_at);

    bool confirmed() const { return confirmed_at_.has_value(); }

    /// Time since the platform confirmed what is held, through any chain of peers.
    milliseconds age(time_point now) const;

    bool platform_is_stale() const { return platform_is_stale_; }

    /// The highest revision that the platform itself answered; where a watch goes on.
    revision platform_revision() const { return platform_revision_; }

private:
    void confirm_at(time_point when);

    std::optional<time_point> confirmed_at_;
    revision platform_revision_{0};
    bool platform_is_stale_{false};
};

} // namespace boragefront::control
