// A worker's answer without a length is reset on the way, while the request is also at a second
// worker, which is full and turns it away. The requester must not get the part as a whole answer.
#include "../stand_ins_3/world.hpp"

#include <iostream>

namespace {

using namespace review;

constexpr milliseconds usual_work{15};
constexpr milliseconds reset_after{200}; // since the first half of the answer
constexpr milliseconds silence{700};     // without the disruption, the same pause ends by itself
constexpr milliseconds full_for{350};    // until the second worker turns the request away
constexpr milliseconds between_tests{1'500};
constexpr int time_left_ms = 3'000;
constexpr int sound_requests = 40;
constexpr int tested_requests = 10;

std::string half(const std::string& id, char letter) {
    return id + std::string(2'000, letter);
}

std::string whole(const std::string& id) {
    return half(id, 'a') + half(id, 'b');
}

class worker {
public:
    worker(std::string name, record& log)
        : name_{std::move(name)}, log_{log}, server_{
                                                 [this](connection& caller) { serve(caller); }} {}

    std::uint16_t port() const { return server_.port(); }
    const std::string& name() const { return name_; }

    /// How often requests have arrived, at all workers.
    static int count_arrival(const std::string& id) {
        static std::mutex mutex;
        static std::map<std::string, int> arrivals;
        const std::scoped_lock lock{mutex};
        return ++arrivals[id];
    }

private:
    void serve(connection& caller) {
        const auto call = caller.read_request();
        if (call.end != read_end::complete) {
            return;
        }
        const auto id = call.content.get("Boragefront-Request-Id");
        const int arrival = count_arrival(id);
        const bool tested = id.rfind("tested", 0) == 0;
        const std::string marks = "Boragefront-Request-Id: " + id +
                                  "\r\nBoragefront-Response-Signature: of-" + id +
                                  "\r\nConnection: close\r\n\r\n";
        if (tested && arrival > 1) {
            log_.write(name_ + " is full as " + id + " arrives");
            caller.pause(full_for);
            caller.send("HTTP/1.1 503 Service Unavailable\r\nBoragefront-Not-Executed: 1\r\n"
                        "Content-Length: 0\r\nBoragefront-Request-Id: " +
                        id + "\r\nConnection: close\r\n\r\n");
            log_.write(name_ + " has turned " + id + " away");
            return;
        }
        caller.pause(usual_work);
        caller.send("HTTP/1.1 200 OK\r\n" + marks + half(id, 'a'));
        if (tested && !without_trouble()) {
            log_.write(name_ + " has sent the first half of " + id);
            caller.pause(reset_after);
            log_.write(name_ + " resets the connection of " + id);
            caller.reset();
            return;
        }
        if (tested) {
            caller.pause(silence);
        }
        caller.send(half(id, 'b'));
    }

    std::string name_;
    record& log_;
    server server_;
};

} // namespace

int main(int argc, char** argv) {
    const auto directory = case_directory(argc, argv);
    record log{directory + "/record.txt"};
    store platform;
    worker first{"worker-1", log};
    worker second{"worker-2", log};
    platform.put("op/config", configuration("idempotent", R"(,"max_connections":360)",
                                            R"(,"timeout_ms":3000,"target_latency_ms":100,)"
                                            R"("max_attempts":2)"));
    platform.put("servers/i-1", registration(first.port(), 6, 1));
    platform.put("servers/i-2", registration(second.port(), 6, 1));
    const gateway entry{platform, {"front-1", 0, directory}};
    if (!entry.wait_until_ready(milliseconds{10'000})) {
        log.write("the gateway is not ready");
        return 2;
    }
    const auto ask = [&](const std::string& id) {
        const auto caller = connection::open(entry.port(), milliseconds{1'000});
        if (caller == nullptr || !caller->send(request_text(id, "", time_left_ms))) {
            return received{};
        }
        return caller->read_response(steady_clock::now() + milliseconds{time_left_ms + 1'000});
    };
    for (int i = 0; i < sound_requests; ++i) {
        const auto id = "sound-" + std::to_string(i);
        const auto answer = ask(id);
        if (answer.content.status() != 200 || answer.content.body != whole(id)) {
            log.write(id + " got " + std::to_string(answer.content.status()) + " before the test");
            return 2;
        }
    }
    int broken = 0;
    int unanswered = 0;
    for (int i = 0; i < tested_requests; ++i) {
        std::this_thread::sleep_for(between_tests);
        (void)ask("between-" + std::to_string(i));
        const auto id = "tested-" + std::to_string(i);
        const auto answer = ask(id);
        const bool success = answer.content.status() == 200 && answer.end == read_end::complete;
        const bool partial = success && answer.content.body != whole(id);
        log.write("requester: " + id + " got status " + std::to_string(answer.content.status()) +
                  ", " + std::to_string(answer.content.body.size()) + " of " +
                  std::to_string(whole(id).size()) + " bytes, " +
                  (answer.content.status() == 200 ? "" : answer.content.body + ", ") +
                  std::string{to_string(answer.end)} + ", signature '" +
                  answer.content.get("Boragefront-Response-Signature") + "'" +
                  (partial ? "  MIXED: not the whole body" : ""));
        broken += partial ? 1 : 0;
        unanswered += answer.content.status() == 0 ? 1 : 0;
    }
    log.write("partial bodies as complete answers: " + std::to_string(broken) + " of " +
              std::to_string(tested_requests));
    if (without_trouble() && (broken > 0 || unanswered > 0)) {
        return 1;
    }
    return broken > 0 ? 1 : 0;
}
