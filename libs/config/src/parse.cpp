#include "config/parse.hpp"

#include "field_reader.hpp"

#include <set>

namespace boragefront::config {
namespace {

namespace json = boost::json;
using word_of_state = std::pair<std::string_view, service_state>;
using word_of_lane = std::pair<std::string_view, lane>;
using word_of_kind = std::pair<std::string_view, endpoint_kind>;

constexpr std::array states{word_of_state{"in", service_state::in},
                            word_of_state{"out", service_state::out}};
constexpr std::array lanes{word_of_lane{"urgent", lane::urgent},
                           word_of_lane{"normal", lane::normal},
                           word_of_lane{"background", lane::background}};
constexpr std::array kinds{word_of_kind{"encoder", endpoint_kind::encoder},
                           word_of_kind{"retriever", endpoint_kind::retriever},
                           word_of_kind{"reranker", endpoint_kind::reranker},
                           word_of_kind{"engine", endpoint_kind::engine},
                           word_of_kind{"plain", endpoint_kind::plain}};

constexpr bounds<milliseconds> allowed_deadline{milliseconds{1}, milliseconds{3'600'000}};
constexpr bounds<unsigned> allowed_concurrency{1, 10'000};
constexpr bounds<unsigned> allowed_queue{0, 100'000};
constexpr bounds<unsigned> allowed_completions{1, 10'000};
constexpr bounds<double> allowed_slow_factor{1.0, 1'000.0};
constexpr bounds<unsigned> allowed_attempts{1, 10};
constexpr bounds<double> allowed_ratio{0.0, 1.0};
constexpr bounds<double> allowed_quantile{0.5, 0.999};
constexpr bounds<unsigned> allowed_prefix_bytes{1, 65'536};
constexpr bounds<double> allowed_load_bound{1.0, 100.0};
constexpr bounds<double> allowed_share{0.001, 1'000'000.0};
constexpr bounds<double> allowed_rate{0.0, 1'000'000.0};
constexpr bounds<unsigned> allowed_in_flight{0, 1'000'000};
constexpr std::size_t least_stages = 3;
constexpr std::size_t most_stages = 6;

void read_limits(field_reader& fields, limits& out) {
    fields.read("concurrency", out.concurrency, allowed_concurrency);
    fields.read("queue", out.queue, allowed_queue);
}

void read_ramp(field_reader& fields, ramp& out) {
    fields.read("cold_limit", out.cold_limit, allowed_concurrency);
    fields.read("completions_per_step", out.completions_per_step, allowed_completions);
    fields.read("slow_factor", out.slow_factor, allowed_slow_factor);
}

void read_retry(field_reader& fields, retry& out) {
    fields.read("max_attempts", out.max_attempts, allowed_attempts);
    fields.read("budget_ratio", out.budget_ratio, allowed_ratio);
}

void read_hedge(field_reader& fields, hedge& out) {
    fields.read("enabled", out.enabled);
    fields.read("quantile", out.quantile, allowed_quantile);
    fields.read("budget_ratio", out.budget_ratio, allowed_ratio);
}

void read_affinity(field_reader& fields, affinity& out) {
    fields.read("enabled", out.enabled);
    fields.read("prefix_bytes", out.prefix_bytes, allowed_prefix_bytes);
    fields.read("load_bound", out.load_bound, allowed_load_bound);
}

void read_spill(field_reader& fields, spill& out) {
    fields.read("enabled", out.enabled);
    fields.read("load_threshold", out.load_threshold, allowed_ratio);
}

typed_value read_profile(std::string name, field_reader& fields) {
    profile read;
    read.name = std::move(name);
    fields.read("deadline_ms", read.deadline, allowed_deadline);
    fields.read_choice("priority", read.priority, lanes);
    fields.read_object("limits", [&](auto& nested) { read_limits(nested, read.limit); });
    fields.read_object("ramp", [&](auto& nested) { read_ramp(nested, read.cold_start); });
    fields.read_object("retry", [&](auto& nested) { read_retry(nested, read.retries); });
    fields.read_object("hedge", [&](auto& nested) { read_hedge(nested, read.hedging); });
    fields.read_object("affinity",
                       [&](auto& nested) { read_affinity(nested, read.prefix_affinity); });
    fields.read_object("spill", [&](auto& nested) { read_spill(nested, read.spilling); });
    if (read.cold_start.cold_limit > read.limit.concurrency) {
        fields.faults().report("ramp.cold_limit",
                               "found " + std::to_string(read.cold_start.cold_limit) +
                                   "; allowed: at most limits.concurrency, which is " +
                                   std::to_string(read.limit.concurrency));
    }
    return read;
}

stage read_stage(const json::value& value, std::string path, fault_slot& faults) {
    stage read;
    field_reader fields{value, std::move(path), faults};
    fields.require("name", "a name");
    fields.require("pool", "the name of a pool");
    fields.read_name("name", read.name);
    fields.read_name("pool", read.pool);
    fields.finish();
    return read;
}

pipeline read_pipeline(field_reader& fields) {
    pipeline read;
    fields.require("stages", "an array of 3 to 6 stages");
    const auto* stages = fields.take("stages");
    if (stages == nullptr) {
        return read;
    }
    const auto* array = stages->if_array();
    if (array == nullptr || array->size() < least_stages || array->size() > most_stages) {
        const auto found =
            array == nullptr ? describe(*stages) : std::to_string(array->size()) + " stages";
        fields.faults().report("stages", "found " + found + "; allowed: an array of 3 to 6 stages");
        return read;
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto path = "stages[" + std::to_string(i) + ']';
        read.stages.push_back(read_stage((*array)[i], path, fields.faults()));
        if (!names.insert(read.stages.back().name).second) {
            fields.faults().report(path + ".name",
                                   "found " + read.stages.back().name +
                                       " a second time; allowed: a name for each stage");
        }
    }
    return read;
}

plain read_plain(field_reader& fields) {
    plain read;
    fields.require("pool", "the name of a pool");
    fields.read_name("pool", read.pool);
    return read;
}

typed_value read_service(std::string name, field_reader& fields) {
    enum class shape_kind : std::uint8_t { pipeline, plain };
    constexpr std::array shapes{
        std::pair<std::string_view, shape_kind>{"pipeline", shape_kind::pipeline},
        std::pair<std::string_view, shape_kind>{"plain", shape_kind::plain}};
    service read;
    read.name = std::move(name);
    auto kind = shape_kind::plain;
    fields.require("kind", "pipeline or plain");
    fields.read_choice("kind", kind, shapes);
    if (kind == shape_kind::pipeline) {
        read.shape = read_pipeline(fields);
    } else {
        read.shape = read_plain(fields);
    }
    fields.require("profile", "the name of a profile");
    fields.read_name("profile", read.profile);
    fields.read("repeatable", read.repeatable);
    return read;
}

typed_value read_pool(std::string name, field_reader& fields) {
    pool read;
    read.name = std::move(name);
    fields.require("kind", "a kind of endpoint");
    fields.read_choice("kind", read.kind, kinds);
    fields.require("profile", "the name of a profile");
    fields.read_name("profile", read.profile);
    return read;
}

workspace read_workspace(std::string name, field_reader& fields) {
    workspace read;
    read.name = std::move(name);
    fields.read("share", read.share, allowed_share);
    fields.read("rate", read.rate, allowed_rate);
    fields.read("max_in_flight", read.max_in_flight, allowed_in_flight);
    return read;
}

void check_workspace_name(const std::string& shard, const std::string& name, fault_slot& faults) {
    const auto path = "workspaces." + name;
    if (!is_name(name)) {
        faults.report(path, "found " + describe(json::value(name)) +
                                "; allowed: a name of letters, digits, '_', '-' and '.'");
    } else if (workspace_shard(name) != shard) {
        faults.report(path,
                      "found in shard " + shard + "; allowed: shard " + workspace_shard(name));
    }
}

typed_value read_workspaces(std::string shard, field_reader& fields) {
    workspace_shard_value read;
    read.shard = std::move(shard);
    fields.require("workspaces", "an object");
    const auto* found = fields.take("workspaces");
    if (found == nullptr) {
        return read;
    }
    const auto* object = found->if_object();
    if (object == nullptr) {
        fields.refuse("workspaces", *found, "an object");
        return read;
    }
    for (const auto& field : *object) {
        const std::string name{field.key()};
        check_workspace_name(read.shard, name, fields.faults());
        field_reader nested{field.value(), "workspaces." + name, fields.faults()};
        read.workspaces.push_back(read_workspace(name, nested));
        nested.finish();
    }
    return read;
}

service_state read_state(field_reader& fields) {
    auto state = service_state::in;
    fields.require("state", "in or out");
    fields.read_choice("state", state, states);
    return state;
}

typed_value read_data_centre(std::string name, field_reader& fields) {
    return data_centre_setting{std::move(name), read_state(fields)};
}

typed_value read_endpoint(std::string id, field_reader& fields) {
    return endpoint_setting{std::move(id), read_state(fields)};
}

using value_reader = typed_value (*)(std::string, field_reader&);
using reader_of_kind = std::pair<std::string_view, value_reader>;

constexpr std::array readers{
    reader_of_kind{"profiles", read_profile},
    reader_of_kind{"services", read_service},
    reader_of_kind{"pools", read_pool},
    reader_of_kind{"workspaces", read_workspaces},
    reader_of_kind{"data_centres", read_data_centre},
    reader_of_kind{"endpoints", read_endpoint},
};

value_reader reader_for(std::string_view kind) {
    for (const auto& [name, reader] : readers) {
        if (name == kind) {
            return reader;
        }
    }
    return nullptr;
}

bool is_shard(std::string_view name) {
    constexpr std::string_view digits = "0123456789abcdef";
    return name.size() == 2 && name[0] >= '0' && name[0] <= '3' &&
           digits.find(name[1]) != digits.npos;
}

result<json::value> parse_json(std::string_view key, std::string_view text) {
    if (text.size() > value_bytes_limit) {
        return make_error(error_kind::too_large,
                          "found " + std::to_string(text.size()) + " bytes; allowed: at most " +
                              std::to_string(value_bytes_limit),
                          std::string{key});
    }
    json::parse_options options;
    options.allow_comments = true;
    boost::json::error_code failure;
    auto value = json::parse(text, failure, {}, options);
    if (failure) {
        return make_error(error_kind::bad_request,
                          "found malformed JSON (" + failure.message() + "); allowed: an object",
                          std::string{key});
    }
    return value;
}

} // namespace

result<typed_value> parse_value(std::string_view key, std::string_view text) {
    const auto slash = key.find('/');
    const auto kind = key.substr(0, slash);
    const auto name = slash == key.npos ? std::string_view{} : key.substr(slash + 1);
    const auto reader = reader_for(kind);
    if (reader == nullptr || !is_name(name) || (kind == "workspaces" && !is_shard(name))) {
        return make_error(error_kind::bad_request,
                          "found an unknown key; allowed: profiles/, services/, pools/, "
                          "data_centres/ or endpoints/ with a name, or workspaces/00 to 3f",
                          std::string{key});
    }
    BOOST_OUTCOME_TRY(const auto value, parse_json(key, text));
    fault_slot faults{std::string{key}};
    field_reader fields{value, {}, faults};
    auto read = reader(std::string{name}, fields);
    fields.finish();
    if (faults.first()) {
        return *faults.first();
    }
    return read;
}

} // namespace boragefront::config
