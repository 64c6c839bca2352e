/// \file
/// One anti-entropy conversation with one peer, as a sequence of requests.
#pragma once

#include "base/time.hpp"
#include "control_core.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace boragefront::control {

/// Drives one conversation: send what `next` gives, pass the answer to `take`, until `next` gives
/// nothing. It may be abandoned at any point.
class exchange {
public:
    /// A conversation that begins by comparing knowledge.
    exchange() = default;

    /// A conversation with a peer whose knowledge arrived otherwise, as on a heartbeat.
    exchange(const wire::knowledge& peer, time_point heard_at);

    /// A single message that pushes entries which were learned just now.
    explicit exchange(std::vector<config::published_entry> news);

    /// The next request, or nothing at the end.
    std::optional<wire::request> next(const control_core& core, time_point now);

    /// Takes the answer to the last request. An answer of another type ends the conversation.
    void take(control_core& core, const wire::answer& answer, time_point now);

private:
    enum class step : std::uint8_t { compare, digest, delta, offer, list, done };

    void on_digest(control_core& core, const wire::digest_answer& answer, time_point now);
    void on_delta(control_core& core, const wire::delta_answer& answer, time_point now);
    void after_config(const control_core& core, time_point now);

    step step_{step::compare};
    int rounds_left_{most_rounds};
    time_point asked_at_{};
    wire::knowledge peer_;
    time_point peer_asked_at_{};
    std::vector<std::uint32_t> buckets_;
    std::vector<std::string> wanted_;
    std::vector<config::published_entry> news_;
    static constexpr int most_rounds = 64;
};

} // namespace boragefront::control
