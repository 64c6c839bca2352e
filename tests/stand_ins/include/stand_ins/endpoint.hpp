/// \file
/// Stand-in for an endpoint of any kind: encoder, retriever, reranker, model engine, plain service.
#pragma once

#include "base/error.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "http/server.hpp"
#include "stand_ins/run_ledger.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <limits>
#include <list>
#include <set>
#include <string>

namespace boragefront::stand_ins {

struct endpoint_options {
    std::string kind{"plain"}; ///< encoder, retriever, reranker, engine or plain
    milliseconds service{10};
    milliseconds jitter{0};        ///< added to the service time, uniformly from 0
    unsigned limit{8};             ///< work beyond it is refused when warm
    unsigned cold_limit{2};        ///< work beyond it makes a cold endpoint fall over
    unsigned warm_after{4};        ///< completed runs until it is warm; 0 starts warm
    unsigned tokens{16};           ///< of a streamed answer
    milliseconds token{2};         ///< between tokens, for an engine's answers
    milliseconds prefill{20};      ///< of an uncached prompt, for an engine
    unsigned cached_prefixes{64};  ///< prompt prefixes that an engine keeps
    milliseconds load_lag{200};    ///< age of the load report
    milliseconds fallen_time{500}; ///< how long it refuses everything after falling over
    std::uint64_t seed{0};         ///< of the jitter; 0 takes one from the operating system
    std::string ledger_file{};     ///< receives the runs; none if empty
};

/// An endpoint. All members run on one thread.
class endpoint {
public:
    /// \returns `bad_request` for an unknown kind or a file that cannot be written.
    static result<std::unique_ptr<endpoint>> make(boost::asio::any_io_executor executor,
                                                  endpoint_options options);

    http::awaitable<void> handle(const http::request& incoming, http::responder& out);

private:
    static constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();

    struct fault_switches {
        bool silent{false};
        bool fail{false};
        double slow_factor{1.0};
        std::uint64_t hang_after_tokens{never};
        std::uint64_t cut_after_tokens{never};
    };

    // One run in progress.
    struct active_run {
        explicit active_run(const boost::asio::any_io_executor& executor) : timer{executor} {}
        void stop() {
            stopped = true;
            timer.cancel();
        }
        boost::asio::steady_timer timer;
        boost::json::object order;
        std::string identity;
        std::string marker;
        std::size_t number{0};
        bool began_cold{false};
        bool stopped{false};
    };

    struct load_report {
        time_point since;
        std::string text;
    };

    endpoint(boost::asio::any_io_executor executor, endpoint_options options, run_ledger ledger);

    http::awaitable<void> answer_run(const http::request& incoming, http::responder& out);
    http::awaitable<void> execute(active_run& run, http::responder& out);
    http::awaitable<void> stream_tokens(active_run& run, http::responder& out);
    http::awaitable<bool> work(active_run& run, duration time);

    bool refuses_new_work();
    std::size_t count_begun_cold() const;
    void begin(active_run& run);
    void end(active_run& run, bool finished);
    void fall_over();
    void become_cold();
    duration service_time(const active_run& run);
    bool cache_prefix(const boost::json::object& order);
    boost::json::object output_of(const active_run& run) const;
    void set_faults(const boost::json::object& wanted);
    void report_load();
    std::string lagging_load();
    std::string ledger_json() const;
    http::response answer(unsigned status, std::string body) const;

    boost::asio::any_io_executor executor_;
    endpoint_options options_;
    run_ledger ledger_;
    random_source random_;
    std::string instance_;
    fault_switches faults_;
    std::set<active_run*> active_;
    std::list<std::string> prefixes_;
    std::deque<load_report> reports_;
    bool cold_{true};
    bool turned_cold_{false}; ///< without a word, until it falls over or is warm
    unsigned completed_while_cold_{0};
    time_point fallen_until_{};
    std::size_t peak_running_{0};
    std::size_t peak_while_cold_{0};
    std::uint64_t fell_over_{0};
    std::uint64_t over_limit_{0};
};

/// The text of one token of a streamed answer to the caller with this marker.
std::string token_text(std::string_view marker, std::uint64_t index);

} // namespace boragefront::stand_ins
