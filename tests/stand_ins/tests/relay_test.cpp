#include "served.hpp"
#include "stand_ins/platform.hpp"
#include "stand_ins/relay.hpp"

using namespace boragefront;
using namespace boragefront::stand_ins;

namespace {

// A relay whose modes are switched by HTTP, before a platform.
class relay_options {
public:
    std::string target;
};

class listening_relay {
public:
    static result<std::unique_ptr<listening_relay>>
    make(const boost::asio::any_io_executor& executor, const relay_options& options) {
        auto made = std::make_unique<listening_relay>();
        BOOST_OUTCOME_TRY(made->inner_, relay::listen(executor, "127.0.0.1:0", options.target));
        last_port = made->inner_->port();
        return made;
    }
    http::awaitable<void> handle(const http::request& incoming, http::responder& out) {
        return inner_->handle(incoming, out);
    }
    static inline std::uint16_t last_port = 0;

private:
    std::unique_ptr<relay> inner_;
};

} // namespace

TEST_CASE("established connections go silent while new ones pass, and a cut refuses both") {
    const served<platform> target{platform_options{}};
    const served<listening_relay> control{relay_options{target.address()}};
    const auto through = "127.0.0.1:" + std::to_string(listening_relay::last_port);
    const http::request read{.target = "/v1/config"};
    constexpr seconds patience{20};

    support::blocking_client established;
    REQUIRE(established.call(through, read, patience));
    control.send("POST", "/stand_in/faults", R"({"mode": "swallow_established"})");
    const auto silent = established.call(through, read, milliseconds{100});
    REQUIRE_FALSE(silent);
    REQUIRE(silent.error().kind == error_kind::deadline_exceeded);
    REQUIRE(support::blocking_client{}.call(through, read, patience));

    control.send("POST", "/stand_in/faults", R"({"mode": "cut"})");
    REQUIRE_FALSE(support::blocking_client{}.call(through, read, patience));
    control.send("POST", "/stand_in/faults", R"({"mode": "pass"})");
    REQUIRE(support::blocking_client{}.call(through, read, patience));
}
