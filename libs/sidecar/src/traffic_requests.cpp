/// \file
/// Implementation of the traffic thread: entries' requests and their answers.
#include "traffic.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragefront::sidecar {
namespace {

namespace asio = boost::asio;

constexpr unsigned ok_status = 200;

http::awaitable<void> wait_for_change(live_work& live) {
    boost::system::error_code woken;
    co_await live.changed.async_wait(asio::redirect_error(asio::use_awaitable, woken));
}

std::string end_line(std::size_t count) {
    return R"({"end":true,"count":)" + std::to_string(count) + "}\n";
}

} // namespace

http::awaitable<void> traffic::handle(const http::request& message, http::responder& out) {
    const auto path = http::target_path(message.target);
    if (message.method == "POST" && path == "/v1/work") {
        co_await handle_work(message, out);
    } else if (message.method == "POST" && path == "/v1/release") {
        co_await handle_release(message, out);
    } else if (message.method == "POST" && path == "/v1/outcome") {
        co_await handle_outcome(message, out);
    } else if (message.method == "POST" && path == "/v1/acknowledge") {
        co_await handle_acknowledge(message, out);
    } else if (path == "/healthz") {
        co_await handle_probe(true, out);
    } else if (path == "/readyz") {
        const auto phase = scheduler_.phase(steady_clock::now());
        co_await handle_probe(phase == service_phase::serving, out);
    } else {
        const work_id none;
        co_await send_problem(none, make_error(error_kind::bad_request, "no such call", "target"),
                              out);
    }
}

http::awaitable<void> traffic::handle_probe(bool ready, http::responder& out) {
    constexpr unsigned unavailable_status = 503;
    auto reply = http::make_json_response(ready ? ok_status : unavailable_status, "{}");
    (void)co_await out.send(std::move(reply));
}

http::awaitable<void> traffic::handle_work(const http::request& message, http::responder& out) {
    auto read = read_work(message);
    if (!read) {
        auto reason = std::move(read.error());
        const auto reference = read_reference(message);
        if (!reference) {
            const work_id none;
            co_await send_problem(none, std::move(reason), out);
            co_return;
        }
        const auto id = reference.value().id;
        auto arrived = scheduler_.refuse(id, std::move(reason), now());
        co_await answer(std::move(arrived), id, false, out);
        co_return;
    }
    auto& work = read.value();
    const auto id = work.offered.record.id;
    const bool stream = work.stream;
    const bool caught_up = co_await catch_up(work.sender_revision);
    ledger::work_response arrived;
    if (caught_up) {
        refresh_knowledge();
        vouch_for_key(work);
        arrived = scheduler_.offer(work.offered, now());
    } else {
        auto reason = make_error(error_kind::not_ready, "the configuration held here is behind");
        arrived = scheduler_.refuse(id, std::move(reason), now());
    }
    const auto* ended = std::get_if<ledger::settled>(&arrived);
    const auto* failure = ended == nullptr ? nullptr : std::get_if<error>(&ended->result);
    if (failure != nullptr && !work.offered.record.key_exclusive) {
        auto others = other_homes_of(work.offered.record.key_id);
        co_await send_problem(id, *failure, out, std::move(others));
        co_return;
    }
    if (std::holds_alternative<ledger::admitted>(arrived)) {
        live_[id] = std::make_shared<live_work>(executor_, std::move(work));
        arrived = ledger::in_progress{id};
    }
    co_await answer(std::move(arrived), id, stream, out);
}

void traffic::vouch_for_key(work_message& work) const {
    auto& record = work.offered.record;
    const auto made = uuid7_time(record.key_id);
    record.key_exclusive = !made || homes_.vouches_for(record.key_id, *made, work.released_by);
}

// Names those that the sender may ask to give the key up.
std::string traffic::other_homes_of(const std::string& key_id) const {
    const auto made = uuid7_time(key_id);
    std::string names;
    if (made) {
        for (const auto& id : homes_.other_homes(key_id, *made)) {
            names += (names.empty() ? "" : ",") + id;
        }
    }
    return names;
}

http::awaitable<void> traffic::handle_release(const http::request& message, http::responder& out) {
    auto read = read_work(message);
    if (!read || read.value().offered.record.key.empty()) {
        const work_id none;
        auto reason = read ? make_error(error_kind::bad_request, "a key is needed",
                                        "Boragefront-Idempotency-Key")
                           : std::move(read.error());
        co_await send_problem(none, std::move(reason), out);
        co_return;
    }
    const auto id = read.value().offered.record.id;
    auto arrived = scheduler_.release(read.value().offered, now());
    co_await answer(std::move(arrived), id, false, out);
}

http::awaitable<void> traffic::handle_outcome(const http::request& message, http::responder& out) {
    auto reference = read_reference(message);
    if (!reference) {
        const work_id none;
        co_await send_problem(none, std::move(reference.error()), out);
        co_return;
    }
    const auto id = reference.value().id;
    if (reference.value().life != life_) {
        auto reason = make_error(error_kind::wrong_incarnation, work_ran::unknown,
                                 "another incarnation was meant");
        co_await send_problem(id, std::move(reason), out);
        co_return;
    }
    auto arrived = scheduler_.ask(id, now());
    co_await answer(std::move(arrived), id, false, out);
}

http::awaitable<void> traffic::handle_acknowledge(const http::request& message,
                                                  http::responder& out) {
    auto reference = read_reference(message);
    if (!reference) {
        const work_id none;
        co_await send_problem(none, std::move(reference.error()), out);
        co_return;
    }
    const auto id = reference.value().id;
    scheduler_.acknowledge(id);
    auto reply = head_for(id);
    reply.headers.set("Content-Type", "application/json");
    reply.body = "{}";
    (void)co_await out.send(std::move(reply));
}

http::awaitable<void> traffic::answer(ledger::work_response arrived, work_id asked, bool stream,
                                      http::responder& out) {
    if (const auto* ended = std::get_if<ledger::settled>(&arrived)) {
        dispatch_and_wake();
        co_await send_outcome(asked, ended->result, out);
        co_return;
    }
    const auto first = std::get<ledger::in_progress>(arrived).first;
    auto live = live_.at(first);
    dispatch_and_wake();
    co_await answer_live(std::move(live), asked, stream, out);
}

http::awaitable<void> traffic::answer_live(shared_work live, work_id asked, bool stream,
                                           http::responder& out) {
    ++live->waiters;
    out.on_peer_closed([this, live] { peer_left(live); });
    std::size_t sent = 0;
    for (;;) {
        while (stream && sent < live->lines.size()) {
            if (sent == 0) {
                auto head = head_for(asked);
                head.headers.set("Content-Type", "application/x-ndjson");
                (void)co_await out.begin(std::move(head));
            }
            const std::string line = live->lines[sent] + '\n';
            ++sent;
            const auto written = co_await out.write(line);
            if (!written) {
                co_return;
            }
        }
        if (live->settled) {
            break;
        }
        co_await wait_for_change(*live);
    }
    auto what = scheduler_.outcome_of(live->id());
    if (!what) {
        what = make_error(error_kind::outcome_unknown, "the outcome is no longer on record");
    }
    if (sent == 0) {
        co_await send_outcome(asked, std::move(*what), out);
    } else if (std::holds_alternative<ledger::answer>(*what)) {
        const auto end = end_line(sent);
        (void)co_await out.write(end);
        (void)co_await out.finish();
    }
    // A stream that failed is left without its end, so that the entry sees that it is not whole.
}

http::awaitable<void> traffic::send_outcome(work_id asked, ledger::outcome what,
                                            http::responder& out) {
    if (auto* reason = std::get_if<error>(&what)) {
        co_await send_problem(std::move(asked), std::move(*reason), out);
        co_return;
    }
    auto& whole = std::get<ledger::answer>(what);
    auto reply = head_for(asked);
    reply.headers.set("Content-Type", whole.content_type);
    reply.headers.set("Boragefront-Service-Us", std::to_string(whole.service_time.count()));
    reply.body = std::move(whole.body);
    (void)co_await out.send(std::move(reply));
}

http::awaitable<void> traffic::send_problem(work_id asked, error reason, http::responder& out,
                                            std::string other_homes) {
    metrics_
        .get_counter("sidecar_problems_total",
                     "kind=\"" + std::string{properties_of(reason.kind).name} + '"')
        .add();
    auto reply = head_for(asked);
    reply.status = properties_of(reason.kind).http_status;
    reply.headers.set("Content-Type", "application/problem+json");
    if (!other_homes.empty()) {
        reply.headers.set("Boragefront-Other-Homes", std::move(other_homes));
    }
    reply.body = to_problem_json(reason, asked.request);
    (void)co_await out.send(std::move(reply));
}

std::string traffic::load_text() const {
    const auto service_time =
        std::chrono::duration_cast<microseconds>(scheduler_.usual_service_time());
    return std::to_string(scheduler_.limit(steady_clock::now())) + '/' +
           std::to_string(scheduler_.running()) + '/' + std::to_string(scheduler_.queued()) + '/' +
           std::to_string(service_time.count());
}

http::response traffic::head_for(const work_id& asked) const {
    http::response head;
    if (!asked.request.empty()) {
        head.headers.set("Boragefront-Work", to_string(asked));
    }
    head.headers.set("Boragefront-Incarnation", std::to_string(life_));
    head.headers.set("Boragefront-Revision",
                     std::to_string(control_->configuration().load()->highest));
    head.headers.set("Boragefront-Load", load_text());
    return head;
}

} // namespace boragefront::sidecar
