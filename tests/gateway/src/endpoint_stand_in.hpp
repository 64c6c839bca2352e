/// \file
/// Stands in for an endpoint: a plain service, a model engine or a maker of pieces. Keeps a ledger
/// of what it ran and fails as told.
#pragma once

#include "base/time.hpp"
#include "http/message.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::gateway_tests {

/// What an endpoint does with its next requests.
enum class endpoint_mode : std::uint8_t {
    sound,
    refusing,    ///< states that it did not run the request
    failing,     ///< runs it and answers 500
    resetting,   ///< runs it and closes the connection
    silent,      ///< runs it and never answers
    twice,       ///< answers, and answers again a moment later on the same connection
    other_first, ///< sends the answer to another request before its own
    cut,         ///< breaks off in the middle of the answer
    inputs_gone, ///< states that a result is gone and that it did not run
    no_receipt,  ///< answers without a receipt
    /// On a connection that has served before: runs the request, and sends a refusal that names no
    /// request before its answer, as a late one to an earlier request.
    anonymous_refusal_first,
    cut_head,  ///< breaks off in the middle of the head of the answer
    trickling, ///< after `cut_after` events sends a comment now and then, without end
    flooding,  ///< sends a body without end
    pausing,   ///< after `cut_after` events is silent for `pause`, and goes on
};

/// How an endpoint ends the connection of a scripted response.
enum class connection_end : std::uint8_t {
    none,      ///< keeps it for further requests
    shut_down, ///< ends its own side, and reads until the peer closes
    reset,
    crash, ///< the endpoint ends, with all its connections
};

/// A response that is written byte by byte, whether or not it is valid.
struct scripted_response {
    std::string bytes{};     ///< "{id}" stands for the id of the request
    bool before_body{false}; ///< written as soon as the head of the request has arrived; the body
                             ///< is not read
    connection_end end{connection_end::none};
    milliseconds end_after{0}; ///< since the bytes were sent
};

/// A result of stage work.
struct made_result {
    std::string request_id; ///< for which it was made
    std::string handle;
};

/// One request or call that reached an endpoint.
struct endpoint_visit {
    http::request message;
    std::string id;
    time_point at{};
    bool ran{false};
    bool answered{false};            ///< a whole answer was sent
    bool left{false};                ///< the connection was closed before the answer was sent
    std::vector<made_result> made{}; ///< of a call for pieces
};

/// All functions on its executor's thread.
class endpoint_stand_in {
public:
    endpoint_stand_in(boost::asio::any_io_executor executor, std::string id);
    ~endpoint_stand_in();
    endpoint_stand_in(const endpoint_stand_in&) = delete;
    endpoint_stand_in& operator=(const endpoint_stand_in&) = delete;

    /// Where it can be reached: its own address, or the advertised one.
    std::string address() const;

    /// Registers with another address than its own, as behind a relay.
    void advertise(std::string address) { advertised_ = std::move(address); }

    /// Closes its port and all connections, as a process that ends.
    void stop();

    /// Listens again, as a new process, if it crashed at least this long ago.
    /// \returns whether it did.
    bool restart_if_crashed(milliseconds downtime);

    const std::string& id() const { return id_; }

    /// The value that it registers with.
    std::string registration(const std::string& service, const std::string& state = "ready",
                             const std::string& data_centre = "a") const;

    /// The mode of the next `times` requests; sound afterwards. Calls for pieces are not counted.
    void set_mode(endpoint_mode mode, int times = 1'000'000);

    milliseconds work{0}; ///< time until it answers
    int events{0};        ///< of a stream; 0: a plain answer
    bool events_have_ids{true};
    milliseconds gap{5};              ///< between events
    int cut_after{2};                 ///< events, in mode `cut`
    milliseconds pause{0};            ///< in mode `pausing`
    bool announces_leaving{false};    ///< in all responses
    std::string limit{};              ///< requests per second, in all responses; empty: none
    std::int64_t born{1};             ///< start time that it registers, in milliseconds
    std::string version{"v1"};        ///< of its software, as it registers; empty: none
    int sequence{1};                  ///< number of its reports, as it registers
    bool resets_health_checks{false}; ///< as an endpoint above its limit of connections
    bool unframed{false};             ///< streams have neither a length nor chunks
    std::string retry_after{};        ///< of refusals; empty: none
    std::string crashes_on{};         ///< a part of a prompt; crashes while it answers it
    int crashes_after{0};             ///< events of the response; 0: its head
    /// Before each response, sends the one before it on the same connection a second time, if that
    /// was a refusal or a response to a call for pieces.
    bool repeats_responses{false};
    std::size_t flooded_bytes{0};     ///< sent in mode `flooding`
    int calls_with_inputs_gone{0};    ///< next calls for pieces that find their inputs gone
    int refused_calls{0};             ///< next calls for pieces that are refused
    milliseconds later_call_work{-1}; ///< of calls for pieces after the first; negative: `work`

    /// Sent in place of all responses but those to calls for pieces.
    std::optional<scripted_response> script{};

    /// Requests and calls, without health checks.
    const std::vector<endpoint_visit>& visits() const { return visits_; }
    std::size_t runs() const;

private:
    struct connection;
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<connection> with);
    boost::asio::awaitable<bool> answer(connection& with, std::size_t visit);
    std::string refusal(unsigned status, const std::string& id) const;
    boost::asio::awaitable<bool> answer_scripted(connection& with, std::size_t visit);
    boost::asio::awaitable<bool> answer_plain(connection& with, std::size_t visit,
                                              endpoint_mode mode);
    boost::asio::awaitable<bool> answer_stream(connection& with, std::size_t visit,
                                               endpoint_mode mode);
    boost::asio::awaitable<bool> flood(connection& with, std::size_t visit);
    boost::asio::awaitable<bool> answer_pieces(connection& with, std::size_t visit);
    boost::asio::awaitable<bool> send_repeatable(connection& with, std::string bytes);
    endpoint_mode take_mode();
    bool crashes_with(const http::request& message) const;
    std::string head_of(unsigned status, const std::string& request_id, bool receipt) const;

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string id_;
    std::uint16_t port_;
    std::string advertised_;
    endpoint_mode mode_{endpoint_mode::sound};
    int mode_times_{0};
    int next_handle_{1};
    bool called_for_pieces_{false};
    std::optional<time_point> crashed_at_;
    std::vector<endpoint_visit> visits_;
    std::vector<std::weak_ptr<connection>> open_;
};

} // namespace boragefront::gateway_tests
