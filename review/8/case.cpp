// CONFIG and ROUTE: the operator takes away the last tenant, and with it the last key.
#include "../stand_ins_2/world.hpp"

#include <thread>

using namespace review;

namespace {

namespace json = boost::json;

constexpr int config_apply_ms = 2'000;

std::atomic<int>& runs() {
    static std::atomic<int> count{0};
    return count;
}

std::string configuration(int version, json::array tenants) {
    return json::serialize(json::object{
        {"version", version},
        {"routes", json::array{json::object{{"name", "order"},
                                            {"host", "order.example"},
                                            {"prefix", "/"},
                                            {"kind", "non_idempotent"},
                                            {"service", "orders"},
                                            {"timeout_ms", 800},
                                            {"target_latency_ms", 300},
                                            {"public", false},
                                            {"max_attempts", 1}}}},
        {"services", json::array{json::object{{"name", "orders"}, {"max_connections", 110}}}},
        {"limits", json::object{{"max_header_bytes", 16'384},
                                {"max_body_bytes", 4'194'304},
                                {"header_timeout_ms", 3'000},
                                {"idle_timeout_ms", 15'000}}},
        {"tenants", std::move(tenants)}});
}

json::object tenant(const char* name, const char* key) {
    return json::object{{"name", name}, {"api_keys", json::array{key}}};
}

// Sends an order. Returns whether a worker ran it.
bool order_runs(int port, const std::string& key) {
    const int before = runs();
    const auto answer =
        call(port,
             "POST /order HTTP/1.1\r\nHost: order.example\r\nBoragefront-Request-Id: " + key +
                 std::to_string(before) + "\r\nBoragefront-Deadline-Ms: 800\r\nApi-Key: " + key +
                 "\r\nContent-Length: 0\r\n\r\n",
             milliseconds{1'000});
    const bool ran = runs() > before;
    record("order with " + key + ": answered " +
           (answer ? std::to_string(answer->status()) : "none") +
           (ran ? ", run by a worker" : ", not run"));
    return ran;
}

} // namespace

int main(int argc, char** argv) {
    const auto folder = begin_case(argc, argv);
    static store platform;
    static server worker{[](connection& with, const message& request) {
        record("the worker runs an order of tenant \"" + request.header("boragefront-tenant-id") +
               '"');
        ++runs();
        return with.write(whole_answer(request.header("boragefront-request-id"), "confirmed"));
    }};
    platform.put("op/config", configuration(3, {tenant("shop", "shops-key")}));
    platform.put("servers/orders-1", registration_text({"orders", worker.address(), "a", 6}));
    static gateway entry{"entry-1", folder, platform.address()};
    entry.write_settings(8);
    entry.start();
    if (!entry.wait_until_ready()) {
        record("the gateway did not become ready");
        end_case(could_not_run);
    }
    if (!order_runs(entry.port(), "shops-key") || order_runs(entry.port(), "no-ones-key")) {
        record("the first configuration is not in force");
        end_case(could_not_run);
    }
    // Without the disruption another tenant stays.
    json::array left;
    if (!with_trouble()) {
        left.push_back(tenant("other", "others-key"));
    }
    platform.put("op/config", configuration(5, std::move(left)));
    record("version 5 is acknowledged: the tenant and its key are gone");
    std::this_thread::sleep_for(milliseconds{config_apply_ms + 1'000});
    bool broken = false;
    if (order_runs(entry.port(), "shops-key")) {
        record("CONFIG: run with a key that was dropped");
        broken = true;
    }
    if (order_runs(entry.port(), "no-ones-key")) {
        record("ROUTE: run with a key that no configuration ever held");
        broken = true;
    }
    end_case(broken ? rule_broken : rule_held);
}
