#include "stand_ins/platform.hpp"

#include "stand_ins/json.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace boragefront::stand_ins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t largest_value = 1U << 20U;
constexpr std::string_view config_path = "/v1/config";

std::string key_of(const http::request& incoming) {
    const auto path = http::target_path(incoming.target);
    if (path.size() <= config_path.size() + 1 || !path.starts_with(config_path)) {
        return {};
    }
    return std::string{path.substr(config_path.size() + 1)};
}

std::string revision_json(revision number) {
    return json::serialize(json::object{{"revision", number}});
}

http::response problem(const error& failure) {
    return http::make_json_response(properties_of(failure.kind).http_status,
                                    to_problem_json(failure));
}

} // namespace

platform::platform(asio::any_io_executor executor) : executor_{std::move(executor)} {
    lists_.push_back({steady_clock::now(), R"({"instances": []})"});
}

result<std::unique_ptr<platform>> platform::make(asio::any_io_executor executor,
                                                 const platform_options& options) {
    std::unique_ptr<platform> made{new platform{std::move(executor)}};
    made->rate_ = options.rate;
    if (!options.tree.empty()) {
        BOOST_OUTCOME_TRY(made->publish_tree(options.tree));
    }
    if (!options.instances.empty()) {
        BOOST_OUTCOME_TRY(const auto list, load_json(options.instances));
        made->lists_.push_back({steady_clock::now(), json::serialize(list)});
    }
    return made;
}

result<void> platform::publish_tree(const std::filesystem::path& tree) {
    std::map<std::string, std::filesystem::path> files;
    std::error_code failure;
    for (const auto& file : std::filesystem::recursive_directory_iterator{tree, failure}) {
        if (file.path().extension() == ".json") {
            auto key = std::filesystem::relative(file.path(), tree).replace_extension();
            files[key.generic_string()] = file.path();
        }
    }
    if (failure) {
        return make_error(error_kind::bad_request, failure.message(), tree.string());
    }
    for (const auto& [key, file] : files) {
        BOOST_OUTCOME_TRY(auto value, load_json(file));
        publish(key, std::move(value));
    }
    return success();
}

revision platform::publish(std::string key, std::optional<json::value> value) {
    const revision number = history_.size() + 1;
    history_.push_back({std::move(key), number, std::move(value)});
    for (auto* watch : watches_) {
        watch->cancel();
    }
    return number;
}

revision platform::served_revision() const {
    const revision newest = history_.size();
    return std::min(newest, stale_at_.value_or(newest));
}

std::string platform::entries_since(revision since) const {
    const auto newest = served_revision();
    std::map<std::string_view, const publication*> latest;
    for (const auto& one : history_) {
        if (one.number <= newest) {
            latest[one.key] = &one;
        }
    }
    json::array entries;
    for (const auto& [key, one] : latest) {
        if (one->number <= since) {
            continue;
        }
        json::object entry{{"key", key}, {"revision", one->number}};
        if (one->value) {
            entry["value"] = *one->value;
        } else {
            entry["deleted"] = true;
        }
        entries.push_back(std::move(entry));
    }
    return json::serialize(json::object{{"revision", newest}, {"entries", std::move(entries)}});
}

const std::string& platform::served_list() const {
    const auto visible = steady_clock::now() - list_lag_;
    const auto last = std::find_if(lists_.rbegin(), lists_.rend(),
                                   [&](const listed& one) { return one.since <= visible; });
    return last == lists_.rend() ? lists_.front().text : last->text;
}

void platform::set_faults(const json::object& wanted) {
    down_ = flag_or(wanted, "down", down_);
    list_lag_ = milliseconds{integer_or(wanted, "list_lag_ms", list_lag_.count())};
    rate_ = static_cast<unsigned>(integer_or(wanted, "rate", rate_));
    if (const auto* stale = wanted.if_contains("stale_at")) {
        stale_at_.reset();
        if (stale->is_number()) {
            stale_at_ = static_cast<revision>(integer_or(wanted, "stale_at", 0));
        }
    }
    for (auto* watch : watches_) {
        watch->cancel();
    }
}

bool platform::admit_call() {
    ++calls_;
    const auto now = steady_clock::now();
    if (now - second_began_ >= seconds{1}) {
        second_began_ = now;
        calls_this_second_ = 0;
    }
    ++calls_this_second_;
    if (rate_ != 0 && calls_this_second_ > rate_) {
        ++refused_;
        return false;
    }
    return true;
}

http::awaitable<void> platform::wait_for_change(revision since, milliseconds limit,
                                                http::responder& out) {
    asio::steady_timer watch{executor_};
    watches_.insert(&watch);
    out.on_peer_closed([&watch] { watch.cancel(); });
    const auto until = steady_clock::now() + limit;
    bool open = true;
    while (open && !down_ && served_revision() <= since && steady_clock::now() < until) {
        boost::system::error_code woken;
        watch.expires_at(until);
        co_await watch.async_wait(asio::redirect_error(asio::use_awaitable, woken));
        open = !woken || served_revision() > since;
    }
    out.on_peer_closed(nullptr);
    watches_.erase(&watch);
}

http::awaitable<void> platform::answer_read(const http::request& incoming, http::responder& out) {
    if (!admit_call()) {
        (void)co_await out.send(problem(make_error(error_kind::over_limit, "rate of calls")));
        co_return;
    }
    const bool list = http::target_path(incoming.target) == "/v1/instances";
    const auto since = parse_number(http::query_value(incoming.target, "since")).value_or(0);
    const auto wait = parse_number(http::query_value(incoming.target, "wait_ms")).value_or(0);
    if (!list && wait > 0) {
        co_await wait_for_change(since, milliseconds{wait}, out);
    }
    if (down_) {
        (void)co_await out.send(problem(make_error(error_kind::unavailable, "down")));
        co_return;
    }
    auto body = list ? served_list() : entries_since(since);
    (void)co_await out.send(http::make_json_response(200, std::move(body)));
}

http::awaitable<void> platform::answer_write(const http::request& incoming, http::responder& out) {
    if (incoming.method == "DELETE") {
        const auto number = publish(key_of(incoming), std::nullopt);
        (void)co_await out.send(http::make_json_response(200, revision_json(number)));
        co_return;
    }
    auto body = parse_json(incoming.body);
    if (!body) {
        (void)co_await out.send(problem(body.error()));
        co_return;
    }
    const auto path = http::target_path(incoming.target);
    std::string answer = "{}";
    if (path == "/stand_in/faults" && body.value().is_object()) {
        set_faults(body.value().get_object());
    } else if (path == "/v1/instances") {
        lists_.push_back({steady_clock::now(), json::serialize(body.value())});
    } else if (incoming.body.size() > largest_value) {
        (void)co_await out.send(
            problem(make_error(error_kind::too_large, "value over a megabyte")));
        co_return;
    } else {
        answer = revision_json(publish(key_of(incoming), std::move(body.value())));
    }
    (void)co_await out.send(http::make_json_response(200, answer));
}

http::awaitable<void> platform::handle(const http::request& incoming, http::responder& out) {
    const auto path = http::target_path(incoming.target);
    const bool read = path == config_path || path == "/v1/instances";
    if (incoming.method == "GET" && path == "/stand_in/calls") {
        const json::object counts{{"calls", calls_}, {"refused", refused_}};
        (void)co_await out.send(http::make_json_response(200, json::serialize(counts)));
    } else if (incoming.method == "GET" && read) {
        co_await answer_read(incoming, out);
    } else if (path == "/stand_in/faults" || path == "/v1/instances" || !key_of(incoming).empty()) {
        co_await answer_write(incoming, out);
    } else {
        (void)co_await out.send(
            problem(make_error(error_kind::bad_request, "no such call", "target")));
    }
}

} // namespace boragefront::stand_ins
