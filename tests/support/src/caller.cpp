#include "support/caller.hpp"

#include "base/ids.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>

namespace boragefront::support {
namespace {

namespace json = boost::json;

constexpr milliseconds probe_interval{50};
constexpr milliseconds probe_patience{500};
// Past the deadline an entry must have answered; this much later the caller gives up.
constexpr milliseconds caller_margin{2'000};

json::object parse_object(std::string_view text) {
    json::error_code failure;
    auto parsed = json::parse(text, failure);
    return !failure && parsed.is_object() ? std::move(parsed.get_object()) : json::object{};
}

std::string string_in(const json::object& object, std::string_view name) {
    const auto* const member = object.if_contains(name);
    return member != nullptr && member->is_string() ? std::string{member->get_string()}
                                                    : std::string{};
}

http::request to_http(const caller_request& asked) {
    json::object body{{"prompt", asked.prompt}};
    if (!asked.same_body) {
        body["marker"] = asked.marker;
    }
    http::request message{.method = "POST",
                          .target =
                              "/v1/workspaces/" + asked.workspace + "/services/" + asked.service,
                          .body = json::serialize(body)};
    message.headers.set("Content-Type", "application/json");
    message.headers.set("Deadline-Ms", std::to_string(asked.deadline.count()));
    if (!asked.idempotency_key.empty()) {
        message.headers.set("Idempotency-Key", asked.idempotency_key);
    }
    if (asked.stream) {
        message.headers.set("Accept", "text/event-stream");
    }
    return message;
}

void note_problem(call_record& record, const json::object& problem) {
    record.kind = string_in(problem, "kind");
    record.ran = parse_work_ran(string_in(problem, "ran"));
    record.request_id = string_in(problem, "request_id");
    record.detail = string_in(problem, "detail");
}

void note_whole(call_record& record, const http::response& answer) {
    const auto document = parse_object(answer.body);
    if (answer.status != 200) {
        note_problem(record, document);
        return;
    }
    record.request_id = string_in(document, "request_id");
    const auto* const result = document.if_contains("result");
    if (result != nullptr && result->is_object()) {
        record.result = result->get_object();
        record.whole = true;
    }
}

// Reads server-sent events: `event: name`, `data: json`, an empty line.
void note_events(call_record& record, const std::vector<std::string>& lines) {
    constexpr std::string_view event_prefix = "event: ";
    constexpr std::string_view data_prefix = "data: ";
    std::string event;
    for (const auto& line : lines) {
        if (line.starts_with(event_prefix)) {
            event = line.substr(event_prefix.size());
        }
        if (!line.starts_with(data_prefix)) {
            continue;
        }
        const auto data = parse_object(std::string_view{line}.substr(data_prefix.size()));
        if (event == "token") {
            record.tokens.push_back(string_in(data, "text"));
        } else if (event == "error") {
            note_problem(record, data);
        } else if (event == "end") {
            record.request_id = string_in(data, "request_id");
            const auto* const count = data.if_contains("count");
            record.whole = count != nullptr && count->is_number() &&
                           count->to_number<std::size_t>() == record.tokens.size();
        }
    }
}

void call_whole(blocking_client& client, call_record& record) {
    const auto answer =
        client.call(record.entry, to_http(record.asked), record.asked.deadline + caller_margin);
    if (!answer) {
        record.detail = to_string(answer.error());
        record.ran = answer.error().ran;
        return;
    }
    record.status = answer.value().status;
    note_whole(record, answer.value());
}

void call_stream(blocking_client& client, call_record& record) {
    auto answer = client.call_lines(record.entry, to_http(record.asked),
                                    record.asked.deadline + caller_margin);
    if (!answer) {
        record.detail = to_string(answer.error());
        record.ran = answer.error().ran;
        return;
    }
    auto& read = answer.value();
    record.status = read.head.status;
    if (record.status == 200) {
        note_events(record, read.lines);
    } else if (!read.lines.empty()) {
        note_problem(record, parse_object(read.lines.front()));
    }
    if (read.broken) {
        record.detail += to_string(*read.broken);
    }
}

bool leaves_open(const call_record& record) {
    return !record.whole && record.ran != work_ran::yes;
}

} // namespace

call_record make_call(blocking_client& client, const std::string& entry, caller_request asked) {
    call_record record;
    record.asked = std::move(asked);
    record.entry = entry;
    record.sent = steady_clock::now();
    if (record.asked.stream) {
        call_stream(client, record);
    } else {
        call_whole(client, record);
    }
    record.ended = steady_clock::now();
    return record;
}

balancer::balancer(std::vector<probed_entry> entries)
    : entries_{std::move(entries)}, ready_{all()}, thread_{[this] { probe(stopping_); }} {}

balancer::balancer(const std::vector<std::string>& entries)
    : balancer{[&] {
          std::vector<probed_entry> probed;
          probed.reserve(entries.size());
          for (const auto& entry : entries) {
              probed.push_back({entry, entry});
          }
          return probed;
      }()} {}

std::vector<std::string> balancer::all() const {
    std::vector<std::string> addresses;
    addresses.reserve(entries_.size());
    for (const auto& entry : entries_) {
        addresses.push_back(entry.address);
    }
    return addresses;
}

balancer::~balancer() {
    stopping_ = true;
    thread_.join();
}

void balancer::probe(const std::atomic<bool>& stopping) {
    while (!stopping) {
        std::vector<std::string> ready;
        for (const auto& entry : entries_) {
            const auto answer = get(entry.probe_address, entry.probe_path, probe_patience);
            if (answer && answer.value().status == 200) {
                ready.push_back(entry.address);
            }
        }
        if (ready.empty()) {
            ready = all();
        }
        {
            const std::scoped_lock lock{mutex_};
            ready_ = std::move(ready);
        }
        std::this_thread::sleep_for(probe_interval);
    }
}

std::string balancer::pick(random_source& random) const {
    const std::scoped_lock lock{mutex_};
    std::uniform_int_distribution<std::size_t> index{0, ready_.size() - 1};
    return ready_.at(index(random));
}

caller_load::caller_load(load_options options, const balancer& entries)
    : options_{std::move(options)}, entries_{entries} {
    for (unsigned number = 0; number < options_.callers; ++number) {
        threads_.emplace_back([this, number] { run_caller(number); });
    }
}

caller_load::~caller_load() {
    (void)stop();
}

std::vector<call_record> caller_load::stop() {
    stopping_ = true;
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    const std::scoped_lock lock{mutex_};
    return std::move(records_);
}

void caller_load::keep(call_record record) {
    ++ended_;
    whole_ += record.whole ? 1 : 0;
    const std::scoped_lock lock{mutex_};
    records_.push_back(std::move(record));
}

void caller_load::run_caller(unsigned number) {
    random_source random{options_.seed + number};
    std::uniform_int_distribution<std::size_t> choice{0, options_.mix.size() - 1};
    blocking_client client;
    for (std::uint64_t turn = 0; !stopping_; ++turn) {
        auto asked = options_.mix.at(choice(random));
        asked.marker = std::to_string(options_.seed) + '-' + std::to_string(number) + '-' +
                       std::to_string(turn);
        if (asked.order && options_.keyed_orders) {
            const auto now =
                std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
            asked.idempotency_key = make_uuid7(now, random);
        }
        for (unsigned attempt = 0; attempt <= (asked.order ? options_.order_retries : 0);
             ++attempt) {
            auto record = make_call(client, entries_.pick(random), asked);
            const bool again = leaves_open(record);
            keep(std::move(record));
            if (!again) {
                break;
            }
            std::this_thread::sleep_for(options_.pause);
        }
        std::this_thread::sleep_for(options_.pause);
    }
}

} // namespace boragefront::support
