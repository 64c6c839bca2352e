/// \file
/// The settings of one daemon, read from a file of JSON with comments.
#pragma once

#include "base/error.hpp"
#include "base/logging.hpp"
#include "base/time.hpp"

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragefront::settings {

/// Settings of an entry.
struct entry_settings {
    unsigned traffic_threads{2};
    milliseconds readiness_grace{2'000}; ///< from SIGTERM until callers are refused
    std::size_t body_bytes{1U << 20U};   ///< largest request body
};

/// Settings of a sidecar.
struct sidecar_settings {
    std::string pool;             ///< the pool that its endpoint serves
    std::string endpoint_address; ///< "ip:port" of its endpoint
};

/// Settings of a gateway: an entry that sends requests straight to their endpoints.
struct gateway_settings {
    std::string ready_address;   ///< "ip:port" at which it tells whether it takes connections
    std::string work_address;    ///< "ip:port" at which it takes stage work of other entries
    std::string metrics_address; ///< "ip:port" of its metrics; empty: none
    std::map<std::string, std::string> region_of; ///< data centre -> region
    milliseconds grace{8'000};                    ///< from SIGTERM until the process is killed
    double retry_ratio{0.2};                      ///< most repeated sends per request
    double retry_slack{50};                       ///< repeated sends beyond that, of all entries
    milliseconds retry_window{10'000};            ///< over which these two hold
    double cold_tolerance{1.5};                   ///< a cold endpoint bears its rate times this ...
    double cold_slack{5};                         ///< ... and so many requests more, in any second
    double processors{1};                         ///< its share of processor cores
    double link_mbps{0};                          ///< bandwidth of its network link; 0: unknown
    unsigned log_lines_per_second{400};           ///< of decisions; others are counted and left out
    std::size_t message_bytes{96U << 20U};        ///< memory for bodies of requests and responses
};

/// Settings of every role.
struct daemon_settings {
    std::string id;
    std::string data_centre;
    std::string data_address;            ///< "ip:port" of its HTTP server
    std::string control_address;         ///< "ip:port" of its control server
    std::string platform_address;        ///< "ip:port" of the platform's service
    std::vector<std::string> seed_peers; ///< control addresses to ask before the list is known
    log_format logs{log_format::key_value};
    milliseconds drain_timeout{30'000}; ///< the most that a graceful shutdown may take
    std::variant<entry_settings, sidecar_settings, gateway_settings> role;
};

/// Reads settings from text.
/// \returns `bad_request` whose field is the path of the fault and whose detail says what was
/// found and what is allowed.
result<daemon_settings> parse(std::string_view text);

/// Reads settings from a file.
/// \returns errors as `parse`; the detail begins with the file's name and the field's path.
result<daemon_settings> load(const std::filesystem::path& file);

} // namespace boragefront::settings
