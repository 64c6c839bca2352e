#include "platform_reader.hpp"

#include "platform_codec.hpp"

namespace boragefront::control {
namespace {

constexpr milliseconds answer_timeout{3'000};
constexpr std::size_t answer_bytes = 128U << 20U;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;

} // namespace

platform_reader::platform_reader(boost::asio::any_io_executor executor, std::string address,
                                 counter& bytes)
    : client_{http::client::make(std::move(executor))}, address_{std::move(address)}, bytes_{
                                                                                          bytes} {}

http::awaitable<result<platform_config>> platform_reader::read_config(revision since,
                                                                      milliseconds wait) {
    http::request message;
    message.target =
        "/v1/config?since=" + std::to_string(since) + "&wait_ms=" + std::to_string(wait.count());
    BOOST_OUTCOME_CO_TRY(const auto answer, co_await get(std::move(message), wait));
    if (answer.status != status_ok) {
        co_return make_error(error_kind::unavailable,
                             "the platform answered " + std::to_string(answer.status));
    }
    co_return read_config_answer(answer.body);
}

http::awaitable<result<list_reading>> platform_reader::read_instances() {
    http::request message;
    message.target = "/v1/instances";
    if (!list_tag_.empty()) {
        message.headers.set("If-None-Match", list_tag_);
    }
    const milliseconds no_wait{0};
    BOOST_OUTCOME_CO_TRY(const auto answer, co_await get(std::move(message), no_wait));
    list_reading reading;
    reading.bytes = answer.body.size() + 1;
    if (answer.status == status_not_modified) {
        reading.unchanged = true;
        co_return reading;
    }
    if (answer.status != status_ok) {
        co_return make_error(error_kind::unavailable,
                             "the platform answered " + std::to_string(answer.status));
    }
    BOOST_OUTCOME_CO_TRY(reading.instances, read_instances_answer(answer.body));
    list_tag_ = std::string{answer.headers.get("ETag")};
    co_return reading;
}

http::awaitable<result<http::response>> platform_reader::get(http::request message,
                                                             milliseconds wait) {
    http::call_options options;
    options.deadline = steady_clock::now() + wait + answer_timeout;
    options.body_limit = answer_bytes;
    auto answer = co_await client_->call(address_, std::move(message), options);
    if (answer) {
        bytes_.add(answer.value().body.size());
    }
    co_return answer;
}

} // namespace boragefront::control
