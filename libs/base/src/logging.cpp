#include "base/logging.hpp"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <chrono>
#include <iostream>

namespace boragefront {
namespace {

struct log_style {
    log_format format{log_format::key_value};
    std::string instance{"-"};
};

log_style& style() {
    static log_style current;
    return current;
}

std::int64_t unix_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string as_json(std::string_view level, std::string_view component, std::string_view event,
                    std::initializer_list<log_field> fields) {
    boost::json::object line{{"time_ms", unix_milliseconds()},
                             {"level", level},
                             {"instance", style().instance},
                             {"component", component},
                             {"event", event}};
    for (const auto& field : fields) {
        line[field.name] = field.value;
    }
    return boost::json::serialize(line);
}

std::string as_key_value(std::string_view level, std::string_view component, std::string_view event,
                         std::initializer_list<log_field> fields) {
    auto line = "time_ms=" + std::to_string(unix_milliseconds());
    const auto append = [&](std::string_view name, std::string_view value) {
        line += ' ';
        line += name;
        line += '=';
        const bool quoted = value.empty() || value.find_first_of(" \"=\n") != value.npos;
        line += quoted ? boost::json::serialize(boost::json::string{value}) : std::string{value};
    };
    append("level", level);
    append("instance", style().instance);
    append("component", component);
    append("event", event);
    for (const auto& field : fields) {
        append(field.name, field.value);
    }
    return line;
}

std::string format_line(std::string_view level, std::string_view component, std::string_view event,
                        std::initializer_list<log_field> fields) {
    return style().format == log_format::json ? as_json(level, component, event, fields)
                                              : as_key_value(level, component, event, fields);
}

} // namespace

void init_logging(log_format format, std::string instance) {
    style() = log_style{format, std::move(instance)};
    boost::log::core::get()->remove_all_sinks();
    boost::log::add_console_log(std::clog, boost::log::keywords::format = "%Message%",
                                boost::log::keywords::auto_flush = true);
}

void log_change(std::string_view component, std::string_view event,
                std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(info) << format_line("info", component, event, fields);
}

void log_warning(std::string_view component, std::string_view event,
                 std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(warning) << format_line("warning", component, event, fields);
}

} // namespace boragefront
