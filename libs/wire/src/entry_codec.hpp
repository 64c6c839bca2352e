/// \file
/// Codec of the messages between entries.
#pragma once

#include "control.pb.h"
#include "wire/messages.hpp"

namespace boragefront::wire {

error malformed(std::string detail);

/// Reads a duration, cut to a year.
milliseconds read_milliseconds(std::uint64_t value);

void write(const gossip_request& message, pb::gossip_request& out);
void write(const gossip_answer& message, pb::gossip_answer& out);
void write(const make_pieces_request& message, pb::make_pieces_request& out);
void write(const make_pieces_answer& message, pb::make_pieces_answer& out);
void write(const pieces_done_request& message, pb::pieces_done_request& out);

gossip_request read(const pb::gossip_request& in);
gossip_answer read(const pb::gossip_answer& in);
result<request> read(const pb::make_pieces_request& in);
result<request> read(const pb::pieces_done_request& in);

} // namespace boragefront::wire
