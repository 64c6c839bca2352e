#include "support/run_program.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/process.hpp>

#include <future>

namespace boragefront::support {

program_outcome run_program(const std::string& program, const std::vector<std::string>& arguments) {
    namespace process = boost::process;
    boost::asio::io_context io;
    std::future<std::string> output;
    std::future<std::string> errors;
    process::child child{program, process::args = arguments,
                         process::std_in<process::null, process::std_out> output,
                         process::std_err > errors, io};
    io.run();
    child.wait();
    return {child.exit_code(), output.get(), errors.get()};
}

} // namespace boragefront::support
