/// \file
/// The configuration that operators publish in the tests of the gateway.
#pragma once

#include <string>

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
 {"name":"parallel","host":"parallel.example","prefix":"/","kind":"streaming","service":"model",
  "stream_resume":true,"timeout_ms":9000,"target_latency_ms":2000,"max_attempts":2,
  "stages":[{"service":"first","after":[],"bytes":1000},
            {"service":"second","after":[],"bytes":1000}]}],
 "services":[{"name":"plain"},{"name":"other"},{"name":"orders"},{"name":"model"},
  {"name":"first","pieces":{"slots":1,"batch":4,"call_ms":5,"item_ms":1,"handle_s":4}},
  {"name":"second","pieces":{"slots":1,"batch":4,"call_ms":5,"item_ms":1,"handle_s":4}}],
 "tenants":[{"name":"team","api_keys":["key"]}]})";
    text.replace(text.find("PLAIN"), 5, plain_service);
    text.replace(text.find("VERSION"), 7, std::to_string(version));
    return text;
}

} // namespace boragefront::gateway_tests
