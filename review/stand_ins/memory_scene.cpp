#include "memory_scene.hpp"

#include <csignal>

namespace review {
namespace {

constexpr int order_workers = 3;
constexpr int order_callers = 12;
constexpr milliseconds order_work{60};
constexpr milliseconds supervision_interval{2};

} // namespace

memory_scene::memory_scene(store& platform, record& notes) : notes_{notes} {
    for (int i = 0; i < order_workers; ++i) {
        workers_.push_back(std::make_unique<listener>([this](connection& with) { serve(with); }));
        platform.put("servers/o-" + std::to_string(i),
                     registration("orders", workers_.back()->address(), 6));
    }
}

void memory_scene::serve(connection& with) {
    for (message call; with.read(call);) {
        const auto id = call.header("boragefront-request-id");
        {
            const std::scoped_lock lock{mutex_};
            reached_[id] = true;
        }
        std::this_thread::sleep_for(order_work);
        if (!with.write(answer(200,
                               join({"Boragefront-Request-Id: ", id,
                                     "\r\nBoragefront-Response-Signature: s.", id, "\r\n"}),
                               "ordered " + id))) {
            return;
        }
    }
}

void memory_scene::call(const gateway& entry, int caller) {
    const auto with = connection::open(entry.port());
    for (int n = 0; with != nullptr && !stopped_; ++n) {
        const auto id = "order-" + std::to_string(caller) + "-" + std::to_string(n);
        message out;
        const bool whole =
            with->write("POST /x HTTP/1.1\r\nHost: order.example\r\nBoragefront-Request-Id: " + id +
                        "\r\nBoragefront-Deadline-Ms: 600\r\nApi-Key: key\r\n"
                        "Content-Length: 5\r\n\r\norder") &&
            with->read(out);
        if (whole) {
            ++answered_;
            continue;
        }
        const std::scoped_lock lock{mutex_};
        const bool reached = reached_.contains(id);
        notes_.add("no answer to " + id + (reached ? ", which reached a worker" : "") +
                   (n > 0 ? ", on a kept connection" : ""));
        lost_ += reached && n > 0 ? 1 : 0;
        return;
    }
}

void memory_scene::supervise(gateway& entry) {
    while (!stopped_ && !entry.end()) {
        const auto used = entry.resident_kilobytes();
        peak_ = std::max<std::size_t>(peak_, used);
        if (used > memory_limit_kb) {
            notes_.add("the program uses " + std::to_string(used) +
                       " KiB, more than its limit, and is killed");
            killed_ = true;
            entry.signal(SIGKILL);
            return;
        }
        std::this_thread::sleep_for(supervision_interval);
    }
}

void memory_scene::start(gateway& entry) {
    for (int caller = 0; caller < order_callers; ++caller) {
        threads_.emplace_back([this, &entry, caller] { call(entry, caller); });
    }
    threads_.emplace_back([this, &entry] { supervise(entry); });
}

int memory_scene::finish() {
    stopped_ = true;
    for (auto& one : threads_) {
        one.join();
    }
    return lost_;
}

std::string memory_configuration() {
    return R"({"version":7,"routes":[
 {"name":"order","host":"order.example","prefix":"/","kind":"non_idempotent","service":"orders",
  "timeout_ms":5000,"target_latency_ms":500,"max_attempts":1,"priority":2,"public":false},
 {"name":"chat","host":"chat.example","prefix":"/","kind":"streaming","service":"model",
  "timeout_ms":6000,"target_latency_ms":920,"max_attempts":2,"priority":0,"public":false,
  "stream_resume":true,"gap_aim_ms":400,"session_affinity":true}],
 "services":[
 {"name":"orders","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0},
 {"name":"model","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_capacity_tokens":486721}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"team","api_keys":["key"],"priority":1}]})";
}

} // namespace review
