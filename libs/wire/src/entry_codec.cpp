#include "entry_codec.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::wire {
namespace {

constexpr std::uint64_t most_milliseconds = 1'000ULL * 3'600 * 24 * 365;
constexpr double least_processors = 0.01; // also of a peer that tells none
constexpr double most_processors = 1'024;
constexpr double most_link_mbps = 1'000'000;
constexpr unsigned most_speed_percent = 10'000;
constexpr std::size_t most_suspected_parts = 64; // of a message; entries send fewer
constexpr std::size_t most_crashes = 64;         // of a part; entries send fewer
constexpr int most_pieces = 4'096; // far above any route's; bounds what a broken peer can ask for

std::uint64_t as_count(milliseconds value) {
    return static_cast<std::uint64_t>(std::max(value, milliseconds{0}).count());
}

void write_entry(const entry_info& entry, pb::entry_info& out) {
    out.set_id(entry.id);
    out.set_incarnation(entry.life);
    out.set_data_centre(entry.data_centre);
    out.set_control_address(entry.control_address);
    out.set_work_address(entry.work_address);
    out.set_serving(entry.serving);
    out.set_heard_ms(as_count(entry.heard));
    out.set_processors(entry.processors);
    out.set_link_mbps(entry.link_mbps);
    out.set_serving_for_ms(as_count(entry.serving_for));
}

entry_info read_entry(const pb::entry_info& in) {
    return {in.id(),
            in.incarnation(),
            in.data_centre(),
            in.control_address(),
            in.work_address(),
            in.serving(),
            read_milliseconds(in.heard_ms()),
            std::clamp(in.processors(), least_processors, most_processors),
            in.link_mbps() > 0 ? std::min(in.link_mbps(), most_link_mbps) : 0, // 0 also for NaN
            read_milliseconds(in.serving_for_ms())};
}

template <class Message>
void write_observations(const fleet_observations& observations, Message& message) {
    if (observations.late_entries.empty() && observations.estimates.empty() &&
        observations.limits.empty() && observations.origins.empty() && !observations.versions) {
        return;
    }
    auto& out = *message.mutable_observations();
    for (const auto& entry : observations.late_entries) {
        auto& one = *out.add_late_entries();
        one.set_id(entry.id);
        one.set_incarnation(entry.life);
    }
    for (const auto& estimate : observations.estimates) {
        auto& one = *out.add_estimates();
        one.set_endpoint(estimate.endpoint);
        one.set_incarnation(estimate.incarnation);
        one.set_speed_percent(estimate.speed_percent);
        one.set_concurrency(estimate.concurrency);
        one.set_age_ms(as_count(estimate.age));
    }
    for (const auto& limit : observations.limits) {
        auto& one = *out.add_limits();
        one.set_endpoint(limit.endpoint);
        one.set_incarnation(limit.incarnation);
        one.set_per_second(limit.per_second);
        one.set_age_ms(as_count(limit.age));
    }
    for (const auto& report : observations.origins) {
        auto& one = *out.add_origins();
        one.set_service(static_cast<std::uint64_t>(report.origin.service));
        one.set_version(static_cast<std::uint64_t>(report.origin.version));
        one.mutable_attempts()->Assign(report.attempts.begin(), report.attempts.end());
    }
    if (observations.versions) {
        auto& versions = *out.mutable_versions();
        versions.set_covered_ms(as_count(observations.versions->covered));
        for (const auto& sighting : observations.versions->sightings) {
            auto& one = *versions.add_sightings();
            one.set_service(static_cast<std::uint64_t>(sighting.version.service));
            one.set_version(static_cast<std::uint64_t>(sighting.version.version));
            one.set_last_seen_ms(as_count(sighting.last_seen));
        }
    }
}

template <class Message>
continuation::stream_origin read_origin(const Message& in) {
    return {continuation::service_key{in.service()}, continuation::version_key{in.version()}};
}

std::vector<continuation::origin_report> read_origins(const pb::fleet_observations& in) {
    std::vector<continuation::origin_report> reports;
    std::size_t space = all_stream_origins_limit;
    for (const auto& one : in.origins()) {
        const auto count = std::min(space, static_cast<std::size_t>(one.attempts_size()));
        space -= count;
        if (count > 0) {
            reports.push_back({read_origin(one),
                               {one.attempts().begin(),
                                one.attempts().begin() + static_cast<std::ptrdiff_t>(count)}});
        }
    }
    return reports;
}

// A report that lacks versions covers nothing.
std::optional<continuation::version_report> read_versions(const pb::fleet_observations& in) {
    if (!in.has_versions() ||
        static_cast<std::size_t>(in.versions().sightings_size()) > version_sighting_limit) {
        return std::nullopt;
    }
    continuation::version_report report{read_milliseconds(in.versions().covered_ms()), {}};
    for (const auto& one : in.versions().sightings()) {
        report.sightings.push_back({read_origin(one), read_milliseconds(one.last_seen_ms())});
    }
    return report;
}

fleet_observations read_observations(const pb::fleet_observations& in) {
    fleet_observations observations;
    for (const auto& one : in.late_entries()) {
        if (observations.late_entries.size() == late_entry_limit) {
            break;
        }
        observations.late_entries.push_back({one.id(), one.incarnation()});
    }
    for (const auto& one : in.estimates()) {
        if (observations.estimates.size() == endpoint_estimate_limit) {
            break;
        }
        observations.estimates.push_back({one.endpoint(), one.incarnation(),
                                          std::clamp(one.speed_percent(), 1U, most_speed_percent),
                                          one.concurrency(), read_milliseconds(one.age_ms())});
    }
    for (const auto& one : in.limits()) {
        if (observations.limits.size() == endpoint_limit_limit) {
            break;
        }
        if (std::isfinite(one.per_second()) && one.per_second() >= 0) {
            observations.limits.push_back({one.endpoint(), one.incarnation(), one.per_second(),
                                           read_milliseconds(one.age_ms())});
        }
    }
    observations.origins = read_origins(in);
    observations.versions = read_versions(in);
    return observations;
}

void write_delta(const catalog::replica_delta& delta, pb::replica_delta& out) {
    out.set_whole(delta.is_full);
    out.set_through(delta.through.at);
    out.set_era(delta.through.era);
    for (const auto& item : delta.items) {
        auto& one = *out.add_items();
        one.set_key(item.key);
        one.set_revision(item.position.at);
        if (item.position.era != delta.through.era) {
            one.set_era(item.position.era);
        }
        one.set_removed(!item.value);
        one.set_value(item.value.value_or(std::string{}));
    }
}

catalog::replica_delta read_delta(const pb::replica_delta& in) {
    catalog::replica_delta delta{in.whole(), {in.era(), in.through()}, {}};
    for (const auto& one : in.items()) {
        delta.items.push_back({one.key(),
                               {one.has_era() ? one.era() : in.era(), one.revision()},
                               one.removed() ? std::nullopt : std::optional{one.value()}});
    }
    return delta;
}

template <class Message>
void write_parts(const std::vector<suspected_part>& parts, Message& out) {
    for (const auto& part : parts) {
        auto& one = *out.add_suspected_parts();
        one.set_part(part.part);
        for (const auto& crash : part.crashes) {
            auto& written = *one.add_crashes();
            written.set_engine(crash.engine);
            written.set_crashed_ms_ago(as_count(crash.crashed_ago));
            written.set_sent_ms_ago(as_count(crash.sent_ago));
            written.set_response_begun(crash.response_begun);
            written.set_cleared(crash.cleared);
            if (crash.content_ago) {
                written.set_content_ms_ago(as_count(*crash.content_ago));
            }
        }
    }
}

template <class Field>
std::vector<suspected_part> read_parts_of(const Field& field) {
    std::vector<suspected_part> parts;
    for (const auto& one : field) {
        if (parts.size() == most_suspected_parts) {
            break;
        }
        suspected_part part{one.part(), {}};
        for (const auto& crash : one.crashes()) {
            if (part.crashes.size() == most_crashes) {
                break;
            }
            part.crashes.push_back({crash.engine(), read_milliseconds(crash.crashed_ms_ago()),
                                    read_milliseconds(crash.sent_ms_ago()), crash.response_begun(),
                                    crash.cleared(),
                                    crash.has_content_ms_ago()
                                        ? std::optional{read_milliseconds(crash.content_ms_ago())}
                                        : std::nullopt});
        }
        parts.push_back(std::move(part));
    }
    return parts;
}

template <class Field>
std::vector<entry_info> read_entries_of(const Field& field) {
    std::vector<entry_info> entries;
    for (const auto& one : field) {
        entries.push_back(read_entry(one));
    }
    return entries;
}

} // namespace

error malformed(std::string detail) {
    return make_error(error_kind::bad_request, "malformed control message: " + std::move(detail));
}

milliseconds read_milliseconds(std::uint64_t value) {
    return milliseconds{std::min(value, most_milliseconds)};
}

void write(const gossip_request& message, pb::gossip_request& out) {
    write_entry(message.self, *out.mutable_self());
    for (const auto& one : message.others) {
        write_entry(one, *out.add_others());
    }
    out.set_configuration_through(message.configuration_through.at);
    out.set_endpoints_through(message.endpoints_through.at);
    if (message.knows_eras) {
        out.set_configuration_era(message.configuration_through.era);
        out.set_endpoints_era(message.endpoints_through.era);
    }
    if (message.max_delta_bytes) {
        out.set_max_delta_bytes(*message.max_delta_bytes);
    }
    write_parts(message.suspected_parts, out);
    write_observations(message.observations, out);
    out.set_wants_versions(message.wants_versions);
}

void write(const gossip_answer& message, pb::gossip_answer& out) {
    write_entry(message.self, *out.mutable_self());
    for (const auto& one : message.others) {
        write_entry(one, *out.add_others());
    }
    write_delta(message.configuration, *out.mutable_configuration());
    write_delta(message.endpoints, *out.mutable_endpoints());
    write_parts(message.suspected_parts, out);
    write_observations(message.observations, out);
    out.set_delta_withheld(message.delta_withheld);
}

gossip_request read(const pb::gossip_request& in) {
    return {read_entry(in.self()),
            read_entries_of(in.others()),
            {in.configuration_era(), in.configuration_through()},
            {in.endpoints_era(), in.endpoints_through()},
            read_parts_of(in.suspected_parts()),
            in.has_configuration_era() && in.has_endpoints_era(),
            read_observations(in.observations()),
            in.has_max_delta_bytes() ? std::optional{in.max_delta_bytes()} : std::nullopt,
            in.wants_versions()};
}

gossip_answer read(const pb::gossip_answer& in) {
    return {read_entry(in.self()),
            read_entries_of(in.others()),
            read_delta(in.configuration()),
            read_delta(in.endpoints()),
            read_parts_of(in.suspected_parts()),
            read_observations(in.observations()),
            in.delta_withheld()};
}

// All pieces of a group share the request, the key and the inputs, so these travel once.
void write(const make_pieces_request& message, pb::make_pieces_request& out) {
    out.set_from_address(message.from_address);
    out.set_asker(message.asker);
    out.set_ticket(message.ticket);
    out.set_service(message.service);
    const auto& group = message.group;
    for (const auto& piece : group.pieces) {
        auto& one = *out.add_pieces();
        one.set_stage(piece.stage);
        one.set_number(piece.number);
    }
    if (!group.pieces.empty()) {
        const auto& first = group.pieces.front();
        out.set_request_id(first.request_id);
        out.set_key(first.key);
        out.mutable_inputs()->Assign(first.inputs.begin(), first.inputs.end());
    }
    out.set_priority(group.priority);
    out.set_wanted_in_ms(as_count(message.wanted_in));
    out.set_useless_in_ms(as_count(message.useless_in));
    out.set_near_data_centre(group.near_data_centre);
    out.set_result_bytes(group.result_bytes);
    out.set_workspace(group.workspace);
}

result<request> read(const pb::make_pieces_request& in) {
    if (in.pieces().empty() || in.pieces_size() > most_pieces) {
        return malformed("pieces");
    }
    make_pieces_request read{in.from_address(), in.asker(), in.ticket(), in.service(), {}, {}, {}};
    for (const auto& one : in.pieces()) {
        read.group.pieces.push_back({in.request_id(),
                                     one.stage(),
                                     one.number(),
                                     in.key(),
                                     {in.inputs().begin(), in.inputs().end()}});
    }
    read.group.priority = in.priority();
    read.group.near_data_centre = in.near_data_centre();
    read.group.result_bytes = in.result_bytes();
    read.group.workspace = in.workspace();
    read.wanted_in = read_milliseconds(in.wanted_in_ms());
    read.useless_in = read_milliseconds(in.useless_in_ms());
    return request{std::move(read)};
}

void write(const make_pieces_answer& message, pb::make_pieces_answer& out) {
    out.set_accepted(message.accepted);
    out.set_expected_ms(as_count(message.expected));
    out.set_retry_after_ms(as_count(message.retry_after));
}

void write(const pieces_done_request& message, pb::pieces_done_request& out) {
    out.set_dispatcher(message.dispatcher);
    out.set_ticket(message.ticket);
    out.set_expired(message.expired);
    out.set_retry_after_ms(static_cast<std::uint64_t>(message.retry_after.count()));
    for (const auto& result : message.results) {
        auto& one = *out.add_results();
        one.set_outcome(static_cast<std::uint32_t>(result.outcome));
        one.set_handle(result.handle);
    }
}

result<request> read(const pb::pieces_done_request& in) {
    pieces_done_request read{
        in.dispatcher(), in.ticket(), in.expired(), {}, read_milliseconds(in.retry_after_ms())};
    for (const auto& one : in.results()) {
        if (one.outcome() > static_cast<std::uint32_t>(stages::piece_outcome::failed)) {
            return malformed("outcome");
        }
        read.results.push_back({static_cast<stages::piece_outcome>(one.outcome()), one.handle()});
    }
    return request{std::move(read)};
}

} // namespace boragefront::wire
