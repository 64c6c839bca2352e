#include "endpoint_stand_in.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace boragefront::gateway_tests {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;
using tcp = asio::ip::tcp;

constexpr milliseconds second_answer_delay{30};
constexpr std::size_t max_body_bytes = 16U << 20U;

auto into(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

std::string plain_head(unsigned status, const std::string& request_id, bool receipt) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    head += "Boragefront-Request-Id: " + request_id + "\r\n";
    if (receipt) {
        head += "Boragefront-Response-Signature: " + request_id + ".signed\r\n";
    }
    return head;
}

std::string with_body(const std::string& head, const std::string& body) {
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& text) {
    std::array<char, 20> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

std::string with_id(std::string text, const std::string& id) {
    constexpr std::string_view placeholder = "{id}";
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + id.size())) {
        text.replace(at, placeholder.size(), id);
    }
    return text;
}

std::string event(int number, bool has_id) {
    const auto text = std::to_string(number);
    return (has_id ? "id: " + text + "\n" : "") + "data: event-" + text + "\n\n";
}

} // namespace

std::string endpoint_stand_in::head_of(unsigned status, const std::string& request_id,
                                       bool receipt) const {
    return plain_head(status, request_id, receipt) +
           (announces_leaving ? "Server-Leaving: 1\r\n" : "") +
           (limit.empty() ? "" : "Server-Limit: " + limit + "\r\n");
}

struct endpoint_stand_in::connection {
    explicit connection(tcp::socket from) : socket{std::move(from)} {}

    asio::awaitable<bool> send(const std::string& bytes) {
        boost::system::error_code failure;
        co_await asio::async_write(socket, asio::buffer(bytes), into(failure));
        co_return !failure;
    }

    // Waits, and returns whether the peer is still there.
    asio::awaitable<bool> wait(milliseconds time) {
        const auto until = steady_clock::now() + time;
        do {
            asio::steady_timer timer{socket.get_executor(), std::min(time, milliseconds{5})};
            boost::system::error_code ignored;
            co_await timer.async_wait(into(ignored));
            char byte = 0;
            boost::system::error_code failure;
            socket.non_blocking(true, failure);
            const auto size =
                socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
            if (failure != asio::error::would_block && (failure || size == 0)) {
                co_return false;
            }
        } while (steady_clock::now() < until);
        co_return true;
    }

    // Reads until the peer closes.
    asio::awaitable<void> discard_input() {
        std::array<char, 16U << 10U> bytes{};
        boost::system::error_code failure;
        while (!failure) {
            co_await socket.async_read_some(asio::buffer(bytes), into(failure));
        }
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    int served{0};               ///< requests answered on it
    std::string last_repeatable; ///< response that may be sent a second time
};

endpoint_stand_in::endpoint_stand_in(asio::any_io_executor executor, std::string id)
    : executor_{std::move(executor)}, acceptor_{executor_,
                                                tcp::endpoint{asio::ip::address_v4::loopback(), 0}},
      id_{std::move(id)}, port_{acceptor_.local_endpoint().port()} {
    asio::co_spawn(executor_, accept_loop(), asio::detached);
}

endpoint_stand_in::~endpoint_stand_in() = default;

std::string endpoint_stand_in::address() const {
    return advertised_.empty() ? "127.0.0.1:" + std::to_string(port_) : advertised_;
}

void endpoint_stand_in::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : open_) {
        if (const auto open = weak.lock()) {
            open->socket.close(ignored);
        }
    }
    open_.clear();
}

bool endpoint_stand_in::restart_if_crashed(milliseconds downtime) {
    if (!crashed_at_ || steady_clock::now() < *crashed_at_ + downtime) {
        return false;
    }
    crashed_at_.reset();
    ++born;
    const tcp::endpoint address{asio::ip::address_v4::loopback(), port_};
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address{true});
    acceptor_.bind(address);
    acceptor_.listen();
    asio::co_spawn(executor_, accept_loop(), asio::detached);
    return true;
}

bool endpoint_stand_in::crashes_with(const http::request& message) const {
    const auto prompt = message.headers.get("Boragefront-Prefix-Hash");
    return !crashes_on.empty() && prompt.find(crashes_on + ':') != std::string_view::npos;
}

std::string endpoint_stand_in::registration(const std::string& service, const std::string& state,
                                            const std::string& data_centre) const {
    json::object registered{{"service", service}, {"address", address()}, {"zone", data_centre},
                            {"slots", 4},         {"state", state},       {"cold_remaining_ms", 0},
                            {"born", born},       {"sequence", sequence}};
    if (!version.empty()) {
        registered["version"] = version;
    }
    return json::serialize(registered);
}

void endpoint_stand_in::set_mode(endpoint_mode mode, int times) {
    mode_ = mode;
    mode_times_ = times;
}

endpoint_mode endpoint_stand_in::take_mode() {
    return mode_times_-- > 0 ? mode_ : endpoint_mode::sound;
}

std::size_t endpoint_stand_in::runs() const {
    return static_cast<std::size_t>(
        std::count_if(visits_.begin(), visits_.end(), [](const auto& one) { return one.ran; }));
}

asio::awaitable<void> endpoint_stand_in::accept_loop() {
    for (;;) {
        boost::system::error_code failure;
        auto socket = co_await acceptor_.async_accept(into(failure));
        if (failure) {
            co_return;
        }
        auto accepted = std::make_shared<connection>(std::move(socket));
        open_.push_back(accepted);
        asio::co_spawn(executor_, serve(accepted), asio::detached);
    }
}

asio::awaitable<void> endpoint_stand_in::serve(std::shared_ptr<connection> with) {
    for (;;) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(max_body_bytes);
        boost::system::error_code failure;
        if (script && script->before_body) {
            co_await beast::http::async_read_header(with->socket, with->buffer, parser,
                                                    into(failure));
        } else {
            co_await beast::http::async_read(with->socket, with->buffer, parser, into(failure));
        }
        if (failure) {
            co_return;
        }
        const auto message = parser.release();
        if (message.target() == "/healthz") {
            if (resets_health_checks) {
                with->socket.set_option(asio::socket_base::linger{true, 0}, failure);
                with->socket.close();
                co_return;
            }
            if (!co_await with->send(
                    with_body("HTTP/1.1 200 OK\r\nBoragefront-Instance-Id: " + id_ + "\r\n", ""))) {
                co_return;
            }
            continue;
        }
        endpoint_visit visit;
        visit.message.method = std::string{message.method_string()};
        visit.message.target = std::string{message.target()};
        visit.message.body = message.body();
        for (const auto& field : message) {
            visit.message.headers.add(std::string{field.name_string()}, std::string{field.value()});
        }
        visit.at = steady_clock::now();
        visit.id = visit.message.headers.get("Boragefront-Request-Id");
        visits_.push_back(std::move(visit));
        if (!co_await answer(*with, visits_.size() - 1)) {
            with->socket.close();
            co_return;
        }
        ++with->served;
    }
}

asio::awaitable<bool> endpoint_stand_in::answer(connection& with, std::size_t visit) {
    const auto& message = visits_[visit].message;
    if (repeats_responses && message.target != "/-/stage-free" && !with.last_repeatable.empty()) {
        (void)co_await with.send(std::exchange(with.last_repeatable, {}));
    }
    const auto expected = message.headers.get("Boragefront-Expect-Instance");
    if (!expected.empty() && expected != id_) {
        co_return co_await with.send(with_body(head_of(421, visits_[visit].id, false), ""));
    }
    if (message.target.starts_with("/-/stage-")) {
        co_return co_await answer_pieces(with, visit);
    }
    if (script) {
        co_return co_await answer_scripted(with, visit);
    }
    const auto mode = take_mode();
    if (mode == endpoint_mode::refusing || mode == endpoint_mode::inputs_gone) {
        const unsigned status = mode == endpoint_mode::refusing ? 503 : 409;
        co_return co_await send_repeatable(with, refusal(status, visits_[visit].id));
    }
    visits_[visit].ran = true;
    if (!co_await with.wait(work)) {
        visits_[visit].left = true;
        co_return false;
    }
    if (mode == endpoint_mode::resetting) {
        co_return false;
    }
    if (mode == endpoint_mode::silent) {
        while (co_await with.wait(milliseconds{20})) {
        }
        visits_[visit].left = true;
        co_return false;
    }
    if (mode == endpoint_mode::cut_head) {
        const auto head = head_of(200, visits_[visit].id, true);
        (void)co_await with.send(head.substr(0, head.size() - 3));
        co_return false;
    }
    if (events > 0 && mode != endpoint_mode::failing) {
        co_return co_await answer_stream(with, visit, mode);
    }
    co_return co_await answer_plain(with, visit, mode);
}

std::string endpoint_stand_in::refusal(unsigned status, const std::string& id) const {
    const auto later = retry_after.empty() ? std::string{} : "Retry-After: " + retry_after + "\r\n";
    return with_body(head_of(status, id, false) + later + "Boragefront-Not-Executed: 1\r\n", "");
}

asio::awaitable<bool> endpoint_stand_in::answer_scripted(connection& with, std::size_t visit) {
    const auto response = *script;
    visits_[visit].ran = true;
    visits_[visit].answered = co_await with.send(with_id(response.bytes, visits_[visit].id));
    asio::steady_timer timer{executor_, response.end_after};
    boost::system::error_code ignored;
    co_await timer.async_wait(into(ignored));
    if (response.end == connection_end::reset) {
        with.socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    if (response.end == connection_end::crash) {
        stop();
    }
    if (response.end == connection_end::shut_down) {
        with.socket.shutdown(tcp::socket::shutdown_send, ignored);
        co_await with.discard_input();
    }
    co_return response.end == connection_end::none;
}

asio::awaitable<bool> endpoint_stand_in::answer_plain(connection& with, std::size_t visit,
                                                      endpoint_mode mode) {
    const auto id = visits_[visit].id;
    const unsigned status = mode == endpoint_mode::failing ? 500 : 200;
    const std::string body = "answer to " + id;
    const auto whole = with_body(head_of(status, id, mode != endpoint_mode::no_receipt), body);
    if (mode == endpoint_mode::anonymous_refusal_first && with.served > 0) {
        (void)co_await with.send("HTTP/1.1 503 Full\r\nBoragefront-Not-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n");
    }
    if (mode == endpoint_mode::flooding) {
        co_return co_await flood(with, visit);
    }
    if (mode == endpoint_mode::other_first) {
        (void)co_await with.send(with_body(head_of(200, "another", true), "answer to another"));
    }
    if (mode == endpoint_mode::cut) {
        (void)co_await with.send(whole.substr(0, whole.size() - 3));
        co_return false;
    }
    const bool sent = co_await with.send(whole);
    if (mode == endpoint_mode::twice) {
        (void)co_await with.wait(second_answer_delay);
        (void)co_await with.send(whole);
    }
    visits_[visit].answered = sent;
    co_return sent;
}

asio::awaitable<bool> endpoint_stand_in::flood(connection& with, std::size_t visit) {
    constexpr std::size_t portion = 16'384;
    const auto bytes = chunk(std::string(portion, 'x'));
    bool reached = co_await with.send(head_of(200, visits_[visit].id, true) +
                                      "Transfer-Encoding: chunked\r\n\r\n");
    while (reached) {
        reached = co_await with.send(bytes);
        flooded_bytes += bytes.size();
    }
    visits_[visit].left = true;
    co_return false;
}

asio::awaitable<bool> endpoint_stand_in::answer_stream(connection& with, std::size_t visit,
                                                       endpoint_mode mode) {
    const auto id = visits_[visit].id;
    const std::string last{visits_[visit].message.headers.get("Last-Event-Id")};
    int number = last.empty() ? 0 : std::stoi(last);
    if (mode == endpoint_mode::flooding) {
        co_return co_await flood(with, visit);
    }
    const auto frame = [this](const std::string& text) { return unframed ? text : chunk(text); };
    (void)co_await with.send(head_of(200, id, true) + "Content-Type: text/event-stream\r\n" +
                             (unframed ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n"));
    const bool crashes = crashes_with(visits_[visit].message);
    for (int sent = 0; number < events; ++sent) {
        if (crashes && sent == crashes_after) {
            (void)co_await with.wait(gap);
            crashed_at_ = steady_clock::now();
            stop();
            co_return false;
        }
        while (mode == endpoint_mode::trickling && sent == cut_after) {
            if (!co_await with.send(frame(": still here\n\n")) || !co_await with.wait(gap)) {
                visits_[visit].left = true;
                co_return false;
            }
        }
        if (mode == endpoint_mode::pausing && sent == cut_after && !co_await with.wait(pause)) {
            visits_[visit].left = true;
            co_return false;
        }
        ++number;
        if (mode == endpoint_mode::cut && sent == cut_after) {
            (void)co_await with.send(frame(event(number, events_have_ids).substr(0, 6)));
            co_return false;
        }
        if (!co_await with.send(frame(event(number, events_have_ids))) ||
            !co_await with.wait(gap)) {
            visits_[visit].left = true;
            co_return false;
        }
    }
    if (crashes && crashes_after >= events) {
        crashed_at_ = steady_clock::now();
        stop();
        co_return false;
    }
    if (unframed) {
        visits_[visit].answered = true;
        co_return false;
    }
    visits_[visit].answered = co_await with.send("0\r\n\r\n");
    co_return visits_[visit].answered;
}

asio::awaitable<bool> endpoint_stand_in::answer_pieces(connection& with, std::size_t visit) {
    const auto message = visits_[visit].message;
    if (message.target == "/-/stage-free") {
        co_return co_await with.send(with_body(head_of(200, "", false), "{}"));
    }
    if (refused_calls > 0) {
        --refused_calls;
        co_return co_await send_repeatable(with, refusal(503, ""));
    }
    const bool inputs_gone = calls_with_inputs_gone > 0;
    calls_with_inputs_gone -= inputs_gone ? 1 : 0;
    const bool is_later_call = std::exchange(called_for_pieces_, true);
    (void)co_await with.wait(is_later_call && later_call_work >= milliseconds{0} ? later_call_work
                                                                                 : work);
    const auto asked = json::parse(message.body).at("items").as_array();
    json::array items;
    for (const auto& item : asked) {
        if (inputs_gone) {
            items.push_back(json::object{{"reason", "gone"}});
            continue;
        }
        const auto handle = address() + "/" + id_ + "." + std::to_string(next_handle_++);
        visits_[visit].made.push_back({std::string{item.at("id").as_string()}, handle});
        items.push_back(json::object{{"handle", handle}});
    }
    visits_[visit].ran = true;
    const auto body = json::serialize(json::object{{"items", std::move(items)}});
    co_return co_await send_repeatable(with, with_body(head_of(200, "", false), body));
}

asio::awaitable<bool> endpoint_stand_in::send_repeatable(connection& with, std::string bytes) {
    with.last_repeatable = std::move(bytes);
    co_return co_await with.send(with.last_repeatable);
}

} // namespace boragefront::gateway_tests
