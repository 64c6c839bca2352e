/// \file
/// Callers that keep a record of every answer.
#pragma once

#include "base/error.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "support/blocking_client.hpp"

#include <boost/json/object.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace boragefront::support {

/// What a caller asks for. The marker is unique to one piece of work: a retry keeps it.
struct caller_request {
    std::string workspace;
    std::string service;
    std::string marker{};
    std::string prompt{};
    std::string idempotency_key{}; ///< none if empty
    milliseconds deadline{5'000};
    bool stream{false};
    bool order{false};     ///< not idempotent
    unsigned stages{1};    ///< of the service
    bool same_body{false}; ///< the body holds no marker, so that callers send equal ones
};

/// One call and what the caller saw of it.
struct call_record {
    caller_request asked;
    std::string entry; ///< address
    time_point sent;
    time_point ended;
    unsigned status{0};              ///< 0 if the answer did not come or broke off
    bool whole{false};               ///< the whole answer arrived
    std::string kind{};              ///< of a problem document
    work_ran ran{work_ran::unknown}; ///< as the answer says
    std::string request_id{};
    boost::json::object result{};      ///< of a whole answer that is not a stream
    std::vector<std::string> tokens{}; ///< of a stream, in order of arrival
    std::string detail{};              ///< why there is no whole answer
};

/// Makes one call and waits for its end.
call_record make_call(blocking_client& client, const std::string& entry, caller_request asked);

/// Where an entry takes callers, and where it says whether it wants them.
struct probed_entry {
    std::string address;
    std::string probe_address;
    std::string probe_path{"/readyz"};
};

/// The entries that want callers, as the platform's balancer sees them: by their readiness probe.
class balancer {
public:
    explicit balancer(std::vector<probed_entry> entries);

    /// Entries that are probed where they take callers.
    explicit balancer(const std::vector<std::string>& entries);
    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    /// An entry that was ready at its latest probe; any if none was.
    std::string pick(random_source& random) const;

private:
    void probe(const std::atomic<bool>& stopping);
    std::vector<std::string> all() const;

    std::vector<probed_entry> entries_;
    mutable std::mutex mutex_;
    std::vector<std::string> ready_; ///< addresses; all if none is ready
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

struct load_options {
    std::vector<caller_request> mix; ///< chosen from at random; markers and keys are filled in
    unsigned callers{4};
    milliseconds pause{5};     ///< between a caller's calls
    unsigned order_retries{0}; ///< same key, at another entry, after an answer that leaves it open
    bool keyed_orders{true};
    std::uint64_t seed{1};
};

/// Callers that go on until they are stopped.
class caller_load {
public:
    caller_load(load_options options, const balancer& entries);
    ~caller_load();
    caller_load(const caller_load&) = delete;
    caller_load& operator=(const caller_load&) = delete;

    /// Calls that have ended so far.
    std::size_t ended() const { return ended_; }

    /// Calls that have ended whole so far.
    std::size_t whole() const { return whole_; }

    /// Stops the callers after the calls that they are making. \returns all records.
    std::vector<call_record> stop();

private:
    void run_caller(unsigned number);
    void keep(call_record record);

    load_options options_;
    const balancer& entries_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> ended_{0};
    std::atomic<std::size_t> whole_{0};
    std::mutex mutex_;
    std::vector<call_record> records_;
    std::vector<std::thread> threads_;
};

} // namespace boragefront::support
