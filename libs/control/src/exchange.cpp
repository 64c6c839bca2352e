#include "exchange.hpp"

#include "anti_entropy.hpp"

namespace boragefront::control {

exchange::exchange(const wire::knowledge& peer, time_point heard_at)
    : step_{step::digest}, peer_{peer}, peer_asked_at_{heard_at} {}

exchange::exchange(std::vector<config::published_entry> news)
    : step_{step::offer}, news_{std::move(news)} {}

std::optional<wire::request> exchange::next(const control_core& core, time_point now) {
    if (rounds_left_-- <= 0) {
        return std::nullopt;
    }
    if (step_ == step::digest && !core.differs(peer_)) {
        after_config(core, now);
    }
    asked_at_ = now;
    switch (step_) {
    case step::compare:
        return wire::digest_request{core.describe(now), {}};
    case step::digest:
        return wire::digest_request{core.describe(now), digest_of(core.store(), digest_buckets)};
    case step::delta:
        return make_delta_request(core.store(), buckets_, digest_buckets);
    case step::offer: {
        wire::delta_request offer;
        offer.bucket_count = digest_buckets;
        offer.offered = news_.empty() ? entries_for(core.store(), wanted_) : news_;
        return offer;
    }
    case step::list:
        return core.instances().make_request(now);
    case step::done:
        break;
    }
    return std::nullopt;
}

void exchange::take(control_core& core, const wire::answer& answer, time_point now) {
    const auto asked = step_;
    step_ = step::done;
    if (const auto* digest = std::get_if<wire::digest_answer>(&answer)) {
        if (asked == step::compare || asked == step::digest) {
            peer_ = digest->held;
            peer_asked_at_ = asked_at_;
            step_ = asked;
            on_digest(core, *digest, now);
        }
    } else if (const auto* delta = std::get_if<wire::delta_answer>(&answer)) {
        if (asked == step::delta) {
            on_delta(core, *delta, now);
        } else if (asked == step::offer) {
            after_config(core, now);
        }
    } else if (const auto* list = std::get_if<wire::instances_answer>(&answer)) {
        if (asked == step::list) {
            core.instances().take_answer(*list, asked_at_);
        }
    }
}

void exchange::on_digest(control_core& core, const wire::digest_answer& answer, time_point now) {
    core.take_knowledge(answer.held, asked_at_);
    const bool compared = step_ == step::compare;
    if (!core.differs(peer_) || (!compared && answer.differing_buckets.empty())) {
        after_config(core, now);
    } else if (compared) {
        step_ = step::digest;
    } else {
        buckets_ = answer.differing_buckets;
        step_ = step::delta;
    }
}

void exchange::on_delta(control_core& core, const wire::delta_answer& answer, time_point now) {
    core.take_entries(answer.entries);
    if (!answer.complete && !answer.entries.empty()) {
        step_ = step::delta;
        return;
    }
    if (answer.complete) {
        core.take_whole(peer_, peer_asked_at_);
    }
    if (answer.wanted.empty()) {
        after_config(core, now);
    } else {
        wanted_ = answer.wanted;
        step_ = step::offer;
    }
}

void exchange::after_config(const control_core& core, time_point now) {
    step_ = core.wants_list_of(peer_, now) ? step::list : step::done;
}

} // namespace boragefront::control
