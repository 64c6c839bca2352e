#include "base/logging.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace boragefront;

namespace {

// The line that is logged for a value.
std::string line_with(const std::string& value) {
    namespace sinks = boost::log::sinks;
    std::ostringstream lines;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>{&lines, boost::null_deleter{}});
    auto sink = boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend);
    boost::log::core::get()->add_sink(sink);
    log_change("component", "event", {{"value", value}});
    boost::log::core::get()->remove_sink(sink);
    return lines.str();
}

} // namespace

// Guards against a value from outside that ends a log line and begins another.
TEST_CASE("trouble: odd text stays inside its field of a log line") {
    const auto [value, written] = GENERATE(table<std::string, std::string>({
        {"a\nb", R"(value="a\nb")"},
        {"a\rlevel=error", R"(value="a\rlevel=error")"},
        {"a\tb", R"(value="a\tb")"},
        {"\x1b[2J", R"(value="\u001B[2J")"},
        {std::string("a\0b", 3), R"(value="a\u0000b")"},
        {"a\" b=c", R"(value="a\" b=c")"},
        {"", R"(value="")"},
        {"plain", "value=plain"},
    }));
    const auto line = line_with(value);
    INFO(line);
    CHECK_THAT(line, Catch::EndsWith(written + "\n", Catch::CaseSensitive::No));
}
