#include "control.pb.h"
#include "entry_codec.hpp"
#include "wire/messages.hpp"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <array>
#include <limits>

namespace boragefront::wire {
namespace {

constexpr std::array phase_names{std::string_view{"starting"}, std::string_view{"serving"},
                                 std::string_view{"draining"}, std::string_view{"out"}};

result<service_phase> read_phase(std::uint32_t value) {
    if (value >= phase_names.size()) {
        return malformed("phase " + std::to_string(value));
    }
    return static_cast<service_phase>(value);
}

std::string_view role_name(membership::instance_role role) {
    return role == membership::instance_role::entry ? "entry" : "sidecar";
}

result<membership::instance_role> read_role(const std::string& name) {
    if (name == "entry") {
        return membership::instance_role::entry;
    }
    if (name == "sidecar") {
        return membership::instance_role::sidecar;
    }
    return malformed("role");
}

result<membership::instance_state> read_state(const std::string& name) {
    if (name == "live") {
        return membership::instance_state::live;
    }
    if (name == "leaving") {
        return membership::instance_state::leaving;
    }
    return malformed("state");
}

template <class Field>
result<std::vector<std::uint32_t>> read_buckets(const Field& field, std::size_t count) {
    std::vector<std::uint32_t> buckets{field.begin(), field.end()};
    const bool in_range =
        std::all_of(buckets.begin(), buckets.end(), [&](std::uint32_t one) { return one < count; });
    if (!in_range || buckets.size() > bucket_limit) {
        return malformed("buckets");
    }
    return buckets;
}

template <class Field>
result<std::vector<std::uint64_t>> read_hashes(const Field& field) {
    if (static_cast<std::size_t>(field.size()) > bucket_limit) {
        return malformed("bucket_hashes");
    }
    return std::vector<std::uint64_t>{field.begin(), field.end()};
}

void write_knowledge(const knowledge& held, pb::knowledge& out) {
    out.set_revision(held.highest);
    out.set_confirmed(held.confirmed);
    out.set_age_ms(static_cast<std::uint64_t>(held.age.count()));
    out.set_list_known(held.list_known);
    out.set_list_hash(held.list_hash);
    out.set_list_age_ms(static_cast<std::uint64_t>(held.list_age.count()));
    out.set_config_hash(held.config_hash);
}

knowledge read_knowledge(const pb::knowledge& held) {
    return {held.revision(),   held.confirmed(), read_milliseconds(held.age_ms()),
            held.list_known(), held.list_hash(), read_milliseconds(held.list_age_ms()),
            held.config_hash()};
}

void write_entry(const config::published_entry& entry, pb::config_entry& out) {
    out.set_key(entry.key);
    out.set_revision(entry.number);
    out.set_deleted(entry.deleted);
    out.set_value(entry.value);
}

template <class Field>
std::vector<config::published_entry> read_entries(const Field& field) {
    std::vector<config::published_entry> entries;
    for (const auto& one : field) {
        entries.push_back({one.key(), one.revision(), one.deleted(), one.value()});
    }
    return entries;
}

void write_instance(const membership::instance& one, pb::instance_info& out) {
    out.set_id(one.id);
    out.set_role(std::string{role_name(one.role)});
    out.set_data_centre(one.data_centre);
    out.set_pool(one.pool);
    out.set_data_address(one.data_address);
    out.set_control_address(one.control_address);
    out.set_state(one.state == membership::instance_state::live ? "live" : "leaving");
}

result<membership::instance> read_instance(const pb::instance_info& one) {
    membership::instance read;
    read.id = one.id();
    BOOST_OUTCOME_TRY(read.role, read_role(one.role()));
    read.data_centre = one.data_centre();
    read.pool = one.pool();
    read.data_address = one.data_address();
    read.control_address = one.control_address();
    BOOST_OUTCOME_TRY(read.state, read_state(one.state()));
    return read;
}

struct write_request {
    pb::control_request& out;

    void operator()(const digest_request& message) const {
        auto& body = *out.mutable_digest();
        body.mutable_bucket_hashes()->Add(message.bucket_hashes.begin(),
                                          message.bucket_hashes.end());
        write_knowledge(message.held, *body.mutable_held());
        body.set_from_address(message.from_address);
    }
    void operator()(const delta_request& message) const {
        auto& body = *out.mutable_delta();
        body.mutable_buckets()->Add(message.buckets.begin(), message.buckets.end());
        body.set_bucket_count(message.bucket_count);
        for (const auto& held : message.held) {
            auto& one = *body.add_held();
            one.set_key(held.key);
            one.set_revision(held.newest);
            one.set_good_revision(held.good);
        }
        for (const auto& entry : message.offered) {
            write_entry(entry, *body.add_offered());
        }
    }
    void operator()(const heartbeat_request& message) const {
        out.mutable_heartbeat()->set_from(message.from);
        write_knowledge(message.held, *out.mutable_heartbeat()->mutable_held());
    }
    void operator()(const status_request& /*message*/) const { out.mutable_status(); }
    void operator()(const dump_request& /*message*/) const { out.mutable_dump(); }
    void operator()(const metrics_request& /*message*/) const { out.mutable_metrics(); }
    void operator()(const instances_request& message) const {
        auto& body = *out.mutable_instances();
        body.mutable_bucket_hashes()->Add(message.bucket_hashes.begin(),
                                          message.bucket_hashes.end());
        body.set_age_ms(static_cast<std::uint64_t>(message.age.count()));
    }
    void operator()(const gossip_request& message) const { write(message, *out.mutable_gossip()); }
    void operator()(const make_pieces_request& message) const {
        write(message, *out.mutable_make_pieces());
    }
    void operator()(const pieces_done_request& message) const {
        write(message, *out.mutable_pieces_done());
    }
    void operator()(const cancel_pieces_request& message) const {
        auto& body = *out.mutable_cancel_pieces();
        body.set_asker(message.asker);
        body.set_ticket(message.ticket);
        body.set_service(message.service);
    }
    void operator()(const release_results_request& message) const {
        auto& body = *out.mutable_release_results();
        body.set_service(message.service);
        body.mutable_handles()->Assign(message.handles.begin(), message.handles.end());
    }
};

struct write_answer {
    pb::control_answer& out;

    void operator()(const digest_answer& message) const {
        auto& body = *out.mutable_digest();
        body.mutable_differing_buckets()->Add(message.differing_buckets.begin(),
                                              message.differing_buckets.end());
        write_knowledge(message.held, *body.mutable_held());
    }
    void operator()(const delta_answer& message) const {
        auto& body = *out.mutable_delta();
        for (const auto& entry : message.entries) {
            write_entry(entry, *body.add_entries());
        }
        for (const auto& key : message.wanted) {
            body.add_wanted(key);
        }
        body.set_complete(message.complete);
    }
    void operator()(const heartbeat_answer& message) const {
        auto& body = *out.mutable_heartbeat();
        body.set_incarnation(message.life);
        body.set_phase(static_cast<std::uint32_t>(message.phase));
        body.set_concurrency_limit(message.concurrency_limit);
        body.set_in_flight(message.in_flight);
        body.set_queued(message.queued);
        body.set_service_time_us(static_cast<std::uint64_t>(message.service_time.count()));
        body.set_clock_ns(static_cast<std::uint64_t>(message.clock.since_epoch.count()));
        write_knowledge(message.held, *body.mutable_held());
    }
    void operator()(const status_answer& message) const {
        auto& body = *out.mutable_status();
        body.set_id(message.id);
        body.set_role(std::string{role_name(message.role)});
        body.set_data_centre(message.data_centre);
        body.set_phase(static_cast<std::uint32_t>(message.phase));
        body.set_revision(message.highest);
        body.set_knowledge_age_ms(static_cast<std::uint64_t>(message.knowledge_age.count()));
        body.set_in_flight(message.in_flight);
        body.set_refused_values(message.refused_values);
        body.set_ready(message.ready);
    }
    void operator()(const dump_answer& message) const {
        out.mutable_dump()->set_json(message.json);
    }
    void operator()(const metrics_answer& message) const {
        out.mutable_metrics()->set_exposition(message.exposition);
    }
    void operator()(const instances_answer& message) const {
        auto& body = *out.mutable_instances();
        for (const auto& one : message.instances) {
            write_instance(one, *body.add_instances());
        }
        body.set_age_ms(static_cast<std::uint64_t>(message.age.count()));
        body.mutable_buckets()->Add(message.buckets.begin(), message.buckets.end());
        body.set_known(message.known);
    }
    void operator()(const gossip_answer& message) const { write(message, *out.mutable_gossip()); }
    void operator()(const make_pieces_answer& message) const {
        write(message, *out.mutable_make_pieces());
    }
    void operator()(const pieces_done_answer& /*message*/) const { out.mutable_pieces_done(); }
    void operator()(const cancel_pieces_answer& /*message*/) const { out.mutable_cancel_pieces(); }
    void operator()(const release_results_answer& /*message*/) const {
        out.mutable_release_results();
    }
    void operator()(const refusal& message) const { out.set_refusal(message.detail); }
};

result<request> read_delta(const pb::delta_request& body) {
    delta_request read;
    read.bucket_count = body.bucket_count();
    if (read.bucket_count == 0 || read.bucket_count > bucket_limit) {
        return malformed("bucket_count");
    }
    BOOST_OUTCOME_TRY(read.buckets, read_buckets(body.buckets(), read.bucket_count));
    for (const auto& one : body.held()) {
        read.held.push_back({one.key(), one.revision(), one.good_revision()});
    }
    read.offered = read_entries(body.offered());
    return request{std::move(read)};
}

result<request> read_instances(const pb::instances_request& body) {
    instances_request read;
    BOOST_OUTCOME_TRY(read.bucket_hashes, read_hashes(body.bucket_hashes()));
    read.age = read_milliseconds(body.age_ms());
    return request{std::move(read)};
}

result<answer> read_digest(const pb::digest_answer& body) {
    digest_answer read;
    BOOST_OUTCOME_TRY(read.differing_buckets, read_buckets(body.differing_buckets(), bucket_limit));
    read.held = read_knowledge(body.held());
    return answer{std::move(read)};
}

result<answer> read_heartbeat(const pb::heartbeat_answer& body) {
    constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    heartbeat_answer read;
    read.life = body.incarnation();
    BOOST_OUTCOME_TRY(read.phase, read_phase(body.phase()));
    read.concurrency_limit = body.concurrency_limit();
    read.in_flight = body.in_flight();
    read.queued = body.queued();
    read.service_time = read_milliseconds(body.service_time_us() / 1'000);
    read.service_time += microseconds{body.service_time_us() % 1'000};
    read.clock.since_epoch = nanoseconds{std::min(body.clock_ns(), most)};
    read.held = read_knowledge(body.held());
    return answer{read};
}

result<answer> read_status(const pb::status_answer& body) {
    status_answer read;
    read.id = body.id();
    BOOST_OUTCOME_TRY(read.role, read_role(body.role()));
    read.data_centre = body.data_centre();
    BOOST_OUTCOME_TRY(read.phase, read_phase(body.phase()));
    read.highest = body.revision();
    read.knowledge_age = read_milliseconds(body.knowledge_age_ms());
    read.in_flight = body.in_flight();
    read.refused_values = body.refused_values();
    read.ready = body.ready();
    return answer{std::move(read)};
}

result<answer> read_instances(const pb::instances_answer& body) {
    instances_answer read;
    for (const auto& one : body.instances()) {
        BOOST_OUTCOME_TRY(auto instance, read_instance(one));
        read.instances.push_back(std::move(instance));
    }
    read.age = read_milliseconds(body.age_ms());
    BOOST_OUTCOME_TRY(read.buckets, read_buckets(body.buckets(), bucket_limit));
    read.known = body.known();
    return answer{std::move(read)};
}

// Garbage from a peer is answered and counted; protobuf would also write a log line for it.
template <class Message>
bool parse_into(Message& out, std::string_view bytes) {
    [[maybe_unused]] static auto* const silenced = google::protobuf::SetLogHandler(nullptr);
    return bytes.size() <= message_bytes_limit &&
           out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string_view to_string(service_phase phase) {
    return phase_names.at(static_cast<std::size_t>(phase));
}

std::string encode(const request& message) {
    pb::control_request out;
    std::visit(write_request{out}, message);
    return out.SerializeAsString();
}

std::string encode(const answer& message) {
    pb::control_answer out;
    std::visit(write_answer{out}, message);
    return out.SerializeAsString();
}

result<request> decode_request(std::string_view bytes) {
    pb::control_request in;
    if (!parse_into(in, bytes)) {
        return malformed("not a request");
    }
    switch (in.body_case()) {
    case pb::control_request::kDigest: {
        BOOST_OUTCOME_TRY(auto hashes, read_hashes(in.digest().bucket_hashes()));
        return request{digest_request{read_knowledge(in.digest().held()), std::move(hashes),
                                      in.digest().from_address()}};
    }
    case pb::control_request::kDelta:
        return read_delta(in.delta());
    case pb::control_request::kHeartbeat:
        return request{
            heartbeat_request{in.heartbeat().from(), read_knowledge(in.heartbeat().held())}};
    case pb::control_request::kStatus:
        return request{status_request{}};
    case pb::control_request::kDump:
        return request{dump_request{}};
    case pb::control_request::kMetrics:
        return request{metrics_request{}};
    case pb::control_request::kInstances:
        return read_instances(in.instances());
    case pb::control_request::kGossip:
        return request{read(in.gossip())};
    case pb::control_request::kMakePieces:
        return read(in.make_pieces());
    case pb::control_request::kPiecesDone:
        return read(in.pieces_done());
    case pb::control_request::kCancelPieces:
        return request{cancel_pieces_request{
            in.cancel_pieces().asker(), in.cancel_pieces().ticket(), in.cancel_pieces().service()}};
    case pb::control_request::kReleaseResults:
        return request{release_results_request{
            in.release_results().service(),
            {in.release_results().handles().begin(), in.release_results().handles().end()}}};
    case pb::control_request::BODY_NOT_SET:
        break;
    }
    return malformed("unknown request");
}

result<answer> decode_answer(std::string_view bytes) {
    pb::control_answer in;
    if (!parse_into(in, bytes)) {
        return malformed("not an answer");
    }
    switch (in.body_case()) {
    case pb::control_answer::kDigest:
        return read_digest(in.digest());
    case pb::control_answer::kDelta:
        return answer{delta_answer{read_entries(in.delta().entries()),
                                   {in.delta().wanted().begin(), in.delta().wanted().end()},
                                   in.delta().complete()}};
    case pb::control_answer::kHeartbeat:
        return read_heartbeat(in.heartbeat());
    case pb::control_answer::kStatus:
        return read_status(in.status());
    case pb::control_answer::kDump:
        return answer{dump_answer{in.dump().json()}};
    case pb::control_answer::kMetrics:
        return answer{metrics_answer{in.metrics().exposition()}};
    case pb::control_answer::kInstances:
        return read_instances(in.instances());
    case pb::control_answer::kRefusal:
        return answer{refusal{in.refusal()}};
    case pb::control_answer::kGossip:
        return answer{read(in.gossip())};
    case pb::control_answer::kMakePieces:
        return answer{make_pieces_answer{in.make_pieces().accepted(),
                                         read_milliseconds(in.make_pieces().expected_ms()),
                                         read_milliseconds(in.make_pieces().retry_after_ms())}};
    case pb::control_answer::kPiecesDone:
        return answer{pieces_done_answer{}};
    case pb::control_answer::kCancelPieces:
        return answer{cancel_pieces_answer{}};
    case pb::control_answer::kReleaseResults:
        return answer{release_results_answer{}};
    case pb::control_answer::BODY_NOT_SET:
        break;
    }
    return malformed("unknown answer");
}

} // namespace boragefront::wire
