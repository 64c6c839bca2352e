#include "poison_scene.hpp"

#include <algorithm>

namespace review {
namespace {

constexpr std::size_t worker_count = 8;
constexpr int slots = 64;
constexpr milliseconds back_after{3'000};        // a crashed worker is back
constexpr milliseconds registration_ends{3'600}; // three liveness reports of 1,200 ms
constexpr milliseconds contact{3'000};           // contact_ms
constexpr milliseconds before_poison{4'000};
constexpr milliseconds first_token{60};
constexpr milliseconds between_events{30};
constexpr int events = 5;
constexpr int time_left_ms = 5'000;
constexpr std::size_t crashes_before_rule = 5;
constexpr int allowed_after = 3;
constexpr std::string_view crashing_part = "badbad01";

std::string chunk(const std::string& text) {
    constexpr std::string_view digits = "0123456789abcdef";
    return std::string{digits[text.size() / 16 % 16]} + digits[text.size() % 16] + "\r\n" + text +
           "\r\n";
}

std::string event(int number) {
    return "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n";
}

// What the workers have seen.
class journal {
public:
    explicit journal(record& log) : log_{log} {}

    void arrived(const std::string& worker, const std::string& request) {
        const std::scoped_lock lock{mutex_};
        arrivals_.push_back(steady_clock::now());
        log_.write(worker + " begins " + request);
    }
    void crashed(const std::string& worker, const std::string& request) {
        const std::scoped_lock lock{mutex_};
        crashes_.push_back(steady_clock::now());
        log_.write(worker + " crashes on " + request + ", crash " +
                   std::to_string(crashes_.size()));
    }
    std::size_t crashes() const {
        const std::scoped_lock lock{mutex_};
        return crashes_.size();
    }
    // Requests with the part that arrived later than `contact` after the fifth crash.
    int arrivals_under_rule() const {
        const std::scoped_lock lock{mutex_};
        if (crashes_.size() < crashes_before_rule) {
            return 0;
        }
        const auto from = crashes_[crashes_before_rule - 1] + contact;
        return static_cast<int>(std::count_if(arrivals_.begin(), arrivals_.end(),
                                              [&](time_point at) { return at > from; }));
    }

private:
    record& log_;
    mutable std::mutex mutex_;
    std::vector<time_point> arrivals_;
    std::vector<time_point> crashes_;
};

// One lifetime of a model worker.
class engine {
public:
    engine(std::string id, crash_point crash_at, journal& seen)
        : id_{std::move(id)}, crash_at_{crash_at}, seen_{seen}, server_{[this](connection& caller) {
              serve(caller);
          }} {}

    const std::string& id() const { return id_; }
    std::uint16_t port() const { return server_.port(); }
    bool crashed() const { return crashed_; }
    void stop() { server_.stop(); }

private:
    void serve(connection& caller) {
        while (!crashed_) {
            const auto call = caller.read_request();
            if (call.end != read_end::complete) {
                return;
            }
            if (crashed_ || !run(caller, call.content)) {
                caller.reset();
                return;
            }
        }
    }

    // Returns false if the worker has crashed or the caller is gone.
    bool run(connection& caller, const message& call) {
        const auto id = call.get("Boragefront-Request-Id");
        const bool crashes =
            call.get("Boragefront-Prefix-Hash").find(crashing_part) != std::string::npos &&
            !without_trouble();
        if (id.rfind("poison", 0) == 0) {
            seen_.arrived(id_, id);
        }
        caller.pause(first_token);
        caller.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\nBoragefront-Request-Id: " +
                    id + "\r\nBoragefront-Response-Signature: of-" + id + "\r\n\r\n");
        for (int number = 1; number <= events; ++number) {
            if (crashes && (crash_at_ == crash_point::head || number > 1)) {
                caller.pause(between_events);
                if (!crashed_.exchange(true)) {
                    seen_.crashed(id_, id);
                }
            }
            if (crashed_ || !caller.send(chunk(event(number))) || !caller.pause(between_events)) {
                return false;
            }
        }
        return caller.send("0\r\n\r\n");
    }

    std::string id_;
    crash_point crash_at_;
    journal& seen_;
    std::atomic<bool> crashed_{false};
    server server_;
};

// A place for a worker: a crashed one is followed by the next lifetime.
class place {
public:
    place(std::size_t number, const poison_plan& plan, journal& seen, store& platform)
        : number_{number}, plan_{plan}, seen_{seen}, platform_{platform} {
        start();
    }

    void step(time_point now) {
        if (running_ != nullptr && running_->crashed()) {
            running_->stop();
            gone_ = running_->id();
            running_ = nullptr;
            crashed_at_ = now;
        }
        if (running_ == nullptr && now - crashed_at_ >= back_after) {
            start();
        }
        if (!gone_.empty() && now - crashed_at_ >= registration_ends) {
            platform_.remove("servers/" + std::exchange(gone_, {}));
        }
    }

private:
    void start() {
        ++lifetime_;
        running_ = std::make_unique<engine>("i-" + std::to_string(number_) + "-" +
                                                std::to_string(lifetime_),
                                            plan_.crash_at, seen_);
        platform_.put("servers/" + running_->id(), registration(running_->port(), slots, 1));
    }

    std::size_t number_;
    poison_plan plan_;
    journal& seen_;
    store& platform_;
    int lifetime_{0};
    std::unique_ptr<engine> running_;
    std::string gone_;
    time_point crashed_at_{};
};

} // namespace

int play_poison(const poison_plan& plan, const std::string& directory) {
    record log{directory + "/record.txt"};
    journal seen{log};
    store platform;
    platform.put("op/config",
                 configuration("streaming",
                               R"(,"max_connections":360,"cold_start_s":0,"cold_per_s":0,)"
                               R"("engine":{"slots":64,"kv_capacity_tokens":486721})",
                               R"(,"timeout_ms":5000,"target_latency_ms":1900,"max_attempts":1,)"
                               R"("session_affinity":true,"stream_resume":false,)"
                               R"("gap_aim_ms":400)"));
    std::vector<std::unique_ptr<place>> places;
    for (std::size_t i = 0; i < worker_count; ++i) {
        places.push_back(std::make_unique<place>(i, plan, seen, platform));
    }
    const gateway entry{platform, {"front-1", 0, directory}};
    if (!entry.wait_until_ready(milliseconds{10'000})) {
        log.write("the gateway is not ready");
        return 2;
    }
    std::atomic<int> sound_sent{0};
    std::atomic<int> sound_whole{0};
    std::atomic<int> poison_refused{0};
    std::atomic<int> open{0};
    const auto ask = [&](const std::string& id, const std::string& parts, bool sound) {
        ++open;
        std::thread{[&, id, parts, sound] {
            const auto caller = connection::open(entry.port(), milliseconds{1'000});
            received answer;
            if (caller != nullptr &&
                caller->send(request_text(id,
                                          "Boragefront-Model: m\r\nBoragefront-Token-Usage: "
                                          "800,5\r\nBoragefront-Prefix-Hash: " +
                                              parts + "\r\n",
                                          time_left_ms))) {
                answer = caller->read_response(steady_clock::now() + milliseconds{time_left_ms});
            }
            const auto status = answer.content.status();
            sound_whole += sound && status == 200 && answer.end == read_end::complete ? 1 : 0;
            poison_refused += !sound && status == 503 ? 1 : 0;
            log.write("requester: " + id + " got status " + std::to_string(status) + ", " +
                      std::string{to_string(answer.end)});
            --open;
        }}.detach();
    };
    const auto began = steady_clock::now();
    auto next_sound = began;
    auto next_poison = began + before_poison;
    int number = 0;
    int poison_sent = 0;
    while (steady_clock::now() < began + before_poison + plan.poison_for) {
        const auto now = steady_clock::now();
        for (const auto& one : places) {
            one->step(now);
        }
        const auto own_part = std::to_string(10'000'000 + number);
        if (now >= next_sound) {
            next_sound += plan.sound_interval;
            ++sound_sent;
            ask("sound-" + std::to_string(number++), "5c1e07a2:400," + own_part + ":250", true);
        }
        if (now >= next_poison) {
            next_poison += plan.poison_interval;
            ++poison_sent;
            ask("poison-" + std::to_string(number++),
                "5c1e07a2:400," + std::string{crashing_part} + ":150," + own_part + ":250", false);
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    while (open > 0) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    platform.set_down(true);
    const int late = seen.arrivals_under_rule();
    log.write("sound requests: " + std::to_string(sound_sent) + ", answered whole: " +
              std::to_string(sound_whole) + "; with the part: " + std::to_string(poison_sent) +
              ", refused by the gateway: " + std::to_string(poison_refused) +
              "; crashes: " + std::to_string(seen.crashes()));
    log.write("requests with the part that reached workers later than contact_ms after the fifth "
              "crash: " +
              std::to_string(late) + ", allowed " + std::to_string(allowed_after));
    return late > allowed_after ? 1 : 0;
}

} // namespace review
