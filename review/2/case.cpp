// Machines freeze for half a second and wake again, one after the other. One that has been awake
// for `contact_ms` must answer requests, or refuse them, by the timeout of their route.
#include "../stand_ins/stand_ins.hpp"

#include <boost/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;
namespace json = boost::json;

constexpr int gateways = 4;
constexpr int stage_services = 3;
constexpr int stage_workers = 5; // of each service
constexpr int model_workers = 3;
constexpr int order_workers = 3;
constexpr int callers = 40;
constexpr milliseconds call_time{150};
constexpr milliseconds piece_time{2};
constexpr milliseconds order_work{15};
constexpr milliseconds prefill_time{20};
constexpr milliseconds freeze_time{400};
constexpr milliseconds freeze_gap{100};
constexpr milliseconds contact_time{3'000};   // `contact_ms`
constexpr milliseconds route_timeout{2'000};  // `timeout_ms` of the route of orders
constexpr milliseconds answer_tolerance{500}; // by the rule
constexpr milliseconds grace_time{8'000};     // `grace_s`
constexpr milliseconds run_time{84'000};
constexpr int probes = 8;

constexpr auto config = R"({"version":7,"routes":[
 {"name":"order","host":"order.example","prefix":"/","kind":"non_idempotent","service":"orders",
  "timeout_ms":2000,"target_latency_ms":100,"max_attempts":1,"priority":2,"public":false},
 {"name":"sheet","host":"sheet.example","prefix":"/","kind":"streaming","service":"model",
  "timeout_ms":6000,"target_latency_ms":920,"max_attempts":2,"priority":0,"public":false,
  "stages":[{"service":"first","after":[],"bytes":3000},{"service":"second","after":[],
  "bytes":3000},{"service":"third","after":[],"bytes":3000}],"stream_resume":true,"gap_aim_ms":400,
  "session_affinity":true}],
 "services":[
 {"name":"orders","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0},
 {"name":"model","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_capacity_tokens":232000}},
 {"name":"first","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0,"pieces":{"slots":1,"queue":2,"batch":60,"call_ms":150.0,
  "item_ms":2.1,"room_mb":36.0,"handle_s":4.0,"link_mbps":10000}},
 {"name":"second","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0,"pieces":{"slots":1,"queue":2,"batch":60,"call_ms":150.0,
  "item_ms":2.1,"room_mb":36.0,"handle_s":4.0,"link_mbps":10000}},
 {"name":"third","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,
  "cold_start_s":0.0,"cold_per_s":0.0,"pieces":{"slots":1,"queue":2,"batch":60,"call_ms":150.0,
  "item_ms":2.1,"room_mb":36.0,"handle_s":4.0,"link_mbps":10000}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"team","api_keys":["key"],"priority":1}]})";

std::string request_text(const std::string& host, const std::string& id, milliseconds limit) {
    return "POST /x HTTP/1.1\r\nHost: " + host + "\r\nBoragefront-Request-Id: " + id +
           "\r\nBoragefront-Model: m\r\nBoragefront-Token-Usage: 100,50"
           "\r\nBoragefront-Prefix-Hash: a1:50,b" +
           id + ":50\r\nBoragefront-Deadline-Ms: " + std::to_string(limit.count()) +
           "\r\nApi-Key: key\r\nBoragefront-Pieces: 1,1,1\r\nBoragefront-Piece-Key: k" + id +
           "\r\nContent-Length: 2\r\n\r\nhi";
}

// Sends orders to one machine at once. Returns how many have no answer at the timeout of their
// route and the tolerance after it.
int count_unanswered(const gateway& entry, const std::string& prefix, record& notes) {
    std::atomic<int> unanswered{0};
    std::vector<std::thread> threads;
    threads.reserve(probes);
    for (int n = 0; n < probes; ++n) {
        threads.emplace_back([&, n] {
            const auto id = prefix + "-" + std::to_string(n);
            const auto with = connection::open(entry.port());
            message out;
            if (with == nullptr) {
                ++unanswered;
                return;
            }
            with->set_timeout(route_timeout + answer_tolerance);
            if (!with->write(request_text("order.example", id, 2 * route_timeout)) ||
                !with->read(out)) {
                ++unanswered;
                notes.add("no answer to " + id + " half a second after the route's timeout");
            }
        });
    }
    for (auto& one : threads) {
        one.join();
    }
    return unanswered;
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 3) {
        return 2;
    }
    const std::string folder = argv[1];
    const std::string temporary = argv[2];
    const auto started = steady::now();
    record notes{folder + "/record.txt"};
    store platform;
    std::atomic<int> next_handle{0};
    std::vector<std::unique_ptr<listener>> workers;
    std::vector<std::unique_ptr<std::mutex>> slots;
    const std::vector<std::string> stage_names{"first", "second", "third"};
    for (int i = 0; i < stage_services * stage_workers; ++i) {
        auto& slot = *slots.emplace_back(std::make_unique<std::mutex>());
        workers.push_back(std::make_unique<listener>([&](connection& with) {
            for (message call; with.read(call);) {
                if (call.path() == "/-/stage-free") {
                    with.write(answer(200, "", ""));
                    continue;
                }
                const auto body = json::parse(call.body).as_object();
                const auto count = body.at("items").as_array().size();
                json::array items;
                {
                    const std::scoped_lock busy{slot};
                    std::this_thread::sleep_for(call_time + piece_time * count);
                }
                for (std::size_t n = 0; n < count; ++n) {
                    items.push_back(
                        json::object{{"handle", "127.0.0.1:1/" + std::to_string(++next_handle)}});
                }
                with.write(answer(200, "Content-Type: application/json\r\n",
                                  json::serialize(json::object{{"items", items}})));
            }
        }));
        platform.put("servers/s-" + std::to_string(i),
                     registration(stage_names.at(static_cast<std::size_t>(i % stage_services)),
                                  workers.back()->address(), 1));
    }
    for (int i = 0; i < model_workers + order_workers; ++i) {
        const bool model = i < model_workers;
        workers.push_back(std::make_unique<listener>([model](connection& with) {
            for (message call; with.read(call);) {
                const auto id = call.header("boragefront-request-id");
                std::this_thread::sleep_for(model ? prefill_time : order_work);
                with.write(answer(200,
                                  join({"Boragefront-Request-Id: ", id,
                                        "\r\nBoragefront-Response-Signature: s.", id, "\r\n"}),
                                  "id: 1\ndata: " + id + "\n\n"));
            }
        }));
        platform.put(
            "servers/w-" + std::to_string(i),
            registration(model ? "model" : "orders", workers.back()->address(), model ? 64 : 6));
    }
    platform.put("op/config", config);
    std::vector<std::uint16_t> control_ports;
    std::vector<std::string> seeds;
    for (int i = 0; i < gateways; ++i) {
        control_ports.push_back(free_port());
        seeds.push_back("127.0.0.1:" + std::to_string(control_ports.back()));
    }
    seeds.resize(3);
    std::vector<std::unique_ptr<gateway>> entries;
    entries.reserve(gateways);
    for (int i = 0; i < gateways; ++i) {
        entries.push_back(std::make_unique<gateway>("entry-" + std::to_string(i), temporary,
                                                    platform.address(), seeds,
                                                    control_ports[static_cast<std::size_t>(i)]));
    }
    for (const auto& one : entries) {
        if (!one->wait_ready(milliseconds{10'000})) {
            std::cerr << "a program did not become ready\n";
            return 2;
        }
    }
    std::atomic<bool> stopped{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int n = caller; !stopped; ++n) {
                const auto with =
                    connection::open(entries[static_cast<std::size_t>(n % gateways)]->port());
                message out;
                const auto id = "sheet-" + std::to_string(caller) + "-" + std::to_string(n);
                if (with != nullptr) {
                    with->set_timeout(milliseconds{2'500});
                    const bool whole =
                        with->write(request_text("sheet.example", id, milliseconds{6'000})) &&
                        with->read(out);
                    answered += whole && out.status() == 200 ? 1 : 0;
                }
            }
        });
    }
    int freezes = 0;
    int hung = 0;
    for (int round = 0; hung == 0 && steady::now() - started < run_time; ++round) {
        for (int n = 0; n < 2 * gateways; ++n) {
            const auto i = n % gateways;
            if (has_trouble()) {
                notes.add("machine " + std::to_string(i) + " freezes");
                entries[static_cast<std::size_t>(i)]->signal(SIGSTOP);
                ++freezes;
            }
            std::this_thread::sleep_for(freeze_time);
            entries[static_cast<std::size_t>(i)]->signal(SIGCONT);
            std::this_thread::sleep_for(freeze_gap);
        }
        std::this_thread::sleep_for(contact_time);
        for (int i = 0; i < gateways; ++i) {
            const auto& entry = *entries[static_cast<std::size_t>(i)];
            const auto prefix = "order-" + std::to_string(round) + "-" + std::to_string(i);
            const auto unanswered = count_unanswered(entry, prefix, notes);
            notes.add("machine " + std::to_string(i) + " left " + std::to_string(unanswered) +
                      " of " + std::to_string(probes) + " orders without an answer");
            if (unanswered * 2 > probes) {
                ++hung;
            }
            if (unanswered * 2 > probes && hung == 1) {
                entry.signal(SIGTERM);
                std::this_thread::sleep_for(grace_time);
                notes.add("machine " + std::to_string(i) + " was sent SIGTERM and " +
                          (entry.end() ? "ended" : "still runs at the end of its grace"));
            }
        }
    }
    stopped = true;
    const auto summary = std::to_string(answered) + " sheets answered, " + std::to_string(freezes) +
                         " freezes, " + std::to_string(hung) + " machines that answer nothing";
    notes.add(summary);
    std::cout << summary << std::endl;
    for (const auto& one : entries) {
        one->stop();
    }
    std::_Exit(hung > 0 ? 1 : 0); // the stand-ins' threads still run
}
