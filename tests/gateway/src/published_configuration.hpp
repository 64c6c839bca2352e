/// \file
/// The configuration that operators publish in the tests of the gateway.
#pragma once

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace boragefront::gateway_tests {

/// \param plain_service that host "plain.example" goes to.
/// \param version of the configuration; operators count it up.
inline std::string configuration_text(const std::string& plain_service, unsigned version = 7) {
    std::string text = R"({"version":VERSION,"routes":[
 {"name":"plain","host":"plain.example","prefix":"/","kind":"idempotent","service":"PLAIN",
  "timeout_ms":3000,"target_latency_ms":500,"max_attempts":2},
 {"name":"order","host":"order.example","prefix":"/","kind":"non_idempotent","service":"orders",
  "timeout_ms":3000,"target_latency_ms":500,"max_attempts":1},
 {"name":"stream","host":"stream.example","prefix":"/","kind":"streaming","service":"model",
  "stream_resume":true,"timeout_ms":9000,"target_latency_ms":1000,"max_attempts":2,
  "gap_aim_ms":400},
 {"name":"once","host":"once.example","prefix":"/","kind":"streaming","service":"model",
  "timeout_ms":9000,"target_latency_ms":1000,"max_attempts":1,"gap_aim_ms":400},
 {"name":"staged","host":"staged.example","prefix":"/","kind":"streaming","service":"model",
  "stream_resume":true,"timeout_ms":9000,"target_latency_ms":2000,"max_attempts":2,
  "stages":[{"service":"first","after":[],"bytes":1000},
            {"service":"second","after":[0],"bytes":1000}]},
 {"name":"staged-once","host":"staged-once.example","prefix":"/","kind":"streaming",
  "service":"model","timeout_ms":9000,"target_latency_ms":2000,"max_attempts":1,
  "stages":[{"service":"first","after":[],"bytes":1000},
            {"service":"second","after":[0],"bytes":1000}]},
 {"name":"parallel","host":"parallel.example","prefix":"/","kind":"streaming","service":"model",
  "stream_resume":true,"timeout_ms":9000,"target_latency_ms":2000,"max_attempts":2,
  "stages":[{"service":"first","after":[],"bytes":1000},
            {"service":"second","after":[],"bytes":1000}]}],
 "services":[{"name":"plain","health_path":"/healthz"},{"name":"other","health_path":"/healthz"},
  {"name":"orders","health_path":"/healthz"},{"name":"model","health_path":"/healthz"},
  {"name":"first","pieces":{"slots":1,"batch":4,"call_ms":5,"item_ms":1,"handle_s":4}},
  {"name":"second","pieces":{"slots":1,"batch":4,"call_ms":5,"item_ms":1,"handle_s":4}}],
 "tenants":[{"name":"team","api_keys":["key"]}]})";
    text.replace(text.find("PLAIN"), 5, plain_service);
    text.replace(text.find("VERSION"), 7, std::to_string(version));
    return text;
}

/// A configuration whose routes still name a service that it does not have.
inline std::string without_service(const std::string& text, std::string_view service) {
    auto value = boost::json::parse(text);
    auto& services = value.at("services").as_array();
    for (auto next = services.begin(); next != services.end();) {
        next = next->at("name").as_string() == service ? services.erase(next) : next + 1;
    }
    return boost::json::serialize(value);
}

/// A configuration in which a service takes no stage work.
inline std::string without_pieces(const std::string& text, std::string_view service) {
    auto value = boost::json::parse(text);
    for (auto& one : value.at("services").as_array()) {
        if (one.at("name").as_string() == service) {
            one.as_object().erase("pieces");
        }
    }
    return boost::json::serialize(value);
}

/// A configuration that limits the bodies of requests to `bytes`.
inline std::string with_body_limit(const std::string& text, std::size_t bytes) {
    auto value = boost::json::parse(text);
    value.as_object()["limits"] = {{"max_body_bytes", bytes}};
    return boost::json::serialize(value);
}

/// A configuration with another list of workspaces, given as JSON.
inline std::string with_workspaces(const std::string& text, std::string_view workspaces) {
    auto value = boost::json::parse(text);
    value.as_object()["tenants"] = boost::json::parse(workspaces);
    return boost::json::serialize(value);
}

} // namespace boragefront::gateway_tests
