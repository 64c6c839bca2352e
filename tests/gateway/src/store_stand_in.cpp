#include "store_stand_in.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <stdexcept>

namespace boragefront::gateway_tests {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_limited = 429;
constexpr unsigned status_gone = 410;
constexpr std::size_t page_size = 2; // small, so that lists take several pages
constexpr seconds far_away{3'600};

std::string encode_base64(const std::string& bytes) {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

json::object to_json(const std::string& key, revision at, const std::optional<std::string>& value) {
    json::object made{{"key", key}, {"revision", at}};
    if (value) {
        made["value"] = encode_base64(*value);
        made["create_rev"] = at;
        made["lease"] = 0;
    } else {
        made["removed"] = true;
    }
    return made;
}

http::response status_answer(unsigned status) {
    http::response answer;
    answer.status = status;
    return answer;
}

http::awaitable<void> pause(const asio::any_io_executor& executor, duration time) {
    asio::steady_timer timer{executor, time};
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

} // namespace

store_stand_in::store_stand_in(asio::any_io_executor executor) : executor_{std::move(executor)} {
    auto server = http::server::listen({executor_}, "127.0.0.1:0", {},
                                       [this](const http::request& message, http::responder& out) {
                                           return handle(message, out);
                                       });
    if (!server) {
        throw std::runtime_error{to_string(server.error())};
    }
    server_ = std::move(server.value());
}

std::string store_stand_in::address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
}

void store_stand_in::put(const std::string& key, std::optional<std::string> value) {
    item written{key, ++newest_, std::move(value)};
    history_.push_back(written);
    if (written.value) {
        current_.insert_or_assign(key, std::move(written));
    } else {
        current_.erase(key);
    }
    wake_watches();
}

void store_stand_in::set_mode(store_mode mode) {
    mode_ = mode;
    wake_watches();
}

void store_stand_in::compact() {
    forgotten_ = newest_;
    history_.clear();
    wake_watches();
}

std::size_t store_stand_in::watches_without_change(const std::string& prefix) const {
    const auto found = watches_without_change_.find(prefix);
    return found == watches_without_change_.end() ? 0 : found->second;
}

void store_stand_in::keep_copy() {
    copy_ = contents{history_, current_, newest_};
}

void store_stand_in::restore() {
    history_ = copy_->history;
    current_ = copy_->current;
    newest_ = copy_->newest;
    ++era_;
}

http::awaitable<void> store_stand_in::send(http::responder& out, http::response answer) const {
    answer.headers.add("Store-Era", std::to_string(era_));
    (void)co_await out.send(std::move(answer));
}

void store_stand_in::wake_watches() {
    for (auto* const one : watches_) {
        one->cancel();
    }
}

http::awaitable<void> store_stand_in::handle(const http::request& message, http::responder& out) {
    switch (mode_) {
    case store_mode::sound:
    case store_mode::deaf:
        break;
    case store_mode::refusing:
        co_await send(out, status_answer(status_unavailable));
        co_return;
    case store_mode::limiting:
        co_await send(out, status_answer(status_limited));
        co_return;
    case store_mode::silent:
        co_await pause(executor_, far_away);
        co_return;
    }
    if (http::target_path(message.target) == "/-/kv-range") {
        co_await list(message, out);
    } else {
        co_await watch(message, out);
    }
}

http::awaitable<void> store_stand_in::list(const http::request& message, http::responder& out) {
    const auto prefix = http::query_value(message.target, "prefix");
    const auto after = http::query_value(message.target, "after");
    json::array items;
    bool more = false;
    for (const auto& [key, one] : current_) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (items.size() == page_size) {
            more = true;
            break;
        }
        items.push_back(to_json(key, one.at, one.value));
    }
    json::object body;
    body["items"] = std::move(items);
    body["truncated"] = more;
    body["store_revision"] = newest_;
    co_await send(out, http::make_json_response(status_ok, json::serialize(body)));
}

http::awaitable<void> store_stand_in::watch(const http::request& message, http::responder& out) {
    const auto prefix = http::query_value(message.target, "prefix");
    const auto after = parse_number(http::query_value(message.target, "after")).value_or(0);
    const auto wait = parse_number(http::query_value(message.target, "wait_ms")).value_or(0);
    const auto until = steady_clock::now() + milliseconds{wait};
    const bool unknown = after > newest_;
    for (;;) {
        const bool answers = mode_ == store_mode::sound || mode_ == store_mode::deaf;
        if (!answers || unknown || after < forgotten_) {
            const bool forgotten = answers;
            co_await send(out, status_answer(forgotten ? status_gone : status_unavailable));
            co_return;
        }
        json::array events;
        for (const auto& one : history_) {
            const bool heard = mode_ != store_mode::deaf;
            if (heard && one.at > after && one.key.starts_with(prefix)) {
                events.push_back(to_json(one.key, one.at, one.value));
            }
        }
        if (!events.empty() || steady_clock::now() >= until) {
            watches_without_change_[prefix] += events.empty() ? 1 : 0;
            json::object body;
            body["events"] = std::move(events);
            body["store_revision"] = newest_;
            co_await send(out, http::make_json_response(status_ok, json::serialize(body)));
            co_return;
        }
        asio::steady_timer timer{executor_, until};
        watches_.insert(&timer);
        boost::system::error_code woken;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
        watches_.erase(&timer);
    }
}

} // namespace boragefront::gateway_tests
