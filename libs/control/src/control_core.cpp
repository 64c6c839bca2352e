#include "control_core.hpp"

#include "anti_entropy.hpp"

#include <utility>

namespace boragefront::control {

void control_core::take_platform(platform_config answer, revision asked_with_highest,
                                 time_point asked_at, time_point now) {
    const auto answered = answer.highest;
    take_entries(std::move(answer.entries));
    knowledge_.on_platform({asked_with_highest, answered, asked_at, now});
}

void control_core::take_entries(std::vector<config::published_entry> entries) {
    bool changed = false;
    for (auto& entry : entries) {
        auto key = entry.key;
        if (merge(std::move(entry))) {
            changed = true;
            changed_keys_.push_back(std::move(key));
        }
    }
    if (changed) {
        ++version_;
        hash_ = digest_of(store_, 1).front();
    }
}

void control_core::take_knowledge(const wire::knowledge& peer, time_point asked_at) {
    if (!differs(peer)) {
        knowledge_.on_peer(peer, asked_at);
    }
    if (peer.list_known && peer.list_hash == instances_.hash()) {
        instances_.confirm(asked_at - peer.list_age);
    }
}

void control_core::take_whole(const wire::knowledge& peer, time_point asked_at) {
    knowledge_.on_peer(peer, asked_at);
}

bool control_core::wants_list_of(const wire::knowledge& peer, time_point now) const {
    return peer.list_known && peer.list_hash != instances_.hash() &&
           peer.list_age < instances_.age(now);
}

wire::digest_answer control_core::answer(const wire::digest_request& asked, time_point now) {
    take_knowledge(asked.held, now);
    wire::digest_answer made;
    made.held = describe(now);
    if (!asked.bucket_hashes.empty()) {
        const auto count = static_cast<std::uint32_t>(asked.bucket_hashes.size());
        made.differing_buckets = differing(digest_of(store_, count), asked.bucket_hashes);
    }
    return made;
}

wire::delta_answer control_core::answer(const wire::delta_request& asked) {
    take_entries(asked.offered);
    return answer_delta(store_, asked);
}

wire::instances_answer control_core::answer(const wire::instances_request& asked,
                                            time_point now) const {
    return instances_.answer(asked, now);
}

wire::knowledge control_core::describe(time_point now) const {
    return {store_.highest(),
            knowledge_.confirmed(),
            knowledge_.age(now),
            instances_.known(),
            instances_.hash(),
            instances_.age(now),
            hash_};
}

std::vector<std::string> control_core::take_changed_keys() {
    return std::exchange(changed_keys_, {});
}

bool control_core::merge(config::published_entry entry) {
    return store_.merge(std::move(entry)) != config::merge_outcome::ignored;
}

} // namespace boragefront::control
