#include "stand_ins/relay.hpp"

#include "base/ids.hpp"
#include "stand_ins/json.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <optional>

namespace boragefront::stand_ins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t read_size = 16384;
constexpr milliseconds hold_check_interval{2};

auto awaitable_into(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

std::optional<relay_mode> mode_named(std::string_view name) {
    constexpr std::array names{
        std::pair{"pass", relay_mode::pass},
        std::pair{"hold", relay_mode::hold},
        std::pair{"cut", relay_mode::cut},
        std::pair{"swallow", relay_mode::swallow},
        std::pair{"swallow_established", relay_mode::swallow_established},
        std::pair{"swallow_requests", relay_mode::swallow_requests},
        std::pair{"swallow_answers", relay_mode::swallow_answers},
    };
    for (const auto& [text, mode] : names) {
        if (name == text) {
            return mode;
        }
    }
    return std::nullopt;
}

result<tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    boost::system::error_code failure;
    const auto host = asio::ip::make_address(address.substr(0, colon), failure);
    const auto port = colon == std::string::npos
                          ? std::nullopt
                          : parse_number(std::string_view{address}.substr(colon + 1));
    if (failure || !port) {
        return make_error(error_kind::bad_request, "not an ip:port: " + address);
    }
    return tcp::endpoint{host, static_cast<std::uint16_t>(*port)};
}

} // namespace

// A connection and its counterpart. Shared by the pumps of its two directions.
struct relay::link {
    explicit link(tcp::socket accepted) : near{std::move(accepted)}, far{near.get_executor()} {}

    void close() {
        boost::system::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }

    // Silences one direction or both, as the mode says.
    void silence(relay_mode mode) {
        const bool both = mode == relay_mode::swallow || mode == relay_mode::swallow_established;
        silent_to_target = silent_to_target || both || mode == relay_mode::swallow_requests;
        silent_from_target = silent_from_target || both || mode == relay_mode::swallow_answers;
    }
    bool silent() const { return silent_to_target || silent_from_target; }

    tcp::socket near;
    tcp::socket far;
    bool silent_to_target{false};
    bool silent_from_target{false};
};

relay::relay(tcp::acceptor acceptor, tcp::endpoint target)
    : acceptor_{std::move(acceptor)}, target_{std::move(target)} {}

result<std::unique_ptr<relay>> relay::listen(const asio::any_io_executor& executor,
                                             const std::string& address,
                                             const std::string& target) {
    BOOST_OUTCOME_TRY(const auto own, parse_endpoint(address));
    BOOST_OUTCOME_TRY(const auto far, parse_endpoint(target));
    tcp::acceptor acceptor{executor};
    boost::system::error_code failure;
    acceptor.open(own.protocol(), failure);
    acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
    acceptor.bind(own, failure);
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return make_error(error_kind::unavailable, address + ": " + failure.message());
    }
    std::unique_ptr<relay> made{new relay{std::move(acceptor), far}};
    asio::co_spawn(executor, made->accept_loop(), asio::detached);
    return made;
}

void relay::set_mode(relay_mode mode) {
    mode_ = mode;
    for (const auto& weak : links_) {
        const auto open = weak.lock();
        if (open == nullptr) {
            continue;
        }
        if (mode == relay_mode::cut) {
            open->close();
        }
        open->silence(mode);
    }
    std::erase_if(links_, [](const auto& weak) { return weak.expired(); });
}

void relay::close_silent() {
    for (const auto& weak : links_) {
        if (const auto open = weak.lock(); open != nullptr && open->silent()) {
            open->close();
        }
    }
}

result<void> relay::set_target(const std::string& target) {
    BOOST_OUTCOME_TRY(target_, parse_endpoint(target));
    return success();
}

http::awaitable<void> relay::accept_loop() {
    for (;;) {
        boost::system::error_code failure;
        auto accepted = co_await acceptor_.async_accept(awaitable_into(failure));
        if (failure == asio::error::operation_aborted) {
            co_return;
        }
        if (failure || mode_ == relay_mode::cut) {
            continue;
        }
        auto made = std::make_shared<link>(std::move(accepted));
        if (mode_ != relay_mode::swallow_established) {
            made->silence(mode_);
        }
        links_.push_back(made);
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(made)), asio::detached);
    }
}

http::awaitable<void> relay::serve(std::shared_ptr<link> served) {
    boost::system::error_code failure;
    co_await served->far.async_connect(target_, awaitable_into(failure));
    if (failure) {
        served->close();
        co_return;
    }
    served->near.set_option(tcp::no_delay{true}, failure);
    served->far.set_option(tcp::no_delay{true}, failure);
    asio::co_spawn(acceptor_.get_executor(), pump(served, true), asio::detached);
    asio::co_spawn(acceptor_.get_executor(), pump(served, false), asio::detached);
}

http::awaitable<void> relay::pump(std::shared_ptr<link> served, bool towards_target) {
    auto& from = towards_target ? served->near : served->far;
    auto& into = towards_target ? served->far : served->near;
    std::array<char, read_size> bytes{};
    boost::system::error_code failure;
    bool open = true;
    while (open) {
        const auto size =
            co_await from.async_read_some(asio::buffer(bytes), awaitable_into(failure));
        open = !failure;
        if (open) {
            open = co_await pass(served, towards_target, bytes.data(), size);
        }
    }
    // The other end of a silent connection is not told that this one has gone.
    boost::system::error_code ignored;
    from.close(ignored);
    if (!served->silent()) {
        into.close(ignored);
    }
}

http::awaitable<bool> relay::pass(const std::shared_ptr<link>& served, bool towards_target,
                                  const char* bytes, std::size_t size) {
    auto& into = towards_target ? served->far : served->near;
    asio::steady_timer pause{acceptor_.get_executor()};
    boost::system::error_code failure;
    if (!towards_target && answer_delay_.count() > 0) {
        pause.expires_after(answer_delay_);
        co_await pause.async_wait(awaitable_into(failure));
    }
    while (mode_ == relay_mode::hold) {
        pause.expires_after(hold_check_interval);
        co_await pause.async_wait(awaitable_into(failure));
    }
    if (towards_target ? served->silent_to_target : served->silent_from_target) {
        co_return true;
    }
    const auto held = asio::buffer(bytes, size);
    co_await asio::async_write(into, held, awaitable_into(failure));
    co_return !failure;
}

http::awaitable<void> relay::handle(const http::request& incoming, http::responder& out) {
    const auto body = parse_json(incoming.body);
    if (!body || !body.value().is_object()) {
        (void)co_await out.send(http::make_json_response(400, "{}"));
        co_return;
    }
    const auto& wanted = body.value().get_object();
    if (const auto mode = mode_named(string_or_empty(wanted, "mode"))) {
        set_mode(*mode);
    }
    answer_delay_ = milliseconds{integer_or(wanted, "answer_delay_ms", answer_delay_.count())};
    (void)co_await out.send(http::make_json_response(200, "{}"));
}

} // namespace boragefront::stand_ins
