/// \file
/// `explain`: which endpoints of a pool an entry would choose, and why not the others.
#include "command.hpp"
#include "peers/peers.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <map>

namespace boragefront::ctl {
namespace {

namespace json = boost::json;

constexpr int id_width = 30;
constexpr int data_centre_width = 14;
constexpr int number_width = 9;

// What an entry's dump tells of one endpoint.
struct explained_endpoint {
    std::string id;
    std::string data_centre;
    std::string verdict; ///< "none" if it may be chosen
    std::int64_t limit{0};
    std::int64_t own_in_flight{0};
    std::int64_t reported_queued{0};
    std::string heard_ms_ago; ///< "-" if it has not told of its load
};

std::string text_at(const json::object& from, std::string_view name) {
    return json::value_to<std::string>(from.at(name));
}

// \throws if a member is absent or of another type.
explained_endpoint read_endpoint(const json::object& from) {
    const auto& heard = from.at("heard_ms_ago");
    return {text_at(from, "id"),
            text_at(from, "data_centre"),
            text_at(from, "not_chosen_because"),
            from.at("limit").to_number<std::int64_t>(),
            from.at("own_in_flight").to_number<std::int64_t>(),
            from.at("reported_queued").to_number<std::int64_t>(),
            heard.is_null() ? "-" : std::to_string(heard.to_number<std::int64_t>())};
}

std::map<std::string, std::string> pools_by_instance(const json::value& dump) {
    std::map<std::string, std::string> pools;
    for (const auto& instance : dump.at("instances").at("believed").as_array()) {
        pools.emplace(text_at(instance.as_object(), "id"), text_at(instance.as_object(), "pool"));
    }
    return pools;
}

// Whom the entry lets in. Empty if it does not tell, as processes of other roles and versions.
std::string read_api_keys(const json::value& dump) {
    const auto& state = dump.at("role_state").as_object();
    const auto* const needed = state.if_contains("needs_api_keys");
    if (needed == nullptr) {
        return {};
    }
    const auto number = [&](std::string_view name) {
        return std::to_string(state.at(name).to_number<std::int64_t>());
    };
    return needed->as_bool() ? "API keys: needed (accepted: " + number("api_keys") +
                                   ", workspaces: " + number("workspaces") + ")"
                             : "API keys: not needed";
}

std::vector<explained_endpoint> read_pool(const json::value& dump, const std::string& pool) {
    const bool names_pools = dump.as_object().contains("instances");
    const auto pools = names_pools ? pools_by_instance(dump) : std::map<std::string, std::string>{};
    std::vector<explained_endpoint> found;
    for (const auto& member : dump.at("role_state").at("endpoints").as_array()) {
        auto endpoint = read_endpoint(member.as_object());
        const auto known = pools.find(endpoint.id);
        // A gateway's endpoints name their pool themselves.
        const auto& own_pool = names_pools ? (known == pools.end() ? std::string{} : known->second)
                                           : text_at(member.as_object(), "pool");
        if (own_pool == pool) {
            found.push_back(std::move(endpoint));
        }
    }
    return found;
}

struct explained_pool {
    std::string api_keys;
    std::vector<explained_endpoint> endpoints;
};

// The dump comes from another process, perhaps of another version.
result<explained_pool> parse_pool(const std::string& text, const std::string& pool) {
    try {
        const auto dump = json::parse(text);
        return explained_pool{read_api_keys(dump), read_pool(dump, pool)};
    } catch (const std::exception& fault) {
        return make_error(error_kind::internal,
                          std::string{"this is not the dump of an entry: "} + fault.what());
    }
}

std::string_view verdict_text(const explained_endpoint& endpoint) {
    return endpoint.verdict == "none" ? "may be chosen" : std::string_view{endpoint.verdict};
}

void write_table(std::ostream& out, const std::vector<explained_endpoint>& endpoints) {
    out << std::left << std::setw(id_width) << "ENDPOINT" << std::setw(data_centre_width)
        << "DATA CENTRE" << std::right << std::setw(number_width) << "LIMIT"
        << std::setw(number_width) << "OWN" << std::setw(number_width) << "QUEUED"
        << std::setw(number_width) << "HEARD ms"
        << "  VERDICT\n";
    for (const auto& endpoint : endpoints) {
        out << std::left << std::setw(id_width) << endpoint.id << std::setw(data_centre_width)
            << endpoint.data_centre << std::right << std::setw(number_width) << endpoint.limit
            << std::setw(number_width) << endpoint.own_in_flight << std::setw(number_width)
            << endpoint.reported_queued << std::setw(number_width) << endpoint.heard_ms_ago << "  "
            << verdict_text(endpoint) << '\n';
    }
}

} // namespace

exit_status explain(const command_line& line, const command_output& output) {
    if (line.arguments.size() != 2) {
        return refuse(output, "explain takes an entry's control address and a pool");
    }
    const auto& peer = line.arguments[0];
    const auto answer =
        peers::call_one<wire::dump_answer>(peer, wire::dump_request{}, line.call_timeout);
    if (!answer) {
        refuse(output, peer + ": " + to_string(answer.error()));
        return exit_status::amiss;
    }
    const auto explained = parse_pool(answer.value().json, line.arguments[1]);
    if (!explained) {
        refuse(output, peer + ": " + to_string(explained.error()));
        return exit_status::amiss;
    }
    const auto& [api_keys, endpoints] = explained.value();
    if (!api_keys.empty()) {
        output.out << api_keys << '\n';
    }
    write_table(output.out, endpoints);
    if (endpoints.empty()) {
        output.errors << peer << " knows no endpoint of pool " << line.arguments[1] << '\n';
    }
    return endpoints.empty() ? exit_status::amiss : exit_status::good;
}

} // namespace boragefront::ctl
